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
fn a_sequence_number_below_the_window_is_rejected() {
    let mut window = ReplayWindow::default();
    assert!(window.accept(1, 100));
    assert!(window.accept(1, 37));
    assert!(!window.accept(1, 36));
    assert!(window.accept(1, 1000));
    assert!(!window.accept(1, 100), "the number is below the window");
}

#[test]
fn a_new_incarnation_resets_the_window() {
    let mut window = ReplayWindow::default();
    assert!(window.accept(1, 100));
    assert!(window.accept(2, 1));
    assert!(!window.accept(2, 1));
}
