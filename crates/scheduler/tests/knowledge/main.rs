//! Decisions of a VM that doesn't know all targets, their owners, or which messages have arrived.

mod refused_placements;

use std::time::Duration;

use greengage_config::{Document, Limits, Queue, Service};
use greengage_core::{
    Address, Demand, Incarnation, Name, Payload, RequestId, TargetName, Time, Version, VmName,
    WallTime, ZoneName,
};
use greengage_scheduler::{
    Candidate, Departure, Effect, EndKind, Event, HoldResult, OffloadOutcome, OffloadedTask, Peer,
    PeerMessage, Reply, RunEnd, Scheduler, Setup, StartCall, Step, Submission, TargetCall,
    TargetReport, DEFAULT_WEIGHT,
};

fn document() -> Document {
    let queue = Queue {
        name: "q".into(),
        host: "h".into(),
        prefix: "/q/".into(),
        service: "s".into(),
        timeout: Duration::from_secs(10),
        latency: Duration::from_millis(60),
        // A job may wait for 5 s.
        slack_percent: 20_000,
        priority: 0,
        max_attempts: 3,
        uses_advisor: false,
    };
    let service = Service {
        name: "s".into(),
        max_connections: 64,
    };
    Document {
        version: Version(1),
        queues: vec![queue],
        services: vec![service],
        limits: Limits {
            max_body_bytes: 1 << 18,
        },
        source: Payload::new(Vec::new()),
    }
}

fn demand(milli_cores: u32) -> Demand {
    Demand {
        milli_cores,
        memory_mib: 64,
        accelerators: 0,
    }
}

fn report(name: &str, milli_cores: u32) -> TargetReport {
    TargetReport {
        target: TargetName::new(name).unwrap(),
        service: "s".into(),
        address: Address::new(&format!("{name}:8080")).unwrap(),
        zone: ZoneName::new("a").unwrap(),
        capacity: demand(milli_cores),
        labels: Vec::new(),
        draining: false,
        incarnation: Incarnation(1),
        sequence: 1,
    }
}

const REPORT_INTERVAL: Duration = Duration::from_millis(1500);

/// A VM that has started now, with the configuration and the report of one target.
fn started_vm(start: Time) -> Scheduler {
    started_vm_with(start, REPORT_INTERVAL)
}

fn started_vm_with(start: Time, report_interval: Duration) -> Scheduler {
    named_vm("v1", start, report_interval)
}

fn setup(vm: &str, report_interval: Duration) -> Setup {
    let candidate = Candidate {
        vm: VmName::new(vm).unwrap(),
        zone: ZoneName::new("a").unwrap(),
        weight: DEFAULT_WEIGHT,
    };
    Setup {
        candidate,
        incarnation: Incarnation(1),
        stop_limit: Duration::from_millis(50),
        report_interval,
    }
}

fn named_vm(vm: &str, start: Time, report_interval: Duration) -> Scheduler {
    let mut scheduler = Scheduler::new(start, setup(vm, report_interval));
    let document = document().validated().unwrap();
    step(&mut scheduler, start, Event::Configuration(document.into()));
    step(
        &mut scheduler,
        start,
        Event::TargetReported(report("small", 4000)),
    );
    scheduler
}

/// Processes an event while all callers are known to wait.
fn step(scheduler: &mut Scheduler, now: Time, event: Event) -> Vec<Effect> {
    let wall = WallTime(1_000_000);
    let checked = Event::CallersChecked { until: now };
    let mut effects = scheduler.step(now, wall, checked);
    effects.extend(scheduler.step(now, wall, event));
    effects
}

/// Another live VM, of another zone.
fn peer(name: &str) -> Peer {
    Peer {
        candidate: Candidate {
            vm: VmName::new(name).unwrap(),
            zone: ZoneName::new("b").unwrap(),
            weight: DEFAULT_WEIGHT,
        },
        incarnation: Incarnation(1),
        leaving: false,
    }
}

/// Receives a message that VM `v2` has just sent.
fn deliver(scheduler: &mut Scheduler, now: Time, message: PeerMessage) -> Vec<Effect> {
    let from = VmName::new("v2").unwrap();
    let sent = now;
    let event = Event::Peer {
        from,
        sent,
        message,
    };
    step(scheduler, now, event)
}

