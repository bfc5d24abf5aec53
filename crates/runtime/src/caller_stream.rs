//! The connection of a caller, whose end is noticed even while bytes are left to read.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

use sardinepin_common::{Clock, Millis};

use crate::activity::Activity;
use crate::sockets::{reset_on_close, set_user_timeout};

/// A shared TCP stream: one task reads and writes, another waits for the caller to leave.
///
/// An HTTP server does not look for the end of a connection while a further request on it is unread.
#[derive(Debug)]
pub struct CallerStream {
    shared: Arc<Shared>,
    /// When the write that waits for the caller to read is given up; `None` while none waits.
    stalls_at: Option<Pin<Box<Sleep>>>,
}

#[derive(Debug)]
struct Shared {
    stream: TcpStream,
    clock: Clock,
    accepted_at: Millis,
    activity: Activity,
    /// How long the caller may be silent, in milliseconds; 0 while that is not bounded.
    silence_ms: AtomicU64,
}

impl Clone for CallerStream {
    fn clone(&self) -> Self {
        Self {
            shared: Arc::clone(&self.shared),
            stalls_at: None,
        }
    }
}

impl CallerStream {
    /// Wraps an accepted connection.
    #[must_use]
    pub fn new(stream: TcpStream, clock: Clock) -> Self {
        Self {
            shared: Arc::new(Shared {
                stream,
                clock,
                accepted_at: clock.now(),
                activity: Activity::new(clock),
                silence_ms: AtomicU64::new(0),
            }),
            stalls_at: None,
        }
    }

    /// Returns whether the connection is in use.
    #[must_use]
    pub fn activity(&self) -> &Activity {
        &self.shared.activity
    }

    /// Ends the connection if its caller neither reads nor acknowledges anything for so long.
    ///
    /// The system does not tell a caller that lives and reads nothing from one that is gone. It may also count all the time since such a caller
    /// read nothing for the first time, so that it is told the age of the connection on top; what waits to be written ends after `time`.
    pub fn allow_silence(&self, time: Millis) {
        let shared = &self.shared;
        shared.silence_ms.store(time.0, Ordering::Relaxed);
        let age = shared.clock.now().since(shared.accepted_at);
        set_user_timeout(&shared.stream, age + time);
    }

    /// Makes the connection be reset when it is closed, so that its caller can tell that an answer is not whole.
    pub fn reset_on_close(&self) {
        reset_on_close(&self.shared.stream);
    }

    /// Waits until the caller has closed its side of the connection.
    pub async fn closed_by_caller(&self) {
        // This readiness comes with the end of the stream, but not with bytes to read. An error means
        // that the runtime shuts down.
        let _ = self.shared.stream.ready(Interest::PRIORITY).await;
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            let stream = &self.shared.stream;
            ready!(stream.poll_read_ready(context))?;
            match stream.try_read(buffer.initialize_unfilled()) {
                Ok(count) => {
                    self.shared.activity.record();
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
        self.get_mut()
            .poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.get_mut()
            .poll_write_with(context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        let socket = socket2::SockRef::from(&self.shared.stream);
        Poll::Ready(socket.shutdown(std::net::Shutdown::Write))
    }
}

impl CallerStream {
    fn poll_write_with(
        &mut self,
        context: &mut Context<'_>,
        write: impl Fn(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        let stream = &self.shared.stream;
        while stream.poll_write_ready(context)?.is_ready() {
            match write(stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => {
                    self.shared.activity.record();
                    self.stalls_at = None;
                    return Poll::Ready(result);
                }
            }
        }
        ready!(self.poll_stalled(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Waits until a write has waited for as long as the caller may be silent.
    fn poll_stalled(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let silence = Millis(self.shared.silence_ms.load(Ordering::Relaxed));
        if silence == Millis::ZERO {
            return Poll::Pending;
        }
        let sleep = || Box::pin(tokio::time::sleep(silence.duration()));
        self.stalls_at
            .get_or_insert_with(sleep)
            .as_mut()
            .poll(context)
    }
}
