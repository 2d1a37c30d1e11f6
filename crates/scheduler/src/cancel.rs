//! Cancelling of jobs.
//!
//! A copy of a submission may arrive seconds after its job was cancelled, or be on its way while it is.
//! Cancelled jobs are therefore kept for a while, whether this VM had them or not, and are not run
//! again. Their number is bounded.

use std::sync::Arc;
use std::time::Duration;

use greengage_config::Document;
use greengage_core::{value, Name, SortedMap, Time};

use crate::event::{Effect, Reply, Submission};
use crate::scheduler::Scheduler;

/// Time for which a cancelled job is kept: longer than links hold submissions, than callers repeat
/// them, and than a VM is paused or cut off before it is told.
pub const CANCEL_LIFETIME: Duration = Duration::from_secs(60);
/// Limit on the cancelled jobs that are kept, in about 1 MB if their keys are of common size.
const MAX_CANCELLED: usize = 4096;
/// Limit on the size of the key of a job that is cancelled without a queue.
const MAX_KEY_BYTES: usize = 1024;

/// Limit on the removed queues that are kept.
const MAX_REMOVED: usize = 256;

/// Identifies a job among the submissions of all callers.
#[value(key)]
pub struct JobKey {
    /// The host of the submission.
    pub host: Arc<str>,
    /// The path of the submission: a queue's prefix followed by the job's id.
    pub path: Arc<str>,
}

impl JobKey {
    /// The key of a submitted job.
    pub(crate) fn of(job: &Submission) -> JobKey {
        JobKey {
            host: job.host.clone(),
            path: job.path.clone(),
        }
    }
}

/// A cancelled job.
#[derive(Debug)]
struct Cancelled {
    /// Whether this VM had the job.
    held: bool,
    at: Time,
}

/// The jobs that were cancelled lately.
#[derive(Debug, Default)]
pub(crate) struct Cancellations {
    by_job: SortedMap<JobKey, Cancelled>,
}

impl Cancellations {
    /// Records that a job was cancelled at `at`. If there are too many, the oldest one is dropped.
    fn record(&mut self, now: Time, job: &JobKey, held: bool, at: Time) {
        self.by_job
            .retain(|_, cancelled| now.since(cancelled.at) < CANCEL_LIFETIME);
        if self.by_job.len() >= MAX_CANCELLED && !self.by_job.contains(job) {
            let oldest = self.by_job.iter().min_by_key(|(_, cancelled)| cancelled.at);
            if let Some(job) = oldest.map(|(job, _)| job.clone()) {
                self.by_job.remove(&job);
            }
        }
        let known = self.by_job.get(job);
        let held = held || known.is_some_and(|c| c.held);
        let at = known.map_or(at, |c| c.at.max(at));
        self.by_job.insert(job.clone(), Cancelled { held, at });
    }

    fn get(&self, now: Time, job: &JobKey) -> Option<&Cancelled> {
        let cancelled = self.by_job.get(job)?;
        (now.since(cancelled.at) < CANCEL_LIFETIME).then_some(cancelled)
    }
}

/// Queues that were removed while one with a shorter prefix matches the paths of their jobs.
#[derive(Debug, Default)]
pub(crate) struct RemovedQueues {
    /// Host and prefix, in the order of their removal.
    queues: Vec<(Arc<str>, Arc<str>)>,
}

impl RemovedQueues {
    /// Records which queues a new configuration removes.
    pub(crate) fn update(&mut self, old: &Document, new: &Document) {
        for queue in &old.queues {
            let key = (&queue.host, &queue.prefix);
            let found = new
                .queues
                .binary_search_by(|q| (&q.host, &q.prefix).cmp(&key));
            if found.is_err() && new.queue(&queue.host, &queue.prefix).is_some() {
                self.queues.push((queue.host.clone(), queue.prefix.clone()));
            }
        }
        let excess = self.queues.len().saturating_sub(MAX_REMOVED);
        self.queues.drain(..excess);
    }

    /// Whether a job with this key may have been accepted for one of them.
    fn may_have(&self, job: &JobKey) -> bool {
        let mut prefixes = self.queues.iter().filter(|(host, _)| *host == job.host);
        prefixes.any(|(_, prefix)| {
            let id = job.path.strip_prefix(&**prefix);
            id.is_some_and(|id| Name::new(id).is_ok())
        })
    }
}

impl Scheduler {
    /// Whether this VM has a job, or had it when it was cancelled.
    pub fn holds(&self, now: Time, job: &JobKey) -> bool {
        let cancelled = self.cancellations.get(now, job);
        cancelled.is_some_and(|c| c.held) || self.find_job(job).is_some()
    }

    /// The answer to a caller that cancels a job which no VM has; an error if none can have it. A job
    /// outlives its queue, so one that no queue matches may exist.
    pub fn absent_reply(&self, job: &JobKey) -> Result<Reply, Reply> {
        let document = self.document.as_ref();
        let queue = document.and_then(|d| d.queue(&job.host, &job.path));
        let (id, reply) = match queue {
            Some(queue) => (job.path.strip_prefix(&*queue.prefix), Reply::NoJob),
            None => {
                let is_short = job.host.len() + job.path.len() <= MAX_KEY_BYTES;
                let id = job.path.rsplit_once('/').map(|(_, id)| id);
                (id.filter(|_| is_short), Reply::NoQueue)
            }
        };
        match id.is_some_and(|id| Name::new(id).is_ok()) || self.removed_queues.may_have(job) {
            true => Ok(reply),
            false => Err(reply),
        }
    }

    /// Cancels a job for a caller who asked for it at `asked`: answers its callers, stops its runs, and
    /// runs none of its submissions that arrive later.
    pub fn cancel(&mut self, now: Time, job: &JobKey, asked: Time) -> Vec<Effect> {
        let mut out = Vec::new();
        let found = self.find_job(job);
        self.cancellations.record(now, job, found.is_some(), asked);
        if let Some(job_id) = found {
            self.finish(now, job_id, Reply::Cancelled, &mut out);
        }
        out
    }

    fn find_job(&self, key: &JobKey) -> Option<u64> {
        let mut jobs = self.jobs.iter();
        let found = jobs.find(|(_, job)| job.path == key.path && job.host == key.host);
        found.map(|(job_id, _)| *job_id)
    }

    /// Whether a job was cancelled lately, whether this VM had it or not.
    pub fn is_cancelled(&self, now: Time, job: &JobKey) -> bool {
        self.cancellations.get(now, job).is_some()
    }

    /// When a job was cancelled; `None` if it wasn't lately.
    pub fn cancelled_at(&self, now: Time, job: &JobKey) -> Option<Time> {
        self.cancellations.get(now, job).map(|c| c.at)
    }

    /// The jobs that were cancelled lately, and when.
    pub fn cancelled_jobs(&self, now: Time) -> Vec<(JobKey, Time)> {
        let jobs = self.cancellations.by_job.iter();
        let recent = jobs.filter(|(_, c)| now.since(c.at) < CANCEL_LIFETIME);
        recent.map(|(job, c)| (job.clone(), c.at)).collect()
    }

    /// Number of cancelled jobs that are kept.
    pub fn cancelled(&self, now: Time) -> usize {
        let jobs = self.cancellations.by_job.keys();
        jobs.filter(|job| self.is_cancelled(now, job)).count()
    }
}
