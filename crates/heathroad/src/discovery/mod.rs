//! Discovery: the list of backends, and the watch on its changes.

pub mod endpoint_list;

use crate::runtime_accounting::{sleep, spawn_local, timeout};
use bytes::Bytes;
use endpoint_list::{Host, Page};
use heathroad_balancer::api::UpdateKind;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use std::future::{Future, poll_fn};
use std::net::SocketAddr;
use std::pin::pin;
use std::task::{Poll, ready};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time::Instant;

/// How a list is followed. A watch that has fallen silent shows only by the answer that does not
/// come: the sooner that is noticed, the less is missed, and the more calls are made.
#[derive(Debug, Clone, Copy)]
struct Manner {
    /// How long a watch waits for a change.
    wait: Duration,
    /// A watch's answer that is later than its wait by this may not be coming: another call is made
    /// beside it.
    silence: Duration,
    /// The same for the whole list, which does not wait.
    whole: Duration,
    /// So long after that the next one is.
    stagger: Duration,
    /// Most calls at once; so long after the last of them all have failed.
    calls: usize,
    /// Pause after a failed call: doubles from the one to the other.
    backoff: [Duration; 2],
}

/// Lists are pushed to an agent on this machine, which answers at once and at no cost. What it has
/// counts as told here, also what it gets at the end of an outage in which it was silent, and a
/// call from before then may hang for good. So whatever falls silent and whenever, another call is
/// made within the grace in which sends to a backend that drains have to end; and not by one call
/// at a time.
fn pushed(grace: Duration) -> Manner {
    let grace = grace.clamp(GRACE[0], GRACE[1]);
    Manner {
        wait: grace / 2,
        silence: grace / 5,
        whole: grace / 5,
        stagger: grace / 10,
        calls: 4,
        backoff: [Duration::from_millis(50), Duration::from_millis(50)],
    }
}

/// A grace is taken as no shorter, since calls of a process that is late by itself must not pile
/// up, and as no longer.
const GRACE: [Duration; 2] = [Duration::from_millis(200), Duration::from_secs(2)];
/// One service answers all proxies in turn, late at times, and each call is work: a watch that has
/// fallen silent is noticed in time for one other call before what it misses counts as told, 2 s
/// after its wait.
const ASKED: Manner = Manner {
    wait: Duration::from_secs(10),
    silence: Duration::from_millis(500),
    // By then a call that has waited in turn for too long was told so.
    whole: Duration::from_millis(2250),
    stagger: Duration::from_millis(1000),
    calls: 2,
    backoff: [Duration::from_millis(50), Duration::from_secs(1)],
};
/// A connection that takes longer to come up does not.
const CONNECT: Duration = Duration::from_secs(1);
/// Pause after an answer without news that came at once; a watch goes on if asked within 200 ms.
const LULL: Duration = Duration::from_millis(100);
/// Longest list.
const MAX_LIST: usize = 8 << 20;

/// What comes of following discovery.
pub enum News {
    /// A list of backends, or changes to it, and its number.
    List(UpdateKind, Vec<Host>, u64),
    /// A call failed where the list must be asked for.
    Failed,
}

