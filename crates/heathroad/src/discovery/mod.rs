//! Discovery: the list of backends, and the watch on its changes.

pub mod roster;

use crate::effort::{sleep, spawn_local, timeout};
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use roster::{Host, Page};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;
use turnshift::api::ListKind;

/// How long a watch waits for a change; short, so that a dead watch is soon noticed.
const WAIT: Duration = Duration::from_secs(10);
/// An answer that is later than its wait by this is not coming.
const PATIENCE: Duration = Duration::from_millis(1500);
/// Pause after a failed call: doubles from the one to the other.
const BACKOFF: [Duration; 2] = [Duration::from_millis(50), Duration::from_secs(1)];
/// Pause after an answer without news that came at once; a watch goes on if asked within 200 ms.
const LULL: Duration = Duration::from_millis(100);
/// Longest list.
const MAX_LIST: usize = 8 << 20;

/// What comes of following discovery.
pub enum News {
    /// A list of backends, or changes to it, and its number.
    List(ListKind, Vec<Host>, u64),
    /// A call failed where the list must be asked for.
    Failed,
}

/// Follows discovery for ever and hands on what it hears. Where the list must be asked for, it does so when that
/// is wanted and tells of failures; elsewhere it watches all the time.
pub async fn follow(
    hear: impl Fn(News),
    address: SocketAddr,
    must_ask: bool,
    mut wanted: watch::Receiver<bool>,
) {
    let (mut seq, mut link, mut pause) = (None, None, BACKOFF[0]);
    loop {
        if must_ask && !*wanted.borrow_and_update() {
            if wanted.changed().await.is_err() {
                return;
            }
            continue;
        }
        let asked = Instant::now();
        match ask(&mut link, address, seq).await {
            // An old state that comes behind a newer one would bring a draining backend back. A whole list stands,
            // whatever its version: discovery itself may have begun anew.
            Ok(page) if !page.whole && seq.is_some_and(|held| page.seq < held) => sleep(LULL).await,
            Ok(page) => {
                (seq, pause) = (Some(page.seq), BACKOFF[0]);
                let news = page.whole || !page.hosts.is_empty();
                if news {
                    let kind = if page.whole { ListKind::Full } else { ListKind::Delta };
                    let seq = page.seq;
                    hear(News::List(kind, page.entries(), seq));
                } else if asked.elapsed() < LULL {
                    sleep(LULL).await;
                }
            }
            Err(e) => {
                if pause == BACKOFF[0] {
                    tracing::warn!("discovery: {e}");
                }
                link = None;
                if must_ask {
                    // The module decides when to ask again.
                    hear(News::Failed);
                }
                sleep(pause).await;
                pause = (pause * 2).min(BACKOFF[1]);
            }
        }
    }
}

type Link = SendRequest<Empty<Bytes>>;

/// One call: the whole list first, then a watch from the version that is held.
async fn ask(link: &mut Option<Link>, address: SocketAddr, seq: Option<u64>) -> Result<Page, String> {
    let (path, wait) = match seq {
        None => ("/registry/instances".to_string(), Duration::ZERO),
        Some(seq) => (format!("/registry/instances?after={seq}&wait_ms={}", WAIT.as_millis()), WAIT),
    };
    let call = async {
        let mut sender = match link.take().filter(|l| !l.is_closed()) {
            Some(sender) => sender,
            None => connect(address).await?,
        };
        let request = Request::get(path).header(header::HOST, address.to_string()).body(Empty::new());
        let request = request.map_err(|e| e.to_string())?;
        let answer = sender.send_request(request).await.map_err(|e| e.to_string())?;
        if answer.status() != StatusCode::OK {
            return Err(format!("answered {}", answer.status()));
        }
        let body = Limited::new(answer.into_body(), MAX_LIST).collect().await.map_err(|e| e.to_string())?;
        if sender.ready().await.is_ok() {
            *link = Some(sender);
        }
        serde_json::from_slice(&body.to_bytes()).map_err(|e| format!("list: {e}"))
    };
    timeout(wait + PATIENCE, call).await.map_err(|_| "no answer in time".to_string())?
}

async fn connect(address: SocketAddr) -> Result<Link, String> {
    let stream = timeout(PATIENCE, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| format!("{address}: no connection in time"))?;
    let stream = stream.map_err(|e| format!("{address}: {e}"))?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await.map_err(|e| e.to_string())?;
    spawn_local(async move {
        // Its end shows at the sender.
        let _ = connection.await;
    });
    Ok(sender)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::discovery::roster::Health;
    use std::cell::RefCell;
    use std::rc::Rc;
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    use tokio::net::TcpListener;
    use tokio::task::{LocalSet, spawn_local};

    fn page(seq: u64, whole: bool, health: &str) -> String {
        format!(
            r#"{{"seq":{seq},"whole":{whole},"hosts":[{{"host":"a","dial":"127.0.0.1:9","health":"{health}"}}]}}"#
        )
    }

    /// Answers each call with the next page, and tells what was asked.
    async fn registry(listener: TcpListener, pages: Vec<String>) -> Vec<String> {
        let (mut stream, _) = listener.accept().await.expect("it comes");
        let mut asked = Vec::new();
        for page in pages {
            let mut bytes = vec![0; 1024];
            let n = stream.read(&mut bytes).await.expect("open");
            let head = String::from_utf8_lossy(&bytes[..n]).into_owned();
            asked.push(head.split_whitespace().nth(1).expect("a target").to_string());
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{page}", page.len());
            stream.write_all(answer.as_bytes()).await.expect("open");
        }
        asked
    }

    #[tokio::test]
    async fn an_old_state_behind_a_newer_one_is_passed_over() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        let pages =
            [(5, true, "SERVING"), (7, false, "DRAINING"), (6, false, "SERVING"), (2, true, "SERVING")];
        let pages = pages.map(|(seq, whole, health)| page(seq, whole, health));
        let (_want, wanted) = watch::channel(true);
        let heard = Rc::new(RefCell::new(Vec::new()));
        let hears = heard.clone();
        let hear = move |news| {
            let News::List(kind, hosts, _) = news else { panic!("no call fails") };
            hears.borrow_mut().push((kind, hosts[0].health));
        };
        LocalSet::new()
            .run_until(async move {
                let following = spawn_local(follow(hear, addr, false, wanted));
                let asked = timeout(Duration::from_secs(20), registry(listener, pages.to_vec())).await;
                let asked = asked.expect("it asks on");
                let versions: Vec<_> =
                    asked.iter().map(|a| a.split(['=', '&']).nth(1).unwrap_or("").to_string()).collect();
                assert_eq!(versions, ["", "5", "7", "7"]);
                timeout(Duration::from_secs(20), async {
                    while heard.borrow().len() < 3 {
                        tokio::task::yield_now().await;
                    }
                })
                .await
                .expect("the last page is heard");
                following.abort();
                // A whole list of a lower version is one of a registry that has begun anew.
                let all = [ListKind::Full, ListKind::Delta, ListKind::Full];
                let healths = [Health::Serving, Health::Draining, Health::Serving];
                let heard: Vec<_> = heard.borrow().iter().map(|(k, h)| (*k, *h == Health::Serving)).collect();
                assert_eq!(
                    heard,
                    all.into_iter().zip(healths.map(|h| h == Health::Serving)).collect::<Vec<_>>()
                );
            })
            .await;
    }
}
