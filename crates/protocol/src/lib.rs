//! Messages between the processes of the system, their encoding and authentication, and the fixed
//! set of error kinds.

mod codec;
mod constants;
mod datagram;
mod digest;
mod errors;
mod group_load;
mod link;
mod load;
mod permits;
mod request_rate;

pub use codec::{CodecError, FrameReader, FrameWriter, decode, encode, frame_codec, framed};
pub use constants::{FRAME_MAX_BYTES, PROTOCOL_VERSION};
pub use datagram::{
    DatagramError, Keyring, sign_datagram, sign_frame, verify_datagram, verify_frame,
};
pub use digest::Digest;
pub use errors::{ErrorKind, ErrorResponse, Outcome, RetryAdvice};
pub use group_load::{
    AdmissionLevel, GroupDemand, GroupLoad, GroupSample, PRIORITIES, RankLoad, SHARE_FULL,
};
pub use link::{
    Attempt, ClaimKey, ClaimState, HeaderField, Hello, Role, SettledState, ToAgent, ToEntry,
    UpstreamRequest,
};
pub use load::{Load, UpstreamState};
pub use permits::{ColdReport, LimitReport, PermitGrant, PermitRequest, UpstreamLimit};
pub use request_rate::RequestRate;
