//! The `duty` command: requests lease reports from a running daemon and formats them as text.

use super::arguments::LeaseCommand;
use super::{admin_client, lease_chart, query};
use crate::lease::report::{
    HistoryReport, Hold, LeaseHistory, LeaseStatus, StatusReport, VoterReport,
};
use heathroad_lease::MemberId;
use heathroad_lease::message::RejectReason;
use hyper::Method;
use std::fmt::Write;

const STATUS_PATH: &str = "/duty/list";
const HISTORY_PATH: &str = "/duty/history";
const RESIGN_PATH: &str = "/duty/resign";

/// Runs the command and returns its output.
pub fn run(command: &LeaseCommand) -> Result<String, String> {
    match command {
        LeaseCommand::List { how } => {
            let text = query::fetch(how, STATUS_PATH)?;
            if how.json {
                return Ok(text);
            }
            Ok(format_status(&decode(&text)?))
        }
        LeaseCommand::History { how, picture } => {
            let text = query::fetch(how, HISTORY_PATH)?;
            let history: HistoryReport = decode(&text)?;
            if let Some(file) = picture {
                std::fs::write(file, lease_chart::draw(&history))
                    .map_err(|e| format!("{}: {e}", file.display()))?;
            }
            Ok(if how.json {
                text
            } else {
                format_history(&history)
            })
        }
        LeaseCommand::Resign { name, at } => {
            let path = format!("{RESIGN_PATH}?name={name}");
            admin_client::call(at.admin, Method::POST, &path, String::new())
        }
    }
}

fn decode<'a, T: serde::Deserialize<'a>>(text: &'a str) -> Result<T, String> {
    serde_json::from_str(text).map_err(|e| format!("the answer: {e}"))
}

fn format_duration(ms: u64) -> String {
    query::format_duration(&ms.into())
}

fn join(members: &[MemberId]) -> String {
    members
        .iter()
        .map(MemberId::to_string)
        .collect::<Vec<_>>()
        .join(", ")
}

fn format_status(status: &StatusReport) -> String {
    let mut out = format!(
        "asked of member {}; voters {} (generation {}), lease {}",
        status.asked,
        join(&status.voters),
        status.generation,
        format_duration(status.lease_ms)
    );
    for lease in &status.leases {
        out.push_str(&format_lease_status(lease, status.asked));
    }
    out
}

fn format_lease_status(lease: &LeaseStatus, asked: MemberId) -> String {
    let mut out = format!(
        "\n{} ({}): {}",
        lease.name,
        lease.work,
        format_holder(lease)
    );
    // Writing to a `String` cannot fail.
    if let Some(hold) = &lease.held_here {
        let remaining = format_duration(hold.remaining_ms);
        let _ = write!(out, "; held here for {remaining} more");
    }
    if let Some(failure) = &lease.work_failure {
        let _ = write!(out, "\n    member {asked} gave it back: {failure}");
    }
    for voter in &lease.voters {
        out.push_str(&format_voter(voter));
    }
    out
}

fn format_holder(lease: &LeaseStatus) -> String {
    match (lease.holder, lease.token) {
        (Some(holder), Some(token)) => format!("held by member {holder}, token {token}"),
        _ if lease.is_quorum_reached => "held by nobody, as far as voters say".into(),
        _ => "NOT KNOWN: no majority of voters answered; nothing new is granted".into(),
    }
}

fn format_voter(voter: &VoterReport) -> String {
    let state = match voter.reason {
        Some(RejectReason::Held) => "granted",
        Some(RejectReason::VoterStarting) => "silent, it has started lately",
        Some(RejectReason::FailureBackoff) => "HELD BACK, its last holders died young",
        _ => "free",
    };
    let failures = match voter.early_failures {
        0 => String::new(),
        count => format!(", {count} young deaths in a row"),
    };
    format!(
        "\n    voter {}: {state}, {} left, highest token {}{failures}",
        voter.voter,
        format_duration(voter.remaining_ms.into()),
        voter.highest_token
    )
}

fn format_history(history: &HistoryReport) -> String {
    let mut out = format!("asked of member {}", history.asked);
    if !history.unreached.is_empty() {
        let _ = write!(out, "; NOT REACHED: members {}", join(&history.unreached));
    }
    for LeaseHistory { name, holds } in &history.leases {
        let _ = write!(out, "\n{name}");
        for hold in holds {
            out.push_str(&format_hold(hold, history.at));
        }
    }
    out
}

fn format_hold(hold: &Hold, now: u64) -> String {
    let end = match hold.to {
        _ if hold.is_held => "now".into(),
        Some(_) => {
            let reason = hold.end_reason.as_deref().unwrap_or("-");
            format!("{} ({reason})", format_time(hold.to, now))
        }
        None => {
            let ended_by = format_time(hold.ended_by, now);
            format!("{ended_by} at the latest, by its voters")
        }
    };
    let certainty = if hold.is_confirmed {
        "held"
    } else {
        "may have held, by what voters granted"
    };
    let from = format_time(hold.from, now);
    format!(
        "\n    {}  member {} {certainty} from {from} to {end}",
        hold.token, hold.holder
    )
}

fn format_time(time: Option<u64>, now: u64) -> String {
    match time {
        Some(time) if time <= now => format!("{} ago", format_duration(now - time)),
        Some(time) => format!("in {}", format_duration(time - now)),
        None => "now".into(),
    }
}
