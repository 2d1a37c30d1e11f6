//! The inputs of the control thread.

use std::time::Duration;

use crossbeam_channel::{select_biased, Receiver, RecvTimeoutError};
use greengage_cluster::{Event, Message};

/// An input of the control thread.
#[derive(Debug)]
pub enum Input {
    /// An event for the cluster state.
    Event(Event),
    /// A write failed with this error; all later writes to the same journal fail as well.
    DiskFailed(String),
}

/// Whether the control thread takes a message before everything else that waits.
///
/// The configuration decides how all other inputs are handled. Under load these wait for longer than
/// a configuration may take until it is in force, and than a VM may be silent before it counts as
/// lost.
pub fn is_urgent(message: &Message) -> bool {
    matches!(message, Message::Configuration(_) | Message::Gossip(..))
}

/// The two channels of the control thread. Each is taken in order, the urgent one first.
pub struct Inputs<'a> {
    /// Urgent messages of other VMs.
    pub urgent: Receiver<Input>,
    /// All other inputs.
    pub others: &'a Receiver<Input>,
}

impl Inputs<'_> {
    /// Waits for the next input. Fails after `timeout`, or once either channel is closed.
    pub fn recv_timeout(&self, timeout: Duration) -> Result<Input, RecvTimeoutError> {
        select_biased! {
            recv(self.urgent) -> input => input.map_err(RecvTimeoutError::from),
            recv(self.others) -> input => input.map_err(RecvTimeoutError::from),
            default(timeout) => Err(RecvTimeoutError::Timeout),
        }
    }

    /// Number of inputs that wait.
    pub fn len(&self) -> usize {
        self.urgent.len() + self.others.len()
    }

    /// Whether no input waits.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