/// Follows discovery for ever and hands on what it hears. Where the list must be asked for, it does
/// so when that is wanted and tells of failures; elsewhere it watches all the time, and is late by
/// less than the grace of a drain.
pub async fn follow(
    hear: impl Fn(News),
    address: SocketAddr,
    must_ask: bool,
    grace: Duration,
    mut wanted: watch::Receiver<bool>,
) {
    let manner = if must_ask { ASKED } else { pushed(grace) };
    let (mut seq, mut link, mut pause) = (None, None, manner.backoff[0]);
    let mut fails = false;
    loop {
        if must_ask && !*wanted.borrow_and_update() {
            if wanted.changed().await.is_err() {
                return;
            }
            continue;
        }
        let asked = Instant::now();
        // In an outage nothing is waited for: what comes at its end would be missed by a call that
        // waits from before.
        let wait = if fails && !must_ask {
            Duration::ZERO
        } else {
            manner.wait
        };
        match ask(&mut link, address, seq.map(|seq| (seq, wait)), manner).await {
            // An old state that comes behind a newer one would bring a draining backend back. A
            // whole list stands, whatever its version: discovery itself may have begun anew, and
            // then has nothing that is newer than what is held for a long time. So that is asked
            // for.
            Ok(page) if !page.whole && seq.is_some_and(|held| page.seq < held) => {
                seq = None;
                sleep(LULL).await;
            }
            Ok(page) => {
                (seq, pause, fails) = (Some(page.seq), manner.backoff[0], false);
                let news = page.whole || !page.hosts.is_empty();
                if news {
                    let kind = if page.whole {
                        UpdateKind::Snapshot
                    } else {
                        UpdateKind::Delta
                    };
                    let seq = page.seq;
                    hear(News::List(kind, page.entries(), seq));
                } else if asked.elapsed() < LULL {
                    sleep(LULL).await;
                }
            }
            Err(e) => {
                if !std::mem::replace(&mut fails, true) {
                    tracing::warn!("discovery: {e}");
                }
                if must_ask {
                    // The module decides when to ask again.
                    hear(News::Failed);
                }
                sleep(pause).await;
                pause = (pause * 2).min(manner.backoff[1]);
            }
        }
    }
}

type Link = SendRequest<Empty<Bytes>>;

/// The whole list, or what comes after the version that is held, within a wait. Where its answer is
/// overdue others are asked for beside it, on connections of their own, which wait for nothing; the
/// first answer is the one.
async fn ask(
    link: &mut Option<Link>,
    address: SocketAddr,
    after: Option<(u64, Duration)>,
    manner: Manner,
) -> Result<Page, String> {
    let (wait, late) = after.map_or((Duration::ZERO, manner.whole), |(_, wait)| {
        (wait, manner.silence)
    });
    let mut calls = vec![Box::pin(call(link.take(), address, after))];
    let mut made = 1;
    let mut due = pin!(sleep(wait + late));
    poll_fn(|cx| {
        loop {
            let mut failed = None;
            for at in (0..calls.len()).rev() {
                match calls[at].as_mut().poll(cx) {
                    Poll::Ready(Ok((page, kept))) => {
                        *link = kept;
                        return Poll::Ready(Ok(page));
                    }
                    Poll::Ready(Err(e)) => {
                        drop(calls.remove(at));
                        failed = Some(e);
                    }
                    Poll::Pending => {}
                }
            }
            if let Some(e) = failed.filter(|_| calls.is_empty()) {
                return Poll::Ready(Err(e));
            }
            ready!(due.as_mut().poll(cx));
            if made == manner.calls {
                return Poll::Ready(Err("no answer in time".to_string()));
            }
            made += 1;
            calls.push(Box::pin(call(
                None,
                address,
                after.map(|(seq, _)| (seq, Duration::ZERO)),
            )));
            due.set(sleep(manner.stagger));
        }
    })
    .await
}

/// One call: for what is newer than a version, after a wait where there is nothing, or for the
/// whole list. What it brings, and the connection if that is fit for the next.
async fn call(
    link: Option<Link>,
    address: SocketAddr,
    after: Option<(u64, Duration)>,
) -> Result<(Page, Option<Link>), String> {
    let path = match after {
        None => "/registry/instances".to_string(),
        Some((seq, wait)) => format!(
            "/registry/instances?after={seq}&wait_ms={}",
            wait.as_millis()
        ),
    };
    let mut sender = match link.filter(|l| !l.is_closed()) {
        Some(sender) => sender,
        None => connect(address).await?,
    };
    let request = Request::get(path)
        .header(header::HOST, address.to_string())
        .body(Empty::new());
    let request = request.map_err(|e| e.to_string())?;
    let answer = sender
        .send_request(request)
        .await
        .map_err(|e| e.to_string())?;
    if answer.status() != StatusCode::OK {
        return Err(format!("answered {}", answer.status()));
    }
    let body = Limited::new(answer.into_body(), MAX_LIST)
        .collect()
        .await
        .map_err(|e| e.to_string())?;
    let page = serde_json::from_slice(&body.to_bytes()).map_err(|e| format!("list: {e}"))?;
    Ok((page, sender.ready().await.is_ok().then_some(sender)))
}

