//! Unit tests of pending responses.

use super::*;
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::task::LocalSet;
use tokio::time::{advance, timeout};

const LONG: Duration = Duration::from_secs(60);

/// Returns an attempt that reports after a time, and goes on until it is released.
fn attempt(
    reports: Duration,
    release: oneshot::Receiver<()>,
    is_finished: Rc<Cell<bool>>,
) -> RunningAttempt {
    let (control, times_out_at) = (Rc::<AttemptControl>::default(), Instant::now() + reports);
    let reporting = control.clone();
    let future = Box::pin(async move {
        tokio::time::sleep_until(times_out_at).await;
        reporting.mark_reported();
        let _ = release.await;
        is_finished.set(true);
    });
    RunningAttempt {
        future,
        times_out_at,
        control,
    }
}

#[tokio::test(start_paused = true)]
async fn a_wait_without_a_response_ends_at_its_deadline() {
    let (pending, begun) = (Rc::<PendingResponse<u8>>::default(), Instant::now());
    assert_eq!(pending.wait(begun + LONG).await, None);
    assert_eq!(begun.elapsed(), LONG);
}

/// An attempt that has reported and goes on is no reason to wait longer.
#[tokio::test(start_paused = true)]
async fn an_attempt_that_goes_on_extends_no_wait_and_is_not_dropped() {
    let set = LocalSet::new();
    set.run_until(async {
        let (pending, is_finished, begun) = (
            Rc::<PendingResponse<u8>>::default(),
            Rc::<Cell<bool>>::default(),
            Instant::now(),
        );
        let (release, released) = oneshot::channel();
        pending.add_attempt(attempt(LONG / 2, released, is_finished.clone()));
        assert_eq!(pending.wait(begun + LONG).await, None);
        assert_eq!(begun.elapsed(), LONG);
        assert!(!is_finished.get());
        release.send(()).expect("it goes on in a task of its own");
        tokio::task::yield_now().await;
        assert!(is_finished.get());
    })
    .await;
}

async fn wait_until_finished(is_finished: &Cell<bool>) {
    let finished = async {
        while !is_finished.get() {
            tokio::task::yield_now().await;
        }
    };
    timeout(LONG / 4, finished)
        .await
        .expect("it comes to its end");
}

/// The waiting task is woken by an attempt that is begun for it, and by its response.
#[tokio::test(start_paused = true)]
async fn responses_and_attempts_wake_the_waiting_task() {
    let set = LocalSet::new();
    set.run_until(async {
        let (pending, is_finished) = (
            Rc::<PendingResponse<u8>>::default(),
            Rc::<Cell<bool>>::default(),
        );
        let waiting = tokio::task::spawn_local(pending.clone().wait(Instant::now() + LONG));
        tokio::task::yield_now().await;
        let (release, released) = oneshot::channel();
        pending.add_attempt(attempt(LONG / 4, released, is_finished.clone()));
        release.send(()).expect("it is held");
        tokio::task::yield_now().await;
        advance(LONG / 4).await;
        wait_until_finished(&is_finished).await;
        pending.send(7);
        assert_eq!(waiting.await.expect("no panic"), Some(7));
    })
    .await;
}

/// A wait is dropped when the client has left. Its attempts go on, also if they were never polled.
#[tokio::test(start_paused = true)]
async fn a_dropped_wait_stops_no_attempt() {
    let set = LocalSet::new();
    set.run_until(async {
        let (pending, is_finished) = (
            Rc::<PendingResponse<u8>>::default(),
            Rc::<Cell<bool>>::default(),
        );
        let waiting = tokio::task::spawn_local(pending.clone().wait(Instant::now() + LONG));
        tokio::task::yield_now().await;
        let (release, released) = oneshot::channel();
        pending.add_attempt(attempt(Duration::ZERO, released, is_finished.clone()));
        waiting.abort();
        assert!(waiting.await.expect_err("it is aborted").is_cancelled());
        release.send(()).expect("it goes on");
        wait_until_finished(&is_finished).await;
    })
    .await;
}
