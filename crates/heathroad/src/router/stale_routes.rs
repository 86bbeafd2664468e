//! A proxy behind its fleet is brought up: it pulls the text that is wanted from a fellow that acts
//! on it, and takes it through the same check, expectations, staging and probation as a change by
//! hand. What it turns down it does not try again, and says why.

use super::routed_pools::Many;
use super::transactions::words;
use crate::membership::MembershipService;
use crate::runtime_accounting::{sleep, timeout};
use heathroad_membership::desired_version::{Desired, DesiredVersion};
use heathroad_membership::version::Digest;
use heathroad_routing::transaction::Said;
use std::rc::{Rc, Weak};
use std::time::Duration;

/// Pause before a wanted text is pulled, and between two tries: drawn between these, so that not
/// all ask at once.
const PAUSE: [Duration; 2] = [Duration::from_millis(100), Duration::from_millis(1500)];
/// How often a change under way is looked at.
const LOOK: Duration = Duration::from_millis(100);
/// What is wanted is looked at again after this, though nothing was heard.
const AGAIN: Duration = Duration::from_secs(5);

/// Brings this proxy up whenever it is behind, for ever.
pub async fn follow(many: Weak<Many>, peers: Rc<MembershipService>, seed: u64) {
    let (mut wanted, mut rng) = (peers.watch_desired(), fastrand::Rng::with_seed(seed));
    loop {
        // Its sender is the peers', which are held here.
        let _ = timeout(AGAIN, wanted.changed()).await;
        loop {
            let pause = PAUSE[0] + (PAUSE[1] - PAUSE[0]).mul_f64(rng.f64());
            sleep(pause).await;
            let Some(many) = many.upgrade() else { return };
            let Some(want) = behind(&many, &peers, *wanted.borrow_and_update()) else {
                break;
            };
            if many.changer.borrow().open().is_some() {
                continue;
            }
            if let Some(text) = peers.fetch_routes(want.digest).await {
                bring_up(&many, &peers, want, &text).await;
            }
        }
    }
}

/// What is wanted, where this proxy acts on an older one and has not turned it down.
fn behind(many: &Many, peers: &MembershipService, wanted: Desired) -> Option<DesiredVersion> {
    let Desired::Version(want) = wanted else {
        return None;
    };
    let (acts, current) = (peers.activity_log(), many.in_force());
    let same = Digest::of(current.text.as_bytes()) == want.digest;
    (want.generation > current.number && !same && !acts.was_rejected(want.digest)).then_some(want)
}

async fn bring_up(many: &Rc<Many>, peers: &MembershipService, want: DesiredVersion, text: &str) {
    let turn_down = |why: String| {
        peers
            .activity_log()
            .record_rejection(want.generation, want.digest, why);
    };
    let file = format!("generation {} of the fleet", want.generation);
    let said = match many.take(&file, text, want.generation).await {
        Ok(said) => said,
        Err(why) => {
            many.tell(format!("{file} is turned down: {why}"));
            return turn_down(why);
        }
    };
    if !said.iter().any(|s| matches!(s, Said::Staging(_))) {
        // Busy, or crowded: it is tried again.
        return;
    }
    while many.changer.borrow().open().is_some() {
        sleep(LOOK).await;
    }
    if Digest::of(many.in_force().text.as_bytes()) != want.digest {
        let last = many.told.borrow().back().cloned();
        turn_down(last.unwrap_or_else(|| said.iter().map(words).collect()));
    }
}