async fn connect(address: SocketAddr) -> Result<Link, String> {
    let stream = timeout(CONNECT, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| format!("{address}: no connection in time"))?;
    let stream = stream.map_err(|e| format!("{address}: {e}"))?;
    stream.set_nodelay(true).map_err(|e| e.to_string())?;
    let (sender, connection) = handshake(TokioIo::new(stream))
        .await
        .map_err(|e| e.to_string())?;
    spawn_local(async move {
        // Its end shows at the sender.
        let _ = connection.await;
    });
    Ok(sender)
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::discovery::endpoint_list::Health;
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
            asked.push(
                head.split_whitespace()
                    .nth(1)
                    .expect("a target")
                    .to_string(),
            );
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{page}",
                page.len()
            );
            stream.write_all(answer.as_bytes()).await.expect("open");
        }
        asked
    }

    /// What a silent watch misses counts as told 6 s after it fell silent, at its very beginning at
    /// worst, or 2 s after its wait is over: where calls cost, one other call fits in before. Where
    /// they cost nothing, what an agent has got counts at once, and sends end within the grace:
    /// whenever it falls silent or speaks again, a call made since is answered by then, also where
    /// one more of them hangs.
    #[test]
    fn silence_is_noticed_in_time() {
        let told = |m: Manner| Duration::from_secs(6).max(m.wait + Duration::from_secs(2));
        let once = ASKED.wait + ASKED.silence + ASKED.stagger * (ASKED.calls as u32 - 1);
        assert!(once + ASKED.backoff[0] < told(ASKED), "{once:?}");
        for ms in [200, 500, 1000, 2000, 60_000] {
            let grace = Duration::from_millis(ms);
            let m = pushed(grace);
            let watch = m.wait + m.silence + m.stagger;
            // Between two calls of one round, and from the last of a round to the second of the
            // next.
            let outage =
                m.silence.max(m.whole).max(m.stagger + m.backoff[1]) + m.stagger.max(m.silence);
            assert!(
                watch < grace && outage < grace,
                "{grace:?}: {watch:?}, {outage:?}"
            );
        }
    }

    #[tokio::test]
    async fn an_old_state_behind_a_newer_one_is_passed_over() {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let addr = listener.local_addr().expect("bound");
        let pages = [
            (5, true, "SERVING"),
            (7, false, "DRAINING"),
            (6, false, "SERVING"),
            (2, true, "SERVING"),
        ];
        let pages = pages.map(|(seq, whole, health)| page(seq, whole, health));
        let (_want, wanted) = watch::channel(true);
        let heard = Rc::new(RefCell::new(Vec::new()));
        let hears = heard.clone();
        let hear = move |news| {
            let News::List(kind, hosts, _) = news else {
                panic!("no call fails")
            };
            hears.borrow_mut().push((kind, hosts[0].health));
        };
        LocalSet::new()
            .run_until(async move {
                let following =
                    spawn_local(follow(hear, addr, false, Duration::from_secs(1), wanted));
                let asked =
                    timeout(Duration::from_secs(20), registry(listener, pages.to_vec())).await;
                let asked = asked.expect("it asks on");
                let versions: Vec<_> = asked
                    .iter()
                    .map(|a| a.split(['=', '&']).nth(1).unwrap_or("").to_string())
                    .collect();
                // The old state is passed over, and what holds instead is asked for.
                assert_eq!(versions, ["", "5", "7", ""]);
                timeout(Duration::from_secs(20), async {
                    while heard.borrow().len() < 3 {
                        tokio::task::yield_now().await;
                    }
                })
                .await
                .expect("the last page is heard");
                following.abort();
                // A whole list of a lower version is one of a registry that has begun anew.
                let all = [
                    UpdateKind::Snapshot,
                    UpdateKind::Delta,
                    UpdateKind::Snapshot,
                ];
                let healths = [Health::Serving, Health::Draining, Health::Serving];
                let heard: Vec<_> = heard
                    .borrow()
                    .iter()
                    .map(|(k, h)| (*k, *h == Health::Serving))
                    .collect();
                assert_eq!(
                    heard,
                    all.into_iter()
                        .zip(healths.map(|h| h == Health::Serving))
                        .collect::<Vec<_>>()
                );
            })
            .await;
    }
}
