//! What is wrong with a document before it is sent, and what it changes.
//!
//! Plain functions without I/O. Errors are those for which a VM rejects the document
//! ([`Document::faults`]); warnings are about entries that have no effect and about limits that
//! contradict each other. Entries are numbered as in the document, so the document must not have been
//! sorted by [`Document::validated`]. `docs/design/check.md` has the rules.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use greengage_core::{value, Name, Version, MAX_NAME_BYTES};

use crate::document::{Document, DocumentError, Queue};

/// Shortest run time that a step of a job can declare.
pub const SHORTEST_RUN: Duration = Duration::from_millis(1);

/// What a document is measured against.
#[value(local)]
pub struct Bounds {
    /// Shortest run time of the tasks.
    pub shortest_run: Duration,
    /// Largest body that a VM receives, in bytes.
    pub body: u64,
    /// Services that have targets, sorted; `None` if that isn't known.
    pub served: Option<Vec<Arc<str>>>,
}

/// What a finding is about.
#[value(local, copy)]
pub enum Entry {
    /// The document as a whole.
    Document,
    /// The queue with this number.
    Queue(usize),
    /// The service with this number.
    Service(usize),
    /// The limits on requests.
    Limits,
}

/// A problem of a document.
#[value(local)]
pub enum Problem {
    /// The text isn't a document.
    Unreadable(String),
    /// A VM rejects the document.
    Invalid(DocumentError),
    /// The document is larger than a VM receives or sends on.
    TooLarge,
    /// The version isn't higher than the one in force.
    OldVersion {
        /// Version of the document.
        version: Version,
        /// Version in force.
        in_force: Version,
    },
    /// No request has this host.
    UnreachableHost(Arc<str>),
    /// No path of a job begins with this prefix.
    UnreachablePrefix(Arc<str>),
    /// Another queue gets the jobs whose ids begin in a certain way.
    HiddenIds {
        /// The other queue.
        other: Arc<str>,
        /// How the ids begin.
        start: Arc<str>,
    },
    /// The queue's service has no targets.
    NoTargets(Arc<str>),
    /// The queue requires advice, so all its jobs are refused.
    Advisor,
    /// The name of the queue is that of an earlier one.
    RepeatedQueue(Arc<str>),
    /// The name of the service is that of an earlier one.
    RepeatedService(Arc<str>),
    /// No queue refers to the service.
    UnusedService(Arc<str>),
    /// The time-out is below the shortest run time.
    ShortTimeout {
        /// The time-out.
        timeout: Duration,
        /// The shortest run time.
        run: Duration,
    },
    /// An answer may be in time after the time-out.
    LateObjective {
        /// The time-out.
        timeout: Duration,
        /// Until when an answer to the shortest work is in time.
        objective: Duration,
    },
    /// An answer to the shortest work is late even without any wait.
    EarlyObjective {
        /// The shortest run time.
        run: Duration,
        /// Until when an answer to it is in time.
        objective: Duration,
    },
    /// The attempts take longer than the time-out.
    ManyAttempts {
        /// The number of attempts.
        attempts: u32,
        /// The time-out.
        timeout: Duration,
        /// The shortest run time.
        run: Duration,
    },
    /// No attempt is allowed, which counts as one.
    ZeroAttempts,
    /// No job is small enough.
    ZeroBody,
    /// The limit on bodies is above what a VM receives.
    LargeBody {
        /// The limit, in bytes.
        limit: u64,
        /// The largest body that a VM receives, in bytes.
        most: u64,
    },
}

impl Problem {
    /// Whether a VM rejects the document for it.
    pub fn is_error(&self) -> bool {
        matches!(
            self,
            Problem::Unreadable(_) | Problem::Invalid(_) | Problem::TooLarge
        )
    }

