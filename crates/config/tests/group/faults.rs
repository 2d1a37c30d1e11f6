//! Durability and consistency of acknowledged configurations under faults.

use std::time::Duration;

use greengage_core::Payload;

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

/// Longest time until a read succeeds once all VMs are back.
const RECOVERY: Duration = Duration::from_secs(12);
/// Longest time until a replaced disk counts as a replica, once all VMs are back and connected.
const CATCH_UP: Duration = Duration::from_secs(4);

/// Longest time from the signal until a voter that leaves is replaced by a learner that has caught
/// up: an election if it led, and two changes of the voters, with syncs of 9 ms.
const REPLACEMENT: Duration = Duration::from_millis(300);

/// Runs until a VM has read the configuration, which must be at least the acknowledged one. Without
/// an acknowledgement there may be none.
fn expect_read(sim: &mut Simulation, context: &str) {
    if sim.acked_version == 0 {
        return;
    }
    let (reads_before, deadline) = (sim.reads, sim.now + RECOVERY);
    while sim.reads == reads_before {
        let view = sim.describe();
        assert!(sim.now < deadline, "{context}: no read succeeded:\n{view}");
        sim.read_all();
        sim.run(Duration::from_millis(100));
    }
}

/// Sends an edit and waits until it is acknowledged or a random time has passed.
fn put_until_ack(sim: &mut Simulation, vms: usize, version: u64) {
    let content = sim.rng.below(1 << 20);
    put_everywhere(sim, vms, version, content);
    let limit = match sim.rng.below(3) {
        0 => Duration::from_millis(5 + sim.rng.below(395)),
        _ => 2 * SECOND,
    };
    let deadline = sim.now + limit;
    while sim.acked_version < version && sim.now < deadline {
        if sim.rng.below(200) == 0 {
            put_everywhere(sim, vms, version, content);
        }
        sim.run(Duration::from_millis(1));
    }
}

/// Stops all VMs except, now and then, those whose disk stays; replaces the disk of `lost_vm`;
/// starts all VMs again, one after the other in a random order.
fn final_fault(sim: &mut Simulation, vms: usize, lost_vm: Option<usize>) {
    let others_stop = lost_vm.is_none() || sim.rng.below(3) > 0;
    for vm in 0..vms {
        if others_stop || lost_vm == Some(vm) {
            sim.stop(vm);
        }
    }
    if let Some(vm) = lost_vm {
        sim.lose_disk(vm);
    }
    let first = sim.rng.below(vms as u64) as usize;
    for vm in 0..vms {
        let pause = Duration::from_millis(sim.rng.below(500));
        sim.run(pause);
        sim.start((first + vm) % vms);
    }
}

/// Ends all faults except lost disks that are being replaced. VMs that shut down are restarted.
fn end_faults(sim: &mut Simulation, vms: usize) {
    sim.cut_links.clear();
    for vm in 0..vms {
        sim.slow_disk(vm, 1);
        if sim.is_leaving(vm) {
            sim.stop(vm);
        }
        sim.start(vm);
    }
}

/// Guards against a version that is lost when all VMs lose power at any moment of the replacement
/// of a lost disk, and another disk is lost once that replacement is complete.
#[test]
fn power_loss_at_any_step_of_a_repair_loses_nothing() {
    let first = env("GREENGAGE_SEED", 1);
    for seed in first..first + env("GREENGAGE_CASES", 60) {
        println!("GREENGAGE_SEED={seed} GREENGAGE_CASES=1");
        let vms = 3 + seed as usize % 2;
        let mut sim = Simulation::new(seed, vms, 3, 3);
        sim.run(3 * SECOND);
        for round in 1..5 {
            let context = format!("seed {seed}, round {round}");
            let lost_vm = sim.rng.below(vms as u64) as usize;
            put_until_ack(&mut sim, vms, 3 * round);
            final_fault(&mut sim, vms, Some(lost_vm));
            let repair = Duration::from_millis(sim.rng.below(2000));
            let end = sim.now + repair;
            let content = sim.rng.below(1 << 20);
            while sim.now < end {
                put_everywhere(&mut sim, vms, 3 * round + 1, content);
                let pause = Duration::from_millis(sim.rng.below(300)).min(end.since(sim.now));
                sim.run(pause);
            }
            final_fault(&mut sim, vms, None);
            expect_read(&mut sim, &context);
            sim.run(CATCH_UP);
            let view = sim.describe();
            assert!(sim.is_complete(), "{context}: not repaired:\n{view}");
        }
    }
}

