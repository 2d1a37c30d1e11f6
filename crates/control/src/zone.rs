//! The state of the leader of a zone's ledger group.
//!
//! A `Zone` exists from the moment an entry of the leader's own term is applied until leadership
//! ends. It turns requests into ledger commands, applied commands into inputs of the dispatcher,
//! and the dispatcher's effects into calls to targets. Invariants:
//!
//! - A start is sent only for a job whose begin is applied, or for a repeatable request, which the
//!   ledger doesn't hold.
//! - An outcome is given to a caller only after its close is applied.
//! - A refusal is given only after a read of the ledger is confirmed by a quorum, since a leader
//!   that was replaced unknowingly can't know what its successor ran.
//! - Commands are proposed in order: once one is refused, later ones wait behind it. A target's
//!   deregistration therefore never overtakes the closes that its loss caused.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use greengage_agreement::Ticket;
use greengage_core::{
    AttemptId, Failure, Incarnation, JobKey, JobNumber, Name, Outcome, Payload, Refusal, RequestId,
    Revision, SortedMap, TargetName, Term, Time, VmName, Wall, ZoneName,
};
use greengage_dispatch as dispatch;
use greengage_dispatch::{Admission, Attempt, Dispatch, Job, Mode, Settled};
use greengage_ledger::{Applied, Command, Ledger, Stage, Submission};
use greengage_membership as membership;
use greengage_membership::{Announcement, Standing};
use greengage_policy::{ParamValue, Policy, Resolved};
use greengage_timeline::Timeline;

use crate::api::{ApiError, NewJob, NewRequest, Progress, Reply};
use crate::call::{Action, Call, Seen, Start, State};
use crate::message::Now;
use crate::recovery::Recovery;
use crate::timers::Timers;

/// Least time between two looks for submissions whose retention has ended.
const EXPIRE_EVERY: Duration = Duration::from_secs(10);
/// How long a proposal waits that was refused while leadership was being transferred.
const REPROPOSE_AFTER: Duration = Duration::from_millis(50);
/// Bits of a call's number that count calls within one term.
const TOKEN_BITS: u32 = 32;

/// A caller: the VM that holds its connection, and that VM's number of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Origin {
    pub(crate) vm: VmName,
    pub(crate) id: RequestId,
}

/// What the zone's leader wants done.
pub(crate) enum Output {
    /// Propose a command to the zone's ledger group.
    Propose(Command),
    /// Confirm by a quorum that this VM still leads, then call `Zone::confirmed`.
    Read,
    /// Call a target.
    Call { token: u64, call: Call },
    /// Reply to a caller.
    Answer { origin: Origin, reply: Reply },
}

/// What the zone may look at while it handles an input, and where its outputs go.
pub(crate) struct Cx<'a> {
    pub(crate) now: Now,
    pub(crate) ledger: &'a Ledger,
    pub(crate) policy: &'a Policy,
    pub(crate) timeline: &'a mut Timeline,
    pub(crate) out: Vec<Output>,
}

impl Cx<'_> {
    pub(crate) fn propose(&mut self, command: Command) {
        self.out.push(Output::Propose(command));
    }

    pub(crate) fn answer(&mut self, origin: Origin, reply: Reply) {
        self.out.push(Output::Answer { origin, reply });
    }

    pub(crate) fn record(&mut self, key: Option<&JobKey>, target: Option<&TargetName>, what: &str) {
        let wall = self.now.wall;
        self.timeline
            .record(wall, key.cloned(), target.cloned(), what.to_string());
    }
}

/// How far a job has come at this leader.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum LiveStage {
    /// Its accept is proposed.
    Proposed,
    /// Accepted; nothing started.
    Queued,
    /// Begun under an earlier leader; what runs isn't known yet.
    Recovering,
    /// Tasks may have started.
    Begun,
    /// Its close is proposed.
    Closing,
}

/// A job or request that isn't closed.
pub(crate) struct Live {
    /// The key in the ledger, or one made up for a repeatable request.
    pub(crate) key: JobKey,
    /// The caller of a repeatable request; `None` for submissions.
    pub(crate) single: Option<Origin>,
    pub(crate) digest: greengage_core::Digest,
    pub(crate) submission: Arc<Submission>,
    pub(crate) values: SortedMap<Name, ParamValue>,
    pub(crate) results: Vec<Option<Payload>>,
    pub(crate) stage: LiveStage,
    pub(crate) spec: Job,
    pub(crate) cancel: bool,
}

/// What is known of a sent attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// The start call is under way.
    Starting,
    /// The target said that the task runs.
    Running,
    /// The start call broke off; the target is asked to revoke the attempt.
    Revoking,
}

/// An attempt that isn't settled.
struct Flight {
    attempt: Attempt,
    id: AttemptId,
    target: TargetName,
    phase: Phase,
    fresh: bool,
}

/// A target as the leader uses it.
pub(crate) struct Member {
    pub(crate) announcement: Announcement,
    pub(crate) standing: Standing,
    /// The ledger holds its registration.
    pub(crate) registered: bool,
    /// The dispatcher knows it.
    pub(crate) joined: bool,
    /// Calls whose attempts aren't settled.
    flights: BTreeSet<u64>,
}

