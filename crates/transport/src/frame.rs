//! Frames on a stream: a length of four bytes, then as many bytes.
//!
//! A stream starts with a header that names its class and the sending VM.

use std::fmt;

use greengage_core::VmName;

use crate::queue::Class;

/// Longest message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 << 20;

/// Memory reserved at once for a message, so that a length alone takes little memory.
const MAX_RESERVE_BYTES: usize = 1 << 20;

/// Bytes of a length.
const LENGTH_PREFIX_BYTES: usize = 4;

/// Why a stream can't be read further.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// A frame is longer than [`MAX_MESSAGE_BYTES`].
    TooLong(usize),
    /// The header names no class that exists.
    UnknownClass(u8),
    /// The header holds no VM name.
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

/// The length that goes before `message`, which has at most [`MAX_MESSAGE_BYTES`].
pub(crate) fn length_prefix(message: &[u8]) -> [u8; LENGTH_PREFIX_BYTES] {
    (message.len() as u32).to_be_bytes()
}

/// The header of a stream as a message.
pub(crate) fn encode_header(class: Class, vm: &VmName) -> Vec<u8> {
    let mut bytes = vec![class as u8];
    bytes.extend_from_slice(vm.as_str().as_bytes());
    bytes
}

/// Reads what `encode_header` wrote.
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

/// Puts frames together from pieces of any size.
#[derive(Default)]
pub(crate) struct FrameDecoder {
    length_prefix: [u8; LENGTH_PREFIX_BYTES],
    prefix_filled: usize,
    body: Vec<u8>,
}

impl FrameDecoder {
    /// Takes bytes from the front of `input` and returns the message that they complete, if any.
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
