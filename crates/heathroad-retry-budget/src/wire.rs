//! The budget's headers, which a backend can copy as they are: `Req-Budget: t=1850, a=2, w=750,
//! h=6, i=00c0ffee00c0ffee` and `Req-Path: gate-1, policy-2` with a request, `Req-Spent: a=1` or
//! `Req-Spent: a=1, stop` with its response.
//!
//! Each value has one spelling: spaces only behind commas, no signs, no leading zeros, all members
//! in their order. A malformed header counts as absent.

use std::fmt;

/// Longest time that is told, in milliseconds.
pub const MAX_TIME_MS: u32 = 600_000;
/// Most retries in a budget.
pub const MAX_RETRIES: u16 = 64;
/// The priority weight is told in thousandths of the class's.
pub const FULL_PRIORITY_WEIGHT: u16 = 1000;
/// Most hops, and so most names in a path.
pub const MAX_HOPS: u8 = 32;
/// Longest name in a path, in bytes.
pub const MAX_NAME_LENGTH: usize = 32;
/// Longest header value that is decoded, in bytes: a full path of the longest names.
pub const MAX_HEADER_LENGTH: usize = MAX_HOPS as usize * (MAX_NAME_LENGTH + SEPARATOR.len());

/// Stands between the members of a header.
const SEPARATOR: &str = ", ";
/// Digits of a delegation's id.
const DELEGATION_ID_LENGTH: usize = 16;
/// Most digits of a number, all of which fit into 32 bits.
const MAX_NUMBER_LENGTH: usize = 9;
/// Follows the retries in a report that no further retry can help.
const STOP_SUFFIX: &str = ", stop";

const BUDGET_FORM: MalformedHeader = MalformedHeader {
    expected: "t=MILLISECONDS, a=ATTEMPTS, w=THOUSANDTHS, h=HOPS, i=LOAN",
};
const SPENT_FORM: MalformedHeader = MalformedHeader {
    expected: "a=ATTEMPTS, or a=ATTEMPTS, stop",
};
const PATH_FORM: MalformedHeader = MalformedHeader {
    expected: "names with a comma and a space between, 32 at most",
};

/// What a request may still spend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Time until its caller gives up, in milliseconds, when the sender sent it.
    pub time_ms: u32,
    /// Retries, here and below together.
    pub retries: u16,
    /// Its priority weight, in thousandths of its class's.
    pub priority_weight: u16,
    /// Proxies that it may still pass.
    pub hops: u8,
    /// Names the delegation: calls that one parent makes copy one budget, and share its retries.
    pub delegation_id: u64,
}

/// The retries that were spent below, reported with a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RetriesSpent {
    /// Number of retries.
    pub retries: u16,
    /// No further retry can help.
    pub stop: bool,
}

/// The names of the proxies that a request has passed, in their order.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ProxyPath(Vec<String>);

/// A header that cannot be decoded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("expected {expected}")]
pub struct MalformedHeader {
    /// The form that was expected.
    pub expected: &'static str,
}

/// Decodes a number in its one spelling.
fn decode_number(text: &str, most: u32) -> Option<u32> {
    let leading_zero = text.starts_with('0') && text != "0";
    let length_fits = (1..=MAX_NUMBER_LENGTH).contains(&text.len());
    let is_plain = length_fits && !leading_zero && text.bytes().all(|b| b.is_ascii_digit());
    text.parse()
        .ok()
        .filter(|number| is_plain && *number <= most)
}

/// Decodes sixteen hexadecimal digits in lower case.
fn decode_delegation_id(text: &str) -> Option<u64> {
    let is_lower_hex = |b: u8| matches!(b, b'0'..=b'9' | b'a'..=b'f');
    let is_plain = text.len() == DELEGATION_ID_LENGTH && text.bytes().all(is_lower_hex);
    u64::from_str_radix(text, 16).ok().filter(|_| is_plain)
}

