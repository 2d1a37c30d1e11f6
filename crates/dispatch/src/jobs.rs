//! The jobs and which of their tasks were started.

use std::collections::BTreeMap;
use std::time::Duration;

use greengage_core::{JobNumber, SortedMap, Time};
use slab::Slab;

use crate::event::Mode;
use crate::ids::{AccountId, JobId, RackId, ShapeId, TargetId, WorkId};
use crate::queue::Place;

/// How far a job's begin has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// Not begun; it waits for its turn.
    Unbegun,
    /// The begin is being recorded.
    Beginning,
    /// Tasks may start.
    Begun,
}

/// The queue that holds a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Line {
    /// Jobs to begin.
    Begins,
    /// Jobs with tasks to start.
    Starts,
}

/// A task that goes back to the queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pending {
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
pub(crate) enum Bits {
    Small(u64),
    Large(Box<[u64]>),
}

impl Bits {
    fn new(tasks: u32) -> Bits {
        match tasks {
            0..=64 => Bits::Small(0),
            _ => Bits::Large(vec![0; tasks.div_ceil(64) as usize].into()),
        }
    }

    fn word(&mut self, task: u32) -> (&mut u64, u64) {
        let bit = 1 << (task % 64);
        match self {
            Bits::Small(word) => (word, bit),
            Bits::Large(words) => (&mut words[task as usize / 64], bit),
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
            Bits::Small(word) => *word,
            Bits::Large(words) => words[task as usize / 64],
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
pub(crate) struct Entry {
    pub(crate) number: JobNumber,
    pub(crate) account: AccountId,
    pub(crate) work: WorkId,
    pub(crate) shape: ShapeId,
    pub(crate) tasks: u32,
    /// The first task that was never taken from the queue.
    pub(crate) next: u32,
    /// Tasks in the queue.
    pub(crate) queued: u32,
    pub(crate) running: u32,
    pub(crate) done: u32,
    /// Tasks that went back to the queue.
    pub(crate) back: Vec<Pending>,
    pub(crate) deadline: Time,
    pub(crate) arrival: Time,
    pub(crate) declared: Duration,
    /// Expected run time of one task at submission, in microseconds.
    pub(crate) unit: u64,
    /// The present place in a queue.
    pub(crate) line: Option<Line>,
    pub(crate) size: u64,
    /// Whether the job goes to the head of its lane.
    pub(crate) front: bool,
    pub(crate) mode: Mode,
    pub(crate) phase: Phase,
    pub(crate) bytes: usize,
    /// Cost of one task in the account's share, set when the job is begun.
    pub(crate) primed: Option<u64>,
    pub(crate) paused: Option<Time>,
    /// Starts not known to be `NotRun`; a task can have started where this isn't 0.
    pub(crate) begun: u32,
    /// Tasks with a start whose outcome is not known to be `NotRun`.
    pub(crate) started: Bits,
    /// Starts per rack, for jobs that are spread.
    pub(crate) racks: SortedMap<RackId, u32>,
}

impl Entry {
    pub(crate) fn place(&self, job: JobId) -> Place {
        Place {
            size: self.size,
            arrival: self.arrival,
            job,
        }
    }

    /// Remaining work that orders the job in its lane.
    pub(crate) fn remaining(&self) -> u64 {
        match self.front {
            true => 0,
            false => self.unit.saturating_mul(u64::from(self.queued)),
        }
    }

    /// The line in which the job belongs now.
    pub(crate) fn wanted(&self) -> Option<Line> {
        match (self.phase, self.paused) {
            (_, Some(_)) | (Phase::Beginning, None) => None,
            (_, None) if self.queued == 0 => None,
            (Phase::Unbegun, None) => Some(Line::Begins),
            (Phase::Begun, None) => Some(Line::Starts),
        }
    }

    /// Takes the next task to start; the caller counts it.
    ///
    /// # Panics
    ///
    /// When a task of a recorded job would start again after a start that may have run.
    pub(crate) fn take(&mut self) -> Pending {
        let mut pending = self.back.pop().unwrap_or(Pending {
            task: self.next,
            attempts: 0,
            lost: 0,
            refused: 0,
            avoid: None,
        });
        if pending.task == self.next {
            self.next += 1;
        }
        pending.attempts += 1;
        let new = self.started.insert(pending.task);
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
    slab: Slab<Entry>,
    numbers: BTreeMap<JobNumber, JobId>,
}

impl Jobs {
    pub(crate) fn bits(tasks: u32) -> Bits {
        Bits::new(tasks)
    }

    pub(crate) fn find(&self, number: JobNumber) -> Option<JobId> {
        self.numbers.get(&number).copied()
    }

    pub(crate) fn insert(&mut self, entry: Entry) -> JobId {
        let number = entry.number;
        let id = JobId::new(self.slab.insert(entry));
        self.numbers.insert(number, id);
        id
    }

    pub(crate) fn remove(&mut self, id: JobId) -> Entry {
        let entry = self.slab.remove(id.at());
        self.numbers.remove(&entry.number);
        entry
    }

    pub(crate) fn get(&self, id: JobId) -> &Entry {
        &self.slab[id.at()]
    }

    pub(crate) fn get_mut(&mut self, id: JobId) -> &mut Entry {
        &mut self.slab[id.at()]
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (JobId, &Entry)> {
        self.slab.iter().map(|(id, entry)| (JobId::new(id), entry))
    }

    pub(crate) fn len(&self) -> usize {
        self.numbers.len()
    }
}
