//! A connection to an upstream that fails once too many bytes have come without a part of a response.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// How many bytes an upstream may still send before the next part of its response is complete: the head, or
/// a piece of the body.
///
/// An HTTP client skips interim responses and the framing of chunks, of which an upstream in trouble may send
/// any number.
#[derive(Debug, Clone)]
pub struct ByteAllowance(Arc<AtomicUsize>);

impl Default for ByteAllowance {
    /// Returns an allowance without a bound.
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }
}

impl ByteAllowance {
    /// Allows `bytes` from now on.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    fn record(&self, bytes: usize) -> io::Result<()> {
        let allowed = self.0.load(Ordering::Relaxed);
        let Some(left) = allowed.checked_sub(bytes) else {
            return Err(io::Error::other(
                "too many bytes without a part of a response",
            ));
        };
        self.0.store(left, Ordering::Relaxed);
        Ok(())
    }
}

/// A TCP stream to an upstream, whose reads fail beyond an allowance.
#[derive(Debug)]
pub struct BoundedStream {
    stream: TcpStream,
    allowance: ByteAllowance,
}

impl BoundedStream {
    /// Wraps an open connection.
    #[must_use]
    pub fn new(stream: TcpStream, allowance: ByteAllowance) -> Self {
        Self { stream, allowance }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.allowance.record(buffer.filled().len() - before))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
