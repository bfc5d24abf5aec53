//! Tests of the execution slots.

use std::future::Future;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, Waker};

use super::{Slot, Slots, URGENT_STREAK_MAX};

type Waiting<'a> = Pin<&'a mut dyn Future<Output = Option<Slot>>>;

/// Returns the slot if it has been granted.
fn poll(waiting: &mut Waiting<'_>) -> Option<Slot> {
    let mut context = Context::from_waker(Waker::noop());
    match waiting.as_mut().poll(&mut context) {
        Poll::Ready(slot) => slot,
        Poll::Pending => None,
    }
}

#[test]
fn overload_urgent_attempt_gets_the_next_slot() {
    let slots = Slots::new(1);
    let mut first: Waiting<'_> = pin!(slots.acquire(1));
    let slot = poll(&mut first).expect("a free slot");
    let mut other: Waiting<'_> = pin!(slots.acquire(1));
    let mut urgent: Waiting<'_> = pin!(slots.acquire(0));
    assert!(poll(&mut other).is_none());
    assert!(poll(&mut urgent).is_none());
    drop(slot);
    assert!(poll(&mut other).is_none());
    let slot = poll(&mut urgent).expect("the urgent attempt is next");
    drop(slot);
    assert!(poll(&mut other).is_some());
}

#[test]
fn overload_other_attempts_are_not_starved() {
    let slots = Slots::new(1);
    let mut first: Waiting<'_> = pin!(slots.acquire(1));
    let mut slot = poll(&mut first);
    let mut other: Waiting<'_> = pin!(slots.acquire(1));
    assert!(poll(&mut other).is_none());
    for _ in 0..URGENT_STREAK_MAX {
        let mut urgent: Waiting<'_> = pin!(slots.acquire(0));
        assert!(poll(&mut urgent).is_none());
        drop(slot);
        slot = poll(&mut urgent);
        assert!(slot.is_some());
    }
    let mut urgent: Waiting<'_> = pin!(slots.acquire(0));
    assert!(poll(&mut urgent).is_none());
    drop(slot);
    assert!(poll(&mut urgent).is_none());
    assert!(poll(&mut other).is_some());
}

#[test]
fn overload_slot_of_a_cancelled_waiter_goes_to_the_next() {
    let slots = Slots::new(1);
    let mut first: Waiting<'_> = pin!(slots.acquire(1));
    let slot = poll(&mut first);
    {
        let mut cancelled: Waiting<'_> = pin!(slots.acquire(0));
        assert!(poll(&mut cancelled).is_none());
        drop(slot);
        // The waiter has been granted the slot, and is dropped without polling for it.
    }
    let mut next: Waiting<'_> = pin!(slots.acquire(1));
    assert!(poll(&mut next).is_some());
}
