//! Intervals, timeouts and limits of the protocol.

use crate::Millis;

/// Intervals, timeouts and limits of the protocol.
#[derive(Debug, Clone)]
pub struct Config {
    /// The interval at which this member probes another one.
    pub probe_period: Millis,
    /// The time to wait for an ack before indirect probes are requested.
    pub ack_timeout: Millis,
    /// The number of members that are asked to probe an unresponsive target.
    pub indirect_probes: usize,
    /// The interval between rounds of gossip while there are updates to disseminate.
    pub gossip_interval: Millis,
    /// The number of recipients of a round of gossip.
    pub gossip_fanout: usize,
    /// The shortest duration of a suspicion in probe periods. It is multiplied by the base-10
    /// logarithm of the number of present members, but at least by one.
    pub suspicion_periods: u64,
    /// The factor by which a suspicion with a single accuser lasts longer than the shortest one.
    pub max_suspicion_factor: u64,
    /// The number of further accusers that reduce a suspicion to its shortest duration.
    pub suspicion_confirmations: usize,
    /// The maximum number of datagrams sent per second, not counting those with a limit below.
    pub max_datagrams_per_second: u32,
    /// The maximum number of datagrams sent per second that request or carry parts of resources.
    pub max_resource_datagrams_per_second: u32,
    /// The maximum number of datagrams sent per second that carry messages of other protocols.
    pub max_piggyback_datagrams_per_second: u32,
}

impl Config {
    /// Returns the default configuration with all times scaled to a probe period.
    pub fn with_probe_period(probe_period: Millis) -> Config {
        let default = Config::default();
        let scale = |time: Millis| (time * probe_period / default.probe_period).max(1);
        Config {
            probe_period,
            ack_timeout: scale(default.ack_timeout),
            gossip_interval: scale(default.gossip_interval),
            ..default
        }
    }
}

impl Default for Config {
    fn default() -> Self {
        Config {
            probe_period: 1000,
            ack_timeout: 250,
            indirect_probes: 3,
            gossip_interval: 200,
            gossip_fanout: 3,
            suspicion_periods: 2,
            max_suspicion_factor: 4,
            suspicion_confirmations: 3,
            max_datagrams_per_second: 40,
            max_resource_datagrams_per_second: 200,
            max_piggyback_datagrams_per_second: 200,
        }
    }
}
