//! The budget headers. A request carries `Req-Budget: t=1850, a=2, w=750, h=6, i=00c0ffee00c0ffee`
//! and `Req-Path: gate-1, policy-2`; its response carries `Req-Spent: a=1` or
//! `Req-Spent: a=1, stop`. Backends copy the request headers unchanged to their own calls.
//!
//! Each value has one canonical encoding: one space after each comma, no signs, no leading zeros,
//! and all fields in order. A malformed header counts as absent.

use std::fmt;

/// Maximum time limit of a budget, in milliseconds.
pub const MAX_TIME_MS: u32 = 600_000;
/// Maximum number of retries in a budget.
pub const MAX_RETRIES: u16 = 64;
/// The priority weight that equals the class's weight; the unit is thousandths.
pub const FULL_PRIORITY_WEIGHT: u16 = 1000;
/// Maximum number of hops, and of names in a path.
pub const MAX_HOPS: u8 = 32;
/// Maximum length of a name in a path, in bytes.
pub const MAX_NAME_LENGTH: usize = 32;
/// Maximum length of a decoded header value, in bytes: a full path of names of maximum length.
pub const MAX_HEADER_LENGTH: usize = MAX_HOPS as usize * (MAX_NAME_LENGTH + SEPARATOR.len());

/// Separates the fields of a header.
const SEPARATOR: &str = ", ";
/// Number of hexadecimal digits of a delegation id.
const DELEGATION_ID_LENGTH: usize = 16;
/// Maximum number of digits of a number; 9 digits always fit into a `u32`.
const MAX_NUMBER_LENGTH: usize = 9;
/// Marks a report that further retries cannot succeed.
const STOP_SUFFIX: &str = ", stop";

const MALFORMED_BUDGET: MalformedHeader = MalformedHeader {
    expected: "t=MILLISECONDS, a=RETRIES, w=THOUSANDTHS, h=HOPS, i=DELEGATION",
};
const MALFORMED_SPENT: MalformedHeader = MalformedHeader {
    expected: "a=RETRIES or a=RETRIES, stop",
};
const MALFORMED_PATH: MalformedHeader = MalformedHeader {
    expected: "at most 32 names, separated by a comma and a space",
};

/// The retry budget of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Time until the caller's timeout, in milliseconds from the send of the request.
    pub time_ms: u32,
    /// Remaining retries, in this tier and downstream together.
    pub retries: u16,
    /// Priority weight, in thousandths of the class's weight.
    pub priority_weight: u16,
    /// Number of proxies that the request may still pass.
    pub hops: u8,
    /// Identifies the delegation. Calls with the same id share its retries.
    pub delegation_id: u64,
}

/// The report of spent retries that a response carries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetriesSpent {
    /// Number of spent retries.
    pub retries: u16,
    /// Further retries cannot succeed.
    pub stop: bool,
}

/// The names of the proxies that a request has passed, in order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProxyPath(Vec<String>);

/// Error for a header that cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("expected {expected}")]
pub struct MalformedHeader {
    /// The expected format.
    pub expected: &'static str,
}

/// Decodes a number of at most `max` in its canonical encoding.
fn decode_number(text: &str, max: u32) -> Option<u32> {
    let leading_zero = text.starts_with('0') && text != "0";
    let length_fits = (1..=MAX_NUMBER_LENGTH).contains(&text.len());
    let is_canonical = length_fits && !leading_zero && text.bytes().all(|b| b.is_ascii_digit());
    text.parse()
        .ok()
        .filter(|number| is_canonical && *number <= max)
}

/// Decodes sixteen lower-case hexadecimal digits.
fn decode_delegation_id(text: &str) -> Option<u64> {
    let is_lower_hex = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
    let is_canonical = text.len() == DELEGATION_ID_LENGTH && text.bytes().all(is_lower_hex);
    u64::from_str_radix(text, 16).ok().filter(|_| is_canonical)
}

/// Returns the value of a header, which must not occur more than once, even with equal values.
fn single_value<'a>(
    mut values: impl Iterator<Item = &'a [u8]>,
) -> Result<Option<&'a str>, MalformedHeader> {
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(MalformedHeader {
            expected: "the header at most once",
        });
    }
    if value.len() > MAX_HEADER_LENGTH {
        return Err(MalformedHeader {
            expected: "a header of at most 1088 bytes",
        });
    }
    std::str::from_utf8(value)
        .map(Some)
        .map_err(|_| MalformedHeader {
            expected: "valid UTF-8",
        })
}

