//! Attempts over JSON-RPC. A connection carries several calls concurrently, with ids assigned by
//! the proxy. A call counts as never executed only if its message was not fully written.

mod connection;
mod io;

pub use connection::Connection;

use super::attempt::AttemptControl;
use super::outcome::{AttemptEnd, classify_response};
use super::pool::Pool;
use super::target::Target;
use crate::retry_budget::AttemptBudget;
use crate::runtime_accounting::spawn_local;
use crate::safety::violations;
use crate::stream::Written;
use bytes::Bytes;
use connection::CallEnd;
use heathroad_balancer::api::Outcome;
use heathroad_jsonrpc::Framing;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::yield_now;
use tokio::time::Instant;

/// How the backends of a pool are called.
#[derive(Debug, Clone, Copy)]
pub struct Transport {
    /// The JSON-RPC port; `None` for the port of the target's address.
    pub port: Option<u16>,
    /// The framing of messages.
    pub framing: Framing,
    /// Maximum number of concurrent calls on a connection.
    pub max_calls: usize,
    /// The error code with which a backend declines a call without processing it.
    pub declined_code: Option<i64>,
    /// Whether calls carry retry budgets, as additional members of the message.
    pub carries_budget: bool,
}

impl Transport {
    /// Returns the address at which a process accepts calls.
    fn address(&self, target: &Target) -> SocketAddr {
        let mut address = target.address;
        if let Some(port) = self.port {
            address.set_port(port);
        }
        address
    }
}

/// What identifies the far end of a connection and the form of its messages. Pools of the same
/// process may differ in port and framing, and share connections only where they do not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) struct ConnectionKey {
    /// The id of the target.
    pub(super) target_id: u64,
    address: SocketAddr,
    framing: Framing,
}

impl ConnectionKey {
    fn new(target: &Target, transport: &Transport) -> ConnectionKey {
        ConnectionKey {
            target_id: target.id,
            address: transport.address(target),
            framing: transport.framing,
        }
    }
}

/// The content of a JSON-RPC call, which is the same for all its attempts.
pub struct Call {
    /// The method name as a quoted JSON string.
    pub method: Bytes,
    /// The parameters as unparsed JSON.
    pub params: Option<Bytes>,
    /// Whether the call is a notification, which has no response.
    pub is_notification: bool,
    /// How the call is sent.
    pub transport: Transport,
}

impl Pool {
    /// Returns the least loaded connection to a process, by a transport, that accepts another call.
    pub(super) fn find_jsonrpc(
        &self,
        target: &Target,
        transport: &Transport,
    ) -> Option<Rc<Connection>> {
        let (connections, now) = (self.jsonrpc.borrow(), Instant::now());
        let max_age = self.max_idle_age();
        let load = |connection: &Rc<Connection>| {
            let is_aged = connection
                .idle_time()
                .is_some_and(|idle_time| idle_time >= max_age);
            let load = connection.load(transport.max_calls, now);
            load.filter(|_| !is_aged)
        };
        let key = ConnectionKey::new(target, transport);
        let candidates = connections.get(&key)?.iter().rev();
        let available = candidates.filter_map(|connection| Some((load(connection)?, connection)));
        let (_, least_loaded) = available.min_by_key(|(load, _)| *load)?;
        Some(least_loaded.clone())
    }

    /// Opens a connection to a process.
    pub(super) async fn connect_jsonrpc(
        self: &Rc<Self>,
        target: &Rc<Target>,
        transport: Transport,
    ) -> Result<Rc<Connection>, Outcome> {
        let key = ConnectionKey::new(target, &transport);
        let (stream, slot) = self.connect(key.address).await?;
        let connection = Rc::new(Connection::new());
        let mut connections = self.jsonrpc.borrow_mut();
        connections.entry(key).or_default().push(connection.clone());
        let (pool, target) = (self.clone(), target.clone());
        spawn_local(io::run(pool, connection.clone(), target, stream, key, slot));
        Ok(connection)
    }

    /// Removes a connection that has ended.
    fn remove_jsonrpc(&self, key: &ConnectionKey, ended: &Rc<Connection>) {
        let mut connections = self.jsonrpc.borrow_mut();
        if let Some(same_key) = connections.get_mut(key) {
            same_key.retain(|connection| !Rc::ptr_eq(connection, ended));
            if same_key.is_empty() {
                connections.remove(key);
            }
        }
    }
}

/// Sends a call and waits for its response. The control records how much of the call is written.
pub(super) async fn exchange(
    pool: &Rc<Pool>,
    call: &Call,
    target: &Rc<Target>,
    expires_at: Instant,
    control: &Rc<AttemptControl>,
    budget: Option<&AttemptBudget>,
) -> AttemptEnd {
    loop {
        let (connection, is_reused) = match acquire(pool, call, target).await {
            Ok(acquired) => acquired,
            Err(outcome) => return AttemptEnd::NotServed(outcome),
        };
        if let Err(denial) = pool.check_write(target, control) {
            violations::record_denial(denial, &String::from_utf8_lossy(&call.method));
            return AttemptEnd::NotServed(Outcome::NotSent);
        }
        let mut handle = connection.start_call(call, expires_at, control, budget);
        let end = (&mut handle.end).await;
        if is_reused && matches!(end, Ok(CallEnd::ConnectionLost(Written::None))) {
            // The reused connection was closed before anything was written, so the call can be sent
            // over another one. Yields first, so that the tasks of other closed connections notice.
            yield_now().await;
            continue;
        }
        return classify_end(end.ok(), call, budget);
    }
}

/// Returns a connection to a process and whether it is reused.
async fn acquire(
    pool: &Rc<Pool>,
    call: &Call,
    target: &Rc<Target>,
) -> Result<(Rc<Connection>, bool), Outcome> {
    match pool.find_jsonrpc(target, &call.transport) {
        Some(connection) => Ok((connection, true)),
        None => Ok((pool.connect_jsonrpc(target, call.transport).await?, false)),
    }
}

/// Classifies the end of a call. `None` means that the connection's task was dropped; the call may
/// have been executed.
fn classify_end(end: Option<CallEnd>, call: &Call, budget: Option<&AttemptBudget>) -> AttemptEnd {
    match end {
        Some(CallEnd::Answered(answer)) => {
            if let Some(budget) = budget {
                budget.read_jsonrpc_report(answer.retries_spent.as_deref());
            }
            classify_response(answer, call.transport.declined_code)
        }
        Some(CallEnd::NotificationSent) => AttemptEnd::NotificationSent,
        Some(CallEnd::Denied) => AttemptEnd::NotServed(Outcome::NotSent),
        Some(CallEnd::ConnectionLost(Written::None | Written::Partial)) => {
            AttemptEnd::NotServed(Outcome::ConnectFailed)
        }
        Some(CallEnd::ConnectionLost(Written::Complete)) | None => {
            AttemptEnd::NotServed(Outcome::Reset)
        }
    }
}
