//! Jobs that are cancelled at any VM, whichever has them.

mod support;

use std::sync::Arc;
use std::time::Duration;

use greengage_cluster::scheduler::{
    Event as SchedulerEvent, JobKey, Reply, Step, Submission, TargetCall,
};
use greengage_cluster::{Effect, Event, Outcome, Setup, Stage};
use greengage_config::{Document, Limits, Queue, Service};
use greengage_core::{Address, Demand, Incarnation, Name, RequestId, Time, VmName, WallTime};

use support::network::Network;

const VMS: usize = 3;
/// One round trip in `Network`, and processing.
const TRIP: Duration = Duration::from_millis(10);
const SECOND: Duration = Duration::from_secs(1);

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn setup(index: usize) -> Setup {
    let mut setup = support::entry_setup();
    let address = |i: usize| Address::new(&format!("10.0.0.{}:7700", 11 + i)).unwrap();
    setup.member.vm = VmName::new(&format!("10.0.0.{}", 11 + index)).unwrap();
    setup.member.address = address(index);
    setup.seeds = (0..VMS).map(address).collect();
    let scheduler = setup.scheduler.as_mut().unwrap();
    scheduler.candidate.vm = setup.member.vm.clone();
    setup
}

/// A configuration with a queue in which a job may wait for long.
fn configuration() -> Event {
    document_event(document(1, &["/q/"]))
}

/// The same with queues of these prefixes.
fn document(version: u64, prefixes: &[&str]) -> Document {
    let queue = |prefix: &&str| Queue {
        name: (*prefix).into(),
        host: "h".into(),
        prefix: (*prefix).into(),
        service: "s".into(),
        timeout: 30 * SECOND,
        latency: Duration::ZERO,
        slack_percent: 10_000,
        priority: 0,
        max_attempts: 1,
        uses_advisor: false,
    };
    let document = Document {
        services: vec![Service {
            name: "s".into(),
            max_connections: 64,
        }],
        queues: prefixes.iter().map(queue).collect(),
        limits: Limits {
            max_body_bytes: 1000,
        },
        ..(*support::document(version)).clone()
    };
    document.validated().unwrap()
}

fn document_event(document: Document) -> Event {
    Event::Receive {
        from: VmName::new("10.0.0.1").unwrap(),
        stamp: support::stamp(Time::default(), None),
        message: support::configuration_message(Arc::new(document)),
    }
}

fn submission(request: u64, id: &str) -> Event {
    let step = Step {
        count: 1,
        demand: Demand::default(),
        declared: SECOND,
        depends_on: Vec::new(),
        label: None,
    };
    Event::Scheduler(SchedulerEvent::Submit(Submission {
        request: RequestId(request),
        host: "h".into(),
        path: format!("/q/{id}").into(),
        id: Name::new(id.rsplit('/').next().unwrap()).unwrap(),
        spec: "".into(),
        steps: vec![step],
        body_bytes: 1,
        received: Time::from_millis(10_000),
        timeout: 30 * SECOND,
        unsupported: None,
    }))
}

fn cancel(request: u64, path: &str) -> Event {
    Event::Cancel {
        request: RequestId(request),
        job: JobKey {
            host: "h".into(),
            path: path.into(),
        },
    }
}

/// Entry VMs that know one another and the configuration, without targets.
fn network() -> Network {
    network_of(VMS)
}

fn network_of(vms: usize) -> Network {
    let setups = (0..vms).map(|i| (setup(i), 1e9)).collect();
    let mut network = Network::new(Time::from_millis(10_000), setups);
    for vm in 0..vms {
        network.step(vm, support::no_evacuations());
        network.step(vm, configuration());
    }
    run(&mut network, 2 * SECOND);
    assert!(network.take_replies().is_empty());
    network
}

fn run(network: &mut Network, time: Duration) {
    network.run_until(time, |_| false);
}

fn reply(request: u64, reply: Reply) -> (RequestId, Outcome) {
    (RequestId(request), Outcome::Scheduler(reply))
}

