//! Regression tests, one for each fault found by the randomised test (`cluster`) or in review.
//!
//! A `Harness` holds the control state of one VM, whose saves become durable immediately. The tests
//! send the messages of other VMs and targets themselves.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use greengage_agreement::{Entry, EntryKind, HardState};
use greengage_control::api::{ApiError, Group, NewJob, NewRequest, Progress, Reply, Request};
use greengage_control::call::{Action, AttemptState, Call, CallResult};
use greengage_control::{
    Body, Control, DurableSave, Effect, Envelope, Event, GroupSave, Limits, Now, Roles, Site,
    StoredGroup, StoredState, VmSpec,
};
use greengage_core::{
    AccountName, Address, Capacity, Demand, Digest, Failure, Hlc, Incarnation, Index, JobKey, Name,
    OpId, Outcome, Payload, Refusal, RequestId, Revision, SortedMap, Spread, TargetKind,
    TargetName, TemplateName, Term, Time, Version, VmName, WallTime, ZoneName,
};
use greengage_ledger as ledger;
use greengage_membership::{Announcement, VmStatus};
use greengage_policy as policy;
use greengage_policy::{Document, Params, Template};

struct Harness {
    control: Control,
    now: Now,
    effects: Vec<Effect>,
    requests: u64,
    /// Ledger commands in the order in which they were saved.
    commands: Vec<ledger::Command>,
    /// Completions of saves that are delivered by `release_saves`.
    held_saves: Vec<Event>,
    hold_saves: bool,
}

fn vm(text: &str) -> VmName {
    VmName::new(text).unwrap()
}

/// A status report in which VM a1 leads the zone in this term, or does not lead.
fn status(leading_term: Option<Term>) -> VmStatus {
    VmStatus {
        vm: vm("a1"),
        zone: zone(),
        incarnation: Incarnation(1),
        revision: Revision(0),
        control_reachable: true,
        leading_term,
        weight: 1,
        load: 0,
        draining: false,
        disk_failed: false,
    }
}

fn zone() -> ZoneName {
    ZoneName::new("a").unwrap()
}

/// VM a1 is the only voter in both groups; a2 has no disk.
fn site(own: &str, incarnation: u64) -> Site {
    let spec = |text: &str| {
        let voter = text == "a1";
        let roles = Roles {
            control: voter,
            ledger: voter,
            witness: Vec::new(),
        };
        (
            vm(text),
            VmSpec {
                zone: zone(),
                roles,
            },
        )
    };
    Site {
        vm: vm(own),
        vms: ["a1", "a2"].map(spec).into_iter().collect(),
        folder: (own == "a1").then_some(0),
        incarnation: Incarnation(incarnation),
        weight: 1,
        seed: 1,
        limits: Limits::default(),
    }
}

impl Harness {
    fn new(own: &str, incarnation: u64) -> Harness {
        Harness::restored(own, incarnation, Vec::new())
    }

    /// A VM whose ledger holds these commands of term 1.
    fn restored(own: &str, incarnation: u64, commands: Vec<ledger::Command>) -> Harness {
        let site = site(own, incarnation);
        let mut durable = StoredState::default();
        if site.folder.is_some() {
            durable.control.config = site.initial_control_config();
            let config = site.initial_ledger_config(&zone());
            let entry = |(i, command)| Entry {
                term: Term(1),
                index: Index(i),
                kind: EntryKind::Command(command),
            };
            let group = StoredGroup {
                config,
                hard_state: HardState {
                    term: Term(1),
                    vote: None,
                },
                entries: (1..).zip(commands).map(entry).collect(),
                ..StoredGroup::default()
            };
            durable.ledgers.insert(zone(), group);
        }
        let now = Now {
            time: Time(0),
            wall: WallTime(1_800_000_000_000),
        };
        let control = Control::new(site, durable, now);
        Harness {
            control,
            now,
            effects: Vec::new(),
            requests: 0,
            commands: Vec::new(),
            held_saves: Vec::new(),
            hold_saves: false,
        }
    }

    /// VM a1 leads both groups and has a configuration, and target t1 accepts starts.
    fn leader() -> Harness {
        let mut harness = Harness::new("a1", 1);
        harness.configure();
        harness.announce("t1", 1);
        let token = harness.take_call(is_fence);
        harness.answer_fence(token);
        harness
    }

