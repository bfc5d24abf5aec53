//! A sliding window of message counters that rejects replayed datagrams.

#[cfg(test)]
mod tests;

/// Number of counters that the window spans.
const WINDOW_SIZE: u64 = 64;

/// The most recent message counters seen from one incarnation of a node.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ReplayWindow {
    highest: u64,
    /// Bit `n` is set if the counter `highest - n` was seen.
    seen: u64,
}

impl ReplayWindow {
    /// Records a counter, which starts at 1, and returns whether it is new.
    ///
    /// A counter that is older than the window counts as a replay, since it cannot be checked.
    pub(crate) fn accept(&mut self, counter: u64) -> bool {
        if counter > self.highest {
            let shift = counter - self.highest;
            self.seen = if shift < WINDOW_SIZE {
                self.seen << shift
            } else {
                0
            };
            self.seen |= 1;
            self.highest = counter;
            return true;
        }
        let age = self.highest - counter;
        if counter == 0 || age >= WINDOW_SIZE {
            return false;
        }
        let bit = 1 << age;
        let new = self.seen & bit == 0;
        self.seen |= bit;
        new
    }
}
