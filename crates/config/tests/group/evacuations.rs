//! Durability and order of acknowledged evacuations under faults.

use std::time::Duration;

use greengage_config::{EvacuationAction, EvacuationOrder, MAX_EVACUATED_ZONES, MAX_ORDER_AGE};
use greengage_core::{RequestId, WallTime, ZoneName};

use crate::support::Simulation;

const SECOND: Duration = Duration::from_secs(1);
/// How long an operator sends an order again.
const ACK_TIMEOUT: Duration = Duration::from_secs(5);
const VMS: usize = 5;

fn order(zone: &str, action: EvacuationAction) -> EvacuationOrder {
    EvacuationOrder {
        zone: ZoneName::new(zone).unwrap(),
        action,
        received: WallTime(1),
    }
}

/// Sends an order to one VM after the other, a second each, until one acknowledges it.
fn send(sim: &mut Simulation, order: &EvacuationOrder) -> bool {
    let deadline = sim.now + ACK_TIMEOUT;
    let mut sent: Vec<RequestId> = Vec::new();
    let mut vm = sim.rng.below(VMS as u64) as usize;
    while sim.now < deadline {
        sent.push(sim.order(vm, order.clone(), sim.now));
        let next = sim.now + SECOND;
        while sim.now < next && sim.leader() == Some(vm) {
            sim.run(Duration::from_millis(5));
            if sent
                .iter()
                .any(|request| sim.acked_orders.contains(request))
            {
                return true;
            }
        }
        sim.run(Duration::from_millis(20));
        vm = sim.leader().unwrap_or((vm + 1) % VMS);
    }
    false
}

/// Whether the group has a zone evacuated, as the leader that confirms an order knows.
fn is_evacuated(sim: &mut Simulation, zone: &str) -> bool {
    let other = order("other", EvacuationAction::Finish);
    assert!(send(sim, &other), "no order is acknowledged any more");
    let leader = sim.leader().unwrap();
    let zones = sim.evacuations(leader);
    zones.is_some_and(|zones| zones.contains(&ZoneName::new(zone).unwrap()))
}

/// Guards against an acknowledged order that is lost or undone by an earlier one, while leaders are
/// killed right after the answer, disks are lost and leadership changes.
#[test]
fn acknowledged_orders_outlast_kills_and_lost_disks() {
    for seed in 0..20 {
        let mut sim = Simulation::new(seed, VMS, VMS, VMS);
        sim.run(3 * SECOND);
        let mut wanted = None;
        for round in 0..8 {
            let action = match round % 2 {
                0 => EvacuationAction::Start,
                _ => EvacuationAction::Finish,
            };
            let acked = send(&mut sim, &order("a", action));
            wanted = acked.then_some(action == EvacuationAction::Start);
            let leader = sim.leader();
            match (sim.rng.below(4), leader) {
                (0, Some(vm)) => sim.wipe(vm),
                (1, Some(vm)) => {
                    sim.stop(vm);
                    sim.run(SECOND);
                    sim.start(vm);
                }
                (2, Some(vm)) => sim.transfer(vm),
                _ => {
                    (0..VMS).for_each(|vm| sim.stop(vm));
                    (0..VMS).for_each(|vm| sim.start(vm));
                }
            }
            let pause = Duration::from_millis(sim.rng.below(4000));
            sim.run(pause);
            if let Some(wanted) = wanted {
                let found = is_evacuated(&mut sim, "a");
                assert_eq!(found, wanted, "seed {seed}, round {round}");
            }
            sim.run(4 * SECOND);
        }
        assert!(
            wanted.is_some(),
            "seed {seed}: the last order was not acknowledged"
        );
        for vm in 0..VMS {
            let zones = sim.evacuations(vm).cloned();
            let leader = sim.leader().unwrap();
            assert_eq!(
                zones,
                sim.evacuations(leader).cloned(),
                "seed {seed}, VM {vm}"
            );
        }
    }
}

/// Guards against an order that has waited in a paused VM and undoes a later one.
#[test]
fn order_that_may_be_older_than_a_later_one_is_not_carried_out() {
    let mut sim = Simulation::new(1, 3, 3, 3);
    sim.run(3 * SECOND);
    let leader = sim.leader().unwrap();
    let read = sim.now;
    sim.run(MAX_ORDER_AGE + Duration::from_millis(1));
    let late = sim.order(leader, order("a", EvacuationAction::Start), read);
    sim.run(SECOND);
    assert!(!sim.acked_orders.contains(&late));
    assert!(sim.evacuations(leader).is_none());
}

/// Guards against a leader that was replaced unnoticed and acknowledges an order from its old state.
#[test]
fn replaced_leader_acknowledges_nothing() {
    let mut sim = Simulation::new(2, VMS, VMS, VMS);
    sim.run(3 * SECOND);
    assert!(send(&mut sim, &order("a", EvacuationAction::Start)));
    let old = sim.leader().unwrap();
    for vm in (0..VMS).filter(|vm| *vm != old) {
        sim.cut_links.extend([(old, vm), (vm, old)]);
    }
    while sim.leader() == Some(old) {
        sim.run(Duration::from_millis(10));
    }
    assert!(send(&mut sim, &order("a", EvacuationAction::Finish)));
    let request = sim.order(old, order("a", EvacuationAction::Start), sim.now);
    sim.run(SECOND);
    sim.cut_links.clear();
    sim.run(3 * SECOND);
    assert!(!sim.acked_orders.contains(&request));
    assert!(!is_evacuated(&mut sim, "a"));
}

/// Guards against a state that grows with each invented zone, and against a full one that refuses to
/// take an evacuation back or to acknowledge an order again.
#[test]
fn number_of_evacuated_zones_is_bounded() {
    let mut sim = Simulation::new(1, VMS, VMS, VMS);
    sim.run(3 * SECOND);
    let leader = sim.leader().unwrap();
    for zone in 0..2 * MAX_EVACUATED_ZONES {
        let start = order(&format!("zone-{zone}"), EvacuationAction::Start);
        sim.order(leader, start, sim.now);
        if zone % 100 == 99 {
            sim.run(SECOND);
        }
    }
    sim.run(SECOND);
    let evacuated = sim.evacuations(leader).unwrap().zones.len();
    assert_eq!(evacuated, MAX_EVACUATED_ZONES);
    let finish = order("zone-7", EvacuationAction::Finish);
    assert!(send(&mut sim, &order("zone-8", EvacuationAction::Start)));
    assert!(!send(&mut sim, &order("more", EvacuationAction::Start)));
    assert!(send(&mut sim, &finish));
    assert!(send(&mut sim, &order("more", EvacuationAction::Start)));
    assert!(is_evacuated(&mut sim, "more"));
}
