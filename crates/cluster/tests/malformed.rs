//! Messages of other VMs that are damaged or have absurd contents.

mod support;

use std::time::Duration;

use greengage_cluster::scheduler::{
    Departure, Event as SchedulerEvent, HoldResult, JobKey, OffloadOutcome, OffloadedTask,
    PeerMessage, ResourceOffer, StartResult, StopResult, TargetCall,
};
use greengage_cluster::{gossip, Cluster, Effect, Event, Message, Versions};
use greengage_core::{
    Address, Demand, Incarnation, Revision, TargetName, Time, Version, VmName, WallTime,
};
use greengage_wire::{decode, encode};

/// Seeded generator (splitmix64).
struct Rng(u64);

impl Rng {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }
}

fn offload(declared: Duration, time: Duration) -> OffloadedTask {
    OffloadedTask {
        offload_id: u64::MAX,
        task: "0000000000000001.0.0.0".into(),
        number: u32::MAX,
        spec: "spec".into(),
        service: "desk".into(),
        queue: "q".into(),
        demand: Demand {
            milli_cores: 1000,
            memory_mib: 1,
            accelerators: 0,
        },
        declared,
        label: None,
        objective: time,
        deadline: time,
    }
}

/// One message of each kind that entry VMs receive, with ordinary and with extreme contents.
fn messages() -> Vec<Message> {
    let mut messages = Vec::new();
    for (declared, time) in [
        (Duration::from_millis(50), Duration::from_secs(1)),
        (Duration::MAX, Duration::MAX),
        (Duration::ZERO, Duration::ZERO),
    ] {
        let tasks = vec![offload(declared, time)];
        let free = tasks[0].demand;
        let sender = Incarnation(1);
        messages.extend(
            [
                PeerMessage::Run {
                    sender,
                    callers_age: time,
                    tasks,
                },
                PeerMessage::Ended(vec![(u64::MAX, OffloadOutcome::Done)]),
                PeerMessage::Stop(vec![0, u64::MAX]),
                PeerMessage::Renew {
                    sender,
                    receiver: sender,
                    callers_age: time,
                    number: u64::MAX,
                    needed: vec![(u64::MAX, time), (0, time)],
                },
                PeerMessage::Offers {
                    owned: vec![TargetName::new("t").unwrap(); 3],
                    offers: vec![
                        ResourceOffer {
                            free,
                            speed: u32::MAX,
                        },
                        ResourceOffer { free, speed: 0 },
                    ],
                    shortage: true,
                    time_left: Some(time),
                },
            ]
            .map(Message::Scheduler),
        );
    }
    let mut report = support::report("t", 1);
    messages.push(Message::Reports(vec![report.clone()]));
    report.sequence = u64::MAX;
    report.incarnation = Incarnation(u64::MAX);
    messages.push(Message::Reports(vec![report]));
    messages.push(Message::TargetLeft(Departure {
        target: TargetName::new("t").unwrap(),
        incarnation: Some(Incarnation(u64::MAX)),
    }));
    for path in ["/q/0000000000000001", "", "/"] {
        let job = JobKey {
            host: "h".into(),
            path: path.into(),
        };
        let age = Duration::from_secs(1);
        messages.push(Message::Cancel {
            job: job.clone(),
            age,
        });
        messages.push(Message::CancelAll {
            number: u64::MAX,
            jobs: vec![(job.clone(), age), (job.clone(), Duration::MAX)],
        });
        messages.push(Message::CancelledAll(u64::MAX));
        messages.push(Message::Cancelled { job, held: true });
    }
    let member = gossip::Member {
        vm: VmName::new("10.0.0.8").unwrap(),
        ..support::entry_member(Incarnation(u64::MAX))
    };
    let sighting = gossip::Sighting {
        vm: member.vm.clone(),
        incarnation: Incarnation(1),
        age_ms: u32::MAX,
    };
    messages.push(Message::Gossip(
        gossip::GossipMessage::Hello {
            member: member.clone(),
            known: false,
            list_wanted: true,
            sightings: vec![sighting; 3],
        },
        Versions {
            document: Some(Version(u64::MAX)),
            evacuations: Some(Revision(u64::MAX)),
        },
    ));
    let list = gossip::GossipMessage::Members(vec![member; 3]);
    messages.push(Message::Gossip(list, Versions::default()));
    messages.push(support::configuration_message(support::document(1)));
    messages
}

