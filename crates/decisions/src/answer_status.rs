//! Which statuses of HTTP can be the final answer to a request.

/// What a request asks for besides the whole resource as it is now.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AskedAnswer {
    /// It asks for a range of the resource.
    pub range: bool,
    /// It asks for the resource only if that has changed.
    pub changed: bool,
}

impl AskedAnswer {
    /// Returns whether a response of this status can be the final answer to the request (RFC 9110, section 15).
    ///
    /// Another one is no answer, whatever its header fields say: nothing is known of what its sender did.
    #[must_use]
    pub fn is_answered_by(self, status: u16) -> bool {
        match status {
            // Interim responses, among them the change to another protocol, for which no request asks here: gateways pass on no `upgrade`.
            0..200 => false,
            206 => self.range,
            304 => self.changed,
            200..600 => true,
            _ => false,
        }
    }
}
