use super::*;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn addresses(ports: &[u16]) -> BTreeSet<SocketAddr> {
    ports.iter().map(|port| address(*port)).collect()
}

#[test]
fn a_backend_in_two_pools_has_one_state() {
    let mut backends = BackendStates::default();
    backends.set_pool_backends("a", &addresses(&[1, 2]));
    backends.set_pool_backends("b", &addresses(&[2, 3]));
    assert_eq!(
        count_sharing_pools(&[
            addresses(&[1, 2]),
            addresses(&[2, 3]),
            addresses(&[4]),
            addresses(&[])
        ]),
        [2, 2, 1, 1]
    );
    backends.record_announcement(address(2), 0, false);
    assert_eq!(
        [1, 2, 3].map(|n| backends.availability(address(n)) == Availability::Available),
        [true, false, true]
    );
}

#[test]
fn a_configuration_change_does_not_restore_a_draining_backend() {
    let mut backends = BackendStates::default();
    backends.set_pool_backends("a", &addresses(&[1, 2]));
    backends.record_announcement(address(2), 5, false);
    backends.set_pool_backends("a", &addresses(&[1]));
    backends.set_pool_backends("a", &addresses(&[1, 2]));
    assert_eq!(backends.availability(address(2)), Availability::Withdrawn);
    backends.record_announcement(address(2), 4, true);
    assert_eq!(
        backends.availability(address(2)),
        Availability::Withdrawn,
        "a late announcement by an earlier process"
    );
    backends.record_announcement(address(2), 6, true);
    assert_eq!(
        backends.availability(address(2)),
        Availability::Available,
        "a new process"
    );
}

#[test]
fn a_backend_that_no_pool_lists_is_removed() {
    let mut backends = BackendStates::default();
    for n in 1..1000 {
        backends.set_pool_backends("a", &addresses(&[n]));
    }
    assert_eq!(backends.len(), 1);
    assert_eq!(backends.availability(address(5)), Availability::Withdrawn);
}
