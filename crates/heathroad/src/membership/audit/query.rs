//! What is asked of the audit.

use super::ClockOffset;
use heathroad_membership::activity_record::{Interval, UnixMillis};
use thiserror::Error;

/// Why a query is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum AuditQueryError {
    /// A value is not a number.
    #[error("{name}: {value:?}: expected a whole number")]
    InvalidValue {
        /// The name of the parameter.
        name: String,
        /// Its value.
        value: String,
    },
    /// There is no such parameter.
    #[error("{name}: expected since, version or at")]
    UnknownParameter {
        /// The name of the parameter.
        name: String,
    },
}

/// Selects intervals of the records. Times are by the clock of the proxy that is asked.
#[derive(Debug, Default, Clone, Copy)]
pub struct AuditQuery {
    /// Leaves out what ended before this time.
    since: Option<UnixMillis>,
    /// Selects one generation of routes.
    generation: Option<u64>,
    /// Selects what was in force at this time.
    at: Option<UnixMillis>,
}

impl AuditQuery {
    /// Parses the query of a request, such as `since=1790000000000&version=7`.
    pub fn parse(query: &str) -> Result<AuditQuery, AuditQueryError> {
        let mut parsed = AuditQuery::default();
        for parameter in query.split('&').filter(|parameter| !parameter.is_empty()) {
            let (name, value) = parameter.split_once('=').unwrap_or((parameter, ""));
            let number = value.parse().map_err(|_| AuditQueryError::InvalidValue {
                name: name.to_string(),
                value: value.to_string(),
            })?;
            match name {
                "since" => parsed.since = Some(number),
                "version" => parsed.generation = Some(number),
                "at" => parsed.at = Some(number),
                _ => {
                    return Err(AuditQueryError::UnknownParameter {
                        name: name.to_string(),
                    });
                }
            }
        }
        Ok(parsed)
    }

    /// Whether an interval is selected that was recorded by another clock, and written at
    /// `written_at` by that clock.
    pub(super) fn selects(
        &self,
        interval: &Interval,
        written_at: UnixMillis,
        clock: ClockOffset,
    ) -> bool {
        let end = clock.to_local(interval.to.unwrap_or(written_at));
        let last_activity = interval.last_activity.map_or(0, |at| clock.to_local(at));
        let end = end.max(last_activity);
        let begin = clock.to_local(interval.from);
        self.since.is_none_or(|since| end >= since)
            && self
                .generation
                .is_none_or(|generation| interval.version.generation == generation)
            && self.at.is_none_or(|at| begin <= at && end >= at)
    }
}
