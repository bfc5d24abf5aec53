//! Each counter passes once, and the window moves on.

use super::{SPAN, Window};

#[test]
fn counters_pass_once_in_any_order_within_the_window() {
    let mut window = Window::default();
    for counter in [1, 3, 2, 40, 5, SPAN + 40] {
        assert!(window.take(counter), "{counter}");
        assert!(!window.take(counter), "{counter} again");
    }
    assert!(!window.take(40), "it was seen, and is out of the window");
    assert!(!window.take(7), "too old to tell");
    assert!(window.take(41), "the oldest within the window");
    assert!(!window.take(0), "no counter");
}
