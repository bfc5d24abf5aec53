//! What every process needs of its runtime: pauses of the process, the connections of callers and to
//! upstreams, and socket options.

mod bounded_stream;
mod caller_stream;
mod pause_detector;
mod pauses;
mod sockets;

pub use bounded_stream::{BoundedStream, ByteAllowance};
pub use caller_stream::CallerStream;
pub use pause_detector::{PAUSE_MIN, PauseDetector};
pub use pauses::PauseWatch;
pub use sockets::{reset_on_close, set_user_timeout};
