//! Stand-in nodes that speak JSON-RPC, a text a line, and HTTP for who speaks that; and raw
//! callers.

use super::soon;
use serde_json::Value;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};

/// The code of an answer that says that nothing was executed.
pub const REFUSED: i64 = -32001;
/// The code of an answer that says that the call failed and may have run.
pub const FAILED: i64 = -32002;
/// The code of an answer that says that no response came in time.
pub const TIMED_OUT: i64 = -32003;
/// The code of an answer to what is no JSON or came too late.
pub const PARSE_ERROR: i64 = -32700;

/// What a node does with a call.
#[derive(Clone)]
pub enum Act {
    /// Answers with its name.
    Serve,
    /// Answers with these bytes, where `$ID` is the call's id.
    Raw(&'static str),
    /// Writes so many bytes of its answer, and resets the connection.
    Cut(usize),
    /// Writes so many bytes of its answer, and nothing more.
    Half(usize),
    /// Answers once it is told to; other calls go on.
    Hold(Arc<Notify>),
    /// Ends the connection.
    Close,
}

/// A call that came.
#[derive(Clone, Debug)]
pub struct Seen {
    pub node: &'static str,
    /// Which of its connections, counted over all nodes.
    pub connection: usize,
    pub text: String,
}

impl Seen {
    pub fn value(&self) -> Value {
        serde_json::from_str(&self.text).expect("JSON")
    }
}

/// What nodes have in common: what to do with the next calls, wherever they go, and what came.
#[derive(Default)]
pub struct Script {
    next: Mutex<VecDeque<Act>>,
    /// A call whose text holds this is cut off in its answer, whichever it is.
    pub victim: Mutex<Option<&'static str>>,
    pub seen: watch::Sender<Vec<Seen>>,
    connections: AtomicUsize,
}

impl Script {
    pub fn give(&self, acts: impl IntoIterator<Item = Act>) {
        self.next.lock().expect("sound").extend(acts);
    }
    pub async fn came(&self, n: usize) {
        soon(self.seen.subscribe().wait_for(|s| s.len() >= n))
            .await
            .expect("open");
    }
    pub fn connections(&self) -> usize {
        self.connections.load(SeqCst)
    }
    /// The texts that came of calls whose parameters name this.
    pub fn of(&self, what: &str) -> Vec<Seen> {
        self.seen
            .borrow()
            .iter()
            .filter(|s| s.text.contains(what))
            .cloned()
            .collect()
    }
}

pub struct Node {
    pub name: &'static str,
    pub addr: SocketAddr,
    sever: watch::Sender<()>,
    shut: watch::Sender<()>,
}

impl Node {
    pub async fn start(name: &'static str, script: &Arc<Script>) -> Node {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        let (sever, shut) = (watch::Sender::new(()), watch::Sender::new(()));
        let (severing, shutting, script) = (sever.clone(), shut.clone(), script.clone());
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("a connection");
                let number = script.connections.fetch_add(1, SeqCst);
                let (script, mut severed, mut shut) =
                    (script.clone(), severing.subscribe(), shutting.subscribe());
                tokio::spawn(async move {
                    let (reader, writer) = stream.into_split();
                    let writer = Arc::new(tokio::sync::Mutex::new(writer));
                    tokio::select! {
                        () = serve(name, number, &script, reader, &writer) => {}
                        _ = severed.changed() => reset(&writer).await,
                        _ = shut.changed() => drop(writer.lock().await.shutdown().await),
                    }
                });
            }
        });
        Node {
            name,
            addr,
            sever,
            shut,
        }
    }

    /// Resets all its connections.
    pub fn break_all(&self) {
        self.sever.send_replace(());
    }

    /// Closes them in good order.
    pub fn close_all(&self) {
        self.shut.send_replace(());
    }
}

async fn reset(writer: &tokio::sync::Mutex<OwnedWriteHalf>) {
    let writer = writer.lock().await;
    socket2::SockRef::from(writer.as_ref())
        .set_linger(Some(Duration::ZERO))
        .expect("a socket");
}

