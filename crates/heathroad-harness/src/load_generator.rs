//! The load driver: an open loop on a thread of its own. Arrivals were drawn ahead and wait for
//! nobody, so that a slow proxy delays no request but its own; how late the driver itself is gets
//! measured, and voids what it can't vouch for.

use crate::client::{CallResult, Client, ClientRequest};
use crate::clock::{Clock, Micros};
use crate::emulator::backend::mix;
use crate::event_log::{Attempt, AttemptEnd, MalformedClient, ProxyIndex};
use crate::jsonrpc_client::{self, Call, JsonRpcClient};
use crate::scenario::{Class, Effect, Group};
use crate::schedule::{MALFORMED_REQUEST_KINDS, MalformedRequest, Schedule, ScheduledRequest};
use hdrhistogram::Histogram;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::task::{JoinSet, LocalSet};
use tokio::time::{sleep, timeout};

/// Less time than this is no time for a try.
const LEAST: Micros = 50_000;
/// Most first tries at work at once; beyond it the driver itself is the bottleneck.
const MOST_OPEN: usize = 20_000;
/// Time that a slow reader takes.
const SLOW: Micros = 150_000;
/// A client that sends what can't be used is owed an answer or a close within this (and is waited
/// for a bit more).
pub const MALFORMED_REQUEST_TIMEOUT: Micros = 3_000_000;
/// The number of a repeat that the plan orders, in place of a retry's.
pub const PLANNED_REPEAT: u8 = u8::MAX;

/// The layer before the first tier's proxies: it knows those that were ready, and notices a death
/// late.
#[derive(Default)]
pub struct LoadBalancer(Mutex<Vec<(ProxyIndex, SocketAddr, Option<SocketAddr>)>>);

impl LoadBalancer {
    /// Takes a proxy in, in place of what was known under its number.
    pub fn add(&self, proxy: ProxyIndex, addr: SocketAddr, remote: Option<SocketAddr>) {
        if let Ok(mut list) = self.0.lock() {
            list.retain(|(p, ..)| *p != proxy);
            list.push((proxy, addr, remote));
            list.sort_unstable();
        }
    }

    /// Sends nothing to a proxy any more.
    pub fn remove(&self, proxy: ProxyIndex) {
        if let Ok(mut list) = self.0.lock() {
            list.retain(|(p, ..)| *p != proxy);
        }
    }

    fn pick(&self, by: u64) -> Option<(ProxyIndex, SocketAddr, Option<SocketAddr>)> {
        let list = self.0.lock().ok()?;
        let n = list.len() as u64;
        list.get(by.checked_rem(n)? as usize).copied()
    }
}

/// What the driver has seen.
pub struct LoadResult {
    /// Every try.
    pub attempts: Vec<Attempt>,
    /// Those who send what can't be used.
    pub malformed_clients: Vec<MalformedClient>,
    /// How late first tries were begun, in microseconds.
    pub lateness: Histogram<u64>,
    /// First tries that were not begun at all, for want of room here.
    pub dropped: u64,
    /// Tries that failed for want of descriptors here.
    pub descriptor_failures: u64,
}

/// How far the driver is, for those who wait.
#[derive(Default)]
pub struct Progress {
    /// First tries begun.
    pub started: AtomicU64,
}

struct LoadGenerator {
    schedule: Arc<Schedule>,
    clock: Clock,
    front: Arc<LoadBalancer>,
    client: Rc<Client>,
    remote: Rc<JsonRpcClient>,
    tries: RefCell<Vec<Attempt>>,
    rude: RefCell<Vec<MalformedClient>>,
    starved: Cell<u64>,
}

/// Drives the plan's load on a thread of its own, until its end or until `stop` is set.
pub fn start(
    schedule: Arc<Schedule>,
    clock: Clock,
    front: Arc<LoadBalancer>,
    progress: Arc<Progress>,
    stop: watch::Receiver<bool>,
) -> JoinHandle<Result<LoadResult, String>> {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|e| format!("the driver's runtime: {e}"))?;
        LocalSet::new().block_on(&runtime, drive(schedule, clock, front, progress, stop))
    })
}

