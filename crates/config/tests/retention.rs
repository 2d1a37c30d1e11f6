//! Tests of the memory that a member of the control group holds for documents.

use std::collections::VecDeque;
use std::mem::size_of;
use std::sync::{Arc, Weak};
use std::time::Duration;

use greengage_agreement::{Config, MemberRole, SaveSeq, Timing};
use greengage_config::{
    Document, EditOutcome, Effect, Event, Group, Limits, Queue, RecoveredState, Service, Setup,
};
use greengage_core::{NodeId, Payload, RequestId, Time, Version, VmName};

/// Memory of a VM for control, by the target of `docs/CAPACITY.md`.
const MEMORY_LIMIT: usize = 32 << 20;
/// Routes of a configuration that has grown ten times by 350 routes.
const ROUTES: usize = 3500;
/// Size of a route in the operator's text.
const ROUTE_TEXT_BYTES: usize = 230;
const CHANGES: u64 = 400;
const TICK: Duration = Duration::from_millis(10);

fn queues(count: usize) -> Vec<Queue> {
    let queue = |i: usize| Queue {
        name: format!("r-{i:07}").into(),
        host: format!("host{:03}.example", i % 20).into(),
        prefix: format!("/path{i:06}/").into(),
        service: "service".into(),
        timeout: Duration::from_millis(1500),
        latency: Duration::from_millis(60),
        slack_percent: 160,
        priority: 0,
        max_attempts: 4,
        uses_advisor: false,
    };
    (0..count).map(queue).collect()
}

/// The memory of a document without the strings that the documents of these tests share.
fn document_bytes(document: &Document) -> usize {
    document.source.len() + document.queues.len() * size_of::<Queue>()
}

/// Members whose messages arrive at once, and the documents that were submitted.
struct Members {
    now: Time,
    groups: Vec<Group>,
    queue: VecDeque<(usize, Event)>,
    /// Whether no message reaches or leaves a member.
    cut: Vec<bool>,
    /// Whether a member's disk completes no write.
    disk_stuck: Vec<bool>,
    queues: Vec<Queue>,
    documents: Vec<Weak<Document>>,
    /// Writes that the stuck disks have not completed.
    unsaved: Vec<(usize, SaveSeq)>,
    accepted: u64,
    refused: u64,
    peak_bytes: usize,
}

fn node(member: usize) -> NodeId {
    NodeId {
        vm: VmName::new(&format!("vm{member}")).unwrap(),
        folder: 0,
    }
}

impl Members {
    fn new(count: usize, routes: usize) -> Members {
        let now = Time::from_millis(1000);
        let members = (0..count).map(|member| (node(member), MemberRole::Voter));
        let config = Config {
            members: members.collect(),
        };
        let group = |member| {
            Group::new(Setup {
                node: node(member),
                recovered: RecoveredState {
                    config: config.clone(),
                    ..RecoveredState::default()
                },
                timing: Timing::default(),
                voters: count,
                seed: 7,
                now,
            })
        };
        let mut members = Members {
            now,
            groups: (0..count).map(group).collect(),
            queue: VecDeque::new(),
            cut: vec![false; count],
            disk_stuck: vec![false; count],
            queues: queues(routes),
            documents: Vec::new(),
            unsaved: Vec::new(),
            accepted: 0,
            refused: 0,
            peak_bytes: 0,
        };
        members.run(Duration::from_secs(2));
        members
    }

    fn leader(&self) -> usize {
        let leads = |member: &usize| !self.cut[*member] && self.groups[*member].is_leader();
        (0..self.groups.len()).find(leads).expect("a leader")
    }

    fn version(&self, member: usize) -> Option<u64> {
        self.groups[member].document().map(|d| d.version.0)
    }

