//! Hints that a control VM stores on disk and uses after a restart.

mod support;

use greengage_cluster::distribution::DistributionMessage;
use greengage_cluster::{gossip, Cluster, Effect, Event, Message, Versions};
use greengage_config::Service;
use greengage_core::{Incarnation, Time, Version, VmName, WallTime};
use greengage_scheduler::{Departure, TargetReport};

use support::{configuration_message, control_setup, document, entry_member, report, stamp};

const START: u64 = 1000;

fn step(cluster: &mut Cluster, ms: u64, event: Event) -> Vec<Effect> {
    cluster.step(Time::from_millis(ms), WallTime(ms), event)
}

/// Returns the reports of each write of hints from `from` until `to`, in milliseconds; saves of the
/// control group complete immediately.
fn stored_reports(cluster: &mut Cluster, from: u64, to: u64) -> Vec<Vec<TargetReport>> {
    let mut copies = Vec::new();
    for ms in from..to {
        let mut effects = step(cluster, ms, Event::Tick);
        while let Some(effect) = effects.pop() {
            match effect {
                Effect::Save(save) => effects.extend(step(cluster, ms, Event::Saved(save.seq))),
                Effect::Store(hints) => copies.push(hints.targets),
                _ => {}
            }
        }
    }
    copies
}

/// Guards against a deployment that must wait for new target reports after a power loss of all VMs:
/// an entry VM receives the stored reports in its first exchange with a control VM, which answers
/// its introduction and gets a message that echoes the answer.
#[test]
fn stored_reports_are_sent_to_new_entry_vms() {
    let now = Time::from_millis(START);
    let mut setup = control_setup(now);
    setup.hints.targets = vec![report("t-1", 7), report("t-2", 9)];
    let mut cluster = Cluster::new(now, setup);
    let hello = |known, sent, echoed| Event::Receive {
        from: VmName::new("10.0.0.9").unwrap(),
        stamp: stamp(Time::from_millis(sent), echoed),
        message: Message::Gossip(
            gossip::GossipMessage::Hello {
                member: entry_member(Incarnation(1)),
                known,
                list_wanted: !known,
                sightings: Vec::new(),
            },
            Versions::default(),
        ),
    };
    let mut effects = step(&mut cluster, START + 1, hello(false, START, None));
    let answered = effects.iter().find_map(|effect| match effect {
        Effect::Send { to, stamp, .. } if *to == entry_member(Incarnation(1)).address => {
            Some(stamp.sent)
        }
        _ => None,
    });
    effects.extend(step(
        &mut cluster,
        START + 3,
        hello(true, START + 2, answered),
    ));
    effects.extend(step(&mut cluster, START + 110, Event::Tick));
    let sent: Vec<_> = effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::Send {
                message: Message::Reports(reports),
                ..
            } => Some(reports.clone()),
            _ => None,
        })
        .collect();
    assert_eq!(sent, [[report("t-1", 7), report("t-2", 9)]]);
}

/// Guards against a write to disk for each report: reports are stored only after a target was
/// added, removed or changed, and at most every two seconds.
#[test]
fn reports_are_stored_on_change_and_rate_limited() {
    let now = Time::from_millis(START);
    let mut cluster = Cluster::new(now, control_setup(now));
    for sequence in 1..20 {
        step(&mut cluster, START, Event::Report(report("t-1", sequence)));
    }
    assert_eq!(
        stored_reports(&mut cluster, START, START + 100),
        [[report("t-1", 19)]]
    );
    step(&mut cluster, START + 100, Event::Report(report("t-1", 20)));
    assert!(stored_reports(&mut cluster, START + 100, START + 3000).is_empty());
    step(&mut cluster, START + 3000, Event::Report(report("t-2", 1)));
    let removed = Departure {
        target: report("t-1", 20).target,
        incarnation: None,
    };
    let copies = stored_reports(&mut cluster, START + 3000, START + 3100);
    assert_eq!(copies, [[report("t-1", 20), report("t-2", 1)]]);
    step(&mut cluster, START + 3100, Event::TargetLeft(removed));
    assert!(stored_reports(&mut cluster, START + 3100, START + 4900).is_empty());
    let copies = stored_reports(&mut cluster, START + 4900, START + 5100);
    assert_eq!(copies, [[report("t-2", 1)]]);
}

