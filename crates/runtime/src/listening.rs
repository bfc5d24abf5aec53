//! Listening at an address, and whether something listens at one.

use std::io::{self, ErrorKind};
use std::net::SocketAddr;

use sardinepin_common::{Clock, Millis};
use tokio::net::{TcpListener, TcpStream};

/// How long a process waits for an address at which it has to listen. An earlier process, or a connection that has the address as its
/// source, may still hold it; an address that is held for longer is a mistake of the deployment.
const BIND_TIMEOUT: Millis = Millis(60_000);

/// The interval at which binding is tried.
const BIND_INTERVAL: Millis = Millis(100);

/// The interval at which the log says what a process waits for.
const BIND_LOG_INTERVAL: Millis = Millis(5_000);

/// How long a process that crashed may still accept connections: the system closes its sockets one after the other.
const CLOSE_DELAY: Millis = Millis(40);

/// What became of a connection.
#[derive(Debug)]
pub enum Connecting {
    /// It is open.
    Open(TcpStream),
    /// The host responds, but nothing listens at the address.
    Refused,
    /// It was not made in time, or failed otherwise.
    Failed,
}

impl Connecting {
    /// Opens a connection within `timeout`.
    pub async fn to(address: SocketAddr, timeout: Millis) -> Self {
        let connecting = tokio::time::timeout(timeout.duration(), TcpStream::connect(address));
        match connecting.await {
            Ok(Ok(stream)) => Self::Open(stream),
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => Self::Refused,
            _ => Self::Failed,
        }
    }

    /// Opens a connection like [`Self::to`] after a process at the address that has just crashed has closed its sockets.
    ///
    /// A connection that is made at once may still be accepted for a process that ends.
    pub async fn after_close(address: SocketAddr, timeout: Millis) -> Self {
        tokio::time::sleep(CLOSE_DELAY.duration()).await;
        Self::to(address, timeout).await
    }
}

/// Listens at an address, as soon as it is free.
///
/// # Errors
///
/// Returns the last error if the address is still in use, or not there, after a minute, and any other error at once.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    bind_when_free(address, || TcpListener::bind(address)).await
}

/// Calls `bind` until the address is free.
///
/// # Errors
///
/// Returns errors like [`listen`].
pub async fn bind_when_free<T, F>(address: SocketAddr, mut bind: impl FnMut() -> F) -> io::Result<T>
where
    F: Future<Output = io::Result<T>>,
{
    let clock = Clock::start();
    let mut logged_at = None;
    loop {
        let error = match bind().await {
            Ok(bound) => {
                if logged_at.is_some() {
                    log::info!(event = "address_free", address:% = address, after_ms = clock.now().0; "the address is free");
                }
                return Ok(bound);
            }
            Err(error) => error,
        };
        let now = clock.now();
        if !may_become_free(&error) || now >= BIND_TIMEOUT {
            return Err(error);
        }
        if logged_at.is_none_or(|at| now.since(at) >= BIND_LOG_INTERVAL) {
            logged_at = Some(now);
            log::warn!(event = "address_in_use", address:% = address, error:% = error; "cannot listen yet; waiting for the address");
        }
        tokio::time::sleep(BIND_INTERVAL.duration()).await;
    }
}

/// Returns whether binding may succeed later: the address is in use, or its interface is not up yet.
fn may_become_free(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        ErrorKind::AddrInUse | ErrorKind::AddrNotAvailable
    )
}