async fn serve(
    name: &'static str,
    connection: usize,
    script: &Arc<Script>,
    reader: OwnedReadHalf,
    writer: &Arc<tokio::sync::Mutex<OwnedWriteHalf>>,
) {
    let mut lines = BufReader::new(reader).lines();
    let (tell, mut told) = tokio::sync::mpsc::unbounded_channel::<()>();
    loop {
        let line = tokio::select! {
            line = lines.next_line() => line,
            // A task has ended the connection.
            _ = told.recv() => return,
        };
        let Ok(Some(text)) = line else { return };
        if text.starts_with("GET ") || text.starts_with("POST ") {
            // Its head; bodies of these tests are empty.
            while !soon(lines.next_line())
                .await
                .expect("readable")
                .unwrap_or_default()
                .is_empty()
            {}
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{name}",
                name.len()
            );
            writer
                .lock()
                .await
                .write_all(answer.as_bytes())
                .await
                .expect("open");
            continue;
        }
        let victim = script
            .victim
            .lock()
            .expect("sound")
            .is_some_and(|v| text.contains(v));
        let next = || {
            script
                .next
                .lock()
                .expect("sound")
                .pop_front()
                .unwrap_or(Act::Serve)
        };
        let act = if victim { Act::Cut(3) } else { next() };
        script.seen.send_modify(|s| {
            s.push(Seen {
                node: name,
                connection,
                text: text.clone(),
            });
        });
        // The proxy writes it last, as a number.
        let id = text
            .rsplit_once(",\"id\":")
            .map(|(_, id)| id.trim_end_matches('}').to_string());
        let id = id.filter(|id| id.bytes().all(|b| b.is_ascii_digit()));
        let answer =
            move |id: &str| format!("{{\"jsonrpc\":\"2.0\",\"result\":\"{name}\",\"id\":{id}}}\n");
        let Some(id) = id else { continue };
        let (writer, tell) = (writer.clone(), tell.clone());
        tokio::spawn(async move {
            let put = async |bytes: &[u8]| drop(writer.lock().await.write_all(bytes).await);
            match act {
                Act::Serve => put(answer(&id).as_bytes()).await,
                Act::Raw(text) => put(text.replace("$ID", &id).as_bytes()).await,
                Act::Half(n) => put(&answer(&id).as_bytes()[..n]).await,
                Act::Hold(told) => {
                    told.notified().await;
                    put(answer(&id).as_bytes()).await;
                }
                Act::Cut(n) => {
                    put(&answer(&id).as_bytes()[..n]).await;
                    // What was written must not be taken back by the reset.
                    tokio::time::sleep(Duration::from_millis(2)).await;
                    reset(&writer).await;
                    let _ = tell.send(());
                }
                Act::Close => drop(tell.send(())),
            }
        });
    }
}

/// A caller on a socket of its own.
pub struct Raw {
    reader: BufReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
}

impl Raw {
    pub async fn to(addr: SocketAddr) -> Raw {
        let (reader, writer) = soon(TcpStream::connect(addr))
            .await
            .expect("it listens")
            .into_split();
        Raw {
            reader: BufReader::new(reader),
            writer,
        }
    }

    pub async fn write(&mut self, bytes: &[u8]) {
        soon(self.writer.write_all(bytes)).await.expect("open");
    }

    /// Sends to one that may have ended.
    pub async fn try_write(&mut self, bytes: &[u8]) -> std::io::Result<()> {
        soon(self.writer.write_all(bytes)).await
    }

    /// Ends its own side towards one that may have ended.
    pub async fn try_shut(&mut self) -> std::io::Result<()> {
        soon(self.writer.shutdown()).await
    }

    /// Sends a text as a line.
    pub async fn send(&mut self, text: &str) {
        self.write(format!("{text}\n").as_bytes()).await;
    }

    /// The next line; empty at the end.
    pub async fn line(&mut self) -> String {
        let mut line = String::new();
        // A reset is an end too.
        let _ = soon(self.reader.read_line(&mut line)).await;
        line.trim_end().to_string()
    }

    pub async fn next(&mut self) -> Value {
        let line = self.line().await;
        serde_json::from_str(&line).unwrap_or_else(|e| panic!("{e}: {line:?}"))
    }

    pub async fn call(&mut self, text: &str) -> Value {
        self.send(text).await;
        self.next().await
    }

    /// Ends its own side.
    pub async fn shut(&mut self) {
        soon(self.writer.shutdown()).await.expect("open");
    }

    /// Leaves at once, with a reset.
    pub fn leave(self) {
        // Whole again, so that no orderly end goes before the reset.
        let stream = self
            .reader
            .into_inner()
            .reunite(self.writer)
            .expect("its own halves");
        socket2::SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .expect("a socket");
    }

    /// What comes until the end.
    pub async fn rest(&mut self) -> String {
        let mut bytes = Vec::new();
        let _ = soon(self.reader.read_to_end(&mut bytes)).await;
        String::from_utf8_lossy(&bytes).into_owned()
    }
}

/// A call of a method, with what tells it apart in its parameters.
pub fn call(method: &str, what: &str, id: &str) -> String {
    format!(
        r#"{{"jsonrpc":"2.0","method":"{method}","params":{{"claim":{{"id":"{what}"}}}},"id":{id}}}"#
    )
}

/// The code of an answer's error; 0 of a result.
pub fn code(answer: &Value) -> i64 {
    answer["error"]["code"].as_i64().unwrap_or(0)
}
