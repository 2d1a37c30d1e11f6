//! Jobs whose offloaded tasks are refused by the VM that should run them.

use std::time::Duration;

use greengage_config::{Document, Limits, Queue, Service};
use greengage_core::{
    Demand, Incarnation, Name, Payload, RequestId, Time, Version, VmName, WallTime, ZoneName,
};
use greengage_scheduler::{
    Candidate, Effect, Event, OffloadOutcome, OffloadedTask, Peer, PeerMessage, Reply,
    ResourceOffer, Scheduler, Setup, Step, Submission, DEFAULT_WEIGHT,
};

const START: Time = Time(1_000_000);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn document() -> Document {
    let queue = Queue {
        name: "q".into(),
        host: "h".into(),
        prefix: "/q/".into(),
        service: "s".into(),
        timeout: Duration::from_secs(10),
        latency: millis(60),
        slack_percent: 20_000,
        priority: 0,
        max_attempts: 3,
        uses_advisor: false,
    };
    let service = Service {
        name: "s".into(),
        max_connections: 64,
    };
    let document = Document {
        version: Version(1),
        queues: vec![queue],
        services: vec![service],
        limits: Limits {
            max_body_bytes: 1 << 18,
        },
        source: Payload::new(Vec::new()),
    };
    document.validated().unwrap()
}

fn candidate(vm: &str) -> Candidate {
    Candidate {
        vm: VmName::new(vm).unwrap(),
        zone: ZoneName::new("a").unwrap(),
        weight: DEFAULT_WEIGHT,
    }
}

fn demand(milli_cores: u32) -> Demand {
    Demand {
        milli_cores,
        memory_mib: 64,
        accelerators: 0,
    }
}

fn step(scheduler: &mut Scheduler, now: Time, event: Event) -> Vec<Effect> {
    let wall = WallTime(1_000_000);
    let mut effects = scheduler.step(now, wall, Event::CallersChecked { until: now });
    effects.extend(scheduler.step(now, wall, event));
    effects
}

fn receive(scheduler: &mut Scheduler, now: Time, message: PeerMessage) -> Vec<Effect> {
    let from = VmName::new("v2").unwrap();
    let sent = now;
    step(
        scheduler,
        now,
        Event::Peer {
            from,
            sent,
            message,
        },
    )
}

/// Receives what `v2` has free on each of its targets.
fn receive_offers(scheduler: &mut Scheduler, now: Time, free: &[u32]) -> Vec<Effect> {
    let offers = free.iter().map(|milli_cores| ResourceOffer {
        free: demand(*milli_cores),
        speed: 100,
    });
    let message = PeerMessage::Offers {
        owned: Vec::new(),
        offers: offers.collect(),
        shortage: false,
        time_left: None,
    };
    receive(scheduler, now, message)
}

/// A VM without targets, and its peer `v2` with an offer of 8 cores and one of 2.
fn vm_with_offers() -> Scheduler {
    let setup = Setup {
        candidate: candidate("v1"),
        incarnation: Incarnation(1),
        stop_limit: millis(50),
        report_interval: millis(1500),
    };
    let mut scheduler = Scheduler::new(START, setup);
    step(
        &mut scheduler,
        START,
        Event::Configuration(document().into()),
    );
    let peer = Peer {
        candidate: candidate("v2"),
        incarnation: Incarnation(1),
        leaving: false,
    };
    step(&mut scheduler, START, Event::Peers(vec![peer]));
    receive_offers(&mut scheduler, START, &[8000, 2000]);
    scheduler
}

/// Submits a job of tasks with these demands, and returns those that are offloaded.
fn submit(
    scheduler: &mut Scheduler,
    now: Time,
    request: u64,
    milli_cores: &[u32],
) -> Vec<OffloadedTask> {
    let steps = milli_cores.iter().map(|milli_cores| Step {
        count: 1,
        demand: demand(*milli_cores),
        declared: millis(100),
        depends_on: Vec::new(),
        label: None,
    });
    let job = Submission {
        request: RequestId(request),
        host: "h".into(),
        path: format!("/q/j{request}").into(),
        id: Name::new(&format!("j{request}")).unwrap(),
        spec: "".into(),
        steps: steps.collect(),
        body_bytes: 100,
        received: now,
        timeout: Duration::from_secs(30),
        unsupported: None,
    };
    let effects = step(scheduler, now, Event::Submit(job));
    offloaded(&effects)
}

fn offloaded(effects: &[Effect]) -> Vec<OffloadedTask> {
    let runs = effects.iter().filter_map(|effect| match effect {
        Effect::Send {
            message: PeerMessage::Run { tasks, .. },
            ..
        } => Some(tasks.clone()),
        _ => None,
    });
    runs.flatten().collect()
}