/// Receives a message that VM `v2` has just sent, and returns the messages that are sent then.
fn receive(scheduler: &mut Scheduler, now: Time, message: PeerMessage) -> Vec<PeerMessage> {
    let effects = deliver(scheduler, now, message);
    let replies = effects.into_iter().filter_map(|effect| match effect {
        Effect::Send { message, .. } => Some(message),
        _ => None,
    });
    replies.collect()
}

/// A job of one task that needs 8 cores.
fn submission(received: Time, request: u64) -> Event {
    Event::Submit(Submission {
        request: RequestId(request),
        host: "h".into(),
        path: format!("/q/j{request}").into(),
        id: Name::new(&format!("j{request}")).unwrap(),
        spec: "".into(),
        steps: vec![Step {
            count: 1,
            demand: demand(8000),
            declared: Duration::from_millis(100),
            depends_on: Vec::new(),
            label: None,
        }],
        body_bytes: 100,
        received,
        timeout: Duration::from_secs(30),
        unsupported: None,
    })
}

fn has_failed(effects: &[Effect], request: u64) -> bool {
    effects.iter().any(|effect| {
        matches!(effect, Effect::Answer { request: answered, reply: Reply::Failed }
            if answered.0 == request)
    })
}

/// Guards against the final answer "failed" from a VM that has just started and has the report of
/// one target, while the report of a target on which the task fits is still on its way.
#[test]
fn started_vm_fails_no_job_before_it_knows_the_targets() {
    let start = Time::from_millis(1000);
    let mut scheduler = started_vm(start);
    let effects = step(&mut scheduler, start, submission(start, 1));
    let failed = has_failed(&effects, 1);
    assert!(!failed, "answered as failed 0 ms after the start");
}

/// Ticks a VM from 20 ms after `start` on, and returns the time at which it answers a request as
/// failed; `None` if it hasn't after 5 s.
fn failed_after(scheduler: &mut Scheduler, start: Time, request: u64) -> Option<Duration> {
    let mut ticks = (1..250).map(|i| Duration::from_millis(20 * i));
    ticks.find(|after| {
        let effects = step(scheduler, start + *after, Event::Tick);
        has_failed(&effects, request)
    })
}

/// Guards against a job that can never run and waits although all targets are known: those that
/// wait are answered when each target has had time to report, later ones at once.
#[test]
fn job_that_fits_nowhere_fails_once_the_targets_are_known() {
    let start = Time::from_millis(1000);
    let mut scheduler = started_vm(start);
    step(&mut scheduler, start, submission(start, 1));
    let failed = failed_after(&mut scheduler, start, 1);
    assert_eq!(failed, Some(Duration::from_millis(2600)));
    let now = start + Duration::from_secs(3);
    let effects = step(&mut scheduler, now, submission(now, 2));
    assert!(has_failed(&effects, 2));
}

/// Guards against a job that is failed for good before targets that report rarely have reported.
#[test]
fn jobs_fail_later_if_targets_report_rarely() {
    let start = Time::from_millis(1000);
    let mut scheduler = started_vm_with(start, Duration::from_millis(3000));
    step(&mut scheduler, start, submission(start, 1));
    let failed = failed_after(&mut scheduler, start, 1);
    assert_eq!(failed, Some(Duration::from_millis(4100)));
}

/// Guards against a job that is failed although a target on which it fits has reported since its
/// submission, or another VM owns a target that this one doesn't know.
#[test]
fn job_that_may_fit_elsewhere_does_not_fail() {
    let start = Time::from_millis(1000);
    let mut scheduler = started_vm(start);
    let effects = step(&mut scheduler, start, submission(start, 1));
    assert!(!has_failed(&effects, 1));
    let large = Event::TargetReported(report("large", 16_000));
    step(&mut scheduler, start + Duration::from_millis(1500), large);
    assert_eq!(failed_after(&mut scheduler, start, 1), None);

    let mut scheduler = started_vm(start);
    step(&mut scheduler, start, Event::Peers(vec![peer("v2")]));
    let message = PeerMessage::Offers {
        owned: vec![TargetName::new("large").unwrap()],
        offers: Vec::new(),
        shortage: false,
        time_left: None,
    };
    receive(&mut scheduler, start, message);
    let effects = step(&mut scheduler, start, submission(start, 1));
    assert!(!has_failed(&effects, 1));
    assert_eq!(failed_after(&mut scheduler, start, 1), None);
}

