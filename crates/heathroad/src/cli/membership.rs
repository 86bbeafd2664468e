//! What a fleet is asked on the command line, and its answers as text.

use super::arguments::{Fleet, How};
use super::{admin_client, timeline_chart};
use hyper::Method;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::{SystemTime, UNIX_EPOCH};

/// Asks, and words the answer.
pub fn ask(ask: &Fleet) -> Result<String, String> {
    match ask {
        Fleet::Members { how } => told(how, "/fleet/members", members),
        Fleet::Versions { how } => told(how, "/fleet/members", versions),
        Fleet::Audit {
            how,
            since,
            version,
            at,
            picture,
        } => {
            let mut path = "/fleet/audit?".to_string();
            let times = [("since", since), ("at", at)];
            for (name, text) in times
                .into_iter()
                .filter_map(|(name, text)| Some((name, text.as_ref()?)))
            {
                let _ = write!(
                    path,
                    "{name}={}&",
                    time(text).map_err(|e| format!("--{name}: {e}"))?
                );
            }
            if let Some(version) = version {
                let _ = write!(path, "version={version}");
            }
            let text = get(how, &path)?;
            let answer = json(&text)?;
            if let Some(file) = picture {
                std::fs::write(file, timeline_chart::draw(&answer))
                    .map_err(|e| format!("{}: {e}", file.display()))?;
            }
            Ok(if how.json { text } else { audit(&answer) })
        }
    }
}

pub(super) fn get(how: &How, path: &str) -> Result<String, String> {
    admin_client::call(how.at.admin, Method::GET, path, String::new())
}

pub(super) fn json(text: &str) -> Result<Value, String> {
    serde_json::from_str(text).map_err(|e| format!("the answer: {e}"))
}

pub(super) fn told(how: &How, path: &str, words: fn(&Value) -> String) -> Result<String, String> {
    let text = get(how, path)?;
    if how.json {
        Ok(text)
    } else {
        json(&text).map(|v| words(&v))
    }
}

/// A time span such as 90s, 5m or 2h, in milliseconds.
pub fn millis(text: &str) -> Result<u64, String> {
    let wrong = || format!("{text:?}: expected a time such as 90s, 5m, 2h");
    let (digits, unit) = text
        .split_at_checked(text.len().saturating_sub(1))
        .ok_or_else(wrong)?;
    let number: u64 = digits.parse().map_err(|_| wrong())?;
    let unit = match unit {
        "s" => 1_000,
        "m" => 60_000,
        "h" => 3_600_000,
        _ => return Err(wrong()),
    };
    number.checked_mul(unit).ok_or_else(wrong)
}

/// Unix time in milliseconds, from that or from how long ago.
fn time(text: &str) -> Result<u64, String> {
    if let Ok(unix) = text.parse() {
        return Ok(unix);
    }
    let ago = millis(text).map_err(|e| format!("{e}; or Unix time in milliseconds"))?;
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    Ok(u64::try_from(now).unwrap_or(u64::MAX).saturating_sub(ago))
}

/// A time span, in the unit that suits it.
pub(super) fn span(ms: &Value) -> String {
    match ms.as_u64() {
        None => "-".into(),
        Some(ms) if ms < 10_000 => format!("{:.1} s", ms as f64 / 1000.0),
        Some(ms) if ms < 600_000 => format!("{} s", ms / 1000),
        Some(ms) if ms < 36_000_000 => format!("{} min", ms / 60_000),
        Some(ms) => format!("{} h", ms / 3_600_000),
    }
}

/// When something of a member was heard here; most of a large fleet is known from others alone.
fn heard(ms: &Value) -> String {
    if ms.is_null() {
        "never heard by itself".into()
    } else {
        format!("heard {} ago", span(ms))
    }
}

fn text(value: &Value) -> &str {
    value.as_str().unwrap_or("-")
}

/// A version in a few words; its digest where no more was told.
pub fn version(version: &Value, digest: &str) -> String {
    if !version.is_object() {
        return format!("digest {digest}");
    }
    let generation = match version["generation"].as_u64() {
        Some(0) | None => "no routes".into(),
        Some(n) => format!("routes {n} ({})", text(&version["routes"])),
    };
    let lists: Vec<String> = version["sources"]
        .as_array()
        .into_iter()
        .flatten()
        .map(|s| s["seq"].to_string())
        .collect();
    let lists = if lists.is_empty() {
        String::new()
    } else {
        format!(", lists {}", lists.join(" "))
    };
    format!(
        "program {}, settings {}, {generation}{lists}",
        text(&version["build"]),
        text(&version["settings"])
    )
}

fn rows(answer: &Value) -> impl Iterator<Item = &Value> {
    answer["members"].as_array().into_iter().flatten()
}

fn heading(answer: &Value, asked: &Value) -> String {
    let alone = if answer["cut_off"] == true {
        "; IT HEARS NOBODY"
    } else {
        ""
    };
    let wanted = &answer["wanted"];
    let wanted = match wanted["is"].as_str() {
        Some("one") => {
            let all = answer["required"].as_array().map_or(&[][..], Vec::as_slice);
            let required = if all.iter().any(|r| r["number"] == wanted["number"]) {
                ", required"
            } else {
                ""
            };
            format!(
                "; wanted: routes {} ({}){required}",
                wanted["number"],
                text(&wanted["digest"])
            )
        }
        Some("both") => {
            let [one, other] = [0, 1].map(|n| text(&wanted["digests"][n]));
            format!(
                "; CONFLICT: routes {} were committed as {one} and as {other}, neither is spread",
                wanted["number"]
            )
        }
        _ => String::new(),
    };
    format!(
        "fleet {}, asked of member {asked}{wanted}{alone}",
        text(&answer["fleet"])
    )
}

