//! Length-delimited frames of postcard over TCP.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::constants::FRAME_MAX_BYTES;

/// The reading half of a link.
pub type FrameReader =
    tokio_util::codec::FramedRead<tokio::net::tcp::OwnedReadHalf, LengthDelimitedCodec>;

/// The writing half of a link.
pub type FrameWriter =
    tokio_util::codec::FramedWrite<tokio::net::tcp::OwnedWriteHalf, LengthDelimitedCodec>;

/// A frame that cannot be written or read.
#[derive(Debug)]
pub struct CodecError(postcard::Error);

impl std::fmt::Display for CodecError {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(out, "malformed frame: {}", self.0)
    }
}

impl std::error::Error for CodecError {}

/// Encodes one message.
///
/// # Errors
///
/// Returns an error if the message holds a value that the codec cannot write.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, CodecError> {
    postcard::to_stdvec(message)
        .map(Bytes::from)
        .map_err(CodecError)
}

/// Decodes one message.
///
/// # Errors
///
/// Returns an error if the bytes are no message of this type, or more than one.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        Ok(_) => Err(CodecError(postcard::Error::DeserializeBadEncoding)),
        Err(error) => Err(CodecError(error)),
    }
}

/// Returns the codec of the links: frames of at most [`FRAME_MAX_BYTES`] bytes behind their length.
#[must_use]
pub fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_MAX_BYTES)
        .new_codec()
}

/// Puts frames on a byte stream.
pub fn framed<S: AsyncRead + AsyncWrite>(stream: S) -> Framed<S, LengthDelimitedCodec> {
    Framed::new(stream, frame_codec())
}
