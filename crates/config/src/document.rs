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

impl Queue {
    /// Longest time in which work with this expected run time is to be answered.
    pub fn objective(&self, work: Duration) -> Duration {
        work * self.slack_percent / 100 + self.latency
    }
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
    /// Why the document is invalid: numbers of queues in ascending order, each with a reason.
    pub fn faults(&self) -> Vec<(usize, DocumentError)> {
        let mut services: Vec<&str> = self.services.iter().map(|s| &*s.name).collect();
        services.sort_unstable();
        let mut faults = Vec::new();
        for (i, queue) in self.queues.iter().enumerate() {
            if services.binary_search(&&*queue.service).is_err() {
                let error = DocumentError::UnknownService {
                    queue: queue.name.clone(),
                    service: queue.service.clone(),
                };
                faults.push((i, error));
            }
            if queue.timeout.is_zero() {
                faults.push((i, DocumentError::ZeroTimeout(queue.name.clone())));
            }
        }
        let mut routes: Vec<(&Arc<str>, &Arc<str>, usize)> = Vec::new();
        routes.extend(
            self.queues
                .iter()
                .enumerate()
                .map(|(i, queue)| (&queue.host, &queue.prefix, i)),
        );
        routes.sort_unstable();
        for pair in routes.windows(2) {
            let (host, prefix, i) = pair[1];
            if (pair[0].0, pair[0].1) == (host, prefix) {
                let (host, prefix) = (host.clone(), prefix.clone());
                faults.push((i, DocumentError::DuplicateRoute { host, prefix }));
            }
        }
        faults.sort_by_key(|(i, _)| *i);
        faults
    }

    /// Validates the document and sorts its queues and services.
    pub fn validated(mut self) -> Result<Document, DocumentError> {
        if let Some((_, error)) = self.faults().into_iter().next() {
            return Err(error);
        }
        self.services.sort_by(|a, b| a.name.cmp(&b.name));
        self.queues
            .sort_by(|a, b| (&a.host, &a.prefix).cmp(&(&b.host, &b.prefix)));
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
