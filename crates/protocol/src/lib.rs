//! Messages between the processes of the system, their codec and the closed list of error kinds.

mod codec;
mod constants;
mod datagram;
mod digest;
mod errors;
mod link;
mod load;

pub use codec::{CodecError, FrameReader, FrameWriter, decode, encode, framed, frames};
pub use constants::{FRAME_LIMIT, PROTOCOL_VERSION};
pub use datagram::{DatagramError, Keyring, open, open_frame, seal, seal_frame};
pub use digest::Digest;
pub use errors::{Answer, ErrorKind, Outcome, RetryAdvice};
pub use link::{
    Attempt, CallBody, ClaimKey, ClaimState, Field, Hello, Role, Settled, ToAgent, ToEntry,
};
pub use load::{Load, UpstreamState};