    /// Submits the next document to the leader.
    fn put(&mut self) {
        let version = self.documents.len() as u64 + 1;
        let document = Arc::new(Document {
            version: Version(version),
            queues: self.queues.clone(),
            services: vec![Service {
                name: "service".into(),
                max_connections: 0,
            }],
            limits: Limits {
                max_body_bytes: 262_144,
            },
            source: Payload::new(vec![b' '; self.queues.len() * ROUTE_TEXT_BYTES]),
        });
        self.documents.push(Arc::downgrade(&document));
        let event = Event::Edit {
            request: RequestId(version),
            document,
        };
        self.queue.push_back((self.leader(), event));
        self.deliver();
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + TICK;
            for member in 0..self.groups.len() {
                self.queue.push_back((member, Event::Tick));
            }
            self.deliver();
        }
    }

    fn deliver(&mut self) {
        while let Some((member, event)) = self.queue.pop_front() {
            for effect in self.groups[member].step(self.now, event, &[]) {
                self.execute(member, effect);
            }
        }
        let held = self.documents.iter().filter_map(Weak::upgrade);
        let bytes = held.map(|document| document_bytes(&document)).sum();
        self.peak_bytes = self.peak_bytes.max(bytes);
    }

    fn execute(&mut self, member: usize, effect: Effect) {
        match effect {
            Effect::Save(save) if !self.disk_stuck[member] => {
                self.queue.push_back((member, Event::Saved(save.seq)));
            }
            Effect::Send { to, message } => {
                let to = (0..self.groups.len()).find(|m| node(*m) == to).unwrap();
                if !self.cut[member] && !self.cut[to] {
                    let from = node(member);
                    self.queue.push_back((to, Event::Receive { from, message }));
                }
            }
            Effect::Edited { outcome, .. } => {
                self.accepted += u64::from(outcome == EditOutcome::Accepted);
            }
            Effect::Redirect { leader, .. } => {
                assert_eq!(leader, None, "the leader sent an operator elsewhere");
                self.refused += 1;
            }
            Effect::Save(save) => self.unsaved.push((member, save.seq)),
            Effect::Read { .. } | Effect::DocumentApplied(_) | Effect::EvacuationsApplied(_) => {}
        }
    }
}

#[test]
fn changes_of_a_large_document_do_not_accumulate_in_memory() {
    let mut members = Members::new(3, ROUTES);
    for _ in 0..CHANGES {
        members.put();
    }
    assert_eq!(members.accepted, CHANGES);
    let peak = members.peak_bytes;
    assert!(peak <= MEMORY_LIMIT, "{peak} bytes were held");
}

#[test]
fn member_that_missed_hundreds_of_changes_catches_up() {
    let mut members = Members::new(3, ROUTES);
    let away = (members.leader() + 1) % 3;
    members.put();
    members.run(Duration::from_secs(1));
    members.cut[away] = true;
    for _ in 1..CHANGES {
        members.put();
        members.run(TICK);
    }
    assert_eq!(members.accepted, CHANGES);
    assert_eq!(members.version(away), Some(1));
    members.cut[away] = false;
    members.run(Duration::from_secs(4));
    assert_eq!(members.version(away), Some(CHANGES));
    let peak = members.peak_bytes;
    assert!(peak <= MEMORY_LIMIT, "{peak} bytes were held");
}

#[test]
fn edits_do_not_accumulate_while_the_disks_of_a_majority_hang() {
    let mut members = Members::new(3, ROUTES);
    members.put();
    let leader = members.leader();
    members.disk_stuck = (0..3).map(|member| member != leader).collect();
    for change in 1..CHANGES {
        members.put();
        if change % 4 == 0 {
            members.run(TICK);
        }
    }
    assert_eq!(members.leader(), leader);
    assert_eq!(members.accepted, 1);
    let peak = members.peak_bytes;
    assert!(peak <= MEMORY_LIMIT, "{peak} bytes were held");

    members.disk_stuck = vec![false; 3];
    for (member, seq) in std::mem::take(&mut members.unsaved) {
        members.queue.push_back((member, Event::Saved(seq)));
    }
    members.run(Duration::from_secs(1));
    assert!(members.accepted > 1);
    assert_eq!(members.accepted + members.refused, CHANGES);
    assert_eq!(members.version(leader), Some(members.accepted));
    members.put();
    members.run(TICK);
    assert_eq!(members.version(leader), Some(CHANGES + 1));
}
