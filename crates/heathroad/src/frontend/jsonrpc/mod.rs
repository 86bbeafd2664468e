//! The JSON-RPC frontend: decodes messages, binds each call to its pool, and writes the answers.
//!
//! Each connection is one task, which reads, starts calls, collects answers and writes; each
//! running call is a separate task. Reading pauses at the limits of running and waiting calls and
//! of unwritten answers.
//!
//! - `listener` accepts the connections of one listener.
//! - `connection` is the task of a connection; `message_reader` decodes its messages, `intake`
//!   accepts them, and `stream_io` reads, writes and closes its stream.
//! - `output_buffer` holds the unwritten answers.
//! - `exchange` queues the calls of a connection's messages and collects their answers.
//! - `call` binds a call and runs it through the engine; `answer` builds the answers.

mod answer;
mod call;
mod connection;
mod exchange;
mod intake;
mod listener;
mod message_reader;
mod output_buffer;
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
    /// Selects the pools of calls, and provides the configured listeners.
    pub pools: Rc<RoutedPools>,
    /// The settings of this instance.
    pub settings: InstanceSettings,
    /// Maximum number of concurrent connections, including HTTP.
    pub max_connections: usize,
    /// Maximum number of bytes buffered for all clients, in messages and answers.
    pub max_buffered_bytes: usize,
    /// The connections of all clients.
    pub table: Rc<ConnectionTable>,
    /// The retry budgets, if configured.
    pub budgets: Option<Rc<RetryBudgets>>,
}

/// The running listeners by name, each with the sender that stops it.
type RunningListeners = BTreeMap<String, (Listener, watch::Sender<bool>)>;

impl JsonRpcFrontend {
    /// Serves the listeners of the current generation until `stop` is set and all calls are
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

    /// Stops listeners that were removed or changed, and starts new ones.
    fn update_listeners(
        self: &Rc<Self>,
        running: &mut RunningListeners,
        open: &mut JoinSet<()>,
        daemon_stop: &watch::Receiver<bool>,
    ) {
        let configured = self.pools.listeners();
        running.retain(|name, (listener, stop)| {
            let can_keep = configured
                .iter()
                .any(|(other, _)| other.name == *name && can_continue(listener, other));
            if !can_keep {
                stop.send_replace(true);
            }
            can_keep
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

/// Returns whether a listener's connections can continue with the settings of `other`. Methods and
/// tenants may differ, as they are looked up for each call.
fn can_continue(listener: &Listener, other: &Listener) -> bool {
    let connection_settings = |l: &Listener| {
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
    connection_settings(listener) == connection_settings(other)
        && listener.idle_timeout_ms == other.idle_timeout_ms
}
