//! The jobs and which of their tasks were started.

use std::collections::BTreeMap;
use std::time::Duration;

use greengage_core::{JobNumber, SortedMap, Time};
use slab::Slab;

use crate::event::Mode;
use crate::ids::{AccountId, JobId, RackId, ShapeId, TargetId, WorkId};
use crate::queue::QueueKey;

/// How far a job's begin has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Not begun; it waits for its turn.
    NotBegun,
    /// The begin is being recorded.
    Beginning,
    /// Tasks may start.
    Begun,
}

/// The queue that holds a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueKind {
    /// Jobs to begin.
    Begin,
    /// Jobs with tasks to start.
    Start,
}

/// A task that goes back to the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingTask {
    pub(crate) task: u32,
    /// Attempts so far.
    pub(crate) attempts: u32,
    /// Lost attempts so far.
    pub(crate) lost: u32,
    /// Refused attempts so far.
    pub(crate) refused: u32,
    /// The target to avoid.
    pub(crate) avoid: Option<TargetId>,
}

/// A set of tasks; jobs of up to 64 tasks need no allocation.
#[derive(Clone, Debug)]
pub(crate) enum TaskSet {
    Small(u64),
    Large(Box<[u64]>),
}

impl TaskSet {
    fn new(tasks: u32) -> TaskSet {
        match tasks {
            0..=64 => TaskSet::Small(0),
            _ => TaskSet::Large(vec![0; tasks.div_ceil(64) as usize].into()),
        }
    }

    fn word(&mut self, task: u32) -> (&mut u64, u64) {
        let bit = 1 << (task % 64);
        match self {
            TaskSet::Small(word) => (word, bit),
            TaskSet::Large(words) => (&mut words[task as usize / 64], bit),
        }
    }

    /// Adds a task; false where it was there.
    pub(crate) fn insert(&mut self, task: u32) -> bool {
        let (word, bit) = self.word(task);
        let new = *word & bit == 0;
        *word |= bit;
        new
    }

    /// Whether a task is in the set.
    pub(crate) fn contains(&self, task: u32) -> bool {
        let word = match self {
            TaskSet::Small(word) => *word,
            TaskSet::Large(words) => words[task as usize / 64],
        };
        word & (1 << (task % 64)) != 0
    }

    /// Removes a task.
    pub(crate) fn remove(&mut self, task: u32) {
        let (word, bit) = self.word(task);
        *word &= !bit;
    }
}

/// A job.
#[derive(Debug)]
pub(crate) struct JobState {
    pub(crate) number: JobNumber,
    pub(crate) account: AccountId,
    pub(crate) work: WorkId,
    pub(crate) shape: ShapeId,
    pub(crate) tasks: u32,
    /// The first task that was never taken from the queue.
    pub(crate) next_task: u32,
    /// Tasks in the queue.
    pub(crate) queued: u32,
    pub(crate) running: u32,
    pub(crate) done: u32,
    /// Tasks that went back to the queue.
    pub(crate) requeued: Vec<PendingTask>,
    pub(crate) deadline: Time,
    pub(crate) arrival: Time,
    pub(crate) declared: Duration,
    /// Expected run time of one task at submission, in microseconds.
    pub(crate) task_us: u64,
    /// The present place in a queue.
    pub(crate) queue: Option<QueueKind>,
    pub(crate) size: u64,
    /// Whether the job goes to the head of its lane.
    pub(crate) at_head: bool,
    pub(crate) mode: Mode,
    pub(crate) phase: Phase,
    pub(crate) bytes: usize,
    /// Cost of one task in the account's share, set when the job is begun.
    pub(crate) staged_cost: Option<u64>,
    pub(crate) paused_until: Option<Time>,
    /// Starts not known to be `NotRun`; a task can have started where this isn't 0.
    pub(crate) possible_runs: u32,
    /// Tasks with a start whose outcome is not known to be `NotRun`.
    pub(crate) started_tasks: TaskSet,
    /// Starts per rack, for jobs that are spread.
    pub(crate) rack_starts: SortedMap<RackId, u32>,
}

impl JobState {
    pub(crate) fn queue_key(&self, job: JobId) -> QueueKey {
        QueueKey {
            size: self.size,
            arrival: self.arrival,
            job,
        }
    }

    /// Remaining work that orders the job in its lane.
    pub(crate) fn remaining(&self) -> u64 {
        match self.at_head {
            true => 0,
            false => self.task_us.saturating_mul(u64::from(self.queued)),
        }
    }

    /// The line in which the job belongs now.
    pub(crate) fn wanted_queue(&self) -> Option<QueueKind> {
        match (self.phase, self.paused_until) {
            (_, Some(_)) | (Phase::Beginning, None) => None,
            (_, None) if self.queued == 0 => None,
            (Phase::NotBegun, None) => Some(QueueKind::Begin),
            (Phase::Begun, None) => Some(QueueKind::Start),
        }
    }

    /// Takes the next task to start; the caller counts it.
    ///
    /// # Panics
    ///
    /// When a task of a recorded job would start again after a start that may have run.
    pub(crate) fn take_task(&mut self) -> PendingTask {
        let mut pending = self.requeued.pop().unwrap_or(PendingTask {
            task: self.next_task,
            attempts: 0,
            lost: 0,
            refused: 0,
            avoid: None,
        });
        if pending.task == self.next_task {
            self.next_task += 1;
        }
        pending.attempts += 1;
        let new = self.started_tasks.insert(pending.task);
        match self.mode {
            Mode::Recorded { .. } => {
                assert!(
                    new,
                    "job {} task {} would start twice",
                    self.number, pending.task
                );
                assert!(
                    self.phase == Phase::Begun,
                    "job {} is not begun",
                    self.number
                );
            }
            Mode::Repeatable { .. } => {}
        }
        pending
    }
}

/// The jobs, by number and by slab index.
///
/// The index is a BTreeMap: a million queued jobs are cancelled in any order, and removal from a
/// sorted vector would move half of them.
#[derive(Default)]
pub(crate) struct Jobs {
    slab: Slab<JobState>,
    by_number: BTreeMap<JobNumber, JobId>,
}

impl Jobs {
    pub(crate) fn task_set(tasks: u32) -> TaskSet {
        TaskSet::new(tasks)
    }

    pub(crate) fn find(&self, number: JobNumber) -> Option<JobId> {
        self.by_number.get(&number).copied()
    }

    pub(crate) fn insert(&mut self, entry: JobState) -> JobId {
        let number = entry.number;
        let id = JobId::new(self.slab.insert(entry));
        self.by_number.insert(number, id);
        id
    }

    pub(crate) fn remove(&mut self, id: JobId) -> JobState {
        let entry = self.slab.remove(id.index());
        self.by_number.remove(&entry.number);
        entry
    }

    pub(crate) fn get(&self, id: JobId) -> &JobState {
        &self.slab[id.index()]
    }

    pub(crate) fn get_mut(&mut self, id: JobId) -> &mut JobState {
        &mut self.slab[id.index()]
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (JobId, &JobState)> {
        self.slab.iter().map(|(id, entry)| (JobId::new(id), entry))
    }

    pub(crate) fn len(&self) -> usize {
        self.by_number.len()
    }
}
