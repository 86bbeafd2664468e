//! A JSON-RPC client with one connection to each proxy. Calls are pipelined or batched, and each
//! call's result is classified.

use crate::clock::{Clock, Micros, micros_from_seconds};
use crate::event_log::AttemptEnd;
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Mutex, oneshot};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Time limit for connecting.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Extra wait beyond the time limit, which distinguishes late responses from missing ones.
const LATE_RESPONSE_WAIT: Duration = Duration::from_millis(150);
/// How long an incomplete batch waits for further calls.
const BATCH_DELAY: Duration = Duration::from_millis(25);
/// The proxy's error codes: refused, failed, timed out.
const REFUSED_CODE: i64 = -32001;
const FAILED_CODE: i64 = -32002;
const TIMED_OUT_CODE: i64 = -32003;

/// A call to make.
pub struct Call {
    /// Request id, sent as the call's id and in its parameters for the backend.
    pub id: u64,
    /// Method, which is the class.
    pub method: String,
    /// Tenant.
    pub tenant: String,
    /// Idempotency key.
    pub key: Option<u64>,
    /// How long the client waits for the response.
    pub time_limit: Micros,
}

/// Result of a call.
pub struct CallResult {
    /// When the last byte of the call was written.
    pub sent_at: Option<Micros>,
    /// When the call was sent again because the proxy had closed the connection.
    pub resent_at: Option<Micros>,
    /// How the call ended.
    pub end: AttemptEnd,
    /// When the call ended.
    pub ended_at: Micros,
}

type Waiters = Rc<RefCell<HashMap<u64, oneshot::Sender<AttemptEnd>>>>;

struct Connection {
    writer: Mutex<OwnedWriteHalf>,
    waiters: Waiters,
    /// The batch that is sent next on this connection.
    pending_batch: RefCell<Batch>,
}

/// A batch that is not yet sent.
#[derive(Default)]
struct Batch {
    members: Vec<Value>,
    sent: Vec<oneshot::Sender<Option<Micros>>>,
}

/// A client with one connection to each proxy.
pub struct JsonRpcClient {
    clock: Clock,
    /// Maximum calls of a batch; 1 disables batching.
    batch: usize,
    connections: RefCell<HashMap<SocketAddr, Rc<Connection>>>,
    /// Ids of responses that no pending call matches: unknown or answered before.
    unexpected: RefCell<Vec<u64>>,
}

fn encode(call: &Call) -> Value {
    let mut params = json!({"id": format!("{:016x}", call.id), "tenant": call.tenant});
    if let Some(key) = call.key {
        params["key"] = format!("{key:016x}").into();
    }
    json!({"jsonrpc": "2.0", "method": call.method, "params": params, "id": format!("{:016x}", call.id)})
}

/// Classifies a response.
fn classify(id: u64, response: &Value) -> AttemptEnd {
    if let Some(result) = response.get("result") {
        return match result.as_str() {
            Some(body) => crate::client::parse_response_body(id, body.as_bytes()),
            None => AttemptEnd::UnknownBody(result.to_string().chars().take(80).collect()),
        };
    }
    let error = &response["error"];
    match error["code"].as_i64() {
        Some(code) if code == REFUSED_CODE => {
            let after = error["data"]["retry_after_ms"].as_f64();
            AttemptEnd::Refused {
                after: after.map(|ms| micros_from_seconds(ms / 1000.0)),
            }
        }
        Some(code) if code == FAILED_CODE => AttemptEnd::Failed(502),
        Some(code) if code == TIMED_OUT_CODE => AttemptEnd::Failed(504),
        Some(_) => AttemptEnd::Failed(400),
        None => AttemptEnd::Malformed,
    }
}

fn response_id(response: &Value) -> Option<u64> {
    u64::from_str_radix(response["id"].as_str()?, 16).ok()
}

impl JsonRpcClient {
    /// Returns a client without connections.
    pub fn new(clock: Clock, batch: usize) -> Rc<JsonRpcClient> {
        let (connections, unexpected) = Default::default();
        Rc::new(JsonRpcClient {
            clock,
            batch: batch.max(1),
            connections,
            unexpected,
        })
    }

    /// Returns the ids of unexpected responses.
    pub fn take_unexpected(&self) -> Vec<u64> {
        self.unexpected.take()
    }

