//! What every process needs of its runtime: pauses of the process, the connections of callers and
//! socket options.

mod caller_stream;
mod pause_detector;
mod pauses;
mod sockets;

pub use caller_stream::CallerStream;
pub use pause_detector::{PAUSE_MIN, PauseDetector};
pub use pauses::PauseWatch;
pub use sockets::{reset_on_close, set_user_timeout};
