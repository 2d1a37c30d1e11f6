//! Tests of the stages of a graceful shutdown.

mod support;

use std::sync::Arc;
use std::time::Duration;

use greengage_cluster::scheduler::{HoldResult, StartResult, StopResult, TargetCall};
use greengage_cluster::{scheduler, Cluster, Effect, Event, Outcome, Shutdown, Stage};
use greengage_config::{Document, Queue, Service};
use greengage_core::{Demand, Name, RequestId, TargetName, Time, VmName, WallTime};

const GRACE: Duration = Duration::from_secs(6);

fn at(ms: u64) -> Time {
    Time::from_millis(10_000 + ms)
}

/// Guards against an exit while callers wait or before the load balancer has detected that the VM
/// is not ready.
#[test]
fn idle_vm_is_done_after_balancer_detection() {
    let mut shutdown = Shutdown::default();
    assert_eq!(shutdown.stage(at(0), 0, false), Stage::Serving);
    shutdown.begin(at(0), GRACE);
    assert_eq!(shutdown.stage(at(100), 3, false), Stage::Draining);
    assert_eq!(shutdown.stage(at(2000), 0, false), Stage::Draining);
    assert_eq!(shutdown.stage(at(2400), 0, false), Stage::Done);
}

/// Guards against a VM that is killed during a request because callers keep sending jobs until the
/// grace period ends.
#[test]
fn busy_vm_stops_taking_jobs_before_the_grace_period_ends() {
    let mut shutdown = Shutdown::default();
    shutdown.begin(at(0), GRACE);
    assert_eq!(shutdown.stage(at(3800), 5, false), Stage::Draining);
    assert_eq!(shutdown.stage(at(3950), 5, false), Stage::Closing);
    assert_eq!(shutdown.stage(at(5500), 1, false), Stage::Closing);
    assert_eq!(shutdown.stage(at(5650), 1, false), Stage::Done);
}

/// Guards against a second signal that restarts the grace period.
#[test]
fn second_begin_does_not_extend_the_grace_period() {
    let mut shutdown = Shutdown::default();
    shutdown.begin(at(0), GRACE);
    shutdown.begin(at(4000), GRACE);
    assert_eq!(shutdown.stage(at(5700), 1, false), Stage::Done);
}

/// Guards against a deadline of answers that leaves no time to deliver them before the exit.
#[test]
fn answers_are_due_before_the_exit() {
    let mut shutdown = Shutdown::default();
    let due = shutdown.begin(at(0), GRACE);
    assert!(due > at(5000) && due < at(5600), "{due:?}");
    assert_ne!(shutdown.stage(due, 1, false), Stage::Done);
}

/// Guards against an exit of a control VM that leaves an operator's edit without an answer.
#[test]
fn control_vm_answers_operators_before_its_exit() {
    let now = at(0);
    let mut cluster = Cluster::new(now, support::control_setup(now));
    for ms in 0..2000 {
        let effects = cluster.step(at(ms), WallTime(ms), Event::Tick);
        for effect in effects {
            if let Effect::Save(save) = effect {
                cluster.step(at(ms), WallTime(ms), Event::Saved(save.seq));
            }
        }
    }
    let now = at(2000);
    let put = Event::Put {
        request: RequestId(7),
        document: support::document(1),
    };
    cluster.step(now, WallTime(2000), put);
    assert_eq!(cluster.status(now).callers, 1);
    let effects = cluster.answer_all(now, WallTime(2000));
    let answered = |effect: &Effect| {
        matches!(effect, Effect::Answer { request, outcome: Outcome::Unknown }
            if *request == RequestId(7))
    };
    assert!(effects.iter().any(answered));
    assert_eq!(cluster.status(now).callers, 0);
}

/// Guards against a grace period that starts only when a busy control thread takes the event, so
/// that the process is killed before it has answered its callers.
#[test]
fn grace_period_counts_from_the_signal() {
    let mut cluster = Cluster::new(at(0), support::control_setup(at(0)));
    let requested = at(1000);
    cluster.step(at(2500), WallTime(2500), Event::Shutdown { requested });
    assert_eq!(
        cluster.time_left(at(2500)),
        Some(Duration::from_millis(4500))
    );
    cluster.step(
        at(3000),
        WallTime(3000),
        Event::Shutdown {
            requested: at(3000),
        },
    );
    assert_eq!(
        cluster.time_left(at(3000)),
        Some(Duration::from_millis(4000))
    );
}

/// A job of one task of 1 s in a queue without targets, in which it may wait for long.
fn submission(ms: u64, request: u64) -> Event {
    let step = scheduler::Step {
        count: 1,
        demand: Demand::default(),
        declared: Duration::from_secs(1),
        depends_on: Vec::new(),
        label: None,
    };
    Event::Scheduler(scheduler::Event::Submit(scheduler::Submission {
        request: RequestId(request),
        host: "h".into(),
        path: "/q/j1".into(),
        id: Name::new("j1").unwrap(),
        spec: "".into(),
        steps: vec![step],
        body_bytes: 1,
        received: at(ms),
        timeout: Duration::from_secs(30),
        unsupported: None,
    }))
}

