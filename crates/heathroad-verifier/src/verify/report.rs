//! Reports: a verdict on each expectation, with the violation if it fails.

use serde::Serialize;
use std::fmt;

/// The verdicts on all expectations of a file, in their order.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The name of the expectations file.
    pub file: String,
    /// One verdict for each expectation.
    pub verdicts: Vec<Verdict>,
}

/// The verdict on one expectation.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Verdict {
    /// The name of the expectation.
    pub name: String,
    /// The line of the expectation in its file.
    pub line: usize,
    /// The number of cases that were checked: combinations of route, class and pool.
    #[serde(rename = "cases")]
    pub case_count: usize,
    /// The violation, if there is one.
    pub failure: Option<Failure>,
}

/// A violation of an expectation.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Failure {
    /// The smallest request that violates the expectation.
    pub request: Option<String>,
    /// The route that the request takes.
    pub route: Option<RouteReference>,
    /// The pool that the request goes to.
    pub pool: Option<String>,
    /// The failure scenario in which the violation occurs. `None` is the present state.
    #[serde(rename = "state")]
    pub scenario: Option<String>,
    /// The failure domains that are lost in addition.
    pub lost: Vec<String>,
    /// What was found.
    pub found: String,
    /// What was expected.
    pub expected: String,
    /// The number of further cases that violate the expectation.
    #[serde(rename = "others")]
    pub further_cases: usize,
    /// Whether the violation is uncertain, because nodes that it depends on are unknown.
    #[serde(rename = "open")]
    pub is_undetermined: bool,
}

/// A route by its name and its line. The serialized form is a list of both.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(into = "(String, usize)")]
pub struct RouteReference {
    /// The name of the route.
    pub name: String,
    /// The line of the route in its file.
    pub line: usize,
}

impl From<RouteReference> for (String, usize) {
    fn from(route: RouteReference) -> Self {
        (route.name, route.line)
    }
}

impl Report {
    /// Whether all expectations hold.
    pub fn holds(&self) -> bool {
        self.verdicts
            .iter()
            .all(|verdict| verdict.failure.is_none())
    }

    /// Returns a line for each expectation that fails.
    pub fn failures(&self) -> Vec<String> {
        self.describe_failures(|_| true)
    }

    /// Returns a line for each expectation whose violation does not depend on unknown nodes.
    pub fn certain_failures(&self) -> Vec<String> {
        self.describe_failures(|failure| !failure.is_undetermined)
    }

    fn describe_failures(&self, is_included: impl Fn(&Failure) -> bool) -> Vec<String> {
        let describe = |verdict: &Verdict| {
            let failure = verdict.failure.as_ref().filter(|f| is_included(f))?;
            let Verdict { name, line, .. } = verdict;
            Some(format!("{}:{line}: {name:?}: {failure}", self.file))
        };
        self.verdicts.iter().filter_map(describe).collect()
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if let Some(scenario) = &self.scenario {
            write!(f, "while {scenario}: ")?;
        }
        if !self.lost.is_empty() {
            write!(f, "without {}: ", self.lost.join(", "))?;
        }
        if let Some(request) = &self.request {
            write!(f, "{request}: ")?;
        }
        if let Some(RouteReference { name, line }) = &self.route {
            write!(f, "by route {name:?} of line {line}: ")?;
        }
        if let Some(pool) = &self.pool {
            write!(f, "to pool {pool:?}: ")?;
        }
        write!(f, "{}; expected {}", self.found, self.expected)?;
        if self.further_cases > 0 {
            write!(f, " ({} more)", self.further_cases)?;
        }
        Ok(())
    }
}