/// Guards against a version that is lost in a final fault: one disk is lost, all VMs lose power,
/// or both, right after an acknowledgement or while an edit is being stored. Cuts, slow and failed
/// disks, restarts, shutdowns, transfers of leadership and an earlier lost disk precede it.
#[test]
fn final_fault_loses_nothing() {
    let first = env("GREENGAGE_SEED", 1);
    let (mut acks, mut reads) = (0, 0);
    for seed in first..first + env("GREENGAGE_CASES", 60) {
        println!("GREENGAGE_SEED={seed} GREENGAGE_CASES=1");
        let vms = 3 + seed as usize % 2;
        let mut sim = Simulation::new(seed, vms, 3, 3);
        // Some deployments have the first fault while their group is being formed.
        let formation = Duration::from_millis(sim.rng.below(4000));
        sim.run(formation);
        let mut version = 0;
        for round in 1..5 {
            let context = format!("seed {seed}, round {round}");
            for _ in 0..sim.rng.below(25) {
                let vm = sim.rng.below(vms as u64) as usize;
                let other = sim.rng.below(vms as u64) as usize;
                match sim.rng.below(16) {
                    0 => sim.stop(vm),
                    1 | 2 => sim.start(vm),
                    3 if sim.is_complete() => sim.wipe(vm),
                    4 => sim.cut_links.push((vm, other)),
                    5 => {
                        for other in (0..vms).filter(|other| *other != vm) {
                            sim.cut_links.push((vm, other));
                            sim.cut_links.push((other, vm));
                        }
                    }
                    6 | 7 => sim.cut_links.clear(),
                    8 => sim.slow_disk(vm, 30),
                    9 => sim.slow_disk(vm, 1),
                    10 => sim.fail_disk(vm),
                    11 => sim.transfer(vm),
                    12 => final_fault(&mut sim, vms, None),
                    13 => sim.leave(vm),
                    _ => {}
                }
                version += sim.rng.below(2);
                let content = sim.rng.below(1 << 20);
                put_everywhere(&mut sim, vms, version, content);
                let pause = Duration::from_millis(sim.rng.below(300));
                sim.run(pause);
            }
            let mut lost_vm = None;
            if sim.rng.below(3) > 0 {
                end_faults(&mut sim, vms);
                sim.run(CATCH_UP);
                let view = sim.describe();
                assert!(sim.is_complete(), "{context}: not repaired:\n{view}");
                lost_vm = Some(sim.rng.below(vms as u64) as usize);
                // One more fault that loses nothing may precede the loss of the disk.
                let vm = sim.rng.below(vms as u64) as usize;
                match sim.rng.below(6) {
                    0 => sim.slow_disk(vm, 30),
                    1 => sim.transfer(vm),
                    2 => sim.fail_disk(vm),
                    3 => sim.cut_links.push((vm, (vm + 1) % vms)),
                    _ => {}
                }
            }
            version += 1;
            put_until_ack(&mut sim, vms, version);
            final_fault(&mut sim, vms, lost_vm);
            end_faults(&mut sim, vms);
            expect_read(&mut sim, &context);
            // The next disk is lost only after this one has been replaced.
            sim.run(CATCH_UP);
            let view = sim.describe();
            assert!(sim.is_complete(), "{context}: not repaired:\n{view}");
        }
        acks += sim.acks;
        reads += sim.reads;
    }
    println!("{acks} edits acknowledged, {reads} reads completed");
}

