//! The HTTP frontend: accepts client connections, reads and validates requests, and writes the
//! responses.

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

/// Interval of the check for overdue connections.
const OVERDUE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Delay after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Serves clients over HTTP.
pub struct HttpFrontend {
    /// Selects the pools of requests.
    pub router: Rc<Router>,
    /// The settings of this instance.
    pub settings: InstanceSettings,
    /// Maximum number of concurrent connections.
    pub max_connections: usize,
    /// Maximum number of bytes buffered for all clients.
    pub max_buffered_bytes: usize,
    /// The connections of all clients.
    pub table: Rc<ConnectionTable>,
    /// The retry budgets, if configured.
    pub budgets: Option<Rc<RetryBudgets>>,
}

impl HttpFrontend {
    /// Accepts connections until `stop` is set, then closes them as they become idle, and returns
    /// when all are closed.
    ///
    /// At the limit, a new connection replaces the longest idle one instead of waiting in the
    /// accept queue, where its requests would go unanswered.
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
                    // The connection is counted before its task first runs, so no yield is needed
                    // here. Running all other tasks between two accepts would delay new clients by
                    // seconds.
                    Ok((stream, _)) => {
                        spawn_in(&mut open, self.clone().register(stream, connections_stop.clone()));
                    }
                    // Errors such as descriptor exhaustion are temporary and do not end the loop.
                    Err(_) => {
                        self.table.shed_one();
                        sleep(ACCEPT_PAUSE).await;
                    }
                }
            }
        }
        self.accept_remaining(listener, &mut open, &connections_stop);
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

    /// Accepts the connections in the accept queue and closes the listener.
    fn accept_remaining(
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

    /// Registers a connection immediately and returns the future that serves it.
    fn register(
        self: Rc<Self>,
        stream: TcpStream,
        stop: watch::Receiver<bool>,
    ) -> impl Future<Output = ()> {
        let has_capacity = self.table.descriptors() < self.max_connections;
        let is_crowded = !has_capacity && !self.table.shed_one();
        let registered = RegisteredConnection::new(&self.table, stream, self.max_buffered_bytes);
        self.run_connection(registered, stop, is_crowded)
    }
}

#[cfg(test)]
#[path = "../../../tests/unit/frontend_http.rs"]
mod tests;
