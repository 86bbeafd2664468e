//! Waiting for a request's one response. The task that waits also runs the request's attempts, so
//! that what a response wakes is at once the task that passes it on, and an attempt needs no task
//! of its own. Attempts that outlast the wait, since the client has left or an abandoned attempt
//! goes on, are given one.

use crate::backend::{AttemptControl, store_waker};
use crate::runtime_accounting::{sleep_until, spawn_local};
use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::time::Instant;

/// An attempt under way.
pub struct RunningAttempt {
    /// Carries the attempt out.
    pub future: Pin<Box<dyn Future<Output = ()>>>,
    /// The attempt reports its result by then.
    pub times_out_at: Instant,
    /// Tells whether it has.
    pub control: Rc<AttemptControl>,
}

impl RunningAttempt {
    /// Returns whether the attempt will report a result by itself before a deadline.
    fn reports_before(&self, deadline: Instant) -> bool {
        self.times_out_at <= deadline && !self.control.has_reported()
    }
}

/// A response that one task waits for and others send, with the attempts that the waiting task
/// runs.
pub struct PendingResponse<T> {
    response: Cell<Option<T>>,
    new_attempts: RefCell<Vec<RunningAttempt>>,
    waker: Cell<Option<Waker>>,
    /// The waiting task is polling just now, and sees what comes without being woken.
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

    /// Hands an attempt to the waiting task.
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

    /// Waits for the response; returns nothing if none has come by the deadline.
    ///
    /// While an attempt is under way that times out before the deadline, no timer is started: the
    /// attempt's result wakes this task, which then looks at the time again. Attempts that still
    /// run when the wait is over, however it ends, go on in tasks of their own.
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

/// The attempts that the waiting task runs.
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

    /// Polls all attempts, and those that they begin in turn, until the response is there or
    /// nothing moves.
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
                // Those that were polled before they began others are not polled again.
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