    fn configure(&mut self) {
        let harness = self;
        harness.advance(2000);
        for (repeatable, text) in [(false, "job"), (true, "ping")] {
            let template = TemplateName::new(text).unwrap();
            harness.edit(Document::Template {
                name: template.clone(),
                content: Some(test_template(repeatable)),
            });
            harness.edit(Document::Params {
                template,
                account: account(),
                content: Some(Params {
                    weight: 1,
                    quota: 10,
                    concurrency: 10,
                    burst: 0,
                    deadline_ms: None,
                    values: SortedMap::new(),
                }),
            });
        }
    }

    fn step(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            for effect in self.control.step(self.now, event) {
                match effect {
                    Effect::Save(GroupSave::Control(save)) => {
                        events.push(Event::SaveDone(DurableSave::Group {
                            group: Group::Control,
                            seq: save.seq,
                        }))
                    }
                    Effect::Save(GroupSave::Ledger { zone, save }) => {
                        let commands =
                            save.entries
                                .into_iter()
                                .filter_map(|entry| match entry.kind {
                                    EntryKind::Command(command) => Some(command),
                                    EntryKind::Noop | EntryKind::Config(_) => None,
                                });
                        self.commands.extend(commands);
                        let saved = Event::SaveDone(DurableSave::Group {
                            group: Group::Ledger(zone),
                            seq: save.seq,
                        });
                        match self.hold_saves {
                            true => self.held_saves.push(saved),
                            false => events.push(saved),
                        }
                    }
                    Effect::Save(GroupSave::Policy(state)) => {
                        let saved = Event::SaveDone(DurableSave::Policy(state.applied()));
                        match self.hold_saves {
                            true => self.held_saves.push(saved),
                            false => events.push(saved),
                        }
                    }
                    other => self.effects.push(other),
                }
            }
        }
    }

    /// Advances the time, with all ticks that are due.
    fn advance(&mut self, millis: u64) {
        let end = Time(self.now.time.0 + millis * 1000);
        while self.control.next_wake() <= end {
            self.set_time(self.control.next_wake().max(self.now.time));
            self.step(Event::Tick);
        }
        self.set_time(end);
    }

    fn set_time(&mut self, time: Time) {
        self.now.wall.0 += (time.0 - self.now.time.0) / 1000;
        self.now.time = time;
    }

    fn request(&mut self, wait: u64, request: Request) -> RequestId {
        self.requests += 1;
        let id = RequestId(self.requests);
        let wait = Duration::from_millis(wait);
        self.step(Event::Request { id, wait, request });
        id
    }

    fn receive(&mut self, from: &str, body: Body) {
        let envelope = Arc::new(Envelope {
            timestamp: Hlc::default(),
            body,
        });
        self.step(Event::Peer {
            from: vm(from),
            envelope,
        });
    }

    /// Drops the effects; returns the number of requests that they forward.
    fn take_forwards(&mut self) -> usize {
        let is_forward = |effect: &&Effect| match effect {
            Effect::Send { envelope, .. } => matches!(envelope.body, Body::Forward { .. }),
            _ => false,
        };
        let count = self.effects.iter().filter(is_forward).count();
        self.effects.clear();
        count
    }

    /// Delivers a status report in which VM a1 leads the zone in this term, or does not lead.
    fn receive_status(&mut self, leading_term: Option<Term>) {
        let status = status(leading_term);
        self.receive(
            "a1",
            Body::Status {
                status,
                folder: Some(0),
            },
        );
    }

    fn edit(&mut self, document: Document) {
        let op = OpId(Name::new(&format!("op{}", self.requests)).unwrap());
        let base_version = Version(0);
        let id = self.request(
            0,
            Request::Edit(policy::Command::Edit {
                op,
                base_version,
                document,
            }),
        );
        let reply = self.take_reply(id);
        assert!(
            matches!(reply, Some(Reply::Edit(policy::Outcome::Applied { .. }))),
            "{reply:?}"
        );
    }

    fn release_saves(&mut self) {
        self.hold_saves = false;
        for saved in std::mem::take(&mut self.held_saves) {
            self.step(saved);
        }
    }

    fn announce(&mut self, target: &str, incarnation: u64) {
        let work = ["job", "ping"].map(|text| TemplateName::new(text).unwrap());
        let announcement = Announcement {
            target: TargetName::new(target).unwrap(),
            incarnation: Incarnation(incarnation),
            address: Address::new("127.0.0.1:1").unwrap(),
            zone: zone(),
            rack: None,
            work: work.to_vec(),
            capacity: Capacity::Executor {
                slots: 1,
                connections: 60,
            },
            usage: None,
            fencing: true,
            leaving: false,
        };
        self.request(0, Request::Announce(announcement));
    }

    /// Positions of the saved deregistrations (or registrations) of a target.
    fn registry_changes(&self, name: &str, deregister: bool) -> Vec<usize> {
        let fits = |command: &ledger::Command| match command {
            ledger::Command::Register { target, .. } => !deregister && target.as_str() == name,
            ledger::Command::Deregister { target, .. } => deregister && target.as_str() == name,
            _ => false,
        };
        let commands = self.commands.iter().enumerate();
        commands
            .filter(|(_, command)| fits(command))
            .map(|(i, _)| i)
            .collect()
    }

    fn call_ended(&mut self, token: u64, result: CallResult) {
        self.step(Event::CallEnded { token, result });
    }

    fn answer_fence(&mut self, token: u64) {
        let result = CallResult::Fenced {
            incarnation: Incarnation(1),
            attempts: Vec::new(),
        };
        self.call_ended(token, result);
    }

    fn complete_call(&mut self, token: u64, result: &[u8]) {
        let state = AttemptState::Done {
            result: Payload::new(result),
            service: Duration::from_millis(1),
        };
        self.call_ended(token, CallResult::State(state));
    }

    /// Removes and returns the reply to a request, if there is one.
    fn take_reply(&mut self, request: RequestId) -> Option<Reply> {
        let index = self
            .effects
            .iter()
            .position(|effect| matches!(effect, Effect::Reply { id, .. } if *id == request))?;
        match self.effects.remove(index) {
            Effect::Reply { reply, .. } => Some(reply),
            _ => unreachable!("just matched"),
        }
    }

    /// Removes the first call whose action fits and returns its token.
    fn take_call(&mut self, fits: impl Fn(&Action) -> bool) -> u64 {
        self.try_take_call(fits).expect("the call is made")
    }

    fn try_take_call(&mut self, fits: impl Fn(&Action) -> bool) -> Option<u64> {
        let index = self.effects.iter().position(
            |effect| matches!(effect, Effect::Call { call: Call { action, .. }, .. } if fits(action)),
        )?;
        match self.effects.remove(index) {
            Effect::Call { token, .. } => Some(token),
            _ => unreachable!("just matched"),
        }
    }
}

