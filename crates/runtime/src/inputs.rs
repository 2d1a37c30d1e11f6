//! The inputs of the control thread.

use std::fmt;
use std::time::Duration;

use crossbeam_channel::{select_biased, unbounded, Receiver, RecvTimeoutError, Sender};
use greengage_budget::Charge;
use greengage_cluster::{scheduler, Event, Message};

/// An input of the control thread.
#[derive(Debug)]
pub enum Input {
    /// An event for the cluster state.
    Event(Event),
    /// A message of another VM, whose bytes are taken until it is handled.
    Message(Event, Charge),
    /// A write failed with this error; all later writes to the same journal fail as well.
    DiskFailed(String),
}

/// Whether the control thread takes an input before everything else that waits.
///
/// The configuration and the evacuated zones decide how all other inputs are handled, a job may be
/// worked on only while its caller waits, and an order about an evacuation is refused once it has
/// waited for most of a second. An order and the notice that its operator has left stay in sequence.
/// Under load the other inputs wait for longer than a configuration may take until it is in force,
/// than a VM may be silent before it counts as lost, and than a caller waits before it submits a job
/// again.
pub fn is_urgent(input: &Input) -> bool {
    match input {
        Input::Event(event) | Input::Message(event, _) => is_urgent_event(event),
        Input::DiskFailed(_) => false,
    }
}

/// As [`is_urgent`], for an event.
fn is_urgent_event(event: &Event) -> bool {
    match event {
        Event::Receive { message, .. } => is_urgent_message(message),
        Event::Evacuate { .. } | Event::OperatorGone(_) => true,
        Event::Scheduler(event) => matches!(
            event,
            scheduler::Event::CallerGone(_) | scheduler::Event::CallersChecked { .. }
        ),
        _ => false,
    }
}

/// As [`is_urgent`], for a message of another VM.
pub(crate) fn is_urgent_message(message: &Message) -> bool {
    matches!(
        message,
        Message::Configuration(_) | Message::Evacuations(_) | Message::Gossip(..)
    )
}

/// Creates the channels of the control thread.
pub fn inputs() -> (InputSender, Inputs) {
    let (urgent_sender, urgent) = unbounded();
    let (sender, others) = unbounded();
    let sender = InputSender {
        urgent: urgent_sender,
        others: sender,
    };
    (sender, Inputs { urgent, others })
}

/// Why an input can't be sent.
#[derive(Clone, Copy, Debug)]
pub struct ControlEnded;

impl fmt::Display for ControlEnded {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the control thread has ended; start the process again")
    }
}

impl std::error::Error for ControlEnded {}

/// The sending end of the channels of the control thread.
#[derive(Clone, Debug)]
pub struct InputSender {
    urgent: Sender<Input>,
    others: Sender<Input>,
}

impl InputSender {
    /// Sends an input over its channel. Fails once the control thread has ended.
    pub fn send(&self, input: Input) -> Result<(), ControlEnded> {
        let channel = match is_urgent(&input) {
            true => &self.urgent,
            false => &self.others,
        };
        channel.send(input).map_err(|_| ControlEnded)
    }

    /// Number of inputs that wait and aren't urgent.
    pub fn queued(&self) -> usize {
        self.others.len()
    }
}

/// The two channels of the control thread. Each is taken in order, the urgent one first.
#[derive(Debug)]
pub struct Inputs {
    urgent: Receiver<Input>,
    others: Receiver<Input>,
}

impl Inputs {
    /// Waits for the next input. Fails after `timeout`, or once all senders are dropped.
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