/// Guards against a claim of a target that another VM may own, as it hasn't told its targets yet,
/// and against a target that stays without an owner because that VM tells nothing.
#[test]
fn target_is_claimed_once_its_owner_has_had_time_to_tell() {
    let start = Time::from_millis(1000);
    let mut scheduler = started_vm(start);
    step(&mut scheduler, start, Event::Peers(vec![peer("v2")]));
    let mut ticks = (1..250).map(|i| Duration::from_millis(20 * i));
    let claimed = ticks.find(|after| {
        let effects = step(&mut scheduler, start + *after, Event::Tick);
        effects.iter().any(|e| matches!(e, Effect::Call { .. }))
    });
    assert_eq!(claimed, Some(Duration::from_millis(1000)));
}

/// Guards against outcomes that are sent again to each renewal that they cross, and against ones
/// that aren't repeated although they were lost.
#[test]
fn outcome_is_repeated_once_it_has_had_time_to_arrive() {
    let start = Time::from_millis(1000);
    let mut scheduler = started_vm(start);
    step(&mut scheduler, start, Event::Peers(vec![peer("v2")]));
    // This VM owns no target, so it refuses the task.
    let task = OffloadedTask {
        offload_id: 1,
        task: "j1.0.0.0".into(),
        number: 1,
        spec: "".into(),
        service: "s".into(),
        queue: "q".into(),
        demand: demand(1000),
        declared: Duration::from_millis(100),
        label: None,
        objective: Duration::from_secs(1),
        deadline: Duration::from_secs(1),
    };
    let run = PeerMessage::Run {
        sender: Incarnation(1),
        callers_age: Duration::ZERO,
        tasks: vec![task],
    };
    let refused = PeerMessage::Ended(vec![(1, OffloadOutcome::NotStarted)]);
    assert!(receive(&mut scheduler, start, run).contains(&refused));
    for (number, ms, repeated) in [(2, 5, false), (3, 120, true), (4, 125, false)] {
        let renewal = PeerMessage::Renew {
            sender: Incarnation(1),
            receiver: Incarnation(1),
            callers_age: Duration::ZERO,
            number,
            needed: vec![(1, Duration::from_secs(1))],
        };
        let sent = receive(&mut scheduler, start + Duration::from_millis(ms), renewal);
        assert_eq!(sent.contains(&refused), repeated, "after {ms} ms");
    }
}

/// The generation of the first call to a target by a VM that knows no other VM.
fn claim_generation(vm: &str) -> u64 {
    let start = Time::from_millis(1000);
    let mut scheduler = named_vm(vm, start, REPORT_INTERVAL);
    let mut now = start;
    loop {
        now = now + Duration::from_millis(20);
        let effects = step(&mut scheduler, now, Event::Tick);
        let call = effects.into_iter().find_map(|effect| match effect {
            Effect::Call { generation, .. } => Some(generation),
            _ => None,
        });
        if let Some(generation) = call {
            return generation;
        }
    }
}

/// Guards against two VMs with different lists of peers that claim a target in the same millisecond
/// under one generation, so that the target obeys both.
#[test]
fn claims_of_different_vms_differ_in_their_generation() {
    let mut generations: Vec<u64> = (0..40)
        .map(|i| claim_generation(&format!("10.0.0.{i}")))
        .collect();
    generations.sort_unstable();
    generations.dedup();
    assert_eq!(generations.len(), 40);
    let largest_exact_in_json = 1u64 << 53;
    assert!(generations.iter().all(|g| *g < largest_exact_in_json));
}

/// The departure of an incarnation of the target "small".
fn departure(incarnation: u64) -> Event {
    Event::TargetLeft(Departure {
        target: report("small", 0).target,
        incarnation: Some(Incarnation(incarnation)),
    })
}

/// Guards against a target that has left and is used again, because a report that it sent before
/// arrives over another control VM.
#[test]
fn late_report_of_a_departed_target_is_ignored() {
    let start = Time::from_millis(1000);
    let mut scheduler = started_vm(start);
    step(&mut scheduler, start, departure(1));
    let mut late = report("small", 4000);
    late.sequence = 2;
    step(&mut scheduler, start, Event::TargetReported(late.clone()));
    assert_eq!(scheduler.known(), 0);
    late.incarnation = Incarnation(2);
    step(&mut scheduler, start, Event::TargetReported(late));
    assert_eq!(scheduler.known(), 1, "a later incarnation is used");
}

