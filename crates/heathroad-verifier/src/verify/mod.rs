//! Verification: checks each expectation against a configuration, for every request of its scope,
//! in the present state and in each failure scenario that it names.
//!
//! A violation is reported with the smallest request, the first scenario in which it occurs, and the
//! route.

mod report;
mod requirements;
mod targets;
mod violation;

pub use report::{Failure, Report, RouteReference, Verdict};

use crate::expectations::{Expectation, Expectations, Requirement};
use crate::failure_scenarios::FailureScenario;
use crate::nodes::{Node, pool_nodes};
use crate::reachability::{ClassRequests, RouteRegions, RoutedRequests, TooManyKinds};
use crate::request_space::{Region, RequestSpace, TooManyEntryPoints};
use heathroad_routing::config::{Class, Pool};
use heathroad_routing::generation::Generation;
use std::collections::HashMap;
use std::net::SocketAddr;
use violation::Violation;

/// What is known about the daemon that will serve a configuration.
#[derive(Debug, Clone, Default)]
pub struct Environment {
    /// The tenants that the daemon accepts, if they are known. An empty list accepts all.
    pub tenants: Option<Vec<String>>,
    /// The maximum number of attempts of a request, by the daemon's settings.
    pub max_attempts: Option<u32>,
    /// The maximum number of requests in flight of a pool, by the daemon's settings.
    pub max_open_requests: Option<u32>,
    /// The registry of pools that name none.
    pub default_registry: Option<SocketAddr>,
    /// The nodes that registries announce, and known attributes of listed ones.
    pub nodes: Vec<Node>,
}

/// Why expectations can't be verified at all.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum VerifyError {
    /// The configuration has too many kinds of calls.
    #[error(transparent)]
    TooManyEntryPoints(#[from] TooManyEntryPoints),
    /// The configuration divides requests into too many kinds.
    #[error(transparent)]
    TooManyKinds(#[from] TooManyKinds),
}

/// Verifies a configuration against expectations.
///
/// # Errors
///
/// Fails if the configuration has more kinds of requests than can be verified.
pub fn verify(
    generation: &Generation,
    expectations: &Expectations,
    environment: &Environment,
) -> Result<Report, VerifyError> {
    let scopes: Vec<_> = expectations.list.iter().map(|e| &e.scope).collect();
    let tenants = environment.tenants.as_deref();
    let space = RequestSpace::new(&generation.config, &scopes, tenants)?;
    let pools = generation.config.pools.iter();
    let nodes_of = |pool| pool_nodes(pool, &environment.nodes, environment.default_registry);
    let verifier = Verifier {
        generation,
        scenarios: &expectations.scenarios,
        environment,
        routes: RouteRegions::new(generation, &space),
        nodes_by_pool: pools.map(nodes_of).collect(),
        space: &space,
    };
    let verdicts = expectations
        .list
        .iter()
        .map(|e| verifier.verify_expectation(e));
    Ok(Report {
        file: expectations.file.clone(),
        verdicts: verdicts.collect::<Result<_, _>>()?,
    })
}

struct Verifier<'a> {
    generation: &'a Generation,
    scenarios: &'a [FailureScenario],
    environment: &'a Environment,
    space: &'a RequestSpace,
    routes: RouteRegions,
    /// The nodes of each pool, if they are known.
    nodes_by_pool: Vec<Option<Vec<Node>>>,
}

/// Requests of one class that one route sends to one pool.
struct Case<'r> {
    class: &'r str,
    requests: &'r RoutedRequests<'r>,
    /// `None` if no route matches.
    target: Option<TargetPool<'r>>,
}

/// The pool that requests of a class go to.
struct TargetPool<'r> {
    index: usize,
    pool: &'r Pool,
    /// The class as the pool serves it.
    class: Option<&'r Class>,
}

impl<'r> Case<'r> {
    /// Returns the target pool and its definition of the class, if it serves the class.
    fn serving_class(&self) -> Option<(&TargetPool<'r>, &'r Class)> {
        let target = self.target.as_ref()?;
        Some((target, target.class?))
    }
}

/// A violation, and the index of the scenario in which it occurs.
#[derive(Clone)]
struct ScenarioViolation {
    scenario: usize,
    violation: Violation,
}

