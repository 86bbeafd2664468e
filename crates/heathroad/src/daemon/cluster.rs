//! Starts the cluster services of this proxy: membership, leases and the activity log. They run
//! only if the configuration defines a cluster.

use super::error::DaemonError;
use super::process_seed;
use crate::configuration::Config;
use crate::lease::LeaseService;
use crate::membership::activity_log::ActivityLog;
use crate::membership::{self, MembershipService};
use crate::router::{Router, stale_routes};
use crate::runtime_accounting::spawn_local;
use std::rc::Rc;

/// The cluster services; each is `None` if it is not configured.
pub(super) struct Cluster {
    pub membership: Option<Rc<MembershipService>>,
    pub leases: Option<Rc<LeaseService>>,
}

/// Creates the activity log, which continues the record that the previous process stored. A record
/// that cannot be read is logged and ignored.
pub(super) fn create_activity_log(config: &Config) -> Option<Rc<ActivityLog>> {
    let settings = config.membership.as_ref()?;
    let stored = config.state.as_deref().map(membership::read_record);
    let previous = stored.transpose().unwrap_or_else(|error| {
        tracing::warn!("fleet: record: {error}");
        None
    });
    Some(ActivityLog::new(
        config.digest,
        previous.flatten(),
        settings.sends_version_header,
        settings.fence_unsure_after,
    ))
}

impl Cluster {
    /// Starts the configured services and moves their settings out of `config`.
    pub async fn start(
        config: &mut Config,
        activity_log: Option<Rc<ActivityLog>>,
    ) -> Result<Self, DaemonError> {
        let Some((mut settings, activity_log)) = config.membership.take().zip(activity_log) else {
            return Ok(Cluster {
                membership: None,
                leases: None,
            });
        };
        let lease_settings = settings.leases.take();
        let state_folder = config.state.clone();
        let membership =
            MembershipService::begin(settings, config.seed, activity_log, state_folder).await?;
        let leases = lease_settings.map(|settings| {
            let state_folder = config.state.as_deref();
            LeaseService::start(settings, process_seed(), membership.clone(), state_folder)
        });
        Ok(Cluster {
            membership: Some(membership),
            leases: leases.transpose()?,
        })
    }

    /// Starts a task that replaces routes older than the cluster's desired version.
    pub fn keep_routes_up_to_date(&self, router: &Router, seed: u64) {
        if let (Some(membership), Router::Routed(pools)) = (&self.membership, router) {
            let (pools, membership) = (Rc::downgrade(pools), membership.clone());
            spawn_local(stale_routes::keep_up_to_date(pools, membership, seed));
        }
    }
}