/// Guards against tasks that are started again elsewhere while they run, because the notice that an
/// earlier incarnation of their target has left arrives late.
#[test]
fn late_departure_of_an_earlier_incarnation_is_ignored() {
    let start = Time::from_millis(1000);
    let mut scheduler = started_vm(start);
    let mut restarted = report("small", 4000);
    restarted.incarnation = Incarnation(2);
    step(&mut scheduler, start, Event::TargetReported(restarted));
    step(&mut scheduler, start, departure(1));
    assert_eq!(scheduler.known(), 1);
    step(&mut scheduler, start, departure(2));
    assert_eq!(scheduler.known(), 0);
}

/// Guards against targets that stay without an owner in a large deployment, because their next owner
/// learns of their release only from a periodic broadcast.
#[test]
fn release_of_a_target_is_told_to_its_zone_at_once() {
    let mut now = Time::from_millis(1000);
    let mut scheduler = started_vm(now);
    let mut peers: Vec<Peer> = (0..60).map(|i| peer(&format!("v2-{i}"))).collect();
    for near in &mut peers[..20] {
        near.candidate.zone = ZoneName::new("a").unwrap();
    }
    let mut claimed = None;
    for i in 0..200 {
        now = now + Duration::from_millis(20);
        if i == 100 {
            step(&mut scheduler, now, Event::Peers(peers.clone()));
            let end = now + Duration::from_secs(6);
            step(&mut scheduler, now, Event::Leave { end });
        }
        for effect in step(&mut scheduler, now, Event::Tick) {
            match effect {
                Effect::Call {
                    target, generation, ..
                } => {
                    claimed.get_or_insert(generation);
                    let result = HoldResult::Lists {
                        clock: now.0 / 1000,
                        incarnation: None,
                        running: Vec::new(),
                        ended: Vec::new(),
                    };
                    let event = Event::HoldEnded {
                        target,
                        generation,
                        result,
                    };
                    step(&mut scheduler, now, event);
                }
                Effect::Send { to, message } if i > 100 && scheduler.owned() == 0 => {
                    let PeerMessage::Offers { owned, .. } = message else {
                        panic!("unexpected message to {to:?}");
                    };
                    assert!(claimed.is_some() && owned.is_empty());
                    assert!(i <= 105, "told after {} ms", (i - 100) * 20);
                    return;
                }
                Effect::Send { .. } | Effect::Answer { .. } => {}
            }
        }
    }
    panic!("the release was not told");
}

/// Guards against a foreign report, accepted before the configuration, that keeps a target out.
#[test]
fn foreign_report_before_the_configuration_holds_no_address() {
    let start = Time::from_millis(1000);
    let mut scheduler = Scheduler::new(start, setup("v1", REPORT_INTERVAL));
    let mut foreign = report("foreign", 4000);
    foreign.service = "other".into();
    foreign.address = report("small", 4000).address;
    foreign.incarnation = Incarnation(2);
    step(&mut scheduler, start, Event::TargetReported(foreign));
    let document = document().validated().unwrap();
    step(&mut scheduler, start, Event::Configuration(document.into()));
    let target = report("small", 4000);
    step(&mut scheduler, start, Event::TargetReported(target));
    let mut ticks = (1..50).map(|i| start + Duration::from_millis(20 * i));
    let called = ticks.find_map(|now| {
        let effects = step(&mut scheduler, now, Event::Tick);
        effects.into_iter().find_map(|effect| match effect {
            Effect::Call { target, .. } => Some(target),
            _ => None,
        })
    });
    assert_eq!(called, Some(report("small", 0).target));
}

/// Guards against a target that stays unused, because a foreign report with its name and a later
/// incarnation was accepted before the configuration.
#[test]
fn foreign_report_before_the_configuration_hides_no_target() {
    let start = Time::from_millis(1000);
    let mut scheduler = Scheduler::new(start, setup("v1", REPORT_INTERVAL));
    let mut foreign = report("small", 4000);
    foreign.service = "other".into();
    foreign.incarnation = Incarnation(2);
    step(
        &mut scheduler,
        start,
        Event::TargetReported(report("small", 4000)),
    );
    step(&mut scheduler, start, Event::TargetReported(foreign));
    let document = document().validated().unwrap();
    step(&mut scheduler, start, Event::Configuration(document.into()));
    assert_eq!(scheduler.known(), 0);
    step(
        &mut scheduler,
        start,
        Event::TargetReported(report("small", 4000)),
    );
    assert_eq!(scheduler.known(), 1);
}

