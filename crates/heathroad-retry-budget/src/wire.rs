//! Budgets as headers, which a backend can copy as they are: `Req-Budget: t=1850, a=2, w=750, h=6,
//! i=00c0ffee00c0ffee` and `Req-Path: gate-1, policy-2` with a request, `Req-Spent: a=1` or
//! `Req-Spent: a=1, stop` with its answer.
//!
//! One spelling for each value: no spaces but behind commas, no signs, no leading zeros, all
//! members in their order. What is spoilt counts as absent, whole.

use std::fmt;

/// Longest time that is told, in milliseconds.
pub const MAX_TIME_MS: u32 = 600_000;
/// Most attempts beyond the first.
pub const MAX_ATTEMPTS: u16 = 64;
/// Worth is told in thousandths of the class's.
pub const WHOLE_WORTH: u16 = 1000;
/// Most hops, and so most names in a path.
pub const MAX_HOPS: u8 = 32;
/// Longest name in a path.
pub const MAX_NAME: usize = 32;
/// Longest header that is looked at.
pub const MAX_BYTES: usize = MAX_HOPS as usize * (MAX_NAME + 2);

/// What a request may still spend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Budget {
    /// Until its caller gives up, in milliseconds, as the sender had it when it sent it.
    pub time_ms: u32,
    /// Attempts beyond the first, here and below together.
    pub attempts: u16,
    /// Its worth, in thousandths of its class's.
    pub worth: u16,
    /// Proxies that it may still pass.
    pub hops: u8,
    /// Which loan this is: calls that one parent makes copy one budget, and share what it holds.
    pub loan: u64,
}

/// What was spent below, told with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spent {
    /// Attempts beyond the first.
    pub attempts: u16,
    /// No further try can help.
    pub stop: bool,
}

/// The proxies that a request has passed, the first one first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Path(Vec<String>);

/// A header that can't be read, and what was expected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Spoilt(pub &'static str);

/// A number in its one spelling.
fn number(text: &str, most: u32) -> Option<u32> {
    let plain = text == "0" || !text.starts_with('0') && !text.is_empty() && text.len() <= 9;
    let digits = plain && text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|n| digits && *n <= most)
}

/// Sixteen hexadecimal digits in lower case.
fn loan(text: &str) -> Option<u64> {
    let digits = text.len() == 16 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
    u64::from_str_radix(text, 16).ok().filter(|_| digits)
}

/// The one value of a header; one that comes twice is spoilt, even if both say the same.
fn once<'a>(mut values: impl Iterator<Item = &'a [u8]>) -> Result<Option<&'a str>, Spoilt> {
    let Some(value) = values.next() else {
        return Ok(None);
    };
    if values.next().is_some() {
        return Err(Spoilt("the header once"));
    }
    if value.len() > MAX_BYTES {
        return Err(Spoilt("a shorter header"));
    }
    std::str::from_utf8(value)
        .map(Some)
        .map_err(|_| Spoilt("plain text"))
}

impl Budget {
    /// Reads `Req-Budget` from all the values that came under its name; none is none.
    pub fn read<'a>(values: impl Iterator<Item = &'a [u8]>) -> Result<Option<Budget>, Spoilt> {
        let Some(text) = once(values)? else {
            return Ok(None);
        };
        let spoilt = Spoilt("t=MILLISECONDS, a=ATTEMPTS, w=THOUSANDTHS, h=HOPS, i=LOAN");
        let mut members = text.split(", ");
        let mut member = |name: &str, most: u32| {
            let value = members.next()?.strip_prefix(name)?.strip_prefix('=')?;
            number(value, most)
        };
        let mut all = || {
            let time_ms = member("t", MAX_TIME_MS)?;
            let attempts = member("a", u32::from(MAX_ATTEMPTS))? as u16;
            let worth = member("w", u32::from(WHOLE_WORTH))? as u16;
            let hops = member("h", u32::from(MAX_HOPS))? as u8;
            Some(Budget {
                time_ms,
                attempts,
                worth,
                hops,
                loan: 0,
            })
        };
        let budget = all().ok_or(spoilt)?;
        let loan = members
            .next()
            .and_then(|m| loan(m.strip_prefix("i=")?))
            .ok_or(spoilt)?;
        if members.next().is_some() {
            Err(spoilt)
        } else {
            Ok(Some(Budget { loan, ..budget }))
        }
    }

    /// What counts of a budget that a request told: from an inner peer all of it, within what is
    /// granted here at the most in time and hops; from outside it can lower what is granted here,
    /// and never raise it.
    pub fn admit(told: Option<Budget>, inner: bool, own: Budget) -> Budget {
        let Some(told) = told else { return own };
        let (time_ms, hops) = (told.time_ms.min(own.time_ms), told.hops.min(own.hops));
        let (attempts, worth) = match inner {
            true => (told.attempts, told.worth),
            false => (told.attempts.min(own.attempts), told.worth.min(own.worth)),
        };
        // A number that anybody outside may have made up names no loan.
        let loan = if inner { told.loan } else { 0 };
        Budget {
            time_ms,
            attempts,
            worth,
            hops,
            loan,
        }
    }
}

impl fmt::Display for Budget {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Budget {
            time_ms,
            attempts,
            worth,
            hops,
            loan,
        } = self;
        write!(
            f,
            "t={time_ms}, a={attempts}, w={worth}, h={hops}, i={loan:016x}"
        )
    }
}

impl Spent {
    /// Reads `Req-Spent`.
    pub fn read<'a>(values: impl Iterator<Item = &'a [u8]>) -> Result<Option<Spent>, Spoilt> {
        let Some(text) = once(values)? else {
            return Ok(None);
        };
        let (count, stop) = match text.strip_suffix(", stop") {
            Some(count) => (count, true),
            None => (text, false),
        };
        let count = count
            .strip_prefix("a=")
            .and_then(|n| number(n, u32::from(MAX_ATTEMPTS)));
        let attempts = count.ok_or(Spoilt("a=ATTEMPTS, or a=ATTEMPTS, stop"))? as u16;
        Ok(Some(Spent { attempts, stop }))
    }
}

impl fmt::Display for Spent {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "a={}{}",
            self.attempts,
            if self.stop { ", stop" } else { "" }
        )
    }
}

/// Whether a text may be a proxy's name in a path.
pub fn is_name(text: &str) -> bool {
    let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
    (1..=MAX_NAME).contains(&text.len()) && text.bytes().all(plain)
}

impl Path {
    /// Reads `Req-Path`; none is an empty one.
    pub fn read<'a>(values: impl Iterator<Item = &'a [u8]>) -> Result<Path, Spoilt> {
        let Some(text) = once(values)? else {
            return Ok(Path::default());
        };
        let names: Vec<String> = text.split(", ").map(String::from).collect();
        if names.len() > usize::from(MAX_HOPS) || !names.iter().all(|n| is_name(n)) {
            return Err(Spoilt("names with a comma and a space between, 32 at most"));
        }
        Ok(Path(names))
    }

    /// The names.
    pub fn names(&self) -> &[String] {
        &self.0
    }

    /// The path with one more name, where there is room.
    pub fn with(&self, own: &str) -> Option<Path> {
        let room = self.0.len() < usize::from(MAX_HOPS) && is_name(own);
        room.then(|| Path(self.0.iter().cloned().chain([own.to_string()]).collect()))
    }
}

impl fmt::Display for Path {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0.join(", "))
    }
}
