//! Emulated fencing server: stores the highest token it has seen, answers 412 to a lower one, and
//! records all calls for a check. Calls can be delayed, and the token check can be turned off.

use crate::clock::{Clock, Micros};
use crate::http::{self, Buffer};
use fastrand::Rng;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;
use tokio::time::sleep;

/// Maximum number of recorded calls.
const MAX_CALLS: usize = 200_000;

/// A call made under a lease.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseCall {
    /// When it was accepted or rejected.
    pub at: Micros,
    /// Its fencing token.
    pub token: u64,
    /// The caller: a member and its incarnation.
    pub holder: String,
    /// Its sequence number.
    pub number: u64,
    /// Whether it was accepted.
    pub accepted: bool,
}

impl LeaseCall {
    /// The calling member, which is the lower 16 bits of the token.
    pub fn member(&self) -> u16 {
        self.token as u16
    }
}

/// Options of the server.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Whether lower tokens are rejected.
    pub check_tokens: bool,
    /// Share of connections whose calls are delayed.
    pub delayed_share: f64,
    /// Longest delay.
    pub max_delay: Duration,
    /// Seed of the delays.
    pub seed: u64,
}

/// A running fencing server, which stops when dropped.
pub struct FencingServer {
    /// Its listening address.
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<LeaseCall>>>,
    forced_status: Arc<Mutex<Option<u16>>>,
    task: JoinHandle<()>,
}

impl Drop for FencingServer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl FencingServer {
    /// Starts a server on a loopback port.
    pub async fn start(clock: Clock, options: Options) -> io::Result<FencingServer> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (calls, forced_status) = (Arc::default(), Arc::default());
        let task = tokio::spawn(serve(
            listener,
            clock,
            options,
            Arc::clone(&calls),
            Arc::clone(&forced_status),
        ));
        Ok(FencingServer {
            address,
            calls,
            forced_status,
            task,
        })
    }

    /// Lease configuration of a duty `tick` that calls this server, with the first three members as
    /// voters.
    pub fn lease_config(&self, lease_ms: u64, every: Duration) -> String {
        format!(
            "[duties]\nvoters = [0, 1, 2]\nlease_ms = {lease_ms}\n[[duty]]\nname = \"tick\"\nwork = \"call\"\n\
             address = \"{}\"\nevery_ms = {}\n",
            self.address,
            every.as_millis()
        )
    }

    /// Calls recorded so far.
    pub fn calls(&self) -> Vec<LeaseCall> {
        self.calls.lock().map(|c| c.clone()).unwrap_or_default()
    }

    /// Answers all calls with this status and accepts none; `None` restores the token check.
    pub fn set_status(&self, status: Option<u16>) {
        if let Ok(mut forced_status) = self.forced_status.lock() {
            *forced_status = status;
        }
    }
}

async fn serve(
    listener: TcpListener,
    clock: Clock,
    options: Options,
    calls: Arc<Mutex<Vec<LeaseCall>>>,
    forced_status: Arc<Mutex<Option<u16>>>,
) {
    let mut rng = Rng::with_seed(options.seed);
    let highest = Arc::new(AtomicU64::new(0));
    while let Ok((mut stream, _)) = listener.accept().await {
        let delay = if rng.f64() < options.delayed_share {
            options.max_delay.mul_f64(rng.f64())
        } else {
            Duration::ZERO
        };
        let (calls, forced_status, highest) =
            (calls.clone(), forced_status.clone(), highest.clone());
        tokio::spawn(async move {
            let mut buffer = Buffer::default();
            while let Ok(request) = buffer.request(&mut stream).await {
                let Some((token, holder, number)) = request.lease_headers else {
                    return;
                };
                sleep(delay).await;
                let forced = forced_status.lock().ok().and_then(|s| *s);
                let status = forced.unwrap_or_else(|| {
                    let Ok(mut calls) = calls.lock() else {
                        return 500;
                    };
                    let accepted = token >= highest.fetch_max(token, Ordering::Relaxed)
                        || !options.check_tokens;
                    if calls.len() < MAX_CALLS {
                        calls.push(LeaseCall {
                            at: clock.now(),
                            token,
                            holder,
                            number,
                            accepted,
                        });
                    }
                    if accepted { 200 } else { 412 }
                });
                let token_header =
                    format!("Duty-Token: {:016x}\r\n", highest.load(Ordering::Relaxed));
                if stream
                    .write_all(&http::encode_response(status, &token_header, ""))
                    .await
                    .is_err()
                {
                    return;
                }
            }
        });
    }
}

/// Returns the violations among the accepted calls: tokens out of order, and tokens used by two
/// holders.
pub fn check(calls: &[LeaseCall]) -> Vec<String> {
    let mut violations = Vec::new();
    let mut last: Option<&LeaseCall> = None;
    let mut holders = std::collections::BTreeMap::new();
    for call in calls.iter().filter(|c| c.accepted) {
        if last.is_some_and(|l| l.token > call.token) {
            violations.push(format!("{call:?} accepted after {last:?}"));
        }
        if last.is_none_or(|l| l.token <= call.token) {
            last = Some(call);
        }
        let holder = holders.entry(call.token).or_insert(&call.holder);
        if *holder != &call.holder {
            violations.push(format!("{call:?} uses a token of {holder}"));
        }
    }
    violations
}

/// Computes a figure of the calls by its name.
pub fn figure(calls: &[LeaseCall], name: &str) -> Option<f64> {
    let accepted: Vec<&LeaseCall> = calls.iter().filter(|c| c.accepted).collect();
    let figure = match name {
        "duty_acts" => accepted.len() as f64,
        "duty_holds" => accepted
            .iter()
            .map(|c| c.token)
            .collect::<std::collections::BTreeSet<_>>()
            .len() as f64,
        "duty_refused" => (calls.len() - accepted.len()) as f64,
        "duty_out_of_order" => check(calls).len() as f64,
        "duty_pause_s" => {
            let pauses = accepted.windows(2).map(|w| w[1].at.saturating_sub(w[0].at));
            pauses.max().unwrap_or(0) as f64 / 1e6
        }
        _ => return None,
    };
    Some(figure)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn violations_are_found() {
        let call = |token, holder: &str, accepted| LeaseCall {
            at: 0,
            token,
            holder: holder.into(),
            number: 1,
            accepted,
        };
        let valid = [
            call(1, "a", true),
            call(2, "b", true),
            call(1, "a", false),
            call(2, "b", true),
        ];
        assert_eq!(check(&valid), Vec::<String>::new());
        assert_eq!(check(&[call(2, "b", true), call(1, "a", true)]).len(), 1);
        assert_eq!(check(&[call(2, "b", true), call(2, "a", true)]).len(), 1);
    }
}