/// An entry VM that owns a target, and the peer whose messages it receives.
struct World {
    cluster: Cluster,
    now: Time,
}

impl World {
    fn new() -> World {
        let now = Time::from_millis(1000);
        let mut world = World {
            cluster: Cluster::new(now, support::entry_setup()),
            now,
        };
        world.step(Event::Report(support::report("target", 1)));
        for _ in 0..20 {
            world.run();
        }
        let status = world.cluster.status(world.now);
        assert_eq!((status.vms, status.owned), (1, 1));
        world
    }

    /// Processes an event, and answers the calls to the target.
    fn step(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let wall = WallTime(self.now.0 / 1000);
            for effect in self.cluster.step(self.now, wall, event) {
                if let Effect::Call {
                    target,
                    generation,
                    call,
                    ..
                } = effect
                {
                    let answer = answer(self.now, target, generation, call);
                    events.extend(answer.map(Event::Scheduler));
                }
            }
        }
    }

    fn receive(&mut self, message: Message) {
        let stamp = support::stamp(self.now, Some(self.now));
        let from = peer().vm;
        self.step(Event::Receive {
            from,
            stamp,
            message,
        });
    }

    /// Lets some time pass, in which the peer stays live.
    fn run(&mut self) {
        let heartbeat = gossip::GossipMessage::Hello {
            member: peer(),
            known: true,
            list_wanted: false,
            sightings: Vec::new(),
        };
        self.receive(Message::Gossip(heartbeat, Versions::default()));
        for _ in 0..2 {
            self.now = self.now + Duration::from_millis(60);
            self.step(Event::Tick);
        }
    }
}

fn peer() -> gossip::Member {
    gossip::Member {
        vm: VmName::new("10.0.0.7").unwrap(),
        address: Address::new("10.0.0.7:7700").unwrap(),
        ..support::entry_member(Incarnation(1))
    }
}

/// The answer of a target without runs. Holds of an idle target wait, and aren't answered.
fn answer(
    now: Time,
    target: TargetName,
    generation: u64,
    call: TargetCall,
) -> Option<SchedulerEvent> {
    let clock = now.0 / 1000;
    match call {
        TargetCall::Hold(hold) if hold.wait.is_zero() => Some(SchedulerEvent::HoldEnded {
            target,
            generation,
            result: HoldResult::Lists {
                clock,
                incarnation: None,
                running: Vec::new(),
                ended: Vec::new(),
            },
        }),
        TargetCall::Hold(_) => None,
        TargetCall::Start(start) => Some(SchedulerEvent::StartEnded {
            target,
            task: start.task,
            number: start.number,
            generation,
            result: StartResult::Running { clock },
        }),
        TargetCall::Stop(stop) => Some(SchedulerEvent::StopEnded {
            target,
            task: stop.task,
            number: stop.number,
            generation,
            result: StopResult::Done,
        }),
    }
}

/// Guards against a process that ends because a message of another VM has extreme contents.
#[test]
fn extreme_messages_end_no_process() {
    for message in messages() {
        let mut world = World::new();
        world.receive(message);
        for _ in 0..5 {
            world.run();
        }
    }
}

/// Guards against a process that ends because a message was damaged or comes from another build.
#[test]
fn damaged_messages_end_no_process() {
    let mut random = Rng(1);
    let originals: Vec<Vec<u8>> = messages().iter().map(encode).collect();
    let mut delivered = 0;
    for _ in 0..100 {
        let mut world = World::new();
        for _ in 0..100 {
            let index = random.next() as usize % originals.len();
            if let Ok(message) = decode::<Message>(&damage(&mut random, &originals[index])) {
                world.receive(message);
                world.run();
                delivered += 1;
            }
        }
    }
    assert!(
        delivered > 1000,
        "only {delivered} damaged messages could be decoded"
    );
}

fn damage(random: &mut Rng, original: &[u8]) -> Vec<u8> {
    let mut bytes = original.to_vec();
    for _ in 0..1 + random.next() % 3 {
        let at = random.next() as usize % bytes.len();
        match random.next() % 4 {
            0 => bytes[at] = random.next() as u8,
            1 => bytes[at] ^= 1 << (random.next() % 8),
            2 => bytes.insert(at, 0xff),
            _ => bytes.truncate(at.max(1)),
        }
    }
    bytes
}
