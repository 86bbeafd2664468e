//! An open-loop load generator on its own thread: requests are sent at their scheduled times, so a
//! slow proxy delays no other request. The generator measures its own lateness, which can make a run
//! void.

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

/// Minimum time left for an attempt.
const MIN_TIME_LIMIT: Micros = 50_000;
/// Maximum number of requests in flight; further ones are dropped.
const MAX_IN_FLIGHT: usize = 20_000;
/// Delay of a slow reader.
const READ_DELAY: Micros = 150_000;
/// Time within which a malformed request must be answered or its connection closed.
pub const MALFORMED_REQUEST_TIMEOUT: Micros = 3_000_000;
/// Retry number of a repeat that the scenario orders.
pub const PLANNED_REPEAT: u8 = u8::MAX;

/// The load balancer in balancer of the first tier, with the proxies that it considers available.
#[derive(Default)]
pub struct LoadBalancer(Mutex<Vec<(ProxyIndex, SocketAddr, Option<SocketAddr>)>>);

impl LoadBalancer {
    /// Adds a proxy or replaces its addresses.
    pub fn add(&self, proxy: ProxyIndex, addr: SocketAddr, remote: Option<SocketAddr>) {
        if let Ok(mut list) = self.0.lock() {
            list.retain(|(p, ..)| *p != proxy);
            list.push((proxy, addr, remote));
            list.sort_unstable();
        }
    }

    /// Removes a proxy.
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

/// What the load generator has recorded.
pub struct LoadResult {
    /// All attempts.
    pub attempts: Vec<Attempt>,
    /// Clients that sent malformed requests.
    pub malformed_clients: Vec<MalformedClient>,
    /// Lateness of first attempts, in microseconds.
    pub lateness: Histogram<u64>,
    /// Requests dropped because too many were in flight.
    pub dropped: u64,
    /// Attempts that failed because this process had no free descriptor.
    pub descriptor_failures: u64,
}

/// Progress of the load generator.
#[derive(Default)]
pub struct Progress {
    /// Requests started.
    pub started: AtomicU64,
}

struct LoadGenerator {
    schedule: Arc<Schedule>,
    clock: Clock,
    balancer: Arc<LoadBalancer>,
    client: Rc<Client>,
    remote: Rc<JsonRpcClient>,
    attempts: RefCell<Vec<Attempt>>,
    malformed: RefCell<Vec<MalformedClient>>,
    descriptor_failures: Cell<u64>,
}

/// Sends the scheduled load on a new thread, until its end or until `stop` is set.
pub fn start(
    schedule: Arc<Schedule>,
    clock: Clock,
    balancer: Arc<LoadBalancer>,
    progress: Arc<Progress>,
    stop: watch::Receiver<bool>,
) -> JoinHandle<Result<LoadResult, String>> {
    std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        let runtime = runtime.map_err(|e| format!("load generator runtime: {e}"))?;
        LocalSet::new().block_on(&runtime, run(schedule, clock, balancer, progress, stop))
    })
}

