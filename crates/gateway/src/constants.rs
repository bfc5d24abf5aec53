//! Timeouts, intervals and size limits that several modules share.

use sardinepin_common::Millis;

/// The timeout for opening a TCP connection to an upstream.
pub(crate) const CONNECT_TIMEOUT: Millis = Millis(200);

/// How long sent bytes may stay unacknowledged before a connection is closed (`TCP_USER_TIMEOUT`).
pub(crate) const TCP_USER_TIMEOUT: Millis = Millis(1_500);

/// How long an idle connection is kept if the upstream sends no `keep-alive` timeout.
pub(crate) const IDLE_TIMEOUT_DEFAULT: Millis = Millis(2_000);

/// How much earlier than the upstream's timeout the gateway closes an idle connection.
pub(crate) const IDLE_MARGIN: Millis = Millis(700);

/// The largest non-streaming response body that is buffered, in bytes.
pub(crate) const PLAIN_BODY_MAX: usize = 256 * 1024;

/// The interval at which queued requests are checked.
pub(crate) const DISPATCH_INTERVAL: Millis = Millis(20);

/// The interval at which a waiting attempt checks whether its group has stalled.
pub(crate) const STALL_CHECK_INTERVAL: Millis = Millis(150);
