//! Unit tests of the HTTP frontend.

use super::*;
use crate::backend::{Limits, Pool};
use crate::engine::Engine;
use crate::engine::tests::settings;
use crate::metrics::{MetricsRegistry, PoolMetrics};
use std::cell::Cell;
use tokio::task::{LocalSet, spawn_local, yield_now};

/// Clients that connect at once are accepted in a turn or two, however many tasks run in each.
#[tokio::test]
async fn a_burst_of_connects_is_accepted_at_once() {
    const CALLERS: usize = 60;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let addr = listener.local_addr().expect("bound");
    let connect = |_| std::net::TcpStream::connect(addr).expect("the system takes it");
    let callers: Vec<_> = (0..CALLERS).map(connect).collect();
    let limit = Duration::from_secs(1);
    let (connections, may_duplicate) = (4, true);
    let limits = Limits {
        connections,
        connect_timeout: limit,
        idle_timeout: limit,
        drain_grace: limit,
        may_duplicate,
    };
    let counts = PoolMetrics::new(&Rc::new(MetricsRegistry::new()), "", &settings().site);
    let (watching, _) = watch::channel(false);
    let engine = Engine::new(
        settings(),
        1,
        Rc::new(Pool::new(limits)),
        counts,
        None,
        watching,
    );
    let router = Rc::new(Router::SinglePool(engine.expect("good settings")));
    let (max_connections, max_buffered_bytes, table) =
        (2 * CALLERS, 1 << 20, Rc::<ConnectionTable>::default());
    let front = HttpFrontend {
        router,
        settings: settings(),
        max_connections,
        max_buffered_bytes,
        table: table.clone(),
        budgets: None,
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
            while table.descriptors() < CALLERS {
                assert!(
                    turns.get() < 100_000,
                    "{} of {CALLERS} were taken",
                    table.descriptors()
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