/// Guards against a target that has left and is given to an entry VM that starts: another control VM
/// was told of the departure, and this one holds or receives earlier reports of the target.
#[test]
fn departed_target_is_not_forwarded_by_another_control_vm() {
    let now = Time::from_millis(START);
    let mut cluster = Cluster::new(now, control_setup(now));
    step(&mut cluster, START, Event::Report(report("t-1", 7)));
    let departure = Departure {
        target: report("t-1", 7).target,
        incarnation: Some(report("t-1", 7).incarnation),
    };
    let event = Event::Receive {
        from: VmName::new("10.0.0.2").unwrap(),
        stamp: stamp(now, None),
        message: Message::TargetLeft(departure),
    };
    step(&mut cluster, START + 10, event);
    step(&mut cluster, START + 20, Event::Report(report("t-1", 8)));
    step(&mut cluster, START + 20, Event::Report(report("t-2", 1)));
    let copies = stored_reports(&mut cluster, START + 20, START + 3000);
    assert_eq!(copies.last(), Some(&vec![report("t-2", 1)]));
    let mut restarted = report("t-1", 1);
    restarted.incarnation = Incarnation(2);
    step(&mut cluster, START + 3000, Event::Report(restarted.clone()));
    let copies = stored_reports(&mut cluster, START + 3000, START + 6000);
    assert_eq!(copies.last(), Some(&vec![restarted, report("t-2", 1)]));
}

/// Guards against entry VMs that refuse callers until a leader is elected: the stored configuration
/// is sent to them immediately, and an older one does not replace it.
#[test]
fn stored_configuration_is_sent_before_an_election() {
    let now = Time::from_millis(START);
    let mut setup = control_setup(now);
    setup.hints.document = Some(document(7));
    let mut cluster = Cluster::new(now, setup);
    let hello = gossip::GossipMessage::Hello {
        member: entry_member(Incarnation(1)),
        known: true,
        list_wanted: false,
        sightings: Vec::new(),
    };
    let event = Event::Receive {
        from: VmName::new("10.0.0.9").unwrap(),
        stamp: stamp(now, None),
        message: Message::Gossip(hello, Versions::default()),
    };
    let sent = step(&mut cluster, START, event);
    let configuration = |effects: &[Effect]| {
        effects.iter().find_map(|effect| match effect {
            Effect::Send {
                message: Message::Configuration(message),
                ..
            } => Some(message.clone()),
            _ => None,
        })
    };
    let offer = DistributionMessage::Offer(Version(7));
    assert_eq!(configuration(&sent), Some(offer));
    let request = DistributionMessage::Request {
        version: Version(7),
        first: 0,
    };
    let event = Event::Receive {
        from: VmName::new("10.0.0.9").unwrap(),
        stamp: stamp(now, None),
        message: Message::Configuration(request),
    };
    let sent = step(&mut cluster, START, event).pop();
    let stored = configuration_message(document(7));
    assert!(matches!(sent, Some(Effect::Send { message, .. }) if message == stored));
    let older = configuration_message(document(6));
    let from = VmName::new("10.0.0.9").unwrap();
    let event = Event::Receive {
        from,
        stamp: stamp(now, None),
        message: older,
    };
    step(&mut cluster, START, event);
    assert_eq!(
        cluster.status(now).version,
        Some(Version(7)),
        "an older version has no effect"
    );
}