/// Guards against an answer that no such job exists while another VM goes on with it, and against a
/// copy of its submission that is run later at any VM.
#[test]
fn job_is_cancelled_whichever_vm_has_it() {
    for holder in 0..VMS {
        let mut network = network();
        network.step(holder, submission(1, "j"));
        network.step(1, cancel(2, "/q/j"));
        run(&mut network, TRIP);
        let mut replies = network.take_replies();
        replies.sort_by_key(|(request, _)| *request);
        let expected = [reply(1, Reply::Cancelled), reply(2, Reply::Cancelled)];
        assert_eq!(replies, expected, "held by VM {holder}");
        for vm in 0..VMS {
            let request = 3 + vm as u64;
            network.step(vm, submission(request, "j"));
            assert_eq!(network.take_replies(), [reply(request, Reply::Cancelled)]);
        }
        // Its acknowledgement may have been lost.
        network.step(1, cancel(9, "/q/j"));
        run(&mut network, TRIP);
        assert_eq!(network.take_replies(), [reply(9, Reply::Cancelled)]);
    }
}

/// Guards against an answer that no such job exists before all VMs were asked, and against one that
/// never comes because a message was lost.
#[test]
fn absence_of_a_job_is_confirmed_by_all_vms() {
    let mut network = network();
    network.step(1, cancel(1, "/q/j"));
    assert!(network.take_replies().is_empty());
    run(&mut network, TRIP);
    assert_eq!(network.take_replies(), [reply(1, Reply::NoJob)]);

    network.cut(2, millis(250));
    network.step(1, cancel(2, "/q/j2"));
    run(&mut network, millis(200));
    assert!(network.take_replies().is_empty());
    run(&mut network, millis(200));
    assert_eq!(network.take_replies(), [reply(2, Reply::NoJob)]);

    // It is live, as it is heard, but hears nothing.
    network.cut(2, 3 * SECOND);
    network.step(2, submission(3, "j3"));
    network.step(1, cancel(4, "/q/j3"));
    run(&mut network, millis(900));
    assert!(network.take_replies().is_empty());
    run(&mut network, millis(300));
    assert_eq!(
        network.take_replies(),
        [(RequestId(4), Outcome::Unconfirmed)]
    );
}

/// Guards against a job at the asked VM whose caller waits for others, and against others that aren't
/// told, so that they run a copy of its submission.
#[test]
fn own_job_is_cancelled_without_waiting_for_others() {
    let mut network = network();
    network.cut(2, millis(250));
    network.step(1, submission(1, "j"));
    network.step(1, cancel(2, "/q/j"));
    let expected = [reply(1, Reply::Cancelled), reply(2, Reply::Cancelled)];
    assert_eq!(network.take_replies(), expected);
    run(&mut network, millis(400));
    network.step(2, submission(3, "j"));
    assert_eq!(network.take_replies(), [reply(3, Reply::Cancelled)]);
}

/// Guards against a job that is cancelled because another one with the same id is.
#[test]
fn other_jobs_are_not_cancelled() {
    let mut network = network();
    for (request, id) in [(1, "j"), (2, "j1"), (3, "J")] {
        network.step(0, submission(request, id));
    }
    network.step(1, cancel(4, "/q/j"));
    network.step(1, cancel(5, "/other/j1"));
    run(&mut network, SECOND);
    let mut replies = network.take_replies();
    replies.sort_by_key(|(request, _)| *request);
    let expected = [
        reply(1, Reply::Cancelled),
        reply(4, Reply::Cancelled),
        reply(5, Reply::NoQueue),
    ];
    assert_eq!(replies, expected);
}

