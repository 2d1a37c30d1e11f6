//! Network partitions between zones, and connections that stall permanently.

use std::sync::atomic::AtomicBool;
use std::sync::Mutex;
use std::time::{Duration, Instant};

use greengage_standin::{Answer, Caller, Job, Target};
use serde_json::json;

use crate::harness::{TestCluster, ACCOUNT, STEP_TIMEOUT, TEMPLATE};
use crate::jobs::{
    assert_answers_agree, assert_complete, assert_started_once, new_job, submit_until_stopped,
    SetOnDrop,
};
use crate::relay::{LinkMode, TcpRelay};
use crate::FOUR_VMS;

/// Limit from the end of a partition until every VM has the same revision.
const HEAL_TIMEOUT: Duration = Duration::from_secs(6);
/// Limit for an answer after connections have stalled, and for submissions during a partition.
const RESUME_TIMEOUT: Duration = Duration::from_secs(3);

/// Sets the link modes between two zones: `forward` from the first to the second, and `backward`.
fn set_link_modes(cluster: &TestCluster, zones: [&str; 2], forward: LinkMode, backward: LinkMode) {
    for ((from, to), relay) in &cluster.relays {
        let zone_pair = [from, to].map(|name| cluster.vm(name).zone.as_str());
        if zone_pair == zones {
            relay.set_modes(forward, backward);
        } else if zone_pair == [zones[1], zones[0]] {
            relay.set_modes(backward, forward);
        }
    }
}

fn revisions_agree(cluster: &TestCluster) -> bool {
    let mut revisions = cluster
        .vms
        .iter()
        .map(|vm| cluster.applied_revision(&vm.name));
    let first = revisions.next().flatten();
    first.is_some() && revisions.all(|revision| revision == first)
}

/// Partitions the zones and checks, on each side, jobs of the own zone, edits and answers for the
/// other zone's keys; then heals the partition and checks that all VMs agree. Returns the time from
/// healing until the revisions agreed.
fn partition_and_heal(
    cluster: &TestCluster,
    name: &str,
    forward: LinkMode,
    backward: LinkMode,
) -> Duration {
    set_link_modes(cluster, ["north", "south"], forward, backward);
    std::thread::sleep(Duration::from_millis(1500));
    let mut answered = Vec::new();
    let path = format!("/v1/templates/{TEMPLATE}/params/{ACCOUNT}-{name}");
    let put_weight = |vm: &str, path: &str, n: u64| {
        let body =
            json!({"op": format!("{name}-{vm}-{n}"), "from": n, "content": {"weight": n + 1}});
        cluster
            .admin_request(vm, "PUT", path, Some(&body))
            .expect("an answer")
    };
    let unreachable = ["north", "south"].map(|zone| {
        let name = format!("{name}-unreached-{zone}");
        new_job(&name, Some(zone), 1, 10)
    });
    std::thread::scope(|scope| {
        let minority = scope.spawn(|| put_weight("south-2", &format!("{path}-south"), 0));
        let unknown_outcomes =
            [("south-1", &unreachable[0]), ("north-1", &unreachable[1])].map(|(vm, job)| {
                let caller = cluster.caller(&[vm]);
                scope.spawn(move || caller.submit(job, Duration::from_millis(200)))
            });
        for n in 0..20 {
            for (zone, vm) in [("north", "north-2"), ("south", "south-2")] {
                let job = new_job(&format!("{name}-{zone}-{n}"), Some(zone), 2, 10);
                let answer = cluster.caller(&[vm]).submit(&job, RESUME_TIMEOUT);
                answered.push((job, answer.expect("an answer")));
            }
            let (status, answer) = put_weight("north-2", &path, n);
            assert_eq!(status, 200, "edit {n} on the majority side: {answer}");
        }
        let (status, answer) = minority.join().expect("no panic");
        assert_eq!((status, &answer["error"]), (503, &json!("no_leader")));
        for answer in unknown_outcomes {
            match answer.join().expect("no panic").expect("an answer") {
                Answer::Error { kind, not_run, .. } => {
                    assert_eq!((kind.as_str(), not_run), ("unknown_outcome", false));
                }
                answer => panic!("unexpected answer for an unreachable zone: {answer:?}"),
            }
        }
    });
    set_link_modes(cluster, ["north", "south"], LinkMode::Pass, LinkMode::Pass);
    let healed_at = Instant::now();
    cluster.wait_until("all revisions agree", HEAL_TIMEOUT, || {
        revisions_agree(cluster)
    });
    let elapsed = healed_at.elapsed();
    for job in unreachable {
        let answer = cluster.caller(&["south-2"]).run(&job, STEP_TIMEOUT);
        answered.push((job, answer.expect("an answer")));
    }
    for (job, answer) in &answered {
        assert_complete(job, answer);
        for vm in &cluster.vms {
            let repeated = cluster.caller(&[&vm.name]).run(job, STEP_TIMEOUT);
            assert_eq!(
                repeated.expect("an answer"),
                *answer,
                "{} at {}",
                job.id,
                vm.name
            );
        }
    }
    elapsed
}

