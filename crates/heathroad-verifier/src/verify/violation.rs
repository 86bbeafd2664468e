//! Violations of a requirement, without the request, route and scenario in which they occur.

use heathroad_routing::config::{BackendSource, Idempotency, Pool};

/// A violation of a requirement.
#[derive(Debug, Clone)]
pub(super) struct Violation {
    /// Whether it is uncertain, because nodes that it depends on are unknown.
    pub(super) is_undetermined: bool,
    /// The failure domains that are lost.
    pub(super) lost: Vec<String>,
    pub(super) found: String,
    pub(super) expected: String,
}

impl Violation {
    pub(super) fn new(found: impl Into<String>, expected: impl Into<String>) -> Self {
        Violation {
            is_undetermined: false,
            lost: Vec::new(),
            found: found.into(),
            expected: expected.into(),
        }
    }

    pub(super) fn with_lost(self, lost: Vec<String>) -> Self {
        Violation { lost, ..self }
    }

    /// Returns the violation of a requirement on nodes that no registry has announced.
    pub(super) fn unknown_nodes(pool: &Pool) -> Self {
        let registry = match &pool.source {
            BackendSource::Registry {
                address: Some(address),
                ..
            } => format!("the registry at {address}"),
            _ => "the default registry".to_string(),
        };
        let name = &pool.name;
        let found =
            format!("the nodes of pool {name:?} are announced by {registry} and not known here");
        let expected = "them to be given (`[[node]]`, or a daemon by `--live`)";
        Violation {
            is_undetermined: true,
            ..Violation::new(found, expected)
        }
    }

    /// Returns the violation of a requirement on a quantity of the daemon's settings.
    pub(super) fn unknown_setting(what: &str) -> Self {
        let found =
            format!("{what} is a matter of the daemon's settings, which are not known here");
        Violation::new(found, "them to be told (`--settings FILE`)")
    }

    /// Returns the violation of a requirement on the idempotency of a class.
    pub(super) fn idempotency(actual: Idempotency, expected: impl Into<String>) -> Self {
        Violation::new(format!("it is {}", describe_idempotency(actual)), expected)
    }
}

fn describe_idempotency(idempotency: Idempotency) -> String {
    match idempotency {
        Idempotency::Idempotent => "safe to repeat anywhere".into(),
        Idempotency::NonIdempotent => "unsafe".into(),
        Idempotency::Keyed { scope, window_ms } => {
            format!("keyed in the group {scope} for {window_ms} ms")
        }
    }
}