fn account() -> AccountName {
    AccountName::new("acme").unwrap()
}

fn test_template(repeatable: bool) -> Template {
    Template {
        target: TargetKind::Executor,
        demand: Demand::default(),
        spread: Spread::Any,
        deadline_ms: 60_000,
        repeatable,
        retries: 2,
        max_tasks: 10,
        expected_ms: 100,
        params: SortedMap::new(),
    }
}

fn job(id: &str, content: u8) -> NewJob {
    NewJob {
        account: account(),
        zone: Some(zone()),
        id: Name::new(id).unwrap(),
        template: TemplateName::new("job").unwrap(),
        digest: Digest([content; 32]),
        tasks: vec![Payload::new([content])],
    }
}

fn single(task: u8) -> Request {
    Request::Single(NewRequest {
        account: account(),
        zone: Some(zone()),
        id: None,
        template: TemplateName::new("ping").unwrap(),
        digest: Digest([task; 32]),
        task: Payload::new([task]),
    })
}

fn key(id: &str) -> JobKey {
    JobKey {
        account: account(),
        zone: zone(),
        id: Name::new(id).unwrap(),
    }
}

fn is_fence(action: &Action) -> bool {
    matches!(action, Action::Fence { .. })
}

fn is_start(action: &Action) -> bool {
    matches!(action, Action::Start(_))
}

fn is_revoke(action: &Action) -> bool {
    matches!(action, Action::Revoke { .. })
}