fn answers(effects: &[Effect]) -> Vec<Reply> {
    let answers = effects.iter().filter_map(|effect| match effect {
        Effect::Answer { reply, .. } => Some(reply.clone()),
        _ => None,
    });
    answers.collect()
}

/// Goes on while `v2` has nothing free, until there is an answer; also returns its time.
fn wait_for_answer(scheduler: &mut Scheduler, from: Time) -> (Duration, Vec<Reply>) {
    for i in 1..2000 {
        let now = from + millis(20 * i);
        let mut effects = receive_offers(scheduler, now, &[]);
        effects.extend(step(scheduler, now, Event::Tick));
        let found = answers(&effects);
        if !found.is_empty() {
            return (now.since(START), found);
        }
    }
    panic!("no answer");
}

/// Plays a job of two tasks whose placements end so, and returns its answer.
fn answer_after(outcomes: [Option<OffloadOutcome>; 2]) -> (Duration, Vec<Reply>) {
    let mut scheduler = vm_with_offers();
    let tasks = submit(&mut scheduler, START, 1, &[5000, 2000]);
    assert_eq!(tasks.len(), 2);
    let now = START + millis(5);
    receive_offers(&mut scheduler, now, &[]);
    for (task, outcome) in tasks.iter().zip(outcomes) {
        if let Some(outcome) = outcome {
            let ended = PeerMessage::Ended(vec![(task.offload_id, outcome)]);
            let effects = receive(&mut scheduler, now, ended);
            assert_eq!(answers(&effects), []);
        }
    }
    wait_for_answer(&mut scheduler, now)
}

/// Guards against a job that ends with an unknown outcome at its deadline although none of its tasks
/// was ever started.
#[test]
fn job_whose_placements_were_all_refused_is_refused_at_its_longest_wait() {
    let (after, replies) = answer_after([Some(OffloadOutcome::NotStarted); 2]);
    assert!(
        matches!(replies.as_slice(), [Reply::Refused { .. }]),
        "{replies:?}"
    );
    assert!(after < Duration::from_secs(10), "{after:?}");
}

/// Guards against a refusal, which says "not run", while a placement has run, may have run or may
/// still run.
#[test]
fn job_with_a_placement_of_unknown_end_is_never_refused() {
    let refused = Some(OffloadOutcome::NotStarted);
    for other in [
        Some(OffloadOutcome::NotRunning),
        Some(OffloadOutcome::Failed),
        Some(OffloadOutcome::TooLong),
        Some(OffloadOutcome::Done),
        None,
    ] {
        for outcomes in [[refused, other], [other, refused]] {
            let (_, replies) = answer_after(outcomes);
            assert_eq!(replies, [Reply::TimedOut], "{outcomes:?}");
        }
    }
}

/// Guards against a refused task that hides the offers of smaller targets.
#[test]
fn refusal_of_a_large_task_keeps_offers_for_small_ones() {
    let mut scheduler = vm_with_offers();
    let tasks = submit(&mut scheduler, START, 1, &[5000]);
    let [task] = tasks.as_slice() else {
        panic!("{tasks:?}");
    };
    let refusal = vec![(task.offload_id, OffloadOutcome::NotStarted)];
    let now = START + millis(5);
    let effects = receive(&mut scheduler, now, PeerMessage::Ended(refusal));
    assert_eq!(offloaded(&effects), []);
    assert_eq!(submit(&mut scheduler, now, 2, &[2000]).len(), 1);
}

/// Guards against a task whose outcome is forgotten, so that it would be reported as never started, when
/// a renewal that is older than the task arrives after it has ended.
#[test]
fn late_renewal_drops_no_outcome_of_a_later_task() {
    let mut sender = vm_with_offers();
    let [mut task] = submit(&mut sender, START, 1, &[2000]).try_into().unwrap();
    let mut scheduler = vm_with_offers();
    task.offload_id = 5;
    let run = PeerMessage::Run {
        sender: Incarnation(1),
        callers_age: Duration::ZERO,
        tasks: vec![task],
    };
    receive(&mut scheduler, START, run);
    let renewal = |number, needed| PeerMessage::Renew {
        sender: Incarnation(1),
        receiver: Incarnation(1),
        callers_age: Duration::ZERO,
        number,
        needed,
    };
    // The outcome is kept, so it isn't sent again before it has had time to arrive.
    receive(&mut scheduler, START + millis(5), renewal(4, Vec::new()));
    let needed = vec![(5, Duration::from_secs(1))];
    let effects = receive(&mut scheduler, START + millis(6), renewal(6, needed));
    let repeats = |effect: &Effect| {
        matches!(
            effect,
            Effect::Send {
                message: PeerMessage::Ended(_),
                ..
            }
        )
    };
    assert!(!effects.iter().any(repeats), "{effects:?}");
}
