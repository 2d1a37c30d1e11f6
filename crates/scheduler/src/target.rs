//! A target: what it reported, who owns it, its lease and its runs.
//!
//! The lease is a time on the target's own clock, which is read from each of its answers. Until
//! the last lease that was sent has certainly ended there, a run whose end isn't known may go on.

use std::sync::Arc;
use std::time::Duration;

use greengage_core::{Demand, Incarnation, Time, VmName};

use crate::ends::RunOutcome;
use crate::estimate::LearnedFactor;
use crate::event::TargetReport;
use crate::health::Health;

/// The lease of what runs on a target. A caller that has lost its VM submits its job again 1.3 s
/// later, and by then nothing of it may run, even if the VM that runs an errand for the lost one
/// dies just before it has noticed: the silence after which errands are stopped and the lease
/// together stay below that time. Holds renew it three times.
pub(crate) const LEASE_DURATION: Duration = Duration::from_millis(650);
/// Time between two orders to stop the same run.
pub(crate) const STOP_RETRY: Duration = Duration::from_millis(150);
/// How much slower than this VM's clock a target's clock may be, in percent.
const CLOCK_DRIFT_PERCENT: u32 = 2;
/// Added to the end of a lease before what ran under it counts as gone.
const LEASE_MARGIN: Duration = Duration::from_millis(60);

/// Whose task a run executes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A task of this VM's job.
    Local(u64),
    /// An errand of another VM.
    Peer {
        /// The VM.
        vm: VmName,
        /// Its number of the errand.
        offload_id: u64,
    },
}

impl Origin {
    /// Whether it is an errand of a VM.
    pub(crate) fn is_offloaded_by(&self, vm: &VmName) -> bool {
        match self {
            Origin::Local(_) => false,
            Origin::Peer { vm: sender, .. } => sender == vm,
        }
    }

