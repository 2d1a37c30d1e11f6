//! The parts of a VM's memory and descriptors that each use may take.

use greengage_core::value;

/// Memory of a VM whose settings name none, in bytes.
const DEFAULT_MEMORY: u64 = 4 << 30;
/// Descriptors of a process whose settings name none.
const DEFAULT_DESCRIPTORS: usize = 16_384 + FILE_DESCRIPTORS;
/// Descriptors kept for files.
const FILE_DESCRIPTORS: usize = 200;
/// Fewest descriptors to be shared.
const MIN_DESCRIPTORS: usize = 64;
/// Smallest memory that is assumed.
const MIN_MEMORY: u64 = 32 << 20;

/// Estimated memory of a connection: its task, its buffers with a head of up to 8 KiB, and a body of
/// up to 4 KiB.
const CONNECTION_BYTES: u64 = 20 << 10;
/// Limits of a listener for checks or metrics.
const SIDE_CONNECTIONS: (usize, usize) = (8, 64);
/// Least and most bytes of a request's body.
const BODY_BYTES: (u64, u64) = (512 << 10, 8 << 20);
/// Most bytes of a message between VMs, whatever memory each of them has: a message of the control
/// group carries a whole configuration, and its sender doesn't know the memory of the receiver.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Estimated memory of an input of the control thread that isn't charged by itself.
const INPUT_BYTES: u64 = 4 << 10;

/// Most bytes, connections and descriptors for each use. The rest belongs to the program.
#[value(local, copy)]
pub struct Shares {
    /// Connections of the listeners for callers, operators and targets.
    pub connections: usize,
    /// Connections of each listener for checks or metrics.
    pub side_connections: usize,
    /// Connections from other VMs.
    pub peer_connections: usize,
    /// Connections to targets.
    pub target_connections: usize,
    /// Bytes of heads and bodies that are being received.
    pub incoming: usize,
    /// Bytes of answers that aren't read.
    pub answers: usize,
    /// Estimated bytes of decoded requests that wait.
    pub requests: usize,
    /// Bytes of messages from other VMs.
    pub messages: usize,
    /// Estimated bytes of the latest reports of targets, on a control VM.
    pub reports: usize,
    /// Bytes of one request's body.
    pub body: usize,
    /// Bytes of one message from another VM.
    pub message: usize,
    /// Inputs that may wait for the control thread before reports are refused.
    pub inputs: usize,
}

impl Shares {
    /// Divides the memory in bytes and the descriptors of a process; `None` is unknown.
    pub fn new(memory: Option<u64>, descriptors: Option<usize>) -> Shares {
        let memory = memory.unwrap_or(DEFAULT_MEMORY).max(MIN_MEMORY);
        let descriptors = descriptors.unwrap_or(DEFAULT_DESCRIPTORS);
        let sockets = descriptors
            .saturating_sub(FILE_DESCRIPTORS)
            .max(MIN_DESCRIPTORS);
        let sixteenth = memory / 16;
        let (least_side, most_side) = SIDE_CONNECTIONS;
        Shares {
            connections: (sockets / 2).min((3 * sixteenth / CONNECTION_BYTES) as usize),
            side_connections: (sockets / 32).clamp(least_side, most_side),
            peer_connections: sockets / 8,
            target_connections: sockets / 8,
            incoming: (2 * sixteenth) as usize,
            answers: sixteenth as usize,
            requests: (2 * sixteenth) as usize,
            messages: sixteenth as usize,
            reports: sixteenth as usize,
            body: (memory / 24).clamp(BODY_BYTES.0, BODY_BYTES.1) as usize,
            message: MAX_MESSAGE_BYTES,
            inputs: (2 * sixteenth / INPUT_BYTES) as usize,
        }
    }
}
