//! One complete configuration.
//!
//! A queue is selected by the caller's host and the longest prefix of the path. The document keeps
//! the operator's own text, so that it is read back exactly as it was sent.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use greengage_core::{value, Payload, Version};

/// A queue of jobs and the service whose targets run them.
#[value]
pub struct Queue {
    /// The queue's name.
    pub name: Arc<str>,
    /// The host that callers name.
    pub host: Arc<str>,
    /// The prefix of the callers' paths.
    pub prefix: Arc<str>,
    /// The service whose targets run the tasks.
    pub service: Arc<str>,
    /// The longest time that a caller is served for.
    pub timeout: Duration,
    /// The latency allowed on top of the work itself.
    pub latency: Duration,
    /// The factor on the expected run time, in percent, up to which an answer is in time.
    pub slack: u32,
    /// The rank of the queue; 0 comes first.
    pub priority: u32,
    /// Runs of a task that may fail before its job has failed.
    pub attempts: u32,
    /// Whether an outside service decides which targets may run its tasks.
    pub advised: bool,
}

/// A pool of targets.
#[value]
pub struct Service {
    /// The service's name.
    pub name: Arc<str>,
    /// Most connections to one of its targets.
    pub connections: u32,
}

/// Bounds of callers' requests.
#[value(copy)]
pub struct Limits {
    /// Largest body in bytes.
    pub body: u64,
}

/// A complete configuration under the operator's version.
#[value]
pub struct Document {
    /// The operator's version; a higher one replaces a lower one.
    pub version: Version,
    /// The queues, in order of host and prefix.
    pub queues: Vec<Queue>,
    /// The services, in order of name.
    pub services: Vec<Service>,
    /// Bounds of requests.
    pub limits: Limits,
    /// The text that the operator sent.
    pub source: Payload,
}

/// Why a document is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentError {
    /// A queue names a service that the document lacks.
    UnknownService {
        /// The queue.
        queue: Arc<str>,
        /// The service.
        service: Arc<str>,
    },
    /// Two queues have the same host and prefix.
    DuplicateRoute {
        /// The host.
        host: Arc<str>,
        /// The prefix.
        prefix: Arc<str>,
    },
    /// A queue's timeout is zero.
    ZeroTimeout(Arc<str>),
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            DocumentError::UnknownService { queue, service } => write!(
                f,
                "queue {queue:?} names service {service:?}, which the document lacks: add it"
            ),
            DocumentError::DuplicateRoute { host, prefix } => write!(
                f,
                "two queues have host {host:?} and prefix {prefix:?}: change one of them"
            ),
            DocumentError::ZeroTimeout(queue) => {
                write!(f, "queue {queue:?} has a timeout of 0: set at least 1 ms")
            }
        }
    }
}

impl std::error::Error for DocumentError {}

impl Document {
    /// Sorts and checks a document.
    pub fn verified(mut self) -> Result<Document, DocumentError> {
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.queues
            .sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
        for pair in self.queues.windows(2) {
            if (&pair[0].host, &pair[0].prefix) == (&pair[1].host, &pair[1].prefix) {
                return Err(DocumentError::DuplicateRoute {
                    host: pair[0].host.clone(),
                    prefix: pair[0].prefix.clone(),
                });
            }
        }
        for queue in &self.queues {
            if self.service(&queue.service).is_none() {
                return Err(DocumentError::UnknownService {
                    queue: queue.name.clone(),
                    service: queue.service.clone(),
                });
            }
            if queue.timeout.is_zero() {
                return Err(DocumentError::ZeroTimeout(queue.name.clone()));
            }
        }
        Ok(self)
    }

    /// The service of a name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|service| (*service.name).cmp(name));
        found.ok().map(|i| &self.services[i])
    }

    /// The queue of a host with the longest prefix of `path`.
    pub fn queue(&self, host: &str, path: &str) -> Option<&Queue> {
        let first = self.queues.partition_point(|queue| &*queue.host < host);
        let same = self.queues[first..].iter().take_while(|q| &*q.host == host);
        same.filter(|queue| path.starts_with(&*queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }
}