/// Guards against repeated pushes that delay the one on its way to a VM with a slow link or disk.
#[test]
fn configuration_on_its_way_is_not_pushed_at_each_report() {
    let mut harness = Harness::leader();
    harness.effects.clear();
    let mut pushed_ms = Vec::new();
    for ms in (0..8000).step_by(500) {
        let status = VmStatus {
            vm: vm("a2"),
            incarnation: Incarnation(1),
            ..status(None)
        };
        harness.receive(
            "a2",
            Body::Status {
                status,
                folder: None,
            },
        );
        let is_push = |effect: &Effect| match effect {
            Effect::Send { envelope, .. } => match &envelope.body {
                Body::Edits { edits, .. } => !edits.is_empty(),
                Body::Policy { .. } => true,
                _ => false,
            },
            _ => false,
        };
        pushed_ms.extend(harness.effects.iter().filter(|e| is_push(e)).map(|_| ms));
        harness.effects.clear();
        harness.advance(500);
    }
    assert_eq!(pushed_ms, [0, 1000, 3000, 7000]);
}

/// Guards against a start on a silent connection that holds its job up until the call's time limit
/// of 2.25 s.
#[test]
fn start_on_a_silent_connection_is_revoked_before_its_call_ends() {
    let mut harness = Harness::leader();
    let id = harness.request(30_000, Request::Submit(job("j1", 1)));
    let start = harness.take_call(is_start);
    harness.advance(799);
    assert_eq!(harness.try_take_call(is_revoke), None);
    harness.advance(1);
    let check = harness.take_call(is_revoke);
    harness.call_ended(check, CallResult::State(AttemptState::Never));
    harness.advance(100);
    let second = harness.take_call(is_start);
    let broken = CallResult::Broken {
        reason: "timeout".to_string(),
    };
    harness.call_ended(start, broken);
    assert_eq!(harness.try_take_call(is_revoke), None);
    harness.complete_call(second, b"1");
    let reply = harness.take_reply(id);
    let Some(Reply::Job { progress, .. }) = reply else {
        panic!("{reply:?}");
    };
    let outcome = Arc::new(Outcome::Complete(vec![Payload::new(*b"1")]));
    assert_eq!(progress, Progress::Closed(outcome));
}

/// Guards against a second run, or a second series of polls, of a slow task whose start is asked
/// about while its call goes on.
#[test]
fn slow_task_goes_on_after_its_start_is_asked_about() {
    let mut harness = Harness::leader();
    harness.request(30_000, Request::Submit(job("j1", 1)));
    let start = harness.take_call(is_start);
    harness.advance(800);
    let check = harness.take_call(is_revoke);
    harness.call_ended(check, CallResult::State(AttemptState::Running));
    harness.advance(1000);
    assert_eq!(harness.try_take_call(|action| !is_fence(action)), None);
    harness.call_ended(start, CallResult::State(AttemptState::Running));
    let poll = harness.take_call(|action| matches!(action, Action::Poll { .. }));
    harness.advance(1000);
    assert_eq!(harness.try_take_call(|action| !is_fence(action)), None);
    harness.complete_call(poll, b"1");
    harness.advance(1000);
    assert_eq!(harness.try_take_call(|action| !is_fence(action)), None);
}

/// Guards against a request that is lost with its leader's term until it is sent again after 2 s and
/// more, because the same VM is elected again.
#[test]
fn request_is_sent_again_to_a_leader_in_its_next_term() {
    let mut harness = Harness::new("a2", 2);
    harness.receive_status(Some(Term(1)));
    harness.request(1000, Request::Submit(job("j1", 1)));
    assert_eq!(harness.take_forwards(), 1);
    harness.receive_status(Some(Term(1)));
    assert_eq!(harness.take_forwards(), 0);
    harness.receive_status(None);
    assert_eq!(harness.take_forwards(), 0);
    harness.receive_status(Some(Term(2)));
    assert_eq!(harness.take_forwards(), 1);
}

/// Guards against a request, or its reply, that is lost with a silent connection and sent again only
/// 2 or 4 s later, although the connection has been replaced.
#[test]
fn request_is_sent_again_when_a_connection_is_replaced() {
    let mut harness = Harness::new("a2", 2);
    harness.receive_status(Some(Term(1)));
    harness.request(1000, Request::Submit(job("j1", 1)));
    assert_eq!(harness.take_forwards(), 1);
    harness.step(Event::Reconnected { vm: vm("a3") });
    assert_eq!(harness.take_forwards(), 0);
    harness.step(Event::Reconnected { vm: vm("a1") });
    assert_eq!(harness.take_forwards(), 1);
}

