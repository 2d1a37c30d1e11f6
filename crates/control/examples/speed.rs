//! Cost of the control thread: one VM that is the only ledger voter of its zone, with targets that
//! answer immediately. Prints time and messages for each number of targets and job size.
//!
//! `cargo run --release -p greengage-control --example speed`

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use greengage_agreement::{Config, MemberRole};
use greengage_control::api::{Group, NewJob, NewRequest, Request};
use greengage_control::call::{Action, AttemptState, CallResult};
use greengage_control::{
    Body, Control, DurableSave, Effect, Event, GroupSave, Limits, Now, Roles, Site, StoredGroup,
    StoredState, VmSpec,
};
use greengage_core::{
    AccountName, Address, Capacity, Demand, Digest, Incarnation, Name, NodeId, OpId, Payload,
    RequestId, SortedMap, Spread, TargetKind, TargetName, TemplateName, Time, Version, VmName,
    WallTime, ZoneName,
};
use greengage_membership::Announcement;
use greengage_policy as policy;

/// Tasks per measurement.
const TASKS: u64 = 200_000;
/// Maximum number of tasks of unanswered jobs.
const MAX_TASKS_IN_FLIGHT: u64 = 400;
const TASK_BYTES: usize = 200;

struct Harness {
    control: Control,
    now: Now,
    events: VecDeque<Event>,
    replies: u64,
    starts: u64,
    messages: u64,
    saves: u64,
}

fn zone() -> ZoneName {
    ZoneName::new("a").unwrap()
}

fn account() -> AccountName {
    AccountName::new("acme").unwrap()
}

fn template_name(repeatable: bool) -> TemplateName {
    TemplateName::new(if repeatable { "check" } else { "order" }).unwrap()
}

/// One voter; two other VMs of the zone only receive messages, so that these are counted.
fn harness() -> Harness {
    let vm = VmName::new("a1").unwrap();
    let spec = |name: &str, voter: bool| {
        let roles = Roles {
            control: voter,
            ledger: voter,
            witness: Vec::new(),
        };
        let spec = VmSpec {
            zone: zone(),
            roles,
        };
        (VmName::new(name).unwrap(), spec)
    };
    let node = NodeId {
        vm: vm.clone(),
        folder: 0,
    };
    let config = Config {
        members: [(node, MemberRole::Voter)].into_iter().collect(),
    };
    let mut durable = StoredState::default();
    durable.control.config = config.clone();
    let restored = StoredGroup {
        config,
        ..StoredGroup::default()
    };
    durable.ledgers.insert(zone(), restored);
    let site = Site {
        vm,
        vms: [spec("a1", true), spec("a2", false), spec("a3", false)]
            .into_iter()
            .collect(),
        folder: Some(0),
        incarnation: Incarnation(1),
        weight: 100,
        seed: 1,
        limits: Limits {
            retention: Duration::from_secs(60),
            ..Limits::default()
        },
    };
    let now = Now {
        time: Time(0),
        wall: WallTime(1_000_000),
    };
    Harness {
        control: Control::new(site, durable, now),
        now,
        events: VecDeque::new(),
        replies: 0,
        starts: 0,
        messages: 0,
        saves: 0,
    }
}

impl Harness {
    fn step(&mut self, event: Event) {
        for effect in self.control.step(self.now, event) {
            self.effect(effect);
        }
    }

    fn effect(&mut self, effect: Effect) {
        match effect {
            Effect::Reply { .. } => self.replies += 1,
            Effect::Send { envelope, .. } => {
                if !matches!(envelope.body, Body::Status { .. }) {
                    self.messages += 1;
                }
            }
            Effect::Save(save) => {
                self.saves += 1;
                self.events.push_back(Event::SaveDone(saved(&save)));
            }
            Effect::Call { token, call } => {
                let result = match call.action {
                    Action::Fence { .. } => CallResult::Fenced {
                        incarnation: call.incarnation,
                        attempts: Vec::new(),
                    },
                    Action::Start(start) => {
                        self.starts += 1;
                        CallResult::State(AttemptState::Done {
                            result: start.payload,
                            service: Duration::from_millis(50),
                        })
                    }
                    _ => return,
                };
                self.events.push_back(Event::CallEnded { token, result });
            }
            Effect::Drained => {}
        }
    }

    fn run(&mut self) {
        while let Some(event) = self.events.pop_front() {
            self.step(event);
        }
    }

    /// Advances the time until `done`.
    fn wait(&mut self, done: impl Fn(&Harness) -> bool) {
        for _ in 0..100_000 {
            self.run();
            if done(self) {
                return;
            }
            let next = self.control.next_wake().max(self.now.time);
            self.now.wall.0 += next.since(self.now.time).as_millis() as u64;
            self.now.time = next;
            self.step(Event::Tick);
        }
        panic!("no progress after 100000 ticks");
    }

    fn request(&mut self, id: u64, request: Request) {
        self.step(Event::Request {
            id: RequestId(id),
            wait: Duration::from_secs(30),
            request,
        });
    }

