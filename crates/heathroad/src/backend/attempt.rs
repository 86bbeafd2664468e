//! Running one attempt of a request, with timeout and cancellation.

use super::outcome::AttemptEnd;
use super::pool::Pool;
use super::target::Target;
use super::{Call, exchange};
use crate::retry_budget::AttemptBudget;
use crate::runtime_accounting::{sleep, sleep_until};
use crate::safety::{self, ClientHandle, ClientPresence, Denial, WriteDeadline};
use crate::stream::{Progress, Written};
use heathroad_balancer::api::Outcome;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::Duration;
use tokio::time::Instant;

/// How long the response to an abandoned attempt is awaited, to reuse its connection; longer than
/// most work takes.
const ABANDONED_RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);

/// The degree to which an attempt is cancelled.
#[derive(Default, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Cancellation {
    #[default]
    None,
    /// The response is no longer needed: the attempt ends unless it is fully written.
    Abandoned,
    /// The attempt ends in any state.
    Cancelled,
}

/// The state that an attempt shares with its sender.
#[derive(Default)]
pub struct AttemptControl {
    /// The client of the request, if known.
    pub(super) client: Option<ClientHandle>,
    pub(super) write_deadline: WriteDeadline,
    /// How much was written, if there is no `progress`.
    written: Cell<Written>,
    /// The progress of the HTTP connection that sends the request.
    progress: RefCell<Option<Rc<Progress>>>,
    cancellation: Cell<Cancellation>,
    has_reported: Cell<bool>,
    waker: Cell<Option<Waker>>,
}

impl AttemptControl {
    /// Returns the control of an attempt for a client, with a write deadline.
    pub fn new(client: Option<ClientHandle>, write_deadline: WriteDeadline) -> AttemptControl {
        AttemptControl {
            client,
            write_deadline,
            ..AttemptControl::default()
        }
    }

    /// Returns whether the client is there, if it is known; otherwise it counts as present.
    pub(super) fn client_presence(&self) -> ClientPresence {
        let client = self.client.as_ref();
        client.map_or(ClientPresence::Present, ClientHandle::presence)
    }

    /// Checks whether the attempt's client is still there.
    pub(super) fn check_client(&self) -> Result<(), Denial> {
        safety::check_client(self.client_presence())
    }

    /// Cancels the attempt; has no effect if it has ended.
    pub fn cancel(&self) {
        self.raise_cancellation(Cancellation::Cancelled);
    }

    /// Abandons the attempt, since its request is closed. If it is not fully written, it was never
    /// executed and ends; otherwise it continues unless it is also cancelled.
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

    /// Returns whether the attempt has reported its result. It may still await a late response.
    pub fn has_reported(&self) -> bool {
        self.has_reported.get()
    }

    /// Records that the request was assigned to a connection, with the progress of an HTTP
    /// connection.
    pub(super) fn assign_connection(&self, progress: Option<Rc<Progress>>) {
        self.written.set(Written::None);
        self.progress.replace(progress);
    }

    /// Records how much of the request is written.
    pub(super) fn set_written(&self, written: Written) {
        self.written.set(written);
    }

    /// Returns how much of the request is written.
    pub(super) fn written(&self) -> Written {
        let progress = self.progress.borrow();
        progress
            .as_ref()
            .map_or(self.written.get(), |progress| progress.written())
    }

    /// Returns whether the request is completely written, so that the backend may execute it.
    pub fn is_fully_written(&self) -> bool {
        self.written() == Written::Complete
    }

    /// Returns the outcome of an attempt that has timed out or is cancelled to at least the given
    /// degree.
    fn abort_outcome(&self, has_timed_out: bool, min: Cancellation) -> Option<Outcome> {
        if has_timed_out {
            return Some(Outcome::Timeout);
        }
        (self.cancellation.get() >= min).then_some(Outcome::Cancelled)
    }
}

/// Stores a task's waker; clones it only if the stored one belongs to another task.
pub fn store_waker(slot: &Cell<Option<Waker>>, cx: &Context<'_>) {
    let waker = slot.take().filter(|waker| waker.will_wake(cx.waker()));
    slot.set(Some(waker.unwrap_or_else(|| cx.waker().clone())));
}

/// One attempt of a request.
pub struct Attempt {
    /// The content of the request.
    pub call: Rc<Call>,
    /// The backend process.
    pub target: Rc<Target>,
    /// When the attempt times out.
    pub times_out_at: Instant,
    /// The deadline sent to the backend.
    pub expires_at: Instant,
    /// The state shared with the attempt's sender.
    pub control: Rc<AttemptControl>,
    /// The retry budget that the attempt carries, if budgets are configured.
    pub budget: Option<Rc<AttemptBudget>>,
}

impl Attempt {
    /// Runs the attempt and reports its result, once.
    ///
    /// After a timeout or cancellation, the late response is awaited for some time: most backends
    /// do not stop their work when the connection is closed, and a new connection costs both sides.
    /// `on_late_result` is called once the response has arrived or the wait has ended, since the
    /// backend is loaded until then.
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
        let ended = run_until_aborted(exchange.as_mut(), control, self.times_out_at).await;
        let abort_outcome = match ended {
            Ok(result) => return report(result),
            Err(outcome) => outcome,
        };
        if !control.is_fully_written() {
            // Closes the connection, if there is one, so that no backend receives the rest of the
            // request.
            exchange.set(None);
            return report(AttemptEnd::NotServed(Outcome::NotSent));
        }
        report(AttemptEnd::NotServed(abort_outcome));
        // Closing the connection cancels the backend's work.
        if budget.is_some_and(AttemptBudget::cancels_downstream) {
            return on_late_result(AttemptEnd::NotServed(abort_outcome));
        }
        let late_result = await_late_response(&pool, exchange.as_mut()).await;
        on_late_result(late_result.unwrap_or(AttemptEnd::NotServed(abort_outcome)));
    }
}

/// Runs an exchange until it ends, times out or is cancelled.
async fn run_until_aborted(
    mut exchange: Pin<&mut Option<impl Future<Output = AttemptEnd>>>,
    control: &AttemptControl,
    times_out_at: Instant,
) -> Result<AttemptEnd, Outcome> {
    let mut timer = pin!(sleep_until(times_out_at));
    poll_fn(|cx| {
        let has_timed_out = timer.as_mut().poll(cx).is_ready();
        // Checked before each poll of the exchange, so that an abandoned request is not written
        // further.
        let is_fully_written = control.is_fully_written();
        let abandoned = control.abort_outcome(has_timed_out, Cancellation::Abandoned);
        if let Some(outcome) = abandoned.filter(|_| !is_fully_written) {
            return Poll::Ready(Err(outcome));
        }
        let cancelled = control.abort_outcome(has_timed_out, Cancellation::Cancelled);
        let polled = exchange
            .as_mut()
            .as_pin_mut()
            .map(|exchange| exchange.poll(cx));
        if let Some(Poll::Ready(result)) = polled {
            return Poll::Ready(Ok(result));
        }
        if let Some(outcome) = cancelled {
            return Poll::Ready(Err(outcome));
        }
        store_waker(&control.waker, cx);
        Poll::Pending
    })
    .await
}

/// Awaits the late response to an abandoned attempt, so that its connection can be reused. Returns
/// `None` if no response arrives in time, if too many are awaited already, or if another attempt
/// needs the connection slot.
async fn await_late_response(
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
