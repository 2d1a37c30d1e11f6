//! The codec of messages between VMs and of the records that VMs store.
//!
//! Everything is encoded with postcard behind one byte that names the format's version, so that a
//! VM of another version is recognised instead of misread.

use std::fmt;

use greengage_control::Envelope;
use greengage_core::value;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// The version of the format.
pub const FORMAT_VERSION: u8 = 1;

/// Why bytes can't be decoded.
#[value(local)]
pub enum WireError {
    /// There are no bytes.
    Empty,
    /// The bytes are in another version of the format.
    UnsupportedVersion(u8),
    /// The bytes are damaged.
    Malformed(postcard::Error),
    /// There are bytes behind the end of the value.
    TrailingBytes(usize),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Empty => write!(f, "the message is empty: update the sender"),
            WireError::UnsupportedVersion(version) => write!(
                f,
                "the message has format version {version}, this VM reads {FORMAT_VERSION}: run the \
                 same version of greengageproxy on all VMs"
            ),
            WireError::Malformed(error) => write!(
                f,
                "the message can't be decoded ({error}): run the same version on all VMs"
            ),
            WireError::TrailingBytes(bytes) => write!(
                f,
                "the message has {bytes} bytes too many: run the same version on all VMs"
            ),
        }
    }
}

impl std::error::Error for WireError {}

/// Encodes a value.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let buffer = vec![FORMAT_VERSION];
    postcard::to_extend(value, buffer).expect("values of this workspace can be encoded")
}

/// Decodes a value.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    let (version, rest) = bytes.split_first().ok_or(WireError::Empty)?;
    if *version != FORMAT_VERSION {
        return Err(WireError::UnsupportedVersion(*version));
    }
    let (value, rest) = postcard::take_from_bytes(rest).map_err(WireError::Malformed)?;
    match rest.len() {
        0 => Ok(value),
        bytes => Err(WireError::TrailingBytes(bytes)),
    }
}

/// Encodes a message between VMs.
pub fn encode_envelope(envelope: &Envelope) -> Vec<u8> {
    encode(envelope)
}

/// Decodes a message between VMs.
pub fn decode_envelope(bytes: &[u8]) -> Result<Envelope, WireError> {
    decode(bytes)
}