/// Ticks a VM for 2 s, answers the holds of its target as a process of `incarnation` without runs, and
/// returns the number of starts.
fn serve_target(scheduler: &mut Scheduler, from: Time, incarnation: u64) -> usize {
    let mut starts = 0;
    for i in 1..100 {
        let now = from + Duration::from_millis(20 * i);
        for effect in step(scheduler, now, Event::Tick) {
            match effect {
                Effect::Call {
                    target,
                    generation,
                    call: TargetCall::Hold(_),
                    ..
                } => {
                    let result = HoldResult::Lists {
                        clock: now.0 / 1000,
                        incarnation: Some(Incarnation(incarnation)),
                        running: Vec::new(),
                        ended: Vec::new(),
                    };
                    let event = Event::HoldEnded {
                        target,
                        generation,
                        result,
                    };
                    let effects = step(scheduler, now, event);
                    starts += effects.iter().filter(|effect| is_start(effect)).count();
                }
                effect => starts += usize::from(is_start(&effect)),
            }
        }
    }
    starts
}

/// The calls among the effects that start tasks.
fn starts(effects: &[Effect]) -> Vec<(TargetName, u64, StartCall)> {
    let starts = effects.iter().filter_map(|effect| match effect {
        Effect::Call {
            target,
            generation,
            call: TargetCall::Start(start),
            ..
        } => Some((target.clone(), *generation, start.clone())),
        _ => None,
    });
    starts.collect()
}

/// The answer of a hold that lists a run as done.
fn run_done(now: Time, (target, generation, start): &(TargetName, u64, StartCall)) -> Event {
    let end = RunEnd {
        number: 1,
        task: start.task.clone(),
        run: start.number,
        kind: EndKind::Done,
    };
    let result = HoldResult::Lists {
        clock: now.0 / 1000,
        incarnation: Some(Incarnation(1)),
        running: Vec::new(),
        ended: vec![end],
    };
    Event::HoldEnded {
        target: target.clone(),
        generation: *generation,
        result,
    }
}

fn is_start(effect: &Effect) -> bool {
    matches!(
        effect,
        Effect::Call {
            call: TargetCall::Start(_),
            ..
        }
    )
}

/// Guards against a target of another kind that gets tasks by the labels of its earlier process, as
/// the answer of a hold tells of its restart before its first report does.
#[test]
fn restarted_target_gets_no_task_before_its_report() {
    let mut now = Time::from_millis(1000);
    let mut scheduler = started_vm(now);
    assert_eq!(serve_target(&mut scheduler, now, 2), 0);
    now = now + 2 * Duration::from_secs(1);
    let Event::Submit(mut job) = submission(now, 1) else {
        panic!("not a submission");
    };
    job.steps[0].demand = demand(1000);
    let effects = step(&mut scheduler, now, Event::Submit(job));
    assert!(!effects.iter().any(is_start));
    assert_eq!(serve_target(&mut scheduler, now, 2), 0);
    now = now + 2 * Duration::from_secs(1);
    let restarted = TargetReport {
        incarnation: Incarnation(2),
        sequence: 0,
        ..report("small", 4000)
    };
    let effects = step(&mut scheduler, now, Event::TargetReported(restarted));
    assert!(effects.iter().any(is_start));
}

/// Guards against a job that is refused, or whose tasks have other names, because the prefix of its
/// queue doesn't end with a slash.
#[test]
fn job_of_a_queue_whose_prefix_has_no_final_slash_is_run() {
    let mut now = Time::from_millis(1000);
    let mut scheduler = started_vm(now);
    let mut other = document();
    other.version = Version(2);
    other.queues[0].prefix = "/q/desk-".into();
    let other = other.validated().unwrap();
    step(&mut scheduler, now, Event::Configuration(other.into()));
    assert_eq!(serve_target(&mut scheduler, now, 1), 0);
    now = now + Duration::from_secs(2);
    let Event::Submit(mut job) = submission(now, 1) else {
        panic!("not a submission");
    };
    job.path = "/q/desk-j1".into();
    job.id = Name::new("desk-j1").unwrap();
    job.steps[0].demand = demand(1000);
    let effects = step(&mut scheduler, now, Event::Submit(job.clone()));
    let started = effects.iter().find_map(|effect| match effect {
        Effect::Call {
            call: TargetCall::Start(start),
            ..
        } => Some(start.task.clone()),
        _ => None,
    });
    assert_eq!(started.as_deref(), Some("j1.0.0.0"));
    job.request = RequestId(2);
    assert!(step(&mut scheduler, now, Event::Submit(job)).is_empty());
    assert_eq!(scheduler.callers(), 2);
}

