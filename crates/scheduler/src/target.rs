//! A target: what it reported, who owns it, its lease and its runs.
//!
//! The lease is a time on the target's own clock, which is read from each of its answers. Until
//! the last lease that was sent has certainly ended there, a run whose end isn't known may go on.

use std::sync::Arc;
use std::time::Duration;

use greengage_core::{Demand, Incarnation, Time, VmName};

use crate::ends::RunOutcome;
use crate::estimate::Learned;
use crate::event::TargetReport;
use crate::health::Health;

/// The lease of what runs on a target. A caller that has lost its VM submits its job again 1.3 s
/// later, and by then nothing of it may run, even if the VM that runs an errand for the lost one
/// dies just before it has noticed: the silence after which errands are stopped and the lease
/// together stay below that time. Holds renew it three times.
pub(crate) const LEASE: Duration = Duration::from_millis(650);
/// Time between two orders to stop the same run.
pub(crate) const STOP_AGAIN: Duration = Duration::from_millis(150);
/// How much slower than this VM's clock a target's clock may be, in percent.
const CLOCK_DRIFT: u32 = 2;
/// Added to the end of a lease before what ran under it counts as gone.
const LEASE_MARGIN: Duration = Duration::from_millis(60);

/// Whose task a run executes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A task of this VM's job.
    Own(u64),
    /// An errand of another VM.
    Peer {
        /// The VM.
        vm: VmName,
        /// Its number of the errand.
        ticket: u64,
    },
}

impl Origin {
    /// Whether it is an errand of a VM.
    pub(crate) fn is_errand_of(&self, vm: &VmName) -> bool {
        match self {
            Origin::Own(_) => false,
            Origin::Peer { vm: sender, .. } => sender == vm,
        }
    }

    /// A number that differs between jobs, to tell failures of one job from those of several.
    pub(crate) fn job_number(&self) -> u64 {
        match self {
            Origin::Own(job) => *job,
            // Errands of one job have neighbouring numbers.
            Origin::Peer { ticket, .. } => u64::MAX - ticket / 8,
        }
    }
}

/// How far an order to run a task has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunState {
    /// The start was sent.
    Starting,
    /// The target has confirmed it.
    Running,
    /// It has to be stopped; the stop was sent at this time.
    Stopping(Time),
    /// The target confirmed at this time that it is stopped or can't start.
    Stopped(Time),
}

/// An order to run a task.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) task: Arc<str>,
    pub(crate) number: u32,
    pub(crate) origin: Origin,
    pub(crate) queue: Arc<str>,
    pub(crate) demand: Demand,
    pub(crate) declared: Duration,
    pub(crate) state: RunState,
    pub(crate) sent: Time,
    /// When the run is given up.
    pub(crate) end: Time,
    /// How far it is, in percent, and when it was seen to move.
    pub(crate) percent: u32,
    pub(crate) moved: Time,
    /// When the target's lists last showed it.
    pub(crate) looked: Time,
    /// Whether it is stopped because it could not have ended in time.
    pub(crate) too_long: bool,
    /// When it was first ordered to be stopped.
    pub(crate) unwanted: Option<Time>,
    /// Whether its job, or the VM that sent it, knows that it has ended; it still takes room until
    /// the target's lists show the end.
    pub(crate) told: bool,
}

/// What a run is started with.
pub(crate) struct Order {
    pub(crate) task: Arc<str>,
    pub(crate) number: u32,
    pub(crate) origin: Origin,
    pub(crate) queue: Arc<str>,
    pub(crate) demand: Demand,
    pub(crate) declared: Duration,
    /// When the run is given up.
    pub(crate) end: Time,
}

impl Run {
    /// A run whose start is sent now.
    pub(crate) fn new(now: Time, order: Order) -> Run {
        Run {
            task: order.task,
            number: order.number,
            origin: order.origin,
            queue: order.queue,
            demand: order.demand,
            declared: order.declared,
            state: RunState::Starting,
            sent: now,
            end: order.end,
            percent: 0,
            moved: now,
            looked: now,
            too_long: false,
            unwanted: None,
            told: false,
        }
    }

    /// What its task is told when it was stopped.
    pub(crate) fn stopped_outcome(&self) -> RunOutcome {
        match self.too_long {
            true => RunOutcome::TooLong,
            false => RunOutcome::NotRunning,
        }
    }
}

/// Whether this VM owns a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Lease {
    /// It doesn't.
    None,
    /// It has claimed it and waits until runs of earlier owners are gone.
    Claiming,
    /// It does.
    Owned,
}

