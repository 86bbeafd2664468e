//! What the daemon asks of the system and of the runtime, counted where it asks: a request's cost
//! in figures that no other program on the machine moves. Each thread counts its own, by plain
//! additions.

use std::cell::Cell;
use std::future::Future;
use std::time::Duration;
use tokio::task::{JoinHandle, JoinSet};
use tokio::time::{Instant, Sleep, Timeout};

/// The figures' names, in the order of [`so_far`].
pub const NAMES: [&str; 5] = ["reads", "writes", "looks", "tasks", "timers"];

const READS: usize = 0;
const WRITES: usize = 1;
const LOOKS: usize = 2;
const TASKS: usize = 3;
const TIMERS: usize = 4;

thread_local! {
    static SO_FAR: [Cell<u64>; NAMES.len()] = const { [const { Cell::new(0) }; NAMES.len()] };
}

fn one(kind: usize) {
    SO_FAR.with(|s| s[kind].set(s[kind].get() + 1));
}

/// Until now on this thread: reads and writes of connections that came to something, looks at what
/// lies on one, tasks begun, timers made.
pub fn so_far() -> [u64; NAMES.len()] {
    SO_FAR.with(|s| s.each_ref().map(Cell::get))
}

/// A read has come to something.
pub fn read() {
    one(READS);
}

/// A write has come to something.
pub fn wrote() {
    one(WRITES);
}

/// The system is asked what lies on a connection.
pub fn look() {
    one(LOOKS);
}

/// [`tokio::task::spawn_local`], counted.
#[allow(clippy::disallowed_methods, reason = "here it is counted")]
pub fn spawn_local<F: Future<Output: 'static> + 'static>(future: F) -> JoinHandle<F::Output> {
    one(TASKS);
    tokio::task::spawn_local(future)
}

/// [`JoinSet::spawn_local`], counted.
#[allow(clippy::disallowed_methods, reason = "here it is counted")]
pub fn spawn_in<T: 'static>(set: &mut JoinSet<T>, future: impl Future<Output = T> + 'static) {
    one(TASKS);
    set.spawn_local(future);
}

/// [`tokio::time::sleep`], counted.
#[allow(clippy::disallowed_methods, reason = "here it is counted")]
pub fn sleep(time: Duration) -> Sleep {
    one(TIMERS);
    tokio::time::sleep(time)
}

/// [`tokio::time::sleep_until`], counted.
#[allow(clippy::disallowed_methods, reason = "here it is counted")]
pub fn sleep_until(until: Instant) -> Sleep {
    one(TIMERS);
    tokio::time::sleep_until(until)
}

/// [`tokio::time::timeout`], counted.
#[allow(clippy::disallowed_methods, reason = "here it is counted")]
pub fn timeout<F: Future>(time: Duration, future: F) -> Timeout<F> {
    one(TIMERS);
    tokio::time::timeout(time, future)
}

/// [`tokio::time::timeout_at`], counted.
#[allow(clippy::disallowed_methods, reason = "here it is counted")]
pub fn timeout_at<F: Future>(until: Instant, future: F) -> Timeout<F> {
    one(TIMERS);
    tokio::time::timeout_at(until, future)
}
