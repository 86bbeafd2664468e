//! One attempt of a request at a backend: how it runs, times out and is cancelled.

use super::outcome::AttemptEnd;
use super::pool::Pool;
use super::target::Target;
use super::{Call, exchange};
use crate::retry_budget::AttemptBudget;
use crate::runtime_accounting::{sleep, sleep_until};
use crate::safety::{ClientHandle, WriteDeadline};
use crate::stream::{Progress, Written};
use heathroad_balancer::api::Outcome;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::time::Instant;

/// The response to an abandoned attempt is awaited so long, to keep its connection: longer than
/// most work takes.
const ABANDONED_RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// How far an attempt was cancelled.
#[derive(Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Cancellation {
    #[default]
    None,
    /// Nobody waits for it: what is not written yet is not written.
    Abandoned,
    /// It ends, however far it is.
    Cancelled,
}

/// What an attempt shares with those who sent it.
#[derive(Default)]
pub struct AttemptControl {
    /// The client it is sent for, where that is known.
    pub(super) client: Option<ClientHandle>,
    pub(super) write_deadline: WriteDeadline,
    /// How far it was written, by whoever writes it, or by the HTTP connection that it was handed
    /// to.
    written: Cell<Written>,
    progress: RefCell<Option<Rc<Progress>>>,
    cancellation: Cell<Cancellation>,
    has_reported: Cell<bool>,
    waker: Cell<Option<Waker>>,
}

impl AttemptControl {
    /// Returns the control of an attempt that is sent for a client and written before a deadline.
    pub fn new(client: Option<ClientHandle>, write_deadline: WriteDeadline) -> AttemptControl {
        AttemptControl {
            client,
            write_deadline,
            ..AttemptControl::default()
        }
    }

    /// Cancels the attempt; one that has ended ignores it.
    pub fn cancel(&self) {
        self.raise_cancellation(Cancellation::Cancelled);
    }

    /// Abandons the attempt, since its request is over. If it is not written whole by now it never
    /// ran, and ends here; otherwise it goes on, or is cancelled as the settings say.
    pub fn abandon(&self) {
        self.raise_cancellation(Cancellation::Abandoned);
    }

