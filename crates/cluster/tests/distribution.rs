//! Distribution of the configuration to entry VMs.

mod support;

use std::sync::Arc;
use std::time::Duration;

use greengage_cluster::distribution::DistributionMessage;
use greengage_cluster::gossip::GossipMessage;
use greengage_cluster::{Cluster, Effect, Event, Message, Outcome, Versions};
use greengage_config::{Document, Queue, Service};
use greengage_core::{Payload, RequestId, Time, Version, WallTime};

use support::network::Network;
use support::{control_setup, deployment, document, entry_setup, stamp};

/// Time within which an acknowledged configuration must be in force.
const APPLY_LIMIT: Duration = Duration::from_millis(2500);
const QUEUES: usize = 4200;
/// Length of the operator's text for one queue.
const QUEUE_TEXT_BYTES: usize = 206;

fn large_document(version: u64) -> Arc<Document> {
    let queue = |i| Queue {
        name: format!("r-{i:07}").into(),
        host: format!("host{}.example", i % 7).into(),
        prefix: format!("/prefix{i}/").into(),
        service: "desk".into(),
        timeout: Duration::from_millis(1500),
        latency: Duration::from_millis(60),
        slack_percent: 160,
        priority: 1,
        max_attempts: 4,
        uses_advisor: false,
    };
    let service = Service {
        name: "desk".into(),
        max_connections: 64,
    };
    let document = Document {
        queues: (0..QUEUES).map(queue).collect(),
        services: vec![service],
        source: Payload::new(vec![b'x'; QUEUES * QUEUE_TEXT_BYTES]),
        ..(*document(version)).clone()
    };
    Arc::new(document.validated().unwrap())
}

/// Index of the entry VM.
const ENTRY: usize = 3;

fn start() -> (Network, usize) {
    let now = Time::from_millis(1000);
    let mut network = Network::new(now, deployment(now, 1));
    network.run_until(Duration::from_secs(3), |_| false);
    let leader = network.leader().expect("a leader is elected within 3 s");
    (network, leader)
}

/// Sends an edit to the leader and runs until it is acknowledged.
fn put(network: &mut Network, leader: usize, document: Arc<Document>) {
    let request = RequestId(document.version.0);
    network.step(leader, Event::Put { request, document });
    let accepted = |n: &mut Network| n.take_answers() == [Outcome::Accepted];
    assert!(network.run_until(Duration::from_secs(1), accepted));
}

/// Guards against copies of a large configuration that fill a link and delay the next one.
#[test]
fn large_configurations_are_in_force_in_time_over_a_slow_link() {
    let (mut network, leader) = start();
    put(&mut network, leader, large_document(1));
    network.run_until(Duration::from_millis(700), |_| false);
    put(&mut network, leader, large_document(2));
    let in_force = |n: &mut Network| n.version(ENTRY) == Some(Version(2));
    let in_time = network.run_until(APPLY_LIMIT, in_force);
    assert!(in_time, "in force: {:?}", network.version(ENTRY));
}

/// Guards against an offer that is ignored because the VM that makes it was unknown until then.
#[test]
fn first_contact_starts_a_download() {
    let now = Time::from_millis(1000);
    let mut entry = Cluster::new(now, entry_setup());
    let member = control_setup(now).member;
    let hello = GossipMessage::Hello {
        member: member.clone(),
        known: true,
        list_wanted: false,
        sightings: Vec::new(),
    };
    let versions = Versions {
        document: Some(Version(7)),
        ..Versions::default()
    };
    let event = Event::Receive {
        from: member.vm,
        stamp: stamp(now, None),
        message: Message::Gossip(hello, versions),
    };
    let effects = entry.step(now, WallTime(1000), event);
    let request = DistributionMessage::Request {
        version: Version(7),
        first: 0,
    };
    let is_request = |effect: &Effect| match effect {
        Effect::Send { to, message, .. } => {
            *to == member.address && *message == Message::Configuration(request.clone())
        }
        _ => false,
    };
    assert!(effects.iter().any(is_request), "{effects:?}");
}

/// Guards against a lost announcement that is made up for only by a heartbeat seconds later.
#[test]
fn lost_announcement_is_repeated() {
    const IN_FORCE_GOAL: Duration = Duration::from_secs(1);
    let now = Time::from_millis(1000);
    let mut setups = deployment(now, 1);
    for (setup, _) in &mut setups {
        setup.timing.heartbeat_interval = Duration::from_secs(4);
    }
    let mut network = Network::new(now, setups);
    network.run_until(Duration::from_millis(4500), |_| false);
    let leader = network.leader().expect("a leader is elected");
    network.cut(ENTRY, Duration::from_millis(200));
    put(&mut network, leader, document(1));
    let in_force = |n: &mut Network| n.version(ENTRY) == Some(Version(1));
    assert!(network.run_until(IN_FORCE_GOAL, in_force));
}

/// Guards against a voter whose missing configurations are too large for one message.
#[test]
fn voter_catches_up_on_many_large_configurations() {
    const VERSIONS: u64 = 16;
    let (mut network, leader) = start();
    let follower = (leader + 1) % ENTRY;
    network.cut(follower, Duration::from_secs(20));
    for version in 1..=VERSIONS {
        put(&mut network, leader, large_document(version));
    }
    network.cut(follower, Duration::ZERO);
    let newest = Some(Version(VERSIONS));
    let caught_up = |n: &mut Network| n.version(follower) == newest;
    let in_time = network.run_until(APPLY_LIMIT, caught_up);
    assert!(in_time, "in force: {:?}", network.version(follower));
}
