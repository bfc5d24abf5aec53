//! Authenticated datagrams between nodes.
//!
//! A datagram consists of a version byte, a key number, a body and a truncated keyed BLAKE3 MAC over
//! all of these. The MAC does not prevent replay: the message in the body carries the sender's
//! incarnation and counter, which limit it.

use std::fmt;

use crate::constants::{DATAGRAM_MAX_BYTES, MAC_BYTES, PROTOCOL_VERSION};

/// The length of the version byte and the key number, in bytes.
const HEADER_BYTES: usize = 2;

/// The keys that authenticate datagrams and frames.
///
/// During a key rotation it holds both the new and the old key.
#[derive(Debug, Clone, Default)]
pub struct Keyring {
    keys: Vec<(u8, [u8; 32])>,
}

impl Keyring {
    /// Creates a keyring from `(number, secret)` pairs. The first key signs; all keys verify.
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

    fn key(&self, number: u8) -> Option<&[u8; 32]> {
        self.keys
            .iter()
            .find(|(candidate, _)| *candidate == number)
            .map(|(_, key)| key)
    }
}

/// Why a datagram or frame is dropped, or cannot be signed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DatagramError {
    /// It is longer than the datagram limit.
    TooLong,
    /// It is too short for the header and the MAC.
    Malformed,
    /// Its protocol version differs.
    OtherVersion,
    /// Its key number is not in the keyring.
    UnknownKey,
    /// Its MAC does not match.
    NotAuthentic,
    /// The keyring is empty.
    NoKey,
}

impl DatagramError {
    /// Returns the metric label under which dropped datagrams are counted.
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
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.label())
    }
}

impl std::error::Error for DatagramError {}

/// Returns a datagram of `body`, signed with the first key of the keyring.
///
/// # Errors
///
/// Returns an error if the keyring is empty or the datagram would exceed the size limit.
pub fn sign_datagram(keyring: &Keyring, body: &[u8]) -> Result<Vec<u8>, DatagramError> {
    let out = sign_frame(keyring, body)?;
    if out.len() > DATAGRAM_MAX_BYTES {
        return Err(DatagramError::TooLong);
    }
    Ok(out)
}

/// Returns a signed frame of `body` for TCP between nodes, without the datagram size limit.
///
/// # Errors
///
/// Returns an error if the keyring is empty.
pub fn sign_frame(keyring: &Keyring, body: &[u8]) -> Result<Vec<u8>, DatagramError> {
    let (number, key) = keyring.keys.first().ok_or(DatagramError::NoKey)?;
    let mut out = Vec::with_capacity(HEADER_BYTES + body.len() + MAC_BYTES);
    out.push(version_byte());
    out.push(*number);
    out.extend_from_slice(body);
    let mac = blake3::keyed_hash(key, &out);
    out.extend_from_slice(&mac.as_bytes()[..MAC_BYTES]);
    Ok(out)
}

/// Verifies a datagram and returns its body.
///
/// # Errors
///
/// Returns the reason why the datagram must be dropped.
pub fn verify_datagram<'a>(
    keyring: &Keyring,
    datagram: &'a [u8],
) -> Result<&'a [u8], DatagramError> {
    if datagram.len() > DATAGRAM_MAX_BYTES {
        return Err(DatagramError::TooLong);
    }
    verify_frame(keyring, datagram)
}

/// Verifies a frame made by [`sign_frame`] and returns its body.
///
/// # Errors
///
/// Returns the reason why the frame must be dropped.
pub fn verify_frame<'a>(keyring: &Keyring, datagram: &'a [u8]) -> Result<&'a [u8], DatagramError> {
    if datagram.len() < HEADER_BYTES + MAC_BYTES {
        return Err(DatagramError::Malformed);
    }
    if datagram[0] != version_byte() {
        return Err(DatagramError::OtherVersion);
    }
    let key = keyring.key(datagram[1]).ok_or(DatagramError::UnknownKey)?;
    let (signed, mac) = datagram.split_at(datagram.len() - MAC_BYTES);
    let full_mac = blake3::keyed_hash(key, signed);
    let mut received = [0; 32];
    received[..MAC_BYTES].copy_from_slice(mac);
    let mut expected = [0; 32];
    expected[..MAC_BYTES].copy_from_slice(&full_mac.as_bytes()[..MAC_BYTES]);
    // blake3::Hash compares in constant time.
    if blake3::Hash::from_bytes(received) != blake3::Hash::from_bytes(expected) {
        return Err(DatagramError::NotAuthentic);
    }
    Ok(&signed[HEADER_BYTES..])
}

fn version_byte() -> u8 {
    PROTOCOL_VERSION.to_le_bytes()[0]
}
