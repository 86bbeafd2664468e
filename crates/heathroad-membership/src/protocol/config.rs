//! Intervals, timeouts and limits of the protocol.

use crate::Millis;

/// Intervals, timeouts and limits of the protocol.
#[derive(Debug, Clone)]
pub struct Config {
    /// One member is probed in each period.
    pub probe_period: Millis,
    /// A member that has not acknowledged a probe within this time is probed through others.
    pub ack_timeout: Millis,
    /// The number of members that are asked for an indirect probe.
    pub indirect_probes: usize,
    /// The pause between two rounds of gossip, while there are updates to spread.
    pub gossip_interval: Millis,
    /// The number of members to which a round of gossip is sent.
    pub gossip_fanout: usize,
    /// The shortest suspicion in probe periods. It is multiplied by the logarithm to base ten of
    /// the number of present members, but at least by one.
    pub suspicion_periods: u64,
    /// How many times as long a suspicion runs while there is only one accuser.
    pub max_suspicion_factor: u64,
    /// The number of further accusers with which a suspicion is shortest.
    pub suspicion_confirmations: usize,
    /// The most datagrams per second, those of the two limits below not counted.
    pub max_datagrams_per_second: u32,
    /// The most datagrams per second that ask for or carry parts of resources.
    pub max_resource_datagrams_per_second: u32,
    /// The most datagrams per second that carry messages of other protocols.
    pub max_piggyback_datagrams_per_second: u32,
}

impl Config {
    /// Returns the default configuration with all times in proportion to a probe period.
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
