//! Queries to a running daemon, and the parts that their answers as text have in common.

use super::admin_client;
use super::arguments::ReportOptions;
use hyper::Method;
use serde_json::Value;
use thiserror::Error;

const MS_PER_SECOND: u64 = 1_000;
const MS_PER_MINUTE: u64 = 60 * MS_PER_SECOND;
const MS_PER_HOUR: u64 = 60 * MS_PER_MINUTE;

/// A text is not a duration.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("{text:?}: expected a time such as 90s, 5m, 2h")]
pub struct ParseDurationError {
    text: String,
}

/// Asks a daemon, and returns its answer as JSON text.
pub(super) fn fetch(how: &ReportOptions, path: &str) -> Result<String, String> {
    admin_client::call(how.at.admin, Method::GET, path, String::new())
}

/// Parses the answer of a daemon.
pub(super) fn parse(answer: &str) -> Result<Value, String> {
    serde_json::from_str(answer).map_err(|error| format!("the answer: {error}"))
}

/// Asks a daemon, and returns its answer as JSON or rendered as text.
pub(super) fn run(
    how: &ReportOptions,
    path: &str,
    render: fn(&Value) -> String,
) -> Result<String, String> {
    let answer = fetch(how, path)?;
    if how.json {
        return Ok(answer);
    }
    Ok(render(&parse(&answer)?))
}

/// Parses a duration such as 90s, 5m or 2h, and returns its milliseconds.
pub fn parse_duration_ms(text: &str) -> Result<u64, ParseDurationError> {
    let parse = || {
        let (digits, unit) = text.split_at_checked(text.len().checked_sub(1)?)?;
        let unit_ms = match unit {
            "s" => MS_PER_SECOND,
            "m" => MS_PER_MINUTE,
            "h" => MS_PER_HOUR,
            _ => return None,
        };
        digits.parse::<u64>().ok()?.checked_mul(unit_ms)
    };
    parse().ok_or_else(|| ParseDurationError {
        text: text.to_string(),
    })
}

/// Formats milliseconds in the unit that suits them.
pub(super) fn format_duration(ms: &Value) -> String {
    match ms.as_u64() {
        None => "-".into(),
        Some(ms) if ms < 10 * MS_PER_SECOND => format!("{:.1} s", ms as f64 / 1000.0),
        Some(ms) if ms < 10 * MS_PER_MINUTE => format!("{} s", ms / MS_PER_SECOND),
        Some(ms) if ms < 10 * MS_PER_HOUR => format!("{} min", ms / MS_PER_MINUTE),
        Some(ms) => format!("{} h", ms / MS_PER_HOUR),
    }
}

/// Returns a text of an answer, and a dash where there is none.
pub(super) fn text_or_dash(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

/// Returns the elements of an array, and none where there is no array.
pub(super) fn elements(value: &Value) -> impl Iterator<Item = &Value> {
    value.as_array().into_iter().flatten()
}

/// Describes a version, or its digest where nothing more is known.
pub(super) fn describe_version(version: &Value, digest: &str) -> String {
    if !version.is_object() {
        return format!("digest {digest}");
    }
    let routes = match version["generation"].as_u64() {
        Some(0) | None => "no routes".into(),
        Some(generation) => {
            let digest = text_or_dash(&version["routes"]);
            format!("routes {generation} ({digest})")
        }
    };
    let sequences = elements(&version["sources"]).map(|source| source["seq"].to_string());
    let sequences: Vec<String> = sequences.collect();
    let lists = if sequences.is_empty() {
        String::new()
    } else {
        format!(", lists {}", sequences.join(" "))
    };
    let (build, settings) = (&version["build"], &version["settings"]);
    let (build, settings) = (text_or_dash(build), text_or_dash(settings));
    format!("program {build}, settings {settings}, {routes}{lists}")
}
