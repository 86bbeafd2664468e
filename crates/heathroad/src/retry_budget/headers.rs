//! Reading budget claims from HTTP headers and JSON-RPC members, and the budget that an attempt
//! carries.

use heathroad_jsonrpc::message::BudgetMembers;
use heathroad_retry_budget::request::BudgetClaim;
use heathroad_retry_budget::wire::{Budget, ProxyPath, RetriesSpent};
use hyper::header::{HeaderMap, HeaderValue};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

/// Request header with the retry budget.
pub const BUDGET_HEADER: &str = "req-budget";
/// Request header with the names of the proxies that the request has passed.
pub const PATH_HEADER: &str = "req-path";
/// Response header with the number of spent retries.
pub const SPENT_HEADER: &str = "req-spent";

/// Reads the budget claim of an HTTP request.
pub fn read_http_claim(headers: &HeaderMap, from_trusted_peer: bool) -> BudgetClaim {
    let values = |name: &str| headers.get_all(name).iter().map(HeaderValue::as_bytes);
    BudgetClaim {
        budget: Budget::decode(values(BUDGET_HEADER)),
        path: ProxyPath::decode(values(PATH_HEADER)),
        from_trusted_peer,
    }
}

/// Reads the budget claim of a JSON-RPC call.
pub fn read_jsonrpc_claim(members: &BudgetMembers, from_trusted_peer: bool) -> BudgetClaim {
    BudgetClaim {
        budget: Budget::decode(members.budget.iter().map(|value| &value[..])),
        path: ProxyPath::decode(members.path.iter().map(|value| &value[..])),
        from_trusted_peer,
    }
}

/// The budget that an attempt carries, and the report of spent retries from its response.
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

    /// Returns the values of the budget and path headers. The time is a duration, so that clocks of
    /// different machines are never compared.
    pub fn header_values(&self, remaining_time: Duration) -> (String, &str) {
        let remaining_ms = u32::try_from(remaining_time.as_millis()).unwrap_or(u32::MAX);
        let budget = Budget {
            time_ms: remaining_ms.min(self.budget.time_ms),
            ..self.budget
        };
        (budget.to_string(), &self.path)
    }

    /// Returns whether backends cancel their work when the connection of an abandoned attempt is
    /// closed, which then propagates down the chain.
    pub fn cancels_downstream(&self) -> bool {
        self.cancels_downstream
    }

    /// Writes the headers of an HTTP request.
    pub fn write_headers(&self, headers: &mut HeaderMap, remaining_time: Duration) {
        let (budget, path) = self.header_values(remaining_time);
        // Both are ASCII text, so the conversions cannot fail.
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

    /// Returns the report from the attempt's response, if there is one.
    pub(super) fn retries_spent(&self) -> Option<RetriesSpent> {
        self.retries_spent.get()
    }
}
