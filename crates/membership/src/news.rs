//! News of nodes that is still to be sent on.

use std::cmp::Reverse;

/// Names with the number of times that their statements are still to be sent.
#[derive(Debug, Default)]
pub(crate) struct News {
    left: Vec<(u32, String)>,
}

impl News {
    /// Sends the statement about `name` on `times` times, afresh.
    pub(crate) fn add(&mut self, name: &str, times: u32) {
        self.left.retain(|(_, held)| held != name);
        self.left.push((times, name.to_owned()));
    }

    /// Returns the names that go into the next message, those sent least often first.
    pub(crate) fn take(&mut self, count: usize) -> Vec<String> {
        self.left.sort_by_key(|(left, _)| Reverse(*left));
        let mut names = Vec::new();
        for (left, name) in self.left.iter_mut().take(count) {
            *left -= 1;
            names.push(name.clone());
        }
        self.left.retain(|(left, _)| *left > 0);
        names
    }
}