    /// A name of the problem for programs.
    pub fn code(&self) -> &'static str {
        match self {
            Problem::Unreadable(_) => "unreadable",
            Problem::Invalid(DocumentError::UnknownService { .. }) => "unknown-service",
            Problem::Invalid(DocumentError::DuplicateRoute { .. }) => "duplicate-route",
            Problem::Invalid(DocumentError::ZeroTimeout(_)) => "zero-timeout",
            Problem::TooLarge => "too-large",
            Problem::OldVersion { .. } => "old-version",
            Problem::UnreachableHost(_) => "unreachable-host",
            Problem::UnreachablePrefix(_) => "unreachable-prefix",
            Problem::HiddenIds { .. } => "hidden-ids",
            Problem::NoTargets(_) => "no-targets",
            Problem::Advisor => "advisor",
            Problem::RepeatedQueue(_) => "repeated-queue",
            Problem::RepeatedService(_) => "repeated-service",
            Problem::UnusedService(_) => "unused-service",
            Problem::ShortTimeout { .. } => "short-timeout",
            Problem::LateObjective { .. } => "late-objective",
            Problem::EarlyObjective { .. } => "early-objective",
            Problem::ManyAttempts { .. } => "many-attempts",
            Problem::ZeroAttempts => "zero-attempts",
            Problem::ZeroBody => "zero-body",
            Problem::LargeBody { .. } => "large-body",
        }
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Problem::Unreadable(cause) => write!(f, "{cause}: correct the text"),
            Problem::Invalid(error) => error.fmt(f),
            Problem::TooLarge => {
                write!(f, "the configuration is too large for the VMs: shorten it")
            }
            Problem::OldVersion { version, in_force } => write!(
                f,
                "version {version} would change nothing, since {in_force} is in force: raise it"
            ),
            Problem::UnreachableHost(host) => write!(
                f,
                "no request has host {host:?}: give a name without port, slash or space"
            ),
            Problem::UnreachablePrefix(prefix) => write!(
                f,
                "no job's path is prefix {prefix:?} and an id: begin it with a slash, leave out \
                 spaces, \"?\" and \"#\", and end it with a slash"
            ),
            Problem::HiddenIds { other, start } => write!(
                f,
                "jobs whose id begins with {start:?} go to queue {other:?}, whose prefix is longer: \
                 end that prefix with a slash or change it"
            ),
            Problem::NoTargets(service) => write!(
                f,
                "service {service:?} has no targets, so no job is run: start some or name another"
            ),
            Problem::Advisor => write!(
                f,
                "all jobs are refused, since advice isn't supported: remove the advisor"
            ),
            Problem::RepeatedQueue(name) => write!(
                f,
                "another queue is named {name:?}, and run times are learned by name: rename one"
            ),
            Problem::RepeatedService(name) => write!(
                f,
                "service {name:?} is defined twice and either may count: remove one"
            ),
            Problem::UnusedService(name) => write!(
                f,
                "no queue refers to service {name:?}: remove it or add a queue"
            ),
            Problem::ShortTimeout { timeout, run } => write!(
                f,
                "the time-out of {timeout:?} is below the shortest run time, {run:?}: raise it"
            ),
            Problem::LateObjective { timeout, objective } => write!(
                f,
                "an answer is in time for {objective:?}, but the time-out is {timeout:?}: raise it \
                 or lower the latency or the slack"
            ),
            Problem::EarlyObjective { run, objective } => write!(
                f,
                "work of {run:?} must be answered within {objective:?}: raise the slack to 1 or \
                 more, or the latency"
            ),
            Problem::ManyAttempts {
                attempts,
                timeout,
                run,
            } => write!(
                f,
                "{attempts} attempts of {run:?} or more don't fit the time-out of {timeout:?}: \
                 allow fewer or raise it"
            ),
            Problem::ZeroAttempts => write!(f, "0 attempts count as 1: set at least 1"),
            Problem::ZeroBody => write!(f, "no job fits a body limit of 0 bytes: raise it"),
            Problem::LargeBody { limit, most } => write!(
                f,
                "the body limit is {limit} bytes, but a VM receives {most} at most (413 beyond): \
                 lower it or give the VMs more memory"
            ),
        }
    }
}

/// A problem and where it is.
#[value(local)]
pub struct Finding {
    /// The entry.
    pub entry: Entry,
    /// The problem.
    pub problem: Problem,
}

