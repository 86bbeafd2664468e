//! Checks of single requirements in a case.

use super::targets::{check_never, check_only};
use super::violation::Violation;
use super::{Case, TargetPool, Verifier};
use crate::expectations::{Bounds, Expectation, Quantity, Requirement, RetryLimit};
use crate::failure_scenarios::{FailureScenario, Loss, WorstCase, fewest_peers, worst_loss};
use heathroad_routing::config::{Class, DeduplicationScope, Idempotency};

/// A value of a quantity, in the worst case of a loss if it depends on nodes.
struct QuantityValue {
    value: f64,
    lost: Vec<String>,
}

impl From<WorstCase> for QuantityValue {
    fn from(worst: WorstCase) -> Self {
        QuantityValue {
            value: worst.remaining as f64,
            lost: worst.lost,
        }
    }
}

impl From<f64> for QuantityValue {
    fn from(value: f64) -> Self {
        QuantityValue {
            value,
            lost: Vec::new(),
        }
    }
}

impl Verifier<'_> {
    /// Returns the first violation in a case and a scenario. The shares of pools are checked by
    /// [`Verifier::find_pool_part_violation`], since they depend on neither.
    pub(super) fn find_violation(
        &self,
        expectation: &Expectation,
        case: &Case<'_>,
        scenario: &FailureScenario,
    ) -> Option<Violation> {
        let loss = expectation.loss;
        expectation
            .requirements
            .iter()
            .find_map(|requirement| match requirement {
                Requirement::Served(true) => self.check_served(case, scenario, loss),
                Requirement::Served(false) => {
                    let is_served = case.serving_class().is_some();
                    is_served.then(|| Violation::new("it is served", "it to be rejected"))
                }
                _ => {
                    // A rejected request reaches no target.
                    let (target, class) = case.serving_class()?;
                    self.check_target(requirement, target, class, scenario, loss)
                }
            })
    }

    fn check_served(
        &self,
        case: &Case<'_>,
        scenario: &FailureScenario,
        loss: Option<Loss>,
    ) -> Option<Violation> {
        let expected = "it to be served";
        let Some(target) = &case.target else {
            return Some(Violation::new("no route takes it", expected));
        };
        if target.class.is_none() {
            let found = format!("class {:?} is not served there", case.class);
            return Some(Violation::new(found, expected));
        }
        let Some(nodes) = self.available_nodes(target, scenario) else {
            // In the present state without a loss, some nodes are assumed to be announced.
            let is_present = *scenario == FailureScenario::default() && loss.is_none();
            return (!is_present).then(|| Violation::unknown_nodes(target.pool));
        };
        let worst = worst_loss(&nodes, loss);
        let is_served = worst.remaining > 0;
        (!is_served)
            .then(|| Violation::new("no node takes new requests", expected).with_lost(worst.lost))
    }

    fn check_target(
        &self,
        requirement: &Requirement,
        target: &TargetPool<'_>,
        class: &Class,
        scenario: &FailureScenario,
        loss: Option<Loss>,
    ) -> Option<Violation> {
        let nodes = || self.available_nodes(target, scenario);
        match requirement {
            Requirement::Only(targets) => check_only(targets, target.pool, nodes().as_deref()),
            Requirement::Never(targets) => check_never(targets, target.pool, nodes().as_deref()),
            Requirement::Retries(limit) => check_retries(*limit, class.idempotency),
            Requirement::Deduplicated(scope) => check_deduplication(*scope, class.idempotency),
            Requirement::Quantity(quantity, bounds) => {
                let value = self.quantity_value(*quantity, target, class, scenario, loss);
                check_quantity(*quantity, bounds, value)
            }
            Requirement::Served(_) | Requirement::PoolPart { .. } => None,
        }
    }

    /// Returns a quantity, or a violation if it is unknown or does not apply.
    fn quantity_value(
        &self,
        quantity: Quantity,
        target: &TargetPool<'_>,
        class: &Class,
        scenario: &FailureScenario,
        loss: Option<Loss>,
    ) -> Result<QuantityValue, Violation> {
        let nodes = || {
            let nodes = self.available_nodes(target, scenario);
            nodes.ok_or_else(|| Violation::unknown_nodes(target.pool))
        };
        let not_keyed = || Violation::idempotency(class.idempotency, "it to be keyed");
        match quantity {
            Quantity::LatencyObjective => Ok(class.latency_objective_ms.into()),
            Quantity::Deadline => Ok(class.deadline_ms.into()),
            Quantity::PriorityWeight => Ok(class.priority_weight.into()),
            Quantity::Attempts => {
                let attempts = self.environment.max_attempts.map(f64::from);
                let unknown = || Violation::unknown_setting("the number of attempts");
                attempts.map(Into::into).ok_or_else(unknown)
            }
            Quantity::OpenRequests => {
                let limits = [
                    target.pool.max_open_requests,
                    self.environment.max_open_requests,
                ];
                let limit = limits.into_iter().flatten().min().map(f64::from);
                let unknown = || Violation::unknown_setting("the number of open requests");
                limit.map(Into::into).ok_or_else(unknown)
            }
            Quantity::DeduplicationWindow => match class.idempotency {
                Idempotency::Keyed { window_ms, .. } => Ok(window_ms.into()),
                _ => Err(not_keyed()),
            },
            Quantity::Nodes => Ok(worst_loss(&nodes()?, loss).into()),
            Quantity::Peers => {
                let nodes = nodes()?;
                let Idempotency::Keyed { scope, .. } = class.idempotency else {
                    return Err(not_keyed());
                };
                Ok(fewest_peers(&nodes, scope, loss).unwrap_or_default().into())
            }
        }
    }

    /// Returns the violation of the bounds on a pool's share of a route's requests. It is reported
    /// in the case of the named pool, or in all cases of the route if that pool gets no requests.
    pub(super) fn find_pool_part_violation(
        &self,
        expectation: &Expectation,
        case: &Case<'_>,
    ) -> Option<Violation> {
        let target = case.target.as_ref()?;
        let config = &self.generation.config;
        let route = &config.routes[case.requests.route?];
        let total: f64 = route.destinations.iter().map(|d| d.weight).sum();
        expectation.requirements.iter().find_map(|requirement| {
            let Requirement::PoolPart { pool, bounds } = requirement else {
                return None;
            };
            let named = route
                .destinations
                .iter()
                .filter(|d| config.pools[d.pool].name == *pool);
            let part: f64 = named.map(|d| d.weight / total).sum();
            let reports_it = target.pool.name == *pool || part <= 0.0;
            if !reports_it || bounds.contains(part) {
                return None;
            }
            let found = format!("pool {pool:?} gets a share of {part:.4}");
            Some(Violation::new(found, bounds.describe()))
        })
    }
}

