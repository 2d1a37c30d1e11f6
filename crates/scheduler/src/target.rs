//! A target: its last report, its owner, its lease and its runs.
//!
//! A lease ends at a time of the target's own clock, which is read from each of its answers. A run
//! whose end isn't known may continue until the last lease that was sent has expired for certain.

use std::sync::Arc;
use std::time::Duration;

use greengage_contention::{expected_end, Progress, Room};
use greengage_core::{Demand, Incarnation, Time, VmName};

use crate::ends::RunOutcome;
use crate::estimate::LearnedFactor;
use crate::event::TargetReport;
use crate::health::Health;
use crate::leases::{HOLD_WAIT, IDLE_HOLD_WAIT};
use crate::renewal::RENEWAL_TIMEOUT;

/// Lease of the runs on a target. A caller that loses its VM submits its job again 1.3 s later, and
/// no run of the first submission may exist by then, even if a VM that runs offloaded tasks of the
/// lost one dies just before it notices the loss. The sum of `RENEWAL_TIMEOUT` and this lease
/// stays below that time. About three holds renew it before it ends.
pub(crate) const LEASE_DURATION: Duration = Duration::from_millis(650);
/// Interval between stop calls for the same run.
pub(crate) const STOP_RETRY: Duration = Duration::from_millis(150);
/// Largest rate by which a target's clock may run slower than this VM's.
const CLOCK_DRIFT_PERCENT: u32 = 2;
/// Added to the end of a lease before its runs count as ended.
const LEASE_MARGIN: Duration = Duration::from_millis(60);

/// Whose task a run executes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Origin {
    /// A task of this VM's job, by job id.
    Local(u64),
    /// A task that another VM has offloaded.
    Peer {
        /// The VM that has offloaded it.
        vm: VmName,
        /// That VM's id of the offloaded run.
        offload_id: u64,
    },
}

impl Origin {
    /// Whether another VM has offloaded the run.
    pub(crate) fn is_remote(&self) -> bool {
        matches!(self, Origin::Peer { .. })
    }

    /// The offload id of the run, if `vm` has offloaded it.
    pub(crate) fn offload_id(&self, vm: &VmName) -> Option<u64> {
        match self {
            Origin::Peer {
                vm: sender,
                offload_id,
            } if sender == vm => Some(*offload_id),
            Origin::Peer { .. } | Origin::Local(_) => None,
        }
    }

    /// Whether `vm` has offloaded the run.
    pub(crate) fn is_offloaded_by(&self, vm: &VmName) -> bool {
        self.offload_id(vm).is_some()
    }

    /// Key that tells failures of one job from failures of several.
    pub(crate) fn job_key(&self) -> u64 {
        match self {
            Origin::Local(job) => *job,
            // Offloaded tasks of one job have adjacent ids, most of which share a key.
            Origin::Peer { offload_id, .. } => u64::MAX - offload_id / 8,
        }
    }
}

/// Progress of a start or stop call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RunState {
    /// The start was sent.
    Starting,
    /// The target has confirmed the start.
    Running,
    /// The run has to be stopped; the last stop was sent at this time.
    Stopping(Time),
    /// The target confirmed at this time that the run is stopped or can't start.
    Stopped(Time),
}

/// A run of a task, from the start call until its end is known.
#[derive(Clone, Debug)]
pub(crate) struct Run {
    pub(crate) task: Arc<str>,
    pub(crate) number: u32,
    pub(crate) origin: Origin,
    pub(crate) queue: Arc<str>,
    pub(crate) demand: Demand,
    pub(crate) declared: Duration,
    /// Run time on a target of usual speed, as expected when it was sent.
    pub(crate) expected: Duration,
    pub(crate) state: RunState,
    pub(crate) sent: Time,
    /// The run is stopped at this time.
    pub(crate) deadline: Time,
    /// Progress in percent, and the time at which it last changed.
    pub(crate) percent: u32,
    pub(crate) progressed: Time,
    /// When the target last listed the run.
    pub(crate) last_listed: Time,
    /// The earliest time at which the caller may have waited last: by the latest check of the callers
    /// of this VM's own job, or the latest message that lists an offloaded run as needed.
    pub(crate) renewed: Time,
    /// Whether it is stopped because it could not end before the deadline.
    pub(crate) too_long: bool,
    /// When the first stop was sent.
    pub(crate) stop_requested: Option<Time>,
    /// Whether its job, or the VM that offloaded it, knows that it has ended. It still uses
    /// resources until the target lists the end.
    pub(crate) notified: bool,
}

