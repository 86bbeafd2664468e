//! Waiting for a request's response. The waiting task also polls the request's attempts, so that an
//! attempt needs no task of its own and its response wakes the client's task directly. Attempts
//! that outlive the wait, such as those of a disconnected client, are moved to their own tasks.

use crate::backend::{AttemptControl, store_waker};
use crate::runtime_accounting::{sleep_until, spawn_local};
use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::time::Instant;

/// An attempt that is being polled.
pub struct RunningAttempt {
    /// Runs the attempt.
    pub future: Pin<Box<dyn Future<Output = ()>>>,
    /// The attempt's timeout, by which it reports its result.
    pub times_out_at: Instant,
    /// Records whether the attempt has reported its result.
    pub control: Rc<AttemptControl>,
}

impl RunningAttempt {
    /// Returns whether the attempt will report its result by a deadline.
    fn reports_before(&self, deadline: Instant) -> bool {
        self.times_out_at <= deadline && !self.control.has_reported()
    }
}

/// A response that one task waits for and other tasks send, and the attempts that the waiting task
/// polls.
pub struct PendingResponse<T> {
    response: Cell<Option<T>>,
    new_attempts: RefCell<Vec<RunningAttempt>>,
    waker: Cell<Option<Waker>>,
    /// Set while the waiting task polls its attempts, when it needs no wake-up.
    is_polling: Cell<bool>,
}

impl<T> Default for PendingResponse<T> {
    fn default() -> Self {
        PendingResponse {
            response: Cell::new(None),
            new_attempts: RefCell::default(),
            waker: Cell::new(None),
            is_polling: Cell::new(false),
        }
    }
}

impl<T> PendingResponse<T> {
    /// Sends the response.
    pub fn send(&self, response: T) {
        self.response.set(Some(response));
        self.wake();
    }

    /// Adds an attempt for the waiting task to poll.
    pub fn add_attempt(&self, attempt: RunningAttempt) {
        self.new_attempts.borrow_mut().push(attempt);
        self.wake();
    }

    fn wake(&self) {
        if self.is_polling.get() {
            return;
        }
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// Waits for the response; returns `None` at the deadline.
    ///
    /// No timer is started while an attempt is running that times out before the deadline, since
    /// its result wakes this task. Attempts that are still running when the wait ends, also by
    /// being dropped, continue in their own tasks.
    pub async fn wait(self: Rc<Self>, deadline: Instant) -> Option<T> {
        let mut attempts = Attempts {
            pending: self.clone(),
            running: Vec::new(),
        };
        let mut timer = pin!(None);
        poll_fn(|cx| {
            self.is_polling.set(true);
            let response = attempts.poll(cx);
            self.is_polling.set(false);
            if response.is_some() {
                return Poll::Ready(response);
            }
            if attempts
                .running
                .iter()
                .any(|attempt| attempt.reports_before(deadline))
            {
                store_waker(&self.waker, cx);
                return Poll::Pending;
            }
            if timer.is_none() {
                timer.set(Some(sleep_until(deadline)));
            }
            let timer = timer.as_mut().as_pin_mut();
            if timer.is_some_and(|timer| timer.poll(cx).is_ready()) {
                return Poll::Ready(None);
            }
            store_waker(&self.waker, cx);
            Poll::Pending
        })
        .await
    }
}

/// The attempts that the waiting task polls.
struct Attempts<T> {
    pending: Rc<PendingResponse<T>>,
    running: Vec<RunningAttempt>,
}

impl<T> Attempts<T> {
    fn take_new(&mut self) {
        let mut new = self.pending.new_attempts.borrow_mut();
        if self.running.is_empty() {
            std::mem::swap(&mut self.running, &mut new);
        }
        self.running.append(&mut new);
    }

    /// Polls all attempts, including those that are added meanwhile; returns the response if there
    /// is one.
    fn poll(&mut self, cx: &mut Context<'_>) -> Option<T> {
        let mut polled = 0;
        loop {
            self.take_new();
            if let Some(response) = self.pending.response.take() {
                return Some(response);
            }
            if polled == self.running.len() {
                return None;
            }
            let mut index = 0;
            while index < self.running.len() {
                // Attempts that an earlier iteration polled are skipped.
                let is_unpolled = index >= polled;
                if is_unpolled && self.running[index].future.as_mut().poll(cx).is_ready() {
                    drop(self.running.remove(index));
                } else {
                    index += 1;
                }
            }
            polled = self.running.len();
        }
    }
}

impl<T> Drop for Attempts<T> {
    fn drop(&mut self) {
        let new = self.pending.new_attempts.take();
        for attempt in self.running.drain(..).chain(new) {
            spawn_local(attempt.future);
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/engine_pending_response.rs"]
mod tests;
