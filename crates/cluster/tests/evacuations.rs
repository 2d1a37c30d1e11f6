//! Orders about evacuated zones, and how the zones reach all VMs.

mod support;

use std::time::Duration;

use greengage_cluster::gossip::GossipMessage;
use greengage_cluster::scheduler::{Event as SchedulerEvent, Reply, Submission};
use greengage_cluster::{Cluster, Effect, Event, Message, Outcome, Versions};
use greengage_config::{EvacuatedZone, EvacuationAction, EvacuationOrder, Evacuations};
use greengage_core::{Name, RequestId, Revision, Time, VmName, WallTime, ZoneName};

use support::network::Network;
use support::{control_setup, deployment, document, entry_setup, stamp};

/// Time within which an acknowledged order should be in force on every VM in touch.
const IN_FORCE_GOAL: Duration = Duration::from_secs(1);
/// Index of the first entry VM of a deployment.
const ENTRY: usize = 3;

fn at(ms: u64) -> Time {
    Time::from_millis(ms)
}

fn order(request: u64, action: EvacuationAction, received: Time) -> Event {
    Event::Evacuate {
        request: RequestId(request),
        order: EvacuationOrder {
            zone: ZoneName::new("a").unwrap(),
            action,
            received: WallTime(1),
        },
        received,
    }
}

/// The evacuated zone `a` under a revision.
fn zones(revision: u64) -> Evacuations {
    Evacuations {
        revision: Revision(revision),
        changed: WallTime(1),
        zones: vec![EvacuatedZone {
            zone: ZoneName::new("a").unwrap(),
            since: WallTime(1),
            revision: Revision(revision),
        }],
    }
}

fn receive(from: &str, now: Time, message: Message) -> Event {
    Event::Receive {
        from: VmName::new(from).unwrap(),
        stamp: stamp(now, None),
        message,
    }
}

/// Runs a VM until a time, with all its ticks.
fn run(cluster: &mut Cluster, until: Time) -> Vec<Effect> {
    let (mut out, mut now) = (Vec::new(), Time::default());
    while cluster.next_wake() <= until {
        now = now.max(cluster.next_wake());
        let effects = cluster.step(now, WallTime(1), Event::Tick);
        for effect in effects {
            match effect {
                Effect::Save(save) => {
                    out.extend(cluster.step(now, WallTime(1), Event::Saved(save.seq)))
                }
                other => out.push(other),
            }
        }
    }
    out
}

/// Steps a control VM that is the only voter; what it saves is durable at once.
fn step(cluster: &mut Cluster, now: Time, event: Event) -> Vec<Effect> {
    let mut out = cluster.step(now, WallTime(1), event);
    out.extend(run(cluster, now));
    out
}

fn answers(effects: &[Effect]) -> Vec<(RequestId, Outcome)> {
    let answers = effects.iter().filter_map(|effect| match effect {
        Effect::Answer { request, outcome } => Some((*request, outcome.clone())),
        _ => None,
    });
    answers.collect()
}

fn known_zones(cluster: &mut Cluster, now: Time) -> Option<Evacuations> {
    let effects = cluster.step(now, WallTime(1), Event::GetEvacuations(RequestId(99)));
    match answers(&effects).pop() {
        Some((_, Outcome::Evacuations(zones))) => zones,
        other => panic!("unexpected answer {other:?}"),
    }
}

/// Guards against an order that takes seconds until it is in force on a VM that missed its first message.
#[test]
fn order_is_in_force_on_every_vm_within_a_second() {
    let now = at(1000);
    let mut network = Network::new(now, deployment(now, 4));
    network.run_until(Duration::from_secs(3), |_| false);
    let leader = network.leader().expect("a leader is elected within 3 s");
    let put = Event::Put {
        request: RequestId(1),
        document: document(1),
    };
    network.step(leader, put);
    network.run_until(Duration::from_secs(1), |_| false);
    for (revision, action) in [(1, EvacuationAction::Start), (2, EvacuationAction::Finish)] {
        network.cut(ENTRY, Duration::from_millis(200));
        network.take_replies();
        let event = order(revision + 1, action, network.now);
        network.step(leader, event);
        let accepted = |n: &mut Network| n.take_answers() == [Outcome::Accepted];
        assert!(network.run_until(Duration::from_millis(200), accepted));
        let in_force = |n: &mut Network| {
            (0..ENTRY + 4).all(|vm| n.status(vm).revision == Some(Revision(revision)))
        };
        assert!(network.run_until(IN_FORCE_GOAL, in_force), "{action:?}");
    }
}