/// Guards against a voter that leaves for good and is replaced only after it has ended: once its
/// successor has had the time to catch up, another disk may be lost while all VMs lose power.
#[test]
fn planned_replacement_then_final_fault_loses_nothing() {
    let first = env("GREENGAGE_SEED", 1);
    for seed in first..first + env("GREENGAGE_CASES", 30) {
        println!("GREENGAGE_SEED={seed} GREENGAGE_CASES=1");
        let mut sim = Simulation::new(seed, 4, 3, 3);
        let mut spare = 3;
        sim.stop(spare);
        sim.run(3 * SECOND);
        for round in 1..5 {
            let context = format!("seed {seed}, round {round}");
            let old = (spare + 1 + sim.rng.below(3) as usize) % 4;
            if round > 1 {
                sim.lose_disk(spare);
            }
            sim.start(spare);
            let catch_up = sim.now + CATCH_UP;
            // In every other seed the signal comes once the successor has had its time.
            let (pause, reaction) = match seed % 2 {
                0 => (CATCH_UP, REPLACEMENT),
                _ => (
                    Duration::from_millis(200 + sim.rng.below(1800)),
                    Duration::ZERO,
                ),
            };
            sim.run(pause);
            sim.leave(old);
            // The shutdown takes up to six seconds, so it may outlast the catch-up of the successor.
            let end = sim.now + Duration::from_millis(200 + sim.rng.below(5800));
            let late = match sim.rng.below(2) {
                0 => Duration::ZERO,
                _ => Duration::from_millis(sim.rng.below(4000)),
            };
            let fault = catch_up + reaction + late;
            let mut version = 100 * round;
            let mut transfers = sim.rng.below(4) == 0;
            while sim.now < fault {
                if sim.now >= end {
                    sim.stop(old);
                }
                if transfers && sim.now >= catch_up {
                    transfers = false;
                    sim.transfer(spare);
                }
                version += 1;
                let content = sim.rng.below(1 << 20);
                put_everywhere(&mut sim, 4, version, content);
                let pause = Duration::from_millis(1 + sim.rng.below(200));
                sim.run(pause.min(fault.since(sim.now)));
            }
            put_until_ack(&mut sim, 4, version + 1);
            let lost_vm = (old + 1 + sim.rng.below(3) as usize) % 4;
            (0..4).for_each(|vm| sim.stop(vm));
            sim.lose_disk(lost_vm);
            for vm in (0..4).filter(|vm| *vm != old) {
                let pause = Duration::from_millis(sim.rng.below(500));
                sim.run(pause);
                sim.start(vm);
            }
            expect_read(&mut sim, &context);
            sim.run(CATCH_UP);
            let view = sim.describe();
            assert!(sim.is_complete(), "{context}: not repaired:\n{view}");
            spare = old;
        }
    }
}

/// Guards against a lost or stale configuration, two contents under one version and a group that
/// does not recover. The faults are restarts, lost disks, links cut in one or both directions,
/// shutdowns, and concurrent operators.
#[test]
fn survives_random_faults() {
    play_random_faults(0, env("GREENGAGE_CASES", 40));
}

/// Guards against the same where each compaction keeps no or one older entry in memory.
#[test]
fn survives_random_faults_with_large_documents() {
    for source_bytes in [3 << 20, 9 << 20] {
        play_random_faults(source_bytes, env("GREENGAGE_CASES", 20));
    }
}

fn play_random_faults(source_bytes: usize, cases: u64) {
    let first = env("GREENGAGE_SEED", 1);
    let source = Payload::new(vec![0; source_bytes]);
    let (mut acks, mut reads) = (0, 0);
    for seed in first..first + cases {
        println!("GREENGAGE_SEED={seed} GREENGAGE_CASES=1");
        let vms = 3 + seed as usize % 2;
        let mut sim = Simulation::new(seed, vms, 3, 3);
        sim.source = source.clone();
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
                11 => sim.leave(vm),
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
        end_faults(&mut sim, vms);
        sim.run(5 * SECOND);
        let view = sim.describe();
        assert!(
            sim.is_complete(),
            "seed {seed}: the group did not recover:\n{view}"
        );
        // Some seeds have acknowledged nothing before.
        version += 1;
        put_everywhere(&mut sim, vms, version, seed);
        sim.run(SECOND);
        assert_eq!(sim.acked_version, version, "seed {seed}");
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
