//! Waiting for a request's one answer. Whoever waits carries the request's attempts in its own
//! task: what an answer wakes is then at once the one who passes it on, and no task is made for an
//! attempt. Attempts that outlast the wait, since the caller has left or work that was given up
//! goes on, get a task of their own.

use crate::backend::{Line, keep};
use crate::runtime_accounting::{sleep_until, spawn_local};
use std::cell::{Cell, RefCell};
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use tokio::time::Instant;

/// An attempt under way.
pub struct Running {
    /// Its course.
    pub run: Pin<Box<dyn Future<Output = ()>>>,
    /// When it reports its end at the latest.
    pub not_past: Instant,
    /// Tells whether it has.
    pub line: Rc<Line>,
}

/// What one waits for and others bring: an answer, and attempts to be carried until then.
pub struct Wait<T> {
    told: Cell<Option<T>>,
    begun: RefCell<Vec<Running>>,
    waker: Cell<Option<Waker>>,
    /// The one who waits is looking just now, and sees what comes without being woken.
    looks: Cell<bool>,
}

impl<T> Default for Wait<T> {
    fn default() -> Self {
        let (told, begun) = (Cell::new(None), RefCell::default());
        Wait {
            told,
            begun,
            waker: Cell::new(None),
            looks: Cell::new(false),
        }
    }
}

impl<T> Wait<T> {
    /// Gives the answer.
    pub fn tell(&self, answer: T) {
        self.told.set(Some(answer));
        self.wake();
    }

    /// Gives an attempt to carry.
    pub fn carry(&self, attempt: Running) {
        self.begun.borrow_mut().push(attempt);
        self.wake();
    }

    fn wake(&self) {
        if self.looks.get() {
            return;
        }
        if let Some(waker) = self.waker.take() {
            waker.wake();
        }
    }

    /// The answer; nothing if none has come by `end`. While an attempt is under way that gives up
    /// before then, no timer is made: its end is heard of here, and the time is looked at again.
    /// What is still to carry when the wait is over, however it ends, goes on in tasks of its own.
    pub async fn answer(self: Rc<Self>, end: Instant) -> Option<T> {
        let mut carried = Carried {
            wait: self.clone(),
            running: Vec::new(),
        };
        let mut over = pin!(None);
        poll_fn(|cx| {
            self.looks.set(true);
            let told = carried.look(cx);
            self.looks.set(false);
            if told.is_some() {
                return Poll::Ready(told);
            }
            if carried
                .running
                .iter()
                .any(|r| r.not_past <= end && !r.line.reported())
            {
                keep(&self.waker, cx);
                return Poll::Pending;
            }
            if over.is_none() {
                over.set(Some(sleep_until(end)));
            }
            if over
                .as_mut()
                .as_pin_mut()
                .is_some_and(|over| over.poll(cx).is_ready())
            {
                return Poll::Ready(None);
            }
            keep(&self.waker, cx);
            Poll::Pending
        })
        .await
    }
}

/// The attempts that one who waits carries.
struct Carried<T> {
    wait: Rc<Wait<T>>,
    running: Vec<Running>,
}

impl<T> Carried<T> {
    fn take_begun(&mut self) {
        let mut begun = self.wait.begun.borrow_mut();
        if self.running.is_empty() {
            std::mem::swap(&mut self.running, &mut begun);
        }
        self.running.append(&mut begun);
    }

    /// Carries on all that can go on, and what that begins in turn, until the answer is there or
    /// nothing moves.
    fn look(&mut self, cx: &mut Context<'_>) -> Option<T> {
        let mut from = 0;
        loop {
            self.take_begun();
            if let Some(told) = self.wait.told.take() {
                return Some(told);
            }
            if from == self.running.len() {
                return None;
            }
            let mut at = 0;
            while at < self.running.len() {
                // Those that were looked at before what they began stay as they are.
                if at >= from && self.running[at].run.as_mut().poll(cx).is_ready() {
                    drop(self.running.remove(at));
                } else {
                    at += 1;
                }
            }
            from = self.running.len();
        }
    }
}

