//! Running a simulation until the lease is acquired.

use super::{LEASE, Simulation};
use heathroad_lease::token::Token;
use heathroad_lease::{MemberId, Millis};

/// A simulation in which nothing happens for so long has failed.
const TIMEOUT: Millis = 60_000;

/// How long a lease may be without a holder after a fault: presence is known at once here, so that
/// only the old grants are waited for.
pub const SUCCESSION_BOUND: Millis = LEASE * 2;

/// The next holder, and how long the lease was without one.
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

    /// Runs until the lease is held, and returns by whom.
    pub fn run_until_held(&mut self) -> MemberId {
        let end = self.now + TIMEOUT;
        self.run_until(end, |simulation| simulation.holder().is_some())
            .expect("it is held");
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
            .expect("it is held again");
        Succession {
            holder: later_holder(self).expect("it is held"),
            took: at - begin,
        }
    }

    /// Returns the member that holds the lease, which must be held.
    pub fn current_holder(&self) -> MemberId {
        self.holder().expect("it is held")
    }

    /// Returns the token of the holder.
    pub fn current_token(&self) -> Token {
        self.holders().first().expect("it is held").1
    }

    /// Runs until a condition holds, for a simulation's usual time at most.
    pub fn run_until_condition(&mut self, condition: impl Fn(&Simulation) -> bool) -> Millis {
        let end = self.now + TIMEOUT;
        self.run_until(end, condition).expect("the condition holds")
    }
}
