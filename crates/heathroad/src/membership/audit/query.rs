//! The query parameters of the audit.

use super::ClockOffset;
use heathroad_membership::activity_record::{Interval, UnixMillis};
use thiserror::Error;

/// Why a query is rejected.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[non_exhaustive]
pub enum AuditQueryError {
    /// A value is not a whole number.
    #[error("{name}: {value:?}: expected a whole number")]
    InvalidValue {
        /// The name of the parameter.
        name: String,
        /// Its value.
        value: String,
    },
    /// A parameter is unknown.
    #[error("{name}: expected since, version or at")]
    UnknownParameter {
        /// The name of the parameter.
        name: String,
    },
}

/// Selects intervals of the records. Times are by the clock of the proxy that answers.
#[derive(Debug, Default, Clone, Copy)]
pub struct AuditQuery {
    /// Excludes intervals that ended before this time.
    since: Option<UnixMillis>,
    /// Selects one generation of routes.
    generation: Option<u64>,
    /// Selects the intervals that include this time.
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

    /// Returns whether the query selects an interval. Its times, and the time `written_at` of the
    /// record, are by the other proxy's clock.
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
