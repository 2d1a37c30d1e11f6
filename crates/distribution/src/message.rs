//! Messages between a VM that has a document and a VM that needs it.

use greengage_config::{Document, Limits, Queue, Service};
use greengage_core::{value, Version};

/// Approximate maximum size of a part: 28 ms on a link of 19 Mbit/s. Heartbeats wait that long.
pub const MAX_PART_BYTES: usize = 64 << 10;

/// Size of the fixed fields and of the lengths of an encoded item.
const ITEM_OVERHEAD_BYTES: usize = 16;

/// A message about the distribution of the configuration.
#[value]
pub enum DistributionMessage {
    /// The sender has a document of this version.
    Offer(Version),
    /// Requests the part of a document that begins with an item.
    Request {
        /// Version of the document.
        version: Version,
        /// Number of items that the sender has.
        first: usize,
    },
    /// A part of a document.
    Part(Part),
    /// Answers a request for a version that the sender doesn't have.
    Unavailable {
        /// The requested version.
        requested: Version,
        /// The version that it has.
        newest: Version,
    },
}

/// Consecutive items of a document. Its items are the services, followed by the queues.
#[value]
pub struct Part {
    /// Version of the document.
    pub version: Version,
    /// Number of items before this part.
    pub first: usize,
    /// Number of items of the whole document.
    pub total: usize,
    /// Limits of the document.
    pub limits: Limits,
    /// The services of this part.
    pub services: Vec<Service>,
    /// The queues of this part.
    pub queues: Vec<Queue>,
}

impl Part {
    /// The part of a document that begins with item number `first`.
    pub(crate) fn new(document: &Document, first: usize) -> Part {
        let services = &document.services;
        let mut part = Part {
            version: document.version,
            first,
            total: services.len() + document.queues.len(),
            limits: document.limits,
            services: Vec::new(),
            queues: Vec::new(),
        };
        let mut bytes = 0;
        for service in services.iter().skip(first) {
            if bytes >= MAX_PART_BYTES {
                return part;
            }
            bytes += ITEM_OVERHEAD_BYTES + service.name.len();
            part.services.push(service.clone());
        }
        for queue in document
            .queues
            .iter()
            .skip(first.saturating_sub(services.len()))
        {
            if bytes >= MAX_PART_BYTES {
                return part;
            }
            bytes += ITEM_OVERHEAD_BYTES + queue_text_bytes(queue);
            part.queues.push(queue.clone());
        }
        part
    }

    /// Number of items in this part.
    pub(crate) fn len(&self) -> usize {
        self.services.len() + self.queues.len()
    }

    /// Whether this part is a whole document.
    pub fn is_whole(&self) -> bool {
        self.first == 0 && self.len() == self.total
    }
}

fn queue_text_bytes(queue: &Queue) -> usize {
    queue.name.len() + queue.host.len() + queue.prefix.len() + queue.service.len()
}
