//! Budgets down a chain of started programs: outages are not multiplied, loops end within one pass,
//! and what a request has left goes down with it.

mod rig;

use http_body_util::{BodyExt, Full};
use hyper::Request;
use rig::chain::*;
use rig::*;
use serde_json::{Value, json};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

fn budget(name: &str, lends: bool) -> Value {
    json!({"name": name, "inner": ["127.0.0.1"], "lends": lends})
}

/// Three tiers with two servers between each, and two at the end.
struct Chain {
    proxies: Vec<(Proxy, SocketAddr)>,
    servers: Vec<Server>,
}

async fn chain(budgets: bool, end: Acts) -> Chain {
    chain_to(budgets, end, None).await
}

/// The same, to addresses at which nobody listens where they are told.
async fn chain_to(budgets: bool, end: Acts, dead: Option<[SocketAddr; 2]>) -> Chain {
    let (mut proxies, mut servers) = (Vec::new(), Vec::new());
    let mut below = Arc::new(OnceLock::new());
    for tier in (1..=3).rev() {
        let acts: Acts = if tier == 3 {
            end.clone()
        } else {
            Arc::new(|_, _| Act::Call(1))
        };
        let two = [
            Server::start(&below, acts.clone()).await,
            Server::start(&below, acts).await,
        ];
        let terms = budgets.then(|| budget(&format!("t{tier}"), tier < 3));
        let ends = dead
            .filter(|_| tier == 3)
            .unwrap_or([two[0].addr, two[1].addr]);
        let (proxy, admin) = proxy_over(&ends, terms).await;
        below = Arc::new(OnceLock::from(proxy.addr));
        proxies.push((proxy, admin));
        servers.extend(two);
    }
    proxies.reverse();
    Chain { proxies, servers }
}

impl Chain {
    /// So many requests by eight callers: how many were served, and the attempts that went out of
    /// each tier.
    async fn load(&self, requests: usize) -> (usize, Vec<u64>) {
        let before = self.attempts().await;
        let (next, served) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let mut callers = Vec::new();
        for _ in 0..8 {
            let mut caller = self.proxies[0].0.caller().await;
            let (next, served) = (next.clone(), served.clone());
            callers.push(tokio::spawn(async move {
                while next.fetch_add(1, SeqCst) < requests {
                    let (status, _) = caller.call("look").await;
                    assert!([200, 502, 503, 504].contains(&status), "{status}");
                    served.fetch_add(usize::from(status == 200), SeqCst);
                }
            }));
        }
        for caller in callers {
            soon(caller).await.expect("each was answered");
        }
        let after = self.attempts().await;
        (
            served.load(SeqCst),
            after.iter().zip(before).map(|(a, b)| a - b).collect(),
        )
    }

    async fn attempts(&self) -> Vec<u64> {
        let mut all = Vec::new();
        for (_, admin) in &self.proxies {
            all.push(attempts(*admin).await);
        }
        all
    }

    async fn books(&self, tier: usize) -> Value {
        counts(self.proxies[tier].1).await["budget"].clone()
    }
}

/// Runs of a chain whose end is ill in a way: the attempts of each tier are 1.2 times the first
/// tries at the most, but for what the calm had saved up and what was in flight.
async fn held(end: Acts, requests: usize) -> (usize, Vec<u64>) {
    bounded(&chain(true, end).await, requests).await
}

async fn bounded(chain: &Chain, requests: usize) -> (usize, Vec<u64>) {
    let (served, attempts) = chain.load(requests).await;
    let transient = 20.0 + 8.0 * 2.0;
    for (tier, n) in attempts.iter().enumerate() {
        let most = 1.2 * requests as f64 + transient;
        assert!(
            *n as f64 <= most,
            "tier {}: {n} attempts for {requests} requests",
            tier + 1
        );
    }
    (served, attempts)
}

#[tokio::test]
async fn an_end_that_errs_at_once_makes_no_storm() {
    const REQUESTS: usize = 200;
    let (served, with) = held(Arc::new(|_, _| Act::Fail), REQUESTS).await;
    assert_eq!(served, 0);
    // Without budgets the same chain multiplies, though each tier has a retry budget of its own.
    let without = chain(false, Arc::new(|_, _| Act::Fail)).await;
    let (_, without) = without.load(REQUESTS).await;
    assert!(
        without.iter().sum::<u64>() > with.iter().sum::<u64>(),
        "{without:?} beside {with:?}"
    );
}