impl Budget {
    /// Decodes `Req-Budget` from all values of that header; none means no budget.
    pub fn decode<'a>(
        values: impl Iterator<Item = &'a [u8]>,
    ) -> Result<Option<Budget>, MalformedHeader> {
        let Some(text) = single_value(values)? else {
            return Ok(None);
        };
        Budget::decode_fields(text)
            .map(Some)
            .ok_or(MALFORMED_BUDGET)
    }

    fn decode_fields(text: &str) -> Option<Budget> {
        let mut fields = text.split(SEPARATOR);
        let mut number = |name: &str, max: u32| {
            let value = fields.next()?.strip_prefix(name)?.strip_prefix('=')?;
            decode_number(value, max)
        };
        let time_ms = number("t", MAX_TIME_MS)?;
        let retries = number("a", u32::from(MAX_RETRIES))? as u16;
        let priority_weight = number("w", u32::from(FULL_PRIORITY_WEIGHT))? as u16;
        let hops = number("h", u32::from(MAX_HOPS))? as u8;
        let delegation_id = decode_delegation_id(fields.next()?.strip_prefix("i=")?)?;
        let budget = Budget {
            time_ms,
            retries,
            priority_weight,
            hops,
            delegation_id,
        };
        fields.next().is_none().then_some(budget)
    }

    /// Returns the budget in effect for a claimed budget. A trusted peer's claim is accepted, with
    /// its time and hops capped at those of `default`. An untrusted claim can only lower `default`.
    pub fn admit(claimed: Option<Budget>, from_trusted_peer: bool, default: Budget) -> Budget {
        let Some(claimed) = claimed else {
            return default;
        };
        let budget = Budget {
            time_ms: claimed.time_ms.min(default.time_ms),
            hops: claimed.hops.min(default.hops),
            ..claimed
        };
        if from_trusted_peer {
            return budget;
        }
        Budget {
            retries: claimed.retries.min(default.retries),
            priority_weight: claimed.priority_weight.min(default.priority_weight),
            // An untrusted peer must not join the delegation of another caller.
            delegation_id: 0,
            ..budget
        }
    }
}

impl fmt::Display for Budget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Budget {
            time_ms,
            retries,
            priority_weight,
            hops,
            delegation_id,
        } = self;
        write!(
            f,
            "t={time_ms}, a={retries}, w={priority_weight}, h={hops}, i={delegation_id:016x}"
        )
    }
}

impl RetriesSpent {
    /// Decodes `Req-Spent` from all values of that header.
    pub fn decode<'a>(
        values: impl Iterator<Item = &'a [u8]>,
    ) -> Result<Option<RetriesSpent>, MalformedHeader> {
        let Some(text) = single_value(values)? else {
            return Ok(None);
        };
        let (field, stop) = match text.strip_suffix(STOP_SUFFIX) {
            Some(field) => (field, true),
            None => (text, false),
        };
        let number = field
            .strip_prefix("a=")
            .and_then(|text| decode_number(text, u32::from(MAX_RETRIES)));
        let retries = number.ok_or(MALFORMED_SPENT)? as u16;
        Ok(Some(RetriesSpent { retries, stop }))
    }
}

impl fmt::Display for RetriesSpent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "a={}{}",
            self.retries,
            if self.stop { STOP_SUFFIX } else { "" }
        )
    }
}

/// Returns whether a text is a valid proxy name.
pub fn is_proxy_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=MAX_NAME_LENGTH).contains(&text.len()) && text.bytes().all(is_allowed)
}

impl ProxyPath {
    /// Decodes `Req-Path` from all values of that header; none means an empty path.
    pub fn decode<'a>(
        values: impl Iterator<Item = &'a [u8]>,
    ) -> Result<ProxyPath, MalformedHeader> {
        let Some(text) = single_value(values)? else {
            return Ok(ProxyPath::default());
        };
        let names: Vec<String> = text.split(SEPARATOR).map(String::from).collect();
        if names.len() > usize::from(MAX_HOPS) || !names.iter().all(|name| is_proxy_name(name)) {
            return Err(MALFORMED_PATH);
        }
        Ok(ProxyPath(names))
    }

    /// Returns the proxy names.
    pub fn names(&self) -> &[String] {
        &self.0
    }

    /// Returns the path with a name appended, or `None` if it is full or the name is invalid.
    pub fn with(&self, proxy_name: &str) -> Option<ProxyPath> {
        let fits = self.0.len() < usize::from(MAX_HOPS) && is_proxy_name(proxy_name);
        fits.then(|| {
            ProxyPath(
                self.0
                    .iter()
                    .cloned()
                    .chain([proxy_name.to_string()])
                    .collect(),
            )
        })
    }
}

impl fmt::Display for ProxyPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join(SEPARATOR))
    }
}