async fn run(
    schedule: Arc<Schedule>,
    clock: Clock,
    balancer: Arc<LoadBalancer>,
    progress: Arc<Progress>,
    mut stop: watch::Receiver<bool>,
) -> Result<LoadResult, String> {
    let remote = JsonRpcClient::new(clock, usize::from(schedule.scenario.clients.batch));
    let generator = Rc::new(LoadGenerator {
        schedule: schedule.clone(),
        clock,
        balancer,
        client: Rc::default(),
        remote,
        attempts: RefCell::default(),
        malformed: RefCell::default(),
        descriptor_failures: Cell::new(0),
    });
    let mut lateness = Histogram::new_with_max(600_000_000, 3).map_err(|e| e.to_string())?;
    let (mut in_flight, mut dropped) = (JoinSet::new(), 0);
    let mut malformed = schedule.malformed_requests.iter().peekable();
    for (number, first) in schedule.requests.iter().enumerate() {
        while let Some(next) = malformed.next_if(|r| r.at <= first.at) {
            clock.sleep_until(next.at).await;
            in_flight.spawn_local(generator.clone().send_malformed(next.clone()));
        }
        tokio::select! {
            biased;
            _ = stop.wait_for(|stop| *stop) => break,
            () = clock.sleep_until(first.at) => {}
        }
        while in_flight.try_join_next().is_some() {}
        if in_flight.len() >= MAX_IN_FLIGHT {
            dropped += 1;
            continue;
        }
        lateness.saturating_record(clock.now().saturating_sub(first.at));
        progress.started.fetch_add(1, Ordering::Relaxed);
        in_flight.spawn_local(generator.clone().send_request(number as u32, first.clone()));
    }
    loop {
        tokio::select! {
            biased;
            _ = stop.wait_for(|stop| *stop) => break,
            ended = in_flight.join_next() => if ended.is_none() { break },
        }
    }
    in_flight.shutdown().await;
    let mut unexpected = generator.client.take_unexpected();
    unexpected.extend(generator.remote.take_unexpected());
    let mut attempts = generator.attempts.take();
    attempts
        .iter_mut()
        .for_each(|t| t.unexpected_data = unexpected.contains(&t.id));
    attempts.sort_by_key(|t| (t.request_index, t.retry));
    Ok(LoadResult {
        attempts,
        malformed_clients: generator.malformed.take(),
        lateness,
        dropped,
        descriptor_failures: generator.descriptor_failures.get(),
    })
}

/// Returns whether a client retries after `end`, `elapsed` after its first attempt.
fn may_retry(class: &Class, end: &AttemptEnd, elapsed: Micros) -> bool {
    match end {
        AttemptEnd::Served(_) | AttemptEnd::Cancelled => false,
        AttemptEnd::Refused { .. } | AttemptEnd::Unsent => true,
        _ => match class.effect {
            Effect::Safe => true,
            Effect::Keyed => {
                class.group == Group::All && elapsed < (class.window_ms * 1000.0) as Micros
            }
            Effect::Unsafe => false,
        },
    }
}