#[tokio::test]
async fn an_end_that_declines_makes_no_storm() {
    const REQUESTS: usize = 200;
    let (served, with) = held(Arc::new(|_, _| Act::Decline), REQUESTS).await;
    assert_eq!(served, 0);
    let without = chain(false, Arc::new(|_, _| Act::Decline)).await;
    let (_, without) = without.load(REQUESTS).await;
    let [with, without]: [u64; 2] = [with.iter().sum(), without.iter().sum()];
    assert!(
        without as f64 > 1.5 * with as f64,
        "{without} beside {with}"
    );
}

/// Nobody listens where the last tier was: connects fail, which is proved never to have run and was
/// tried again freely.
#[tokio::test]
async fn an_end_that_is_wholly_down_makes_no_storm() {
    const REQUESTS: usize = 200;
    // Bound and not listening: nobody else gets the port, and connects are refused.
    let taken = [(); 2].map(|()| {
        let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
        socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
        socket
    });
    let dead = [0, 1].map(|n: usize| taken[n].local_addr().expect("bound"));
    let acts: Acts = Arc::new(|_, _| Act::Serve);
    let (served, with) = bounded(&chain_to(true, acts.clone(), Some(dead)).await, REQUESTS).await;
    assert_eq!(served, 0);
    let (_, without) = chain_to(false, acts, Some(dead)).await.load(REQUESTS).await;
    let [with, without]: [u64; 2] = [with.iter().sum(), without.iter().sum()];
    assert!(
        without as f64 > 1.2 * with as f64,
        "{without} beside {with}"
    );
}

/// Half of the last tier is dead for good: the other half serves what that leaves undone, and
/// little is sent again.
#[tokio::test]
async fn an_end_that_is_half_down_serves_and_makes_no_storm() {
    const REQUESTS: usize = 300;
    let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
    socket.bind(([127, 0, 0, 1], 0).into()).expect("a port");
    let dead = socket.local_addr().expect("bound");
    let end = Server::start(&Arc::default(), Arc::new(|_, _| Act::Serve)).await;
    let chain = chain_to(true, Arc::new(|_, _| Act::Serve), Some([dead, end.addr])).await;
    let (served, attempts) = bounded(&chain, REQUESTS).await;
    assert!(
        served >= REQUESTS * 9 / 10,
        "{served} of {REQUESTS}: {attempts:?}"
    );
}