/// Guards against memory and messages for paths that can't be those of a job.
#[test]
fn paths_of_no_job_are_answered_at_once() {
    let mut network = network();
    let long = format!("/q/{}", "x".repeat(1000));
    for path in ["/q/", "/q/a/b", &long] {
        network.step(1, cancel(1, path));
        assert_eq!(
            network.take_replies(),
            [reply(1, Reply::NoJob)],
            "{path:.20}"
        );
    }
    let setups = vec![(setup(0), 1e9)];
    let mut network = Network::new(Time::from_millis(10_000), setups);
    network.step(0, cancel(1, "/q/j"));
    let unconfirmed = [(RequestId(1), Outcome::Unconfirmed)];
    assert_eq!(network.take_replies(), unconfirmed, "no configuration yet");
}

/// Guards against an exit that leaves a request to cancel a job without an answer.
#[test]
fn exit_answers_requests_to_cancel_a_job() {
    let mut network = network();
    network.cut(2, 3 * SECOND);
    network.step(1, cancel(1, "/q/j"));
    run(&mut network, millis(300));
    assert!(network.take_replies().is_empty());
    network.answer_all(1);
    assert_eq!(
        network.take_replies(),
        [(RequestId(1), Outcome::Unconfirmed)]
    );
    network.answer_all(1);
    assert!(network.take_replies().is_empty());
}

/// Guards against a VM that is about to exit and tells the caller of a cancelled job that it hasn't
/// run, so that it is submitted elsewhere.
#[test]
fn closing_vm_does_not_refuse_a_cancelled_job() {
    let at = |ms: u64| Time::from_millis(10_000 + ms);
    let mut cluster = greengage_cluster::Cluster::new(at(0), support::entry_setup());
    cluster.step(at(0), WallTime(0), support::no_evacuations());
    cluster.step(at(0), WallTime(0), configuration());
    cluster.step(at(1), WallTime(1), submission(1, "j"));
    cluster.step(at(2), WallTime(2), cancel(2, "/q/j"));
    let requested = at(3);
    cluster.step(at(3), WallTime(3), Event::Shutdown { requested });
    // Another job keeps it busy.
    cluster.step(at(4), WallTime(4), submission(3, "j2"));
    assert_eq!(cluster.status(at(4200)).stage, Stage::Closing);
    let effects = cluster.step(at(4200), WallTime(4200), submission(4, "j"));
    let answers = effects.iter().filter_map(|effect| match effect {
        Effect::Answer { request, outcome } => Some((*request, outcome.clone())),
        _ => None,
    });
    let answers: Vec<_> = answers.collect();
    assert_eq!(answers, [reply(4, Reply::Cancelled)]);
    let is_start = |effect: &Effect| matches!(effect, Effect::Call { call, .. } if matches!(call, TargetCall::Start(_)));
    assert!(!effects.iter().any(is_start));
}

/// Guards against a VM that goes on with a job that was cancelled while it was out of touch, also if
/// the first message after that is lost.
#[test]
fn job_that_was_cancelled_while_its_vm_was_out_of_touch_is_cancelled_there() {
    for lost in [Duration::ZERO, SECOND] {
        let mut network = network();
        network.step(2, submission(1, "j"));
        network.cut(0, 3 * SECOND);
        network.cut(1, 3 * SECOND);
        network.cut(2, 3 * SECOND + lost);
        run(&mut network, 2 * SECOND);
        network.step(1, cancel(2, "/q/j"));
        assert_eq!(network.take_replies(), [reply(2, Reply::NoJob)]);
        run(&mut network, SECOND + lost);
        assert!(network.take_replies().is_empty());
        run(&mut network, SECOND);
        assert_eq!(network.take_replies(), [reply(1, Reply::Cancelled)]);
    }
}

