//! What every process needs of its runtime: pauses of the process, the connections of callers and to
//! upstreams, and socket options.

mod activity;
mod bounded_stream;
mod caller_stream;
mod guarded_body;
mod http_connection;
mod listening;
mod pause_detector;
mod pauses;
mod sockets;

pub use activity::{Activity, OpenExchange};
pub use caller_stream::CallerStream;
pub use guarded_body::GuardedBody;
pub use http_connection::{HttpConnection, HttpPool, SendError};
pub use listening::{Connecting, bind_when_free, listen};
pub use pause_detector::{PAUSE_MIN, PauseDetector};
pub use pauses::PauseWatch;
pub use sockets::{reset_on_close, set_user_timeout};
