//! Acknowledged configurations under faults.

use std::time::Duration;

use crate::support::World;

const SECOND: Duration = Duration::from_secs(1);

fn env(name: &str, default: u64) -> u64 {
    match std::env::var(name) {
        Ok(value) => value.parse().expect("the variable holds a number"),
        Err(_) => default,
    }
}

/// Puts a version at every VM, as an operator does that gets no clear answer.
fn put_everywhere(world: &mut World, vms: usize, version: u64, content: u64) {
    for vm in 0..vms {
        world.put(vm, version, content);
    }
}

/// Guards against a deployment that doesn't come up from its seeds within three seconds, with the
/// number of voters that is wanted within six.
#[test]
fn new_deployment_takes_a_configuration() {
    for (vms, seeds, voters) in [(3, 3, 3), (4, 3, 3), (6, 3, 5), (5, 3, 5)] {
        let mut world = World::new(7, vms, seeds, voters);
        world.run(3 * SECOND);
        put_everywhere(&mut world, vms, 1, 1);
        world.run(SECOND);
        assert_eq!(world.acked, 1, "{vms} VMs");
        world.run(2 * SECOND);
        assert!(world.is_complete(), "{vms} VMs have {voters} voters");
    }
}

/// Guards against a loss of what was acknowledged when a disk is lost right after the ack while
/// all VMs lose power, and against a replacement that doesn't count within four seconds.
#[test]
fn lost_disk_right_after_the_ack_loses_nothing() {
    for seed in 0..30 {
        let mut world = World::new(seed, 3, 3, 3);
        world.run(3 * SECOND);
        for round in 1..4 {
            put_everywhere(&mut world, 3, round, seed);
            while world.acked < round {
                world.run(Duration::from_millis(1));
            }
            let lost = world.rng.below(3) as usize;
            for vm in 0..3 {
                world.stop(vm);
            }
            world.wipe(lost);
            world.run(Duration::from_millis(500));
            for vm in 0..3 {
                world.start(vm);
            }
            world.run(4 * SECOND);
            assert!(world.is_complete(), "seed {seed}, round {round}");
            let before = world.reads;
            world.read_all();
            world.run(SECOND);
            assert!(world.reads > before, "seed {seed}, round {round}");
        }
    }
}

/// Guards against a lost or older configuration, two contents under one version and a group that
/// doesn't recover, under restarts, lost disks, cuts one way and both, and racing operators.
#[test]
fn survives_random_faults() {
    let first = env("GREENGAGE_SEED", 1);
    let (mut acks, mut reads) = (0, 0);
    for seed in first..first + env("GREENGAGE_CASES", 40) {
        println!("GREENGAGE_SEED={seed} GREENGAGE_CASES=1");
        let vms = 3 + seed as usize % 2;
        let mut world = World::new(seed, vms, 3, 3);
        world.run(3 * SECOND);
        let mut version = 0;
        for _ in 0..80 {
            let vm = world.rng.below(vms as u64) as usize;
            let other = world.rng.below(vms as u64) as usize;
            match world.rng.below(14) {
                0 => world.stop(vm),
                1..=3 => world.start(vm),
                // One disk at a time: the next one only once the first is replaced.
                4 if world.is_complete() => world.wipe(vm),
                5 => world.cut.push((vm, other)),
                6 => {
                    world.cut.push((vm, other));
                    world.cut.push((other, vm));
                }
                7 | 8 => world.cut.clear(),
                9 => (0..vms).for_each(|vm| world.stop(vm)),
                10 => (0..vms).for_each(|vm| world.start(vm)),
                _ => {}
            }
            version += world.rng.below(2);
            let content = world.rng.below(1 << 20);
            put_everywhere(&mut world, vms, version, content);
            world.put(vm, version.saturating_sub(1), content + 1);
            let pause = Duration::from_millis(world.rng.below(400));
            world.run(pause);
            world.read_all();
        }
        world.cut.clear();
        (0..vms).for_each(|vm| world.start(vm));
        world.run(5 * SECOND);
        let view = world.describe();
        assert!(
            world.is_complete(),
            "seed {seed}: the group is whole again:\n{view}"
        );
        let before = world.reads;
        world.read_all();
        world.run(SECOND);
        assert!(
            world.reads > before,
            "seed {seed}: the newest version is read"
        );
        acks += world.acks;
        reads += world.reads;
    }
    println!("{acks} acknowledged, {reads} read");
}