async fn drive(
    schedule: Arc<Schedule>,
    clock: Clock,
    front: Arc<LoadBalancer>,
    progress: Arc<Progress>,
    mut stop: watch::Receiver<bool>,
) -> Result<LoadResult, String> {
    let (client, tries, rude, starved) = (
        Rc::default(),
        RefCell::default(),
        RefCell::default(),
        Cell::new(0),
    );
    let remote = JsonRpcClient::new(clock, usize::from(schedule.scenario.clients.batch));
    let driver = Rc::new(LoadGenerator {
        schedule: schedule.clone(),
        clock,
        front,
        client,
        remote,
        tries,
        rude,
        starved,
    });
    let mut lateness = Histogram::new_with_max(600_000_000, 3).map_err(|e| e.to_string())?;
    let (mut open, mut dropped) = (JoinSet::new(), 0);
    let mut rude = schedule.malformed_requests.iter().peekable();
    for (number, first) in schedule.requests.iter().enumerate() {
        while let Some(next) = rude.next_if(|r| r.at <= first.at) {
            clock.sleep_until(next.at).await;
            open.spawn_local(driver.clone().rude(next.clone()));
        }
        tokio::select! {
            biased;
            _ = stop.wait_for(|stop| *stop) => break,
            () = clock.sleep_until(first.at) => {}
        }
        // What has ended is taken away as the load goes on.
        while open.try_join_next().is_some() {}
        if open.len() >= MOST_OPEN {
            dropped += 1;
            continue;
        }
        lateness.saturating_record(clock.now().saturating_sub(first.at));
        progress.started.fetch_add(1, Ordering::Relaxed);
        open.spawn_local(driver.clone().first(number as u32, first.clone()));
    }
    loop {
        tokio::select! {
            biased;
            _ = stop.wait_for(|stop| *stop) => break,
            ended = open.join_next() => if ended.is_none() { break },
        }
    }
    open.shutdown().await;
    let mut extras = driver.client.take_unexpected();
    extras.extend(driver.remote.take_unexpected());
    let mut tries = driver.tries.take();
    tries
        .iter_mut()
        .for_each(|t| t.unexpected_data = extras.contains(&t.id));
    tries.sort_by_key(|t| (t.request_index, t.retry));
    Ok(LoadResult {
        attempts: tries,
        malformed_clients: driver.rude.take(),
        lateness,
        dropped,
        descriptor_failures: driver.starved.get(),
    })
}

/// Whether a client may ask again by itself after such an end, so long after its first try.
fn may_retry(class: &Class, end: &AttemptEnd, passed: Micros) -> bool {
    match end {
        AttemptEnd::Served(_) | AttemptEnd::Cancelled => false,
        AttemptEnd::Refused { .. } | AttemptEnd::Unsent => true,
        _ => match class.effect {
            Effect::Safe => true,
            Effect::Keyed => {
                class.group == Group::All && passed < (class.window_ms * 1000.0) as Micros
            }
            Effect::Unsafe => false,
        },
    }
}

impl LoadGenerator {
    async fn first(self: Rc<Self>, number: u32, first: ScheduledRequest) {
        let class = self.schedule.class(first.class);
        let whole = (class.deadline_ms * 1000.0) as Micros;
        let clients = &self.schedule.scenario.clients;
        let mut pause = (clients.backoff_ms * 1000.0) as Micros;
        for retry in 0..=clients.retries {
            let passed = self.clock.now().saturating_sub(first.at);
            let left = whole.saturating_sub(passed);
            if left < LEAST {
                break;
            }
            // A call over JSON-RPC doesn't say how long it waits: its class's time is taken for it,
            // of retries too.
            let patience = if first.uses_jsonrpc {
                whole
            } else {
                ((first.time_limit_share * whole as f64) as Micros).min(left)
            };
            if patience < LEAST {
                break;
            }
            let end = self.attempt(number, &first, retry, patience).await;
            let passed = self.clock.now().saturating_sub(first.at);
            if !may_retry(class, &end, passed) {
                break;
            }
            let wait = match end {
                AttemptEnd::Refused { after: Some(after) } if first.honours_retry_after => after,
                _ => pause,
            };
            pause *= 2;
            sleep(Duration::from_micros(wait)).await;
        }
        if let Some(after) = first.repeat_after {
            self.clock.sleep_until(first.at + after).await;
            self.attempt(number, &first, PLANNED_REPEAT, whole).await;
        }
    }

