//! A priority semaphore that limits how many attempts run at the upstream at once.

#[cfg(test)]
mod tests;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::sync::oneshot;

/// How many urgent attempts in a row may overtake waiting attempts of other priorities.
const URGENT_STREAK_MAX: u32 = 4;

/// The execution slots of one upstream.
#[derive(Debug, Clone)]
pub(crate) struct Slots {
    state: Arc<Mutex<SlotsState>>,
}

#[derive(Debug)]
struct SlotsState {
    free: usize,
    urgent: VecDeque<oneshot::Sender<Slot>>,
    others: VecDeque<oneshot::Sender<Slot>>,
    urgent_streak: u32,
}

/// An execution slot, released on drop.
#[derive(Debug)]
pub(crate) struct Slot {
    slots: Slots,
}

impl Slots {
    /// Creates `count` free slots.
    pub(crate) fn new(count: usize) -> Self {
        let state = SlotsState {
            free: count,
            urgent: VecDeque::new(),
            others: VecDeque::new(),
            urgent_streak: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
        }
    }

    /// Waits for a slot; priority 0 is urgent. Returns `None` only if the slots have been dropped.
    pub(crate) async fn acquire(&self, priority: u8) -> Option<Slot> {
        let waiting = {
            let mut state = self.state();
            if state.free > 0 {
                state.free -= 1;
                return Some(self.slot());
            }
            let (sender, receiver) = oneshot::channel();
            match priority {
                0 => state.urgent.push_back(sender),
                _ => state.others.push_back(sender),
            }
            receiver
        };
        waiting.await.ok()
    }

    fn slot(&self) -> Slot {
        Slot {
            slots: self.clone(),
        }
    }

    fn state(&self) -> MutexGuard<'_, SlotsState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SlotsState {
    /// Returns the waiter that gets the next free slot; skips waiters that have been cancelled.
    fn pop_next(&mut self) -> Option<oneshot::Sender<Slot>> {
        self.urgent.retain(|waiting| !waiting.is_closed());
        self.others.retain(|waiting| !waiting.is_closed());
        let urgent_first = self.urgent_streak < URGENT_STREAK_MAX || self.others.is_empty();
        if urgent_first && let Some(waiting) = self.urgent.pop_front() {
            self.urgent_streak += 1;
            return Some(waiting);
        }
        self.urgent_streak = 0;
        self.others.pop_front()
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let next = {
            let mut state = self.slots.state();
            let next = state.pop_next();
            if next.is_none() {
                state.free += 1;
            }
            next
        };
        // If the receiver is dropped meanwhile, so is the new slot, which then goes to the next
        // waiter.
        if let Some(waiting) = next {
            let _ = waiting.send(self.slots.slot());
        }
    }
}
