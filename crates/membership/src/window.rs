//! The window of counters that bounds replay.

#[cfg(test)]
mod tests;

/// The number of counters that the window spans.
const SPAN: u64 = 64;

/// Which of the latest counters of one incarnation have been seen.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Window {
    highest: u64,
    seen: u64,
}

impl Window {
    /// Takes a counter, from 1, and returns whether it is new.
    ///
    /// One that is too old to be told from a replay counts as a replay.
    pub(crate) fn take(&mut self, counter: u64) -> bool {
        if counter > self.highest {
            let shift = counter - self.highest;
            self.seen = if shift < SPAN { self.seen << shift } else { 0 };
            self.seen |= 1;
            self.highest = counter;
            return true;
        }
        let back = self.highest - counter;
        if counter == 0 || back >= SPAN {
            return false;
        }
        let bit = 1 << back;
        let new = self.seen & bit == 0;
        self.seen |= bit;
        new
    }
}
