//! Helpers that run a simulation until the lease is acquired.

use super::{LEASE_DURATION, Simulation};
use heathroad_lease::token::Token;
use heathroad_lease::{MemberId, Millis};

/// A condition that does not hold within this simulated time fails the test.
const TIMEOUT: Millis = 60_000;

/// Maximum time without a holder after a fault. The simulated membership detects a failure at once,
/// so that only the expiry of grants and one campaign count.
pub const SUCCESSION_BOUND: Millis = LEASE_DURATION * 2;

/// The next holder, and how long its acquisition took.
pub struct Succession {
    pub holder: MemberId,
    pub took: Millis,
}

impl Simulation {
    /// Creates a simulation and runs it until the lease is held.
    pub fn with_holder(member_count: u16, voter_count: u16, seed: u64) -> Simulation {
        let mut simulation = Simulation::new(member_count, voter_count, seed);
        simulation.run_until_held();
        simulation
    }

    /// Runs until the lease is held, and returns the holder.
    pub fn run_until_held(&mut self) -> MemberId {
        let end = self.now + TIMEOUT;
        self.run_until(end, |simulation| simulation.holder().is_some())
            .expect("no member acquired the lease");
        self.current_holder()
    }

    /// Runs until a member holds the lease under a later token.
    pub fn run_until_succeeded(&mut self, last: Token) -> Succession {
        let begin = self.now;
        let later_holder = |simulation: &Simulation| {
            let holders = simulation.holders();
            holders
                .iter()
                .find(|(_, token)| *token > last)
                .map(|(member, _)| *member)
        };
        let is_succeeded = |simulation: &Simulation| later_holder(simulation).is_some();
        let at = self
            .run_until(begin + TIMEOUT, is_succeeded)
            .expect("no member acquired the lease under a later token");
        Succession {
            holder: later_holder(self).expect("the lease is not held"),
            took: at - begin,
        }
    }

    /// Returns the holder. Panics if the lease is not held.
    pub fn current_holder(&self) -> MemberId {
        self.holder().expect("the lease is not held")
    }

    /// Returns the token of the holder. Panics if the lease is not held.
    pub fn current_token(&self) -> Token {
        self.holders().first().expect("the lease is not held").1
    }

    /// Runs until a condition holds, and panics if it does not hold within [`TIMEOUT`].
    pub fn run_until_condition(&mut self, condition: impl Fn(&Simulation) -> bool) -> Millis {
        let end = self.now + TIMEOUT;
        self.run_until(end, condition)
            .expect("the condition did not hold in time")
    }
}