    fn raise_cancellation(&self, cancellation: Cancellation) {
        self.cancellation
            .set(self.cancellation.get().max(cancellation));
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Records that the attempt reports its result.
    pub fn mark_reported(&self) {
        self.has_reported.set(true);
    }

    /// Returns whether the attempt has reported its result; its work may go on.
    pub fn has_reported(&self) -> bool {
        self.has_reported.get()
    }

    /// Records that the request was handed to a connection, which tells how far it is written where
    /// it has a progress of its own.
    pub(super) fn hand_over(&self, progress: Option<Rc<Progress>>) {
        self.written.set(Written::None);
        self.progress.replace(progress);
    }

    /// Records how far the request is written.
    pub(super) fn set_written(&self, written: Written) {
        self.written.set(written);
    }

    /// Returns how far the request is written.
    pub(super) fn written(&self) -> Written {
        let progress = self.progress.borrow();
        progress
            .as_ref()
            .map_or(self.written.get(), |progress| progress.written())
    }

    /// Returns why the attempt is given up at this moment, if it is.
    fn given_up(&self, has_timed_out: bool, least: Cancellation) -> Option<Outcome> {
        if has_timed_out {
            return Some(Outcome::Timeout);
        }
        (self.cancellation.get() >= least).then_some(Outcome::Cancelled)
    }
}

/// Stores a task's waker, and clones it only where it is another task's.
pub fn store_waker(slot: &Cell<Option<Waker>>, cx: &Context<'_>) {
    let waker = slot.take().filter(|waker| waker.will_wake(cx.waker()));
    slot.set(Some(waker.unwrap_or_else(|| cx.waker().clone())));
}

/// One attempt of a request.
pub struct Attempt {
    /// The request.
    pub call: Rc<Call>,
    /// Where it goes.
    pub target: Rc<Target>,
    /// When it is given up.
    pub times_out_at: Instant,
    /// The backend is told to be done by then.
    pub expires_at: Instant,
    /// What it shares with those who sent it.
    pub control: Rc<AttemptControl>,
    /// The retry budget that it takes along, where budgets are configured.
    pub budget: Option<Rc<AttemptBudget>>,
}

impl Attempt {
    /// Carries the attempt out and reports its result, once.
    ///
    /// The connection of an attempt that was given up is kept for a while after that: backends do
    /// not stop their work, so that closing would spare nothing and cost both sides a new
    /// connection. The backend is loaded by that work. When its response has come after all, or the
    /// connection is closed, `on_late_result` is told, once.
    pub async fn run(
        self,
        pool: Rc<Pool>,
        on_result: impl FnOnce(AttemptEnd),
        on_late_result: impl FnOnce(AttemptEnd),
    ) {
        let (control, budget) = (&self.control, self.budget.as_deref());
        let exchange = exchange(
            &pool,
            &self.call,
            &self.target,
            self.expires_at,
            control,
            budget,
        );
        let mut exchange = pin!(Some(exchange));
        let report = |result| {
            control.mark_reported();
            on_result(result);
        };
        let ended = run_until_given_up(exchange.as_mut(), control, self.times_out_at).await;
        let given_up = match ended {
            Ok(result) => return report(result),
            Err(given_up) => given_up,
        };
        if control.written() != Written::Complete {
            // Its connection, if it has one, is closed: no backend ever has the whole request.
            exchange.set(None);
            return report(AttemptEnd::NotServed(Outcome::NotSent));
        }
        report(AttemptEnd::NotServed(given_up));
        // The close tells such a backend to stop, and whatever it has not sent on yet is dropped:
        // the work ends here and now.
        if budget.is_some_and(AttemptBudget::cancels_downstream) {
            return on_late_result(AttemptEnd::NotServed(given_up));
        }
        let late_result = await_abandoned(&pool, exchange.as_mut()).await;
        on_late_result(late_result.unwrap_or(AttemptEnd::NotServed(given_up)));
    }
}

/// Runs an exchange until it ends, times out or is cancelled.
async fn run_until_given_up(
    mut exchange: Pin<&mut Option<impl Future<Output = AttemptEnd>>>,
    control: &AttemptControl,
    times_out_at: Instant,
) -> Result<AttemptEnd, Outcome> {
    let mut timer = pin!(sleep_until(times_out_at));
    poll_fn(|cx| {
        let has_timed_out = timer.as_mut().poll(cx).is_ready();
        // This is asked before each step: a request that nobody waits for is not written on,
        // whatever else has just come, such as a connection or a slot for one.
        let is_whole = control.written() == Written::Complete;
        let given_up = control.given_up(has_timed_out, Cancellation::Abandoned);
        if let Some(given_up) = given_up.filter(|_| !is_whole) {
            return Poll::Ready(Err(given_up));
        }
        let cancelled = control.given_up(has_timed_out, Cancellation::Cancelled);
        let polled = exchange
            .as_mut()
            .as_pin_mut()
            .map(|exchange| exchange.poll(cx));
        if let Some(Poll::Ready(result)) = polled {
            return Poll::Ready(Ok(result));
        }
        if let Some(given_up) = cancelled {
            return Poll::Ready(Err(given_up));
        }
        store_waker(&control.waker, cx);
        Poll::Pending
    })
    .await
}

/// Awaits the response to an abandoned attempt, for which nobody waits, to keep its connection.
/// Returns nothing if none has come, or where another attempt needs the connection's slot more.
async fn await_abandoned(
    pool: &Pool,
    exchange: Pin<&mut Option<impl Future<Output = AttemptEnd>>>,
) -> Option<AttemptEnd> {
    if !pool.limits.may_duplicate {
        return None;
    }
    let _slot = pool.take_abandoned_slot()?;
    let exchange = exchange.as_pin_mut()?;
    tokio::select! {
        result = exchange => Some(result),
        () = sleep(ABANDONED_RESPONSE_TIMEOUT) => None,
        () = pool.slot_needed.notified() => None,
    }
}
