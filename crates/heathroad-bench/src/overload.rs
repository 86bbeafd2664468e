//! Overload: requests that come at a rate, whatever becomes of them, from half of what the core can
//! do to five times that. What is served in time should not fall, and what is turned away should
//! cost little.

use crate::case::Case;
use crate::load::{self, Callers};
use crate::node;
use crate::subject::Subject;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::{MissedTickBehavior, interval, timeout};

/// An answer within the one is in time; the other is when callers give up. In milliseconds.
const AIM: [f64; 2] = [500.0, 1000.0];
/// What is offered, in parts of what the core does in a closed loop.
const FACTORS: [f64; 6] = [0.5, 0.8, 1.0, 2.0, 3.0, 5.0];
/// How long each is offered.
const LENGTH: Duration = Duration::from_secs(5);
/// Requests that find out what the core does, and their callers.
const CLOSED: (u64, usize) = (100_000, 64);
/// Those who offer, and the most connections of each.
const SOURCES: u32 = 3;
const MOST: usize = 1_000;

/// What became of requests.
#[derive(Debug, Default, Clone, Copy)]
struct Seen {
    offered: u64,
    in_time: u64,
    late: u64,
    refused: u64,
    /// Answered otherwise.
    failed: u64,
    /// Not answered before their callers gave up.
    given_up: u64,
    /// The connection could not be made, or ended.
    broken: u64,
    /// All connections were in use: they could not be asked.
    unasked: u64,
}

enum End {
    Served(Duration),
    Refused,
    Failed,
    GivenUp,
    Broken,
}

/// Offers by turns and says what came of it.
pub async fn table(case: &'static Case) -> Result<(), String> {
    let nodes = node::start(case).await.map_err(|e| e.to_string())?;
    let mut daemon = Subject::daemon(case, &nodes, AIM).await?;
    let mut callers = Callers::new(case, daemon.at, CLOSED.1);
    callers.run(CLOSED.0 / 4).await?;
    let begun = Instant::now();
    callers.run(CLOSED.0).await?;
    let rate = CLOSED.0 as f64 / begun.elapsed().as_secs_f64();
    drop(callers);
    println!(
        "{}: {rate:.0} a second in a closed loop of {}",
        case.name, CLOSED.1
    );
    println!(
        "| offered | of that | asked a second | in time a second | late | refused | failed | given up | broken | unasked | CPU |\n|{}",
        " --- |".repeat(11)
    );
    for factor in FACTORS {
        let before = daemon.used().await?;
        let begun = Instant::now();
        let mut sources = JoinSet::new();
        for number in 0..SOURCES {
            sources.spawn(offer(
                case,
                daemon.at,
                rate * factor / f64::from(SOURCES),
                u64::from(number + 1) << 48,
            ));
        }
        let mut all = Seen::default();
        while let Some(seen) = sources.join_next().await {
            let seen = seen.map_err(|e| e.to_string())?;
            all.offered += seen.offered;
            all.in_time += seen.in_time;
            all.late += seen.late;
            all.refused += seen.refused;
            all.failed += seen.failed;
            all.given_up += seen.given_up;
            all.broken += seen.broken;
            all.unasked += seen.unasked;
        }
        let took = begun.elapsed().as_secs_f64();
        let after = daemon.used().await?;
        let cpu = (after.cpu_ns - before.cpu_ns) as f64 / 1e9;
        println!(
            "| {:.0} | {factor:.1} | {:.0} | {:.0} | {} | {} | {} | {} | {} | {} | {:.2} |",
            rate * factor,
            (all.offered - all.unasked) as f64 / LENGTH.as_secs_f64(),
            all.in_time as f64 / LENGTH.as_secs_f64(),
            all.late,
            all.refused,
            all.failed,
            all.given_up,
            all.broken,
            all.unasked,
            cpu / took,
        );
    }
    Ok(())
}

/// Offers so many a second. Each takes a connection that rests, or makes one.
async fn offer(case: &'static Case, to: SocketAddr, rate: f64, first: u64) -> Seen {
    let (idle, mut seen, mut asked) = (
        Arc::new(Mutex::new(Vec::new())),
        Seen::default(),
        JoinSet::new(),
    );
    let begun = Instant::now();
    let mut tick = interval(Duration::from_millis(1));
    tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
    while begun.elapsed() < LENGTH {
        tick.tick().await;
        let due = (begun.elapsed().min(LENGTH).as_secs_f64() * rate) as u64;
        while seen.offered < due {
            seen.offered += 1;
            if asked.len() >= MOST {
                seen.unasked += 1;
                continue;
            }
            let (idle, number) = (idle.clone(), first + seen.offered);
            asked.spawn(async move { ask(case, to, number, &idle).await });
        }
        while let Some(Ok(end)) = asked.try_join_next() {
            seen.count(&end);
        }
    }
    while let Some(Ok(end)) = asked.join_next().await {
        seen.count(&end);
    }
    seen
}

impl Seen {
    fn count(&mut self, end: &End) {
        match end {
            End::Served(took) if took.as_secs_f64() * 1000.0 <= AIM[0] => self.in_time += 1,
            End::Served(_) => self.late += 1,
            End::Refused => self.refused += 1,
            End::Failed => self.failed += 1,
            End::GivenUp => self.given_up += 1,
            End::Broken => self.broken += 1,
        }
    }
}

async fn ask(
    case: &'static Case,
    to: SocketAddr,
    number: u64,
    idle: &Mutex<Vec<TcpStream>>,
) -> End {
    let begun = Instant::now();
    let kept = idle.lock().unwrap_or_else(PoisonError::into_inner).pop();
    let exchange = async {
        let mut stream = match kept {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect(to).await.map_err(|e| e.to_string())?;
                stream.set_nodelay(true).map_err(|e| e.to_string())?;
                stream
            }
        };
        let (mut request, mut answer) = (Vec::new(), Vec::with_capacity(4096));
        case.request(number, AIM[1] as u64, &mut request);
        stream
            .write_all(&request)
            .await
            .map_err(|e| e.to_string())?;
        let status = load::read(&mut stream, case.way, &mut answer).await?;
        idle.lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(stream);
        Ok::<_, String>(status)
    };
    match timeout(Duration::from_secs_f64(AIM[1] / 1000.0), exchange).await {
        Ok(Ok(200)) => End::Served(begun.elapsed()),
        Ok(Ok(429 | 503)) => End::Refused,
        Ok(Ok(_)) => End::Failed,
        Ok(Err(_)) => End::Broken,
        Err(_) => End::GivenUp,
    }
}
