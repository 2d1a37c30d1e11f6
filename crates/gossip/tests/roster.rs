//! Rosters that find one another, in virtual time.

use std::time::Duration;

use greengage_core::{Address, Incarnation, Time, VmName, ZoneName};
use greengage_gossip::{Introduction, Member, Roles, Roster, Timing};

fn address(vm: usize) -> Address {
    Address::new(&format!("10.0.0.{vm}:7700")).unwrap()
}

fn member(vm: usize, life: u64) -> Member {
    Member {
        vm: VmName::new(&format!("10.0.0.{vm}")).unwrap(),
        zone: ZoneName::new("a").unwrap(),
        address: address(vm),
        api: None,
        life: Incarnation(life),
        roles: Roles {
            entry: true,
            control: false,
        },
        folder: None,
        leaving: false,
    }
}

struct World {
    now: Time,
    vms: Vec<(Roster, bool)>,
    sent: usize,
}

impl World {
    fn new(vms: usize, seeds: &[usize]) -> World {
        let now = Time::from_millis(1000);
        let seeds: Vec<Address> = seeds.iter().map(|vm| address(*vm)).collect();
        let roster = |vm| Roster::new(now, member(vm, 1), seeds.clone(), Timing::default());
        World {
            now,
            vms: (0..vms).map(|vm| (roster(vm), true)).collect(),
            sent: 0,
        }
    }

    fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while self.now < end {
            self.now = self.now + Duration::from_millis(10);
            let mut messages = Vec::new();
            for (roster, up) in &mut self.vms {
                if *up && self.now >= roster.wake() {
                    messages.extend(roster.tick(self.now));
                }
            }
            while let Some(send) = messages.pop() {
                self.sent += 1;
                let to = self
                    .vms
                    .iter_mut()
                    .find(|(r, _)| r.own().address == send.to);
                if let Some((roster, true)) = to {
                    messages.extend(roster.receive(self.now, send.message));
                }
            }
        }
    }

    fn live(&self, vm: usize) -> usize {
        self.vms[vm].0.live(self.now).count()
    }
}

/// Guards against VMs that don't find one another within a second of a start from one seed.
#[test]
fn all_vms_find_one_another_from_one_seed() {
    let mut world = World::new(13, &[0]);
    world.run(Duration::from_millis(1000));
    for vm in 0..13 {
        assert_eq!(world.live(vm), 12, "VM {vm}");
    }
}

/// Guards against VMs that hear of a seed before they have introduced themselves to it, and then
/// wait for its list: when one VM recalls all others, each of them knows all within 0.3 s, without a seed.
#[test]
fn vms_that_are_recalled_learn_of_one_another_at_once() {
    let mut world = World::new(9, &[]);
    let others = (1..9).map(address).collect();
    world.vms[0].0.recall(world.now, others);
    world.run(Duration::from_millis(300));
    for vm in 0..9 {
        assert_eq!(world.live(vm), 8, "VM {vm}");
    }
}

/// Guards against a VM that counts as live because others still list it.
#[test]
fn silent_vm_is_not_live_whatever_others_say() {
    let mut world = World::new(5, &[0, 1]);
    world.run(Duration::from_secs(1));
    world.vms[3].1 = false;
    world.run(Duration::from_millis(900));
    assert_eq!(world.live(0), 3);
    world.run(Duration::from_secs(60));
    assert!(
        world.vms[0].0.member(&member(3, 1).vm).is_none(),
        "it is forgotten in the end"
    );
    world.vms[3].1 = true;
    world.run(Duration::from_secs(2));
    assert_eq!(world.live(0), 4);
}

/// Guards against a late message of an earlier life that replaces the present one.
#[test]
fn earlier_life_is_ignored() {
    let now = Time::from_millis(1000);
    let mut roster = Roster::new(now, member(0, 1), vec![address(1)], Timing::default());
    let hello = |life, leaving| Introduction::Hello {
        member: Member {
            leaving,
            ..member(1, life)
        },
        known: true,
    };
    roster.receive(now, hello(9, false));
    roster.receive(now, hello(8, true));
    assert!(!roster.member(&member(1, 0).vm).unwrap().leaving);
}

/// Guards against a VM that stays unknown because its clock was set back before it started again.
#[test]
fn lower_life_counts_once_the_earlier_one_is_silent() {
    let now = Time::from_millis(1000);
    let mut roster = Roster::new(now, member(0, 1), vec![address(1)], Timing::default());
    let hello = |life| Introduction::Hello {
        member: member(1, life),
        known: true,
    };
    roster.receive(now, hello(9));
    let later = now + Duration::from_millis(800);
    assert_eq!(roster.live(later).count(), 0);
    roster.receive(later, Introduction::Members(vec![member(1, 8)]));
    assert_eq!(roster.live(later).count(), 0, "a list is no sign of life");
    roster.receive(later, hello(8));
    assert_eq!(
        roster.live(later).map(|vm| vm.life.0).collect::<Vec<_>>(),
        [8]
    );
}

/// Guards against two VMs that stay silent to one another because something between them has lost
/// track of their connections: these are replaced before a VM counts as lost, and then now and
/// then.
#[test]
fn connections_to_a_silent_vm_are_replaced_before_it_is_lost() {
    let start = Time::from_millis(1000);
    let mut roster = Roster::new(start, member(0, 1), Vec::new(), Timing::default());
    let hello = Introduction::Hello {
        member: member(1, 1),
        known: true,
    };
    roster.receive(start, hello);
    let replaced: Vec<u64> = (0..1500u64)
        .filter(|ms| !roster.silent(start + Duration::from_millis(*ms)).is_empty())
        .collect();
    assert_eq!(replaced, [390, 780, 1170]);
    assert_eq!(roster.live(start + Duration::from_millis(390)).count(), 1);
}

/// Guards against messages that grow with the square of the number of VMs: a VM sends about as many
/// heartbeats a second in a large deployment as in a small one.
#[test]
fn heartbeats_of_a_vm_are_bounded() {
    let rate = |vms: usize| {
        let mut world = World::new(vms, &[0, 1, 2]);
        world.run(Duration::from_secs(5));
        let before = world.sent;
        world.run(Duration::from_secs(10));
        (world.sent - before) as f64 / 10.0 / vms as f64
    };
    let (few, many) = (rate(13), rate(60));
    assert!(many < few * 1.5, "{few} and {many} messages a second");
}