/// All problems of a document that has been read, in the order of its entries.
pub fn check(document: &Document, bounds: &Bounds, in_force: Option<&Document>) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut add = |entry, problem| findings.push(Finding { entry, problem });
    if let Some(old) = in_force {
        if document.version <= old.version && document.source != old.source {
            let (version, in_force) = (document.version, old.version);
            add(Entry::Document, Problem::OldVersion { version, in_force });
        }
    }
    for (i, error) in document.faults() {
        add(Entry::Queue(i), Problem::Invalid(error));
    }
    for (i, queue) in document.queues.iter().enumerate() {
        for problem in queue_problems(queue, bounds) {
            add(Entry::Queue(i), problem);
        }
    }
    for (i, problem) in hidden_ids(&document.queues) {
        add(Entry::Queue(i), problem);
    }
    for i in repeated(document.queues.iter().map(|queue| &queue.name)) {
        let name = document.queues[i].name.clone();
        add(Entry::Queue(i), Problem::RepeatedQueue(name));
    }
    for i in repeated(document.services.iter().map(|service| &service.name)) {
        let name = document.services[i].name.clone();
        add(Entry::Service(i), Problem::RepeatedService(name));
    }
    let mut used: Vec<&str> = document.queues.iter().map(|q| &*q.service).collect();
    used.sort_unstable();
    for (i, service) in document.services.iter().enumerate() {
        if used.binary_search(&&*service.name).is_err() {
            let problem = Problem::UnusedService(service.name.clone());
            add(Entry::Service(i), problem);
        }
    }
    let (limit, most) = (document.limits.max_body_bytes, bounds.body);
    if limit == 0 {
        add(Entry::Limits, Problem::ZeroBody);
    } else if limit > most {
        add(Entry::Limits, Problem::LargeBody { limit, most });
    }
    findings.sort_by_key(|finding| match finding.entry {
        Entry::Document => (0, 0),
        Entry::Queue(i) => (1, i),
        Entry::Service(i) => (2, i),
        Entry::Limits => (3, 0),
    });
    findings
}

/// Warnings about a queue by itself.
fn queue_problems(queue: &Queue, bounds: &Bounds) -> Vec<Problem> {
    let mut problems = Vec::new();
    let is_apart = |c: char| c.is_whitespace() || c.is_control();
    if queue.host.contains(|c| is_apart(c) || ":/?#".contains(c)) {
        problems.push(Problem::UnreachableHost(queue.host.clone()));
    }
    if !is_reachable(&queue.prefix) {
        problems.push(Problem::UnreachablePrefix(queue.prefix.clone()));
    }
    if let Some(served) = &bounds.served {
        if served.binary_search(&queue.service).is_err() {
            problems.push(Problem::NoTargets(queue.service.clone()));
        }
    }
    if queue.uses_advisor {
        problems.push(Problem::Advisor);
    }
    let (run, timeout, attempts) = (bounds.shortest_run, queue.timeout, queue.max_attempts);
    let objective = queue.objective(run);
    if objective < run {
        problems.push(Problem::EarlyObjective { run, objective });
    }
    if attempts == 0 {
        problems.push(Problem::ZeroAttempts);
    }
    // A time-out of zero is an error.
    if !timeout.is_zero() {
        if timeout < run {
            problems.push(Problem::ShortTimeout { timeout, run });
        } else if timeout < run.saturating_mul(attempts) {
            problems.push(Problem::ManyAttempts {
                attempts,
                timeout,
                run,
            });
        }
        if timeout >= run && timeout < objective {
            problems.push(Problem::LateObjective { timeout, objective });
        }
    }
    problems
}

/// Whether the path of a job can be this prefix and an id. The last segment of a path has to be a name.
fn is_reachable(prefix: &str) -> bool {
    let tail = prefix.rsplit('/').next().unwrap_or_default();
    prefix.starts_with('/')
        && !prefix.contains(|c: char| c.is_whitespace() || c.is_control() || "?#".contains(c))
        && (tail.is_empty() || (Name::new(tail).is_ok() && tail.len() < MAX_NAME_BYTES))
}

/// Queues some of whose jobs go to another one, as its prefix goes on like an id.
fn hidden_ids(queues: &[Queue]) -> Vec<(usize, Problem)> {
    let mut order: Vec<usize> = (0..queues.len()).collect();
    order.sort_by_key(|i| (&queues[*i].host, &queues[*i].prefix));
    let mut found = Vec::new();
    for other in queues {
        let Some(slash) = other.prefix.rfind('/') else {
            continue;
        };
        let is_id = |at: usize| at > slash && other.prefix.len() - at <= MAX_NAME_BYTES;
        for (cut, _) in other.prefix.char_indices().filter(|(at, _)| is_id(*at)) {
            let (shorter, start) = other.prefix.split_at(cut);
            let key = (&*other.host, shorter);
            let position =
                order.binary_search_by(|i| (&*queues[*i].host, &*queues[*i].prefix).cmp(&key));
            if let (Ok(at), Ok(_)) = (position, Name::new(start)) {
                let problem = Problem::HiddenIds {
                    other: other.name.clone(),
                    start: start.into(),
                };
                found.push((order[at], problem));
            }
        }
    }
    found
}

