//! The `fleet` command: what the proxies of a fleet know of each other, and the audit.

use super::arguments::{MembershipCommand, ReportOptions};
use super::query::{
    self, ParseDurationError, describe_version, elements, format_duration, text_or_dash,
};
use super::timeline_chart;
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::Path;
use std::time::{SystemTime, UNIX_EPOCH};

const MEMBERS_PATH: &str = "/fleet/members";

/// Runs the command.
pub fn ask(command: &MembershipCommand) -> Result<String, String> {
    match command {
        MembershipCommand::Members { how } => query::run(how, MEMBERS_PATH, render_members),
        MembershipCommand::Versions { how } => query::run(how, MEMBERS_PATH, render_versions),
        MembershipCommand::Audit {
            how,
            since,
            version,
            at,
            picture,
        } => {
            let path = audit_path(since.as_deref(), *version, at.as_deref())?;
            run_audit(how, &path, picture.as_deref())
        }
    }
}

fn run_audit(how: &ReportOptions, path: &str, chart: Option<&Path>) -> Result<String, String> {
    let text = query::fetch(how, path)?;
    let answer = query::parse(&text)?;
    if let Some(file) = chart {
        std::fs::write(file, timeline_chart::draw(&answer))
            .map_err(|error| format!("{}: {error}", file.display()))?;
    }
    Ok(if how.json {
        text
    } else {
        render_audit(&answer)
    })
}

/// Returns the path of the audit with its query.
fn audit_path(
    since: Option<&str>,
    generation: Option<u64>,
    at: Option<&str>,
) -> Result<String, String> {
    let mut path = "/fleet/audit?".to_string();
    for (name, time) in [("since", since), ("at", at)] {
        if let Some(time) = time {
            let time = parse_time(time).map_err(|error| format!("--{name}: {error}"))?;
            path += &format!("{name}={time}&");
        }
    }
    if let Some(generation) = generation {
        path += &format!("version={generation}");
    }
    Ok(path)
}

/// Parses a time, given as Unix time in milliseconds or as how long ago it was.
pub(super) fn parse_time(text: &str) -> Result<u64, String> {
    if let Ok(unix_ms) = text.parse() {
        return Ok(unix_ms);
    }
    let explain = |error: ParseDurationError| format!("{error}; or Unix time in milliseconds");
    let ago = query::parse_duration_ms(text).map_err(explain)?;
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    let now = now.unwrap_or_default().as_millis();
    Ok(u64::try_from(now).unwrap_or(u64::MAX).saturating_sub(ago))
}

/// Says when something of a member was received; most of a large fleet is known from others alone.
fn describe_last_heard(ms: &Value) -> String {
    if ms.is_null() {
        return "never heard by itself".into();
    }
    format!("heard {} ago", format_duration(ms))
}

fn render_heading(answer: &Value, asked: &Value) -> String {
    let isolated = if answer["cut_off"] == true {
        "; IT HEARS NOBODY"
    } else {
        ""
    };
    let fleet = text_or_dash(&answer["fleet"]);
    let desired = describe_desired(answer);
    format!("fleet {fleet}, asked of member {asked}{desired}{isolated}")
}

fn describe_desired(answer: &Value) -> String {
    let desired = &answer["wanted"];
    let generation = &desired["number"];
    match desired["is"].as_str() {
        Some("one") => {
            let mut requirements = elements(&answer["required"]);
            let is_required = requirements.any(|required| required["number"] == *generation);
            let required = if is_required { ", required" } else { "" };
            let digest = text_or_dash(&desired["digest"]);
            format!("; wanted: routes {generation} ({digest}){required}")
        }
        Some("both") => {
            let [lower, higher] = [0, 1].map(|at| text_or_dash(&desired["digests"][at]));
            format!(
                "; CONFLICT: routes {generation} were committed as {lower} and as {higher}, \
                 neither is spread"
            )
        }
        _ => String::new(),
    }
}

fn render_members(answer: &Value) -> String {
    let mut out = render_heading(answer, &answer["place"]);
    for member in elements(&answer["members"]) {
        out.push('\n');
        out += &render_member(member);
    }
    out
}

fn render_member(member: &Value) -> String {
    let is_asked = member["me"] == true;
    let last_heard = if is_asked {
        String::new()
    } else {
        format!(", {}", describe_last_heard(&member["heard_ms"]))
    };
    let version = match member["acts"][0].as_str() {
        Some(digest) => format!("; {}", describe_version(&member["version"], digest)),
        None => String::new(),
    };
    let accusers: Vec<String> = elements(&member["accusers"])
        .map(Value::to_string)
        .collect();
    let accusers = if accusers.is_empty() {
        String::new()
    } else {
        format!(" by {}", accusers.join(", "))
    };
    format!(
        "{:>4}  {:<21} {}{accusers} for {}{last_heard}{version}{}",
        member["place"].to_string(),
        text_or_dash(&member["address"]),
        text_or_dash(&member["standing"]),
        format_duration(&member["for_ms"]),
        if is_asked { " (asked)" } else { "" },
    )
}

