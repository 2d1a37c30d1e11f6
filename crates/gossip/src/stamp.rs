//! Bounds on the age of messages between VMs, without a common clock.
//!
//! Each message carries the time at which it was sent and echoes the time of a message that its
//! sender has received from its receiver, with the time for which the sender held it. The message
//! was sent at least that long after the echoed one, so the receiver knows from its own clock alone
//! at which time it was sent at the earliest.

use std::time::Duration;

use greengage_core::{value, Incarnation, SortedMap, Time, VmName};

/// Time after which a later message is echoed although it took longer. Clocks whose rates differ by
/// 2% add an error of 20 ms in it.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(1);

/// A message of the receiver that its sender has received.
#[value(copy)]
pub struct Echo {
    /// Incarnation of the receiver that sent it.
    pub incarnation: Incarnation,
    /// When it was sent, by the receiver's clock.
    pub time: Time,
    /// Time from its arrival to the sending of the message with this echo.
    pub held: Duration,
}

/// Timestamps of a message.
#[value(copy)]
pub struct Stamp {
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// When the message was sent, by the sender's clock.
    pub sent: Time,
    /// A message of the receiver; `None` if none has arrived.
    pub echo: Option<Echo>,
}

impl Stamp {
    /// The earliest time of the receiver's clock at which the message may have been sent. `None` if
    /// its sender has received nothing from this incarnation of the receiver.
    pub fn earliest_sent(&self, now: Time, receiver: Incarnation) -> Option<Time> {
        let echo = self.echo.filter(|echo| echo.incarnation == receiver)?;
        Some((echo.time + echo.held).min(now))
    }
}

/// A message that was received from another VM, to be echoed.
#[derive(Clone, Copy, Debug)]
struct Sample {
    incarnation: Incarnation,
    sent: Time,
    received: Time,
}

impl Sample {
    /// Whether `other`, which has just arrived, gives a worse bound or is of an ended process.
    ///
    /// Incarnations are numbered by the wall clock, which may be set back, so a lower number
    /// replaces a silent one.
    fn is_better_than(&self, other: &Sample, lost_timeout: Duration) -> bool {
        let age = other.received.since(self.received);
        // The clocks of both VMs are unrelated; only differences of these offsets have a meaning.
        let offset = |sample: &Sample| i128::from(sample.received.0) - i128::from(sample.sent.0);
        match self.incarnation == other.incarnation {
            true => age < SAMPLE_LIFETIME && offset(self) < offset(other),
            false => age < lost_timeout && self.incarnation > other.incarnation,
        }
    }
}

/// The message to echo to each VM.
#[derive(Debug, Default)]
pub(crate) struct Samples {
    by_vm: SortedMap<VmName, Sample>,
}

impl Samples {
    /// Records a message that has arrived from a VM.
    pub(crate) fn record(&mut self, now: Time, vm: &VmName, stamp: &Stamp, lost_timeout: Duration) {
        let new = Sample {
            incarnation: stamp.incarnation,
            sent: stamp.sent,
            received: now,
        };
        let sample = self.by_vm.get_or_insert_with(vm.clone(), || new);
        if !sample.is_better_than(&new, lost_timeout) {
            *sample = new;
        }
    }

    /// The echo for a message that is sent to a VM now.
    pub(crate) fn echo(&self, now: Time, vm: &VmName) -> Option<Echo> {
        self.by_vm.get(vm).map(|sample| Echo {
            incarnation: sample.incarnation,
            time: sample.sent,
            held: now.since(sample.received),
        })
    }

    /// Drops the samples of VMs from which nothing was recorded for `timeout`.
    pub(crate) fn forget(&mut self, now: Time, timeout: Duration) {
        self.by_vm
            .retain(|_, sample| now.since(sample.received) < timeout);
    }
}
