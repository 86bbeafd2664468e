//! The reports on leases that operators are given as JSON. The daemon writes them and the command
//! line reads them.

use heathroad_lease::MemberId;
use heathroad_lease::message::RejectReason;
use heathroad_lease::token::Token;
use serde::{Deserialize, Serialize};

/// The present status of all leases.
#[derive(Debug, Serialize, Deserialize)]
pub struct StatusReport {
    /// The member that made the report.
    pub asked: MemberId,
    /// When it was made, in Unix milliseconds by that member's clock.
    pub at: u64,
    /// The generation of the voter set.
    pub generation: u8,
    /// The voters.
    pub voters: Vec<MemberId>,
    /// Whether the member that made the report is a voter.
    #[serde(rename = "votes")]
    pub is_voter: bool,
    /// How long it stays silent as a voter.
    pub silent_ms: Option<u64>,
    /// The lease duration.
    pub lease_ms: u64,
    /// The status of each lease.
    #[serde(rename = "duties")]
    pub leases: Vec<LeaseStatus>,
}

/// The status of a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// Its name.
    pub name: String,
    /// What its holder does, in words.
    pub work: String,
    /// The member that a quorum of voters reports as the holder.
    pub holder: Option<MemberId>,
    /// The token of that holder.
    pub token: Option<Token>,
    /// Whether a quorum of voters has answered.
    #[serde(rename = "majority_reached")]
    pub is_quorum_reached: bool,
    /// What voters have answered.
    pub voters: Vec<VoterReport>,
    /// The hold of the member that made the report.
    pub held_here: Option<LocalHold>,
    /// Why voters last rejected that member.
    #[serde(rename = "refused")]
    pub last_rejection: Option<RejectReason>,
    /// Why that member last gave the lease back.
    #[serde(rename = "unfit")]
    pub work_failure: Option<String>,
}

/// The status of a lease at a voter.
#[derive(Debug, Serialize, Deserialize)]
pub struct VoterReport {
    /// The voter.
    pub voter: MemberId,
    /// The highest token that it has granted.
    #[serde(rename = "highest")]
    pub highest_token: Token,
    /// How long the lease is still granted, or withheld.
    #[serde(rename = "left_ms")]
    pub remaining_ms: u32,
    /// Why the voter would reject a request; `None` if the lease is free.
    #[serde(rename = "why")]
    pub reason: Option<RejectReason>,
    /// How many holders in a row have failed soon after they acquired the lease.
    #[serde(rename = "died")]
    pub early_failures: u8,
}

/// A hold of the member that made the report.
#[derive(Debug, Serialize, Deserialize)]
pub struct LocalHold {
    /// Its token.
    pub token: Token,
    /// How long it lasts unless it is renewed.
    #[serde(rename = "left_ms")]
    pub remaining_ms: u64,
}

/// Who held which lease. All times are in Unix milliseconds by the clock of the member that made
/// the report.
#[derive(Debug, Serialize, Deserialize)]
pub struct HistoryReport {
    /// The member that made the report.
    pub asked: MemberId,
    /// When it was made.
    pub at: u64,
    /// Members whose records could not be fetched.
    pub unreached: Vec<MemberId>,
    /// The history of each lease.
    #[serde(rename = "duties")]
    pub leases: Vec<LeaseHistory>,
}

/// Who held a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseHistory {
    /// The name of the lease.
    pub name: String,
    /// Its holds, in the order of their tokens.
    #[serde(rename = "spells")]
    pub holds: Vec<Hold>,
}

/// A time in which a member held a lease, or may have held it.
#[derive(Debug, Serialize, Deserialize)]
pub struct Hold {
    /// The token of the hold.
    pub token: Token,
    /// The holder.
    #[serde(rename = "place")]
    pub holder: MemberId,
    /// When it began, by the holder's record, or else when the first voter granted it.
    pub from: Option<u64>,
    /// When it ended, by the holder's record.
    pub to: Option<u64>,
    /// Why it ended, by the holder's record.
    #[serde(rename = "why")]
    pub end_reason: Option<String>,
    /// Whether the holder itself has recorded the hold. A member that some voters granted the
    /// lease, and that has no record of a hold, may never have had a quorum.
    #[serde(rename = "known")]
    pub is_confirmed: bool,
    /// Whether the holder holds the lease still.
    #[serde(rename = "holds")]
    pub is_held: bool,
    /// When the hold ended at the latest.
    #[serde(rename = "at_the_latest")]
    pub ended_by: Option<u64>,
    /// Whether a voter has recorded that the holder resigned.
    #[serde(rename = "resigned")]
    pub is_resigned: bool,
    /// The members whose records tell of the hold.
    #[serde(rename = "told_by")]
    pub reported_by: Vec<MemberId>,
    /// How far the times may be off, because of differences between clocks.
    pub clock_error_ms: u64,
}