/// Guards against a VM that waits for a seed after a power loss although it knew other VMs before:
/// it contacts the stored addresses at startup and for a limited time.
#[test]
fn stored_vm_addresses_are_contacted_at_startup_for_a_limited_time() {
    let now = Time::from_millis(START);
    let mut setup = control_setup(now);
    setup.hints.vms = vec![entry_member(Incarnation(1)).address];
    let mut cluster = Cluster::new(now, setup);
    let mut sent_ms = Vec::new();
    for ms in START..START + 10_000 {
        for effect in step(&mut cluster, ms, Event::Tick) {
            match effect {
                Effect::Send { to, .. } if to == entry_member(Incarnation(1)).address => {
                    sent_ms.push(ms - START);
                }
                _ => {}
            }
        }
    }
    assert_eq!(sent_ms.first(), Some(&0));
    assert!(
        sent_ms.last().is_some_and(|last| *last < 5000),
        "{sent_ms:?}"
    );
}

/// Guards against a control thread that runs without pause because reports can't be stored while
/// the disk has failed.
#[test]
fn vm_without_a_disk_does_not_busy_loop() {
    let now = Time::from_millis(START);
    let mut cluster = Cluster::new(now, control_setup(now));
    cluster.drop_group(now, WallTime(START));
    step(&mut cluster, START, Event::Report(report("t-1", 1)));
    let copies = stored_reports(&mut cluster, START, START + 10);
    assert!(copies.is_empty());
    assert!(cluster.next_wake() > Time::from_millis(START + 9));
}

/// Guards against an entry VM that restarts before it counts as lost and then knows only the targets
/// that have reported since.
#[test]
fn reports_are_sent_again_to_an_entry_vm_that_restarts_quickly() {
    let now = Time::from_millis(START);
    let mut setup = control_setup(now);
    setup.hints.targets = vec![report("t-1", 7), report("t-2", 9)];
    let mut cluster = Cluster::new(now, setup);
    let mut received = Vec::new();
    for (ms, incarnation) in [(1, 1), (400, 2)] {
        let member = entry_member(Incarnation(incarnation));
        let hello = |ms, echoed| Event::Receive {
            from: member.vm.clone(),
            stamp: gossip::Stamp {
                incarnation: member.incarnation,
                ..stamp(Time::from_millis(START + ms), echoed)
            },
            message: Message::Gossip(
                gossip::GossipMessage::Hello {
                    member: member.clone(),
                    known: echoed.is_some(),
                    list_wanted: false,
                    sightings: Vec::new(),
                },
                Versions::default(),
            ),
        };
        let mut effects = step(&mut cluster, START + ms, hello(ms, None));
        let answered = effects.iter().find_map(|effect| match effect {
            Effect::Send { to, stamp, .. } if *to == member.address => Some(stamp.sent),
            _ => None,
        });
        assert!(answered.is_some());
        effects.extend(step(&mut cluster, START + ms + 3, hello(ms + 3, answered)));
        effects.extend(step(&mut cluster, START + ms + 110, Event::Tick));
        let reports = effects.iter().filter_map(|effect| match effect {
            Effect::Send {
                message: Message::Reports(reports),
                ..
            } => Some(reports.len()),
            _ => None,
        });
        received.push(reports.sum::<usize>());
    }
    assert_eq!(received, [2, 2], "reports for each incarnation");
}