/// Parameters of a new run.
pub(crate) struct RunParams {
    pub(crate) task: Arc<str>,
    pub(crate) number: u32,
    pub(crate) origin: Origin,
    pub(crate) queue: Arc<str>,
    pub(crate) demand: Demand,
    pub(crate) declared: Duration,
    /// The run is stopped at this time.
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
            expected: params.declared,
            state: RunState::Starting,
            sent: now,
            deadline: params.deadline,
            percent: 0,
            progressed: now,
            last_listed: now,
            renewed: now,
            too_long: false,
            stop_requested: None,
            notified: false,
        }
    }

    /// Outcome that is reported for a stopped run.
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
    /// Another VM owns it, or none.
    Unowned,
    /// Claimed by this VM, which waits until the runs of earlier owners have ended.
    Claiming,
    /// Owned by this VM.
    Owned,
}

/// State of the hold calls (long polls) to a target.
#[derive(Clone, Debug, Default)]
pub(crate) struct Hold {
    /// When the call in flight was sent; `None` without one.
    pub(crate) sent: Option<Time>,
    /// Earliest time of the next call.
    pub(crate) next: Time,
    /// Consecutive calls without an answer.
    pub(crate) misses: u32,
}

#[derive(Debug)]
pub(crate) struct Target {
    pub(crate) report: TargetReport,
    /// Whether the report is one of its current incarnation.
    pub(crate) reported: bool,
    /// Time of its last report or hold answer.
    pub(crate) last_report: Time,
    pub(crate) ownership: Ownership,
    /// Since when the target has been assigned to this VM; `None` if it isn't.
    pub(crate) assigned_since: Option<Time>,
    /// Time of the first report after the assignment.
    pub(crate) first_report: Option<Time>,
    /// Whether no more tasks are started on it because it will be handed over.
    pub(crate) releasing: bool,
    /// Whether it is said to have left or to have been replaced. It is kept until its runs have ended
    /// and is assigned to no VM.
    pub(crate) lost: bool,
    /// Whether its zone is evacuated.
    pub(crate) evacuated: bool,
    pub(crate) generation: u64,
    /// Added to the time of day in the next claim's generation, in milliseconds, after a claim was
    /// fenced.
    pub(crate) generation_bump: u64,
    /// No claim before this time.
    pub(crate) claim_after: Time,
    pub(crate) hold: Hold,
    pub(crate) observed: u64,
    /// The target's clock in milliseconds, and when it was read.
    pub(crate) clock: Option<(u64, Time)>,
    /// Time at which the last lease that was sent has expired for certain.
    pub(crate) lease_end: Time,
    /// No start before this time, since the last one had no effect.
    pub(crate) full_until: Time,
    pub(crate) runs: Vec<Run>,
    /// Free resources that are kept for waiting jobs of this VM.
    pub(crate) reserved: Demand,
    pub(crate) speed: LearnedFactor,
    pub(crate) health: Health,
}

impl Target {
    pub(crate) fn new(now: Time, report: TargetReport) -> Target {
        Target {
            report,
            reported: true,
            last_report: now,
            ownership: Ownership::Unowned,
            assigned_since: None,
            first_report: None,
            releasing: false,
            lost: false,
            evacuated: false,
            generation: 0,
            generation_bump: 0,
            claim_after: now,
            hold: Hold::default(),
            observed: 0,
            clock: None,
            lease_end: now,
            full_until: now,
            runs: Vec::new(),
            reserved: Demand::default(),
            speed: LearnedFactor::default(),
            health: Health::default(),
        }
    }

    /// Starts a new incarnation of the target, which has no runs and no state of the earlier one. Its
    /// kind isn't known before its first report.
    pub(crate) fn restart(&mut self, incarnation: Incarnation) {
        self.report.incarnation = incarnation;
        self.report.sequence = 0;
        self.reported = false;
        self.lost = false;
        self.release();
        self.mark_runs_stopping();
        self.speed = LearnedFactor::default();
        self.health = Health::default();
    }

    /// Gives up ownership and resets the state that depends on it.
    pub(crate) fn release(&mut self) {
        self.ownership = Ownership::Unowned;
        self.releasing = false;
        self.hold = Hold::default();
        self.observed = 0;
        self.clock = None;
    }

    /// Requests a stop of all runs, since it isn't known which of them exist on the target.
    pub(crate) fn mark_runs_stopping(&mut self) {
        for run in &mut self.runs {
            run.state = RunState::Stopping(Time(0));
            run.stop_requested = None;
        }
    }