    async fn connection(self: &Rc<Self>, to: SocketAddr) -> Option<Rc<Connection>> {
        if let Some(connection) = self.connections.borrow().get(&to) {
            return Some(connection.clone());
        }
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(to))
            .await
            .ok()?
            .ok()?;
        stream.set_nodelay(true).ok()?;
        let (reader, writer) = stream.into_split();
        let (writer, waiters, pending_batch) =
            (Mutex::new(writer), Rc::default(), RefCell::default());
        let connection = Rc::new(Connection {
            writer,
            waiters,
            pending_batch,
        });
        spawn_local(self.clone().read(to, reader, connection.waiters.clone()));
        // Of two connections opened at the same time, the later one is reused.
        self.connections.borrow_mut().insert(to, connection.clone());
        Some(connection)
    }

    /// Reads responses until the connection ends, then fails all pending calls.
    async fn read(self: Rc<Self>, to: SocketAddr, reader: OwnedReadHalf, waiters: Waiters) {
        let mut lines = BufReader::new(reader).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let responses = match serde_json::from_str(&line) {
                Ok(Value::Array(list)) => list,
                Ok(one) => vec![one],
                Err(_) => break,
            };
            for response in responses {
                let id = response_id(&response).unwrap_or(0);
                match waiters.borrow_mut().remove(&id) {
                    // The caller may have timed out.
                    Some(waiter) => drop(waiter.send(classify(id, &response))),
                    None => self.unexpected.borrow_mut().push(id),
                }
            }
        }
        let own = |w: &Rc<Connection>| Rc::ptr_eq(&w.waiters, &waiters);
        self.connections
            .borrow_mut()
            .retain(|addr, w| *addr != to || !own(w));
        waiters
            .borrow_mut()
            .drain()
            .for_each(|(_, w)| drop(w.send(AttemptEnd::Truncated(false))));
    }

    /// Makes a call, and repeats it once if the proxy had closed the connection.
    pub async fn call(self: &Rc<Self>, to: SocketAddr, call: &Call) -> CallResult {
        let result = self.call_once(to, call).await;
        match result.end {
            AttemptEnd::Truncated(false) => {
                let crossed = Some(result.ended_at);
                CallResult {
                    resent_at: crossed,
                    ..self.call_once(to, call).await
                }
            }
            _ => result,
        }
    }

    async fn call_once(self: &Rc<Self>, to: SocketAddr, call: &Call) -> CallResult {
        let result = |sent, end| CallResult {
            sent_at: sent,
            resent_at: None,
            end,
            ended_at: self.clock.now(),
        };
        let Some(connection) = self.connection(to).await else {
            return result(None, AttemptEnd::Unsent);
        };
        let (waiter, end) = oneshot::channel();
        connection.waiters.borrow_mut().insert(call.id, waiter);
        let Some(sent) = self.send(&connection, encode(call)).await else {
            connection.waiters.borrow_mut().remove(&call.id);
            return result(None, AttemptEnd::Unsent);
        };
        let patience = Duration::from_micros(call.time_limit) + LATE_RESPONSE_WAIT;
        // The waiter stays registered, so that a late response doesn't count as unexpected.
        let end = timeout(patience, end).await;
        result(
            Some(sent),
            end.map_or(AttemptEnd::NoResponse, |end| {
                end.unwrap_or(AttemptEnd::Truncated(false))
            }),
        )
    }

    /// Writes a call, alone or in a batch, and returns when its last byte was written.
    async fn send(&self, connection: &Connection, member: Value) -> Option<Micros> {
        if self.batch == 1 {
            return self.write(connection, &member).await;
        }
        let (tell, sent) = oneshot::channel();
        let (first, full) = {
            let mut pending_batch = connection.pending_batch.borrow_mut();
            pending_batch.members.push(member);
            pending_batch.sent.push(tell);
            (
                pending_batch.members.len() == 1,
                pending_batch.members.len() >= self.batch,
            )
        };
        if full {
            self.flush(connection).await;
        } else if first {
            sleep(BATCH_DELAY).await;
            self.flush(connection).await;
        }
        sent.await.ok().flatten()
    }

    async fn flush(&self, connection: &Connection) {
        let batch = connection.pending_batch.take();
        if batch.members.is_empty() {
            return;
        }
        let at = self.write(connection, &Value::Array(batch.members)).await;
        // The caller may have timed out.
        batch.sent.into_iter().for_each(|s| {
            let _ = s.send(at);
        });
    }

    async fn write(&self, connection: &Connection, value: &Value) -> Option<Micros> {
        let mut writer = connection.writer.lock().await;
        writer
            .write_all(format!("{value}\n").as_bytes())
            .await
            .ok()?;
        Some(self.clock.now())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn responses_are_classified_by_result_and_error_code() {
        let of = |text: &str| classify(0x1f, &serde_json::from_str(text).expect("JSON"));
        assert_eq!(
            of(r#"{"result":"000000000000001f 0000000000000002"}"#),
            AttemptEnd::Served(2)
        );
        assert!(matches!(
            of(r#"{"result":"0000000000000020 0000000000000002"}"#),
            AttemptEnd::UnknownBody(_)
        ));
        assert!(matches!(of(r#"{"result":7}"#), AttemptEnd::UnknownBody(_)));
        let refused = r#"{"error":{"code":-32001,"message":"","data":{"retry_after_ms":250}}}"#;
        assert_eq!(
            of(refused),
            AttemptEnd::Refused {
                after: Some(250_000)
            }
        );
        assert_eq!(
            of(r#"{"error":{"code":-32001,"message":""}}"#),
            AttemptEnd::Refused { after: None }
        );
        assert_eq!(
            of(r#"{"error":{"code":-32002,"message":""}}"#),
            AttemptEnd::Failed(502)
        );
        assert_eq!(
            of(r#"{"error":{"code":-32003,"message":""}}"#),
            AttemptEnd::Failed(504)
        );
        assert_eq!(
            of(r#"{"error":{"code":7,"message":""}}"#),
            AttemptEnd::Failed(400)
        );
        assert_eq!(of(r#"{"id":1}"#), AttemptEnd::Malformed);
    }
}