    fn edit(&mut self, id: u64, document: policy::Document) {
        let before = self.replies;
        let op = OpId(Name::new(&format!("op-{id}")).unwrap());
        let base_version = Version(0);
        self.request(
            id,
            Request::Edit(policy::Command::Edit {
                op,
                base_version,
                document,
            }),
        );
        self.wait(|harness| harness.replies > before);
    }

    fn configure(&mut self) {
        for (i, repeatable) in [true, false].into_iter().enumerate() {
            let content = policy::Template {
                target: TargetKind::Executor,
                demand: Demand::default(),
                spread: Spread::Any,
                deadline_ms: 60_000,
                repeatable,
                retries: 1,
                max_tasks: 1200,
                expected_ms: 50,
                params: SortedMap::new(),
            };
            let name = template_name(repeatable);
            self.edit(
                2 * i as u64 + 1,
                policy::Document::Template {
                    name: name.clone(),
                    content: Some(content),
                },
            );
            let params = policy::Params {
                weight: 1,
                quota: 1_000_000,
                concurrency: 1_000_000,
                burst: 0,
                deadline_ms: None,
                values: SortedMap::new(),
            };
            self.edit(
                2 * i as u64 + 2,
                policy::Document::Params {
                    template: name,
                    account: account(),
                    content: Some(params),
                },
            );
        }
    }

    fn announce(&mut self, targets: u64) {
        for i in 0..targets {
            let announcement = Announcement {
                target: TargetName::new(&format!("t{i}")).unwrap(),
                incarnation: Incarnation(1),
                address: Address::new("127.0.0.1:1").unwrap(),
                zone: zone(),
                rack: None,
                work: vec![template_name(true), template_name(false)],
                capacity: Capacity::Executor {
                    slots: 8,
                    connections: 60,
                },
                usage: None,
                fencing: true,
                leaving: false,
            };
            self.request(1_000_000_000 + i, Request::Announce(announcement));
        }
        self.run();
    }
}

fn saved(save: &GroupSave) -> DurableSave {
    match save {
        GroupSave::Control(save) => DurableSave::Group {
            group: Group::Control,
            seq: save.seq,
        },
        GroupSave::Ledger { zone, save } => DurableSave::Group {
            group: Group::Ledger(zone.clone()),
            seq: save.seq,
        },
        GroupSave::Policy(state) => DurableSave::Policy(state.applied()),
    }
}

fn submission(id: u64, tasks: u64, repeatable: bool) -> Request {
    let task = Payload::new(vec![b' '; TASK_BYTES]);
    let digest = Digest([1; 32]);
    if repeatable {
        return Request::Single(NewRequest {
            account: account(),
            zone: Some(zone()),
            id: None,
            template: template_name(true),
            digest,
            task,
        });
    }
    Request::Submit(NewJob {
        account: account(),
        zone: Some(zone()),
        id: Name::new(&format!("job-{id}")).unwrap(),
        template: template_name(false),
        digest,
        tasks: (0..tasks).map(|_| task.clone()).collect(),
    })
}

fn measure(targets: u64, tasks: u64, repeatable: bool) {
    let mut harness = harness();
    harness.wait(|harness| harness.control.revision().0 == 0 && harness.now.time.0 > 2_000_000);
    harness.configure();
    harness.announce(targets);
    harness.wait(|harness| harness.now.time.0 > 4_000_000);
    let jobs = TASKS / tasks;
    let window = (MAX_TASKS_IN_FLIGHT / tasks).max(1);
    let (starts, messages, saves, before) = (
        harness.starts,
        harness.messages,
        harness.saves,
        harness.replies,
    );
    let since = Instant::now();
    let mut sent = 0;
    while harness.replies - before < jobs {
        while sent < jobs && sent - (harness.replies - before) < window {
            sent += 1;
            harness.request(10_000 + sent, submission(sent, tasks, repeatable));
        }
        harness.run();
        // Each round takes one millisecond of model time.
        harness.now.time.0 += 1000;
        harness.now.wall.0 += 1;
        harness.step(Event::Tick);
    }
    let elapsed = since.elapsed();
    let starts = harness.starts - starts;
    println!(
        "targets {targets:>5}  tasks {tasks:>5}  {}  {:>8.0} starts/s  {:>6.2} us/start  \
         {:>5.2} saves/job  {:>5.2} peer messages/job  {starts} starts",
        if repeatable {
            "repeatable"
        } else {
            "recorded  "
        },
        starts as f64 / elapsed.as_secs_f64(),
        elapsed.as_secs_f64() * 1e6 / starts as f64,
        (harness.saves - saves) as f64 / jobs as f64,
        (harness.messages - messages) as f64 / jobs as f64,
    );
}

fn main() {
    for targets in [50, 500, 4400] {
        measure(targets, 1, true);
        for tasks in [1, 10, 100, 1200] {
            measure(targets, tasks, false);
        }
    }
}