/// Guards against "not run" for a task whose target restarted after it had received the start.
#[test]
fn restart_seen_by_a_question_about_a_start_decides_nothing() {
    let mut harness = Harness::leader();
    harness.request(30_000, Request::Submit(job("j1", 1)));
    let start = harness.take_call(is_start);
    harness.advance(800);
    let check = harness.take_call(is_revoke);
    harness.call_ended(check, CallResult::Restarted);
    harness.advance(100);
    assert_eq!(harness.try_take_call(is_start), None);
    let broken = CallResult::Broken {
        reason: "reset".to_string(),
    };
    harness.call_ended(start, broken);
    harness.take_call(is_revoke);
}

/// Guards against a late reply to a request of an earlier process reaching another caller: front
/// ends count request ids from 1 again after a restart.
#[test]
fn reply_to_an_earlier_incarnation_is_dropped() {
    let mut harness = Harness::new("a2", 2);
    harness.receive_status(Some(Term(1)));
    let id = harness.request(1000, Request::Outcome(key("j1")));
    let reply = |incarnation: u64, id: &str| Body::Reply {
        incarnation: Incarnation(incarnation),
        id: RequestId(1),
        reply: Reply::Job {
            key: key(id),
            progress: Progress::Queued,
        },
    };
    harness.receive("a1", reply(1, "j0"));
    assert_eq!(harness.take_reply(id), None);
    harness.receive("a1", reply(2, "j1"));
    assert!(harness.take_reply(id).is_some());
}

/// Guards against equal attempt ids for requests of two incarnations of a VM: a target that keeps
/// results by attempt id would return the first result twice.
#[test]
fn repeatable_requests_of_two_incarnations_have_different_attempts() {
    let mut harness = Harness::leader();
    let mut attempts = Vec::new();
    for incarnation in [1, 2] {
        harness.receive(
            "a2",
            Body::Forward {
                incarnation: Incarnation(incarnation),
                id: RequestId(1),
                wait: Duration::from_secs(1),
                request: single(incarnation as u8),
            },
        );
        let starts = harness.effects.iter().filter_map(|effect| match effect {
            Effect::Call { call, .. } => match &call.action {
                Action::Start(start) => Some(start.attempt.clone()),
                _ => None,
            },
            _ => None,
        });
        attempts.extend(starts);
        let token = harness.take_call(is_start);
        harness.complete_call(token, b"r");
    }
    assert_eq!(attempts.len(), 2);
    assert_ne!(attempts[0], attempts[1]);
}

/// Guards against a draining VM that answers with the outcome of other content under the same key.
#[test]
fn draining_vm_compares_the_content() {
    let mut harness = Harness::leader();
    let id = harness.request(1000, Request::Submit(job("j1", 1)));
    let token = harness.take_call(is_start);
    harness.complete_call(token, b"r");
    let complete = |reply| matches!(reply, Some(Reply::Job { .. }));
    assert!(complete(harness.take_reply(id)));
    harness.step(Event::Drain);
    let id = harness.request(1000, Request::Submit(job("j1", 2)));
    let reply = harness.take_reply(id);
    assert_eq!(reply, Some(Reply::Error(ApiError::OtherContent(key("j1")))));
    let id = harness.request(1000, Request::Submit(job("j1", 1)));
    assert!(complete(harness.take_reply(id)));
    let id = harness.request(1000, Request::Submit(job("j2", 1)));
    let refused = Reply::Error(ApiError::Refused(Refusal::Draining));
    assert_eq!(harness.take_reply(id), Some(refused));
}

