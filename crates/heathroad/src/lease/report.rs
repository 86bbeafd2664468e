//! The JSON reports on leases, which the daemon writes and the command line reads.

use heathroad_lease::MemberId;
use heathroad_lease::message::RejectReason;
use heathroad_lease::token::Token;
use serde::{Deserialize, Serialize};

/// The current status of all leases.
#[derive(Debug, Serialize, Deserialize)]
pub struct StatusReport {
    /// The member that made the report.
    pub asked: MemberId,
    /// When the report was made, in Unix milliseconds by that member's clock.
    pub at: u64,
    /// The generation of the voter set.
    pub generation: u8,
    /// The voters.
    pub voters: Vec<MemberId>,
    /// Whether the member that made the report is a voter.
    #[serde(rename = "votes")]
    pub is_voter: bool,
    /// Remaining time of its startup period as a voter, in which it grants nothing.
    pub silent_ms: Option<u64>,
    /// The lease duration, in milliseconds.
    pub lease_ms: u64,
    /// The status of each lease.
    #[serde(rename = "duties")]
    pub leases: Vec<LeaseStatus>,
}

/// The status of a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseStatus {
    /// The name of the lease.
    pub name: String,
    /// A description of the holder's work.
    pub work: String,
    /// The member that a quorum of voters reports as the holder.
    pub holder: Option<MemberId>,
    /// The token of the holder.
    pub token: Option<Token>,
    /// Whether a quorum of voters has answered.
    #[serde(rename = "majority_reached")]
    pub is_quorum_reached: bool,
    /// The answers of the voters.
    pub voters: Vec<VoterReport>,
    /// The hold of the member that made the report.
    pub held_here: Option<LocalHold>,
    /// Why voters last rejected a request of that member.
    #[serde(rename = "refused")]
    pub last_rejection: Option<RejectReason>,
    /// The last failure of the work at that member.
    #[serde(rename = "unfit")]
    pub work_failure: Option<String>,
}

/// The status of a lease at a voter.
#[derive(Debug, Serialize, Deserialize)]
pub struct VoterReport {
    /// The voter.
    pub voter: MemberId,
    /// The highest token that the voter has granted.
    #[serde(rename = "highest")]
    pub highest_token: Token,
    /// How long the lease remains unavailable at the voter.
    #[serde(rename = "left_ms")]
    pub remaining_ms: u32,
    /// Why the voter would reject a request; `None` if the lease is free.
    #[serde(rename = "why")]
    pub reason: Option<RejectReason>,
    /// Number of consecutive holders that failed soon after they acquired the lease.
    #[serde(rename = "died")]
    pub early_failures: u8,
}

/// A hold of the member that made the report.
#[derive(Debug, Serialize, Deserialize)]
pub struct LocalHold {
    /// The token of the hold.
    pub token: Token,
    /// Time until the hold expires unless it is renewed.
    #[serde(rename = "left_ms")]
    pub remaining_ms: u64,
}

/// The history of all leases. All times are in Unix milliseconds by the clock of the member that
/// made the report.
#[derive(Debug, Serialize, Deserialize)]
pub struct HistoryReport {
    /// The member that made the report.
    pub asked: MemberId,
    /// When the report was made.
    pub at: u64,
    /// Members whose records could not be fetched.
    pub unreached: Vec<MemberId>,
    /// The history of each lease.
    #[serde(rename = "duties")]
    pub leases: Vec<LeaseHistory>,
}

/// The history of one lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct LeaseHistory {
    /// The name of the lease.
    pub name: String,
    /// The holds of the lease, ordered by token.
    #[serde(rename = "spells")]
    pub holds: Vec<Hold>,
}

/// An interval in which a member held, or may have held, a lease.
#[derive(Debug, Serialize, Deserialize)]
pub struct Hold {
    /// The token of the hold.
    pub token: Token,
    /// The holder.
    #[serde(rename = "place")]
    pub holder: MemberId,
    /// The start of the hold by the holder's record, or else the time of the first voter's grant.
    pub from: Option<u64>,
    /// The end of the hold by the holder's record.
    pub to: Option<u64>,
    /// The reason of its end by the holder's record.
    #[serde(rename = "why")]
    pub end_reason: Option<String>,
    /// Whether the holder itself has recorded the hold. Without its record, the member may have
    /// been granted the lease by a minority only.
    #[serde(rename = "known")]
    pub is_confirmed: bool,
    /// Whether the lease is still held.
    #[serde(rename = "holds")]
    pub is_held: bool,
    /// The latest time at which the hold ended.
    #[serde(rename = "at_the_latest")]
    pub ended_by: Option<u64>,
    /// Whether a voter has recorded that the holder resigned.
    #[serde(rename = "resigned")]
    pub is_resigned: bool,
    /// The members whose records contain the hold.
    #[serde(rename = "told_by")]
    pub reported_by: Vec<MemberId>,
    /// The uncertainty of the times due to clock offsets, in milliseconds.
    pub clock_error_ms: u64,
}
