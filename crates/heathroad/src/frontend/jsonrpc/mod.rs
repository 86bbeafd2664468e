//! The JSON-RPC frontend: takes texts, binds each call in them to its pool, and writes each call's
//! one answer.
//!
//! A connection is one task, which reads, begins calls, gathers answers and writes; each call that
//! runs is a task of its own. What is read ahead is bounded by the calls that run and the answers
//! that wait to be read.
//!
//! - `listener` accepts the connections of one listener.
//! - `connection` is the task of a connection, `intake` takes the texts that it reads,
//!   `stream_io` reads from and closes its stream.
//! - `exchange` queues the calls of a connection's texts, and gathers their answers.
//! - `call` binds a call and has the engine decide it, `answer` makes the texts of answers.

mod answer;
mod call;
mod connection;
mod exchange;
mod intake;
mod listener;
mod stream_io;

use super::connections::ConnectionTable;
use crate::retry_budget::RetryBudgets;
use crate::router::routed_pools::RoutedPools;
use crate::runtime_accounting::spawn_in;
use heathroad_balancer::settings::InstanceSettings;
use heathroad_routing::config::Listener;
use listener::ListenerServer;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::JoinSet;

/// Serves clients over JSON-RPC.
pub struct JsonRpcFrontend {
    /// Says where calls go, and which listeners take them.
    pub pools: Rc<RoutedPools>,
    /// The settings.
    pub settings: InstanceSettings,
    /// Most connections at once, with those over HTTP.
    pub max_connections: usize,
    /// Most bytes that are buffered for all clients, in texts and answers.
    pub max_buffered_bytes: usize,
    /// All clients' connections.
    pub table: Rc<ConnectionTable>,
    /// The retry budgets, where they are configured.
    pub budgets: Option<Rc<RetryBudgets>>,
}

/// The listeners that are served, by name, each with the sender of its stop.
type RunningListeners = BTreeMap<String, (Listener, watch::Sender<bool>)>;

impl JsonRpcFrontend {
    /// Serves the listeners of the generation in force, until `stop` is set and the last call is
    /// answered.
    pub async fn serve(self: Rc<Self>, mut stop: watch::Receiver<bool>) {
        let mut changed = self.pools.listener_changes();
        let daemon_stop = stop.clone();
        let mut running = RunningListeners::new();
        let mut open = JoinSet::new();
        loop {
            changed.borrow_and_update();
            self.update_listeners(&mut running, &mut open, &daemon_stop);
            tokio::select! {
                _ = stop.wait_for(|stop| *stop) => break,
                _ = changed.changed() => {}
                Some(_) = open.join_next() => {}
            }
        }
        for (_, stop) in running.values() {
            stop.send_replace(true);
        }
        while open.join_next().await.is_some() {}
    }

    /// Stops listeners that are no longer configured, and starts new ones.
    fn update_listeners(
        self: &Rc<Self>,
        running: &mut RunningListeners,
        open: &mut JoinSet<()>,
        daemon_stop: &watch::Receiver<bool>,
    ) {
        let configured = self.pools.listeners();
        running.retain(|name, (listener, stop)| {
            let stays = configured
                .iter()
                .any(|(other, _)| other.name == *name && can_continue(listener, other));
            if !stays {
                stop.send_replace(true);
            }
            stays
        });
        for (listener, socket) in configured {
            if running.contains_key(&listener.name) {
                continue;
            }
            let (stop, stopped) = watch::channel(false);
            let server = Rc::new(ListenerServer::new(self.clone(), listener.clone()));
            spawn_in(open, server.run(socket, stopped, daemon_stop.clone()));
            running.insert(listener.name.clone(), (listener, stop));
        }
    }
}

/// Returns whether a listener's connections can go on under the other's settings. Methods and
/// tenants are looked up for each call.
fn can_continue(listener: &Listener, other: &Listener) -> bool {
    let bounds = |l: &Listener| {
        (
            l.address,
            l.framing,
            l.ordered_responses,
            l.max_connections,
            l.max_concurrent_calls,
            l.max_message_bytes,
            l.max_batch_size,
        )
    };
    bounds(listener) == bounds(other) && listener.idle_timeout_ms == other.idle_timeout_ms
}