/// The numbers of the names that have occurred before.
fn repeated<'a>(names: impl Iterator<Item = &'a Arc<str>>) -> Vec<usize> {
    let mut names: Vec<(&Arc<str>, usize)> = names.enumerate().map(|(i, n)| (n, i)).collect();
    names.sort_unstable();
    let pairs = names.windows(2).filter(|pair| pair[0].0 == pair[1].0);
    pairs.map(|pair| pair[1].1).collect()
}

/// What happens to an entry.
#[value(local)]
pub enum Change {
    /// It is new.
    Added,
    /// It is no longer there.
    Removed,
    /// A field of it gets another value.
    Set {
        /// The field.
        field: &'static str,
        /// The value in force.
        from: String,
        /// The value of the document.
        to: String,
    },
}

/// A difference between two documents.
#[value(local)]
pub struct Difference {
    /// The entry: `queue HOST/PREFIX`, `service NAME`, `limits` or `document`.
    pub entry: String,
    /// What happens to it.
    pub change: Change,
}

impl fmt::Display for Difference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.change {
            Change::Added => write!(f, "added {}", self.entry),
            Change::Removed => write!(f, "removed {}", self.entry),
            Change::Set { field, from, to } => {
                write!(f, "changed {}: {field} {from} -> {to}", self.entry)
            }
        }
    }
}

/// Name and value of a field.
type Field = (&'static str, String);

/// The entries of a document with the fields that have an effect, sorted by entry. A queue is the same
/// one in two documents if it has the same host and prefix.
fn entries(document: &Document) -> Vec<(String, Vec<Field>)> {
    let version = ("version", document.version.to_string());
    let body = ("body limit", document.limits.max_body_bytes.to_string());
    let mut entries = vec![
        ("document".to_string(), vec![version]),
        ("limits".to_string(), vec![body]),
    ];
    entries.extend(document.queues.iter().map(|queue| {
        let fields = vec![
            ("name", queue.name.to_string()),
            ("service", queue.service.to_string()),
            ("time-out", format!("{:?}", queue.timeout)),
            ("latency", format!("{:?}", queue.latency)),
            ("slack", format!("{}%", queue.slack_percent)),
            ("priority", queue.priority.to_string()),
            ("attempts", queue.max_attempts.to_string()),
            ("advisor", queue.uses_advisor.to_string()),
        ];
        (format!("queue {}{}", queue.host, queue.prefix), fields)
    }));
    entries.extend(document.services.iter().map(|service| {
        let connections = ("connections", service.max_connections.to_string());
        (format!("service {}", service.name), vec![connections])
    }));
    entries.sort();
    entries
}

/// What sending `new` would change while `old` is in force.
pub fn differences(old: &Document, new: &Document) -> Vec<Difference> {
    let (old, new) = (entries(old), entries(new));
    let find = |list: &[(String, Vec<Field>)], entry: &str| {
        let found = list.binary_search_by(|(name, _)| (**name).cmp(entry));
        found.ok()
    };
    let mut differences = Vec::new();
    for (entry, fields) in &new {
        let mut add = |change| {
            differences.push(Difference {
                entry: entry.clone(),
                change,
            });
        };
        let Some(before) = find(&old, entry) else {
            add(Change::Added);
            continue;
        };
        for ((field, to), (_, from)) in fields.iter().zip(&old[before].1) {
            if from != to {
                let (from, to) = (from.clone(), to.clone());
                add(Change::Set { field, from, to });
            }
        }
    }
    let removed = old
        .iter()
        .filter(|(entry, _)| find(&new, entry).is_none())
        .map(|(entry, _)| Difference {
            entry: entry.clone(),
            change: Change::Removed,
        });
    differences.extend(removed);
    differences
}
