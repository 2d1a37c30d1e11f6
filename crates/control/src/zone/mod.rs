//! State of the leader of a zone's ledger group.
//!
//! A `Zone` exists from the moment an entry of the leader's own term is applied until leadership
//! ends. It turns requests into ledger commands, applied commands into inputs of the dispatcher,
//! and the dispatcher's effects into calls to targets. Invariants:
//!
//! - A start is sent only for a job whose `Begin` is applied, or for a repeatable request, which
//!   the ledger does not hold.
//! - An outcome is given to a caller only after its `Close` is applied.
//! - A refusal is given only after a read of the ledger is confirmed by a quorum, since a leader
//!   that was replaced without noticing does not know what its successor ran.
//! - Commands are proposed in order: once one is refused, later ones wait behind it. A target's
//!   deregistration therefore never overtakes the closes that its loss caused.

mod attempts;
mod commands;
mod recovery;
mod requests;
mod targets;
mod verify;

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use greengage_agreement::Ticket;
use greengage_core::{
    AttemptId, Digest, Incarnation, JobKey, JobNumber, Name, Payload, RequestId, Revision,
    SortedMap, TargetName, Term, Time, VmName, WallTime, ZoneName,
};
use greengage_dispatch as dispatch;
use greengage_dispatch::{Attempt, Dispatch, Job};
use greengage_ledger::{Command, Ledger, Submission};
use greengage_membership as membership;
use greengage_membership::{Announcement, Standing};
use greengage_policy::{ParamValue, Policy};
use greengage_timeline::Timeline;

use crate::api::Reply;
use crate::call::Call;
use crate::message::Now;
use crate::timers::Timers;

use recovery::Recovery;

/// Interval of checks for submissions whose retention has ended.
const EXPIRE_INTERVAL: Duration = Duration::from_secs(10);
/// Interval of commands that remove expired submissions while more are left.
const EXPIRE_BACKLOG_INTERVAL: Duration = Duration::from_millis(100);
/// Delay before a proposal or read that was refused during a leadership transfer is repeated.
const REPROPOSE_DELAY: Duration = Duration::from_millis(50);
/// How long a target holds a start before it answers that the task is running.
const START_HOLD: Duration = Duration::from_secs(2);
/// Low bits of a call token that count calls; the bits above hold the term.
const TOKEN_COUNTER_BITS: u32 = 32;

/// A caller: the VM that holds its connection, that VM's incarnation and the request id there.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Origin {
    pub(crate) vm: VmName,
    pub(crate) incarnation: Incarnation,
    pub(crate) id: RequestId,
}

/// What the zone leader asks of the control state.
pub(crate) enum Output {
    /// Propose a command to the zone's ledger group.
    Propose(Command),
    /// Confirm by a quorum that this VM still leads, then call `Zone::read_confirmed`.
    Read,
    /// Call a target.
    Call { token: u64, call: Call },
    /// Reply to a caller.
    Answer { origin: Origin, reply: Reply },
}

/// What the zone may read while it handles an input, and where its outputs go.
pub(crate) struct Context<'a> {
    pub(crate) now: Now,
    pub(crate) ledger: &'a Ledger,
    pub(crate) policy: &'a Policy,
    pub(crate) timeline: &'a mut Timeline,
    pub(crate) outputs: Vec<Output>,
}

impl<'a> Context<'a> {
    pub(crate) fn new(
        now: Now,
        ledger: &'a Ledger,
        policy: &'a Policy,
        timeline: &'a mut Timeline,
    ) -> Context<'a> {
        Context {
            now,
            ledger,
            policy,
            timeline,
            outputs: Vec::new(),
        }
    }

    pub(crate) fn propose(&mut self, command: Command) {
        self.outputs.push(Output::Propose(command));
    }

    pub(crate) fn answer(&mut self, origin: Origin, reply: Reply) {
        self.outputs.push(Output::Answer { origin, reply });
    }

    pub(crate) fn record(
        &mut self,
        key: Option<&JobKey>,
        target: Option<&TargetName>,
        what: impl Into<String>,
    ) {
        let wall = self.now.wall;
        self.timeline
            .record(wall, key.cloned(), target.cloned(), what);
    }
}

/// Stage of a job at this leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum JobStage {
    /// Its `Accept` is proposed.
    Proposed,
    /// Accepted; no task has started.
    Queued,
    /// Begun under an earlier leader; the state of its tasks is not known yet.
    Recovering,
    /// Tasks may have started.
    Begun,
    /// Its `Close` is proposed.
    Closing,
}

