//! What duties act on: an address that keeps the highest token it has seen and answers 412 to a
//! lower one, and a judge of what it took.
//!
//! Acts may be late on their way to it, which is what a token is for; and its look may be left out,
//! to see what the lease alone is worth.

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

/// Most acts that are kept.
const MAX_ACTS: usize = 200_000;

/// An act that came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LeaseCall {
    /// When it was taken or refused.
    pub at: Micros,
    /// By which token.
    pub token: u64,
    /// By whom: a place, and a life of it.
    pub holder: String,
    /// Its number.
    pub number: u64,
    /// Whether it was taken.
    pub accepted: bool,
}

impl LeaseCall {
    /// Whose it was.
    pub fn member(&self) -> u16 {
        self.token as u16
    }
}

/// How it is.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// It looks at tokens.
    pub check_tokens: bool,
    /// A share of acts comes late,
    pub delayed_share: f64,
    /// by up to so much.
    pub max_delay: Duration,
    /// The seed of that.
    pub seed: u64,
}

/// An address that duties act on. It ends when it is dropped.
pub struct FencingServer {
    /// Where it is.
    pub address: SocketAddr,
    calls: Arc<Mutex<Vec<LeaseCall>>>,
    answers: Arc<Mutex<Option<u16>>>,
    serving: JoinHandle<()>,
}

impl Drop for FencingServer {
    fn drop(&mut self) {
        self.serving.abort();
    }
}

impl FencingServer {
    /// Opens one.
    pub async fn start(clock: Clock, options: Options) -> io::Result<FencingServer> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (acts, answers) = (Arc::default(), Arc::default());
        let serving = tokio::spawn(serve(
            listener,
            clock,
            options,
            Arc::clone(&acts),
            Arc::clone(&answers),
        ));
        Ok(FencingServer {
            address,
            calls: acts,
            answers,
            serving,
        })
    }

    /// What the fleet's file says of a duty `tick` that acts here, the first three places being its
    /// voters.
    pub fn lease_config(&self, lease_ms: u64, every: Duration) -> String {
        format!(
            "[duties]\nvoters = [0, 1, 2]\nlease_ms = {lease_ms}\n[[duty]]\nname = \"tick\"\nwork = \"call\"\n\
             address = \"{}\"\nevery_ms = {}\n",
            self.address,
            every.as_millis()
        )
    }

    /// What came so far.
    pub fn calls(&self) -> Vec<LeaseCall> {
        self.calls.lock().map(|a| a.clone()).unwrap_or_default()
    }

    /// Answers all with this status from now on, and takes none; or does as it should.
    pub fn set_status(&self, status: Option<u16>) {
        if let Ok(mut answers) = self.answers.lock() {
            *answers = status;
        }
    }
}

async fn serve(
    listener: TcpListener,
    clock: Clock,
    options: Options,
    acts: Arc<Mutex<Vec<LeaseCall>>>,
    answers: Arc<Mutex<Option<u16>>>,
) {
    let mut rng = Rng::with_seed(options.seed);
    let highest = Arc::new(AtomicU64::new(0));
    while let Ok((mut stream, _)) = listener.accept().await {
        let late = if rng.f64() < options.delayed_share {
            options.max_delay.mul_f64(rng.f64())
        } else {
            Duration::ZERO
        };
        let (acts, answers, highest) = (acts.clone(), answers.clone(), highest.clone());
        tokio::spawn(async move {
            let mut buffer = Buffer::default();
            while let Ok(request) = buffer.request(&mut stream).await {
                let Some((token, holder, number)) = request.lease_headers else {
                    return;
                };
                sleep(late).await;
                let told = answers.lock().ok().and_then(|a| *a);
                let status = told.unwrap_or_else(|| {
                    let Ok(mut acts) = acts.lock() else {
                        return 500;
                    };
                    let taken = token >= highest.fetch_max(token, Ordering::Relaxed)
                        || !options.check_tokens;
                    if acts.len() < MAX_ACTS {
                        acts.push(LeaseCall {
                            at: clock.now(),
                            token,
                            holder,
                            number,
                            accepted: taken,
                        });
                    }
                    if taken { 200 } else { 412 }
                });
                let seen = format!("Duty-Token: {:016x}\r\n", highest.load(Ordering::Relaxed));
                if stream
                    .write_all(&http::encode_response(status, &seen, ""))
                    .await
                    .is_err()
                {
                    return;
                }
            }
        });
    }
}

/// What is wrong with what was taken: acts out of the order of their tokens, and tokens that two
/// held.
pub fn check(acts: &[LeaseCall]) -> Vec<String> {
    let mut wrong = Vec::new();
    let mut last: Option<&LeaseCall> = None;
    let mut holders = std::collections::BTreeMap::new();
    for act in acts.iter().filter(|a| a.accepted) {
        if last.is_some_and(|l| l.token > act.token) {
            wrong.push(format!("{act:?} after {last:?}"));
        }
        if last.is_none_or(|l| l.token <= act.token) {
            last = Some(act);
        }
        let holder = holders.entry(act.token).or_insert(&act.holder);
        if *holder != &act.holder {
            wrong.push(format!("{act:?}, whose token is {holder}'s"));
        }
    }
    wrong
}

/// A figure of what was done.
pub fn figure(acts: &[LeaseCall], name: &str) -> Option<f64> {
    let taken: Vec<&LeaseCall> = acts.iter().filter(|a| a.accepted).collect();
    let figure = match name {
        "duty_acts" => taken.len() as f64,
        "duty_holds" => taken
            .iter()
            .map(|a| a.token)
            .collect::<std::collections::BTreeSet<_>>()
            .len() as f64,
        "duty_refused" => (acts.len() - taken.len()) as f64,
        "duty_out_of_order" => check(acts).len() as f64,
        "duty_pause_s" => {
            let pauses = taken.windows(2).map(|w| w[1].at.saturating_sub(w[0].at));
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
    fn what_is_wrong_is_found() {
        let act = |token, holder: &str, taken| LeaseCall {
            at: 0,
            token,
            holder: holder.into(),
            number: 1,
            accepted: taken,
        };
        let good = [
            act(1, "a", true),
            act(2, "b", true),
            act(1, "a", false),
            act(2, "b", true),
        ];
        assert_eq!(check(&good), Vec::<String>::new());
        assert_eq!(check(&[act(2, "b", true), act(1, "a", true)]).len(), 1);
        assert_eq!(check(&[act(2, "b", true), act(2, "a", true)]).len(), 1);
    }
}
