//! A deployment of several VMs in memory, whose links have a delay and a bandwidth.

use std::collections::BTreeMap;
use std::time::Duration;

use greengage_cluster::{Cluster, Effect, Event, Message, Outcome, Setup, Status};
use greengage_core::{Address, RequestId, SortedMap, Time, Version, VmName, WallTime};
use greengage_gossip::Stamp;

/// Delay of each link, one way.
const LINK_DELAY: Duration = Duration::from_millis(2);
/// Larger messages are dropped, as by the mesh.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Duration of a synced write.
const SYNC_TIME: Duration = Duration::from_millis(9);

struct Node {
    cluster: Cluster,
    vm: VmName,
    /// Bandwidth towards this VM, in bytes per second.
    bandwidth: f64,
    /// When its link has transmitted all that was sent to it.
    link_free: Time,
    /// Until when messages to it are lost.
    cut_until: Time,
}

/// Something that happens to a VM at a set time.
enum Delivery {
    Message {
        from: usize,
        stamp: Stamp,
        message: Box<Message>,
    },
    Saved(greengage_agreement::SaveSeq),
}

pub(crate) struct Network {
    pub(crate) now: Time,
    nodes: Vec<Node>,
    addresses: SortedMap<Address, usize>,
    deliveries: BTreeMap<(Time, u64), (usize, Delivery)>,
    last_id: u64,
    answers: Vec<(RequestId, Outcome)>,
    /// Bytes sent to each VM.
    pub(crate) bytes: Vec<u64>,
    /// Messages about cancelled jobs.
    pub(crate) cancels: usize,
    /// Messages with the evacuated zones.
    pub(crate) evacuations: usize,
}

impl Network {
    /// Starts VMs; each comes with the bandwidth of the link towards it, in bytes per second.
    pub(crate) fn new(now: Time, setups: Vec<(Setup, f64)>) -> Network {
        let mut network = Network {
            now,
            nodes: Vec::new(),
            addresses: SortedMap::new(),
            deliveries: BTreeMap::new(),
            last_id: 0,
            answers: Vec::new(),
            bytes: vec![0; setups.len()],
            cancels: 0,
            evacuations: 0,
        };
        for (index, (setup, bandwidth)) in setups.into_iter().enumerate() {
            let vm = setup.member.vm.clone();
            network
                .addresses
                .insert(setup.member.address.clone(), index);
            network.nodes.push(Node {
                cluster: Cluster::new(now, setup),
                vm,
                bandwidth,
                link_free: now,
                cut_until: now,
            });
        }
        network
    }

    pub(crate) fn status(&mut self, index: usize) -> Status {
        let now = self.now;
        self.nodes[index].cluster.status(now)
    }

    pub(crate) fn version(&mut self, index: usize) -> Option<Version> {
        self.status(index).version
    }

    pub(crate) fn leader(&mut self) -> Option<usize> {
        let now = self.now;
        let mut nodes = self.nodes.iter_mut();
        nodes.position(|node| node.cluster.status(now).is_leader)
    }

    /// Loses all messages to a VM for some time.
    pub(crate) fn cut(&mut self, index: usize, time: Duration) {
        self.nodes[index].cut_until = self.now + time;
    }

    /// Replaces the process of a VM by one that knows nothing.
    pub(crate) fn restart(&mut self, index: usize, setup: Setup) {
        self.nodes[index].cluster = Cluster::new(self.now, setup);
    }

    /// Takes the answers to operators and callers so far.
    pub(crate) fn take_answers(&mut self) -> Vec<Outcome> {
        let answers = self.take_replies().into_iter();
        answers.map(|(_, outcome)| outcome).collect()
    }

    /// Takes the answers so far with their requests.
    pub(crate) fn take_replies(&mut self) -> Vec<(RequestId, Outcome)> {
        std::mem::take(&mut self.answers)
    }

