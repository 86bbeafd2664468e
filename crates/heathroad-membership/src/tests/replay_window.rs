//! Unit tests of the replay window.

use super::*;

#[test]
fn a_sequence_number_is_accepted_once() {
    let mut window = ReplayWindow::default();
    for sequence in [5, 3, 9, 4] {
        assert!(window.accept(1, sequence), "{sequence}");
    }
    for sequence in [3, 4, 5, 9] {
        assert!(!window.accept(1, sequence), "{sequence}");
    }
}

#[test]
fn a_sequence_number_too_far_behind_is_rejected() {
    let mut window = ReplayWindow::default();
    assert!(window.accept(1, 100));
    assert!(window.accept(1, 37));
    assert!(!window.accept(1, 36));
    assert!(window.accept(1, 1000));
    assert!(!window.accept(1, 100), "all before it are forgotten");
}

#[test]
fn a_new_incarnation_begins_anew() {
    let mut window = ReplayWindow::default();
    assert!(window.accept(1, 100));
    assert!(window.accept(2, 1));
    assert!(!window.accept(2, 1));
}