/// Returns the one value of a header. Two are malformed, even if they are equal.
fn single_value<'a>(
    mut values: impl Iterator<Item = &'a [u8]>,
) -> Result<Option<&'a str>, MalformedHeader> {
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(MalformedHeader {
            expected: "the header once",
        });
    }
    if value.len() > MAX_HEADER_LENGTH {
        return Err(MalformedHeader {
            expected: "a shorter header",
        });
    }
    std::str::from_utf8(value)
        .map(Some)
        .map_err(|_| MalformedHeader {
            expected: "plain text",
        })
}

impl Budget {
    /// Decodes `Req-Budget` from all the values of that name; no value is no budget.
    pub fn decode<'a>(
        values: impl Iterator<Item = &'a [u8]>,
    ) -> Result<Option<Budget>, MalformedHeader> {
        let Some(text) = single_value(values)? else {
            return Ok(None);
        };
        Budget::decode_members(text).map(Some).ok_or(BUDGET_FORM)
    }

    fn decode_members(text: &str) -> Option<Budget> {
        let mut members = text.split(SEPARATOR);
        let mut number = |name: &str, most: u32| {
            let value = members.next()?.strip_prefix(name)?.strip_prefix('=')?;
            decode_number(value, most)
        };
        let time_ms = number("t", MAX_TIME_MS)?;
        let retries = number("a", u32::from(MAX_RETRIES))? as u16;
        let priority_weight = number("w", u32::from(FULL_PRIORITY_WEIGHT))? as u16;
        let hops = number("h", u32::from(MAX_HOPS))? as u8;
        let delegation_id = decode_delegation_id(members.next()?.strip_prefix("i=")?)?;
        let budget = Budget {
            time_ms,
            retries,
            priority_weight,
            hops,
            delegation_id,
        };
        members.next().is_none().then_some(budget)
    }

    /// Returns what counts of a claimed budget. From a trusted peer all of it counts, within the
    /// time and hops that are granted here at most; from any other peer it can lower what is
    /// granted here, and never raise it.
    pub fn admit(claimed: Option<Budget>, from_trusted_peer: bool, own: Budget) -> Budget {
        let Some(claimed) = claimed else { return own };
        let budget = Budget {
            time_ms: claimed.time_ms.min(own.time_ms),
            hops: claimed.hops.min(own.hops),
            ..claimed
        };
        if from_trusted_peer {
            return budget;
        }
        Budget {
            retries: claimed.retries.min(own.retries),
            priority_weight: claimed.priority_weight.min(own.priority_weight),
            // An id that anybody may have made up names no delegation.
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
    /// Decodes `Req-Spent` from all the values of that name.
    pub fn decode<'a>(
        values: impl Iterator<Item = &'a [u8]>,
    ) -> Result<Option<RetriesSpent>, MalformedHeader> {
        let Some(text) = single_value(values)? else {
            return Ok(None);
        };
        let (member, stop) = match text.strip_suffix(STOP_SUFFIX) {
            Some(member) => (member, true),
            None => (text, false),
        };
        let number = member
            .strip_prefix("a=")
            .and_then(|text| decode_number(text, u32::from(MAX_RETRIES)));
        let retries = number.ok_or(SPENT_FORM)? as u16;
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

/// Returns whether a text can be a proxy's name in a path.
pub fn is_proxy_name(text: &str) -> bool {
    let is_allowed = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=MAX_NAME_LENGTH).contains(&text.len()) && text.bytes().all(is_allowed)
}

impl ProxyPath {
    /// Decodes `Req-Path` from all the values of that name; no value is an empty path.
    pub fn decode<'a>(
        values: impl Iterator<Item = &'a [u8]>,
    ) -> Result<ProxyPath, MalformedHeader> {
        let Some(text) = single_value(values)? else {
            return Ok(ProxyPath::default());
        };
        let names: Vec<String> = text.split(SEPARATOR).map(String::from).collect();
        if names.len() > usize::from(MAX_HOPS) || !names.iter().all(|name| is_proxy_name(name)) {
            return Err(PATH_FORM);
        }
        Ok(ProxyPath(names))
    }

    /// Returns the names.
    pub fn names(&self) -> &[String] {
        &self.0
    }

    /// Returns the path with one more name, or nothing where it is full or the name is not allowed.
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
