//! Discovery and liveness of VMs in virtual time.

use std::time::Duration;

use greengage_core::{Address, Incarnation, Time, VmName, ZoneName};
use greengage_gossip::{GossipMessage, Member, MemberList, Roles, Timing};

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
                    messages.extend(list.tick(self.now));
                }
            }
            while let Some(envelope) = messages.pop() {
                self.sent_messages += 1;
                let to = self
                    .vms
                    .iter_mut()
                    .find(|(r, _)| r.own().address == envelope.to);
                if let Some((list, true)) = to {
                    messages.extend(list.receive(self.now, envelope.message));
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
    };
    list.receive(now, hello(9, false));
    list.receive(now, hello(8, true));
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
    };
    list.receive(now, hello(9));
    let later = now + Duration::from_millis(800);
    assert_eq!(list.live(later).count(), 0);
    list.receive(later, GossipMessage::Members(vec![member(1, 8)]));
    assert_eq!(
        list.live(later).count(),
        0,
        "a record from another VM does not make it live"
    );
    list.receive(later, hello(8));
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
    };
    list.receive(start, hello);
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
