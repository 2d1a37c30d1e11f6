//! Which decoded messages of other VMs may wait for the control thread.
//!
//! Load answered: more messages than the control thread takes. Reports lose first, as they are
//! repeated, and messages of the control group last, since without them the group loses its leader.

use greengage_budget::{Charge, Pool};
use greengage_cluster::Message;

use crate::inputs::is_urgent_message;

/// Estimated memory of a message besides its encoded size.
const MESSAGE_BYTES: usize = 512;

/// Bytes of decoded messages that may wait, by their kinds.
#[derive(Clone, Debug)]
pub struct MessagePools {
    /// Messages that are taken before others, so that they don't wait for places of those.
    urgent: Pool,
    /// Reports of targets.
    reports: Pool,
    /// All other messages.
    others: Pool,
    /// Messages of the control group beyond `others`.
    group: Pool,
}

impl MessagePools {
    /// Pools of `bytes` in total.
    pub fn new(bytes: usize) -> MessagePools {
        MessagePools {
            urgent: Pool::new(bytes / 2),
            reports: Pool::new(bytes / 8),
            others: Pool::new(bytes / 4),
            group: Pool::new(bytes / 8),
        }
    }

    /// Takes the bytes of a message with this encoded size; `None` if it has to be dropped.
    pub fn admit(&self, message: &Message, size: usize) -> Option<Charge> {
        let bytes = size + MESSAGE_BYTES;
        match message {
            urgent if is_urgent_message(urgent) => self.urgent.take(bytes),
            Message::Reports(_) => self.reports.take(bytes),
            // A message with a large configuration is sent until it is taken.
            Message::Group { .. } => {
                let charge = self.others.take(bytes);
                charge.or_else(|| self.group.take_or_alone(bytes))
            }
            _ => self.others.take(bytes),
        }
    }
}
