//! What operators read of the members, as JSON.

use super::service::MembershipService;
use heathroad_membership::MemberId;
use heathroad_membership::claim::MemberState;
use serde_json::{Value, json};

impl MembershipService {
    /// Returns all members with their states.
    pub(super) fn member_states(&self) -> Vec<(MemberId, MemberState)> {
        let membership = self.membership.borrow();
        let members = membership.members().iter();
        members.map(|(id, member)| (id, member.state)).collect()
    }

    /// Returns what operators read of the members.
    pub fn members(&self) -> Value {
        let now = self.now();
        let membership = self.membership.borrow();
        let mut members: Vec<Value> = Vec::new();
        for view in membership.member_views(now) {
            let address = self.addresses.get(usize::from(view.id));
            let mut member = serde_json::to_value(&view).unwrap_or_default();
            member["address"] = address.map(ToString::to_string).into();
            member["me"] = (view.id == membership.id()).into();
            members.push(member);
        }
        json!({
            "fleet": self.fleet_name, "place": membership.id(), "at": self.activity_log.now(),
            "cut_off": membership.is_isolated(), "wanted": membership.desired(),
            "required": membership.required(), "fenced": self.activity_log.is_fenced(),
            "silent_ms": membership.silent_for(now), "doubt": membership.health_multiplier(),
            "traffic": membership.traffic(), "members": members, "news": self.events.to_json(),
        })
    }
}
