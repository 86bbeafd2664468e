//! The budget of a request as its HTTP headers or JSON-RPC members carry it, and the budget that an
//! attempt takes along.

use heathroad_jsonrpc::message::BudgetMembers;
use heathroad_retry_budget::request::BudgetClaim;
use heathroad_retry_budget::wire::{Budget, ProxyPath, RetriesSpent};
use hyper::header::{HeaderMap, HeaderValue};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Carries what a request may still spend.
pub const BUDGET_HEADER: &str = "req-budget";
/// Names the proxies that a request has passed.
pub const PATH_HEADER: &str = "req-path";
/// Reports with a response what was spent below.
pub const SPENT_HEADER: &str = "req-spent";

/// Reads the budget that an HTTP request claims.
pub fn read_http_claim(headers: &HeaderMap, from_trusted_peer: bool) -> BudgetClaim {
    let values = |name: &str| headers.get_all(name).iter().map(HeaderValue::as_bytes);
    BudgetClaim {
        budget: Budget::decode(values(BUDGET_HEADER)),
        path: ProxyPath::decode(values(PATH_HEADER)),
        from_trusted_peer,
    }
}

/// Reads the budget that a JSON-RPC call claims.
pub fn read_jsonrpc_claim(members: &BudgetMembers, from_trusted_peer: bool) -> BudgetClaim {
    BudgetClaim {
        budget: Budget::decode(members.budget.iter().map(|value| &value[..])),
        path: ProxyPath::decode(members.path.iter().map(|value| &value[..])),
        from_trusted_peer,
    }
}

/// The budget that an attempt takes along, and the report that its response brings back.
pub struct AttemptBudget {
    budget: Budget,
    path: Rc<str>,
    retries_spent: Cell<Option<RetriesSpent>>,
    cancels_downstream: bool,
}

impl AttemptBudget {
    /// Returns a budget without a report.
    pub(super) fn new(budget: Budget, path: Rc<str>, cancels_downstream: bool) -> AttemptBudget {
        AttemptBudget {
            budget,
            path,
            retries_spent: Cell::new(None),
            cancels_downstream,
        }
    }

    /// Returns the values of the budget's and the path's headers. They tell durations only, so that
    /// no clocks are compared.
    pub fn header_values(&self, remaining_time: Duration) -> (String, &str) {
        let remaining_ms = u32::try_from(remaining_time.as_millis()).unwrap_or(u32::MAX);
        let budget = Budget {
            time_ms: remaining_ms.min(self.budget.time_ms),
            ..self.budget
        };
        (budget.to_string(), &self.path)
    }

    /// Returns whether a backend stops what its caller has given up. Its connection is closed then,
    /// and so on down the chain.
    pub fn cancels_downstream(&self) -> bool {
        self.cancels_downstream
    }

    /// Writes the headers of an HTTP request.
    pub fn write_headers(&self, headers: &mut HeaderMap, remaining_time: Duration) {
        let (budget, path) = self.header_values(remaining_time);
        // Both are plain text.
        if let (Ok(budget), Ok(path)) = (HeaderValue::try_from(budget), HeaderValue::from_str(path))
        {
            headers.insert(BUDGET_HEADER, budget);
            headers.insert(PATH_HEADER, path);
        }
    }

    /// Reads the report of a JSON-RPC response; a malformed one counts as absent.
    pub fn read_jsonrpc_report(&self, member: Option<&[u8]>) {
        self.retries_spent
            .set(RetriesSpent::decode(member.into_iter()).unwrap_or(None));
    }

    /// Reads the report of an HTTP response; a malformed one counts as absent.
    pub fn read_http_report(&self, headers: &HeaderMap) {
        let values = headers
            .get_all(SPENT_HEADER)
            .iter()
            .map(HeaderValue::as_bytes);
        self.retries_spent
            .set(RetriesSpent::decode(values).unwrap_or(None));
    }

    /// Returns the report of the attempt's response, if one has come.
    pub(super) fn retries_spent(&self) -> Option<RetriesSpent> {
        self.retries_spent.get()
    }
}
