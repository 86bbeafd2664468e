//! A measurement of what counting costs.

use super::*;
use heathroad_balancer::api::Outcome;
use heathroad_balancer::settings::SiteSettings;
use std::hint::black_box;
use std::rc::Rc;
use std::time::Instant;

/// A measurement and no test: what a request's counting takes. Run it in release with `--ignored
/// --nocapture`.
#[test]
#[ignore = "a measurement"]
fn what_counting_costs() {
    const REQUESTS: u32 = 10_000_000;
    let name = |n: usize| (0..n).map(|i| i.to_string()).collect();
    let counts = PoolMetrics::new(
        &Rc::new(MetricsRegistry::new()),
        "",
        &SiteSettings {
            classes: name(4),
            tenants: name(5),
            ..SiteSettings::default()
        },
    );
    let begun = Instant::now();
    for i in 0..REQUESTS {
        counts.record_attempt_end(black_box(Outcome::Success), None);
        counts.record_response(
            black_box((i % 4) as u16),
            black_box((i % 5) as u16),
            ResponseKind::Served,
        );
    }
    println!(
        "{:.1} ns a request",
        begun.elapsed().as_nanos() as f64 / f64::from(REQUESTS)
    );
}