/// Guards against a second start of a task: a result is kept only by the leader until the close, so
/// the next leader must know the incarnation that gave it.
#[test]
fn incarnation_stays_registered_while_a_job_needs_it() {
    let mut harness = Harness::leader();
    harness.announce("t2", 1);
    let token = harness.take_call(is_fence);
    harness.answer_fence(token);
    let mut two_tasks = job("j1", 1);
    two_tasks.tasks.push(Payload::new([2]));
    harness.request(1000, Request::Submit(two_tasks));
    let mut tokens = BTreeMap::new();
    harness.effects.retain(|effect| match effect {
        Effect::Call { token, call } if is_start(&call.action) => {
            tokens.insert(call.target.as_str().to_string(), *token);
            false
        }
        _ => true,
    });
    harness.complete_call(tokens["t1"], b"first");
    harness.announce("t1", 2);
    assert_eq!(harness.registry_changes("t1", true), [0; 0]);
    harness.complete_call(tokens["t2"], b"second");
    let close = |command: &ledger::Command| matches!(command, ledger::Command::Close { .. });
    let close = harness.commands.iter().position(close).unwrap();
    let deregistrations = harness.registry_changes("t1", true);
    assert!(
        deregistrations.len() == 1 && deregistrations[0] > close,
        "{deregistrations:?}, close {close}"
    );
}