/// A caller that waits for the end of a submission.
struct Waiter {
    origin: Origin,
    until: Time,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Timer {
    Waiter(JobKey, Origin),
    Poll(u64),
    Fence(TargetName),
    Recovery,
    Expire,
    Repropose,
}

/// Settings of a zone's leader.
#[derive(Clone)]
pub(crate) struct ZoneLimits {
    pub(crate) retention: Duration,
    pub(crate) fence: Duration,
    pub(crate) repoll: Duration,
}

/// The leader's state.
pub(crate) struct Zone {
    pub(crate) name: ZoneName,
    pub(crate) term: Term,
    pub(crate) limits: ZoneLimits,
    pub(crate) dispatch: Dispatch,
    pub(crate) live: BTreeMap<JobNumber, Live>,
    pub(crate) keys: BTreeMap<JobKey, JobNumber>,
    pub(crate) targets: SortedMap<TargetName, Member>,
    pub(crate) recovery: Option<Recovery>,
    flights: BTreeMap<u64, Flight>,
    attempts: BTreeMap<Attempt, u64>,
    fences: BTreeMap<u64, TargetName>,
    waiters: BTreeMap<JobKey, Vec<Waiter>>,
    timers: Timers<Timer>,
    unconfirmed: Vec<(Origin, Reply)>,
    reading: Vec<(Ticket, Vec<(Origin, Reply)>)>,
    delayed: Vec<Command>,
    jobs: u64,
    tokens: u64,
    shares: Revision,
    draining: bool,
}

impl Zone {
    /// Takes over the zone: queues what was accepted, and asks the targets about what was begun.
    pub(crate) fn new(
        name: ZoneName,
        term: Term,
        seed: u64,
        limits: ZoneLimits,
        targets: Vec<membership::TargetView>,
        cx: &mut Cx<'_>,
    ) -> Zone {
        let mut zone = Zone {
            name,
            term,
            limits,
            dispatch: Dispatch::new(dispatch::Tuning::default(), seed),
            live: BTreeMap::new(),
            keys: BTreeMap::new(),
            targets: SortedMap::new(),
            recovery: None,
            flights: BTreeMap::new(),
            attempts: BTreeMap::new(),
            fences: BTreeMap::new(),
            waiters: BTreeMap::new(),
            timers: Timers::new(),
            unconfirmed: Vec::new(),
            reading: Vec::new(),
            delayed: Vec::new(),
            jobs: 0,
            tokens: 0,
            shares: Revision(0),
            draining: false,
        };
        zone.share(cx);
        zone.take_over(cx);
        for view in targets {
            zone.target_up(cx, view.announcement, view.standing);
        }
        zone.check_recovery(cx);
        let now = cx.now.time;
        zone.timers.set(now + EXPIRE_EVERY, Timer::Expire);
        zone
    }

    /// The next time at which `tick` has something to do.
    pub(crate) fn wake(&self) -> Option<Time> {
        let own = self.timers.next();
        let dispatch = self.dispatch.wake();
        own.into_iter().chain(dispatch).min()
    }

    /// Whether nothing is in flight.
    pub(crate) fn idle(&self) -> bool {
        self.live.is_empty() && self.flights.is_empty() && self.reading.is_empty()
    }

    /// Jobs and requests that aren't closed.
    pub(crate) fn load(&self) -> u32 {
        self.live.len() as u32
    }

    /// Refuses new work from here on.
    pub(crate) fn drain(&mut self) {
        self.draining = true;
    }