/// Guards against a partitioned zone that stops serving its own keys or answers "not run" for
/// another zone's keys, and against edits that are accepted twice or lost when the partition heals.
#[test]
fn zones_cut_off_serve_their_own_keys_and_agree_again() {
    let cluster = TestCluster::start(&FOUR_VMS, true);
    let targets = cluster.start_targets();
    for (name, forward, backward) in [
        ("both", LinkMode::Drop, LinkMode::Drop),
        ("to-south", LinkMode::Drop, LinkMode::Pass),
        ("to-north", LinkMode::Pass, LinkMode::Drop),
    ] {
        let elapsed = partition_and_heal(&cluster, name, forward, backward);
        println!("partition {name}: revisions agree {elapsed:?} after healing");
    }
    assert_started_once(&targets);
}

/// Submits a new job until it is answered; returns the time taken, the job and the answer.
fn run_probe(caller: &Caller, name: &str, zone: &str) -> (Duration, Job, Answer) {
    let started_at = Instant::now();
    let job = new_job(name, Some(zone), 1, 5);
    let answer = caller.run(&job, STEP_TIMEOUT).expect("an answer");
    (started_at.elapsed(), job, answer)
}

/// Guards against permanently stalled connections between VMs that are never replaced: every
/// existing flow between VMs is dropped, while new flows work.
#[test]
fn silent_connections_between_vms_are_replaced() {
    let cluster = TestCluster::start(&FOUR_VMS, true);
    let targets = cluster.start_targets();
    let stop = AtomicBool::new(false);
    let answered = Mutex::default();
    let callers = [
        cluster.caller(&["north-1", "south-1"]),
        cluster.caller(&["south-2", "north-2"]),
    ];
    let mut probes = Vec::new();
    std::thread::scope(|scope| {
        let stopper = SetOnDrop(&stop);
        for (i, caller) in callers.iter().enumerate() {
            let (stop, answered) = (&stop, &answered);
            scope.spawn(move || submit_until_stopped(&format!("load-{i}"), caller, stop, answered));
        }
        for n in 0..3 {
            std::thread::sleep(Duration::from_millis(500));
            cluster.relays.values().for_each(|relay| relay.drop_flows());
            for (vm, zone) in [
                ("south-1", "north"),
                ("north-2", "south"),
                ("north-2", "north"),
            ] {
                let probe = run_probe(&cluster.caller(&[vm]), &format!("{vm}-{zone}-{n}"), zone);
                println!("flows dropped: {zone} answered at {vm} after {:?}", probe.0);
                assert!(probe.0 < RESUME_TIMEOUT, "{zone} at {vm}: {:?}", probe.0);
                probes.push((probe.1, probe.2));
            }
        }
        drop(stopper);
    });
    let mut answered: Vec<(Job, Answer)> = answered.into_inner().expect("no panic");
    answered.extend(probes);
    assert_answers_agree(&cluster, &targets, &answered);
}

/// Guards against duplicate or unanswered task starts when existing connections to a target stall
/// permanently while new ones work.
#[test]
fn silent_connections_to_a_target_are_replaced() {
    let cluster = TestCluster::start(&FOUR_VMS, false);
    let listen = std::net::SocketAddr::new(cluster.vm("north-1").http.ip(), 9000);
    let relay = TcpRelay::start(listen);
    let mut settings = cluster.target_settings("desk-north", "north");
    settings.listen = listen;
    settings.advertised = Some(relay.address());
    // Long enough that a target that gets no work before its next announcement misses the limit.
    settings.announce_interval = Duration::from_secs(2);
    let targets = [Target::start(settings).expect("a target starts")];
    let caller = cluster.caller(&["north-1", "north-2"]);
    let mut answered = Vec::new();
    let warmup = new_job("warm", Some("north"), 8, 50);
    let answer = caller.run(&warmup, STEP_TIMEOUT).expect("an answer");
    answered.push((warmup, answer));
    for n in 0..2 {
        let long = new_job(&format!("long-{n}"), Some("north"), 4, 1000);
        std::thread::scope(|scope| {
            let pending = scope.spawn(|| caller.run(&long, STEP_TIMEOUT).expect("an answer"));
            cluster.wait_until("the long job runs", STEP_TIMEOUT, || {
                targets[0].running_tasks() == 4
            });
            relay.drop_flows();
            let (elapsed, probe, answer) = run_probe(&caller, &format!("probe-{n}"), "north");
            println!("connections dropped: answered after {elapsed:?}");
            assert!(elapsed < RESUME_TIMEOUT, "{elapsed:?}");
            answered.push((probe, answer));
            answered.push((long.clone(), pending.join().expect("an answer")));
        });
    }
    assert_answers_agree(&cluster, &targets, &answered);
}