fn members(answer: &Value) -> String {
    let mut out = heading(answer, &answer["place"]);
    for m in rows(answer) {
        let me = if m["me"] == true { " (asked)" } else { "" };
        let heard = if m["me"] == true {
            String::new()
        } else {
            format!(", {}", heard(&m["heard_ms"]))
        };
        let acts = match m["acts"][0].as_str() {
            Some(digest) => format!("; {}", version(&m["version"], digest)),
            None => String::new(),
        };
        let by: Vec<String> = m["accusers"]
            .as_array()
            .into_iter()
            .flatten()
            .map(Value::to_string)
            .collect();
        let by = if by.is_empty() {
            String::new()
        } else {
            format!(" by {}", by.join(", "))
        };
        // Writing to text does not fail.
        let _ = write!(
            out,
            "\n{:>4}  {:<21} {}{by} for {}{heard}{acts}{me}",
            m["place"].to_string(),
            text(&m["address"]),
            text(&m["standing"]),
            span(&m["for_ms"]),
        );
    }
    out
}

fn versions(answer: &Value) -> String {
    let mut by: BTreeMap<&str, (Vec<String>, &Value)> = BTreeMap::new();
    for m in rows(answer) {
        if let Some(digest) = m["acts"][0].as_str() {
            let over = matches!(m["standing"].as_str(), Some("gone" | "left"));
            let who = if over {
                format!("{} ({})", m["place"], text(&m["standing"]))
            } else {
                m["place"].to_string()
            };
            let entry = by.entry(digest).or_insert((Vec::new(), &m["version"]));
            entry.0.push(who);
        }
    }
    let mut out = heading(answer, &answer["place"]);
    for (digest, (who, whole)) in by {
        let _ = write!(
            out,
            "\n{digest}  {}\n      members {}",
            version(whole, digest),
            who.join(", ")
        );
    }
    out
}

/// What a member's record tells.
fn record(out: &mut String, m: &Value, ago: &dyn Fn(&Value) -> String) {
    let _ = write!(
        out,
        ", clock off by {} ms (give or take {})",
        m["clock_off_ms"], m["clock_error_ms"]
    );
    let _ = write!(out, "\n    on record since {}", ago(&m["since"]));
    if m["lost"]["pages"].as_u64().is_some_and(|n| n > 0) {
        let _ = write!(
            out,
            "; LOST {} pages, until {}",
            m["lost"]["pages"],
            ago(&m["lost"]["until"])
        );
    }
    for p in m["pages"].as_array().into_iter().flatten() {
        let digest = text(&p["digest"]);
        let a = &p["acts"];
        let several = match p["versions"].as_u64() {
            Some(n) if n > 1 => format!(" ({n} versions that differ in lists)"),
            _ => String::new(),
        };
        let torn = if p["torn"] == true {
            "; ended without a word, what it did after is not known"
        } else {
            ""
        };
        let _ = write!(
            out,
            "\n    {} to {}: {}{several}: bound {}, sent {}, served {}, refused {}, failed {}{torn}",
            ago(&p["from"]),
            ago(&p["to"]),
            version(&p["version"], digest),
            a["bound"],
            a["sent"],
            a["served"],
            a["refused"],
            a["failed"]
        );
    }
    for t in m["turned_down"].as_array().into_iter().flatten() {
        let (number, digest) = (&t["generation"], text(&t["routes"]));
        let _ = write!(
            out,
            "\n    turned routes {number} ({digest}) down: {}",
            text(&t["why"])
        );
    }
    for s in m["spells"].as_array().into_iter().flatten() {
        let what = match s["trouble"].as_str() {
            Some("cut_off") => "heard nobody",
            Some("stalled") => "did nothing",
            _ => "fenced, bound no requests",
        };
        let _ = write!(
            out,
            "\n    {} to {}: {what}",
            ago(&s["from"]),
            ago(&s["to"])
        );
    }
}

fn audit(answer: &Value) -> String {
    let mut out = heading(answer, &answer["asked"]);
    let at = answer["at"].as_u64().unwrap_or(0);
    let ago = |t: &Value| match t.as_u64() {
        Some(t) => format!("{} ago", span(&at.saturating_sub(t).into())),
        None => "now".into(),
    };
    for m in rows(answer) {
        let _ = write!(
            out,
            "\nmember {} {}, {}",
            m["place"],
            text(&m["address"]),
            text(&m["standing"])
        );
        if m["reached"] != true {
            let last = match m["last_acts"][0].as_str() {
                Some(digest) => {
                    format!(
                        "when last heard it acted on {}",
                        version(&m["last_version"], digest)
                    )
                }
                None => "nothing was ever heard of what it acts on".into(),
            };
            let _ = write!(
                out,
                "\n    NOT KNOWN: {}; {}; {last}; what it did since is not known",
                text(&m["why"]),
                heard(&m["last_heard_ms"])
            );
            let kept = &m["collected"];
            if kept.is_object() {
                let at = ago(&kept["collected_at"]);
                let _ = write!(
                    out,
                    "\n    COLLECTED {at} by member {}, and nothing is known of after that",
                    kept["by"]
                );
                record(&mut out, kept, &ago);
            }
            continue;
        }
        record(&mut out, m, &ago);
    }
    out
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn times_are_unix_or_ago() {
        assert_eq!(time("1790000000000"), Ok(1_790_000_000_000));
        let [minute, hour] = ["60s", "1h"].map(|t| time(t).expect("good"));
        assert!((minute - hour).abs_diff(3_540_000) < 10_000);
        for wrong in ["", "s", "5d", "-3", "1.5h"] {
            assert!(time(wrong).is_err(), "{wrong}");
        }
    }
}