/// Guards against a copy of a cancelled job that is run at a VM which was restarted meanwhile, and
/// against a job that counts as cancelled for ever, as VMs that are restarted in turn tell one another.
#[test]
fn restarted_vms_know_of_cancelled_jobs_for_a_limited_time() {
    let mut network = network();
    network.step(1, cancel(1, "/q/j"));
    run(&mut network, 5 * SECOND);
    network.take_replies();
    let restart = |network: &mut Network, vm: usize, incarnation| {
        let mut setup = setup(vm);
        setup.member.incarnation = Incarnation(incarnation);
        setup.scheduler.as_mut().unwrap().incarnation = setup.member.incarnation;
        network.restart(vm, setup);
        network.step(vm, configuration());
        run(network, 2 * SECOND);
    };
    for vm in [0, 1, 2] {
        restart(&mut network, vm, 2);
        network.step(vm, submission(2, "j"));
        assert_eq!(network.take_replies(), [reply(2, Reply::Cancelled)]);
    }
    for incarnation in 3..12 {
        run(&mut network, 3 * SECOND);
        for vm in 0..VMS {
            restart(&mut network, vm, incarnation);
        }
    }
    network.step(1, submission(3, "j"));
    assert!(!network.take_replies().contains(&reply(3, Reply::Cancelled)));
}

/// Guards against a job that can be cancelled only at its own VM once its queue was removed.
#[test]
fn job_is_cancelled_after_its_queue_was_removed() {
    let mut network = network();
    network.step(2, submission(1, "j"));
    for vm in 0..VMS {
        network.step(vm, document_event((*support::document(2)).clone()));
    }
    network.step(1, cancel(2, "/q/j"));
    run(&mut network, TRIP);
    let mut replies = network.take_replies();
    replies.sort_by_key(|(request, _)| *request);
    let expected = [reply(1, Reply::Cancelled), reply(2, Reply::Cancelled)];
    assert_eq!(replies, expected);
    network.step(1, cancel(3, "/q/j2"));
    run(&mut network, TRIP);
    assert_eq!(network.take_replies(), [reply(3, Reply::NoQueue)]);
    // None of these can be the path of a job.
    for path in ["/q/", "/", "", &format!("/{}/j", "q".repeat(2000))] {
        network.step(1, cancel(4, path));
        assert_eq!(network.take_replies(), [reply(4, Reply::NoQueue)]);
    }
}

/// Guards against the same if a queue with a shorter prefix matches the job's path.
#[test]
fn job_is_cancelled_after_its_queue_gave_way_to_one_with_a_shorter_prefix() {
    let mut network = network();
    for vm in 0..VMS {
        network.step(vm, document_event(document(2, &["/q/", "/q/a/"])));
    }
    network.step(2, submission(1, "a/j"));
    for vm in 0..VMS {
        network.step(vm, document_event(document(3, &["/q/"])));
    }
    network.step(1, cancel(2, "/q/a/j"));
    run(&mut network, TRIP);
    let mut replies = network.take_replies();
    replies.sort_by_key(|(request, _)| *request);
    let expected = [reply(1, Reply::Cancelled), reply(2, Reply::Cancelled)];
    assert_eq!(replies, expected);
}

/// Guards against a VM that returns and spends its time on copies of what was cancelled, and against
/// cancelled jobs of which it isn't told because there are many.
#[test]
fn vm_that_returns_is_told_of_many_cancelled_jobs_in_few_messages() {
    const JOBS: u64 = 1500;
    let last = 19;
    let mut network = network_of(last + 1);
    for job in 0..JOBS {
        network.step(job as usize % last, cancel(job, &format!("/q/{job}")));
        if job % 100 == 0 {
            run(&mut network, TRIP);
        }
    }
    run(&mut network, 2 * SECOND);
    network.take_replies();
    network.cancels = 0;
    let mut restarted = setup(last);
    restarted.member.incarnation = Incarnation(2);
    restarted.scheduler.as_mut().unwrap().incarnation = Incarnation(2);
    network.restart(last, restarted);
    network.step(last, support::no_evacuations());
    network.step(last, configuration());
    run(&mut network, 2 * SECOND);
    assert!(network.cancels <= 3 * last, "{} messages", network.cancels);
    for job in 0..JOBS {
        network.step(last, submission(job, &job.to_string()));
        assert_eq!(network.take_replies(), [reply(job, Reply::Cancelled)]);
    }
}
