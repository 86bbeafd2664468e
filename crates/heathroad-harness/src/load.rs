//! The load driver: an open loop on a thread of its own. Arrivals were drawn ahead and wait for
//! nobody, so that a slow proxy delays no request but its own; how late the driver itself is gets
//! measured, and voids what it can't vouch for.

use crate::caller::{Ask, Caller, Told};
use crate::clock::{Clock, Micros};
use crate::ledger::{End, ProxyNo, Rude, Try};
use crate::plan::{FirstTry, Plan, RUDE_KINDS, RudeTry};
use crate::remote::{self, Call, Remote};
use crate::scenario::{Class, Effect, Group};
use crate::stand_in::backend::mix;
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
pub const RUDE_OWED: Micros = 3_000_000;
/// The number of a repeat that the plan orders, in place of a retry's.
pub const PLANNED_REPEAT: u8 = u8::MAX;

/// The layer before the first tier's proxies: it knows those that were ready, and notices a death
/// late.
#[derive(Default)]
pub struct Front(Mutex<Vec<(ProxyNo, SocketAddr, Option<SocketAddr>)>>);

impl Front {
    /// Takes a proxy in, in place of what was known under its number.
    pub fn put(&self, proxy: ProxyNo, addr: SocketAddr, remote: Option<SocketAddr>) {
        if let Ok(mut list) = self.0.lock() {
            list.retain(|(p, ..)| *p != proxy);
            list.push((proxy, addr, remote));
            list.sort_unstable();
        }
    }

    /// Sends nothing to a proxy any more.
    pub fn take(&self, proxy: ProxyNo) {
        if let Ok(mut list) = self.0.lock() {
            list.retain(|(p, ..)| *p != proxy);
        }
    }

    fn pick(&self, by: u64) -> Option<(ProxyNo, SocketAddr, Option<SocketAddr>)> {
        let list = self.0.lock().ok()?;
        let n = list.len() as u64;
        list.get(by.checked_rem(n)? as usize).copied()
    }
}

/// What the driver has seen.
pub struct Driven {
    /// Every try.
    pub tries: Vec<Try>,
    /// Those who send what can't be used.
    pub rude: Vec<Rude>,
    /// How late first tries were begun, in microseconds.
    pub lateness: Histogram<u64>,
    /// First tries that were not begun at all, for want of room here.
    pub dropped: u64,
    /// Tries that failed for want of descriptors here.
    pub starved: u64,
}

/// How far the driver is, for those who wait.
#[derive(Default)]
pub struct Progress {
    /// First tries begun.
    pub begun: AtomicU64,
}

struct Driver {
    plan: Arc<Plan>,
    clock: Clock,
    front: Arc<Front>,
    caller: Rc<Caller>,
    remote: Rc<Remote>,
    tries: RefCell<Vec<Try>>,
    rude: RefCell<Vec<Rude>>,
    starved: Cell<u64>,
}

/// Drives the plan's load on a thread of its own, until its end or until `stop` is set.
pub fn start(
    plan: Arc<Plan>,
    clock: Clock,
    front: Arc<Front>,
    progress: Arc<Progress>,
    stop: watch::Receiver<bool>,
) -> JoinHandle<Result<Driven, String>> {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|e| format!("the driver's runtime: {e}"))?;
        LocalSet::new().block_on(&runtime, drive(plan, clock, front, progress, stop))
    })
}

