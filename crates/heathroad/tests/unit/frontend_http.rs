//! Unit tests of requests over HTTP.

use super::*;
use crate::backend::{Limits, Pool};
use crate::engine::Engine;
use crate::engine::tests::facts;
use crate::metrics::{Counts, Meter};
use std::cell::Cell;
use tokio::task::{LocalSet, spawn_local, yield_now};

/// Callers who come at once are taken in a turn or two, however many others have something to do in
/// each.
#[tokio::test]
async fn a_burst_of_connects_is_taken_at_once() {
    const CALLERS: usize = 60;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    let connect = |_| std::net::TcpStream::connect(addr).expect("the system takes it");
    let callers: Vec<_> = (0..CALLERS).map(connect).collect();
    let limit = Duration::from_secs(1);
    let (connections, may_duplicate) = (4, true);
    let limits = Limits {
        connections,
        connect: limit,
        idle: limit,
        drain_grace: limit,
        may_duplicate,
    };
    let counts = Counts::new(&Rc::new(Meter::new()), "", &facts().site);
    let (watching, _) = watch::channel(false);
    let engine = Engine::new(
        facts(),
        1,
        Rc::new(Pool::new(limits)),
        counts,
        None,
        watching,
    );
    let router = Rc::new(Router::SinglePool(engine.expect("good settings")));
    let (connections, bodies, room) = (2 * CALLERS, 1 << 20, Rc::<Room>::default());
    let front = Front {
        router,
        facts: facts(),
        connections,
        bodies,
        room: room.clone(),
        books: None,
    };
    let (_stop, stopped) = watch::channel(false);
    let turns = Rc::new(Cell::new(0));
    LocalSet::new()
        .run_until(async {
            let serving = spawn_local(Rc::new(front).serve(listener, stopped));
            let count = turns.clone();
            let others = spawn_local(async move {
                loop {
                    count.set(count.get() + 1);
                    yield_now().await;
                }
            });
            while room.present() < CALLERS {
                assert!(
                    turns.get() < 100_000,
                    "{} of {CALLERS} were taken",
                    room.present()
                );
                yield_now().await;
            }
            serving.abort();
            others.abort();
        })
        .await;
    drop(callers);
    assert!(
        turns.get() < CALLERS / 2,
        "{} turns for {CALLERS} callers",
        turns.get()
    );
}
