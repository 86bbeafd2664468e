//! Tests of the timing, and of following an endpoint list over a socket.

use super::*;
use crate::runtime_accounting::timeout;
use endpoint_list::InstanceHealth;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};

fn list_json(seq: u64, whole: bool, health: &str) -> String {
    format!(
        r#"{{"seq":{seq},"whole":{whole},"hosts":[{{"host":"a","dial":"127.0.0.1:9","health":"{health}"}}]}}"#
    )
}

/// Responds to each request with the next body, and returns the targets of the requests.
async fn serve_lists(listener: TcpListener, bodies: Vec<String>) -> Vec<String> {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut targets = Vec::new();
    for body in bodies {
        let mut bytes = vec![0; 1024];
        let n = stream.read(&mut bytes).await.expect("a request");
        let head = String::from_utf8_lossy(&bytes[..n]).into_owned();
        targets.push(
            head.split_whitespace()
                .nth(1)
                .expect("a request target")
                .to_string(),
        );
        let response = format!(
            "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream
            .write_all(response.as_bytes())
            .await
            .expect("an open connection");
    }
    targets
}

/// Guards against requests to a draining backend after a missed change counts as announced: on
/// demand, 6 s after the watch fell silent or 2 s after its long poll; with an agent, at once, and
/// attempts may then go on for the drain grace.
#[test]
fn a_silent_watch_is_detected_in_time() {
    let on_demand = WatchTiming::ON_DEMAND;
    let announced = Duration::from_secs(6).max(on_demand.long_poll + Duration::from_secs(2));
    let hedges = on_demand.max_requests as u32 - 1;
    let detected =
        on_demand.long_poll + on_demand.watch_overdue + on_demand.hedge_interval * hedges;
    assert!(detected + on_demand.min_backoff < announced, "{detected:?}");
    for ms in [200, 500, 1000, 2000, 60_000] {
        let grace = Duration::from_millis(ms);
        let timing = WatchTiming::for_agent(grace);
        let watch = timing.long_poll + timing.watch_overdue + timing.hedge_interval;
        // The longest interval between two requests, in a round of hedged requests or from the last
        // of a round to the first of the next.
        let interval = timing
            .watch_overdue
            .max(timing.list_overdue)
            .max(timing.hedge_interval + timing.max_backoff);
        let outage = interval + timing.hedge_interval.max(timing.watch_overdue);
        assert!(
            watch < grace && outage < grace,
            "{grace:?}: {watch:?}, {outage:?}"
        );
    }
}

/// Guards against a stale change that makes a draining backend serve again.
#[tokio::test]
async fn a_stale_change_is_skipped_and_the_whole_list_requested() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("bound");
    let bodies = [
        (5, true, "SERVING"),
        (7, false, "DRAINING"),
        (6, false, "SERVING"),
        (2, true, "SERVING"),
    ];
    let bodies = bodies.map(|(seq, whole, health)| list_json(seq, whole, health));
    let (_sender, watch_requested) = watch::channel(true);
    let updates = Rc::new(RefCell::new(Vec::new()));
    let received = updates.clone();
    let on_event = move |event| {
        let DiscoveryEvent::Update(update) = event else {
            panic!("a poll failed")
        };
        received
            .borrow_mut()
            .push((update.kind, update.instances[0].health));
    };
    LocalSet::new()
        .run_until(async move {
            let following = spawn_local(follow(
                on_event,
                address,
                false,
                Duration::from_secs(1),
                watch_requested,
            ));
            let targets = timeout(
                Duration::from_secs(20),
                serve_lists(listener, bodies.to_vec()),
            )
            .await;
            let targets = targets.expect("a request for each list");
            let versions: Vec<_> = targets
                .iter()
                .map(|target| target.split(['=', '&']).nth(1).unwrap_or("").to_string())
                .collect();
            // After the stale change, the whole list is requested.
            assert_eq!(versions, ["", "5", "7", ""]);
            timeout(Duration::from_secs(20), async {
                while updates.borrow().len() < 3 {
                    tokio::task::yield_now().await;
                }
            })
            .await
            .expect("an update for the last list");
            following.abort();
            // A whole list with a lower version is accepted: the registry has restarted.
            let kinds = [
                UpdateKind::Snapshot,
                UpdateKind::Delta,
                UpdateKind::Snapshot,
            ];
            let healths = [
                InstanceHealth::Serving,
                InstanceHealth::Draining,
                InstanceHealth::Serving,
            ];
            let updates: Vec<_> = updates
                .borrow()
                .iter()
                .map(|(kind, health)| (*kind, *health == InstanceHealth::Serving))
                .collect();
            assert_eq!(
                updates,
                kinds
                    .into_iter()
                    .zip(healths.map(|health| health == InstanceHealth::Serving))
                    .collect::<Vec<_>>()
            );
        })
        .await;
}
