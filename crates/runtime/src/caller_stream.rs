//! The connection of a caller, whose end is noticed even while bytes are left to read.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;

use sardinepin_common::Millis;

use crate::sockets::set_user_timeout;

/// A shared TCP stream: one task reads and writes, another waits for the caller to leave.
///
/// An HTTP server does not look for the end of a connection while a further request on it is unread.
#[derive(Debug, Clone)]
pub struct CallerStream(Arc<TcpStream>);

impl CallerStream {
    /// Wraps an accepted connection.
    #[must_use]
    pub fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }

    /// Ends the connection if its caller neither reads nor acknowledges anything for so long.
    ///
    /// The system does not tell a caller that lives and reads nothing from one that is gone.
    pub fn allow_silence(&self, time: Millis) {
        set_user_timeout(&*self.0, time);
    }

    /// Waits until the caller has closed its side of the connection.
    pub async fn closed_by_caller(&self) {
        // This readiness comes with the end of the stream, but not with bytes to read. An error means
        // that the runtime shuts down.
        let _ = self.0.ready(Interest::PRIORITY).await;
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(context))?;
            match self.0.try_read(buffer.initialize_unfilled()) {
                Ok(count) => {
                    buffer.advance(count);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        poll_write_with(&self.0, context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        poll_write_with(&self.0, context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = socket2::SockRef::from(&*self.0);
        Poll::Ready(socket.shutdown(std::net::Shutdown::Write))
    }
}

fn poll_write_with(
    stream: &TcpStream,
    context: &mut Context<'_>,
    write: impl Fn(&TcpStream) -> io::Result<usize>,
) -> Poll<io::Result<usize>> {
    loop {
        ready!(stream.poll_write_ready(context))?;
        match write(stream) {
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            result => return Poll::Ready(result),
        }
    }
}