/// A job or repeatable request that is not closed.
pub(crate) struct ActiveJob {
    /// Key in the ledger, or a generated one for a repeatable request.
    pub(crate) key: JobKey,
    /// Caller of a repeatable request; `None` for a submission.
    pub(crate) caller: Option<Origin>,
    pub(crate) digest: Digest,
    pub(crate) submission: Arc<Submission>,
    pub(crate) values: SortedMap<Name, ParamValue>,
    pub(crate) results: Vec<Option<Payload>>,
    pub(crate) stage: JobStage,
    pub(crate) spec: Job,
    pub(crate) cancel_requested: bool,
    /// Incarnations on which tasks of this job ended. Their results are kept only here until the
    /// close.
    pub(crate) ran_on: Vec<(TargetName, Incarnation)>,
}

/// Phase of an attempt that was sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The start call is in progress.
    Starting,
    /// The target reported that the task is running.
    Running,
    /// The start call failed; the target is asked to revoke the attempt.
    Revoking,
}

/// An attempt that is not settled.
struct OpenAttempt {
    attempt: Attempt,
    id: AttemptId,
    target: TargetName,
    incarnation: Incarnation,
    phase: Phase,
    /// Whether the next poll opens a new connection.
    new_connection: bool,
    /// When the target is asked about the unanswered start; `None` if it isn't or was.
    check_at: Option<Time>,
}

/// The leader's state of a target.
pub(crate) struct TargetState {
    pub(crate) announcement: Announcement,
    pub(crate) standing: Standing,
    /// Whether the ledger holds its registration.
    pub(crate) registered: bool,
    /// Whether the dispatcher knows it.
    pub(crate) in_dispatcher: bool,
    /// Tokens of its attempts that are not settled.
    open_attempts: BTreeSet<u64>,
}

/// A caller that waits for a submission to close.
struct Waiter {
    origin: Origin,
    deadline: Time,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Waiter(JobKey, Origin),
    Poll(u64),
    Check(u64),
    Fence(TargetName),
    Recovery,
    Expire,
    Repropose,
    Read,
}

/// Limits of a zone leader.
#[derive(Clone)]
pub(crate) struct ZoneLimits {
    pub(crate) retention: Duration,
    pub(crate) fence_timeout: Duration,
    pub(crate) poll_interval: Duration,
    pub(crate) start_patience: Duration,
    pub(crate) tuning: dispatch::Tuning,
}

pub(crate) struct Zone {
    pub(crate) name: ZoneName,
    pub(crate) term: Term,
    pub(crate) limits: ZoneLimits,
    pub(crate) dispatch: Dispatch,
    pub(crate) active_jobs: BTreeMap<JobNumber, ActiveJob>,
    pub(crate) keys: BTreeMap<JobKey, JobNumber>,
    pub(crate) targets: SortedMap<TargetName, TargetState>,
    pub(crate) recovery: Option<Recovery>,
    /// Number of jobs without a proposed close, for each incarnation on which tasks of theirs
    /// ended.
    dependent_jobs: BTreeMap<(TargetName, Incarnation), usize>,
    /// Lost incarnations whose deregistration waits for such jobs.
    lost_incarnations: BTreeSet<(TargetName, Incarnation)>,
    /// Number of deregistrations proposed and not yet applied.
    pending_deregistrations: BTreeMap<(TargetName, Incarnation), usize>,
    open_attempts: BTreeMap<u64, OpenAttempt>,
    attempt_tokens: BTreeMap<Attempt, u64>,
    fences: BTreeMap<u64, TargetName>,
    /// Tokens of attempts with an unanswered start, by the token of the call that asks about them.
    checks: BTreeMap<u64, u64>,
    waiters: BTreeMap<JobKey, Vec<Waiter>>,
    timers: Timers<Timer>,
    unconfirmed_replies: Vec<(Origin, Reply)>,
    pending_reads: Vec<(Ticket, Vec<(Origin, Reply)>)>,
    deferred_commands: Vec<Command>,
    last_job: u64,
    last_token: u64,
    shares_revision: Revision,
    draining: bool,
    /// When this leader started, and the ledger's latest time of acceptance then, or the time of
    /// day if the ledger had none.
    start_time: (Time, WallTime),
}

