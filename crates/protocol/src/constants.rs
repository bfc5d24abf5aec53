//! Version and size limits of the protocol between processes.

/// The protocol version; a process refuses links and datagrams of another version.
pub const PROTOCOL_VERSION: u16 = 1;

/// The largest frame on a link, in bytes.
pub const FRAME_MAX_BYTES: usize = 4 * 1024 * 1024;

/// The largest datagram between nodes, in bytes, including header and MAC.
pub(crate) const DATAGRAM_MAX_BYTES: usize = 1_200;

/// The length of a message authentication code (MAC), in bytes.
pub(crate) const MAC_BYTES: usize = 16;
