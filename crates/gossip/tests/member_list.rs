//! Discovery and liveness of VMs in virtual time.

use std::time::Duration;

use greengage_core::{Address, Incarnation, Time, VmName, ZoneName};
use greengage_gossip::{Envelope, GossipMessage, Member, MemberList, Roles, Sighting, Timing};

fn address(vm: usize) -> Address {
    Address::new(&format!("10.0.0.{vm}:7700")).unwrap()
}

fn member(vm: usize, incarnation: u64) -> Member {
    Member {
        vm: VmName::new(&format!("10.0.0.{vm}")).unwrap(),
        zone: ZoneName::new("a").unwrap(),
        address: address(vm),
        api: None,
        incarnation: Incarnation(incarnation),
        roles: Roles {
            entry: true,
            control: false,
        },
        folder_id: None,
        leaving: false,
    }
}

struct Simulation {
    now: Time,
    vms: Vec<(MemberList, bool)>,
    sent_messages: usize,
}

impl Simulation {
    fn new(vms: usize, seeds: &[usize]) -> Simulation {
        let now = Time::from_millis(1000);
        let seeds: Vec<Address> = seeds.iter().map(|vm| address(*vm)).collect();
        let list = |vm| MemberList::new(now, member(vm, 1), seeds.clone(), Timing::default());
        Simulation {
            now,
            vms: (0..vms).map(|vm| (list(vm), true)).collect(),
            sent_messages: 0,
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(10);
            let mut messages = Vec::new();
            for (list, running) in &mut self.vms {
                if *running && self.now >= list.next_wake() {
                    let envelopes = list.tick(self.now);
                    messages.extend(envelopes.into_iter().map(|e| (list.own().vm.clone(), e)));
                }
            }
            while let Some((from, envelope)) = messages.pop() {
                self.sent_messages += 1;
                let sender = self.vms.iter().find(|(r, _)| r.own().vm == from).unwrap();
                let stamp = sender.0.stamp(self.now, &envelope.to);
                let to = self
                    .vms
                    .iter_mut()
                    .find(|(r, _)| r.own().address == envelope.to);
                if let Some((list, true)) = to {
                    let sent = list.receive_stamp(self.now, &from, &stamp);
                    let answers = list.receive(self.now, sent, envelope.message);
                    messages.extend(answers.into_iter().map(|e| (list.own().vm.clone(), e)));
                }
            }
        }
    }

    fn live(&self, vm: usize) -> usize {
        self.vms[vm].0.live(self.now).count()
    }
}

/// Guards against VMs that do not discover one another within a second of a start from one seed.
#[test]
fn all_vms_discover_one_another_from_one_seed() {
    let mut sim = Simulation::new(13, &[0]);
    sim.run(Duration::from_millis(1000));
    for vm in 0..13 {
        assert_eq!(sim.live(vm), 12, "VM {vm}");
    }
}

/// Guards against VMs that learn of a seed before they have introduced themselves to it and then
/// wait for its list. Here one VM has stored the addresses of all others and there is no seed; all
/// VMs must know one another within 0.3 s.
#[test]
fn stored_peers_discover_one_another_without_a_seed() {
    let mut sim = Simulation::new(9, &[]);
    let others = (1..9).map(address).collect();
    sim.vms[0].0.set_stored_peers(sim.now, others);
    sim.run(Duration::from_millis(300));
    for vm in 0..9 {
        assert_eq!(sim.live(vm), 8, "VM {vm}");
    }
}

/// Guards against a silent VM that counts as live because others still list it.
#[test]
fn silent_vm_is_not_live_although_others_list_it() {
    let mut sim = Simulation::new(5, &[0, 1]);
    sim.run(Duration::from_secs(1));
    sim.vms[3].1 = false;
    sim.run(Duration::from_millis(900));
    assert_eq!(sim.live(0), 3);
    sim.run(Duration::from_secs(60));
    assert!(
        sim.vms[0].0.member(&member(3, 1).vm).is_none(),
        "a silent VM is removed after the forget timeout"
    );
    sim.vms[3].1 = true;
    sim.run(Duration::from_secs(2));
    assert_eq!(sim.live(0), 4);
}

/// Guards against a delayed message of an earlier incarnation that replaces the current record.
#[test]
fn message_of_an_earlier_incarnation_is_ignored() {
    let now = Time::from_millis(1000);
    let mut list = MemberList::new(now, member(0, 1), vec![address(1)], Timing::default());
    let hello = |incarnation, leaving| GossipMessage::Hello {
        member: Member {
            leaving,
            ..member(1, incarnation)
        },
        known: true,
        list_wanted: false,
        sightings: Vec::new(),
    };
    list.receive(now, Some(now), hello(9, false));
    list.receive(now, Some(now), hello(8, true));
    assert!(!list.member(&member(1, 0).vm).unwrap().leaving);
}