/// Guards against reports of a target that are dropped for those of another program with its name.
#[test]
fn report_of_another_service_hides_no_later_report_of_a_target() {
    let now = Time::from_millis(START);
    let mut cluster = Cluster::new(now, control_setup(now));
    step(&mut cluster, START, Event::Report(report("t-1", 7)));
    for service in 0..10 {
        let foreign = TargetReport {
            service: format!("other-{service}").into(),
            incarnation: Incarnation(9),
            ..report("t-1", 1)
        };
        step(&mut cluster, START + service, Event::Report(foreign));
    }
    let draining = TargetReport {
        draining: true,
        ..report("t-1", 8)
    };
    step(&mut cluster, START + 20, Event::Report(draining.clone()));
    let copies = stored_reports(&mut cluster, START + 20, START + 3000);
    let stored = copies.last().unwrap();
    assert!(stored.contains(&draining), "{stored:?}");
    assert!(stored.len() <= 4, "{stored:?}");

    let departure = Departure {
        target: draining.target.clone(),
        incarnation: Some(draining.incarnation),
    };
    step(&mut cluster, START + 3000, Event::TargetLeft(departure));
    let late = Event::Report(report("t-1", 9));
    step(&mut cluster, START + 3010, late);
    let restarted = TargetReport {
        incarnation: Incarnation(2),
        ..report("t-1", 1)
    };
    step(&mut cluster, START + 3020, Event::Report(restarted.clone()));
    let copies = stored_reports(&mut cluster, START + 3020, START + 6000);
    let own = copies.last().unwrap().iter();
    let own: Vec<_> = own.filter(|r| r.service == draining.service).collect();
    assert_eq!(own, [&restarted]);
}

/// Guards against a control VM whose memory grows with each invented target, and against known targets
/// that invented ones replace.
#[test]
fn reports_of_invented_targets_take_bounded_memory() {
    let mut setup = control_setup(Time::from_millis(START));
    setup.report_memory = 100 << 10;
    let mut cluster = Cluster::new(Time::from_millis(START), setup);
    let report_at = |cluster: &mut Cluster, ms, name: &str, sequence| {
        step(cluster, ms, Event::Report(report(name, sequence)));
    };
    let names = |copies: &[Vec<TargetReport>]| -> Vec<String> {
        let last = copies.last().expect("reports are stored");
        last.iter().map(|r| r.target.to_string()).collect()
    };
    stored_reports(&mut cluster, START, 4000);
    report_at(&mut cluster, 4000, "known", 1);
    for i in 0..5000 {
        report_at(&mut cluster, 4001, &format!("invented-{i}"), 1);
    }
    let stored = names(&stored_reports(&mut cluster, 4002, 9000));
    assert!((10..1000).contains(&stored.len()), "{}", stored.len());
    assert!(stored.contains(&"known".to_string()));
    let dropped = cluster.status(Time::from_millis(9000)).dropped;
    assert_eq!(stored.len() as u64 + dropped, 5001);
    for (ms, sequence) in [(9000, 2), (14_500, 3)] {
        report_at(&mut cluster, ms, "known", sequence);
    }
    report_at(&mut cluster, 14_501, "new", 1);
    let stored = names(&stored_reports(&mut cluster, 14_502, 18_000));
    assert_eq!(stored, ["known", "new"]);
}

/// Guards against invented targets of services that aren't configured, which keep out real ones.
#[test]
fn reports_of_configured_services_take_the_memory_of_others() {
    let mut setup = control_setup(Time::from_millis(START));
    setup.report_memory = 100 << 10;
    let mut configured = (*document(1)).clone();
    configured.services = vec![Service {
        name: report("known", 1).service,
        max_connections: 64,
    }];
    setup.hints.document = Some(configured.into());
    let mut cluster = Cluster::new(Time::from_millis(START), setup);
    stored_reports(&mut cluster, START, 4000);
    // Enough to use up half of the memory, and reports of real targets for more than the other half.
    for i in 0..5000 {
        let invented = TargetReport {
            service: "other".into(),
            ..report(&format!("invented-{i}"), 1)
        };
        step(&mut cluster, 4001, Event::Report(invented));
        if i % 25 == 24 {
            step(
                &mut cluster,
                4001,
                Event::Report(report(&format!("t-{i}"), 1)),
            );
        }
    }
    let copies = stored_reports(&mut cluster, 4002, 9000);
    let stored = copies.last().expect("reports are stored");
    let real = stored.iter().filter(|r| &*r.service != "other").count();
    assert_eq!(real, 200);
}