    async fn attempt(
        &self,
        number: u32,
        first: &ScheduledRequest,
        retry: u8,
        patience: Micros,
    ) -> AttemptEnd {
        let class = self.schedule.class(first.class);
        let id = mix(
            mix(self.schedule.seed, u64::from(number) + 1),
            u64::from(retry) + 1,
        );
        let due = if retry == 0 {
            first.at
        } else {
            self.clock.now()
        };
        let slow = if first.reads_slowly { SLOW } else { 0 };
        let key = self.schedule.is_keyed(first.class).then_some(first.key);
        let told = match self.front.pick(id) {
            None => (0, None),
            Some((proxy, _, Some(addr))) if first.uses_jsonrpc => {
                let tenant = self.schedule.scenario.tenant[usize::from(first.tenant)]
                    .name
                    .clone();
                let call = Call {
                    id,
                    method: class.name.clone(),
                    tenant,
                    key,
                    time_limit: patience,
                };
                let jsonrpc_client::CallResult {
                    sent_at: sent,
                    resent_at: crossed,
                    end,
                    ended_at: ended,
                } = self.remote.call(addr, &call).await;
                (
                    proxy,
                    Some(CallResult {
                        sent_at: sent,
                        resent_at: crossed,
                        end,
                        ended_at: ended,
                        budget_spent: None,
                    }),
                )
            }
            Some((proxy, addr, _)) => {
                let ask = ClientRequest {
                    id,
                    path: format!("/{}?k={:x}", class.name, first.key),
                    tenant: Some(
                        self.schedule.scenario.tenant[usize::from(first.tenant)]
                            .name
                            .clone(),
                    ),
                    key,
                    safe: class.effect == Effect::Safe,
                    time_limit: patience,
                    retry: retry > 0,
                    cancel_after: first
                        .cancel_after
                        .filter(|_| retry == 0)
                        .map(|h| (h * patience as f64) as Micros),
                    read_delay: slow,
                    budget_headers: [None, None],
                };
                (proxy, Some(self.client.call(self.clock, addr, &ask).await))
            }
        };
        let (proxy, told) = told;
        let (sent, crossed, end, ended) = match told {
            Some(told) => (told.sent_at, told.resent_at, told.end, told.ended_at),
            None => (None, None, AttemptEnd::Unsent, self.clock.now()),
        };
        if end == AttemptEnd::Unsent && out_of_descriptors() {
            self.starved.set(self.starved.get() + 1);
        }
        self.tries.borrow_mut().push(Attempt {
            id,
            tier: 0,
            parent: None,
            request_index: number,
            retry,
            class: first.class,
            tenant: first.tenant,
            key,
            proxy,
            scheduled_at: due,
            sent_at: sent,
            resent_at: crossed,
            time_limit: patience,
            read_delay: slow,
            end: end.clone(),
            ended_at: ended,
            unexpected_data: false,
        });
        end
    }