fn check_retries(limit: RetryLimit, actual: Idempotency) -> Option<Violation> {
    let (holds, expected) = match limit {
        RetryLimit::Never => (
            actual == Idempotency::NonIdempotent,
            "it never to be retried once it may have run (\"unsafe\")",
        ),
        RetryLimit::Keyed => (
            actual != Idempotency::Idempotent,
            "it to be retried only where backends deduplicate requests",
        ),
    };
    (!holds).then(|| Violation::idempotency(actual, expected))
}

fn check_deduplication(wanted: DeduplicationScope, actual: Idempotency) -> Option<Violation> {
    match actual {
        Idempotency::Keyed { scope, .. } if scope == wanted => None,
        _ => {
            let expected = format!("it to be keyed in the group {wanted}");
            Some(Violation::idempotency(actual, expected))
        }
    }
}

fn check_quantity(
    quantity: Quantity,
    bounds: &Bounds,
    value: Result<QuantityValue, Violation>,
) -> Option<Violation> {
    match value {
        Err(violation) => Some(violation),
        Ok(QuantityValue { value, .. }) if bounds.contains(value) => None,
        Ok(QuantityValue { value, lost }) => {
            let found = format!("{} is {value}", quantity.key());
            Some(Violation::new(found, bounds.describe()).with_lost(lost))
        }
    }
}