    /// Whether it may run a service's tasks that require the label.
    pub(crate) fn serves(&self, service: &str, label: Option<&Arc<str>>) -> bool {
        let labels = &self.report.labels;
        *self.report.service == *service && label.is_none_or(|label| labels.contains(label))
    }

    /// Whether none of its runs can be running any more.
    pub(crate) fn runs_have_ended(&self, now: Time) -> bool {
        self.runs.is_empty() || now >= self.lease_end
    }

    /// Whether a run may go on although the right to it ended so long ago that its stop should be
    /// confirmed. A lease holds for all runs of a target, so none is granted then.
    pub(crate) fn has_expired_run(&self, now: Time) -> bool {
        self.runs.iter().any(|run| {
            let stopped = matches!(run.state, RunState::Stopped(_));
            !stopped && now.since(run.renewed) >= RENEWAL_TIMEOUT + STOP_RETRY
        })
    }

    /// Whether a requested stop hasn't been confirmed for `STOP_RETRY`. The lease isn't
    /// renewed then, so that it ends before a caller that has lost its VM submits its job again.
    pub(crate) fn has_overdue_stop(&self, now: Time) -> bool {
        self.runs.iter().any(|run| {
            let stop_requested = run
                .stop_requested
                .is_some_and(|time| now.since(time) >= STOP_RETRY);
            stop_requested && !matches!(run.state, RunState::Stopped(_))
        })
    }

    /// Resources that no run uses.
    pub(crate) fn free(&self) -> Demand {
        let runs = self.runs.iter();
        runs.fold(self.report.capacity, |free, run| {
            free.saturating_sub(&run.demand)
        })
    }

    /// Free resources that aren't kept for waiting jobs of this VM.
    pub(crate) fn unreserved(&self) -> Demand {
        self.free().saturating_sub(&self.reserved)
    }

    /// Free resources from `open` on, and at the expected ends of its runs.
    pub(crate) fn forecast(&self, now: Time, open: Time) -> Room {
        let mut room = Room::new(self.report.capacity);
        let speed = self.speed.factor().max(0.01);
        for run in &self.runs {
            let progress = Progress {
                sent: run.sent,
                expected: run.expected.div_f64(speed),
                percent: run.percent,
                listed: run.progressed,
            };
            room.claim(now, (now, expected_end(now, &progress)), &run.demand);
        }
        if open > now {
            room.claim(now, (now, open), &self.report.capacity);
        }
        room
    }

    /// Whether tasks may be started on it.
    pub(crate) fn accepts_tasks(&self, now: Time) -> bool {
        self.opens_at(now).is_some_and(|time| time <= now)
    }

    /// From when on tasks may be started on it: now, or after the short pause that follows a start
    /// without effect or the first hold without an answer. `None` if no time is known.
    pub(crate) fn opens_at(&self, now: Time) -> Option<Time> {
        let usable = self.ownership == Ownership::Owned
            && self.reported
            && !self.releasing
            && !self.lost
            && !self.evacuated
            && !self.report.draining
            && !self.has_overdue_stop(now)
            && !self.has_expired_run(now)
            && self.clock.is_some()
            && self.runs.len() < self.health.max_runs(now);
        let answered = match self.hold.misses {
            0 => Some(now),
            // A target that is back answers the repeated hold at the end of its wait.
            1 => self.hold.sent.map(|sent| sent + self.hold_wait()),
            _ => None,
        };
        let answered = answered.filter(|time| self.hold.misses == 0 || *time > now);
        usable.then_some(answered?.max(self.full_until).max(now))
    }

    /// How long a hold of its owner may wait.
    pub(crate) fn hold_wait(&self) -> Duration {
        match self.runs.is_empty() {
            true => IDLE_HOLD_WAIT,
            false => HOLD_WAIT,
        }
    }

    /// Grants a lease that starts now and updates `lease_end`. Returns its end in milliseconds of
    /// the target's clock, or `None` while that clock is unknown.
    pub(crate) fn grant_lease(&mut self, now: Time) -> Option<u64> {
        let (clock, read_at) = self.clock?;
        let lease = clock + (now.since(read_at) + LEASE_DURATION).as_millis() as u64;
        // Drift of the target's clock since it was read.
        let drift = (now.since(read_at) + LEASE_DURATION) * CLOCK_DRIFT_PERCENT / 100;
        self.lease_end = self
            .lease_end
            .max(now + LEASE_DURATION + drift + LEASE_MARGIN);
        Some(lease)
    }

    /// Index of a task's run.
    pub(crate) fn find_run(&self, task: &str, number: u32) -> Option<usize> {
        let mut runs = self.runs.iter();
        runs.position(|run| run.number == number && &*run.task == task)
    }
}
