//! Inputs, outputs and tuning of the dispatcher.

use std::time::Duration;

use greengage_core::{
    value, AccountName, Capacity, Demand, Failure, GuardAction, JobNumber, RackName, Refusal,
    Spread, TargetKind, TargetName, TemplateName, Time,
};
use greengage_membership::Standing;

/// Whether a job is recorded in the ledger, and what may happen to a lost attempt.
#[value(copy)]
pub enum JobMode {
    /// Recorded in the ledger: each task runs at most once, and only after the ledger has recorded
    /// the begin of the job.
    Recorded {
        /// Whether the ledger has recorded the begin already.
        begun: bool,
    },
    /// Not recorded: a task whose attempt is lost may be started again.
    Repeatable {
        /// Most lost attempts of a task that are retried.
        retries: u32,
    },
}

/// A job whose tasks are to be placed on targets.
#[value]
pub struct Job {
    /// The job's number, unique within this process and increasing.
    pub number: JobNumber,
    /// The client account that the job is charged to.
    pub account: AccountName,
    /// The template of the tasks, called the kind of work in this crate.
    pub work: TemplateName,
    /// The number of tasks; a job without tasks is complete at once.
    pub tasks: u32,
    /// The kind of target that runs the tasks.
    pub target_kind: TargetKind,
    /// Resources that one task needs on a worker; executors count slots only.
    pub demand: Demand,
    /// Whether the tasks are spread over racks.
    pub spread: Spread,
    /// When the job fails unless all of its tasks are done.
    pub deadline: Time,
    /// Declared run time of one task, used until enough run times were observed.
    pub declared: Duration,
    /// Whether the job is recorded, and how lost attempts are handled.
    pub mode: JobMode,
    /// The size of all tasks in bytes.
    pub bytes: usize,
}

/// One start of one task.
#[value(copy, key)]
pub struct Attempt {
    /// The job's number.
    pub job: JobNumber,
    /// The index of the task in the job, from 0.
    pub task: u32,
    /// The number of the attempt at this task, from 1.
    pub number: u32,
}

/// An attempt that was already running when a new leader took over.
#[value]
pub struct RunningAttempt {
    /// The attempt that an earlier leader started.
    pub attempt: Attempt,
    /// The target that runs it.
    pub target: TargetName,
}

/// How an attempt ended.
#[value]
pub enum AttemptOutcome {
    /// The target returned the result.
    Done {
        /// The target's service time for the task.
        service: Duration,
    },
    /// The target reported that the task failed.
    Failed {
        /// The target's error message.
        message: String,
    },
    /// The start was refused or never sent: the task didn't run.
    NotRun,
    /// The result can't be obtained: the task may have run.
    Lost,
    /// A worker's resource guard acted on the task; `Throttled` doesn't end the attempt.
    Guard(GuardAction),
}

/// The limits of a client account for one kind of work.
#[value]
pub struct Share {
    /// Share of the capacity relative to the other accounts; 0 counts as 1.
    pub weight: u32,
    /// Most queued tasks.
    pub quota: u32,
    /// Most running tasks.
    pub concurrency: u32,
    /// Tasks that may be queued beyond the quota for a limited time.
    pub burst: u32,
}

/// A target as it announces itself.
#[value]
pub struct TargetSpec {
    /// The target's name.
    pub target: TargetName,
    /// The rack of a worker; `None` when it has none.
    pub rack: Option<RackName>,
    /// The kinds of work that it runs.
    pub work: Vec<TemplateName>,
    /// The slots of an executor or the resources of a worker.
    pub capacity: Capacity,
}

/// An input of the dispatcher.
#[value]
pub enum Event {
    /// Queues an admitted job.
    Submit(Job),
    /// Takes over a job that an earlier leader began.
    Adopt {
        /// The job, begun in the ledger.
        job: Job,
        /// Indices of the tasks that are done.
        done: Vec<u32>,
        /// Attempts that are still running.
        running: Vec<RunningAttempt>,
    },
    /// The ledger has recorded the begin of a job.
    BeginRecorded(JobNumber),
    /// An attempt ended, or a guard throttled it.
    AttemptEnded {
        /// The attempt; an unknown one is ignored.
        attempt: Attempt,
        /// How it ended.
        outcome: AttemptOutcome,
    },
    /// Fails a job as cancelled and stops its running tasks.
    Cancel(JobNumber),
    /// A target announced itself, for the first time or with changes.
    TargetAnnounced(TargetSpec),
    /// A target's standing changed.
    TargetStanding {
        /// The target's name.
        target: TargetName,
        /// The new standing.
        standing: Standing,
    },
    /// A target was removed; the caller reports each of its running attempts as settled.
    TargetRemoved(TargetName),
    /// A worker reported its resource usage.
    WorkerUsage {
        /// The worker's name.
        target: TargetName,
        /// Resources in use.
        used: Demand,
    },
    /// Sets the limits of an account for a kind of work.
    SetShare {
        /// The kind of work.
        work: TemplateName,
        /// The account to limit.
        account: AccountName,
        /// The limits that replace the previous ones.
        share: Share,
    },
    /// The time that `Dispatch::next_wake` returned has passed.
    Tick,
}

/// An output of the dispatcher, for the caller to carry out.
#[value]
pub enum Effect {
    /// Record the begin of these jobs, then report `Event::BeginRecorded` for each.
    RecordBegin(Vec<JobNumber>),
    /// Start a task.
    Start {
        /// The new attempt.
        attempt: Attempt,
        /// The target that is to run it.
        target: TargetName,
    },
    /// Stop a running task of a failed job; its result isn't needed any more.
    Stop {
        /// The attempt to stop.
        attempt: Attempt,
        /// The target that runs it.
        target: TargetName,
    },
    /// All tasks of a job are done.
    Complete(JobNumber),
    /// A job failed and was removed.
    Failed {
        /// The job's number.
        job: JobNumber,
        /// The cause, for the client.
        failure: Failure,
    },
}

/// The decision on whether a job is accepted.
#[value]
pub enum Admission {
    /// The first task can start now, so the job may be accepted and begun in one ledger entry.
    Start,
    /// The job has to wait in the queue.
    Queue,
    /// The job is refused.
    Refuse(Refusal),
}

/// The policy by which a target is chosen.
#[value(copy)]
pub enum Placement {
    /// A random target with room.
    Random,
    /// The target with room whose observed speed is highest.
    Fastest,
}

/// The scheduling rules, each of which can be switched off to measure its effect.
#[value]
pub struct Tuning {
    /// The policy by which a target is chosen.
    pub placement: Placement,
    /// Whether accounts share the capacity by weight; else the order ignores accounts.
    pub fair_share: bool,
    /// Whether the job with the least expected work starts first; else the oldest.
    pub shortest_first: bool,
    /// Percentage of a zone's capacity that is reserved for short work.
    pub reserve_percent: u32,
    /// Expected run time from which work is long.
    pub long_threshold: Duration,
    /// Whether a job that is expected to miss its deadline is refused at submission.
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
    /// How long a queued job may be overtaken by shorter ones of its account.
    pub max_overtake: Duration,
}

impl Tuning {
    /// The baseline for measurements: first come, first served on a random target with room,
    /// without refusal of late work and without a reserve.
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
                // A bound below the usual deadlines would make a load peak run oldest first, which
                // starts the jobs that are closest to missing their deadline.
                max_overtake: Duration::from_secs(10),
            },
        }
    }
}
