//! A load balancer's decisions for services that call services, as a library without I/O.
//!
//! Each [`Balancer`] is one copy in front of one tier. It learns one concurrency limit for its own
//! calls, splits it into slices by worth, refuses low-worth requests first once past it, and picks
//! servers inside a subset of the tier that is as large as its load. It is told what happens
//! ([`api::Event`]) at a clock time and answers with what to do ([`api::Action`]). It owns no
//! clock, thread or socket: the same settings, seed and events give the same actions.
//!
//! A proxy embeds it like this:
//!
//! ```
//! use heathroad_balancer::Balancer;
//! use heathroad_balancer::api::*;
//!
//! // Start: what the copy is told once.
//! let settings = Settings {
//!     copy: 0,
//!     copies: 1,
//!     tick: 5.0,
//!     classes: vec![Class {
//!         aim: 300.0,
//!         points: 1.0,
//!         effect: Effect::Retryable,
//!         in_order: false,
//!     }],
//!     caps: Caps { try_limit: 3, ..Caps::default() },
//!     ..Settings::default()
//! };
//! let mut balancer = Balancer::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! // The list of backends. The first event also asks for a timer.
//! let entries = [1, 2].map(|backend| Entry { backend, weight: 1.0, ..Entry::default() }).to_vec();
//! balancer.handle(0.0, Event::List { kind: ListKind::Full, entries }, &mut actions);
//! let Some(&Action::WakeMe { delay, token }) = actions.first() else { panic!("a timer is asked for") };
//!
//! // A request: here it is sent at once.
//! actions.clear();
//! let arrival = Arrival { request: 7, key: 0, class: 0, tenant: 0, deadline: 1000.0, spare: None, worth: 1.0 };
//! balancer.handle(10.0, Event::Request(arrival), &mut actions);
//! let Some(&Action::Send { request: 7, backend, .. }) = actions.first() else { panic!("sent") };
//!
//! // The timer, when it is due.
//! actions.clear();
//! balancer.handle(delay, Event::Wake { token }, &mut actions);
//!
//! // The outcome. The proxy has passed the answer on, so the request is closed.
//! let resolved = Resolved {
//!     request: 7,
//!     attempt: 0,
//!     backend,
//!     outcome: Outcome::Ok,
//!     wait: 80.0,
//!     closed: true,
//!     spare: None,
//! };
//! actions.clear();
//! balancer.handle(90.0, Event::Resolved(resolved), &mut actions);
//! assert!(actions.is_empty());
//! # Ok::<(), SettingsError>(())
//! ```
//!
//! # What the proxy owes the copy
//!
//! - Every event, in order, with a clock that only goes forward; a [`api::Event::Wake`] for every
//!   timer asked for.
//! - One [`api::Event::Resolved`] for every [`api::Action::Send`], also after the request's end,
//!   and no later than its `not_past`.
//! - With [`api::Caps::late_ends`], one [`api::Event::Late`] for every attempt that was resolved as
//!   timed out or cancelled, as soon as its work has ended or nothing more can be seen of it.
//! - `closed` set once the request is over: the first served answer goes to the client by itself
//!   and ends it.
//!
//! Events about requests, attempts or backends that the copy does not know, or that are over, are
//! passed over.

pub mod api;
mod balancer;
pub mod settings;
mod state;

pub use api::{Load, SliceLoad};
pub use balancer::Balancer;

use api::{Settings, SettingsError, Tenant};

/// Turns down settings that no decision could be made by; names the first that is wrong.
fn check(s: &Settings) -> Result<(), SettingsError> {
    let r = &s.rules;
    let mut figures = vec![
        ("copies".into(), f64::from(s.copies) - 1.0),
        ("copy".into(), f64::from(s.copies) - f64::from(s.copy) - 1.0),
        ("tick".into(), s.tick),
        ("over_share_worth".into(), s.over_share_worth),
        ("rules.cold_from".into(), r.cold_from),
        ("rules.cold".into(), r.cold),
        ("rules.fall_multiple".into(), r.fall_multiple),
        ("rules.ask_within".into(), r.ask_within),
        ("rules.release_within".into(), r.release_within),
        ("rules.settle_after_doubt".into(), r.settle_after_doubt),
        ("goal.worst_class".into(), s.goal.worst_class),
        ("goal.cross_zone".into(), s.goal.cross_zone),
        ("caps.max_retry_after".into(), s.caps.max_retry_after),
        ("classes".into(), s.classes.len() as f64 - 1.0),
    ];
    for (i, c) in s.classes.iter().enumerate() {
        let of_class = [("aim", c.aim - 1e-3), ("points", c.points)];
        figures.extend(of_class.map(|(name, x)| (format!("classes[{i}].{name}"), x)));
    }
    let quota = |(i, t): (usize, &Tenant)| (format!("tenants[{i}].quota_per_s"), t.quota_per_s);
    figures.extend(s.tenants.iter().enumerate().map(quota));
    match figures
        .into_iter()
        .find(|(_, x)| !x.is_finite() || *x < 0.0)
    {
        Some((field, _)) => Err(SettingsError {
            field,
            reason: "is missing, negative, not finite or out of range",
        }),
        None => Ok(()),
    }
}
