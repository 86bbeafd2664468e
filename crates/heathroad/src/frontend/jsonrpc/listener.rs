//! One JSON-RPC listener: accepts its connections, and closes idle ones for those that wait.

use super::JsonRpcFrontend;
use super::answer::{answer, rejected};
use super::connection::Client;
use super::stream_io::{LINGER, close};
use crate::engine::retry_after;
use crate::frontend::connections::{DescriptorGuard, SPARE_CONNECTIONS, accept_queued};
use crate::runtime_accounting::{sleep, spawn_in, timeout};
use bytes::BytesMut;
use heathroad_jsonrpc::message::NULL_ID;
use heathroad_jsonrpc::write;
use heathroad_routing::config::Listener;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::{JoinSet, yield_now};
use tokio::time::Instant;

/// While there is no place, it is asked again at this interval whether one has become free.
const FULL_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Pause when nothing can be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Whether a connection is idle, and how it is asked to close.
#[derive(Default)]
pub(super) struct IdleState {
    /// Since when it has had nothing to do.
    pub(super) since: Cell<Option<Instant>>,
    close_requested: Notify,
}

/// Serves a listener.
pub(super) struct ListenerServer {
    pub(super) frontend: Rc<JsonRpcFrontend>,
    pub(super) listener: Listener,
    /// Connections by number.
    connections: RefCell<BTreeMap<u64, Rc<IdleState>>>,
    next_number: Cell<u64>,
}

impl ListenerServer {
    /// Returns the server of a listener without connections.
    pub(super) fn new(frontend: Rc<JsonRpcFrontend>, listener: Listener) -> ListenerServer {
        ListenerServer {
            frontend,
            listener,
            connections: RefCell::default(),
            next_number: Cell::new(0),
        }
    }

    /// Accepts connections until `stop` is set, and returns when the last one is closed. It is set
    /// too where the listener is no longer configured, and the daemon goes on.
    pub(super) async fn run(
        self: Rc<Self>,
        socket: Rc<TcpListener>,
        mut stop: watch::Receiver<bool>,
        daemon_stop: watch::Receiver<bool>,
    ) {
        let _descriptor = DescriptorGuard::new(&self.frontend.table);
        let (mut open, connections_stop) = (JoinSet::new(), stop.clone());
        loop {
            let is_full = self.free_descriptors() == 0;
            if is_full {
                self.shed_one();
            }
            tokio::select! {
                biased;
                _ = stop.wait_for(|stop| *stop) => break,
                Some(_) = open.join_next() => {}
                // Connections that close elsewhere notify nobody here.
                () = sleep(FULL_RETRY_INTERVAL), if is_full => {}
                accepted = socket.accept(), if !is_full => match accepted {
                    Ok((stream, _)) => {
                        self.start_connection(&mut open, stream, &connections_stop);
                        // Its descriptor counts from now on.
                        yield_now().await;
                    }
                    Err(_) => {
                        self.shed_one();
                        sleep(ACCEPT_PAUSE).await;
                    }
                }
            }
        }
        // At a planned stop the clients in the system's queue are accepted. A socket that others go
        // on listening to is theirs.
        if *daemon_stop.borrow() {
            for stream in accept_queued(&socket).take(self.free_descriptors()) {
                self.start_connection(&mut open, stream, &connections_stop);
            }
        }
        drop(socket);
        while open.join_next().await.is_some() {}
    }

    fn free_descriptors(&self) -> usize {
        let limit = self.frontend.max_connections + SPARE_CONNECTIONS;
        limit.saturating_sub(self.frontend.table.descriptors())
    }

    /// Starts a connection, or rejects it where there is no place.
    fn start_connection(
        self: &Rc<Self>,
        open: &mut JoinSet<()>,
        stream: TcpStream,
        stop: &watch::Receiver<bool>,
    ) {
        let number = self.next_number.get();
        self.next_number.set(number + 1);
        let is_full = self.connections.borrow().len() >= self.listener.max_connections as usize
            || self.frontend.table.descriptors() >= self.frontend.max_connections;
        if is_full && !self.shed_one() {
            spawn_in(open, self.clone().reject(stream));
        } else {
            spawn_in(
                open,
                self.clone().run_connection(number, stream, stop.clone()),
            );
        }
    }

    /// Asks the connection to close that has been idle longest; returns whether there is one.
    fn shed_one(&self) -> bool {
        let connections = self.connections.borrow();
        let idle = connections
            .values()
            .filter_map(|state| Some((state.since.get()?, state)));
        let Some((_, longest)) = idle.min_by_key(|(since, _)| *since) else {
            return false;
        };
        longest.since.set(None);
        longest.close_requested.notify_one();
        true
    }

    /// Rejects a connection for which there is no place. What it sends is not read.
    async fn reject(self: Rc<Self>, mut stream: TcpStream) {
        let _descriptor = DescriptorGuard::new(&self.frontend.table);
        let member = rejected(retry_after(&self.frontend.settings));
        let mut output = BytesMut::new();
        write::frame(
            self.listener.framing,
            &answer(&NULL_ID, &member),
            &mut output,
        );
        let (mut reader, mut writer) = stream.split();
        // Whether the client takes that or not, nothing is owed to it.
        if let Ok(Ok(())) = timeout(LINGER, writer.write_all(&output)).await {
            close(&mut reader, &mut writer).await;
        }
    }

    async fn run_connection(
        self: Rc<Self>,
        number: u64,
        stream: TcpStream,
        stop: watch::Receiver<bool>,
    ) {
        // A connection that is closed already has no address, and no call.
        let Ok(peer) = stream.peer_addr() else { return };
        let _descriptor = DescriptorGuard::new(&self.frontend.table);
        let idle = Rc::new(IdleState::default());
        self.connections.borrow_mut().insert(number, idle.clone());
        let client = Rc::new(Client::new(self.clone(), peer.ip()));
        tokio::select! {
            () = client.run(stream, &idle, stop) => {}
            () = idle.close_requested.notified() => {}
        }
        self.connections.borrow_mut().remove(&number);
    }
}
