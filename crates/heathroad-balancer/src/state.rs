//! The decision module's records: plain fields, no logic. What they mean is decided in
//! `balancer.rs`.

use crate::api::{BackendId, Entry, RequestId};
use std::collections::VecDeque;

/// A backend, as the list and its answers tell of it.
#[derive(Default)]
pub struct Backend {
    pub entry: Entry,
    pub calls: VecDeque<(RequestId, f64)>,
    pub late: VecDeque<(RequestId, f64)>, // given up, the work goes on
    pub heard: f64,
    pub slow: f64, // latency over its class's mean
    pub seen: f64,
    pub error: f64,
    pub ejected_until: f64, // 0: in service
    pub ejections: u32,
    pub cold_tokens: f64,
}

/// An attempt of a request.
pub struct Attempt {
    pub backend: BackendId,
    pub place: (u16, u16), // zone and cell
    pub sent: f64,
    pub out: bool,
    pub late: bool, // given up, the work goes on
    pub never_ran: bool,
    pub counted: bool, // against the limit
}

/// A request that is owed an answer, or has attempts out.
pub struct Request {
    pub key: u64, // of an ordered class, else 0
    pub class: usize,
    pub slice: usize,
    pub paid: Option<usize>, // the tenant whose quota it took
    pub deadline: f64,
    pub hold_until: f64,
    pub ended: bool,
    pub spare: Option<u32>, // further attempts that its budget has
    pub attempts: Vec<Attempt>,
}

/// The requests of a key whose class asks for order, in the order they came.
#[derive(Default)]
pub struct Line {
    pub ids: VecDeque<RequestId>,
    pub turn: bool, // the first has been let go ahead
    pub rest_until: f64,
}

/// A slice of the limit.
#[derive(Default)]
pub struct Slice {
    pub share: f64,
    pub busy: f64,
    pub held: VecDeque<RequestId>,
}

/// What the limiter knows of a class.
#[derive(Default)]
pub struct Latency {
    pub aim: f64,
    pub samples: f64,
    pub mean: f64,
    pub base: f64,
    pub busy: f64,
}

/// The learned total, judged in windows by two views: the answers' latencies, and Little's law
/// (calls in flight over the rate of answers is the mean latency, slow ones counted while they are
/// still out).
#[derive(Default)]
pub struct Limiter {
    pub total: f64,
    pub classes: Vec<Latency>,
    pub elapsed: f64,
    pub area: f64, // calls in flight, each over its class's target, times time
    pub answers: f64,
    pub ratios: f64, // of the answers: latency over the class's target, summed
    pub drops: f64,
    pub timeouts: f64,
    pub used: bool,
    pub rate: f64,
    pub mean: f64,
}
