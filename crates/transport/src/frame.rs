//! Frames on a stream: a length prefix of four bytes, big-endian, and the message.
//!
//! The first frame of a stream is a header with the class and the name of the sending VM.

use std::fmt;

use greengage_core::VmName;

use crate::queue::Class;

/// Maximum length of a message.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Memory reserved up front for a message, so that a length prefix alone cannot allocate much.
const MAX_RESERVE_BYTES: usize = 1 << 20;

const LENGTH_PREFIX_BYTES: usize = 4;

/// Protocol violation after which a stream cannot be read further.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// The length prefix exceeds [`MAX_MESSAGE_BYTES`]; holds that length.
    TooLong(usize),
    /// The header has an unknown class; holds its code.
    UnknownClass(u8),
    /// The header has no valid VM name.
    InvalidVm,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::TooLong(bytes) => write!(
                f,
                "a frame has {bytes} bytes, the limit is {MAX_MESSAGE_BYTES}: split the message"
            ),
            FrameError::UnknownClass(class) => write!(
                f,
                "message class {class} does not exist: run the same version on all VMs"
            ),
            FrameError::InvalidVm => write!(
                f,
                "a stream starts without a VM name: run the same version on all VMs"
            ),
        }
    }
}

impl std::error::Error for FrameError {}

/// Encodes the length of `message`, which has at most [`MAX_MESSAGE_BYTES`].
pub(crate) fn length_prefix(message: &[u8]) -> [u8; LENGTH_PREFIX_BYTES] {
    (message.len() as u32).to_be_bytes()
}

/// Encodes a stream header, without its length prefix.
pub(crate) fn encode_header(class: Class, vm: &VmName) -> Vec<u8> {
    let mut bytes = vec![class as u8];
    bytes.extend_from_slice(vm.as_str().as_bytes());
    bytes
}

/// Decodes a header written by `encode_header`.
pub(crate) fn decode_header(bytes: &[u8]) -> Result<(Class, VmName), FrameError> {
    let (&class, name) = bytes.split_first().ok_or(FrameError::InvalidVm)?;
    let class = Class::ALL
        .into_iter()
        .find(|c| *c as u8 == class)
        .ok_or(FrameError::UnknownClass(class))?;
    let name = std::str::from_utf8(name).map_err(|_| FrameError::InvalidVm)?;
    let vm = VmName::new(name).map_err(|_| FrameError::InvalidVm)?;
    Ok((class, vm))
}

/// Reassembles messages from stream chunks of any size.
#[derive(Default)]
pub(crate) struct FrameDecoder {
    length_prefix: [u8; LENGTH_PREFIX_BYTES],
    prefix_filled: usize,
    body: Vec<u8>,
}

impl FrameDecoder {
    /// Consumes bytes from the front of `input` and returns a message once it is complete.
    pub(crate) fn next_message(
        &mut self,
        input: &mut &[u8],
    ) -> Result<Option<Vec<u8>>, FrameError> {
        let count = (LENGTH_PREFIX_BYTES - self.prefix_filled).min(input.len());
        let (length, rest) = input.split_at(count);
        self.length_prefix[self.prefix_filled..self.prefix_filled + count].copy_from_slice(length);
        self.prefix_filled += count;
        *input = rest;
        if self.prefix_filled < LENGTH_PREFIX_BYTES {
            return Ok(None);
        }
        let length = u32::from_be_bytes(self.length_prefix) as usize;
        if length > MAX_MESSAGE_BYTES {
            return Err(FrameError::TooLong(length));
        }
        if self.body.capacity() == 0 {
            self.body.reserve_exact(length.min(MAX_RESERVE_BYTES));
        }
        let count = (length - self.body.len()).min(input.len());
        let (body, rest) = input.split_at(count);
        self.body.extend_from_slice(body);
        *input = rest;
        if self.body.len() < length {
            return Ok(None);
        }
        self.prefix_filled = 0;
        Ok(Some(std::mem::take(&mut self.body)))
    }
}
