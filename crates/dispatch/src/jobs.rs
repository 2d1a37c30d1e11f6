//! Jobs and the state of their tasks.

use std::collections::BTreeMap;
use std::time::Duration;

use greengage_core::{JobNumber, SortedMap, Time};
use slab::Slab;

use crate::event::JobMode;
use crate::ids::{AccountId, JobId, RackId, ShapeId, TargetId, WorkId};
use crate::queue::QueueKey;

/// The state of a job's begin in the ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The begin hasn't been requested.
    NotBegun,
    /// The begin has been requested and isn't recorded yet.
    Beginning,
    /// The begin is recorded, or the job needs none; tasks may start.
    Begun,
}

/// The queue of a lane that a job is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueueKind {
    /// Jobs that wait for their begin.
    Begin,
    /// Jobs with tasks that may start.
    Start,
}

/// A task taken from the queue or returned to it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingTask {
    pub(crate) task: u32,
    /// Number of attempts so far.
    pub(crate) attempts: u32,
    /// Number of lost attempts so far.
    pub(crate) lost: u32,
    /// Number of attempts so far that were refused or not sent.
    pub(crate) refused: u32,
    /// The target of the last attempt, which the next one avoids; `None` before the first one.
    pub(crate) avoid: Option<TargetId>,
}

/// A bit set of task indices; jobs of up to 64 tasks need no allocation.
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

    /// Adds a task; returns false if it was in the set already.
    pub(crate) fn insert(&mut self, task: u32) -> bool {
        let (word, bit) = self.word(task);
        let new = *word & bit == 0;
        *word |= bit;
        new
    }

    pub(crate) fn contains(&self, task: u32) -> bool {
        let word = match self {
            TaskSet::Small(word) => *word,
            TaskSet::Large(words) => words[task as usize / 64],
        };
        word & (1 << (task % 64)) != 0
    }

    pub(crate) fn remove(&mut self, task: u32) {
        let (word, bit) = self.word(task);
        *word &= !bit;
    }
}

/// A job that hasn't ended.
#[derive(Debug)]
pub(crate) struct JobState {
    pub(crate) number: JobNumber,
    pub(crate) account: AccountId,
    pub(crate) work: WorkId,
    pub(crate) shape: ShapeId,
    pub(crate) tasks: u32,
    /// The lowest task index that was never taken from the queue.
    pub(crate) next_task: u32,
    /// Number of tasks in the queue.
    pub(crate) queued: u32,
    /// Number of tasks with an attempt that hasn't ended.
    pub(crate) running: u32,
    /// Number of tasks with a result.
    pub(crate) done: u32,
    /// Tasks that were returned to the queue, last in, first out.
    pub(crate) requeued: Vec<PendingTask>,
    pub(crate) deadline: Time,
    pub(crate) arrival: Time,
    /// Declared run time of one task.
    pub(crate) declared: Duration,
    /// Expected run time of one task at submission, in microseconds.
    pub(crate) task_us: u64,
    /// The queue that holds the job, and `size`, its sort key there.
    pub(crate) queue: Option<QueueKind>,
    pub(crate) size: u64,
    /// Whether the job goes to the head of its lane, as it does with a returned task.
    pub(crate) at_head: bool,
    pub(crate) mode: JobMode,
    pub(crate) phase: Phase,
    pub(crate) bytes: usize,
    /// Cost of one staged task in the account's tag; `None` for a repeatable job, and for a
    /// recorded one before its begin is requested.
    pub(crate) staged_cost: Option<u64>,
    /// Until when no task starts after repeated refusals; `None` while not paused.
    pub(crate) paused_until: Option<Time>,
    /// Number of starts not known to be `NotRun`. While it is 0, no task can have run.
    pub(crate) possible_runs: u32,
    /// Tasks with a start that isn't known to be `NotRun`.
    pub(crate) started_tasks: TaskSet,
    /// Number of starts per rack, for jobs that are spread over racks.
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

    /// Queued work in microseconds, by which the job is ordered in its lane.
    pub(crate) fn remaining(&self) -> u64 {
        match self.at_head {
            true => 0,
            false => self.task_us.saturating_mul(u64::from(self.queued)),
        }
    }

    /// The queue that should hold the job in its current state.
    pub(crate) fn wanted_queue(&self) -> Option<QueueKind> {
        match (self.phase, self.paused_until) {
            (_, Some(_)) | (Phase::Beginning, None) => None,
            (_, None) if self.queued == 0 => None,
            (Phase::NotBegun, None) => Some(QueueKind::Begin),
            (Phase::Begun, None) => Some(QueueKind::Start),
        }
    }

    /// Takes the next task to start; the caller updates the counts.
    ///
    /// # Panics
    ///
    /// Panics if a recorded job isn't begun, or if its task has a start that may have run.
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
            JobMode::Recorded { .. } => {
                assert!(
                    new,
                    "job {} task {} would run twice",
                    self.number, pending.task
                );
                assert!(
                    self.phase == Phase::Begun,
                    "job {} would start before its begin is recorded",
                    self.number
                );
            }
            JobMode::Repeatable { .. } => {}
        }
        pending
    }
}

/// All jobs, by number and by slab index.
///
/// The index is a BTreeMap, because up to a million queued jobs are cancelled in any order, and a
/// removal from a sorted vector would move half of the entries.
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