impl Verifier<'_> {
    fn verify_expectation(&self, expectation: &Expectation) -> Result<Verdict, TooManyKinds> {
        let mut verdict = Verdict {
            name: expectation.name.clone(),
            line: expectation.line,
            case_count: 0,
            failure: self.find_unknown_name(expectation),
        };
        if verdict.failure.is_some() {
            return Ok(verdict);
        }
        let divided = self
            .routes
            .divide_by_class(self.space, &expectation.scope)?;
        if divided.is_empty() && !expectation.may_be_empty {
            verdict.failure = Some(Failure {
                found: format!("there are no {}", expectation.scope.describe()),
                expected: "some, or `may_be_empty = true`".into(),
                ..Failure::default()
            });
        }
        self.check_cases(expectation, &divided, &mut verdict)?;
        Ok(verdict)
    }

    fn check_cases(
        &self,
        expectation: &Expectation,
        divided: &[ClassRequests<'_>],
        verdict: &mut Verdict,
    ) -> Result<(), TooManyKinds> {
        let present = FailureScenario::default();
        let named = expectation
            .scenarios
            .iter()
            .map(|index| &self.scenarios[*index]);
        // The present state comes first, so that it is reported before any scenario.
        let scenarios: Vec<&FailureScenario> = [&present].into_iter().chain(named).collect();
        // Apart from the pools' shares, a violation depends on pool and class, not on the route.
        let mut violations: HashMap<(Option<usize>, &str), Option<ScenarioViolation>> =
            HashMap::new();
        for case in divided.iter().flat_map(|requests| self.cases(requests)) {
            verdict.case_count += 1;
            let key = (case.target.as_ref().map(|target| target.index), case.class);
            let by_pool = violations
                .entry(key)
                .or_insert_with(|| self.find_scenario_violation(expectation, &case, &scenarios));
            let by_route = || {
                let violation = self.find_pool_part_violation(expectation, &case)?;
                let scenario = 0;
                Some(ScenarioViolation {
                    scenario,
                    violation,
                })
            };
            let Some(found) = by_pool.clone().or_else(by_route) else {
                continue;
            };
            match &mut verdict.failure {
                Some(first) => first.further_cases += 1,
                None => {
                    let request = case.requests.smallest_request(self.space)?;
                    let scenario = scenarios[found.scenario];
                    let failure = self.failure(&case, &request, scenario, found.violation);
                    verdict.failure = Some(failure);
                }
            }
        }
        Ok(())
    }

    fn find_scenario_violation(
        &self,
        expectation: &Expectation,
        case: &Case<'_>,
        scenarios: &[&FailureScenario],
    ) -> Option<ScenarioViolation> {
        scenarios.iter().enumerate().find_map(|(index, scenario)| {
            Some(ScenarioViolation {
                scenario: index,
                violation: self.find_violation(expectation, case, scenario)?,
            })
        })
    }

    /// Returns a failure if the expectation names a pool or tenant that does not exist, as the
    /// expectation could then hold vacuously.
    fn find_unknown_name(&self, expectation: &Expectation) -> Option<Failure> {
        let unknown = |kind: &str, name: &str, known: Vec<&str>| Failure {
            found: format!("no {kind} {name:?}"),
            expected: format!("one of {}", known.join(", ")),
            ..Failure::default()
        };
        let config = &self.generation.config;
        let pools: Vec<&str> = config.pools.iter().map(|pool| pool.name.as_str()).collect();
        let mut named = expectation.requirements.iter().flat_map(named_pools);
        if let Some(pool) = named.find(|name| !pools.contains(&name.as_str())) {
            return Some(unknown("pool", pool, pools));
        }
        let tenant = expectation.scope.tenant.as_ref()?;
        let lists = [Some(&config.tenants), self.environment.tenants.as_ref()];
        let mut known_tenants = lists.into_iter().flatten().filter(|list| !list.is_empty());
        let lacking = known_tenants.find(|list| !list.contains(tenant))?;
        let known = lacking.iter().map(String::as_str).collect();
        Some(unknown("tenant", tenant, known))
    }

    /// Returns a case for each pool that requests go to, or one if no route matches.
    fn cases<'c>(&'c self, requests: &'c ClassRequests<'c>) -> Vec<Case<'c>> {
        let ClassRequests { class, requests } = requests;
        let config = &self.generation.config;
        let Some(route) = requests.route.map(|route| &config.routes[route]) else {
            return vec![Case {
                class,
                requests,
                target: None,
            }];
        };
        let destinations = route.destinations.iter().filter(|d| d.weight > 0.0);
        let cases = destinations.map(|destination| {
            let pool = &config.pools[destination.pool];
            Case {
                class,
                requests,
                target: Some(TargetPool {
                    index: destination.pool,
                    pool,
                    class: pool.classes.iter().find(|c| c.name == *class),
                }),
            }
        });
        cases.collect()
    }

    /// Returns the nodes of a pool that take new requests in a scenario, if they are known.
    fn available_nodes(
        &self,
        target: &TargetPool<'_>,
        scenario: &FailureScenario,
    ) -> Option<Vec<&Node>> {
        let nodes = self.nodes_by_pool[target.index].as_ref()?.iter();
        Some(nodes.filter(|node| scenario.is_available(node)).collect())
    }

    fn failure(
        &self,
        case: &Case<'_>,
        request: &Region,
        scenario: &FailureScenario,
        violation: Violation,
    ) -> Failure {
        let config = &self.generation.config;
        let route = case.requests.route.map(|index| &config.routes[index]);
        // Cross-checks the computed route against the routing table.
        let table = &self.generation.table;
        let line = self.space.with_first_request(request, |attributes| {
            table.find_route(attributes).map(|route| route.line)
        });
        let found = if line == route.map(|route| route.line) {
            violation.found
        } else {
            format!(
                "{} (but the routing table selects another route)",
                violation.found
            )
        };
        Failure {
            request: Some(self.space.describe(request)),
            route: route.map(|route| RouteReference {
                name: route.name.clone(),
                line: route.line,
            }),
            pool: case.target.as_ref().map(|target| target.pool.name.clone()),
            scenario: Some(scenario.name.clone()).filter(|name| !name.is_empty()),
            lost: violation.lost,
            found,
            expected: violation.expected,
            further_cases: 0,
            is_undetermined: violation.is_undetermined,
        }
    }
}

/// Returns the pools that a requirement names.
fn named_pools(requirement: &Requirement) -> Vec<&String> {
    match requirement {
        Requirement::Only(targets) | Requirement::Never(targets) => targets.pools.iter().collect(),
        Requirement::PoolPart { pool, .. } => vec![pool],
        _ => Vec::new(),
    }
}