async fn drive(
    plan: Arc<Plan>,
    clock: Clock,
    front: Arc<Front>,
    progress: Arc<Progress>,
    mut stop: watch::Receiver<bool>,
) -> Result<Driven, String> {
    let (caller, tries, rude, starved) = (
        Rc::default(),
        RefCell::default(),
        RefCell::default(),
        Cell::new(0),
    );
    let remote = Remote::new(clock, usize::from(plan.scenario.clients.batch));
    let driver = Rc::new(Driver {
        plan: plan.clone(),
        clock,
        front,
        caller,
        remote,
        tries,
        rude,
        starved,
    });
    let mut lateness = Histogram::new_with_max(600_000_000, 3).map_err(|e| e.to_string())?;
    let (mut open, mut dropped) = (JoinSet::new(), 0);
    let mut rude = plan.rude.iter().peekable();
    for (number, first) in plan.tries.iter().enumerate() {
        while let Some(next) = rude.next_if(|r| r.at <= first.at) {
            clock.until(next.at).await;
            open.spawn_local(driver.clone().rude(next.clone()));
        }
        tokio::select! {
            biased;
            _ = stop.wait_for(|stop| *stop) => break,
            () = clock.until(first.at) => {}
        }
        // What has ended is taken away as the load goes on.
        while open.try_join_next().is_some() {}
        if open.len() >= MOST_OPEN {
            dropped += 1;
            continue;
        }
        lateness.saturating_record(clock.now().saturating_sub(first.at));
        progress.begun.fetch_add(1, Ordering::Relaxed);
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
    let mut extras = driver.caller.extras();
    extras.extend(driver.remote.extras());
    let mut tries = driver.tries.take();
    tries
        .iter_mut()
        .for_each(|t| t.extra = extras.contains(&t.id));
    tries.sort_by_key(|t| (t.first, t.number));
    Ok(Driven {
        tries,
        rude: driver.rude.take(),
        lateness,
        dropped,
        starved: driver.starved.get(),
    })
}

/// Whether a client may ask again by itself after such an end, so long after its first try.
fn may_retry(class: &Class, end: &End, passed: Micros) -> bool {
    match end {
        End::Served(_) | End::HungUp => false,
        End::Refused { .. } | End::Unsent => true,
        _ => match class.effect {
            Effect::Safe => true,
            Effect::Keyed => {
                class.group == Group::All && passed < (class.window_ms * 1000.0) as Micros
            }
            Effect::Unsafe => false,
        },
    }
}

impl Driver {
    async fn first(self: Rc<Self>, number: u32, first: FirstTry) {
        let class = self.plan.class(first.class);
        let whole = (class.deadline_ms * 1000.0) as Micros;
        let clients = &self.plan.scenario.clients;
        let mut pause = (clients.backoff_ms * 1000.0) as Micros;
        for retry in 0..=clients.retries {
            let passed = self.clock.now().saturating_sub(first.at);
            let left = whole.saturating_sub(passed);
            if left < LEAST {
                break;
            }
            // A call over JSON-RPC doesn't say how long it waits: its class's time is taken for it,
            // of retries too.
            let patience = if first.remote {
                whole
            } else {
                ((first.patience * whole as f64) as Micros).min(left)
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
                End::Refused { after: Some(after) } if first.heeds => after,
                _ => pause,
            };
            pause *= 2;
            sleep(Duration::from_micros(wait)).await;
        }
        if let Some(after) = first.repeat {
            self.clock.until(first.at + after).await;
            self.attempt(number, &first, PLANNED_REPEAT, whole).await;
        }
    }

    async fn attempt(&self, number: u32, first: &FirstTry, retry: u8, patience: Micros) -> End {
        let class = self.plan.class(first.class);
        let id = mix(
            mix(self.plan.seed, u64::from(number) + 1),
            u64::from(retry) + 1,
        );
        let due = if retry == 0 {
            first.at
        } else {
            self.clock.now()
        };
        let slow = if first.slow { SLOW } else { 0 };
        let key = self.plan.keyed(first.class).then_some(first.key);
        let told = match self.front.pick(id) {
            None => (0, None),
            Some((proxy, _, Some(addr))) if first.remote => {
                let tenant = self.plan.scenario.tenant[usize::from(first.tenant)]
                    .name
                    .clone();
                let call = Call {
                    id,
                    method: class.name.clone(),
                    tenant,
                    key,
                    patience,
                };
                let remote::Told {
                    sent,
                    crossed,
                    end,
                    ended,
                } = self.remote.call(addr, &call).await;
                (
                    proxy,
                    Some(Told {
                        sent,
                        crossed,
                        end,
                        ended,
                        spent: None,
                    }),
                )
            }
            Some((proxy, addr, _)) => {
                let ask = Ask {
                    id,
                    path: format!("/{}?k={:x}", class.name, first.key),
                    tenant: Some(
                        self.plan.scenario.tenant[usize::from(first.tenant)]
                            .name
                            .clone(),
                    ),
                    key,
                    safe: class.effect == Effect::Safe,
                    patience,
                    retry: retry > 0,
                    hang_up: first
                        .hang_up
                        .filter(|_| retry == 0)
                        .map(|h| (h * patience as f64) as Micros),
                    slow,
                    carried: [None, None],
                };
                (proxy, Some(self.caller.call(self.clock, addr, &ask).await))
            }
        };
        let (proxy, told) = told;
        let (sent, crossed, end, ended) = match told {
            Some(told) => (told.sent, told.crossed, told.end, told.ended),
            None => (None, None, End::Unsent, self.clock.now()),
        };
        if end == End::Unsent && out_of_descriptors() {
            self.starved.set(self.starved.get() + 1);
        }
        self.tries.borrow_mut().push(Try {
            id,
            tier: 0,
            parent: None,
            first: number,
            number: retry,
            class: first.class,
            tenant: first.tenant,
            key,
            proxy,
            due,
            sent,
            crossed,
            patience,
            slow,
            end: end.clone(),
            ended,
            extra: false,
        });
        end
    }

    /// Sends what can't be used, and sees what comes.
    async fn rude(self: Rc<Self>, order: RudeTry) {
        let at = self.clock.now();
        let id = mix(mix(self.plan.seed, order.at), 0x52_55_44_45);
        let Some((_, addr, _)) = self.front.pick(id) else {
            return;
        };
        let (kind, bytes, hidden) = self.noise(order.kind, id);
        let owed = Duration::from_micros(RUDE_OWED + RUDE_OWED / 10);
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
        self.rude.borrow_mut().push(Rude {
            kind,
            hidden,
            at,
            status: status.get(),
            ended,
        });
    }

    fn noise(&self, kind: usize, id: u64) -> (&'static str, Vec<u8>, Option<u64>) {
        let scenario = &self.plan.scenario;
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
        let (name, text, hidden) = match kind % RUDE_KINDS {
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