/// Guards against a long job that isn't started on a free target, because a short run of its queue
/// ended late there.
#[test]
fn long_job_is_started_after_a_short_run_that_ended_late() {
    let mut now = Time::from_millis(1000);
    let mut scheduler = started_vm(now);
    assert_eq!(serve_target(&mut scheduler, now, 1), 0);
    now = now + Duration::from_secs(2);
    let job = |received: Time, request, declared| {
        let Event::Submit(mut job) = submission(received, request) else {
            panic!("not a submission");
        };
        job.steps[0].demand = demand(1000);
        job.steps[0].declared = declared;
        Event::Submit(job)
    };
    let effects = step(&mut scheduler, now, job(now, 1, Duration::from_millis(10)));
    let started = starts(&effects);
    let [start] = started.as_slice() else {
        panic!("{started:?}");
    };
    now = now + Duration::from_millis(29);
    let event = run_done(now, start);
    let effects = step(&mut scheduler, now, event);
    assert!(effects.iter().any(|effect| matches!(
        effect,
        Effect::Answer {
            reply: Reply::Completed,
            ..
        }
    )));
    let effects = step(&mut scheduler, now, job(now, 2, Duration::from_secs(15)));
    assert!(effects.iter().any(is_start), "{effects:?}");
}

/// Guards against runs of a job that can't end in time, which leave no room for others.
#[test]
fn job_with_more_work_than_the_targets_can_do_in_time_is_refused_at_once() {
    let start = Time::from_millis(1000);
    let mut scheduler = started_vm(start);
    let now = start + Duration::from_secs(3);
    // The target has 4 cores for half a second; a task takes 40 ms or more of all of them.
    for (request, count, refused) in [(1, 20, true), (2, 10, false)] {
        let Event::Submit(mut job) = submission(now, request) else {
            unreachable!();
        };
        job.steps[0].count = count;
        job.steps[0].demand = demand(4000);
        job.timeout = Duration::from_millis(500);
        let effects = step(&mut scheduler, now, Event::Submit(job));
        let is_refusal = |effect: &Effect| {
            matches!(effect, Effect::Answer { request: answered, reply: Reply::Refused { .. } }
                if answered.0 == request)
        };
        assert_eq!(effects.iter().any(is_refusal), refused, "{count} tasks");
    }
}

/// Guards against a job that waits for targets of its label which can't do its work in time, since
/// others can do theirs.
#[test]
fn job_with_more_work_than_the_targets_of_its_label_can_do_is_refused_at_once() {
    let start = Time::from_millis(1000);
    let mut scheduler = started_vm(start);
    let mut labelled = report("labelled", 4000);
    labelled.labels = vec!["x".into()];
    step(&mut scheduler, start, Event::TargetReported(labelled));
    let now = start + Duration::from_secs(3);
    for (request, label, refused) in [(1, Some("x".into()), true), (2, None, false)] {
        let Event::Submit(mut job) = submission(now, request) else {
            unreachable!();
        };
        (job.steps[0].count, job.steps[0].label) = (20, label);
        job.steps[0].demand = demand(4000);
        job.timeout = Duration::from_millis(500);
        let effects = step(&mut scheduler, now, Event::Submit(job));
        assert_eq!(!refusals(&effects).is_empty(), refused, "{effects:?}");
    }
}

/// The refused requests and when they may return.
fn refusals(effects: &[Effect]) -> Vec<(u64, Duration)> {
    let refusal = |effect: &Effect| match effect {
        Effect::Answer {
            request,
            reply: Reply::Refused { after },
        } => Some((request.0, *after)),
        _ => None,
    };
    effects.iter().filter_map(refusal).collect()
}

