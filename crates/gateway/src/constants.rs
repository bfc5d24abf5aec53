//! Times and sizes that several modules share.

use sardinepin_common::Millis;

/// The longest time over opening a connection to an upstream.
pub(crate) const CONNECT_TIMEOUT: Millis = Millis(200);

/// How long sent bytes may stay unacknowledged before a connection is given up.
pub(crate) const TCP_USER_TIMEOUT: Millis = Millis(1_500);

/// How long an idle connection is kept if the upstream names no time.
pub(crate) const IDLE_TIMEOUT_DEFAULT: Millis = Millis(2_000);

/// How much earlier than the upstream a gateway closes an idle connection.
pub(crate) const IDLE_MARGIN: Millis = Millis(700);

/// The read buffer of a connection to an upstream, in bytes.
pub(crate) const READ_BUFFER_BYTES: usize = 16 * 1024;

/// The largest plain answer that is held until it is whole, in bytes.
pub(crate) const PLAIN_BODY_MAX: usize = 256 * 1024;

/// The time between two looks at what waits or has gone stale.
pub(crate) const DISPATCH_INTERVAL: Millis = Millis(20);

/// The time between two looks at whether a silent upstream should be left.
pub(crate) const STALL_CHECK_INTERVAL: Millis = Millis(150);