impl<T> Drop for Carried<T> {
    fn drop(&mut self) {
        let begun = self.wait.begun.take();
        for attempt in self.running.drain(..).chain(begun) {
            spawn_local(attempt.run);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;
    use tokio::sync::oneshot;
    use tokio::task::LocalSet;
    use tokio::time::{advance, timeout};

    const LONG: Duration = Duration::from_secs(60);

    /// An attempt that reports by itself after a time, and goes on until it is let go.
    fn attempt(reports: Duration, let_go: oneshot::Receiver<()>, over: Rc<Cell<bool>>) -> Running {
        let (line, not_past) = (Rc::<Line>::default(), Instant::now() + reports);
        let told = line.clone();
        let run = Box::pin(async move {
            tokio::time::sleep_until(not_past).await;
            told.report();
            let _ = let_go.await;
            over.set(true);
        });
        Running {
            run,
            not_past,
            line,
        }
    }

    #[tokio::test(start_paused = true)]
    async fn a_wait_without_an_answer_ends_in_time() {
        let (wait, begun) = (Rc::<Wait<u8>>::default(), Instant::now());
        assert_eq!(wait.answer(begun + LONG).await, None);
        assert_eq!(begun.elapsed(), LONG);
    }

    /// An attempt that has reported and works on is no reason to wait for longer; it is let work
    /// on.
    #[tokio::test(start_paused = true)]
    async fn work_that_goes_on_holds_no_wait_up_and_is_not_dropped() {
        let set = LocalSet::new();
        set.run_until(async {
            let (wait, over, begun) = (
                Rc::<Wait<u8>>::default(),
                Rc::<Cell<bool>>::default(),
                Instant::now(),
            );
            let (let_go, gone) = oneshot::channel();
            wait.carry(attempt(LONG / 2, gone, over.clone()));
            assert_eq!(wait.answer(begun + LONG).await, None);
            assert_eq!(begun.elapsed(), LONG);
            assert!(!over.get());
            let_go.send(()).expect("it goes on in a task of its own");
            tokio::task::yield_now().await;
            assert!(over.get());
        })
        .await;
    }

    async fn is_over(over: &Cell<bool>) {
        let over = async {
            while !over.get() {
                tokio::task::yield_now().await;
            }
        };
        timeout(LONG / 4, over).await.expect("it comes to its end");
    }

    /// What others bring wakes who waits: an attempt begun for it, and its answer.
    #[tokio::test(start_paused = true)]
    async fn what_others_bring_is_seen() {
        let set = LocalSet::new();
        set.run_until(async {
            let (wait, over) = (Rc::<Wait<u8>>::default(), Rc::<Cell<bool>>::default());
            let waiting = tokio::task::spawn_local(wait.clone().answer(Instant::now() + LONG));
            tokio::task::yield_now().await;
            let (let_go, gone) = oneshot::channel();
            wait.carry(attempt(LONG / 4, gone, over.clone()));
            let_go.send(()).expect("it is held");
            tokio::task::yield_now().await;
            advance(LONG / 4).await;
            is_over(&over).await;
            wait.tell(7);
            assert_eq!(waiting.await.expect("no panic"), Some(7));
        })
        .await;
    }

    /// Dropped, as when the caller has left: what was begun goes on, also if it was never looked
    /// at.
    #[tokio::test(start_paused = true)]
    async fn who_leaves_stops_no_attempt() {
        let set = LocalSet::new();
        set.run_until(async {
            let (wait, over) = (Rc::<Wait<u8>>::default(), Rc::<Cell<bool>>::default());
            let waiting = tokio::task::spawn_local(wait.clone().answer(Instant::now() + LONG));
            tokio::task::yield_now().await;
            let (let_go, gone) = oneshot::channel();
            wait.carry(attempt(Duration::ZERO, gone, over.clone()));
            waiting.abort();
            assert!(waiting.await.expect_err("it is gone").is_cancelled());
            let_go.send(()).expect("it goes on");
            is_over(&over).await;
        })
        .await;
    }
}