/// The held call of an owned target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Hold {
    /// When the call in flight was sent.
    pub(crate) sent: Option<Time>,
    /// When the next one may be sent.
    pub(crate) next: Time,
    /// Calls without an answer in a row.
    pub(crate) misses: u32,
}

/// A target.
#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) report: TargetReport,
    /// When it last reported.
    pub(crate) reported: Time,
    pub(crate) lease: Lease,
    /// Whether the rule gives it to this VM, and since when.
    pub(crate) mine: Option<Time>,
    /// When it first reported after that.
    pub(crate) seen: Option<Time>,
    /// Whether nothing more is started on it, so that it can be handed over.
    pub(crate) emptying: bool,
    pub(crate) generation: u64,
    /// Generations by which the next claim exceeds the time of day, after a claim was fenced.
    pub(crate) raise: u64,
    /// Until when no claim is made.
    pub(crate) rest: Time,
    pub(crate) hold: Hold,
    pub(crate) observed: u64,
    /// The target's clock in milliseconds and when it was read.
    pub(crate) clock: Option<(u64, Time)>,
    /// When the last lease that was sent has certainly ended.
    pub(crate) leased: Time,
    /// No start until this time, after a start found no room.
    pub(crate) full: Time,
    pub(crate) runs: Vec<Run>,
    pub(crate) speed: Learned,
    pub(crate) health: Health,
}

impl Target {
    pub(crate) fn new(now: Time, report: TargetReport) -> Target {
        Target {
            report,
            reported: now,
            lease: Lease::None,
            mine: None,
            seen: None,
            emptying: false,
            generation: 0,
            raise: 0,
            rest: now,
            hold: Hold::default(),
            observed: 0,
            clock: None,
            leased: now,
            full: now,
            runs: Vec::new(),
            speed: Learned::default(),
            health: Health::default(),
        }
    }

    /// Begins a new life of the target: it runs nothing and knows nothing of before.
    pub(crate) fn begin_life(&mut self, life: Incarnation) {
        self.report.life = life;
        self.report.sequence = 0;
        self.forget();
        self.recheck_runs();
        self.speed = Learned::default();
        self.health = Health::default();
    }

    /// Gives up ownership, with all that depends on it.
    pub(crate) fn forget(&mut self) {
        self.lease = Lease::None;
        self.emptying = false;
        self.hold = Hold::default();
        self.observed = 0;
        self.clock = None;
    }

    /// Lets all runs be stopped again: it isn't known which of them are there.
    pub(crate) fn recheck_runs(&mut self) {
        for run in &mut self.runs {
            run.state = RunState::Stopping(Time(0));
            run.unwanted = None;
        }
    }

    /// Whether it may run the tasks of a service that ask for a label.
    pub(crate) fn serves(&self, service: &str, label: Option<&Arc<str>>) -> bool {
        let labels = &self.report.labels;
        *self.report.service == *service && label.is_none_or(|label| labels.contains(label))
    }

    /// Whether a run has to be stopped and no stop has been confirmed for a while. The lease of all
    /// that runs there isn't extended then: it ends before a caller that has lost its VM submits
    /// its job again.
    pub(crate) fn is_overrun(&self, now: Time) -> bool {
        self.runs.iter().any(|run| {
            let unwanted = run.unwanted.is_some_and(|at| now.since(at) >= STOP_AGAIN);
            unwanted && !matches!(run.state, RunState::Stopped(_))
        })
    }

    /// What is free.
    pub(crate) fn free(&self) -> Demand {
        let runs = self.runs.iter();
        runs.fold(self.report.capacity, |free, run| free.minus(&run.demand))
    }

    /// Whether tasks may be started on it.
    pub(crate) fn is_open(&self, now: Time) -> bool {
        self.lease == Lease::Owned
            && !self.emptying
            && !self.report.draining
            && !self.is_overrun(now)
            && self.hold.misses == 0
            && now >= self.full
            && self.clock.is_some()
            && self.runs.len() < self.health.most_runs(now)
    }

    /// The end of a lease that starts now, in milliseconds of the target's clock; notes until when
    /// what runs there may go on.
    pub(crate) fn grant(&mut self, now: Time) -> Option<u64> {
        let (clock, read) = self.clock?;
        let lease = clock + (now.since(read) + LEASE).as_millis() as u64;
        // The target's clock may have lost the drift since it was read.
        let slow = (now.since(read) + LEASE) * CLOCK_DRIFT / 100;
        self.leased = self.leased.max(now + LEASE + slow + LEASE_MARGIN);
        Some(lease)
    }

    /// The run of a task.
    pub(crate) fn run(&self, task: &str, number: u32) -> Option<usize> {
        let mut runs = self.runs.iter();
        runs.position(|run| run.number == number && &*run.task == task)
    }
}
