//! Calls to a proxy over JSON-RPC, as older finance systems make them: one connection to each
//! proxy, calls pipelined or gathered into batches, each call's end classified.

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

/// A connect that takes longer has failed.
const CONNECT: Duration = Duration::from_millis(1000);
/// So long past its time an answer is still awaited, to tell a late one from none.
const PAST: Duration = Duration::from_millis(150);
/// A batch waits so long for its members.
const GATHER: Duration = Duration::from_millis(25);
/// The proxy's codes for refused, failed, and failed for want of time.
const CODES: [i64; 3] = [-32001, -32002, -32003];

/// What is called.
pub struct Call {
    /// Tells it apart: its id in the text, and in its parameters for the backend.
    pub id: u64,
    /// Its method, which is its class.
    pub method: String,
    /// Its tenant.
    pub tenant: String,
    /// Its key.
    pub key: Option<u64>,
    /// How long it is waited for.
    pub time_limit: Micros,
}

/// How a call went.
pub struct CallResult {
    /// When the last byte of its text was written.
    pub sent_at: Option<Micros>,
    /// When the proxy's close was found to have crossed it, so that it was sent once more.
    pub resent_at: Option<Micros>,
    /// How it ended.
    pub end: AttemptEnd,
    /// When.
    pub ended_at: Micros,
}

type Waiters = Rc<RefCell<HashMap<u64, oneshot::Sender<AttemptEnd>>>>;

struct Wire {
    writer: Mutex<OwnedWriteHalf>,
    waiters: Waiters,
    /// The batch that goes out next: its answers come to this connection's waiters.
    gathering: RefCell<Gathering>,
}

/// A batch that gathers members.
#[derive(Default)]
struct Gathering {
    members: Vec<Value>,
    sent: Vec<oneshot::Sender<Option<Micros>>>,
}

/// One connection to each proxy.
pub struct JsonRpcClient {
    clock: Clock,
    /// Members of a batch; 1 is no batches.
    batch: usize,
    wires: RefCell<HashMap<SocketAddr, Rc<Wire>>>,
    /// Answers that belong to no call that waits: to none at all, or the second to one.
    extra: RefCell<Vec<u64>>,
}

fn text(call: &Call) -> Value {
    let mut params = json!({"id": format!("{:016x}", call.id), "tenant": call.tenant});
    if let Some(key) = call.key {
        params["key"] = format!("{key:016x}").into();
    }
    json!({"jsonrpc": "2.0", "method": call.method, "params": params, "id": format!("{:016x}", call.id)})
}

/// What an answer means.
fn meaning(id: u64, answer: &Value) -> AttemptEnd {
    if let Some(result) = answer.get("result") {
        return match result.as_str() {
            Some(body) => crate::client::parse_response_body(id, body.as_bytes()),
            None => AttemptEnd::UnknownBody(result.to_string().chars().take(80).collect()),
        };
    }
    let error = &answer["error"];
    match error["code"].as_i64() {
        Some(code) if code == CODES[0] => {
            let after = error["data"]["retry_after_ms"].as_f64();
            AttemptEnd::Refused {
                after: after.map(|ms| micros_from_seconds(ms / 1000.0)),
            }
        }
        Some(code) if code == CODES[1] => AttemptEnd::Failed(502),
        Some(code) if code == CODES[2] => AttemptEnd::Failed(504),
        Some(_) => AttemptEnd::Failed(400),
        None => AttemptEnd::Malformed,
    }
}

fn id(answer: &Value) -> Option<u64> {
    u64::from_str_radix(answer["id"].as_str()?, 16).ok()
}

impl JsonRpcClient {
    /// Connects to nobody yet.
    pub fn new(clock: Clock, batch: usize) -> Rc<JsonRpcClient> {
        let (wires, extra) = Default::default();
        Rc::new(JsonRpcClient {
            clock,
            batch: batch.max(1),
            wires,
            extra,
        })
    }

    /// Calls to whose answer another came, or that were never made.
    pub fn take_unexpected(&self) -> Vec<u64> {
        self.extra.take()
    }