    /// Sends what can't be used, and sees what comes.
    async fn rude(self: Rc<Self>, order: MalformedRequest) {
        let at = self.clock.now();
        let id = mix(mix(self.schedule.seed, order.at), 0x52_55_44_45);
        let Some((_, addr, _)) = self.front.pick(id) else {
            return;
        };
        let (kind, bytes, hidden) = self.noise(order.kind, id);
        let owed =
            Duration::from_micros(MALFORMED_REQUEST_TIMEOUT + MALFORMED_REQUEST_TIMEOUT / 10);
        let status = Cell::new(None);
        let talk = async {
            let mut stream = TcpStream::connect(addr).await?;
            stream.write_all(&bytes).await?;
            let mut seen = Vec::new();
            loop {
                let mut part = [0; 1024];
                match stream.read(&mut part).await {
                    Ok(0) | Err(_) => return Ok::<_, std::io::Error>(()),
                    Ok(n) => seen.extend_from_slice(&part[..n]),
                }
                // Its first line is enough; more is not kept.
                if let Some(line) = seen.split(|b| *b == b'\n').next().filter(|l| l.len() > 12) {
                    let text = String::from_utf8_lossy(line).into_owned();
                    status.set(text.split_whitespace().nth(1).and_then(|s| s.parse().ok()));
                    return Ok(());
                }
            }
        };
        let done = timeout(owed, talk).await;
        // Who could not even connect was owed nothing.
        if let Ok(Err(_)) = done {
            return;
        }
        let ended = done.is_ok().then(|| self.clock.now());
        self.rude.borrow_mut().push(MalformedClient {
            kind,
            smuggled_id: hidden,
            at,
            status: status.get(),
            ended_at: ended,
        });
    }

    fn noise(&self, kind: usize, id: u64) -> (&'static str, Vec<u8>, Option<u64>) {
        let scenario = &self.schedule.scenario;
        let owner = &scenario.tenant[0].name;
        let safe = scenario
            .class
            .iter()
            .find(|c| c.effect == Effect::Safe)
            .unwrap_or(&scenario.class[0]);
        let head = |line: &str, rest: &str| {
            format!("{line} HTTP/1.1\r\nHost: o\r\nReq-Owner: {owner}\r\n{rest}\r\n")
        };
        let sound = format!("Req-Id: {id:016x}\r\nReq-Deadline-Ms: 1000\r\n");
        let get = format!("GET /{}?k=1", safe.name);
        let post = format!("POST /{}?k=1", safe.name);
        let (name, text, hidden) = match kind % MALFORMED_REQUEST_KINDS {
            0 => (
                "noise",
                "\u{1}\u{2} not a request at all\r\n\r\n".to_string(),
                None,
            ),
            1 => (
                "a head without end",
                format!("{get} HTTP/1.1\r\nReq-Owner: {owner}\r\nX: "),
                None,
            ),
            2 => (
                "a negative length",
                head(&post, &format!("{sound}Content-Length: -5\r\n")),
                None,
            ),
            3 => (
                "a huge length",
                head(&post, &format!("{sound}Content-Length: 99999999999\r\n")),
                None,
            ),
            4 => ("an unknown class", head("GET /no-such-class", &sound), None),
            5 => ("no id", head(&get, "Req-Deadline-Ms: 1000\r\n"), None),
            6 => (
                "a deadline that is no number",
                head(
                    &get,
                    &format!("Req-Id: {id:016x}\r\nReq-Deadline-Ms: soon\r\n"),
                ),
                None,
            ),
            _ => {
                let inner = head(&get, &sound);
                let both = format!(
                    "Content-Length: {}\r\nTransfer-Encoding: chunked\r\n",
                    inner.len() + 5
                );
                let outer = head(
                    &post,
                    &format!(
                        "Req-Id: {:016x}\r\nReq-Deadline-Ms: 1000\r\n{both}",
                        mix(id, 1)
                    ),
                );
                (
                    "a request hidden in another",
                    format!("{outer}0\r\n\r\n{inner}"),
                    Some(id),
                )
            }
        };
        (name, text.into_bytes(), hidden)
    }
}

/// Whether this process can open no further descriptor.
fn out_of_descriptors() -> bool {
    std::fs::File::open("/dev/null").is_err()
}
