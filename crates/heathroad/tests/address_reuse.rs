//! A new process comes up at the address of one that has gone, on loopback sockets: it is not taken
//! for the old one.

mod rig;

use rig::*;
use serde_json::Value;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// The cell of the process that has gone, in which keys are known, and that of the new one.
const CELLS: [u16; 2] = [1, 2];
/// How long the proxy has to use a connection that has come up.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// Longer than any wait of the test, in milliseconds.
const NO_LIMIT: f64 = 60_000.0;

fn host(name: &str, address: SocketAddr, cell: u16, born_ms: u64, health: &str) -> Value {
    let mut host = line(name, address, health);
    host["block"] = cell.into();
    host["born_ms"] = born_ms.into();
    host
}

fn now_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.expect("after 1970").as_millis() as u64
}

/// Guards against a keyed request that is repeated over a connect to a process of its cell, which
/// another process, of another cell, has answered.
#[tokio::test]
async fn a_connect_is_not_used_once_another_process_has_the_address() {
    let orders = Arc::new(Orders::default());
    let first = Backend::start("first", &orders).await;
    let (listener, held) = silent().await;
    let address = listener.local_addr().expect("bound");
    let listed = |health| host("first", first.addr, CELLS[0], 0, health);
    let discovery = Discovery::start(vec![listed("SERVING")]).await;
    let mut settings = settings();
    settings["classes"][1]["group"] = "cell".into();
    settings["caps"]["connectTimeout"] = NO_LIMIT.into();
    settings["guarantees"]["stopSendingWithin"] = NO_LIMIT.into();
    let proxy = Proxy::settled(&discovery, settings).await;
    orders.give([Do::Hold(Arc::new(Notify::new()))]);
    let mut caller = soon(TcpStream::connect(proxy.addr)).await.expect("open");
    let head = "POST /keep?k=1 HTTP/1.1\r\nHost: o\r\nReq-Owner: acme\r\nReq-Id: keyed\r\n";
    let call = format!("{head}Req-Deadline-Ms: 20000\r\nIdempotency-Key: 5c0f\r\n\r\n");
    caller.write_all(call.as_bytes()).await.expect("open");
    orders.came(1).await;
    // It may have run at the first; its repeat goes to the only other process of that cell.
    let old = host("old", address, CELLS[0], 0, "SERVING");
    discovery.tell(vec![listed("DRAINING"), old]).await;
    first.break_all().await;
    soon(connecting(address)).await;
    let new = host("new", address, CELLS[1], now_ms(), "SERVING");
    discovery.tell(vec![listed("DRAINING"), new]).await;
    let _new = Backend::on("new", listener, &orders);
    drop(held);
    // The new process is in service, for other requests.
    assert_eq!(proxy.call("look").await, (200, "new".into()));
    let connected = async {
        loop {
            let open = connections(address);
            if open[0] == 0 && open[1] <= 1 {
                return;
            }
            tokio::task::yield_now().await;
        }
    };
    soon(connected).await;
    // What would be written over the connection has been by then.
    assert_eq!(proxy.call("look").await, (200, "new".into()));
    tokio::time::sleep(SETTLE_TIME).await;
    let seen = orders.seen.borrow();
    let of_request = seen
        .iter()
        .filter(|(_, head, _)| head.headers["req-id"] == "keyed");
    let nodes: Vec<&str> = of_request.map(|(name, ..)| *name).collect();
    assert_eq!(nodes, ["first"], "it ran in another cell too");
}

/// How many connections to an address the system has: under way, and up.
fn connections(address: SocketAddr) -> [usize; 2] {
    let port = format!(":{:04X}", address.port());
    let table = std::fs::read_to_string("/proc/net/tcp").expect("a table");
    let fields = table
        .lines()
        .map(|line| line.split_whitespace().collect::<Vec<_>>());
    let states: Vec<String> = fields
        .filter(|fields| fields.get(2).is_some_and(|remote| remote.ends_with(&port)))
        .filter_map(|fields| fields.get(3).map(ToString::to_string))
        .collect();
    ["02", "01"].map(|state| states.iter().filter(|other| *other == state).count())
}
