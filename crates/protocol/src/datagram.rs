//! Authenticated datagrams between nodes.
//!
//! A datagram is a version byte, a key number, a body and a keyed BLAKE3 code over all of them. The
//! body's own message bears the sender's incarnation and counter, which bound replay.

use std::fmt;

use crate::constants::{DATAGRAM_MAX_BYTES, MAC_BYTES, PROTOCOL_VERSION};

/// The number of bytes before the body.
const HEADER_BYTES: usize = 2;

/// The keys that authenticate datagrams; two at a time, so that they can be rotated.
#[derive(Debug, Clone, Default)]
pub struct Keyring {
    keys: Vec<(u8, [u8; 32])>,
}

impl Keyring {
    /// Makes a keyring of `(number, secret)` pairs; the first seals, all open.
    #[must_use]
    pub fn new(secrets: &[(u8, &str)]) -> Self {
        let keys = secrets
            .iter()
            .map(|(number, secret)| {
                (
                    *number,
                    blake3::derive_key("sardinepin datagram key", secret.as_bytes()),
                )
            })
            .collect();
        Self { keys }
    }

    fn secret(&self, number: u8) -> Option<&[u8; 32]> {
        self.keys
            .iter()
            .find(|(at, _)| *at == number)
            .map(|(_, key)| key)
    }
}

/// A datagram that is dropped, with the label under which it is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DatagramError {
    /// It is longer than a datagram may be.
    TooLong,
    /// It is too short to be a datagram of this protocol.
    Malformed,
    /// It is of another version of the protocol.
    OtherVersion,
    /// Its key number is unknown here.
    UnknownKey,
    /// Its code does not match.
    NotAuthentic,
    /// The keyring is empty.
    NoKey,
}

impl DatagramError {
    /// Returns the label under which the datagram is counted.
    #[must_use]
    pub fn label(self) -> &'static str {
        match self {
            Self::TooLong => "too_long",
            Self::Malformed => "malformed",
            Self::OtherVersion => "other_version",
            Self::UnknownKey => "unknown_key",
            Self::NotAuthentic => "not_authentic",
            Self::NoKey => "no_key",
        }
    }
}

impl fmt::Display for DatagramError {
    fn fmt(&self, out: &mut fmt::Formatter<'_>) -> fmt::Result {
        out.write_str(self.label())
    }
}

impl std::error::Error for DatagramError {}

/// Seals `body` with the first key of the ring.
///
/// # Errors
///
/// Returns an error if the ring is empty or the datagram would be too long.
pub fn sign_datagram(ring: &Keyring, body: &[u8]) -> Result<Vec<u8>, DatagramError> {
    let out = sign_frame(ring, body)?;
    if out.len() > DATAGRAM_MAX_BYTES {
        return Err(DatagramError::TooLong);
    }
    Ok(out)
}

/// Seals `body`, of any length, as a frame between nodes over TCP.
///
/// # Errors
///
/// Returns an error if the ring is empty.
pub fn sign_frame(ring: &Keyring, body: &[u8]) -> Result<Vec<u8>, DatagramError> {
    let (number, key) = ring.keys.first().ok_or(DatagramError::NoKey)?;
    let mut out = Vec::with_capacity(HEADER_BYTES + body.len() + MAC_BYTES);
    out.push(version_byte());
    out.push(*number);
    out.extend_from_slice(body);
    let code = blake3::keyed_hash(key, &out);
    out.extend_from_slice(&code.as_bytes()[..MAC_BYTES]);
    Ok(out)
}

/// Checks a datagram and returns its body.
///
/// # Errors
///
/// Returns an error that says why the datagram is to be dropped.
pub fn verify_datagram<'a>(ring: &Keyring, datagram: &'a [u8]) -> Result<&'a [u8], DatagramError> {
    if datagram.len() > DATAGRAM_MAX_BYTES {
        return Err(DatagramError::TooLong);
    }
    verify_frame(ring, datagram)
}

/// Checks a frame of [`sign_frame`] and returns its body.
///
/// # Errors
///
/// Returns an error that says why the frame is to be dropped.
pub fn verify_frame<'a>(ring: &Keyring, datagram: &'a [u8]) -> Result<&'a [u8], DatagramError> {
    if datagram.len() < HEADER_BYTES + MAC_BYTES {
        return Err(DatagramError::Malformed);
    }
    if datagram[0] != version_byte() {
        return Err(DatagramError::OtherVersion);
    }
    let key = ring.secret(datagram[1]).ok_or(DatagramError::UnknownKey)?;
    let (signed, code) = datagram.split_at(datagram.len() - MAC_BYTES);
    let expected = blake3::keyed_hash(key, signed);
    let mut given = [0; 32];
    given[..MAC_BYTES].copy_from_slice(code);
    let mut wanted = [0; 32];
    wanted[..MAC_BYTES].copy_from_slice(&expected.as_bytes()[..MAC_BYTES]);
    // The comparison of blake3::Hash takes the same time whatever the bytes.
    if blake3::Hash::from_bytes(given) != blake3::Hash::from_bytes(wanted) {
        return Err(DatagramError::NotAuthentic);
    }
    Ok(&signed[HEADER_BYTES..])
}

fn version_byte() -> u8 {
    PROTOCOL_VERSION.to_le_bytes()[0]
}
