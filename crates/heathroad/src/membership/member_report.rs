//! The JSON report on the cluster's members, served at `/fleet/members`.

use super::event_log::LoggedEvent;
use super::service::MembershipService;
use heathroad_membership::activity_record::UnixMillis;
use heathroad_membership::desired_version::{Desired, RequiredVersions};
use heathroad_membership::protocol::{MemberView, TrafficCounters};
use heathroad_membership::{MemberId, Millis};
use serde::Serialize;
use serde_json::Value;
use std::net::SocketAddr;

/// This proxy's view of its cluster.
#[derive(Debug, Serialize)]
pub(super) struct ClusterReport {
    #[serde(rename = "fleet")]
    pub(super) cluster_name: String,
    #[serde(rename = "place")]
    pub(super) own_id: MemberId,
    pub(super) at: UnixMillis,
    #[serde(rename = "cut_off")]
    pub(super) isolated: bool,
    #[serde(rename = "wanted")]
    pub(super) desired: Desired,
    pub(super) required: RequiredVersions,
    fenced: bool,
    #[serde(rename = "silent_ms")]
    silent_for_ms: Millis,
    #[serde(rename = "doubt")]
    health_multiplier: u64,
    traffic: TrafficCounters,
    pub(super) members: Vec<MemberReport>,
    #[serde(rename = "news")]
    events: Vec<LoggedEvent>,
}

/// This proxy's view of a member.
#[derive(Debug, Serialize)]
pub(super) struct MemberReport {
    #[serde(flatten)]
    pub(super) view: MemberView,
    pub(super) address: Option<SocketAddr>,
    #[serde(rename = "me")]
    pub(super) is_self: bool,
}

impl MembershipService {
    /// Returns the report on the members, as JSON.
    pub fn members(&self) -> Value {
        serde_json::to_value(self.report()).unwrap_or_default()
    }

    /// Returns the report on the members.
    pub(super) fn report(&self) -> ClusterReport {
        let now = self.now();
        let membership = self.membership.borrow();
        let own_id = membership.id();
        let member_report = |view: MemberView| MemberReport {
            address: self.addresses.get(usize::from(view.id)).copied(),
            is_self: view.id == own_id,
            view,
        };
        let views = membership.member_views(now);
        ClusterReport {
            cluster_name: self.cluster_name.clone(),
            own_id,
            at: self.activity_log.now(),
            isolated: membership.is_isolated(),
            desired: membership.desired(),
            required: membership.required().clone(),
            fenced: self.activity_log.is_fenced(),
            silent_for_ms: membership.silent_for(now),
            health_multiplier: membership.health_multiplier(),
            traffic: membership.traffic(),
            members: views.into_iter().map(member_report).collect(),
            events: self.events.latest(),
        }
    }
}
