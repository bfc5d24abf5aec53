//! Tests of the replay window.

use super::{ReplayWindow, WINDOW_SIZE};

#[test]
fn each_counter_is_accepted_once_in_any_order_within_the_window() {
    let mut window = ReplayWindow::default();
    for counter in [1, 3, 2, 40, 5, WINDOW_SIZE + 40] {
        assert!(window.accept(counter), "counter {counter}");
        assert!(!window.accept(counter), "counter {counter} repeated");
    }
    assert!(!window.accept(40), "seen before and outside the window");
    assert!(!window.accept(7), "not seen, but outside the window");
    assert!(window.accept(41), "oldest counter inside the window");
    assert!(!window.accept(0), "counters start at 1");
}