/// Guards against a change that is sent over and over to distant VMs, whose heartbeats reach a control VM
/// seconds later.
#[test]
fn change_is_sent_few_times_to_each_of_many_vms() {
    const VMS: usize = 24;
    let now = at(1000);
    let mut setups = deployment(now, VMS);
    for (index, (setup, _)) in setups[ENTRY..].iter_mut().enumerate() {
        let zone = ZoneName::new(["b", "c", "d"][index % 3]).unwrap();
        setup.member.zone = zone.clone();
        setup.scheduler.as_mut().unwrap().candidate.zone = zone;
    }
    let mut network = Network::new(now, setups);
    network.run_until(Duration::from_secs(5), |_| false);
    let leader = network.leader().expect("a leader is elected within 5 s");
    network.evacuations = 0;
    let event = order(1, EvacuationAction::Start, network.now);
    network.step(leader, event);
    network.run_until(Duration::from_secs(5), |_| false);
    let in_force = (0..ENTRY + VMS).all(|vm| network.status(vm).revision == Some(Revision(1)));
    assert!(in_force);
    let sent = network.evacuations;
    assert!(sent <= 2 * VMS, "{sent} messages");
}

/// Guards against an evacuation that a message of the past takes back.
#[test]
fn lower_revision_replaces_nothing() {
    let mut entry = Cluster::new(at(1000), entry_setup());
    for (ms, message) in [
        (1001, zones(2)),
        (1002, Evacuations::default()),
        (1003, zones(1)),
    ] {
        entry.step(
            at(ms),
            WallTime(1),
            receive("10.0.0.1", at(ms), Message::Evacuations(message)),
        );
    }
    assert_eq!(known_zones(&mut entry, at(1004)), Some(zones(2)));
}

/// Guards against a VM that restarts behind a cut and starts tasks in an evacuated zone, as no control
/// VM on its side knows of the evacuation.
#[test]
fn entry_vm_tells_a_restarted_peer() {
    let mut entry = Cluster::new(at(1000), entry_setup());
    let message = Message::Evacuations(zones(2));
    entry.step(
        at(1001),
        WallTime(1),
        receive("10.0.0.1", at(1001), message),
    );
    let peer = greengage_cluster::gossip::Member {
        vm: VmName::new("10.0.0.7").unwrap(),
        ..entry_setup().member
    };
    let mut tells = |ms: u64, revision: Option<Revision>| {
        let hello = GossipMessage::Hello {
            member: peer.clone(),
            known: true,
            list_wanted: false,
            sightings: Vec::new(),
        };
        let versions = Versions {
            document: None,
            evacuations: revision,
        };
        let event = receive("10.0.0.7", at(ms), Message::Gossip(hello, versions));
        let effects = entry.step(at(ms), WallTime(1), event);
        effects.iter().any(|effect| {
            matches!(effect, Effect::Send { message: Message::Evacuations(sent), .. } if *sent == zones(2))
        })
    };
    assert!(!tells(1100, None), "the control VMs are still telling all");
    assert!(tells(1600, None));
    assert!(tells(1700, Some(Revision(1))));
    assert!(!tells(1800, Some(Revision(2))));
}

