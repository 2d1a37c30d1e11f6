//! Durability and consistency of acknowledged configurations under faults.

use std::time::Duration;

use crate::support::Simulation;

const SECOND: Duration = Duration::from_secs(1);

fn env(name: &str, default: u64) -> u64 {
    match std::env::var(name) {
        Ok(value) => value.parse().expect("the variable must be a number"),
        Err(_) => default,
    }
}

/// Submits a version to every VM, like an operator whose request got no definite answer.
fn put_everywhere(sim: &mut Simulation, vms: usize, version: u64, content: u64) {
    for vm in 0..vms {
        sim.put(vm, version, content);
    }
}

/// Guards against a new deployment that can't accept a configuration three seconds after its start,
/// or does not have the configured number of voters after six seconds.
#[test]
fn new_deployment_accepts_a_configuration() {
    for (vms, seeds, voters) in [(3, 3, 3), (4, 3, 3), (6, 3, 5), (5, 3, 5)] {
        let mut sim = Simulation::new(7, vms, seeds, voters);
        sim.run(3 * SECOND);
        put_everywhere(&mut sim, vms, 1, 1);
        sim.run(SECOND);
        assert_eq!(sim.acked_version, 1, "{vms} VMs");
        sim.run(2 * SECOND);
        assert!(sim.is_complete(), "{vms} VMs have {voters} voters");
    }
}

/// Guards against the loss of an acknowledged version when a disk is lost right after the
/// acknowledgement while all VMs lose power, and against a replacement that does not vote within
/// four seconds.
#[test]
fn lost_disk_right_after_the_ack_loses_nothing() {
    for seed in 0..30 {
        let mut sim = Simulation::new(seed, 3, 3, 3);
        sim.run(3 * SECOND);
        for round in 1..4 {
            put_everywhere(&mut sim, 3, round, seed);
            while sim.acked_version < round {
                sim.run(Duration::from_millis(1));
            }
            let lost_vm = sim.rng.below(3) as usize;
            for vm in 0..3 {
                sim.stop(vm);
            }
            sim.wipe(lost_vm);
            sim.run(Duration::from_millis(500));
            for vm in 0..3 {
                sim.start(vm);
            }
            sim.run(4 * SECOND);
            assert!(sim.is_complete(), "seed {seed}, round {round}");
            let reads_before = sim.reads;
            sim.read_all();
            sim.run(SECOND);
            assert!(sim.reads > reads_before, "seed {seed}, round {round}");
        }
    }
}

/// Guards against a lost or stale configuration, two contents under one version and a group that
/// does not recover. The faults are restarts, lost disks, links cut in one or both directions, and
/// concurrent operators.
#[test]
fn survives_random_faults() {
    let first = env("GREENGAGE_SEED", 1);
    let (mut acks, mut reads) = (0, 0);
    for seed in first..first + env("GREENGAGE_CASES", 40) {
        println!("GREENGAGE_SEED={seed} GREENGAGE_CASES=1");
        let vms = 3 + seed as usize % 2;
        let mut sim = Simulation::new(seed, vms, 3, 3);
        sim.run(3 * SECOND);
        let mut version = 0;
        for _ in 0..80 {
            let vm = sim.rng.below(vms as u64) as usize;
            let other = sim.rng.below(vms as u64) as usize;
            match sim.rng.below(14) {
                0 => sim.stop(vm),
                1..=3 => sim.start(vm),
                // Disks are lost one at a time: the next one only after the first is replaced.
                4 if sim.is_complete() => sim.wipe(vm),
                5 => sim.cut_links.push((vm, other)),
                6 => {
                    sim.cut_links.push((vm, other));
                    sim.cut_links.push((other, vm));
                }
                7 | 8 => sim.cut_links.clear(),
                9 => (0..vms).for_each(|vm| sim.stop(vm)),
                10 => (0..vms).for_each(|vm| sim.start(vm)),
                _ => {}
            }
            version += sim.rng.below(2);
            let content = sim.rng.below(1 << 20);
            put_everywhere(&mut sim, vms, version, content);
            sim.put(vm, version.saturating_sub(1), content + 1);
            let pause = Duration::from_millis(sim.rng.below(400));
            sim.run(pause);
            sim.read_all();
        }
        sim.cut_links.clear();
        (0..vms).for_each(|vm| sim.start(vm));
        sim.run(5 * SECOND);
        let view = sim.describe();
        assert!(
            sim.is_complete(),
            "seed {seed}: the group did not recover:\n{view}"
        );
        let reads_before = sim.reads;
        sim.read_all();
        sim.run(SECOND);
        assert!(
            sim.reads > reads_before,
            "seed {seed}: no read of the newest version succeeded"
        );
        acks += sim.acks;
        reads += sim.reads;
    }
    println!("{acks} edits acknowledged, {reads} reads completed");
}