fn register_command(incarnation: u64) -> ledger::Command {
    ledger::Command::Register {
        target: TargetName::new("t1").unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

/// Guards against starts at a target that the ledger no longer registers: the next leader would not
/// fence it.
#[test]
fn target_that_answers_its_fence_late_stays_registered() {
    let mut harness = Harness::restored("a1", 2, vec![register_command(1)]);
    harness.configure();
    harness.announce("t1", 1);
    let token = harness.take_call(is_fence);
    for _ in 0..5 {
        harness.advance(1000);
        harness.announce("t1", 1);
    }
    harness.answer_fence(token);
    harness.request(0, Request::Submit(job("j1", 1)));
    harness.take_call(is_start);
    assert_eq!(harness.registry_changes("t1", true), [0; 0]);
}

/// As above, for a target that announces itself again after its grace period, before its
/// deregistration is applied.
#[test]
fn target_that_returns_is_registered_again_first() {
    let mut harness = Harness::leader();
    harness.advance(7900);
    harness.hold_saves = true;
    harness.advance(1000);
    harness.announce("t1", 1);
    assert_eq!(harness.registry_changes("t1", true).len(), 1);
    assert_eq!(harness.try_take_call(is_fence), None);
    harness.release_saves();
    let token = harness.take_call(is_fence);
    harness.answer_fence(token);
    harness.request(0, Request::Submit(job("j1", 1)));
    harness.take_call(is_start);
    let deregistrations = harness.registry_changes("t1", true);
    let registrations = harness.registry_changes("t1", false);
    assert!(
        deregistrations[0] < registrations[1],
        "{deregistrations:?}, {registrations:?}"
    );
}

/// Guards against a jump of the time of day that ends a key's retention: a resubmission would run
/// again.
#[test]
fn clock_jump_does_not_end_retention() {
    let mut harness = Harness::leader();
    harness.request(0, Request::Submit(job("j1", 1)));
    let token = harness.take_call(is_start);
    harness.complete_call(token, b"r");
    harness.now.wall.0 += 7_200_000;
    harness.advance(7000);
    harness.announce("t1", 1);
    harness.advance(7000);
    let id = harness.request(0, Request::Submit(job("j1", 1)));
    let reply = harness.take_reply(id);
    assert!(
        matches!(
            reply,
            Some(Reply::Job {
                progress: Progress::Closed(_),
                ..
            })
        ),
        "{reply:?}"
    );
}

/// Guards against a "not run" reply for a request of which an earlier copy may run or has run.
#[test]
fn refusal_of_a_resent_request_is_reported_as_unknown() {
    let refused = Reply::Error(ApiError::Refused(Refusal::Draining));
    let unknown = Reply::Error(ApiError::UnknownOutcome {
        key: Some(key("j1")),
    });
    for (pause, expected) in [(0, refused.clone()), (2500, unknown)] {
        let mut harness = Harness::new("a2", 1);
        harness.receive_status(Some(Term(1)));
        let id = harness.request(5000, Request::Submit(job("j1", 1)));
        harness.advance(pause / 2);
        harness.receive_status(Some(Term(1)));
        harness.advance(pause / 2);
        let body = Body::Reply {
            incarnation: Incarnation(1),
            id,
            reply: refused.clone(),
        };
        harness.receive("a1", body);
        assert_eq!(harness.take_reply(id), Some(expected));
    }
}

/// Guards against a revision that decreases with a restart, because it was in force before it was
/// durable.
#[test]
fn revision_is_in_force_once_durable() {
    let mut harness = Harness::leader();
    let before = harness.control.revision();
    harness.hold_saves = true;
    harness.edit(Document::Template {
        name: TemplateName::new("new").unwrap(),
        content: Some(test_template(true)),
    });
    assert_eq!(harness.control.revision(), before);
    harness.release_saves();
    assert!(harness.control.revision() > before);
}

/// Guards against a job that mixes two revisions: an edit is accepted before it is in force, and a
/// job submitted in between follows the template in force.
#[test]
fn submission_before_an_accepted_edit_is_in_force_follows_the_previous_template() {
    let mut harness = Harness::leader();
    harness.hold_saves = true;
    let worker = Template {
        target: TargetKind::Worker,
        demand: Demand {
            milli_cores: 1000,
            ..Demand::default()
        },
        ..test_template(false)
    };
    let edit = policy::Command::Edit {
        op: OpId(Name::new("to-worker").unwrap()),
        base_version: Version(1),
        document: Document::Template {
            name: TemplateName::new("job").unwrap(),
            content: Some(worker),
        },
    };
    let id = harness.request(0, Request::Edit(edit));
    let reply = harness.take_reply(id);
    let Some(Reply::Edit(policy::Outcome::Applied { revision, .. })) = reply else {
        panic!("{reply:?}");
    };
    assert!(harness.control.revision() < revision);
    harness.request(0, Request::Submit(job("j1", 1)));
    harness.release_saves();
    assert_eq!(harness.control.revision(), revision);
    let token = harness.take_call(is_start);
    harness.complete_call(token, b"1");
    // No worker is known, so a job of the edited template waits.
    harness.request(0, Request::Submit(job("j2", 1)));
    assert_eq!(harness.try_take_call(is_start), None);
}

/// Guards against starts at a leaving target: it was sent the queue before the dispatcher knew its
/// standing.
#[test]
fn leaving_target_is_sent_nothing_by_a_new_leader() {
    let mut harness = Harness::new("a1", 1);
    harness.configure();
    harness.announce("t1", 1);
    let token = harness.take_call(is_fence);
    harness.request(0, single(1));
    harness.request(0, Request::Leave(TargetName::new("t1").unwrap()));
    harness.answer_fence(token);
    harness.advance(500);
    assert_eq!(harness.try_take_call(is_start), None);
}

/// Guards against a leader that no longer knows itself as leader after a pause of its process,
/// because its own status report was overdue.
#[test]
fn leader_answers_after_a_pause() {
    for pause in (1600..3000).step_by(100) {
        let mut harness = Harness::leader();
        harness.set_time(Time(harness.now.time.0 + pause * 1000));
        harness.step(Event::Tick);
        harness.advance(2000);
        let id = harness.request(0, Request::Outcome(key("j1")));
        let unknown = Reply::Error(ApiError::UnknownKey(key("j1")));
        assert_eq!(harness.take_reply(id), Some(unknown), "pause of {pause} ms");
    }
}

/// Guards against an attempt that holds a slot and is polled every 200 ms forever, because its
/// target has lost the attempt that it reported as running.
#[test]
fn forgotten_attempt_ends_its_job() {
    let mut harness = Harness::leader();
    let id = harness.request(30_000, Request::Submit(job("j1", 1)));
    let token = harness.take_call(is_start);
    harness.call_ended(token, CallResult::State(AttemptState::Running));
    let polled = harness.take_call(|action| matches!(action, Action::Poll { .. }));
    assert_eq!(polled, token);
    harness.call_ended(token, CallResult::Forgotten);
    let Some(Reply::Job { progress, .. }) = harness.take_reply(id) else {
        panic!("no answer");
    };
    let Progress::Closed(outcome) = progress else {
        panic!("{progress:?}");
    };
    let expected = Outcome::Failed(Failure::MayHaveRun {
        task: 0,
        target: Some(TargetName::new("t1").unwrap()),
    });
    assert_eq!(*outcome, expected);
    harness.advance(1000);
    assert_eq!(
        harness.try_take_call(|action| matches!(action, Action::Poll { .. })),
        None
    );
}