/// The members that run a version.
struct VersionUsers<'a> {
    version: &'a Value,
    members: Vec<String>,
}

fn render_versions(answer: &Value) -> String {
    let mut by_digest: BTreeMap<&str, VersionUsers<'_>> = BTreeMap::new();
    for member in elements(&answer["members"]) {
        if let Some(digest) = member["acts"][0].as_str() {
            let users = by_digest.entry(digest).or_insert_with(|| VersionUsers {
                version: &member["version"],
                members: Vec::new(),
            });
            users.members.push(describe_user(member));
        }
    }
    let mut out = render_heading(answer, &answer["place"]);
    for (digest, users) in by_digest {
        let version = describe_version(users.version, digest);
        let members = users.members.join(", ");
        out += &format!("\n{digest}  {version}\n      members {members}");
    }
    out
}

fn describe_user(member: &Value) -> String {
    let id = &member["place"];
    match member["standing"].as_str() {
        Some(state @ ("gone" | "left")) => format!("{id} ({state})"),
        _ => id.to_string(),
    }
}

fn render_audit(answer: &Value) -> String {
    let mut out = render_heading(answer, &answer["asked"]);
    let now = answer["at"].as_u64().unwrap_or(0);
    for member in elements(&answer["members"]) {
        let (address, state) = (&member["address"], &member["standing"]);
        let (address, state) = (text_or_dash(address), text_or_dash(state));
        out += &format!("\nmember {} {address}, {state}", member["place"]);
        if member["reached"] == true {
            out += &render_record(member, now);
        } else {
            out += &render_unreached(member, now);
        }
    }
    out
}

fn render_unreached(member: &Value, now: u64) -> String {
    let last_version = match member["last_acts"][0].as_str() {
        Some(digest) => {
            let version = describe_version(&member["last_version"], digest);
            format!("when last heard it acted on {version}")
        }
        None => "nothing was ever heard of what it acts on".into(),
    };
    let mut out = format!(
        "\n    NOT KNOWN: {}; {}; {last_version}; what it did since is not known",
        text_or_dash(&member["why"]),
        describe_last_heard(&member["last_heard_ms"])
    );
    let collected = &member["collected"];
    if collected.is_object() {
        let at = describe_age(&collected["collected_at"], now);
        let by = &collected["by"];
        out += &format!("\n    COLLECTED {at} by member {by}, and nothing is known of after that");
        out += &render_record(collected, now);
    }
    out
}

/// Renders the record of a member.
fn render_record(record: &Value, now: u64) -> String {
    let mut out = format!(
        ", clock off by {} ms (give or take {})\n    on record since {}",
        record["clock_off_ms"],
        record["clock_error_ms"],
        describe_age(&record["since"], now)
    );
    let discarded = &record["lost"];
    if discarded["pages"].as_u64().is_some_and(|count| count > 0) {
        let until = describe_age(&discarded["until"], now);
        let _ = write!(out, "; LOST {} pages, until {until}", discarded["pages"]);
    }
    for interval in elements(&record["pages"]) {
        out += &render_interval(interval, now);
    }
    for rejected in elements(&record["turned_down"]) {
        let generation = &rejected["generation"];
        let digest = text_or_dash(&rejected["routes"]);
        let reason = text_or_dash(&rejected["why"]);
        let _ = write!(
            out,
            "\n    turned routes {generation} ({digest}) down: {reason}"
        );
    }
    for fault in elements(&record["spells"]) {
        let what = match fault["trouble"].as_str() {
            Some("cut_off") => "heard nobody",
            Some("stalled") => "did nothing",
            _ => "fenced, bound no requests",
        };
        let _ = write!(out, "\n    {}: {what}", describe_span(fault, now));
    }
    out
}

fn render_interval(interval: &Value, now: u64) -> String {
    let counts = &interval["acts"];
    let merged = match interval["versions"].as_u64() {
        Some(count) if count > 1 => format!(" ({count} versions that differ in lists)"),
        _ => String::new(),
    };
    let truncated = if interval["torn"] == true {
        "; ended without a word, what it did after is not known"
    } else {
        ""
    };
    format!(
        "\n    {}: {}{merged}: bound {}, sent {}, served {}, refused {}, failed {}{truncated}",
        describe_span(interval, now),
        describe_version(&interval["version"], text_or_dash(&interval["digest"])),
        counts["bound"],
        counts["sent"],
        counts["served"],
        counts["refused"],
        counts["failed"]
    )
}

fn describe_span(span: &Value, now: u64) -> String {
    let from = describe_age(&span["from"], now);
    let to = describe_age(&span["to"], now);
    format!("{from} to {to}")
}

/// Says how long ago a time was; none stands for now.
fn describe_age(time: &Value, now: u64) -> String {
    match time.as_u64() {
        Some(time) => format!("{} ago", format_duration(&now.saturating_sub(time).into())),
        None => "now".into(),
    }
}

#[cfg(test)]
#[path = "../../tests/unit/cli_membership.rs"]
mod tests;
