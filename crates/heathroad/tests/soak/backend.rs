//! A backend for soaks: it serves, delays, declines, hangs or closes by the request's id, over HTTP
//! and JSON-RPC, and records each attempt.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// An attempt that a backend read completely.
#[derive(Clone, Debug)]
pub struct SeenAttempt {
    pub id: String,
    pub at: Instant,
    /// Whether the backend declined it, so that it never ran.
    pub declined: bool,
}

/// The attempts that all backends of a round have seen.
pub type Attempts = Arc<Mutex<Vec<SeenAttempt>>>;

/// What a backend does with a request.
enum Behavior {
    ServeAfter(Duration),
    Decline,
    Hang,
    Close,
}

impl Behavior {
    /// Draws the behavior for an attempt.
    fn draw(random: &mut fastrand::Rng) -> Behavior {
        match random.u32(0..100) {
            0..60 => Behavior::ServeAfter(Duration::from_millis(random.u64(0..5))),
            60..78 => Behavior::ServeAfter(Duration::from_millis(random.u64(5..150))),
            78..90 => Behavior::Decline,
            90..96 => Behavior::Hang,
            _ => Behavior::Close,
        }
    }
}

/// Starts a backend; returns its address.
pub async fn start(attempts: &Attempts, seed: u64) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let address = listener.local_addr().expect("bound");
    let attempts = attempts.clone();
    let mut random = fastrand::Rng::with_seed(seed);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, attempts.clone(), random.fork()));
        }
    });
    address
}

/// Serves requests until the connection ends, or the drawn behavior ends it.
async fn serve(stream: TcpStream, attempts: Attempts, mut random: fastrand::Rng) {
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    while let Some(request) = Request::read(&mut reader).await {
        let behavior = Behavior::draw(&mut random);
        attempts.lock().expect("sound").push(SeenAttempt {
            id: request.id.clone(),
            at: Instant::now(),
            declined: matches!(behavior, Behavior::Decline),
        });
        let answer = match behavior {
            Behavior::ServeAfter(delay) => {
                sleep(delay).await;
                request.served()
            }
            Behavior::Decline => request.declined(),
            Behavior::Hang => {
                // Until the other side closes.
                let _ = reader.read_to_end(&mut Vec::new()).await;
                return;
            }
            Behavior::Close => return,
        };
        if writer.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// A request over either protocol.
struct Request {
    id: String,
    /// The number of a JSON-RPC call; `None` over HTTP.
    call_id: Option<String>,
}

impl Request {
    async fn read(reader: &mut (impl AsyncBufReadExt + Unpin)) -> Option<Request> {
        let line = read_line(reader).await?;
        if line.starts_with('{') {
            let call: serde_json::Value = serde_json::from_str(&line).ok()?;
            return Some(Request {
                id: call["params"]["claim"]["id"].as_str()?.to_string(),
                call_id: Some(call["id"].to_string()),
            });
        }
        let (mut id, mut length) = (String::new(), 0);
        loop {
            let line = read_line(reader).await?;
            if let Some(value) = line.strip_prefix("req-id: ") {
                id = value.to_string();
            } else if let Some(value) = line.strip_prefix("content-length: ") {
                length = value.parse().ok()?;
            } else if line.is_empty() {
                break;
            }
        }
        reader.read_exact(&mut vec![0; length]).await.ok()?;
        Some(Request { id, call_id: None })
    }

    fn served(&self) -> String {
        let id = &self.id;
        match &self.call_id {
            Some(number) => {
                format!("{{\"jsonrpc\":\"2.0\",\"result\":\"{id}\",\"id\":{number}}}\n")
            }
            None => format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{id}",
                id.len()
            ),
        }
    }

    fn declined(&self) -> String {
        match &self.call_id {
            Some(number) => format!(
                "{{\"jsonrpc\":\"2.0\",\"error\":{{\"code\":-32050,\"message\":\"no\"}},\"id\":{number}}}\n"
            ),
            None => "HTTP/1.1 503 No\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n".to_string(),
        }
    }
}

async fn read_line(reader: &mut (impl AsyncBufReadExt + Unpin)) -> Option<String> {
    let mut line = String::new();
    let read = reader.read_line(&mut line).await.ok()?;
    (read > 0).then(|| line.trim_end().to_string())
}