    /// Answers all callers of a VM, as before its exit.
    pub(crate) fn answer_all(&mut self, index: usize) {
        let (now, wall) = (self.now, WallTime(self.now.0 / 1_000_000));
        for effect in self.nodes[index].cluster.answer_all(now, wall) {
            self.apply(index, effect);
        }
    }

    pub(crate) fn step(&mut self, index: usize, event: Event) {
        let (now, wall) = (self.now, WallTime(self.now.0 / 1_000_000));
        let effects = self.nodes[index].cluster.step(now, wall, event);
        for effect in effects {
            self.apply(index, effect);
        }
    }

    /// Runs for some time, or until `done`; returns whether it is.
    pub(crate) fn run_until(
        &mut self,
        limit: Duration,
        mut done: impl FnMut(&mut Network) -> bool,
    ) -> bool {
        let end = self.now + limit;
        while !done(self) {
            let wakes = self.nodes.iter().map(|node| node.cluster.next_wake());
            let wake = wakes.enumerate().map(|(i, at)| (at, i)).min();
            let (wake, index) = wake.expect("there are VMs");
            let next = self.deliveries.keys().next().map(|(at, _)| *at);
            let at = next.map_or(wake, |at| at.min(wake));
            if at > end {
                self.now = end;
                return done(self);
            }
            self.now = self.now.max(at);
            if next.is_some_and(|next| next <= wake) {
                self.deliver_next();
            } else {
                self.step(index, Event::Tick);
            }
        }
        true
    }

    fn deliver_next(&mut self) {
        let Some((_, (to, delivery))) = self.deliveries.pop_first() else {
            return;
        };
        let event = match delivery {
            Delivery::Saved(seq) => Event::Saved(seq),
            Delivery::Message {
                from,
                stamp,
                message,
            } => Event::Receive {
                from: self.nodes[from].vm.clone(),
                stamp,
                message: *message,
            },
        };
        self.step(to, event);
    }

    fn apply(&mut self, from: usize, effect: Effect) {
        match effect {
            Effect::Send { to, stamp, message } => {
                let Some(to) = self.addresses.get(&to).copied() else {
                    return;
                };
                let length = greengage_wire::encode(&(&stamp, &message)).len();
                self.bytes[to] += length as u64;
                self.evacuations += usize::from(matches!(message, Message::Evacuations(_)));
                self.cancels += usize::from(matches!(
                    message,
                    Message::Cancel { .. }
                        | Message::Cancelled { .. }
                        | Message::CancelAll { .. }
                        | Message::CancelledAll(_)
                ));
                let node = &mut self.nodes[to];
                if self.now < node.cut_until || length > MAX_MESSAGE_BYTES {
                    return;
                }
                let time = Duration::from_secs_f64(length as f64 / node.bandwidth);
                node.link_free = node.link_free.max(self.now) + time;
                let at = node.link_free + LINK_DELAY;
                let delivery = Delivery::Message {
                    from,
                    stamp,
                    message: Box::new(message),
                };
                self.schedule(at, to, delivery);
            }
            // What is still on the way over the old connection is lost.
            Effect::Reconnect(to) => {
                let to = self.addresses.get(&to).copied();
                self.deliveries.retain(|_, (receiver, delivery)| {
                    let sender = match delivery {
                        Delivery::Message { from, .. } => Some(*from),
                        Delivery::Saved(_) => None,
                    };
                    (Some(*receiver), sender) != (to, Some(from))
                });
            }
            Effect::Save(save) => {
                self.schedule(self.now + SYNC_TIME, from, Delivery::Saved(save.seq));
            }
            Effect::Answer { request, outcome } => self.answers.push((request, outcome)),
            Effect::Store(_) | Effect::Call { .. } => {}
        }
    }

    fn schedule(&mut self, at: Time, to: usize, delivery: Delivery) {
        self.last_id += 1;
        self.deliveries.insert((at, self.last_id), (to, delivery));
    }
}
