//! What must hold in a soak: it is told what clients did and what backends saw, and lists what was
//! broken.

use super::backend::{Attempts, SeenAttempt};
use std::collections::HashMap;
use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::time::{Duration, Instant};

/// An attempt that begins so long after its client has left breaks the rule.
const LEAVE_GRACE: Duration = Duration::from_millis(100);

/// The protocol of a client.
#[derive(Clone, Copy, Debug)]
pub enum Protocol {
    Http,
    JsonRpc,
}

/// What a client did that left.
#[derive(Clone, Copy)]
struct Departure {
    left_at: Instant,
    /// When it sent the request again, if it did.
    again_at: Option<Instant>,
    /// When it left for the second time.
    left_again_at: Option<Instant>,
}

/// What happened in a round.
#[derive(Default)]
pub struct Ledger {
    departures: Mutex<HashMap<String, Departure>>,
    closed: Mutex<Vec<String>>,
    faults: Mutex<Vec<String>>,
    has_stopped: AtomicBool,
    answered: AtomicUsize,
    served: AtomicUsize,
}

impl Ledger {
    /// Records something that was broken.
    pub fn fault(&self, fault: String) {
        self.faults.lock().expect("sound").push(fault);
    }

    /// Records that the proxy was told to stop.
    pub fn stop(&self) {
        self.has_stopped.store(true, SeqCst);
    }

    /// Returns whether the proxy was told to stop.
    pub fn has_stopped(&self) -> bool {
        self.has_stopped.load(SeqCst)
    }

    /// Records the answer to a request, which a backend answers with the request's id.
    pub fn answered(&self, id: &str, status: &str, body: &str) {
        self.answered.fetch_add(1, SeqCst);
        if status == "200" {
            self.served.fetch_add(1, SeqCst);
            if body != id {
                self.fault(format!("{id}: served with the answer of {body}"));
            }
        }
    }

    /// Records that no answer came in time.
    pub fn overdue(&self, id: &str, waited: Duration) {
        self.fault(format!("{id}: no answer after {waited:?}"));
    }

    /// Records that a connection ended without the answer to a request.
    pub fn closed_unanswered(&self, id: &str) {
        self.closed.lock().expect("sound").push(id.to_string());
    }

    /// Records that a client has left.
    pub fn left(&self, id: &str) {
        let now = Instant::now();
        let mut departures = self.departures.lock().expect("sound");
        departures
            .entry(id.to_string())
            .and_modify(|departure| departure.left_again_at = Some(now))
            .or_insert(Departure {
                left_at: now,
                again_at: None,
                left_again_at: None,
            });
    }

    /// Records that a client that has left is about to send its request again.
    pub fn came_again(&self, id: &str) {
        let mut departures = self.departures.lock().expect("sound");
        if let Some(departure) = departures.get_mut(id) {
            departure.again_at = Some(Instant::now());
        }
    }

    /// Returns the numbers of answered and of served requests.
    pub fn counts(&self) -> (usize, usize) {
        (self.answered.load(SeqCst), self.served.load(SeqCst))
    }

    /// Returns all that was broken, given the attempts that backends saw.
    pub fn judge(&self, attempts: &Attempts) -> Vec<String> {
        let mut by_id = HashMap::<String, Vec<SeenAttempt>>::new();
        for attempt in attempts.lock().expect("sound").iter() {
            by_id
                .entry(attempt.id.clone())
                .or_default()
                .push(attempt.clone());
        }
        let mut faults = std::mem::take(&mut *self.faults.lock().expect("sound"));
        for id in self.closed.lock().expect("sound").iter() {
            if by_id.contains_key(id) {
                faults.push(format!(
                    "{id}: sent on, and its connection closed unanswered"
                ));
            }
        }
        let departures = self.departures.lock().expect("sound");
        for (id, attempts) in &by_id {
            if id.starts_with("bad") {
                faults.push(format!("{id}: not sound, and sent on"));
            }
            // Requests behind another one leave with it.
            let client = id.split("-behind").next().unwrap_or(id);
            if let Some(departure) = departures.get(client) {
                judge_departure(id, departure, attempts, &mut faults);
            }
        }
        faults.sort();
        faults
    }
}

/// Describes attempts and a departure, in milliseconds from the latter.
fn describe(departure: &Departure, attempts: &[SeenAttempt]) -> String {
    let from_leave = |at: Instant| {
        let after = at.saturating_duration_since(departure.left_at);
        let before = departure.left_at.saturating_duration_since(at);
        (after.as_secs_f64() - before.as_secs_f64()) * 1e3
    };
    let attempts: Vec<String> = attempts
        .iter()
        .map(|attempt| {
            let outcome = if attempt.declined {
                "declined"
            } else {
                "taken"
            };
            format!("{:.1} {outcome}", from_leave(attempt.at))
        })
        .collect();
    let again_at = departure.again_at.map(from_leave);
    format!("attempts at {attempts:?}, again at {again_at:?}")
}

fn judge_departure(
    id: &str,
    departure: &Departure,
    attempts: &[SeenAttempt],
    faults: &mut Vec<String>,
) {
    let ran_before = |at: Instant| {
        attempts
            .iter()
            .any(|attempt| !attempt.declined && attempt.at < at)
    };
    for attempt in attempts {
        let since = attempt.at.saturating_duration_since(departure.left_at);
        let is_repeat =
            !id.contains("-behind") && departure.again_at.is_some_and(|at| attempt.at >= at);
        if !is_repeat && since > LEAVE_GRACE {
            let what = describe(departure, attempts);
            faults.push(format!(
                "{id}: sent on {since:?} after its client had left; {what}"
            ));
        }
        if is_repeat && departure.again_at.is_some_and(ran_before) {
            let what = describe(departure, attempts);
            faults.push(format!(
                "{id}: may have run, and sent on when it came again; {what}"
            ));
        }
        let since_last = departure
            .left_again_at
            .map(|left_at| attempt.at.saturating_duration_since(left_at));
        if since_last.is_some_and(|since| since > LEAVE_GRACE) {
            faults.push(format!(
                "{id}: sent on {since_last:?} after its client had left again"
            ));
        }
    }
}
