//! Service worth: the worth of responses in time relative to the worth requested, with retries
//! attributed to the first attempt. Arrivals come from the schedule, so requests that a stalled proxy
//! kept clients from sending still count.

use crate::clock::{Micros, SECOND};
use crate::event_log::{Attempt, AttemptEnd};
use crate::load_generator::PLANNED_REPEAT;
use crate::schedule::Schedule;

/// Length of the worst window.
const WORST_WINDOW: Micros = 10 * SECOND;
/// Weights of the whole run, worst window, worst class and worst tenant.
const WEIGHTS: [f64; 4] = [0.4, 0.1, 0.1, 0.4];

/// Service worth; shares are of the worth requested, from 0 to 1.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Worth {
    /// Worth requested.
    pub asked: f64,
    /// Worth earned.
    pub earned: f64,
    /// Worth earned by late responses.
    pub late: f64,
    /// Share earned over the whole run.
    pub whole: f64,
    /// Share in the worst ten seconds.
    pub worst_window: f64,
    /// Share of the worst-served class.
    pub worst_class: f64,
    /// Share of the worst-served tenant, within its quota.
    pub worst_tenant: f64,
    /// Weighted sum of the four shares.
    pub goal: f64,
    /// Worth requested and earned in each second.
    pub by_second: Vec<[f64; 2]>,
}

fn share([asked, earned]: [f64; 2]) -> Option<f64> {
    (asked > 0.0).then(|| earned / asked)
}

fn worst_share(sums: &[[f64; 2]]) -> f64 {
    sums.iter()
        .filter_map(|s| share(*s))
        .fold(f64::INFINITY, f64::min)
}

/// Returns the worth of a schedule and its attempts, and the sorted latencies of served requests.
pub fn compute(schedule: &Schedule, attempts: &[Attempt]) -> (Worth, Vec<Micros>) {
    let mut served = vec![None; schedule.requests.len()];
    for t in attempts
        .iter()
        .filter(|t| t.is_from_client() && t.retry != PLANNED_REPEAT)
    {
        if let (AttemptEnd::Served(_), Some(s)) = (&t.end, served.get_mut(t.request_index as usize))
        {
            // Time that a slow client spends reading is not counted.
            let at = t.ended_at.saturating_sub(t.read_delay);
            *s = Some(s.map_or(at, |earlier: Micros| earlier.min(at)));
        }
    }
    let s = &schedule.scenario;
    let seconds = schedule.duration.div_ceil(SECOND).max(1) as usize;
    let mut by_second = vec![[0.0; 2]; seconds];
    let mut by_class = vec![[0.0; 2]; s.class.len()];
    let mut by_tenant = vec![[0.0; 2]; s.tenant.len()];
    let (mut whole, mut late, mut latencies) = ([0.0; 2], 0.0, Vec::new());
    for (first, served) in schedule.requests.iter().zip(&served) {
        let class = schedule.class(first.class);
        let asked = class.worth
            * if first.over_share {
                s.run.over_share_worth
            } else {
                1.0
            };
        let earned = match served.map(|at| at.saturating_sub(first.at)) {
            Some(latency) => {
                latencies.push(latency);
                let ms = latency as f64 / 1000.0;
                let in_time = ms <= class.aim_ms;
                let factor = if in_time {
                    1.0
                } else if ms <= class.deadline_ms {
                    class.late_worth
                } else {
                    0.0
                };
                late += if in_time { 0.0 } else { asked * factor };
                asked * factor
            }
            None => 0.0,
        };
        let second = (first.at.saturating_sub(schedule.start) / SECOND) as usize;
        let add = |sum: &mut [f64; 2]| *sum = [sum[0] + asked, sum[1] + earned];
        add(&mut whole);
        add(&mut by_second[second.min(seconds - 1)]);
        add(&mut by_class[usize::from(first.class)]);
        if !first.over_share {
            add(&mut by_tenant[usize::from(first.tenant)]);
        }
    }
    latencies.sort_unstable();
    let width = (WORST_WINDOW / SECOND) as usize;
    let sum = |part: &[[f64; 2]]| {
        part.iter()
            .fold([0.0; 2], |a, b| [a[0] + b[0], a[1] + b[1]])
    };
    let windows: Vec<[f64; 2]> = by_second.windows(width.min(seconds)).map(sum).collect();
    let parts = [
        share(whole).unwrap_or(0.0),
        worst_share(&windows),
        worst_share(&by_class),
        worst_share(&by_tenant),
    ];
    let parts = parts.map(|p| if p.is_finite() { p } else { 0.0 });
    let goal = parts.iter().zip(WEIGHTS).map(|(p, w)| p * w).sum();
    let [whole_share, worst_window, worst_class, worst_tenant] = parts;
    let [asked, earned] = whole;
    let worth = Worth {
        asked,
        earned,
        late,
        whole: whole_share,
        worst_window,
        worst_class,
        worst_tenant,
        goal,
        by_second,
    };
    (worth, latencies)
}