/// The last tier takes requests and answers none in time: what a caller has left goes down with its
/// request, no tier works on for longer, and little is sent again.
#[tokio::test]
async fn an_end_that_is_slow_is_given_up_all_the_way_down() {
    let chain = chain(true, Arc::new(|_, _| Act::Slow(Duration::from_secs(600)))).await;
    let mut callers = Vec::new();
    for _ in 0..8 {
        let mut caller = chain.proxies[0].0.caller().await;
        callers.push(tokio::spawn(async move {
            for _ in 0..3 {
                let mut request = request("look").body(Full::default()).expect("well formed");
                request
                    .headers_mut()
                    .insert("req-deadline-ms", "300".parse().expect("plain"));
                let (status, _) = caller.send(request).await;
                assert!([502, 503, 504].contains(&status), "{status}");
            }
        }));
    }
    for caller in callers {
        soon(caller).await.expect("each was answered in time");
    }
    let attempts = chain.attempts().await;
    assert!(
        attempts.iter().all(|n| *n <= 24 * 6 / 5 + 20),
        "{attempts:?}"
    );
    // The time went down: the tiers below have given up as well, long before the end would have
    // answered.
    for (_, admin) in &chain.proxies {
        soon(async {
            while counts(*admin).await["requests_open"] != 0 {
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        })
        .await;
    }
}

#[tokio::test]
async fn an_end_that_flaps_is_helped_within_the_share() {
    let (served, _) = held(
        Arc::new(|n, _| {
            if n / 20 % 2 == 0 {
                Act::Serve
            } else {
                Act::Fail
            }
        }),
        300,
    )
    .await;
    assert!(served > 50, "{served}");
}

/// What one more try can mend is mended, at the tier next to it.
#[tokio::test]
async fn an_end_that_errs_now_and_then_is_helped_next_to_it() {
    let acts: Acts = {
        let seen = Arc::new(AtomicUsize::new(0));
        // One request in eight fails, whoever has it.
        Arc::new(move |_, _| {
            if seen.fetch_add(1, SeqCst) % 8 == 7 {
                Act::Fail
            } else {
                Act::Serve
            }
        })
    };
    let (served, attempts) = held(acts, 300).await;
    assert!(
        served >= 285,
        "{served} of 300 with a tenth that may be tried again: {attempts:?}"
    );
    assert!(
        attempts[0] <= 310 && attempts[1] <= 310,
        "tiers above do not try what the last one mends: {attempts:?}"
    );
}

/// A server in the middle that is lost is another matter than what is below it: the tier above
/// tries another.
#[tokio::test]
async fn a_server_that_vanishes_in_the_middle_is_helped_from_above() {
    let nowhere = Arc::new(OnceLock::new());
    let end = Server::start(&nowhere, Arc::new(|_, _| Act::Serve)).await;
    let (last, _) = proxy_over(&[end.addr], Some(budget("t2", false))).await;
    let below = Arc::new(OnceLock::from(last.addr));
    let bad = Server::start(&below, Arc::new(|_, _| Act::Vanish)).await;
    let good = Server::start(&below, Arc::new(|_, _| Act::Call(1))).await;
    let (first, _) = proxy_over(&[bad.addr, good.addr], Some(budget("t1", true))).await;
    let mut caller = first.caller().await;
    for n in 0..20 {
        assert_eq!(caller.call("look").await.0, 200, "request {n}");
    }
    assert!(bad.came() > 0);
}

/// Calls that one parent makes at once share what it was lent: one more for each would be twice as
/// many.
#[tokio::test]
async fn parallel_calls_of_one_parent_share_what_is_left() {
    let nowhere = Arc::new(OnceLock::new());
    let end = [
        Server::start(&nowhere, Arc::new(|_, _| Act::Fail)).await,
        Server::start(&nowhere, Arc::new(|_, _| Act::Fail)).await,
    ];
    let (last, books) = proxy_over(&[end[0].addr, end[1].addr], Some(budget("t2", false))).await;
    let below = Arc::new(OnceLock::from(last.addr));
    let fan = Server::start(&below, Arc::new(|_, _| Act::Call(4))).await;
    let beside = Server::start(&below, Arc::new(|_, _| Act::Call(4))).await;
    let mut terms = budget("t1", true);
    terms["attempts"] = json!(3);
    let (first, _) = proxy_over(&[fan.addr, beside.addr], Some(terms)).await;
    assert_eq!(
        first.call("look").await.0,
        503,
        "it is harmless to try again"
    );
    // Two were lent and one kept, which the stop from below makes useless.
    let came = end[0].came() + end[1].came();
    assert!(
        (4..=6).contains(&came),
        "{came} for four calls and two further attempts"
    );
    assert_eq!(
        fan.came() + beside.came(),
        1,
        "what the tier below could not mend is not tried again above it"
    );
    assert_eq!(counts(books).await["budget"]["carried"], 4);
}

/// Proxies whose servers call the next one, and the last one's the first again: one, two and five
/// of them.
#[tokio::test]
async fn loops_end_within_one_pass() {
    for length in [1, 2, 5] {
        let addresses: Vec<Arc<OnceLock<SocketAddr>>> =
            (0..length).map(|_| Arc::default()).collect();
        let (mut proxies, mut servers) = (Vec::new(), Vec::new());
        for n in 0..length {
            let server =
                Server::start(&addresses[(n + 1) % length], Arc::new(|_, _| Act::Call(1))).await;
            let (proxy, admin) =
                proxy_over(&[server.addr], Some(budget(&format!("t{n}"), true))).await;
            addresses[n].set(proxy.addr).expect("not told yet");
            proxies.push((proxy, admin));
            servers.push(server);
        }
        // The second one is keyed, and so may go by retries alone: nothing goes round a second
        // time.
        for (n, class) in ["look", "keep"].into_iter().enumerate() {
            let (status, _) = proxies[0].0.call(class).await;
            assert!([502, 503].contains(&status), "{length}: {status}");
            let came: Vec<usize> = servers.iter().map(Server::came).collect();
            assert!(
                came.iter().all(|c| *c == n + 1),
                "{length}: ended as it came round, not sent again: {came:?}"
            );
        }
        let counts = counts(proxies[0].1).await;
        assert_eq!(
            (&counts["budget"]["loops"], &counts["unusable"]["508"]),
            (&json!(2), &json!(2)),
            "{length}"
        );
    }
}

/// A route that comes back once is no loop; a server that strips headers is found by the heap of
/// the same.
#[tokio::test]
async fn honest_re_entry_passes_and_stripped_headers_do_not_hide_a_loop() {
    let below = Arc::new(OnceLock::new());
    let names = |h: &hyper::HeaderMap| {
        h.get("req-path")
            .map_or(0, |p| p.to_str().unwrap_or("").split(',').count())
    };
    let acts: Acts = Arc::new(move |_, h| {
        if names(h) >= 2 {
            Act::Serve
        } else {
            Act::Call(1)
        }
    });
    let server = Server::start(&below, acts).await;
    let mut terms = budget("t1", true);
    terms["reentries"] = json!(1);
    let (proxy, _) = proxy_over(&[server.addr], Some(terms)).await;
    below.set(proxy.addr).expect("not told yet");
    assert_eq!(proxy.call("look").await.0, 200);
    assert_eq!(server.came(), 2);

    let below = Arc::new(OnceLock::new());
    let server = Server::start(&below, Arc::new(|_, _| Act::Strip)).await;
    let mut terms = budget("t2", true);
    terms["same"] = json!(3);
    terms["attempts"] = json!(0);
    let (proxy, admin) = proxy_over(&[server.addr], Some(terms)).await;
    below.set(proxy.addr).expect("not told yet");
    let (status, _) = proxy.call("look").await;
    assert!([502, 503].contains(&status), "{status}");
    assert_eq!(server.came(), 3, "three may be alike");
    assert_eq!(counts(admin).await["budget"]["loops"], 1);
}

fn told(class: &str, budget: &str) -> Request<Full<bytes::Bytes>> {
    request(class)
        .header("req-budget", budget)
        .body(Full::default())
        .expect("well formed")
}

/// A budget that ends after the backend may have run: failed when its time is over, never refused,
/// never sent again.
#[tokio::test]
async fn a_budget_that_ends_while_it_may_run_fails_and_promises_nothing() {
    let nowhere = Arc::new(OnceLock::new());
    let slow: Acts = Arc::new(|_, _| Act::Slow(Duration::from_millis(1500)));
    let servers = [
        Server::start(&nowhere, slow.clone()).await,
        Server::start(&nowhere, slow).await,
    ];
    let (proxy, _) = proxy_over(
        &[servers[0].addr, servers[1].addr],
        Some(budget("t1", false)),
    )
    .await;
    for class in ["once", "keep"] {
        let before = servers[0].came() + servers[1].came();
        let begun = Instant::now();
        let request = told(class, "t=200, a=0, w=1000, h=4, i=00000000000000aa");
        let (status, _) = proxy.caller().await.send(request).await;
        // A keyed one may be tried again by its caller, in its window; an unsafe one may not.
        let fine: &[u16] = if class == "once" {
            &[502, 504]
        } else {
            &[502, 503, 504]
        };
        assert!(fine.contains(&status), "{class}: {status}");
        assert!(
            begun.elapsed() < Duration::from_millis(1400),
            "its own deadline is a minute off"
        );
        assert_eq!(servers[0].came() + servers[1].came(), before + 1, "{class}");
    }
}

/// Whatever is claimed from outside, or can't be read, changes nothing but the count of it.
#[tokio::test]
async fn forged_and_spoilt_budgets_change_nothing() {
    let nowhere = Arc::new(OnceLock::new());
    let server = Server::start(&nowhere, Arc::new(|_, _| Act::Fail)).await;
    let mut terms = budget("t1", false);
    terms["inner"] = json!([]);
    terms["attempts"] = json!(1);
    let (proxy, admin) = proxy_over(&[server.addr, server.addr], Some(terms)).await;
    let long = format!("t=1, a=1, w=1, h={}", "9".repeat(6_000));
    for (n, text) in [
        "t=600000, a=64, w=1000, h=32, i=00000000000000aa",
        "t=60000, a=1000000000, w=1000, h=8, i=00000000000000aa",
        "t=-5, a=1, w=1, h=1, i=00000000000000aa",
        "t=NaN, a=1, w=1, h=1, i=00000000000000aa",
        &long,
    ]
    .into_iter()
    .enumerate()
    {
        let before = server.came();
        let answer = proxy.caller().await.send(told("look", text)).await.0;
        assert!([502, 503].contains(&answer), "{text:.60}: {answer}");
        assert!(server.came() - before <= 2, "{text:.60}");
        assert_eq!(
            counts(admin).await["budget"]["spoilt"],
            n as u64,
            "{text:.60}"
        );
    }
    let twice = request("look").header("req-budget", "t=1, a=1, w=1, h=1, i=00000000000000aa");
    let twice = twice.header("req-budget", "t=1, a=1, w=1, h=1, i=00000000000000aa");
    proxy
        .caller()
        .await
        .send(twice.body(Full::default()).expect("well formed"))
        .await;
    assert_eq!(counts(admin).await["budget"]["spoilt"], 5);
    // From outside less is taken at its word: no further attempt.
    let before = server.came();
    proxy
        .caller()
        .await
        .send(told(
            "look",
            "t=60000, a=0, w=1000, h=8, i=00000000000000aa",
        ))
        .await;
    assert_eq!(server.came() - before, 1);
    let prom = ask(admin, "GET", "/metrics", "").await.1;
    assert!(
        prom.contains("heathroad_budget_total{event=\"spoilt\"} 5"),
        "{prom}"
    );
}

/// Old proxies in the chain know nothing of budgets: everything goes on as before.
#[tokio::test]
async fn old_and_new_proxies_mix() {
    let nowhere = Arc::new(OnceLock::new());
    let end = Server::start(&nowhere, Arc::new(|_, _| Act::Serve)).await;
    let (last, books) = proxy_over(&[end.addr], Some(budget("t3", false))).await;
    let middle = Server::start(
        &Arc::new(OnceLock::from(last.addr)),
        Arc::new(|_, _| Act::Call(1)),
    )
    .await;
    let (old, _) = proxy_over(&[middle.addr], None).await;
    let first = Server::start(
        &Arc::new(OnceLock::from(old.addr)),
        Arc::new(|_, _| Act::Call(1)),
    )
    .await;
    let (new, _) = proxy_over(&[first.addr], Some(budget("t1", true))).await;
    for _ in 0..5 {
        assert_eq!(new.call("look").await.0, 200);
    }
    // What the old one does not pass on is not there.
    assert_eq!(counts(books).await["budget"]["entered"], 5);
}

/// The caller is told what was spent, and that more is of no use; who asks without a budget is told
/// nothing.
#[tokio::test]
async fn what_was_spent_is_told_to_who_asked_by_a_budget() {
    let nowhere = Arc::new(OnceLock::new());
    let server = Server::start(&nowhere, Arc::new(|_, _| Act::Fail)).await;
    let other = Server::start(&nowhere, Arc::new(|_, _| Act::Fail)).await;
    let (proxy, _) = proxy_over(&[server.addr, other.addr], Some(budget("t1", false))).await;
    let ask = async |request: Request<Full<bytes::Bytes>>| {
        let mut sender = connect(proxy.addr).await;
        let answer = soon(sender.send_request(request)).await.expect("an answer");
        let spent = answer
            .headers()
            .get("req-spent")
            .map(|v| v.to_str().expect("text").to_string());
        answer.into_body().collect().await.expect("whole");
        spent
    };
    let spent = ask(told("look", "t=2000, a=1, w=1000, h=4, i=00000000000000ab")).await;
    assert_eq!(spent.as_deref(), Some("a=1, stop"));
    // The same loan again: it is spent, and that is what is told.
    let spent = ask(told("look", "t=2000, a=1, w=1000, h=4, i=00000000000000ab")).await;
    assert_eq!(spent.as_deref(), Some("a=1, stop"));
    assert_eq!(
        ask(request("look").body(Full::default()).expect("well formed")).await,
        None
    );
    assert_eq!(
        server.came() + other.came(),
        2 + 1 + 3,
        "first tries and what each might have beside"
    );
}

/// What a tenant sends beyond its share is of low worth in the first tier, and in those below:
/// there it makes way too.
#[tokio::test]
async fn low_worth_goes_down_the_chain() {
    let nowhere = Arc::new(OnceLock::new());
    let worths = Arc::new(std::sync::Mutex::new(Vec::new()));
    let seen = worths.clone();
    let acts: Acts = Arc::new(move |_, h| {
        let budget = h
            .get("req-budget")
            .and_then(|b| b.to_str().ok())
            .unwrap_or_default()
            .to_string();
        seen.lock().expect("sound").extend(
            budget
                .split(", ")
                .find_map(|m| m.strip_prefix("w=")?.parse::<u16>().ok()),
        );
        Act::Serve
    });
    let end = Server::start(&nowhere, acts).await;
    let mut settings = quick();
    settings["tenants"][0]["quotaPerS"] = json!(1.0);
    let discovery = Discovery::start(vec![line("a", end.addr, "SERVING")]).await;
    let mut config = discovery.config(settings);
    config["budget"] = budget("t1", true);
    let proxy = Proxy::start_as(&config, "exec \"$0\"").await;
    discovery.settled().await;
    let mut caller = proxy.caller().await;
    for _ in 0..6 {
        assert_eq!(caller.call("look").await.0, 200);
    }
    // From a tier above: what is told there holds here, and is not lowered twice.
    caller
        .send(told("look", "t=2000, a=1, w=20, h=4, i=00000000000000ac"))
        .await;
    let worths = worths.lock().expect("sound").clone();
    assert_eq!(
        (worths.first(), worths.last()),
        (Some(&1000), Some(&20)),
        "{worths:?}"
    );
    assert!(worths[2..6].contains(&50), "past its share: {worths:?}");
}

/// A proxy with a listener for JSON-RPC over one server; its address for HTTP is not used.
async fn over_rpc(server: SocketAddr, terms: Value) -> (Proxy, SocketAddr, SocketAddr) {
    let routes = format!(
        "[[listener]]\nname = \"calls\"\nprotocol = \"json-rpc\"\nlisten = \"127.0.0.1:0\"\ntenant = \"acme\"\n\
         [[listener.method]]\nname = \"look\"\nclass = \"look\"\n\
         [[pool]]\nname = \"p\"\nbackends = [\"{server}\"]\n[pool.rpc]\nbudget = true\n[[pool.class]]\nname = \"look\"\n\
         effect = \"safe\"\naim_ms = 400\ndeadline_ms = 4000\n[[route]]\nname = \"all\"\npool = \"p\"\n"
    );
    let discovery = Discovery::start(vec![]).await;
    let mut config = discovery.config(quick());
    config["admin"] = "127.0.0.1:0".into();
    config["routes"] = write_file(".toml", &routes).to_str().expect("text").into();
    config["budget"] = terms;
    let (proxy, listeners, admin) = Proxy::start_with_listeners(&config, &["calls"]).await;
    (proxy, listeners[0], admin)
}

/// Over JSON-RPC the same goes as members of the envelope; a loop by way of both is one.
#[tokio::test]
async fn budgets_and_loops_pass_between_http_and_json_rpc() {
    let end = rpc_server(None).await;
    let (_last, listener, _) = over_rpc(end.addr, budget("t2", true)).await;
    let server = Server::start(
        &Arc::new(OnceLock::from(listener)),
        Arc::new(|_, _| Act::Rpc),
    )
    .await;
    let (first, _) = proxy_over(&[server.addr], Some(budget("t1", true))).await;
    assert_eq!(first.call("look").await.0, 200);
    assert_eq!((server.came(), end.came()), (1, 1));

    let up = Arc::new(OnceLock::new());
    let end = rpc_server(Some(up.clone())).await;
    let (_last, listener, _) = over_rpc(end.addr, budget("t2", true)).await;
    let server = Server::start(
        &Arc::new(OnceLock::from(listener)),
        Arc::new(|_, _| Act::Rpc),
    )
    .await;
    let (first, admin) = proxy_over(&[server.addr], Some(budget("t1", true))).await;
    up.set(first.addr).expect("not told yet");
    let (status, _) = first.call("look").await;
    assert!([502, 503].contains(&status), "{status}");
    assert_eq!((server.came(), end.came()), (1, 1), "one pass");
    assert_eq!(counts(admin).await["budget"]["loops"], 1);

    // What a call is told is in its members, and what comes round is told with a code of its own.
    use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
    let ask = async |path: &str, twice: &str| {
        let mut stream = tokio::net::TcpStream::connect(listener)
            .await
            .expect("it listens");
        let call = format!(
            "{{\"jsonrpc\":\"2.0\",\"id\":7,\"method\":\"look\",\"req-budget\":\"t=900, a=1, w=1000, h=4, i=00000000000000ad\",\
             \"req-path\":\"{path}\"{twice}}}\n"
        );
        stream.write_all(call.as_bytes()).await.expect("open");
        soon(BufReader::new(stream).lines().next_line())
            .await
            .expect("open")
            .expect("an answer")
    };
    let answer = ask("t0, t2", "").await;
    assert!(
        answer.contains("-32008") && answer.contains("\"id\":7"),
        "{answer}"
    );
    let answer = ask("t0", ",\"req-path\":\"t2\"").await;
    assert!(
        !answer.contains("-32008"),
        "a path that comes twice is none: {answer}"
    );
}

/// A caller leaves: where servers stop what their caller has left, the tier below hears of it at
/// once and not when the work is done.
#[tokio::test]
async fn a_caller_that_leaves_is_known_to_have_left_all_the_way_down() {
    for stops in [true, false] {
        let nowhere = Arc::new(OnceLock::new());
        let end = Server::start(&nowhere, Arc::new(|_, _| Act::Slow(Duration::from_secs(3)))).await;
        let mut terms = budget("t2", false);
        terms["stops"] = json!(stops);
        let (last, admin) = proxy_over(&[end.addr], Some(terms)).await;
        let middle = Server::start(
            &Arc::new(OnceLock::from(last.addr)),
            Arc::new(|_, _| Act::Call(1)),
        )
        .await;
        let mut terms = budget("t1", true);
        terms["stops"] = json!(stops);
        let (first, _) = proxy_over(&[middle.addr], Some(terms)).await;
        let mut caller = first.caller().await;
        let call = tokio::spawn(async move { caller.call("look").await });
        soon(async {
            while end.came() == 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
        .await;
        let begun = Instant::now();
        call.abort();
        let ended = soon(async {
            loop {
                let requests = counts(admin).await["requests"].clone();
                let row = requests.as_array().and_then(|r| r.first().cloned());
                if let Some(row) = row.filter(|r| r["count"] != 0) {
                    return row["answer"].clone();
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        })
        .await;
        assert_eq!(ended, if stops { "left" } else { "served" });
        assert!(
            !stops || begun.elapsed() < Duration::from_secs(2),
            "well before its work was done"
        );
    }
}

/// A measurement and no test: attempts by tier and requests served, with budgets and without, in
/// each outage. Run it in release with `--ignored --nocapture`.
#[tokio::test]
#[ignore = "a measurement"]
async fn what_budgets_change() {
    const REQUESTS: usize = 1_000;
    let ends: [(&str, Acts); 6] = [
        ("calm", Arc::new(|_, _| Act::Serve)),
        ("errs", Arc::new(|_, _| Act::Fail)),
        ("declines", Arc::new(|_, _| Act::Decline)),
        (
            "1 in 8 errs",
            Arc::new(|n, _| if n % 8 == 7 { Act::Fail } else { Act::Serve }),
        ),
        (
            "half errs",
            Arc::new(|n, _| if n % 2 == 1 { Act::Fail } else { Act::Serve }),
        ),
        (
            "flaps",
            Arc::new(|n, _| {
                if n / 50 % 2 == 0 {
                    Act::Serve
                } else {
                    Act::Fail
                }
            }),
        ),
    ];
    let calm = std::iter::repeat_n(ends[0].clone(), 3);
    for (name, end) in calm.chain(ends) {
        for budgets in [false, true] {
            let chain = chain(budgets, end.clone()).await;
            let begun = Instant::now();
            let (served, attempts) = chain.load(REQUESTS).await;
            let all = attempts.iter().sum::<u64>() as f64 / (3 * REQUESTS) as f64;
            let used: Vec<f64> = chain
                .proxies
                .iter()
                .map(|(p, _)| {
                    let (user, system) = p.used();
                    (user + system) as f64 / REQUESTS as f64
                })
                .collect();
            println!(
                "{name:12} budgets {budgets:5}  served {served:4}  attempts {attempts:?}  multiple {all:.2}  {:.1} s  CPU us a request {used:.0?} {}",
                begun.elapsed().as_secs_f64(),
                if budgets {
                    chain.books(0).await.to_string()
                } else {
                    String::new()
                },
            );
            assert_eq!(chain.servers.len(), 6);
        }
    }
}