/// Guards against a VM that has just started and starts tasks before it knows where it may not.
#[test]
fn jobs_wait_for_the_evacuated_zones() {
    let mut entry = Cluster::new(at(1000), entry_setup());
    let message = support::configuration_message(document(1));
    entry.step(
        at(1001),
        WallTime(1),
        receive("10.0.0.1", at(1001), message),
    );
    let mut reply = |ms: u64, request: u64| {
        let submission = Submission {
            request: RequestId(request),
            host: "h".into(),
            path: "/q/j".into(),
            id: Name::new("j").unwrap(),
            spec: "x".into(),
            steps: Vec::new(),
            body_bytes: 1,
            received: at(ms),
            timeout: Duration::from_secs(2),
            unsupported: None,
        };
        let event = Event::Scheduler(SchedulerEvent::Submit(submission));
        let effects = entry.step(at(ms), WallTime(1), event);
        let reply = answers(&effects).pop();
        entry.step(at(ms), WallTime(1), support::no_evacuations());
        reply
    };
    let refused = Outcome::Scheduler(Reply::Refused {
        after: Duration::from_secs(1),
    });
    assert_eq!(reply(1002, 1), Some((RequestId(1), refused)));
    // The configuration has no queue for it.
    let no_queue = Outcome::Scheduler(Reply::NoQueue);
    assert_eq!(reply(1003, 2), Some((RequestId(2), no_queue)));
}

/// A control VM that leads its group.
fn leader() -> Cluster {
    let mut cluster = Cluster::new(at(1000), control_setup(at(1000)));
    run(&mut cluster, at(4000));
    assert!(cluster.status(at(4000)).is_leader);
    cluster
}

/// Guards against an order that waited in the sockets of a paused process and undoes a later one.
#[test]
fn orders_that_may_have_arrived_during_a_pause_are_refused() {
    let mut cluster = leader();
    let resumed = at(9000);
    let effects = step(
        &mut cluster,
        resumed,
        order(1, EvacuationAction::Start, resumed),
    );
    assert_eq!(answers(&effects), [(RequestId(1), Outcome::Unknown)]);
    run(&mut cluster, at(9900));
    let effects = step(
        &mut cluster,
        at(9900),
        order(2, EvacuationAction::Start, at(9900)),
    );
    assert_eq!(answers(&effects), [(RequestId(2), Outcome::Unknown)]);
    run(&mut cluster, at(10_100));
    step(
        &mut cluster,
        at(10_100),
        order(3, EvacuationAction::Start, at(10_100)),
    );
    let effects = run(&mut cluster, at(10_300));
    assert_eq!(answers(&effects), [(RequestId(3), Outcome::Accepted)]);
}

/// Guards against an operator whose orders are all refused, because the control thread is late once a
/// second.
#[test]
fn orders_between_short_pauses_are_accepted() {
    let mut cluster = leader();
    for request in 1..=5 {
        let begin = 3000 + 1000 * request;
        run(&mut cluster, at(begin));
        step(&mut cluster, at(begin + 300), Event::Tick);
        run(&mut cluster, at(begin + 700));
        let received = at(begin + 700);
        let event = order(request, EvacuationAction::Start, received);
        let mut effects = step(&mut cluster, received, event);
        effects.extend(run(&mut cluster, at(begin + 900)));
        let expected = [(RequestId(request), Outcome::Accepted)];
        assert_eq!(answers(&effects), expected);
    }
}

/// Guards against an order that a link has held and that is carried out although its operator has
/// given it up.
#[test]
fn order_of_an_operator_that_has_disconnected_is_dropped() {
    let mut cluster = leader();
    step(
        &mut cluster,
        at(4010),
        order(1, EvacuationAction::Start, at(4010)),
    );
    step(&mut cluster, at(4012), Event::OperatorGone(RequestId(1)));
    let effects = run(&mut cluster, at(5000));
    assert!(answers(&effects).is_empty());
    assert_eq!(known_zones(&mut cluster, at(5000)), None);
}

/// Guards against an exit that leaves an order without an answer.
#[test]
fn exit_answers_orders() {
    let mut cluster = leader();
    step(
        &mut cluster,
        at(4010),
        order(1, EvacuationAction::Start, at(4010)),
    );
    let effects = cluster.answer_all(at(4011), WallTime(1));
    assert_eq!(answers(&effects), [(RequestId(1), Outcome::Unknown)]);
}
