//! Tests of the timing, and of following a list over a socket.

use super::*;
use crate::runtime_accounting::timeout;
use endpoint_list::InstanceHealth;
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

/// A change that a silent watch misses counts as announced 6 s after the watch fell silent, at its
/// very beginning at worst, or 2 s after its long poll. On demand one hedged request fits in
/// before. What an agent has counts as announced at once, and sends end within the drain grace:
/// whenever the agent falls silent or recovers, a later request is answered by then, also if
/// another one hangs.
#[test]
fn a_silent_watch_is_noticed_in_time() {
    let on_demand = WatchTiming::ON_DEMAND;
    let announced = Duration::from_secs(6).max(on_demand.long_poll + Duration::from_secs(2));
    let hedges = on_demand.max_requests as u32 - 1;
    let once = on_demand.long_poll + on_demand.watch_overdue + on_demand.hedge_interval * hedges;
    assert!(once + on_demand.min_backoff < announced, "{once:?}");
    for ms in [200, 500, 1000, 2000, 60_000] {
        let grace = Duration::from_millis(ms);
        let timing = WatchTiming::pushed(grace);
        let watch = timing.long_poll + timing.watch_overdue + timing.hedge_interval;
        // Between two requests of one round, and from the last of a round to the second of the
        // next.
        let round = timing
            .watch_overdue
            .max(timing.list_overdue)
            .max(timing.hedge_interval + timing.max_backoff);
        let outage = round + timing.hedge_interval.max(timing.watch_overdue);
        assert!(
            watch < grace && outage < grace,
            "{grace:?}: {watch:?}, {outage:?}"
        );
    }
}

#[tokio::test]
async fn a_stale_change_is_skipped_and_the_whole_list_requested() {
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
    let hear = move |event| {
        let DiscoveryEvent::Update(update) = event else {
            panic!("no request fails")
        };
        hears
            .borrow_mut()
            .push((update.kind, update.instances[0].health));
    };
    LocalSet::new()
        .run_until(async move {
            let following = spawn_local(follow(hear, addr, false, Duration::from_secs(1), wanted));
            let asked = timeout(Duration::from_secs(20), registry(listener, pages.to_vec())).await;
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
            let healths = [
                InstanceHealth::Serving,
                InstanceHealth::Draining,
                InstanceHealth::Serving,
            ];
            let heard: Vec<_> = heard
                .borrow()
                .iter()
                .map(|(k, h)| (*k, *h == InstanceHealth::Serving))
                .collect();
            assert_eq!(
                heard,
                all.into_iter()
                    .zip(healths.map(|h| h == InstanceHealth::Serving))
                    .collect::<Vec<_>>()
            );
        })
        .await;
}
