//! The codec of messages between VMs and of the records that VMs store.
//!
//! A value is encoded as one byte with the format version, followed by its postcard encoding. The
//! version lets a VM reject a message or record of another version instead of misreading it.

use std::fmt;

use greengage_control::Envelope;
use greengage_core::value;
use serde::de::DeserializeOwned;
use serde::Serialize;

/// Version of the encoding, the first byte of each encoded value.
pub const FORMAT_VERSION: u8 = 1;

/// Why bytes can't be decoded.
#[value(local)]
pub enum WireError {
    /// The input is empty.
    Empty,
    /// The input has this format version, which isn't the expected one.
    UnsupportedVersion(u8),
    /// The bytes after the version aren't a valid encoding of the type.
    Malformed(postcard::Error),
    /// This many bytes follow the end of the value.
    TrailingBytes(usize),
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            WireError::Empty => write!(f, "the message is empty: update the sender"),
            WireError::UnsupportedVersion(version) => write!(
                f,
                "the message has format version {version}, which this VM can't read: run the same \
                 version of greengageproxy on all VMs"
            ),
            WireError::Malformed(error) => write!(
                f,
                "the message can't be decoded ({error}): run the same version on all VMs"
            ),
            WireError::TrailingBytes(bytes) => write!(
                f,
                "the message has {bytes} trailing bytes: run the same version on all VMs"
            ),
        }
    }
}

impl std::error::Error for WireError {}

/// Encodes a message or record.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    encode_as(FORMAT_VERSION, value)
}

/// The size of the encoded value.
pub fn encoded_size<T: Serialize>(value: &T) -> usize {
    let size = postcard::experimental::serialized_size(value);
    1 + size.expect("values of this workspace can be encoded")
}

/// Encodes a record whose type has a version of its own.
pub fn encode_as<T: Serialize>(version: u8, value: &T) -> Vec<u8> {
    postcard::to_extend(value, vec![version]).expect("values of this workspace can be encoded")
}

/// Decodes a message or record.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, WireError> {
    decode_as(FORMAT_VERSION, bytes)
}

/// Decodes a record whose type has a version of its own.
pub fn decode_as<T: DeserializeOwned>(expected: u8, bytes: &[u8]) -> Result<T, WireError> {
    let (version, rest) = bytes.split_first().ok_or(WireError::Empty)?;
    if *version != expected {
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
