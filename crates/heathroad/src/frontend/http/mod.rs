//! The HTTP frontend: accepts clients' connections, reads and checks their requests, and writes
//! each one's response.

mod connection;
mod request;
mod response;

use super::connections::{ConnectionTable, RegisteredConnection, SPARE_CONNECTIONS, accept_queued};
use crate::retry_budget::RetryBudgets;
use crate::router::Router;
use crate::runtime_accounting::{sleep, spawn_in};
use heathroad_balancer::settings::InstanceSettings;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::interval;

/// Overdue connections are looked for at this interval.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Pause when nothing can be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Serves clients over HTTP.
pub struct HttpFrontend {
    /// Says where requests go.
    pub router: Rc<Router>,
    /// The settings.
    pub facts: InstanceSettings,
    /// Most connections at once.
    pub max_connections: usize,
    /// Most bytes that are buffered for all clients.
    pub max_buffered_bytes: usize,
    /// All clients' connections.
    pub table: Rc<ConnectionTable>,
    /// The retry budgets, where they are configured.
    pub budgets: Option<Rc<RetryBudgets>>,
}

impl HttpFrontend {
    /// Accepts connections until `stop` is set. Then it closes them as they become idle, and
    /// returns when the last one is closed.
    ///
    /// No client is kept waiting in the system's queue, where requests may lie that are owed a
    /// response: one for which there is no place takes that of a client that has long been silent.
    pub async fn serve(self: Rc<Self>, listener: TcpListener, mut stop: watch::Receiver<bool>) {
        let mut open = JoinSet::new();
        let connections_stop = stop.clone();
        let mut overdue_check = interval(OVERDUE_CHECK_INTERVAL);
        while !*stop.borrow_and_update() {
            let is_full = self.is_full();
            if is_full {
                self.table.shed_one();
            }
            tokio::select! {
                _ = stop.changed() => break,
                Some(_) = open.join_next() => {}
                _ = overdue_check.tick() => self.table.close_overdue(),
                accepted = listener.accept(), if !is_full => match accepted {
                    // The connection counts from now on. Those behind it are accepted at once, as
                    // far as a task's turn goes: a turn of all that are served for each would leave
                    // new clients waiting for seconds.
                    Ok((stream, _)) => {
                        spawn_in(&mut open, self.clone().register(stream, connections_stop.clone()));
                    }
                    // No error ends the loop, out of descriptors or other: clients are waiting, and
                    // what is short becomes free again.
                    Err(_) => {
                        self.table.shed_one();
                        sleep(ACCEPT_PAUSE).await;
                    }
                }
            }
        }
        self.accept_last(listener, &mut open, &connections_stop);
        loop {
            tokio::select! {
                ended = open.join_next() => if ended.is_none() { return },
                _ = overdue_check.tick() => self.table.close_overdue(),
            }
        }
    }

    fn is_full(&self) -> bool {
        self.table.descriptors() >= self.max_connections + SPARE_CONNECTIONS
    }

    /// Accepts the clients that have come by now and wait in the system's queue, and closes the
    /// listener.
    fn accept_last(
        self: &Rc<Self>,
        listener: TcpListener,
        open: &mut JoinSet<()>,
        stop: &watch::Receiver<bool>,
    ) {
        let mut queued = accept_queued(&listener);
        while !self.is_full()
            && let Some(stream) = queued.next()
        {
            spawn_in(open, self.clone().register(stream, stop.clone()));
        }
    }

    /// Registers a connection, which counts at once, and returns its task.
    fn register(
        self: Rc<Self>,
        stream: TcpStream,
        stop: watch::Receiver<bool>,
    ) -> impl Future<Output = ()> {
        let has_place = self.table.descriptors() < self.max_connections;
        let is_crowded = !has_place && !self.table.shed_one();
        let registered = RegisteredConnection::new(&self.table, stream);
        self.run_connection(registered, stop, is_crowded)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/frontend_http.rs"]
mod tests;
