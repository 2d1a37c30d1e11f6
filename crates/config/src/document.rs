//! The configuration document.
//!
//! A queue is selected by the host of the request and the longest matching prefix of its path. The
//! document keeps the operator's text, so that it is returned exactly as it was submitted.

use std::fmt;
use std::mem::size_of;
use std::sync::Arc;
use std::time::Duration;

use greengage_core::{value, Payload, Version};

/// A queue of jobs and the service whose targets run them.
#[value]
pub struct Queue {
    /// Name of the queue.
    pub name: Arc<str>,
    /// Host of the requests that it serves.
    pub host: Arc<str>,
    /// Path prefix of the requests that it serves.
    pub prefix: Arc<str>,
    /// Name of the service whose targets run the tasks.
    pub service: Arc<str>,
    /// Time limit of a request, not zero.
    pub timeout: Duration,
    /// Latency allowed in addition to the run time of the work.
    pub latency: Duration,
    /// Percentage of the expected run time up to which an answer counts as in time.
    pub slack_percent: u32,
    /// Priority of the queue; 0 is the highest.
    pub priority: u32,
    /// Number of failed runs of a task after which its job fails.
    pub max_attempts: u32,
    /// Whether an external service decides which targets may run its tasks.
    pub uses_advisor: bool,
}

/// A pool of targets.
#[value]
pub struct Service {
    /// Name of the service, to which queues refer.
    pub name: Arc<str>,
    /// Maximum number of connections to one target.
    pub max_connections: u32,
}

/// Limits on requests.
#[value(copy)]
pub struct Limits {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
}

/// A complete configuration with the version given by the operator.
#[value]
pub struct Document {
    /// Version given by the operator; a higher version replaces a lower one.
    pub version: Version,
    /// The queues, sorted by host and prefix.
    pub queues: Vec<Queue>,
    /// The services, sorted by name.
    pub services: Vec<Service>,
    /// Limits on requests.
    pub limits: Limits,
    /// The text that the operator submitted.
    pub source: Payload,
}

/// Why a document is invalid.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentError {
    /// A queue refers to a service that the document does not define.
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
                "queue {queue:?} refers to service {service:?}, which is not defined: add it"
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

/// The memory of a string with its reference counts.
fn string_bytes(string: &Arc<str>) -> usize {
    string.len() + 2 * size_of::<usize>()
}

impl Document {
    /// Sorts the queues and services and validates the document.
    pub fn validated(mut self) -> Result<Document, DocumentError> {
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

    /// The memory that the document takes with its text, in bytes. Strings count for each use.
    pub fn memory_bytes(&self) -> usize {
        let queues = self.queues.iter().map(|queue| {
            let strings = [&queue.name, &queue.host, &queue.prefix, &queue.service];
            size_of::<Queue>() + strings.map(string_bytes).iter().sum::<usize>()
        });
        let services = self
            .services
            .iter()
            .map(|service| size_of::<Service>() + string_bytes(&service.name));
        self.source.len() + queues.sum::<usize>() + services.sum::<usize>()
    }

    /// The service with this name.
    pub fn service(&self, name: &str) -> Option<&Service> {
        let found = self
            .services
            .binary_search_by(|service| (*service.name).cmp(name));
        found.ok().map(|i| &self.services[i])
    }

    /// The queue of `host` with the longest prefix that matches `path`.
    pub fn queue(&self, host: &str, path: &str) -> Option<&Queue> {
        let first = self.queues.partition_point(|queue| &*queue.host < host);
        let same = self.queues[first..].iter().take_while(|q| &*q.host == host);
        same.filter(|queue| path.starts_with(&*queue.prefix))
            .max_by_key(|queue| queue.prefix.len())
    }
}
