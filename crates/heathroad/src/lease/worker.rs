//! What a duty's work is given: a token, the last mark, and what it is to ask before each act.
//!
//! Work is a future that runs while the duty is held here and is dropped when that ends. It acts
//! only after [`Hold::may`], tells its token with each act, and marks how far it came: the next
//! holder begins with the last mark that a quorum keeps, and so does again what was done after
//! that. Whatever can't check a token may see such an act twice, and one of a stalled holder late.

use super::Duties;
use crate::runtime_accounting::timeout;
use heathroad_lease::DutyId;
use heathroad_lease::seat::Ended;
use heathroad_lease::token::Token;
use heathroad_lease::voter::Mark;
use std::rc::Weak;

/// A hold of a duty.
#[derive(Clone)]
pub struct Hold {
    duties: Weak<Duties>,
    duty: DutyId,
    name: String,
    token: Token,
    mark: Option<Mark>,
}

/// The duty is no longer held, or the mark was not kept in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Lost;

impl Hold {
    pub(super) fn new(
        duties: Weak<Duties>,
        duty: DutyId,
        name: String,
        token: Token,
        mark: Option<Mark>,
    ) -> Hold {
        Hold {
            duties,
            duty,
            name,
            token,
            mark,
        }
    }

    /// The duty's name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The token that each act carries.
    pub fn token(&self) -> Token {
        self.token
    }

    /// This proxy's place and life, for people.
    pub fn holder(&self) -> String {
        let life = self
            .duties
            .upgrade()
            .map_or(0, |d| d.peers.activity_log().incarnation());
        format!("{}.{life}", self.token.place())
    }

    /// What the holder before this one had come to; of its own token, which is lower.
    pub fn mark(&self) -> Option<&Mark> {
        self.mark.as_ref()
    }

    /// Whether it is held still: to be asked before each act.
    pub fn may(&self) -> bool {
        self.duties
            .upgrade()
            .is_some_and(|d| d.holds(self.duty) == Some(self.token))
    }

    /// Has a quorum keep what the work has come to, at most [`heathroad_lease::voter::MAX_STATE`]
    /// bytes.
    pub async fn keep(&self, state: Vec<u8>) -> Result<(), Lost> {
        let duties = self.duties.upgrade().filter(|_| self.may()).ok_or(Lost)?;
        let mut saved = duties.saved.subscribe();
        let now = duties.peers.now();
        let seq = duties
            .core
            .borrow_mut()
            .mark(now, self.duty, state)
            .ok_or(Lost)?;
        duties.stirred.notify_one();
        let (duty, wanted) = (self.duty, (self.token, seq));
        let kept = saved.wait_for(|saved| saved.get(&duty).is_some_and(|s| *s >= wanted));
        match timeout(duties.lease, kept).await {
            Ok(Ok(_)) => Ok(()),
            _ => Err(Lost),
        }
    }

    /// The work can't be done here: another is to try.
    pub fn unfit(&self, why: String) {
        let Some(duties) = self.duties.upgrade().filter(|_| self.may()) else {
            return;
        };
        tracing::warn!(duty = %self.name, "duty {}: given back: {why}", self.name);
        if let Some(one) = duties.all.get(&self.duty) {
            one.unfit.replace(Some(why));
        }
        duties.let_go(self.duty, Ended::Unfit);
    }

    /// Something that was acted on had seen a higher token, which it may have told.
    pub fn overtaken(&self, by: Option<Token>) {
        if let Some(duties) = self.duties.upgrade().filter(|_| self.may()) {
            if let Some(by) = by {
                duties.core.borrow_mut().seen(self.duty, by);
            }
            duties.let_go(self.duty, Ended::Overtaken);
        }
    }
}
