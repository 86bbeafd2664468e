//! One JSON-RPC listener: accepts connections, and closes idle ones when the limit is reached.

use super::JsonRpcFrontend;
use super::answer::{answer, rejected};
use super::connection::Client;
use super::stream_io::{ClientStream, LINGER};
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
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::{JoinSet, yield_now};
use tokio::time::Instant;

/// Interval of the check for free descriptors while the limit is reached.
const FULL_RETRY_INTERVAL: Duration = Duration::from_millis(200);
/// Delay after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// The idle state of a connection, and the signal that requests its close.
#[derive(Default)]
pub(super) struct IdleState {
    /// When the connection became idle; `None` while it is active.
    pub(super) since: Cell<Option<Instant>>,
    close_requested: Notify,
}

/// A listener's configuration and its open connections.
pub(super) struct ListenerServer {
    pub(super) frontend: Rc<JsonRpcFrontend>,
    pub(super) listener: Listener,
    /// The idle states of open connections, by connection number.
    connections: RefCell<BTreeMap<u64, Rc<IdleState>>>,
    next_number: Cell<u64>,
}

impl ListenerServer {
    /// Creates the server of a listener.
    pub(super) fn new(frontend: Rc<JsonRpcFrontend>, listener: Listener) -> ListenerServer {
        ListenerServer {
            frontend,
            listener,
            connections: RefCell::default(),
            next_number: Cell::new(0),
        }
    }

    /// Accepts connections until `stop` is set, and returns when all are closed. `stop` is set at
    /// shutdown and when the listener is removed from the configuration; `daemon_stop` only at
    /// shutdown.
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
                // Polls, as the close of other listeners' connections is not signaled here.
                () = sleep(FULL_RETRY_INTERVAL), if is_full => {}
                accepted = socket.accept(), if !is_full => match accepted {
                    Ok((stream, _)) => {
                        self.start_connection(&mut open, stream, &connections_stop);
                        // Lets the new task count its descriptor.
                        yield_now().await;
                    }
                    Err(_) => {
                        self.shed_one();
                        sleep(ACCEPT_PAUSE).await;
                    }
                }
            }
        }
        // Accepts queued clients at shutdown only: after a configuration change, another server may
        // continue with the same socket.
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

    /// Starts serving a connection, or rejects it if the limit is reached.
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

    /// Requests the close of the longest idle connection; returns whether there is one.
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

    /// Rejects a connection above the limit without reading its input.
    async fn reject(self: Rc<Self>, stream: TcpStream) {
        let _descriptor = DescriptorGuard::new(&self.frontend.table);
        let member = rejected(retry_after(&self.frontend.settings));
        let mut output = BytesMut::new();
        write::frame(
            self.listener.framing,
            &answer(&NULL_ID, &member),
            &mut output,
        );
        let stream = ClientStream::new(stream);
        // Best effort: no call was read.
        if let Ok(Ok(())) = timeout(LINGER, stream.write_all(&output)).await {
            stream.close().await;
        }
    }

    async fn run_connection(
        self: Rc<Self>,
        number: u64,
        stream: TcpStream,
        stop: watch::Receiver<bool>,
    ) {
        // Fails if the connection is already closed.
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
