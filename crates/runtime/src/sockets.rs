//! Options of TCP sockets. A socket keeps its default if an option cannot be set.

use std::io;
use std::os::fd::AsFd;

use sardinepin_common::Millis;
use socket2::SockRef;

/// Makes a connection be reset when it is closed (`SO_LINGER` of zero).
///
/// What was sent over it may still be held up, by a network that is cut or an instance that is
/// paused. It is lost with a reset, while a connection that is closed in order delivers it later.
pub fn reset_on_close(socket: &impl AsFd) {
    let result = SockRef::from(socket).set_linger(Some(Millis::ZERO.duration()));
    log_failure("SO_LINGER", result);
}

/// Sets how long sent bytes may stay unacknowledged before the connection is closed
/// (`TCP_USER_TIMEOUT`).
pub fn set_user_timeout(socket: &impl AsFd, timeout: Millis) {
    let result = SockRef::from(socket).set_tcp_user_timeout(Some(timeout.duration()));
    log_failure("TCP_USER_TIMEOUT", result);
}

fn log_failure(option: &str, result: io::Result<()>) {
    if let Err(error) = result {
        log::debug!(event = "socket_option", option = option, error:% = error; "cannot set a socket option");
    }
}