/// Guards against a VM that stays unknown because its clock was set back before a restart.
#[test]
fn lower_incarnation_is_accepted_after_the_higher_one_is_silent() {
    let now = Time::from_millis(1000);
    let mut list = MemberList::new(now, member(0, 1), vec![address(1)], Timing::default());
    let hello = |incarnation| GossipMessage::Hello {
        member: member(1, incarnation),
        known: true,
        list_wanted: false,
        sightings: Vec::new(),
    };
    list.receive(now, Some(now), hello(9));
    let later = now + Duration::from_millis(800);
    assert_eq!(list.live(later).count(), 0);
    let list_message = GossipMessage::Members(vec![member(1, 8)]);
    list.receive(later, Some(later), list_message);
    assert_eq!(
        list.live(later).count(),
        0,
        "a record from another VM does not make it live"
    );
    list.receive(later, Some(later), hello(8));
    assert_eq!(
        list.live(later)
            .map(|vm| vm.incarnation.0)
            .collect::<Vec<_>>(),
        [8]
    );
}

/// Guards against two VMs that can't reach one another because the network path has lost the state
/// of their connections: connections are replaced before a VM counts as lost, and periodically
/// while it stays silent.
#[test]
fn connections_to_a_silent_vm_are_replaced_before_it_is_lost() {
    let start = Time::from_millis(1000);
    let mut list = MemberList::new(start, member(0, 1), Vec::new(), Timing::default());
    let hello = GossipMessage::Hello {
        member: member(1, 1),
        known: true,
        list_wanted: false,
        sightings: Vec::new(),
    };
    list.receive(start, Some(start), hello);
    let reconnects_ms: Vec<u64> = (0..1500u64)
        .filter(|ms| {
            !list
                .peers_to_reconnect(start + Duration::from_millis(*ms))
                .is_empty()
        })
        .collect();
    assert_eq!(reconnects_ms, [390, 780, 1170]);
    assert_eq!(list.live(start + Duration::from_millis(390)).count(), 1);
}

/// Guards against traffic that grows with the square of the number of VMs: the heartbeat rate of a
/// VM in a large deployment is about the same as in a small one.
#[test]
fn heartbeat_rate_of_a_vm_is_bounded() {
    let rate = |vms: usize| {
        let mut sim = Simulation::new(vms, &[0, 1, 2]);
        sim.run(Duration::from_secs(5));
        let before = sim.sent_messages;
        sim.run(Duration::from_secs(10));
        (sim.sent_messages - before) as f64 / 10.0 / vms as f64
    };
    let (few, many) = (rate(13), rate(60));
    assert!(many < few * 1.5, "{few} and {many} messages per second");
}

/// Two VMs whose clocks differ by `CLOCK_OFFSET`, with a trip of `TRIP` each way.
struct Pair {
    lists: [MemberList; 2],
}

const CLOCK_OFFSET: Duration = Duration::from_secs(5000);
const TRIP: Duration = Duration::from_millis(2);

/// The time of a VM's clock at `ms` of VM 0's clock.
fn clock(vm: usize, ms: u64) -> Time {
    Time::from_millis(ms) + CLOCK_OFFSET * vm as u32
}

/// The bound of an age that VM 1 has found, from the time at which the message arrived.
type Bound = Option<Duration>;

impl Pair {
    fn new(incarnation: u64) -> Pair {
        let list = |vm: usize, seed, incarnation| {
            let timing = Timing::default();
            MemberList::new(clock(vm, 0), member(vm, incarnation), vec![seed], timing)
        };
        Pair {
            lists: [list(0, address(1), 1), list(1, address(0), incarnation)],
        }
    }

    /// Delivers a message that was sent at `sent_ms` after `held` and a trip; returns the answers.
    fn deliver(
        &mut self,
        from: usize,
        sent_ms: u64,
        held: Duration,
        message: GossipMessage,
    ) -> (Bound, Vec<Envelope>) {
        let to = 1 - from;
        let stamp = self.lists[from].stamp(clock(from, sent_ms), &address(to));
        let now = clock(to, sent_ms) + held + TRIP;
        let sender = member(from, 0).vm;
        let sent = self.lists[to].receive_stamp(now, &sender, &stamp);
        let answers = self.lists[to].receive(now, sent, message);
        (sent.map(|sent| now.since(sent)), answers)
    }

    fn hello(&self, from: usize) -> GossipMessage {
        GossipMessage::Hello {
            member: self.lists[from].own().clone(),
            known: true,
            list_wanted: false,
            sightings: Vec::new(),
        }
    }

    fn is_live(&self, at: usize, ms: u64) -> bool {
        self.lists[at].live(clock(at, ms)).count() > 0
    }