fn waiting_queue() -> Queue {
    Queue {
        name: "q".into(),
        host: "h".into(),
        prefix: "/q/".into(),
        service: "s".into(),
        timeout: Duration::from_secs(30),
        latency: Duration::ZERO,
        slack_percent: 10_000,
        priority: 0,
        max_attempts: 1,
        uses_advisor: false,
    }
}

fn configuration(queue: Queue) -> Event {
    let service = Service {
        name: queue.service.clone(),
        max_connections: 64,
    };
    let document = Document {
        services: vec![service],
        queues: vec![queue],
        ..(*support::document(1)).clone()
    };
    Event::Receive {
        from: VmName::new("10.0.0.1").unwrap(),
        stamp: support::stamp(at(0), None),
        message: support::configuration_message(Arc::new(document)),
    }
}

/// Guards against telling a caller that a job has not run although it is current on this VM.
#[test]
fn closing_vm_does_not_refuse_a_current_job() {
    let mut cluster = Cluster::new(at(0), support::entry_setup());
    cluster.step(at(0), WallTime(0), support::no_evacuations());
    cluster.step(at(0), WallTime(0), configuration(waiting_queue()));
    cluster.step(at(1), WallTime(1), submission(1, 1));
    let requested = at(2);
    cluster.step(at(2), WallTime(2), Event::Shutdown { requested });
    let now = at(4200);
    assert_eq!(cluster.status(now).stage, Stage::Closing);
    let effects = cluster.step(now, WallTime(4200), submission(4200, 2));
    let is_answer = |effect: &&Effect| matches!(effect, Effect::Answer { .. });
    assert_eq!(effects.iter().filter(is_answer).count(), 0);
    assert_eq!(cluster.status(now).callers, 2);
}

/// The answer of a target that has begun each run and lists none.
fn target_answer(target: TargetName, generation: u64, call: TargetCall) -> scheduler::Event {
    let clock = 0;
    match call {
        TargetCall::Start(call) => scheduler::Event::StartEnded {
            target,
            generation,
            task: call.task,
            number: call.number,
            result: StartResult::Running { clock },
        },
        TargetCall::Stop(call) => scheduler::Event::StopEnded {
            target,
            generation,
            task: call.task,
            number: call.number,
            result: StopResult::Done,
        },
        TargetCall::Hold(_) => scheduler::Event::HoldEnded {
            target,
            generation,
            result: HoldResult::Lists {
                clock,
                incarnation: None,
                running: Vec::new(),
                ended: Vec::new(),
            },
        },
    }
}

/// Guards against telling a caller that a job has not run although it ran for an earlier caller.
#[test]
fn closing_vm_does_not_refuse_a_job_that_has_begun() {
    let mut cluster = Cluster::new(at(0), support::entry_setup());
    let queue = Queue {
        service: "desk".into(),
        ..waiting_queue()
    };
    cluster.step(at(0), WallTime(0), support::no_evacuations());
    cluster.step(at(0), WallTime(0), configuration(queue));
    let report = scheduler::Event::TargetReported(support::report("t-1", 1));
    let mut events = vec![Event::Scheduler(report)];
    let mut starts = 0;
    for ms in 1..6000 {
        match ms {
            1000 => events.push(submission(ms, 1)),
            2000 => events.push(Event::Shutdown { requested: at(ms) }),
            3000 => events.push(Event::Scheduler(scheduler::Event::CallerGone(RequestId(1)))),
            _ => {}
        }
        let checked = scheduler::Event::CallersChecked { until: at(ms) };
        events.extend([Event::Scheduler(checked), Event::Tick]);
        for event in std::mem::take(&mut events) {
            for effect in cluster.step(at(ms), WallTime(ms), event) {
                if let Effect::Call {
                    target,
                    generation,
                    call,
                    ..
                } = effect
                {
                    starts += usize::from(matches!(call, TargetCall::Start(_)));
                    let answer = target_answer(target, generation, call);
                    events.push(Event::Scheduler(answer));
                }
            }
        }
    }
    assert!(starts > 0, "the job has begun");
    let effects = cluster.step(at(6000), WallTime(6000), submission(6000, 2));
    let answers = effects.iter().filter_map(|effect| match effect {
        Effect::Answer { outcome, .. } => Some(outcome.clone()),
        _ => None,
    });
    let unknown = Outcome::Scheduler(scheduler::Reply::TimedOut);
    assert_eq!(answers.collect::<Vec<_>>(), [unknown]);
}
