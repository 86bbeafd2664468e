//! The duties of a fleet, as its file names them.

use heathroad_lease::electorate::Electorate;
use heathroad_lease::{DutyId, LEASE_MS, Terms};
use heathroad_membership::MemberId;
use serde::Deserialize;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

/// Most duties.
const MAX_DUTIES: usize = 16;
/// Longest name, in bytes.
const MAX_NAME: usize = 32;
/// Between two acts of a duty's work, in milliseconds.
const EVERY_MS: std::ops::RangeInclusive<u64> = 10..=3_600_000;

/// Where a duty's work calls.
#[derive(Debug, Clone)]
pub struct Call {
    /// Whom.
    pub address: SocketAddr,
    /// What there.
    pub path: String,
    /// How often.
    pub every: Duration,
}

/// What a duty's work is.
#[derive(Debug, Clone)]
pub enum Kind {
    /// To call an address.
    Call(Call),
    /// To keep the whole audit.
    Collect {
        /// How long one round through the fleet takes.
        every: Duration,
    },
}

/// A duty.
#[derive(Debug, Clone)]
pub struct Duty {
    /// Its name.
    pub name: String,
    /// Its work.
    pub kind: Kind,
}

/// What a start needs of them.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Who votes.
    pub electorate: Electorate,
    /// Times.
    pub terms: Terms,
    /// The duties.
    pub duties: Vec<Duty>,
}

/// `[duties]` in the fleet's file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Duties {
    voters: Vec<MemberId>,
    #[serde(default)]
    generation: u8,
    #[serde(default)]
    previous: Vec<MemberId>,
    #[serde(default = "usual_lease")]
    lease_ms: u64,
}

fn usual_lease() -> u64 {
    5000
}

/// One `[[duty]]` there.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Named {
    name: String,
    work: Work,
    address: Option<SocketAddr>,
    path: Option<String>,
    every_ms: Option<u64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
enum Work {
    Call,
    Collect,
}

/// Checks them; `members` are the fleet's.
pub fn check(
    duties: Option<Duties>,
    named: Vec<Named>,
    members: u16,
) -> Result<Option<Settings>, String> {
    let Some(Duties {
        voters,
        generation,
        previous,
        lease_ms,
    }) = duties
    else {
        return if named.is_empty() {
            Ok(None)
        } else {
            Err("duty: needs `[duties]` with its voters".into())
        };
    };
    let electorate = Electorate::new(generation, voters, previous, members);
    let electorate = electorate.map_err(|e| format!("duties: voters: {e}"))?;
    if !LEASE_MS.contains(&lease_ms) {
        let [least, most] = [LEASE_MS.start(), LEASE_MS.end()];
        return Err(format!(
            "duties: lease_ms: {lease_ms}; expected {least} to {most}"
        ));
    }
    if named.len() > MAX_DUTIES {
        return Err(format!(
            "duty: {}; expected {MAX_DUTIES} at most",
            named.len()
        ));
    }
    let mut ids = BTreeSet::new();
    let mut duties = Vec::new();
    for duty in named {
        let Named {
            name,
            work,
            address,
            path,
            every_ms,
        } = duty;
        let wrong = |what: &str| format!("duty {name:?}: {what}");
        let plain = |b: u8| b.is_ascii_alphanumeric() || matches!(b, b'-' | b'_' | b'.');
        if name.is_empty() || name.len() > MAX_NAME || !name.bytes().all(plain) {
            return Err(wrong(&format!(
                "name: expected 1 to {MAX_NAME} letters, digits, `-`, `_` or `.`"
            )));
        }
        if !ids.insert(DutyId::of(&name)) {
            return Err(wrong(
                "name: is taken by another, or told apart from one by nothing",
            ));
        }
        let every = |usual: u64| {
            let ms = every_ms.unwrap_or(usual);
            let [least, most] = [EVERY_MS.start(), EVERY_MS.end()];
            let good = EVERY_MS.contains(&ms).then(|| Duration::from_millis(ms));
            good.ok_or_else(|| wrong(&format!("every_ms: {ms}; expected {least} to {most}")))
        };
        let kind = match work {
            Work::Call => {
                let address =
                    address.ok_or_else(|| wrong("address: is missing; its work calls one"))?;
                let path = path.unwrap_or_else(|| "/".into());
                let visible = path.starts_with('/') && path.bytes().all(|b| b.is_ascii_graphic());
                if !visible {
                    return Err(wrong(&format!(
                        "path: {path:?}: expected one that begins with `/`"
                    )));
                }
                Kind::Call(Call {
                    address,
                    path,
                    every: every(1000)?,
                })
            }
            Work::Collect if address.is_some() || path.is_some() => {
                return Err(wrong("address, path: are of use where its work is to call"));
            }
            Work::Collect => Kind::Collect {
                every: every(30_000)?,
            },
        };
        duties.push(Duty { name, kind });
    }
    Ok(Some(Settings {
        electorate,
        terms: Terms { lease: lease_ms },
        duties,
    }))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[derive(Deserialize)]
    struct File {
        duties: Option<Duties>,
        #[serde(default)]
        duty: Vec<Named>,
    }

    fn read(text: &str) -> Result<Option<Settings>, String> {
        let File { duties, duty } = toml::from_str(text).map_err(|e| e.to_string())?;
        check(duties, duty, 5)
    }

    #[test]
    fn what_is_wrong_is_said() {
        let voters = "[duties]\nvoters = [0, 1, 2]\n";
        let call = "[[duty]]\nname = \"tick\"\nwork = \"call\"\naddress = \"127.0.0.1:9\"\n";
        let good = read(&format!("{voters}{call}path = \"/tick\""))
            .expect("good")
            .expect("some");
        assert_eq!((good.duties.len(), good.terms.lease), (1, 5000));
        assert!(read("").expect("good").is_none());
        for (text, why) in [
            (call.to_string(), "needs `[duties]`"),
            ("[duties]\nvoters = [0, 1]".into(), "2 voters"),
            ("[duties]\nvoters = [0, 1, 5]".into(), "5 is not among"),
            (
                "[duties]\nvoters = [0, 1, 2]\nprevious = [0, 1, 3]".into(),
                "generation 0",
            ),
            (format!("{voters}lease_ms = 50"), "expected 200 to 60000"),
            (format!("{voters}{call}{call}"), "taken by another"),
            (
                format!("{voters}{call}every_ms = 1"),
                "expected 10 to 3600000",
            ),
            (format!("{voters}{call}path = \"tick\""), "begins with `/`"),
            (
                format!("{voters}{}", call.replace("tick", "a b")),
                "expected 1 to 32 letters",
            ),
            (
                format!("{voters}{}", call.replace("address", "# ")),
                "address: is missing",
            ),
            (
                format!("{voters}{}", call.replace("call", "collect")),
                "where its work is to call",
            ),
            (format!("{voters}other = 1"), "unknown field"),
        ] {
            let said = read(&text).expect_err(&text);
            assert!(said.contains(why), "{text}: {said}");
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/duty_configuration.rs"]
mod golden_tests;
