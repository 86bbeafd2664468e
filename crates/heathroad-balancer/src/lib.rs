//! Load-balancing decisions for services that call services, as a library without I/O.
//!
//! Each [`Balancer`] is one replica in front of one tier of backends. It learns one concurrency
//! limit for its own attempts, splits it into slices by priority, rejects low-priority requests
//! first once the limit is reached, and selects backends inside a subset of the tier that is as
//! large as its load. It is notified of what happens ([`api::Event`]) at a clock time and returns
//! what is to be done ([`api::Action`]). It owns no clock, thread or socket: the same settings,
//! seed and events give the same actions.
//!
//! Each decision is a module of its own:
//!
//! | module | decision |
//! | --- | --- |
//! | `policy::admission` | whether a request is sent, queued or rejected |
//! | `policy::limiter` | how many attempts may be in flight |
//! | `policy::class_slices` | which part of the limit a priority level has |
//! | `policy::quota` | whether a tenant is within its quota |
//! | `policy::ordering` | when the next request of a key may be sent |
//! | `policy::subset` | which backends the replica sends to |
//! | `policy::zone_spillover` | which share of attempts leaves the zone |
//! | `policy::selection` | which backend an attempt goes to |
//! | `policy::slow_start` | what a backend that has just started is sent |
//! | `policy::outlier` | which backends are ejected, and for how long |
//! | `policy::retry` | whether a request is sent again |
//!
//! `dispatch` keeps account of attempts, `endpoints` of the endpoint list, and `balancer` holds the
//! state and hands each event to its decision.
//!
//! A proxy embeds it like this:
//!
//! ```
//! use heathroad_balancer::Balancer;
//! use heathroad_balancer::api::*;
//!
//! // Start: the settings, once.
//! let settings = Settings {
//!     replica_index: 0,
//!     replica_count: 1,
//!     tick: 5.0,
//!     classes: vec![Class {
//!         latency_objective: 300.0,
//!         priority_weight: 1.0,
//!         idempotency: Idempotency::Idempotent,
//!         ordered_by_key: false,
//!     }],
//!     limits: SiteLimits { max_attempts: 3, ..SiteLimits::default() },
//!     ..Settings::default()
//! };
//! let mut balancer = Balancer::new(settings, 42)?;
//! let mut actions = Vec::new();
//!
//! // The endpoint list. The first event also sets a timer.
//! let endpoints = [1, 2].map(|backend| Endpoint { backend, weight: 1.0, ..Endpoint::default() });
//! let update = Event::EndpointUpdate {
//!     kind: UpdateKind::Snapshot,
//!     endpoints: endpoints.to_vec(),
//! };
//! balancer.handle_event(0.0, update, &mut actions);
//! let Some(&Action::SetTimer { delay, token }) = actions.first() else { panic!("no timer") };
//!
//! // A request: here it is sent at once.
//! actions.clear();
//! let arrival = RequestArrival {
//!     request: 7,
//!     key: 0,
//!     class: 0,
//!     tenant: 0,
//!     deadline: 1000.0,
//!     retries_left: None,
//!     priority_share: 1.0,
//! };
//! balancer.handle_event(10.0, Event::RequestArrived(arrival), &mut actions);
//! let Some(&Action::Send { backend, .. }) = actions.first() else { panic!("not sent") };
//!
//! // The timer, when it is due.
//! actions.clear();
//! balancer.handle_event(delay, Event::TimerFired { token }, &mut actions);
//!
//! // The outcome. The proxy has passed the response on, so the request is closed.
//! let result = AttemptResult {
//!     request: 7,
//!     attempt: 0,
//!     backend,
//!     outcome: Outcome::Success,
//!     elapsed: 80.0,
//!     request_closed: true,
//!     retries_left: None,
//! };
//! actions.clear();
//! balancer.handle_event(90.0, Event::AttemptEnded(result), &mut actions);
//! assert!(actions.is_empty());
//! # Ok::<(), SettingsError>(())
//! ```
//!
//! # What the proxy owes the replica
//!
//! - Every event, in order, with a clock that only goes forward; one
//!   [`api::Event::TimerFired`] for every timer that was set.
//! - One [`api::Event::AttemptEnded`] for every [`api::Action::Send`], also after the request's
//!   end, and no later than the action's deadline.
//! - With [`api::SiteLimits::late_completions`], one [`api::Event::LateCompletion`] for every
//!   attempt that ended as timed out or cancelled, as soon as its work has ended or nothing more
//!   can be seen of it.
//! - `request_closed` set once the request is over: the first successful response goes to the
//!   client by itself and closes it.
//!
//! Events about requests, attempts or backends that the replica does not know, or that are over,
//! are ignored.

pub mod api;
mod backend;
mod balancer;
mod dispatch;
mod endpoints;
mod policy;
mod request;
pub mod settings;
mod validation;

pub use api::{Load, SliceLoad};
pub use balancer::Balancer;