/// Guards against callers that return before those of more urgent jobs, which then find no room
/// again.
#[test]
fn refused_callers_return_in_the_order_of_their_jobs() {
    let mut now = Time::from_millis(1000);
    let mut scheduler = started_vm(now);
    serve_target(&mut scheduler, now, 1);
    now = now + Duration::from_secs(2);
    let mut document = document();
    document.version = Version(2);
    let urgent = &mut document.queues[0];
    (urgent.slack_percent, urgent.latency) = (160, Duration::from_secs(1));
    let mut low = urgent.clone();
    (low.name, low.prefix, low.priority) = ("low".into(), "/low/".into(), 1);
    document.queues.push(low);
    let document = document.validated().unwrap();
    step(&mut scheduler, now, Event::Configuration(document.into()));
    let job = |request: u64, prefix: &str, declared_ms: u64| {
        let Event::Submit(mut job) = submission(now, request) else {
            unreachable!();
        };
        job.steps[0].demand = demand(4000);
        job.steps[0].declared = Duration::from_millis(declared_ms);
        job.path = format!("{prefix}{}", job.id).into();
        Event::Submit(job)
    };
    let effects = step(&mut scheduler, now, job(1, "/q/", 5000));
    assert!(effects.iter().any(is_start), "{effects:?}");
    for (request, prefix) in [(3, "/q/"), (5, "/q/"), (2, "/low/"), (4, "/low/")] {
        let effects = step(&mut scheduler, now, job(request, prefix, 50));
        assert!(refusals(&effects).is_empty(), "{effects:?}");
    }
    let later = now + Duration::from_millis(280);
    let refused = refusals(&step(&mut scheduler, later, Event::Tick));
    let latest = |low: bool| {
        let of_queue = refused.iter().filter(|(id, _)| (id % 2 == 0) == low);
        of_queue.map(|(_, after)| *after).max()
    };
    assert_eq!(refused.len(), 4, "{refused:?}");
    assert!(latest(true) > latest(false), "{refused:?}");
}

/// Guards against a refused job whose room another one of a queue with more admitted work holds, and
/// against the refusal of a job that has run.
#[test]
fn job_with_room_gives_way_to_one_of_another_queue() {
    let mut now = Time::from_millis(1000);
    let mut scheduler = started_vm(now);
    serve_target(&mut scheduler, now, 1);
    now = now + Duration::from_secs(2);
    let mut document = document();
    document.version = Version(2);
    let queue = &mut document.queues[0];
    (queue.slack_percent, queue.latency) = (160, Duration::from_millis(200));
    let mut other = queue.clone();
    (other.name, other.prefix) = ("other".into(), "/other/".into());
    document.queues.push(other);
    let document = document.validated().unwrap();
    step(&mut scheduler, now, Event::Configuration(document.into()));
    // All of the target for 100 ms, in 360 ms: only one of the jobs that wait has room in time.
    let mut submit = |request: u64, prefix: &str| {
        let Event::Submit(mut job) = submission(now, request) else {
            unreachable!();
        };
        job.steps[0].demand = demand(4000);
        job.steps[0].declared = Duration::from_millis(100);
        job.path = format!("{prefix}{}", job.id).into();
        step(&mut scheduler, now, Event::Submit(job))
    };
    assert!(submit(1, "/q/").iter().any(is_start));
    assert!(refusals(&submit(2, "/q/")).is_empty());
    let refused = refusals(&submit(3, "/other/"));
    let refused: Vec<u64> = refused.iter().map(|(request, _)| *request).collect();
    assert_eq!(refused, [2]);
    let refused = refusals(&submit(4, "/q/"));
    let refused: Vec<u64> = refused.iter().map(|(request, _)| *request).collect();
    assert_eq!(refused, [4]);
}

/// Guards against an urgent job that waits behind an earlier one of lower priority.
#[test]
fn room_goes_to_the_higher_priority_first() {
    let mut now = Time::from_millis(1000);
    let mut scheduler = started_vm(now);
    serve_target(&mut scheduler, now, 1);
    now = now + Duration::from_secs(2);
    let mut document = document();
    document.version = Version(2);
    let mut low = document.queues[0].clone();
    (low.name, low.prefix, low.priority) = ("low".into(), "/low/".into(), 1);
    document.queues.push(low);
    let document = document.validated().unwrap();
    step(&mut scheduler, now, Event::Configuration(document.into()));
    let job = |received: Time, request: u64, prefix: &str| {
        let Event::Submit(mut job) = submission(received, request) else {
            unreachable!();
        };
        job.steps[0].demand = demand(4000);
        job.path = format!("{prefix}{}", job.id).into();
        Event::Submit(job)
    };
    let first = starts(&step(&mut scheduler, now, job(now, 1, "/q/")));
    let [first] = first.as_slice() else {
        panic!("{first:?}");
    };
    for (request, prefix) in [(2, "/low/"), (3, "/q/")] {
        now = now + Duration::from_millis(1);
        let effects = step(&mut scheduler, now, job(now, request, prefix));
        assert!(!effects.iter().any(is_start), "{effects:?}");
    }
    now = now + Duration::from_millis(100);
    let event = run_done(now, first);
    let next = starts(&step(&mut scheduler, now, event));
    let names: Vec<&str> = next.iter().map(|(.., start)| &*start.task).collect();
    let Event::Submit(urgent) = submission(now, 3) else {
        unreachable!();
    };
    assert_eq!(names, [format!("{}.0.0.0", urgent.id)]);
}

