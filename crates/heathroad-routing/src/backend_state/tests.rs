use super::*;

fn address(n: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], n))
}

fn set(list: &[u16]) -> BTreeSet<SocketAddr> {
    list.iter().map(|n| address(*n)).collect()
}

#[test]
fn a_backend_in_two_pools_is_one_backend() {
    let mut backends = BackendStates::default();
    backends.set_pool_backends("a", &set(&[1, 2]));
    backends.set_pool_backends("b", &set(&[2, 3]));
    assert_eq!(
        count_sharing_pools(&[set(&[1, 2]), set(&[2, 3]), set(&[4]), set(&[])]),
        [2, 2, 1, 1]
    );
    backends.record_announcement(address(2), 0, false);
    assert_eq!(
        [1, 2, 3].map(|n| backends.availability(address(n)) == Availability::Available),
        [true, false, true]
    );
}

#[test]
fn no_change_brings_back_a_backend_that_drains() {
    let mut backends = BackendStates::default();
    backends.set_pool_backends("a", &set(&[1, 2]));
    backends.record_announcement(address(2), 5, false);
    backends.set_pool_backends("a", &set(&[1]));
    backends.set_pool_backends("a", &set(&[1, 2]));
    assert_eq!(backends.availability(address(2)), Availability::Withdrawn);
    backends.record_announcement(address(2), 4, true);
    assert_eq!(
        backends.availability(address(2)),
        Availability::Withdrawn,
        "an announcement of an older process that comes late"
    );
    backends.record_announcement(address(2), 6, true);
    assert_eq!(
        backends.availability(address(2)),
        Availability::Available,
        "another process"
    );
}

#[test]
fn a_backend_that_no_pool_names_is_forgotten() {
    let mut backends = BackendStates::default();
    for n in 1..1000 {
        backends.set_pool_backends("a", &set(&[n]));
    }
    assert_eq!(backends.len(), 1);
    assert_eq!(backends.availability(address(5)), Availability::Withdrawn);
}
