//! Inputs and outputs of the dispatcher.

use std::time::Duration;

use greengage_core::{
    value, AccountName, Capacity, Demand, Failure, GuardAction, JobNumber, RackName, Refusal,
    Spread, TargetKind, TargetName, TemplateName, Time,
};
use greengage_membership::Standing;

/// How a job may be run.
#[value(copy)]
pub enum Mode {
    /// Recorded in the ledger: each task starts at most once, after the job is begun.
    Recorded {
        /// Whether the ledger has the begin already.
        begun: bool,
    },
    /// Not recorded: a lost attempt is tried again.
    Repeatable {
        /// Further attempts of a lost task.
        retries: u32,
    },
}

/// A job to place.
#[value]
pub struct Job {
    /// The number, unique in this process and growing.
    pub number: JobNumber,
    /// The client account.
    pub account: AccountName,
    /// The kind of work.
    pub work: TemplateName,
    /// The number of tasks.
    pub tasks: u32,
    /// The kind of target.
    pub target: TargetKind,
    /// What one task needs on a worker.
    pub demand: Demand,
    /// How tasks are spread.
    pub spread: Spread,
    /// When the answer is due.
    pub deadline: Time,
    /// Expected run time of one task until it was observed.
    pub expected: Duration,
    /// How it may be run.
    pub mode: Mode,
    /// Bytes of its tasks.
    pub bytes: usize,
}

/// One start of one task.
#[value(copy, key)]
pub struct Attempt {
    /// The job.
    pub job: JobNumber,
    /// The task.
    pub task: u32,
    /// The number of the attempt, from 1.
    pub number: u32,
}

/// A task that runs already when a new leader takes over.
#[value]
pub struct Running {
    /// The attempt.
    pub attempt: Attempt,
    /// Where it runs.
    pub target: TargetName,
}

/// How an attempt ended.
#[value]
pub enum Settled {
    /// The task gave its result.
    Done {
        /// How long the target worked on it.
        service: Duration,
    },
    /// The task reported an error.
    Failed {
        /// The target's message.
        message: String,
    },
    /// The start was refused or never sent: the task didn't run.
    NotRun,
    /// The result can't be had: the task may have run.
    Lost,
    /// A worker's guard acted; `Throttled` doesn't end the attempt.
    Guard(GuardAction),
}

/// A client account's limits.
#[value]
pub struct Share {
    /// The share relative to others.
    pub weight: u32,
    /// Most tasks queued at once.
    pub quota: u32,
    /// Most tasks running at once.
    pub concurrency: u32,
    /// Tasks that may be queued beyond the quota for a short time.
    pub burst: u32,
}

/// A target to place tasks on.
#[value]
pub struct TargetSpec {
    /// The target.
    pub target: TargetName,
    /// Its rack, for a worker.
    pub rack: Option<RackName>,
    /// The kinds of work that it runs.
    pub work: Vec<TemplateName>,
    /// What it offers.
    pub capacity: Capacity,
}

/// An input.
#[value]
pub enum Event {
    /// An admitted job joins the queue.
    Submit(Job),
    /// A job that an earlier leader began.
    Adopt {
        /// The job.
        job: Job,
        /// Tasks that have their result.
        done: Vec<u32>,
        /// Tasks that run.
        running: Vec<Running>,
    },
    /// The ledger has the begin of a job.
    Begun(JobNumber),
    /// An attempt ended.
    Settled {
        /// The attempt.
        attempt: Attempt,
        /// How.
        settled: Settled,
    },
    /// Ends a job; its running tasks are stopped.
    Cancel(JobNumber),
    /// A target is new or changed.
    Target(TargetSpec),
    /// A target's standing changed.
    Standing {
        /// The target.
        target: TargetName,
        /// The standing.
        standing: Standing,
    },
    /// A target is gone; its running attempts are reported as settled one by one by the caller.
    Gone(TargetName),
    /// A worker reported what its tasks use.
    Usage {
        /// The worker.
        target: TargetName,
        /// In use.
        used: Demand,
    },
    /// An account's limits for a kind of work.
    Share {
        /// The kind of work.
        work: TemplateName,
        /// The account.
        account: AccountName,
        /// The limits.
        share: Share,
    },
    /// The time that `wake` named has come.
    Tick,
}

/// An output.
#[value]
pub enum Effect {
    /// Record the begin of these jobs, then report `Event::Begun` for each.
    Begin(Vec<JobNumber>),
    /// Start a task.
    Start {
        /// The attempt.
        attempt: Attempt,
        /// Where.
        target: TargetName,
    },
    /// Stop a running task; nobody waits for it any more.
    Stop {
        /// The attempt.
        attempt: Attempt,
        /// Where.
        target: TargetName,
    },
    /// All tasks of a job are done.
    Complete(JobNumber),
    /// A job failed and is forgotten here.
    Failed {
        /// The job.
        job: JobNumber,
        /// Why.
        failure: Failure,
    },
}

/// The answer to the question whether a job may join.
#[value]
pub enum Admission {
    /// Its first task can start now, so it may be accepted and begun in one step.
    Start,
    /// It waits in the queue.
    Queue,
    /// It is refused.
    Refuse(Refusal),
}

/// How targets are chosen.
#[value(copy)]
pub enum Placement {
    /// A random target with room.
    Random,
    /// The target with room on which the kind of work has run fastest.
    Fastest,
}

/// Rules that can be switched off, so that each can be measured against its absence.
#[value]
pub struct Tuning {
    /// How targets are chosen.
    pub placement: Placement,
    /// Whether accounts share by weight; else first come, first served.
    pub fair_share: bool,
    /// Whether the shortest expected job of an account goes first.
    pub shortest_first: bool,
    /// Share of a zone's slots in percent that long work never takes.
    pub reserve_percent: u32,
    /// Expected run time from which work is long.
    pub long_threshold: Duration,
    /// Whether work that would be late is refused at once.
    pub refuse_late: bool,
    /// Limits of the queue.
    pub limits: Limits,
}

/// Limits of the queue.
#[value]
pub struct Limits {
    /// Most queued tasks.
    pub max_tasks: u32,
    /// Most queued bytes.
    pub max_bytes: usize,
    /// Longest time by which a queued job may be overtaken within its account.
    pub max_overtake: Duration,
}

impl Tuning {
    /// First come, first served on a random target with room, without refusals of late work and
    /// without a reserve: what the rules are measured against.
    pub fn baseline() -> Tuning {
        Tuning {
            placement: Placement::Random,
            fair_share: false,
            shortest_first: false,
            reserve_percent: 0,
            refuse_late: false,
            ..Tuning::default()
        }
    }
}

impl Default for Tuning {
    fn default() -> Self {
        Tuning {
            placement: Placement::Fastest,
            fair_share: true,
            shortest_first: true,
            reserve_percent: 25,
            long_threshold: Duration::from_millis(1000),
            refuse_late: true,
            limits: Limits {
                max_tasks: 1_000_000,
                max_bytes: 512 << 20,
                // Less than the usual deadlines would turn a crest into oldest first, which starts
                // the jobs that are nearest to missing their deadline.
                max_overtake: Duration::from_secs(10),
            },
        }
    }
}