    /// Tells the dispatcher the accounts' limits when the configuration has changed.
    pub(crate) fn share(&mut self, cx: &mut Cx<'_>) {
        if self.shares == cx.policy.revision() && self.shares != Revision(0) {
            return;
        }
        self.shares = cx.policy.revision();
        let shares: Vec<dispatch::Event> = cx
            .policy
            .all_params()
            .map(|(template, account, _, params)| dispatch::Event::Share {
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

    /// Does what is due.
    pub(crate) fn tick(&mut self, cx: &mut Cx<'_>) {
        while let Some(timer) = self.timers.pop(cx.now.time) {
            match timer {
                Timer::Waiter(key, origin) => self.waiter_due(cx, &key, &origin),
                Timer::Poll(token) => self.poll(cx, token),
                Timer::Fence(target) => self.fence(cx, &target),
                Timer::Recovery => self.recovery_due(cx),
                Timer::Expire => self.expire(cx),
                Timer::Repropose => self.repropose(cx),
            }
        }
        if self.dispatch.wake().is_some_and(|at| at <= cx.now.time) {
            self.dispatch_step(cx, dispatch::Event::Tick);
        }
    }

    // Requests of callers.

    /// Accepts, refuses or recognises a submission.
    pub(crate) fn submit(
        &mut self,
        cx: &mut Cx<'_>,
        origin: Origin,
        wait: Duration,
        key: JobKey,
        job: NewJob,
    ) {
        if let Some((digest, known)) = self.known(cx, &key) {
            if digest != job.digest {
                return cx.answer(origin, Reply::Error(ApiError::OtherContent(key)));
            }
            return self.answer_or_wait(cx, origin, wait, key, known);
        }
        let resolved = match self.check(cx, &job) {
            Ok(resolved) => resolved,
            Err(error) => return self.confirm(cx, origin, Reply::Error(error)),
        };
        let deadline = Wall(cx.now.wall.0 + resolved.deadline_ms);
        let submission = Arc::new(Submission {
            template: job.template,
            account: job.account,
            version: resolved.version,
            tasks: job.tasks,
            deadline,
        });
        let number = self.next_job();
        let mut spec = job_spec(number, &submission, &resolved, cx.now);
        let begun = match self.dispatch.admit(cx.now.time, &spec) {
            Admission::Start => true,
            Admission::Queue => false,
            Admission::Refuse(refusal) => {
                cx.record(Some(&key), None, "refused at admission");
                let reply = Reply::Error(ApiError::Refused(refusal));
                return self.confirm(cx, origin, reply);
            }
        };
        spec.mode = Mode::Recorded { begun };
        self.enter(Live {
            key: key.clone(),
            single: None,
            digest: job.digest,
            results: vec![None; submission.tasks.len()],
            submission: submission.clone(),
            values: resolved.values,
            stage: LiveStage::Proposed,
            spec,
            cancel: false,
        });
        self.wait(cx, origin, wait, &key);
        self.propose(
            cx,
            Command::Accept {
                key,
                digest: job.digest,
                submission,
                begun,
                at: cx.now.wall,
            },
        );
    }

    /// Runs a repeatable request without a ledger entry.
    pub(crate) fn single(&mut self, cx: &mut Cx<'_>, origin: Origin, request: NewRequest) {
        let job = single_job(&self.name, &origin, request);
        let resolved = match self.check(cx, &job) {
            Ok(resolved) => resolved,
            Err(error) => return cx.answer(origin, Reply::Error(error)),
        };
        if !resolved.template.repeatable {
            let template = job.template;
            return cx.answer(origin, Reply::Error(ApiError::MissingId { template }));
        }
        let key = JobKey {
            account: job.account.clone(),
            zone: self.name.clone(),
            id: job.id,
        };
        if self.keys.contains_key(&key) {
            return;
        }
        let submission = Arc::new(Submission {
            template: job.template,
            account: job.account,
            version: resolved.version,
            tasks: job.tasks,
            deadline: Wall(cx.now.wall.0 + resolved.deadline_ms),
        });
        let number = self.next_job();
        let mut spec = job_spec(number, &submission, &resolved, cx.now);
        spec.mode = Mode::Repeatable {
            retries: resolved.template.retries,
        };
        if let Admission::Refuse(refusal) = self.dispatch.admit(cx.now.time, &spec) {
            return cx.answer(origin, Reply::Error(ApiError::Refused(refusal)));
        }
        self.enter(Live {
            key,
            single: Some(origin),
            digest: job.digest,
            results: vec![None; 1],
            submission,
            values: resolved.values,
            stage: LiveStage::Begun,
            spec: spec.clone(),
            cancel: false,
        });
        self.dispatch_step(cx, dispatch::Event::Submit(spec));
    }

    /// Answers how far a submission has come.
    pub(crate) fn outcome(&mut self, cx: &mut Cx<'_>, origin: Origin, wait: Duration, key: JobKey) {
        match self.known(cx, &key) {
            Some((_, known)) => self.answer_or_wait(cx, origin, wait, key, known),
            None => self.confirm(cx, origin, Reply::Error(ApiError::UnknownKey(key))),
        }
    }

    /// Cancels a submission and answers how it ended.
    pub(crate) fn cancel(&mut self, cx: &mut Cx<'_>, origin: Origin, wait: Duration, key: JobKey) {
        let known = match self.known(cx, &key) {
            Some((_, known)) => known,
            None => return self.confirm(cx, origin, Reply::Error(ApiError::UnknownKey(key))),
        };
        let number = match known {
            Progress::Closed(_) => {
                return cx.answer(
                    origin,
                    Reply::Job {
                        key,
                        progress: known,
                    },
                );
            }
            Progress::Queued | Progress::Begun => self.keys.get(&key).copied(),
        };
        self.wait(cx, origin, wait, &key);
        let Some(number) = number else { return };
        cx.record(Some(&key), None, "cancellation requested");
        let live = self.live.get_mut(&number).expect("keys and jobs agree");
        match live.stage {
            LiveStage::Proposed => live.cancel = true,
            LiveStage::Queued | LiveStage::Begun => {
                self.dispatch_step(cx, dispatch::Event::Cancel(number));
            }
            LiveStage::Recovering => {
                let failure = Failure::Cancelled { begun: true };
                self.close(cx, number, Outcome::Failed(failure));
            }
            LiveStage::Closing => {}
        }
    }

    /// What this leader knows of a key: applied, or proposed by itself.
    fn known(&self, cx: &Cx<'_>, key: &JobKey) -> Option<(greengage_core::Digest, Progress)> {
        if let Some(entry) = cx.ledger.get(key) {
            return Some((entry.digest, progress(&entry.stage)));
        }
        let number = self.keys.get(key)?;
        let live = &self.live[number];
        Some((live.digest, Progress::Queued))
    }

    fn check(&self, cx: &Cx<'_>, job: &NewJob) -> Result<Resolved, ApiError> {
        if self.draining {
            return Err(ApiError::Refused(Refusal::Draining));
        }
        let resolved = cx
            .policy
            .resolve(&job.template, &job.account)
            .map_err(ApiError::Policy)?;
        let count = job.tasks.len() as u32;
        let limit = resolved.template.max_tasks;
        if count == 0 || count > limit {
            return Err(ApiError::Tasks { count, limit });
        }
        Ok(resolved)
    }

    pub(crate) fn next_job(&mut self) -> JobNumber {
        self.jobs += 1;
        JobNumber(self.jobs)
    }

    pub(crate) fn enter(&mut self, live: Live) {
        let number = live.spec.number;
        self.keys.insert(live.key.clone(), number);
        let previous = self.live.insert(number, live);
        assert!(previous.is_none(), "job numbers are unique");
    }

    fn leave(&mut self, number: JobNumber) -> Option<Live> {
        let live = self.live.remove(&number)?;
        self.keys.remove(&live.key);
        Some(live)
    }

    // Waiting callers.

    fn answer_or_wait(
        &mut self,
        cx: &mut Cx<'_>,
        origin: Origin,
        wait: Duration,
        key: JobKey,
        progress: Progress,
    ) {
        match progress {
            Progress::Closed(_) => cx.answer(origin, Reply::Job { key, progress }),
            Progress::Queued | Progress::Begun => self.wait(cx, origin, wait, &key),
        }
    }

    fn wait(&mut self, cx: &mut Cx<'_>, origin: Origin, wait: Duration, key: &JobKey) {
        let until = cx.now.time + wait;
        let waiters = self.waiters.entry(key.clone()).or_default();
        match waiters.iter_mut().find(|waiter| waiter.origin == origin) {
            Some(waiter) => waiter.until = until,
            None => waiters.push(Waiter {
                origin: origin.clone(),
                until,
            }),
        }
        self.timers.set(until, Timer::Waiter(key.clone(), origin));
    }

    fn waiter_due(&mut self, cx: &mut Cx<'_>, key: &JobKey, origin: &Origin) {
        let now = cx.now.time;
        let Some(waiters) = self.waiters.get_mut(key) else {
            return;
        };
        let due = |waiter: &Waiter| waiter.origin == *origin && waiter.until <= now;
        let Some(place) = waiters.iter().position(due) else {
            return;
        };
        waiters.swap_remove(place);
        if waiters.is_empty() {
            self.waiters.remove(key);
        }
        if let Some((_, progress)) = self.known(cx, key) {
            let key = key.clone();
            cx.answer(origin.clone(), Reply::Job { key, progress });
        }
    }

    fn answer_waiters(&mut self, cx: &mut Cx<'_>, key: &JobKey, outcome: &Arc<Outcome>) {
        for waiter in self.waiters.remove(key).unwrap_or_default() {
            let reply = Reply::Job {
                key: key.clone(),
                progress: Progress::Closed(outcome.clone()),
            };
            cx.answer(waiter.origin, reply);
        }
    }

    // Refusals, which need a confirmed read.

    fn confirm(&mut self, cx: &mut Cx<'_>, origin: Origin, reply: Reply) {
        if self.unconfirmed.is_empty() {
            cx.out.push(Output::Read);
        }
        self.unconfirmed.push((origin, reply));
    }

    /// Notes the ticket of a read that `Output::Read` asked for.
    pub(crate) fn reading(&mut self, ticket: Ticket) {
        let replies = std::mem::take(&mut self.unconfirmed);
        self.reading.push((ticket, replies));
    }

    /// Gives the refusals that waited for a read.
    pub(crate) fn confirmed(&mut self, cx: &mut Cx<'_>, ticket: Ticket) {
        let Some(place) = self.reading.iter().position(|(t, _)| *t == ticket) else {
            return;
        };
        for (origin, reply) in self.reading.remove(place).1 {
            cx.answer(origin, reply);
        }
    }

    // Commands of the ledger.

    /// Proposes a command behind all that were refused and wait.
    pub(crate) fn propose(&mut self, cx: &mut Cx<'_>, command: Command) {
        if self.delayed.is_empty() {
            cx.propose(command);
        } else {
            self.delayed.push(command);
        }
    }

    /// Takes back a command that was refused because leadership is being transferred.
    pub(crate) fn delay(&mut self, now: Time, command: Command) {
        if self.delayed.is_empty() {
            self.timers.set(now + REPROPOSE_AFTER, Timer::Repropose);
        }
        self.delayed.push(command);
    }

    fn repropose(&mut self, cx: &mut Cx<'_>) {
        for command in std::mem::take(&mut self.delayed) {
            cx.propose(command);
        }
    }

    fn expire(&mut self, cx: &mut Cx<'_>) {
        self.timers.set(cx.now.time + EXPIRE_EVERY, Timer::Expire);
        let retention = self.limits.retention.as_millis() as u64;
        let before = Wall(cx.now.wall.0.saturating_sub(retention));
        let counts = cx.ledger.counts();
        if counts.entries > counts.open {
            self.propose(cx, Command::Expire { before });
        }
    }

    /// Acts on a command that is committed and applied.
    pub(crate) fn applied(&mut self, cx: &mut Cx<'_>, command: &Command, applied: Applied) {
        match (command, applied) {
            (Command::Accept { key, begun, .. }, Applied::Accepted) => {
                self.accepted(cx, key, *begun);
            }
            (Command::Accept { key, .. }, Applied::Duplicate(stage)) => match stage {
                Stage::Accepted => self.accepted(cx, key, false),
                Stage::Begun => self.accepted(cx, key, true),
                Stage::Closed(outcome) => self.closed(cx, key, &outcome),
            },
            (Command::Begin { .. }, Applied::Begun(keys)) => self.begun(cx, &keys),
            (Command::Close { key, outcome }, Applied::Closed) => self.closed(cx, key, outcome),
            (Command::Close { key, .. }, Applied::AlreadyClosed(outcome)) => {
                self.closed(cx, key, &outcome);
            }
            (
                Command::Register {
                    target,
                    incarnation,
                },
                Applied::Done,
            ) => {
                self.registered(cx, target, *incarnation);
            }
            (_, Applied::Refused(refused)) => {
                log::error!("the ledger refused a command of its leader: {refused}");
            }
            (_, _) => {}
        }
    }

    fn accepted(&mut self, cx: &mut Cx<'_>, key: &JobKey, begun: bool) {
        let Some(number) = self.keys.get(key).copied() else {
            return;
        };
        let live = self.live.get_mut(&number).expect("keys and jobs agree");
        if live.stage != LiveStage::Proposed {
            return;
        }
        live.stage = match begun {
            true => LiveStage::Begun,
            false => LiveStage::Queued,
        };
        live.spec.mode = Mode::Recorded { begun };
        let spec = live.spec.clone();
        let cancel = live.cancel;
        cx.record(
            Some(key),
            None,
            if begun {
                "accepted and begun"
            } else {
                "accepted"
            },
        );
        self.dispatch_step(cx, dispatch::Event::Submit(spec));
        if cancel {
            self.dispatch_step(cx, dispatch::Event::Cancel(number));
        }
    }

    fn begun(&mut self, cx: &mut Cx<'_>, keys: &[JobKey]) {
        for key in keys {
            let Some(number) = self.keys.get(key).copied() else {
                continue;
            };
            let live = self.live.get_mut(&number).expect("keys and jobs agree");
            if live.stage == LiveStage::Queued {
                live.stage = LiveStage::Begun;
            }
            cx.record(Some(key), None, "begun");
            self.dispatch_step(cx, dispatch::Event::Begun(number));
        }
    }

    fn closed(&mut self, cx: &mut Cx<'_>, key: &JobKey, outcome: &Arc<Outcome>) {
        let what = match outcome.as_ref() {
            Outcome::Complete(_) => "closed: complete".to_string(),
            Outcome::Failed(failure) => format!("closed: {failure}"),
        };
        cx.record(Some(key), None, &what);
        if let Some(number) = self.keys.get(key).copied() {
            self.leave(number);
        }
        self.answer_waiters(cx, key, outcome);
    }

    /// Ends a job: proposes its close, or answers a repeatable request at once.
    pub(crate) fn close(&mut self, cx: &mut Cx<'_>, number: JobNumber, outcome: Outcome) {
        let Some(live) = self.live.get_mut(&number) else {
            return;
        };
        let outcome = Arc::new(outcome);
        if let Some(origin) = live.single.clone() {
            self.leave(number);
            return cx.answer(origin, Reply::Single(outcome));
        }
        if live.stage == LiveStage::Closing {
            return;
        }
        live.stage = LiveStage::Closing;
        let key = live.key.clone();
        self.propose(cx, Command::Close { key, outcome });
    }

    // The dispatcher.

    pub(crate) fn dispatch_step(&mut self, cx: &mut Cx<'_>, event: dispatch::Event) {
        for effect in self.dispatch.step(cx.now.time, event) {
            match effect {
                dispatch::Effect::Begin(numbers) => self.begin(cx, &numbers),
                dispatch::Effect::Start { attempt, target } => self.start(cx, attempt, target),
                dispatch::Effect::Stop { attempt, target } => self.stop(cx, attempt, &target),
                dispatch::Effect::Complete(number) => self.complete(cx, number),
                dispatch::Effect::Failed { job, failure } => {
                    self.close(cx, job, Outcome::Failed(failure));
                }
            }
        }
    }

    fn begin(&mut self, cx: &mut Cx<'_>, numbers: &[JobNumber]) {
        let key = |number: &JobNumber| self.live.get(number).map(|live| live.key.clone());
        let keys: Vec<JobKey> = numbers.iter().filter_map(key).collect();
        if !keys.is_empty() {
            self.propose(cx, Command::Begin { keys });
        }
    }

    fn complete(&mut self, cx: &mut Cx<'_>, number: JobNumber) {
        let Some(live) = self.live.get_mut(&number) else {
            return;
        };
        let results: Vec<Payload> = live.results.iter_mut().filter_map(Option::take).collect();
        assert_eq!(
            results.len(),
            live.submission.tasks.len(),
            "a complete job has the result of each task"
        );
        self.close(cx, number, Outcome::Complete(results));
    }

    fn start(&mut self, cx: &mut Cx<'_>, attempt: Attempt, target: TargetName) {
        let live = &self.live[&attempt.job];
        assert_eq!(live.stage, LiveStage::Begun, "a start follows the begin");
        let id = attempt_id(live, attempt);
        let start = Start {
            attempt: id.clone(),
            term: self.term,
            zone: self.name.clone(),
            template: live.submission.template.clone(),
            values: live.values.clone(),
            payload: live.submission.tasks[attempt.task as usize].clone(),
            left: live.spec.deadline.since(cx.now.time),
        };
        cx.record(
            Some(&id.key),
            Some(&target),
            &format!("start of {}", task(&id)),
        );
        let token = self.next_token();
        self.track(token, attempt, id, &target, Phase::Starting);
        self.call(cx, token, &target, Action::Start(start));
    }

    /// Follows an attempt that an earlier leader started.
    pub(crate) fn adopt(&mut self, cx: &mut Cx<'_>, attempt: Attempt, target: &TargetName) {
        let id = attempt_id(&self.live[&attempt.job], attempt);
        cx.record(
            Some(&id.key),
            Some(target),
            &format!("adopted {}", task(&id)),
        );
        let token = self.next_token();
        self.track(token, attempt, id, target, Phase::Running);
        self.poll(cx, token);
    }

    fn track(
        &mut self,
        token: u64,
        attempt: Attempt,
        id: AttemptId,
        target: &TargetName,
        phase: Phase,
    ) {
        let member = self
            .targets
            .get_mut(target)
            .expect("a start names a known target");
        member.flights.insert(token);
        self.attempts.insert(attempt, token);
        self.flights.insert(
            token,
            Flight {
                attempt,
                id,
                target: target.clone(),
                phase,
                fresh: false,
            },
        );
    }

    fn stop(&mut self, cx: &mut Cx<'_>, attempt: Attempt, target: &TargetName) {
        let Some(token) = self.attempts.get(&attempt) else {
            return;
        };
        let attempt = self.flights[token].id.clone();
        cx.record(
            Some(&attempt.key),
            Some(target),
            &format!("stop of {attempt}"),
        );
        let token = self.next_token();
        self.call(cx, token, target, Action::Stop { attempt });
    }

    fn next_token(&mut self) -> u64 {
        self.tokens += 1;
        (self.term.0 << TOKEN_BITS) + self.tokens
    }

    fn call(&mut self, cx: &mut Cx<'_>, token: u64, target: &TargetName, action: Action) {
        let Some(member) = self.targets.get(target) else {
            return;
        };
        let call = Call {
            target: target.clone(),
            incarnation: member.announcement.incarnation,
            address: member.announcement.address.clone(),
            action,
        };
        cx.out.push(Output::Call { token, call });
    }

    /// Asks again after an attempt.
    fn poll(&mut self, cx: &mut Cx<'_>, token: u64) {
        let Some(flight) = self.flights.get(&token) else {
            return;
        };
        let attempt = flight.id.clone();
        let target = flight.target.clone();
        let action = match flight.phase {
            Phase::Revoking => Action::Revoke { attempt },
            Phase::Starting | Phase::Running => Action::Poll {
                attempt,
                fresh: flight.fresh,
            },
        };
        self.call(cx, token, &target, action);
    }

    fn poll_later(&mut self, now: Time, token: u64) {
        self.timers
            .set(now + self.limits.repoll, Timer::Poll(token));
    }

    /// Takes what a client saw of a call.
    pub(crate) fn seen(&mut self, cx: &mut Cx<'_>, token: u64, seen: Seen) {
        if let Some(target) = self.fences.remove(&token) {
            return self.fence_seen(cx, &target, seen);
        }
        let Some(flight) = self.flights.get_mut(&token) else {
            return;
        };
        let phase = flight.phase;
        match seen {
            Seen::State(state) => self.state(cx, token, phase, state),
            Seen::NotRun { reason } if phase == Phase::Starting => {
                log::debug!("start of {} refused: {reason}", flight.id);
                self.settle(cx, token, Settled::NotRun);
            }
            Seen::Broken { reason } if phase == Phase::Starting => {
                log::warn!("start of {} broke off: {reason}", flight.id);
                flight.phase = Phase::Revoking;
                self.poll(cx, token);
            }
            Seen::NotRun { .. } | Seen::Broken { .. } => {
                // Only the start's own call can tell that a task didn't run. A later call that
                // doesn't get through says nothing, so the target is asked again until its lease
                // ends.
                flight.fresh = true;
                self.poll_later(cx.now.time, token);
            }
            Seen::Restarted => self.settle(cx, token, lost_or_not_run(phase)),
            Seen::Fenced { .. } => log::error!("call {token} was no fence but got its answer"),
        }
    }

    fn state(&mut self, cx: &mut Cx<'_>, token: u64, phase: Phase, state: State) {
        match state {
            State::Done { result, service } => {
                let attempt = self.flights[&token].attempt;
                if let Some(live) = self.live.get_mut(&attempt.job) {
                    live.results[attempt.task as usize] = Some(result);
                }
                self.settle(cx, token, Settled::Done { service });
            }
            State::Running => {
                let flight = self
                    .flights
                    .get_mut(&token)
                    .expect("looked up by the caller");
                flight.phase = Phase::Running;
                self.poll(cx, token);
            }
            State::Failed { message } => self.settle(cx, token, Settled::Failed { message }),
            State::Never => match phase {
                Phase::Starting | Phase::Revoking => self.settle(cx, token, Settled::NotRun),
                // The target said before that the task runs, so it has lost its memory.
                Phase::Running => self.settle(cx, token, Settled::Lost),
            },
            State::Guard(greengage_core::GuardAction::Throttled) => {
                let flight = self
                    .flights
                    .get_mut(&token)
                    .expect("looked up by the caller");
                flight.phase = Phase::Running;
                self.poll_later(cx.now.time, token);
            }
            State::Guard(action) => self.settle(cx, token, Settled::Guard(action)),
        }
    }

    fn settle(&mut self, cx: &mut Cx<'_>, token: u64, settled: Settled) {
        let Some(flight) = self.flights.remove(&token) else {
            return;
        };
        self.attempts.remove(&flight.attempt);
        if let Some(member) = self.targets.get_mut(&flight.target) {
            member.flights.remove(&token);
        }
        let what = match &settled {
            Settled::Done { .. } => "done",
            Settled::Failed { .. } => "failed",
            Settled::NotRun => "not run",
            Settled::Lost => "lost",
            Settled::Guard(_) => "ended by the guard",
        };
        let what = format!("{} {what}", task(&flight.id));
        cx.record(Some(&flight.id.key), Some(&flight.target), &what);
        let attempt = flight.attempt;
        self.dispatch_step(cx, dispatch::Event::Settled { attempt, settled });
    }

    // Targets.

    /// Takes a membership effect.
    pub(crate) fn member(&mut self, cx: &mut Cx<'_>, effect: &membership::Effect) {
        match effect {
            membership::Effect::Up(announcement) => {
                let standing = match announcement.leaving {
                    true => Standing::Leaving,
                    false => Standing::Live,
                };
                self.target_up(cx, announcement.clone(), standing);
            }
            membership::Effect::Standing { target, standing } => {
                self.standing(cx, target, *standing);
            }
            membership::Effect::Gone {
                target,
                incarnation,
            } => self.target_gone(cx, target, *incarnation),
            membership::Effect::VmUp(_) | membership::Effect::VmDown(_) => {}
        }
    }

    /// How an attempt on a target ended, for the target's health.
    pub(crate) fn health(settled: &Seen) -> Option<membership::Result> {
        match settled {
            Seen::State(State::Done { .. }) => Some(membership::Result::Success),
            Seen::State(State::Failed { .. }) => Some(membership::Result::Failure),
            Seen::Broken { .. } => Some(membership::Result::Unreachable),
            Seen::State(_) | Seen::NotRun { .. } | Seen::Fenced { .. } | Seen::Restarted => None,
        }
    }

    /// The target that a call went to.
    pub(crate) fn target_of(&self, token: u64) -> Option<&TargetName> {
        self.flights.get(&token).map(|flight| &flight.target)
    }

    fn target_up(&mut self, cx: &mut Cx<'_>, announcement: Announcement, standing: Standing) {
        let target = announcement.target.clone();
        let incarnation = announcement.incarnation;
        if let Some(member) = self.targets.get_mut(&target) {
            if member.announcement.incarnation == incarnation {
                member.announcement = announcement;
                if member.joined {
                    self.join(cx, &target);
                }
                return;
            }
        }
        let mut all = cx.ledger.registered();
        let registered = all.any(|known| known == (&target, incarnation));
        drop(all);
        let member = Member {
            announcement,
            standing,
            registered,
            joined: false,
            flights: BTreeSet::new(),
        };
        self.targets.insert(target.clone(), member);
        cx.record(None, Some(&target), "target up");
        self.supersede(cx, &target, incarnation);
        if registered {
            return self.fence(cx, &target);
        }
        self.propose(
            cx,
            Command::Register {
                target,
                incarnation,
            },
        );
    }

    fn registered(&mut self, cx: &mut Cx<'_>, target: &TargetName, incarnation: Incarnation) {
        let Some(member) = self.targets.get_mut(target) else {
            return;
        };
        if member.announcement.incarnation == incarnation && !member.registered {
            member.registered = true;
            self.fence(cx, target);
        }
    }

    /// Forbids a target the starts of earlier leaders; it joins the dispatcher when it answers.
    fn fence(&mut self, cx: &mut Cx<'_>, target: &TargetName) {
        let Some(member) = self.targets.get(target) else {
            return;
        };
        if member.joined || !member.registered {
            return;
        }
        if !member.announcement.fencing {
            let incarnation = member.announcement.incarnation;
            self.not_fenced(target, incarnation);
            self.join(cx, target);
            return self.check_recovery(cx);
        }
        let token = self.next_token();
        self.fences.insert(token, target.clone());
        let action = Action::Fence {
            zone: self.name.clone(),
            term: self.term,
        };
        self.call(cx, token, target, action);
    }

    fn fence_seen(&mut self, cx: &mut Cx<'_>, target: &TargetName, seen: Seen) {
        let Some(member) = self.targets.get(target) else {
            return;
        };
        let expected = member.announcement.incarnation;
        match seen {
            Seen::Fenced {
                incarnation,
                attempts,
            } if incarnation == expected => {
                self.join(cx, target);
                self.fenced(cx, target, incarnation, attempts);
                self.check_recovery(cx);
            }
            _ => {
                let again = cx.now.time + self.limits.repoll;
                self.timers.set(again, Timer::Fence(target.clone()));
            }
        }
    }

    fn join(&mut self, cx: &mut Cx<'_>, target: &TargetName) {
        let member = self
            .targets
            .get_mut(target)
            .expect("looked up by the caller");
        member.joined = true;
        let announcement = &member.announcement;
        let spec = dispatch::TargetSpec {
            target: target.clone(),
            rack: announcement.rack.clone(),
            work: announcement.work.clone(),
            capacity: announcement.capacity,
        };
        let standing = member.standing;
        let usage = announcement.usage;
        self.dispatch_step(cx, dispatch::Event::Target(spec));
        self.standing(cx, target, standing);
        if let Some(used) = usage {
            let target = target.clone();
            self.dispatch_step(cx, dispatch::Event::Usage { target, used });
        }
    }

    fn standing(&mut self, cx: &mut Cx<'_>, target: &TargetName, standing: Standing) {
        let Some(member) = self.targets.get_mut(target) else {
            return;
        };
        if member.standing != standing {
            cx.record(None, Some(target), &format!("target is {standing:?}"));
        }
        member.standing = standing;
        if member.joined {
            let target = target.clone();
            self.dispatch_step(cx, dispatch::Event::Standing { target, standing });
        }
    }

    fn target_gone(&mut self, cx: &mut Cx<'_>, target: &TargetName, incarnation: Incarnation) {
        let same = |member: &Member| member.announcement.incarnation == incarnation;
        if self.targets.get(target).is_some_and(same) {
            let member = self.targets.remove(target).expect("just looked up");
            cx.record(None, Some(target), "target gone");
            if member.joined {
                self.dispatch_step(cx, dispatch::Event::Gone(target.clone()));
            }
            for token in member.flights {
                // In every phase a start may have arrived.
                self.settle(cx, token, Settled::Lost);
            }
        }
        self.not_fenced(target, incarnation);
        self.check_recovery(cx);
        self.deregister(cx, target.clone(), incarnation);
    }

    /// Stops an attempt that belongs to no job of this leader, so that its slot becomes free.
    pub(crate) fn stop_unknown(&mut self, cx: &mut Cx<'_>, target: &TargetName, id: AttemptId) {
        let token = self.next_token();
        self.call(cx, token, target, Action::Stop { attempt: id });
    }

    pub(crate) fn set_recovery_timer(&mut self, at: Time) {
        self.timers.set(at, Timer::Recovery);
    }
}

/// How an attempt ends whose target restarted and has forgotten it. A start that was refused for
/// naming the earlier incarnation did not run.
fn lost_or_not_run(phase: Phase) -> Settled {
    match phase {
        Phase::Starting => Settled::NotRun,
        Phase::Running | Phase::Revoking => Settled::Lost,
    }
}

fn attempt_id(live: &Live, attempt: Attempt) -> AttemptId {
    AttemptId {
        key: live.key.clone(),
        task: attempt.task,
        number: attempt.number,
    }
}

/// An attempt as the time line names it beside its key.
fn task(id: &AttemptId) -> String {
    format!("task {} attempt {}", id.task, id.number)
}

pub(crate) fn progress(stage: &Stage) -> Progress {
    match stage {
        Stage::Accepted => Progress::Queued,
        Stage::Begun => Progress::Begun,
        Stage::Closed(outcome) => Progress::Closed(outcome.clone()),
    }
}

/// The dispatcher's view of a submission.
pub(crate) fn job_spec(
    number: JobNumber,
    submission: &Submission,
    resolved: &Resolved,
    now: Now,
) -> Job {
    let left = submission.deadline.0.saturating_sub(now.wall.0);
    Job {
        number,
        account: submission.account.clone(),
        work: submission.template.clone(),
        tasks: submission.tasks.len() as u32,
        target: resolved.template.target,
        demand: resolved.template.demand,
        spread: resolved.template.spread,
        deadline: now.time + Duration::from_millis(left),
        expected: Duration::from_millis(resolved.template.expected_ms),
        mode: Mode::Recorded { begun: false },
        bytes: submission.tasks.iter().map(|task| task.len()).sum(),
    }
}

/// A repeatable request as a job of one task, with an id that is unique among the VMs' callers.
fn single_job(zone: &ZoneName, origin: &Origin, request: NewRequest) -> NewJob {
    let id = Name::new(&format!("single:{}:{}", origin.vm, origin.id));
    NewJob {
        account: request.account,
        zone: Some(zone.clone()),
        id: id.unwrap_or_else(|_| Name::new("single").expect("a valid name")),
        template: request.template,
        digest: request.digest,
        tasks: vec![request.task],
    }
}
