//! Load-balancing decisions for services that call services, as a library without I/O.
//!
//! Each [`Balancer`] is one replica in front of one tier of backends. It learns a concurrency limit
//! for its attempts, divides it into slices by priority, rejects low-priority requests first when
//! the limit is reached, and selects backends from a subset of the tier that is sized to its load.
//! It receives events ([`api::Event`]) with the current time and returns actions
//! ([`api::Action`]). It has no clock, threads or sockets and is deterministic: the same settings,
//! seed and events produce the same actions.
//!
//! Each decision has its own module:
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
//! | `policy::slow_start` | how much a recently started backend is sent |
//! | `policy::outlier` | which backends are ejected, and for how long |
//! | `policy::retry` | whether a request is retried |
//!
//! `dispatch` sends and tracks attempts, `endpoints` maintains the endpoint list, and `balancer`
//! holds the state and dispatches events.
//!
//! Usage:
//!
//! ```
//! use heathroad_balancer::Balancer;
//! use heathroad_balancer::api::*;
//!
//! // Create the replica from its settings.
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
//! // Deliver the endpoint list. The first event also sets the maintenance timer.
//! let endpoints = [1, 2].map(|backend| Endpoint { backend, weight: 1.0, ..Endpoint::default() });
//! let update = Event::EndpointUpdate {
//!     kind: UpdateKind::Snapshot,
//!     endpoints: endpoints.to_vec(),
//! };
//! balancer.handle_event(0.0, update, &mut actions);
//! let Some(&Action::SetTimer { delay, token }) = actions.first() else { panic!("no timer") };
//!
//! // Deliver a request, which is sent immediately here.
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
//! // Fire the timer when it is due.
//! actions.clear();
//! balancer.handle_event(delay, Event::TimerFired { token }, &mut actions);
//!
//! // Report the outcome. The proxy has forwarded the response, so the request is closed.
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
//! # Requirements on the proxy
//!
//! - It delivers every event in order, with a monotonic clock, and one [`api::Event::TimerFired`]
//!   for every timer that was set.
//! - It delivers one [`api::Event::AttemptEnded`] for every [`api::Action::Send`], no later than
//!   the action's deadline, even if the request has already been closed.
//! - With [`api::SiteLimits::late_completions`], it delivers one [`api::Event::LateCompletion`] for
//!   every attempt that timed out or was cancelled, as soon as the attempt has completed or can no
//!   longer be observed.
//! - It forwards the first successful response to the client without an action, and sets
//!   `request_closed` from then on.
//!
//! Events about unknown or finished requests, attempts or backends are ignored.

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
