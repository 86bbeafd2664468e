//! Which pool a request goes to. Without routes there is one pool, that of the settings. With them,
//! each pool has an engine of its own, and a request binds to the generation in force when it is
//! taken: it keeps that, and the pool that it was given, to its final answer.

mod registry;
pub mod routed_pools;
pub mod stale_routes;
pub mod startup;
pub mod transactions;

use crate::backend::jsonrpc::Transport;
use crate::engine::Engine;
use crate::membership::activity_log;
use crate::metrics::{Meter, Moment};
use heathroad_balancer::api::Idempotency;
use heathroad_routing::generation::Generation;
use hyper::StatusCode;
use hyper::header::HeaderMap;
use routed_pools::{Many, PoolRun};
use std::rc::Rc;
use std::time::Duration;

/// What a request is asked by.
pub struct Ask<'a> {
    /// The listener that took it.
    pub listener: &'a str,
    /// Its method's name, for a remote call.
    pub method: &'a str,
    /// Its host, as the caller gave it.
    pub host: &'a str,
    /// Its path, without a query.
    pub path: &'a str,
    /// The name of its class.
    pub class: &'a str,
    /// The name of its tenant.
    pub tenant: &'a str,
    /// Its headers.
    pub headers: &'a HeaderMap,
    /// What keeps together what belongs together.
    pub key: &'a [u8],
}

/// What a request is bound to, to its final answer.
pub struct Bound {
    /// Decides it.
    pub engine: Rc<Engine>,
    /// Place of its class there.
    pub class: u16,
    /// Whether it may run again.
    pub effect: Idempotency,
    /// Longest time that its class may take, where its pool says so.
    pub deadline: Option<Duration>,
    /// How the pool's backends are called remotely, where they can be.
    pub way: Option<Transport>,
    /// The page of the record that it is written on, where one is kept.
    pub acts: Option<activity_log::RequestActivity>,
    /// Keeps the generation and the pool that it was taken under.
    _held: Option<(Rc<Generation>, Rc<PoolRun>)>,
}

/// Where requests go.
pub enum Router {
    /// To the one pool of the settings.
    One(Rc<Engine>),
    /// By routes.
    Many(Rc<Many>),
}

fn bound(engine: &Rc<Engine>, class: &str) -> Option<Bound> {
    let facts = engine.facts();
    let place = facts.site.classes.iter().position(|c| c == class)?;
    let effect = facts.balancer.classes[place].idempotency;
    Some(Bound {
        engine: engine.clone(),
        class: place as u16,
        effect,
        deadline: None,
        way: None,
        acts: engine.bind_activity(),
        _held: None,
    })
}

impl Router {
    /// Whether requests can be decided.
    pub fn ready(&self) -> bool {
        let fenced = match self {
            Router::One(engine) => engine.is_fenced(),
            Router::Many(many) => many.base.acts.as_ref().is_some_and(|a| a.is_fenced()),
        };
        !fenced && self.has_backends()
    }

    fn has_backends(&self) -> bool {
        match self {
            Router::One(engine) => engine.is_ready(),
            Router::Many(many) => many
                .current
                .borrow()
                .runs
                .iter()
                .any(|r| r.engine.is_ready()),
        }
    }

    /// Whether any pool in force serves a class.
    pub fn serves(&self, class: &str) -> bool {
        match self {
            Router::One(engine) => engine.facts().site.classes.iter().any(|c| c == class),
            Router::Many(many) => many.current.borrow().classes.contains(class),
        }
    }

    /// Binds a request; the status that turns it down, where nothing serves its class or no route
    /// takes it.
    pub fn bind(&self, ask: &Ask<'_>) -> Result<Bound, StatusCode> {
        let found = match self {
            Router::One(engine) => bound(engine, ask.class),
            Router::Many(many) => many.bind(ask),
        };
        found.ok_or(StatusCode::NOT_FOUND)
    }

    /// Every engine that may have something to do.
    pub fn engines(&self) -> Vec<Rc<Engine>> {
        match self {
            Router::One(engine) => vec![engine.clone()],
            Router::Many(many) => many.engines(),
        }
    }

    fn counted<T>(&self, tell: impl FnOnce(&Meter, &[Moment<'_>]) -> T) -> T {
        let engines = self.engines();
        let moments: Vec<Moment<'_>> = engines.iter().map(|e| e.moment()).collect();
        tell(&self.meter(), &moments)
    }

    /// What is counted over all pools.
    pub fn meter(&self) -> Rc<Meter> {
        match self {
            Router::One(engine) => engine.counts().meter().clone(),
            Router::Many(many) => many.meter.clone(),
        }
    }

    /// All counts as Prometheus text.
    pub fn counts_text(&self, descriptors: usize) -> String {
        self.counted(|meter, pools| meter.text(pools, [descriptors_held(), descriptors]))
    }

    /// All counts as one line of JSON.
    pub fn counts_json(&self, descriptors: usize) -> String {
        self.counted(|meter, pools| meter.json(pools, [descriptors_held(), descriptors]))
    }
}

fn descriptors_held() -> usize {
    // The folder's own descriptor is one of them.
    std::fs::read_dir("/proc/self/fd").map_or(0, |d| d.count().saturating_sub(1))
}