/// Guards against a job that waits for room beyond the time of its last caller.
#[test]
fn caller_of_a_job_that_waits_for_room_is_answered_at_its_deadline() {
    let mut now = Time::from_millis(1000);
    let mut scheduler = started_vm(now);
    serve_target(&mut scheduler, now, 1);
    now = now + Duration::from_secs(2);
    let job = |received: Time, request: u64, id: &str, timeout_ms: u64| {
        let Event::Submit(mut job) = submission(received, request) else {
            unreachable!();
        };
        (job.id, job.path) = (Name::new(id).unwrap(), format!("/q/{id}").into());
        job.steps[0].demand = demand(4000);
        job.steps[0].declared = Duration::from_millis(500);
        job.timeout = Duration::from_millis(timeout_ms);
        Event::Submit(job)
    };
    let effects = step(&mut scheduler, now, job(now, 1, "busy", 30_000));
    assert!(effects.iter().any(is_start), "{effects:?}");
    step(&mut scheduler, now, job(now, 2, "waits", 30_000));
    step(&mut scheduler, now, job(now, 3, "waits", 100));
    step(&mut scheduler, now, Event::CallerGone(RequestId(2)));
    let mut answered = Vec::new();
    for millis in [20, 40, 60, 80, 100, 120] {
        let effects = step(
            &mut scheduler,
            now + Duration::from_millis(millis),
            Event::Tick,
        );
        answered.extend(effects.into_iter().filter_map(|effect| match effect {
            Effect::Answer { request, .. } => Some(request.0),
            _ => None,
        }));
    }
    assert_eq!(answered, [3]);
}

/// Guards against waiting jobs of many steps and tasks that hold up the control thread, since the time
/// that each takes in a round grows with the product of both.
#[test]
fn rounds_with_jobs_of_many_steps_take_as_long_as_with_few() {
    let is_answer = |effect: &Effect| matches!(effect, Effect::Answer { .. });
    let time_of_rounds = |counts: &[u32]| {
        let mut now = Time::from_millis(1000);
        let mut scheduler = started_vm(now);
        serve_target(&mut scheduler, now, 1);
        now = now + Duration::from_secs(2);
        for request in 1..=4 {
            let Event::Submit(mut job) = submission(now, request) else {
                unreachable!();
            };
            let mut step_of = job.steps[0].clone();
            step_of.demand = demand(4000);
            job.steps = Vec::new();
            // The first job takes the only target; the steps of the others follow each other.
            let counts = if request == 1 { &[1] } else { counts };
            for (i, count) in counts.iter().enumerate() {
                step_of.count = *count;
                step_of.depends_on = (0..i as u32).rev().take(1).collect();
                step_of.declared = Duration::from_millis(if request == 1 { 5000 } else { 10 });
                job.steps.push(step_of.clone());
            }
            job.timeout = Duration::from_secs(60);
            let effects = step(&mut scheduler, now, Event::Submit(job));
            assert!(!effects.iter().any(is_answer), "{effects:?}");
        }
        let round = |scheduler: &mut Scheduler, i: u64| {
            let began = std::time::Instant::now();
            let now = now + Duration::from_millis(20 * i);
            let effects = step(scheduler, now, Event::Tick);
            assert!(!effects.iter().any(is_answer), "{effects:?}");
            began.elapsed()
        };
        let times = (1..=10).map(|i| round(&mut scheduler, i));
        times.min().unwrap()
    };
    let few = time_of_rounds(&[1, 9599]);
    let many = time_of_rounds(&[8; 1200]);
    assert!(many < 10 * few, "{many:?}, {few:?} with two steps");
}
