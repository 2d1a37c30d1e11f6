//! Fixtures: a control VM that is the only voter of its group, and its peers and targets.

#![allow(dead_code, reason = "each test file uses only some of the fixtures")]

pub(crate) mod network;

use std::sync::Arc;
use std::time::Duration;

use greengage_agreement::{Config, MemberRole, Timing};
use greengage_cluster::distribution::Provider;
use greengage_cluster::{gossip, Event, Hints, Message, Setup};
use greengage_config as config;
use greengage_config::{Document, Evacuations, Limits, RecoveredState};
use greengage_core::{
    Address, Demand, Incarnation, NodeId, Payload, TargetName, Time, Version, VmName, ZoneName,
};
use greengage_scheduler as scheduler;
use greengage_scheduler::{Candidate, TargetReport, DEFAULT_WEIGHT};

pub(crate) fn node() -> NodeId {
    NodeId {
        vm: VmName::new("10.0.0.1").unwrap(),
        folder: 0,
    }
}

pub(crate) fn group(now: Time) -> config::Setup {
    let members = [(node(), MemberRole::Voter)].into_iter().collect();
    config::Setup {
        node: node(),
        recovered: RecoveredState {
            config: Config { members },
            ..RecoveredState::default()
        },
        timing: Timing::default(),
        voters: 1,
        seed: 1,
        now,
    }
}

fn member(vm: &str, entry: bool, incarnation: Incarnation) -> gossip::Member {
    let address = Address::new(&format!("{vm}:7700")).unwrap();
    gossip::Member {
        vm: VmName::new(vm).unwrap(),
        zone: ZoneName::new("a").unwrap(),
        address: address.clone(),
        api: (!entry).then_some(address),
        incarnation,
        roles: gossip::Roles {
            entry,
            control: !entry,
        },
        folder_id: (!entry).then_some(0),
        leaving: false,
    }
}

pub(crate) fn entry_member(incarnation: Incarnation) -> gossip::Member {
    member("10.0.0.9", true, incarnation)
}

pub(crate) fn control_setup(now: Time) -> Setup {
    Setup {
        member: member(node().vm.as_str(), false, Incarnation(1)),
        seeds: Vec::new(),
        timing: gossip::Timing::default(),
        report_memory: 1 << 26,
        group: Some(group(now)),
        scheduler: None,
        hints: Hints::default(),
        grace_period: Duration::from_secs(6),
    }
}

pub(crate) fn entry_setup() -> Setup {
    let member = entry_member(Incarnation(1));
    let candidate = Candidate {
        vm: member.vm.clone(),
        zone: member.zone.clone(),
        weight: DEFAULT_WEIGHT,
    };
    let scheduler = scheduler::Setup {
        candidate,
        incarnation: member.incarnation,
        stop_limit: Duration::from_millis(50),
        report_interval: Duration::from_millis(1500),
    };
    Setup {
        member,
        group: None,
        scheduler: Some(scheduler),
        ..control_setup(Time::default())
    }
}

/// Bandwidth of the links of control VMs (1,000 Mbit/s) and of entry VMs (19 Mbit/s).
const CONTROL_LINK: f64 = 125e6;
const ENTRY_LINK: f64 = 2.375e6;

/// Three voters, followed by entry VMs, each with the bandwidth of its link.
pub(crate) fn deployment(now: Time, entries: usize) -> Vec<(Setup, f64)> {
    let address = |vm: &str| Address::new(&format!("{vm}:7700")).unwrap();
    let node = |number: usize| NodeId {
        vm: VmName::new(&format!("10.0.0.{number}")).unwrap(),
        folder: 0,
    };
    let seeds: Vec<Address> = (1..=3).map(|n| address(node(n).vm.as_str())).collect();
    let members = (1..=3).map(|number| (node(number), MemberRole::Voter));
    let config = Config {
        members: members.collect(),
    };
    let control = |number: usize| {
        let mut setup = control_setup(now);
        setup.member = member(node(number).vm.as_str(), false, Incarnation(1));
        setup.seeds = seeds.clone();
        if let Some(group) = &mut setup.group {
            group.node = node(number);
            group.recovered.config = config.clone();
            group.voters = 3;
            group.seed = number as u64;
        }
        (setup, CONTROL_LINK)
    };
    let entry = |number: usize| {
        let mut setup = entry_setup();
        setup.member = member(&format!("10.0.0.{}", 9 + number), true, Incarnation(1));
        setup.seeds = seeds.clone();
        (setup, ENTRY_LINK)
    };
    (1..=3)
        .map(control)
        .chain((0..entries).map(entry))
        .collect()
}

/// Timestamps of the first incarnation, whose clock is the receiver's one, with an echo of the
/// receiver's message of `echoed`.
pub(crate) fn stamp(sent: Time, echoed: Option<Time>) -> gossip::Stamp {
    let echo = echoed.map(|time| gossip::Echo {
        incarnation: Incarnation(1),
        time,
        held: sent.since(time),
    });
    gossip::Stamp {
        incarnation: Incarnation(1),
        sent,
        echo,
    }
}

pub(crate) fn document(version: u64) -> Arc<Document> {
    Arc::new(Document {
        version: Version(version),
        queues: Vec::new(),
        services: Vec::new(),
        limits: Limits { max_body_bytes: 1 },
        source: Payload::new(Vec::new()),
    })
}

/// The message with which a control VM sends a small document.
pub(crate) fn configuration_message(document: Arc<Document>) -> Message {
    let mut provider = Provider::default();
    provider.set_document(Time::default(), document);
    Message::Configuration(provider.announcement().unwrap())
}

/// A control VM's message that no zone is evacuated, without which an entry VM starts nothing.
pub(crate) fn no_evacuations() -> Event {
    Event::Receive {
        from: node().vm,
        stamp: stamp(Time::default(), None),
        message: Message::Evacuations(Evacuations::default()),
    }
}

pub(crate) fn report(target: &str, sequence: u64) -> TargetReport {
    TargetReport {
        target: TargetName::new(target).unwrap(),
        service: Arc::from("desk"),
        address: Address::new(&format!("10.1.0.1:80{}", target.len())).unwrap(),
        zone: ZoneName::new("a").unwrap(),
        capacity: Demand {
            milli_cores: 16_000,
            memory_mib: 1024,
            accelerators: 0,
        },
        labels: Vec::new(),
        draining: false,
        incarnation: Incarnation(1),
        sequence,
    }
}