impl Zone {
    /// Creates the leader's state from the ledger: queues accepted jobs, and fences the targets to
    /// learn the state of begun ones.
    pub(crate) fn new(
        name: ZoneName,
        term: Term,
        seed: u64,
        limits: ZoneLimits,
        targets: Vec<membership::TargetView>,
        cx: &mut Context<'_>,
    ) -> Zone {
        let mut zone = Zone {
            name,
            term,
            dispatch: Dispatch::new(limits.tuning.clone(), seed),
            limits,
            active_jobs: BTreeMap::new(),
            keys: BTreeMap::new(),
            targets: SortedMap::new(),
            recovery: None,
            dependent_jobs: BTreeMap::new(),
            lost_incarnations: BTreeSet::new(),
            pending_deregistrations: BTreeMap::new(),
            open_attempts: BTreeMap::new(),
            attempt_tokens: BTreeMap::new(),
            fences: BTreeMap::new(),
            checks: BTreeMap::new(),
            waiters: BTreeMap::new(),
            timers: Timers::new(),
            unconfirmed_replies: Vec::new(),
            pending_reads: Vec::new(),
            deferred_commands: Vec::new(),
            last_job: 0,
            last_token: 0,
            shares_revision: Revision(0),
            draining: false,
            start_time: (
                cx.now.time,
                cx.ledger.last_accepted_at().unwrap_or(cx.now.wall),
            ),
        };
        zone.update_shares(cx);
        zone.load_open_jobs(cx);
        for view in targets {
            zone.target_up(cx, view.announcement, view.standing);
        }
        zone.check_recovery(cx);
        let now = cx.now.time;
        zone.timers.set(now + EXPIRE_INTERVAL, Timer::Expire);
        zone
    }

    /// The next time at which `tick` has something to do; `None` if never.
    pub(crate) fn next_wake(&self) -> Option<Time> {
        let own = self.timers.next_due();
        let dispatch = self.dispatch.next_wake();
        own.into_iter().chain(dispatch).min()
    }

    /// Whether no work is in flight.
    pub(crate) fn is_idle(&self) -> bool {
        self.active_jobs.is_empty()
            && self.open_attempts.is_empty()
            && self.pending_reads.is_empty()
    }

    /// Number of jobs and requests that are not closed.
    pub(crate) fn load(&self) -> u32 {
        self.active_jobs.len() as u32
    }

    /// Time of acceptance for the ledger: the latest one when this leader started, plus the
    /// monotonic time since then. The current time of day is not used, since it may jump, and a
    /// jump must not end a key's retention.
    pub(super) fn accept_time(&self, now: Time) -> WallTime {
        let (time, wall) = self.start_time;
        WallTime(wall.0 + now.since(time).as_millis() as u64)
    }

    /// Refuses new work from now on.
    pub(crate) fn drain(&mut self) {
        self.draining = true;
    }

    /// Passes the accounts' limits to the dispatcher if the configuration has changed.
    pub(crate) fn update_shares(&mut self, cx: &mut Context<'_>) {
        if self.shares_revision == cx.policy.revision() && self.shares_revision != Revision(0) {
            return;
        }
        self.shares_revision = cx.policy.revision();
        let shares: Vec<dispatch::Event> = cx
            .policy
            .all_params()
            .map(|(template, account, _, params)| dispatch::Event::SetShare {
                work: template.clone(),
                account: account.clone(),
                share: dispatch::Share {
                    weight: params.weight,
                    quota: params.quota,
                    concurrency: params.concurrency,
                    burst: params.burst,
                },
            })
            .collect();
        for share in shares {
            self.dispatch_step(cx, share);
        }
    }

    /// Handles all deadlines that have passed.
    pub(crate) fn tick(&mut self, cx: &mut Context<'_>) {
        while let Some(timer) = self.timers.pop(cx.now.time) {
            match timer {
                Timer::Waiter(key, origin) => self.waiter_due(cx, &key, &origin),
                Timer::Poll(token) => self.send_poll(cx, token),
                Timer::Check(token) => self.check_start(cx, token),
                Timer::Fence(target) => self.send_fence(cx, &target),
                Timer::Recovery => self.recovery_due(cx),
                Timer::Expire => self.expire(cx),
                Timer::Repropose => self.repropose(cx),
                Timer::Read => cx.outputs.push(Output::Read),
            }
        }
        if self
            .dispatch
            .next_wake()
            .is_some_and(|at| at <= cx.now.time)
        {
            self.dispatch_step(cx, dispatch::Event::Tick);
        }
    }
}
