//! Limits of the inner protocol.

/// The version of the inner protocol; links between different versions are refused.
pub const PROTOCOL_VERSION: u16 = 1;

/// The longest frame on a link, in bytes.
pub const FRAME_MAX_BYTES: usize = 4 * 1024 * 1024;

/// The longest datagram between nodes, in bytes.
pub(crate) const DATAGRAM_MAX_BYTES: usize = 1_200;

/// The length of the code that authenticates a datagram, in bytes.
pub(crate) const MAC_BYTES: usize = 16;
