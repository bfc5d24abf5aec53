//! Postcard encoding of messages and length-delimited framing over TCP.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::constants::FRAME_MAX_BYTES;

/// The read half of a link; yields one undecoded frame at a time.
pub type FrameReader =
    tokio_util::codec::FramedRead<tokio::net::tcp::OwnedReadHalf, LengthDelimitedCodec>;

/// The write half of a link; takes one encoded frame at a time.
pub type FrameWriter =
    tokio_util::codec::FramedWrite<tokio::net::tcp::OwnedWriteHalf, LengthDelimitedCodec>;

/// A message that cannot be encoded or decoded.
#[derive(Debug)]
pub struct CodecError(postcard::Error);

impl std::fmt::Display for CodecError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "malformed message: {}", self.0)
    }
}

impl std::error::Error for CodecError {}

/// Encodes one message with postcard.
///
/// # Errors
///
/// Returns an error if the message contains a value that postcard cannot represent.
pub fn encode<T: Serialize>(message: &T) -> Result<Bytes, CodecError> {
    postcard::to_stdvec(message)
        .map(Bytes::from)
        .map_err(CodecError)
}

/// Decodes exactly one message.
///
/// # Errors
///
/// Returns an error if the bytes are not a valid message of this type or bytes remain after it.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, CodecError> {
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        Ok(_) => Err(CodecError(postcard::Error::DeserializeBadEncoding)),
        Err(error) => Err(CodecError(error)),
    }
}

/// Returns the link codec: length-prefixed frames of at most [`FRAME_MAX_BYTES`] bytes.
#[must_use]
pub fn frame_codec() -> LengthDelimitedCodec {
    LengthDelimitedCodec::builder()
        .max_frame_length(FRAME_MAX_BYTES)
        .new_codec()
}

/// Wraps a byte stream in the link codec.
pub fn framed<S: AsyncRead + AsyncWrite>(stream: S) -> Framed<S, LengthDelimitedCodec> {
    Framed::new(stream, frame_codec())
}
