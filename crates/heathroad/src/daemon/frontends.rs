//! Starts the HTTP frontend and, with routes, the JSON-RPC frontend. They share the client limits
//! on connections and body memory.

use super::capacity::Capacity;
use super::process_seed;
use crate::configuration::Config;
use crate::frontend::http::HttpFrontend;
use crate::frontend::jsonrpc::JsonRpcFrontend;
use crate::retry_budget::RetryBudgets;
use crate::router::Router;
use crate::runtime_accounting::spawn_local;
use std::rc::Rc;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{JoinError, JoinHandle};

/// Bodies of open requests may use the memory limit divided by this; the rest is for buffers,
/// responses and the process itself.
const BODY_MEMORY_DIVISOR: usize = 4;

/// The tasks of the running frontends.
pub(super) struct Frontends {
    http: JoinHandle<()>,
    jsonrpc: Option<JoinHandle<()>>,
    stop: watch::Sender<bool>,
}

impl Frontends {
    pub fn start(
        config: &Config,
        capacity: Capacity,
        listener: TcpListener,
        router: &Rc<Router>,
    ) -> Self {
        let budgets = config.budget.as_ref();
        let budgets = budgets.map(|settings| RetryBudgets::new(settings, process_seed()));
        if let Some(budgets) = &budgets {
            router.metrics().export_retry_budgets(budgets);
        }
        let (stop, stop_requested) = watch::channel(false);
        let max_connections = capacity.client_connections;
        let max_buffered_bytes = config.memory / BODY_MEMORY_DIVISOR;
        let table = Rc::default();
        let jsonrpc = match &**router {
            Router::SinglePool(_) => None,
            Router::Routed(pools) => {
                let frontend = JsonRpcFrontend {
                    pools: pools.clone(),
                    settings: config.settings.clone(),
                    max_connections,
                    max_buffered_bytes,
                    table: Rc::clone(&table),
                    budgets: budgets.clone(),
                };
                Some(spawn_local(Rc::new(frontend).serve(stop_requested.clone())))
            }
        };
        let frontend = HttpFrontend {
            router: router.clone(),
            settings: config.settings.clone(),
            max_connections,
            max_buffered_bytes,
            table,
            budgets,
        };
        let http = spawn_local(Rc::new(frontend).serve(listener, stop_requested));
        Frontends {
            http,
            jsonrpc,
            stop,
        }
    }

    /// Stops accepting connections; the frontends end when their open connections have ended.
    pub fn stop_accepting(&self) {
        self.stop.send_replace(true);
    }

    /// Waits until all connections have ended.
    pub async fn join(self) -> Result<(), JoinError> {
        if let Some(jsonrpc) = self.jsonrpc {
            // Only completion matters here: responses were sent on the connections.
            let _ = jsonrpc.await;
        }
        self.http.await
    }
}
