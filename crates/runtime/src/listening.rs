//! Whether something listens at an address.

use std::io::ErrorKind;
use std::net::SocketAddr;

use sardinepin_common::Millis;
use tokio::net::TcpStream;

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