impl LoadGenerator {
    async fn send_request(self: Rc<Self>, number: u32, first: ScheduledRequest) {
        let class = self.schedule.class(first.class);
        let deadline = (class.deadline_ms * 1000.0) as Micros;
        let clients = &self.schedule.scenario.clients;
        let mut pause = (clients.backoff_ms * 1000.0) as Micros;
        for retry in 0..=clients.retries {
            let elapsed = self.clock.now().saturating_sub(first.at);
            let left = deadline.saturating_sub(elapsed);
            if left < MIN_TIME_LIMIT {
                break;
            }
            // JSON-RPC calls carry no deadline, so the proxy applies that of the class.
            let time_limit = if first.uses_jsonrpc {
                deadline
            } else {
                ((first.time_limit_share * deadline as f64) as Micros).min(left)
            };
            if time_limit < MIN_TIME_LIMIT {
                break;
            }
            let end = self.attempt(number, &first, retry, time_limit).await;
            let elapsed = self.clock.now().saturating_sub(first.at);
            if !may_retry(class, &end, elapsed) {
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
            self.attempt(number, &first, PLANNED_REPEAT, deadline).await;
        }
    }

    async fn attempt(
        &self,
        number: u32,
        first: &ScheduledRequest,
        retry: u8,
        time_limit: Micros,
    ) -> AttemptEnd {
        let class = self.schedule.class(first.class);
        let id = mix(
            mix(self.schedule.seed, u64::from(number) + 1),
            u64::from(retry) + 1,
        );
        let scheduled_at = if retry == 0 {
            first.at
        } else {
            self.clock.now()
        };
        let read_delay = if first.reads_slowly { READ_DELAY } else { 0 };
        let tenants = &self.schedule.scenario.tenant;
        let tenant = tenants[usize::from(first.tenant)].name.clone();
        let key = self.schedule.is_keyed(first.class).then_some(first.key);
        let result = match self.balancer.pick(id) {
            None => (0, None),
            Some((proxy, _, Some(addr))) if first.uses_jsonrpc => {
                let call = Call {
                    id,
                    method: class.name.clone(),
                    tenant,
                    key,
                    time_limit,
                };
                let jsonrpc_client::CallResult {
                    sent_at,
                    resent_at,
                    end,
                    ended_at,
                } = self.remote.call(addr, &call).await;
                (
                    proxy,
                    Some(CallResult {
                        sent_at,
                        resent_at,
                        end,
                        ended_at,
                        budget_spent: None,
                    }),
                )
            }
            Some((proxy, addr, _)) => {
                let request = ClientRequest {
                    id,
                    path: format!("/{}?k={:x}", class.name, first.key),
                    tenant: Some(tenant),
                    key,
                    safe: class.effect == Effect::Safe,
                    time_limit,
                    retry: retry > 0,
                    cancel_after: first
                        .cancel_after
                        .filter(|_| retry == 0)
                        .map(|h| (h * time_limit as f64) as Micros),
                    read_delay,
                    budget_headers: [None, None],
                };
                let result = self.client.call(self.clock, addr, &request).await;
                (proxy, Some(result))
            }
        };
        let (proxy, result) = result;
        let (sent_at, resent_at, end, ended_at) = match result {
            Some(r) => (r.sent_at, r.resent_at, r.end, r.ended_at),
            None => (None, None, AttemptEnd::Unsent, self.clock.now()),
        };
        if end == AttemptEnd::Unsent && out_of_descriptors() {
            self.descriptor_failures
                .set(self.descriptor_failures.get() + 1);
        }
        self.attempts.borrow_mut().push(Attempt {
            id,
            tier: 0,
            parent: None,
            request_index: number,
            retry,
            class: first.class,
            tenant: first.tenant,
            key,
            proxy,
            scheduled_at,
            sent_at,
            resent_at,
            time_limit,
            read_delay,
            end: end.clone(),
            ended_at,
            unexpected_data: false,
        });
        end
    }

    /// Sends a malformed request and records the response.
    async fn send_malformed(self: Rc<Self>, scheduled: MalformedRequest) {
        let at = self.clock.now();
        let id = mix(mix(self.schedule.seed, scheduled.at), 0x52_55_44_45);
        let Some((_, addr, _)) = self.balancer.pick(id) else {
            return;
        };
        let (kind, bytes, smuggled_id) = self.malformed_request(scheduled.kind, id);
        let wait =
            Duration::from_micros(MALFORMED_REQUEST_TIMEOUT + MALFORMED_REQUEST_TIMEOUT / 10);
        let status = Cell::new(None);
        let exchange = async {
            let mut stream = TcpStream::connect(addr).await?;
            stream.write_all(&bytes).await?;
            let mut received = Vec::new();
            loop {
                let mut part = [0; 1024];
                match stream.read(&mut part).await {
                    Ok(0) | Err(_) => return Ok::<_, std::io::Error>(()),
                    Ok(n) => received.extend_from_slice(&part[..n]),
                }
                // Only the status line is needed.
                if let Some(line) = received
                    .split(|b| *b == b'\n')
                    .next()
                    .filter(|l| l.len() > 12)
                {
                    let text = String::from_utf8_lossy(line).into_owned();
                    status.set(text.split_whitespace().nth(1).and_then(|s| s.parse().ok()));
                    return Ok(());
                }
            }
        };
        let done = timeout(wait, exchange).await;
        // Not recorded if the connection failed.
        if let Ok(Err(_)) = done {
            return;
        }
        let ended_at = done.is_ok().then(|| self.clock.now());
        self.malformed.borrow_mut().push(MalformedClient {
            kind,
            smuggled_id,
            at,
            status: status.get(),
            ended_at,
        });
    }

    fn malformed_request(&self, kind: usize, id: u64) -> (&'static str, Vec<u8>, Option<u64>) {
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
        let (name, text, smuggled_id) = match kind % MALFORMED_REQUEST_KINDS {
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
        (name, text.into_bytes(), smuggled_id)
    }
}

/// Returns whether this process has no free descriptor.
fn out_of_descriptors() -> bool {
    std::fs::File::open("/dev/null").is_err()
}