    async fn wire(self: &Rc<Self>, to: SocketAddr) -> Option<Rc<Wire>> {
        if let Some(wire) = self.wires.borrow().get(&to) {
            return Some(wire.clone());
        }
        let stream = timeout(CONNECT, TcpStream::connect(to)).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        let (reader, writer) = stream.into_split();
        let (writer, waiters, gathering) = (Mutex::new(writer), Rc::default(), RefCell::default());
        let wire = Rc::new(Wire {
            writer,
            waiters,
            gathering,
        });
        spawn_local(self.clone().read(to, reader, wire.waiters.clone()));
        // Two that connected at once each use their own; the later one is kept.
        self.wires.borrow_mut().insert(to, wire.clone());
        Some(wire)
    }

    /// Reads answers until the connection ends; who waits then waits in vain.
    async fn read(self: Rc<Self>, to: SocketAddr, reader: OwnedReadHalf, waiters: Waiters) {
        let mut lines = BufReader::new(reader).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let answers = match serde_json::from_str(&line) {
                Ok(Value::Array(list)) => list,
                Ok(one) => vec![one],
                Err(_) => break,
            };
            for answer in answers {
                let id = id(&answer).unwrap_or(0);
                match waiters.borrow_mut().remove(&id) {
                    // Who waited may have given up.
                    Some(waiter) => drop(waiter.send(meaning(id, &answer))),
                    None => self.extra.borrow_mut().push(id),
                }
            }
        }
        let own = |w: &Rc<Wire>| Rc::ptr_eq(&w.waiters, &waiters);
        self.wires
            .borrow_mut()
            .retain(|addr, w| *addr != to || !own(w));
        waiters
            .borrow_mut()
            .drain()
            .for_each(|(_, w)| drop(w.send(AttemptEnd::Truncated(false))));
    }

    /// Makes one call.
    pub async fn call(self: &Rc<Self>, to: SocketAddr, call: &Call) -> CallResult {
        let told = self.once(to, call).await;
        match told.end {
            AttemptEnd::Truncated(false) => {
                let crossed = Some(told.ended_at);
                CallResult {
                    resent_at: crossed,
                    ..self.once(to, call).await
                }
            }
            _ => told,
        }
    }

    async fn once(self: &Rc<Self>, to: SocketAddr, call: &Call) -> CallResult {
        let told = |sent, end| CallResult {
            sent_at: sent,
            resent_at: None,
            end,
            ended_at: self.clock.now(),
        };
        let Some(wire) = self.wire(to).await else {
            return told(None, AttemptEnd::Unsent);
        };
        let (waiter, end) = oneshot::channel();
        wire.waiters.borrow_mut().insert(call.id, waiter);
        let Some(sent) = self.send(&wire, text(call)).await else {
            wire.waiters.borrow_mut().remove(&call.id);
            return told(None, AttemptEnd::Unsent);
        };
        let patience = Duration::from_micros(call.time_limit) + PAST;
        // Its waiter stays: an answer after that is a late one, and no extra.
        let end = timeout(patience, end).await;
        told(
            Some(sent),
            end.map_or(AttemptEnd::NoResponse, |end| {
                end.unwrap_or(AttemptEnd::Truncated(false))
            }),
        )
    }

    /// Writes a member, alone or with others; when its last byte was written.
    async fn send(&self, wire: &Wire, member: Value) -> Option<Micros> {
        if self.batch == 1 {
            return self.write(wire, &member).await;
        }
        let (tell, sent) = oneshot::channel();
        let (first, full) = {
            let mut gathering = wire.gathering.borrow_mut();
            gathering.members.push(member);
            gathering.sent.push(tell);
            (
                gathering.members.len() == 1,
                gathering.members.len() >= self.batch,
            )
        };
        if full {
            self.post(wire).await;
        } else if first {
            sleep(GATHER).await;
            // Unless it was filled up meanwhile, and others gather since: those wait by themselves.
            self.post(wire).await;
        }
        sent.await.ok().flatten()
    }

    async fn post(&self, wire: &Wire) {
        let gathered = wire.gathering.take();
        if gathered.members.is_empty() {
            return;
        }
        let at = self.write(wire, &Value::Array(gathered.members)).await;
        // Who waited may have given up.
        gathered.sent.into_iter().for_each(|s| {
            let _ = s.send(at);
        });
    }

    async fn write(&self, wire: &Wire, value: &Value) -> Option<Micros> {
        let mut writer = wire.writer.lock().await;
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
    fn answers_mean_what_they_say() {
        let of = |text: &str| meaning(0x1f, &serde_json::from_str(text).expect("JSON"));
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