    /// A number that differs between jobs, to tell failures of one job from those of several.
    pub(crate) fn job_key(&self) -> u64 {
        match self {
            Origin::Local(job) => *job,
            // Errands of one job have neighbouring numbers.
            Origin::Peer { offload_id, .. } => u64::MAX - offload_id / 8,
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
    pub(crate) deadline: Time,
    /// How far it is, in percent, and when it was seen to move.
    pub(crate) percent: u32,
    pub(crate) progressed: Time,
    /// When the target's lists last showed it.
    pub(crate) last_listed: Time,
    /// Whether it is stopped because it could not have ended in time.
    pub(crate) too_long: bool,
    /// When it was first ordered to be stopped.
    pub(crate) stop_requested: Option<Time>,
    /// Whether its job, or the VM that sent it, knows that it has ended; it still takes room until
    /// the target's lists show the end.
    pub(crate) notified: bool,
}

/// What a run is started with.
pub(crate) struct RunParams {
    pub(crate) task: Arc<str>,
    pub(crate) number: u32,
    pub(crate) origin: Origin,
    pub(crate) queue: Arc<str>,
    pub(crate) demand: Demand,
    pub(crate) declared: Duration,
    /// When the run is given up.
    pub(crate) deadline: Time,
}

impl Run {
    /// A run whose start is sent now.
    pub(crate) fn new(now: Time, params: RunParams) -> Run {
        Run {
            task: params.task,
            number: params.number,
            origin: params.origin,
            queue: params.queue,
            demand: params.demand,
            declared: params.declared,
            state: RunState::Starting,
            sent: now,
            deadline: params.deadline,
            percent: 0,
            progressed: now,
            last_listed: now,
            too_long: false,
            stop_requested: None,
            notified: false,
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
pub(crate) enum Ownership {
    /// It doesn't.
    Unowned,
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
    pub(crate) last_report: Time,
    pub(crate) ownership: Ownership,
    /// Whether the rule gives it to this VM, and since when.
    pub(crate) assigned_since: Option<Time>,
    /// When it first reported after that.
    pub(crate) first_report: Option<Time>,
    /// Whether nothing more is started on it, so that it can be handed over.
    pub(crate) releasing: bool,
    pub(crate) generation: u64,
    /// Generations by which the next claim exceeds the time of day, after a claim was fenced.
    pub(crate) generation_bump: u64,
    /// Until when no claim is made.
    pub(crate) claim_after: Time,
    pub(crate) hold: Hold,
    pub(crate) observed: u64,
    /// The target's clock in milliseconds and when it was read.
    pub(crate) clock: Option<(u64, Time)>,
    /// When the last lease that was sent has certainly ended.
    pub(crate) lease_end: Time,
    /// No start until this time, after a start found no room.
    pub(crate) full_until: Time,
    pub(crate) runs: Vec<Run>,
    pub(crate) speed: LearnedFactor,
    pub(crate) health: Health,
}

impl Target {
    pub(crate) fn new(now: Time, report: TargetReport) -> Target {
        Target {
            report,
            last_report: now,
            ownership: Ownership::Unowned,
            assigned_since: None,
            first_report: None,
            releasing: false,
            generation: 0,
            generation_bump: 0,
            claim_after: now,
            hold: Hold::default(),
            observed: 0,
            clock: None,
            lease_end: now,
            full_until: now,
            runs: Vec::new(),
            speed: LearnedFactor::default(),
            health: Health::default(),
        }
    }

    /// Begins a new life of the target: it runs nothing and knows nothing of before.
    pub(crate) fn restart(&mut self, life: Incarnation) {
        self.report.life = life;
        self.report.sequence = 0;
        self.release();
        self.mark_runs_stopping();
        self.speed = LearnedFactor::default();
        self.health = Health::default();
    }

    /// Gives up ownership, with all that depends on it.
    pub(crate) fn release(&mut self) {
        self.ownership = Ownership::Unowned;
        self.releasing = false;
        self.hold = Hold::default();
        self.observed = 0;
        self.clock = None;
    }

    /// Lets all runs be stopped again: it isn't known which of them are there.
    pub(crate) fn mark_runs_stopping(&mut self) {
        for run in &mut self.runs {
            run.state = RunState::Stopping(Time(0));
            run.stop_requested = None;
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
    pub(crate) fn has_overdue_stop(&self, now: Time) -> bool {
        self.runs.iter().any(|run| {
            let stop_requested = run
                .stop_requested
                .is_some_and(|time| now.since(time) >= STOP_RETRY);
            stop_requested && !matches!(run.state, RunState::Stopped(_))
        })
    }

    /// What is free.
    pub(crate) fn free(&self) -> Demand {
        let runs = self.runs.iter();
        runs.fold(self.report.capacity, |free, run| free.minus(&run.demand))
    }

    /// Whether tasks may be started on it.
    pub(crate) fn accepts_tasks(&self, now: Time) -> bool {
        self.ownership == Ownership::Owned
            && !self.releasing
            && !self.report.draining
            && !self.has_overdue_stop(now)
            && self.hold.misses == 0
            && now >= self.full_until
            && self.clock.is_some()
            && self.runs.len() < self.health.max_runs(now)
    }

    /// The end of a lease that starts now, in milliseconds of the target's clock; notes until when
    /// what runs there may go on.
    pub(crate) fn grant_lease(&mut self, now: Time) -> Option<u64> {
        let (clock, read_at) = self.clock?;
        let lease = clock + (now.since(read_at) + LEASE_DURATION).as_millis() as u64;
        // The target's clock may have lost the drift since it was read.
        let drift = (now.since(read_at) + LEASE_DURATION) * CLOCK_DRIFT_PERCENT / 100;
        self.lease_end = self
            .lease_end
            .max(now + LEASE_DURATION + drift + LEASE_MARGIN);
        Some(lease)
    }

    /// The run of a task.
    pub(crate) fn find_run(&self, task: &str, number: u32) -> Option<usize> {
        let mut runs = self.runs.iter();
        runs.position(|run| run.number == number && &*run.task == task)
    }
}
