//! Frames on a stream: a length of four bytes, then as many bytes.
//!
//! A stream starts with a header that names its class and the sending VM.

use std::fmt;

use greengage_core::VmName;

use crate::queue::Class;

/// Longest message in bytes.
pub const MESSAGE_BYTES: usize = 64 << 20;

/// Memory reserved at once for a message, so that a length alone takes little memory.
const RESERVE_BYTES: usize = 1 << 20;

/// Bytes of a length.
const LENGTH_BYTES: usize = 4;

/// Why a stream can't be read further.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FrameError {
    /// A frame is longer than [`MESSAGE_BYTES`].
    TooLong(usize),
    /// The header names no class that exists.
    Class(u8),
    /// The header holds no VM name.
    Vm,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            FrameError::TooLong(bytes) => write!(
                f,
                "a frame has {bytes} bytes, the limit is {MESSAGE_BYTES}: split the message"
            ),
            FrameError::Class(class) => write!(
                f,
                "message class {class} does not exist: run the same version on all VMs"
            ),
            FrameError::Vm => write!(
                f,
                "a stream starts without a VM name: run the same version on all VMs"
            ),
        }
    }
}

impl std::error::Error for FrameError {}

/// The length that goes before `message`, which has at most [`MESSAGE_BYTES`].
pub(crate) fn length(message: &[u8]) -> [u8; LENGTH_BYTES] {
    (message.len() as u32).to_be_bytes()
}

/// The header of a stream as a message.
pub(crate) fn header(class: Class, vm: &VmName) -> Vec<u8> {
    let mut bytes = vec![class as u8];
    bytes.extend_from_slice(vm.as_str().as_bytes());
    bytes
}

/// Reads what `header` wrote.
pub(crate) fn read_header(bytes: &[u8]) -> Result<(Class, VmName), FrameError> {
    let (&class, name) = bytes.split_first().ok_or(FrameError::Vm)?;
    let class = Class::ALL
        .into_iter()
        .find(|c| *c as u8 == class)
        .ok_or(FrameError::Class(class))?;
    let name = std::str::from_utf8(name).map_err(|_| FrameError::Vm)?;
    let vm = VmName::new(name).map_err(|_| FrameError::Vm)?;
    Ok((class, vm))
}

/// Puts frames together from pieces of any size.
#[derive(Default)]
pub(crate) struct Decoder {
    length: [u8; LENGTH_BYTES],
    filled: usize,
    body: Vec<u8>,
}

impl Decoder {
    /// Takes bytes from the front of `input` and returns the message that they complete, if any.
    pub(crate) fn take(&mut self, input: &mut &[u8]) -> Result<Option<Vec<u8>>, FrameError> {
        let missing = (LENGTH_BYTES - self.filled).min(input.len());
        let (length, rest) = input.split_at(missing);
        self.length[self.filled..self.filled + missing].copy_from_slice(length);
        self.filled += missing;
        *input = rest;
        if self.filled < LENGTH_BYTES {
            return Ok(None);
        }
        let length = u32::from_be_bytes(self.length) as usize;
        if length > MESSAGE_BYTES {
            return Err(FrameError::TooLong(length));
        }
        if self.body.capacity() == 0 {
            self.body.reserve_exact(length.min(RESERVE_BYTES));
        }
        let missing = (length - self.body.len()).min(input.len());
        let (body, rest) = input.split_at(missing);
        self.body.extend_from_slice(body);
        *input = rest;
        if self.body.len() < length {
            return Ok(None);
        }
        self.filled = 0;
        Ok(Some(std::mem::take(&mut self.body)))
    }
}