    /// Exchanges heartbeats until both VMs are live, and ends at 10 ms.
    fn introduce(&mut self) {
        for (ms, from) in [(0, 0), (3, 1), (6, 0)] {
            let hello = self.hello(from);
            self.deliver(from, ms, Duration::ZERO, hello);
        }
        assert!(self.is_live(0, 10) && self.is_live(1, 10));
    }
}

/// Guards against heartbeats that a link held for seconds and that make their sender live when it
/// lets go of them, although its process has ended.
#[test]
fn held_heartbeats_make_no_vm_live() {
    for held_ms in [700, 1000, 1800, 2500, 4000] {
        let mut pair = Pair::new(1);
        pair.introduce();
        let held = Duration::from_millis(held_ms);
        let hello = pair.hello(0);
        let (bound, _) = pair.deliver(0, 100, held, hello);
        assert!(!pair.is_live(1, 100 + held_ms + 2), "held for {held:?}");
        let bound = bound.expect("a bound");
        assert!(bound >= held + TRIP, "{bound:?} of {held:?}");
        assert!(bound <= held + TRIP * 2, "{bound:?} of {held:?}");
    }
}

/// Guards against messages that were sent to an earlier incarnation, whose clock may have been
/// another one, and against a VM that stays unknown since its messages have no bound.
#[test]
fn message_without_a_bound_is_answered_and_makes_no_vm_live() {
    let mut pair = Pair::new(1);
    pair.introduce();
    pair.lists[1] = MemberList::new(clock(1, 20), member(1, 2), Vec::new(), Timing::default());
    let hello = pair.hello(0);
    let (bound, answers) = pair.deliver(0, 30, Duration::ZERO, hello);
    assert_eq!(bound, None);
    assert!(!pair.is_live(1, 32));
    let [answer] = answers.as_slice() else {
        panic!("one answer: {answers:?}");
    };
    let (_, answers) = pair.deliver(1, 33, Duration::ZERO, answer.message.clone());
    let (bound, answers) = pair.deliver(0, 36, Duration::ZERO, answers[0].message.clone());
    assert!(bound.is_some_and(|bound| bound <= TRIP * 3), "{bound:?}");
    assert!(pair.is_live(1, 38));
    assert!(answers.is_empty(), "the exchange ends: {answers:?}");
}

/// Guards against a VM that counts as lost after its peer's messages were held, since it echoes one
/// of them: a message that took long isn't echoed while a better one is recent, and bounds that are
/// too high last only until the next message.
#[test]
fn held_message_does_not_spoil_later_bounds() {
    let mut pair = Pair::new(1);
    pair.introduce();
    let (held, hello) = (Duration::from_millis(500), pair.hello(1));
    pair.deliver(1, 10, held, hello);
    let hello = pair.hello(0);
    let (bound, _) = pair.deliver(0, 520, Duration::ZERO, hello);
    assert!(bound.is_some_and(|bound| bound <= TRIP * 2), "{bound:?}");
    let (held, hello) = (Duration::from_millis(3000), pair.hello(1));
    pair.deliver(1, 600, held, hello.clone());
    pair.deliver(1, 3610, Duration::ZERO, hello);
    let hello = pair.hello(0);
    let (bound, _) = pair.deliver(0, 3620, Duration::ZERO, hello);
    assert!(bound.is_some_and(|bound| bound <= TRIP * 2), "{bound:?}");
}

/// A heartbeat of VM 1, sent at `sent`, that tells of an incarnation of VM 2.
fn sighting(incarnation: u64, age_ms: u32) -> GossipMessage {
    GossipMessage::Hello {
        member: member(1, 1),
        known: true,
        list_wanted: false,
        sightings: vec![Sighting {
            vm: member(2, 1).vm,
            incarnation: Incarnation(incarnation),
            age_ms,
        }],
    }
}

/// Guards against a VM that counts as live because of old news of it, or of news of a process that
/// has ended, and against a VM that is given up although another one hears it.
#[test]
fn only_recent_sightings_of_the_current_incarnation_make_a_vm_live() {
    let now = Time::from_millis(10_000);
    let mut list = MemberList::new(now, member(0, 1), vec![address(1)], Timing::default());
    list.receive(now, None, GossipMessage::Members(vec![member(2, 5)]));
    let is_live = |list: &MemberList| list.live(now).any(|vm| vm.vm == member(2, 1).vm);
    list.receive(now, Some(now), sighting(5, 700));
    assert!(!is_live(&list), "too old");
    list.receive(now, Some(now), sighting(4, 10));
    assert!(!is_live(&list), "of an ended process");
    list.receive(now, None, sighting(5, 10));
    assert!(!is_live(&list), "in a message without a bound");
    let held = now - Duration::from_millis(900);
    list.receive(now, Some(held), sighting(5, 10));
    assert!(!is_live(&list), "in a message that was held");
    list.receive(now, Some(now), sighting(5, 100));
    assert!(is_live(&list));
}
