//! Deployments of up to 150 entry VMs without sockets: how soon the loss of a VM is repaired, and how
//! many messages membership costs.

#![allow(
    dead_code,
    reason = "the example uses the other parts of the simulated fleet"
)]

use std::time::Duration;

#[path = "support/fleet.rs"]
mod fleet;

use fleet::{Fleet, Kind, Size};

/// Time in which the targets of a VM that has ended have another owner.
const TAKEOVER_TIME: Duration = Duration::from_millis(1000);
/// Membership messages that a VM may send in a second.
const MEMBERSHIP_RATE: u64 = 100;

fn started_fleet(entry: usize, targets: usize) -> Fleet {
    let mut fleet = Fleet::new(Size {
        zones: 5,
        entry,
        targets,
        jobs_per_s: 0,
    });
    fleet.run(Duration::from_secs(6));
    fleet
}

fn takeover_after_a_kill(entry: usize, targets: usize) {
    let mut fleet = started_fleet(entry, targets);
    assert_eq!(
        fleet.without_owner(),
        0,
        "targets without an owner after the start"
    );
    let last = fleet.nodes.len() - 1;
    assert_eq!(
        fleet.live(last),
        last,
        "live VMs by the list of the last VM"
    );
    fleet.kill(last);
    assert_ne!(
        fleet.owned_by(last).len(),
        0,
        "the killed VM owned no target"
    );
    fleet.run(TAKEOVER_TIME);
    let left = fleet.owned_by(last).len();
    assert_eq!(left, 0, "targets still without an owner among {entry} VMs");
    // The first VMs are the control VMs, one in each zone.
    let control = fleet.nodes[last].zone;
    assert_eq!(
        fleet.live(control),
        last - 1,
        "live VMs by the list of a control VM"
    );
}

/// Guards against a loss that is noticed later the more VMs there are.
#[test]
fn targets_of_a_lost_vm_are_taken_over_within_a_second_among_36_vms() {
    takeover_after_a_kill(36, 72);
}

/// The same at four times the size.
#[test]
fn targets_of_a_lost_vm_are_taken_over_within_a_second_among_150_vms() {
    takeover_after_a_kill(150, 150);
}

/// Guards against heartbeats whose number grows with the deployment.
#[test]
fn membership_costs_a_vm_few_messages_at_any_size() {
    for entry in [20, 36, 150] {
        let mut fleet = started_fleet(entry, 20);
        fleet.reset_counts();
        let seconds = 2;
        fleet.run(Duration::from_secs(seconds));
        assert_eq!(fleet.reconnects, 0, "no VM is silent among {entry}");
        for node in &fleet.nodes {
            let sent = node.sent.get(&Kind::Gossip).copied().unwrap_or(0);
            let vm = node.vm.as_str();
            assert!(
                sent <= MEMBERSHIP_RATE * seconds,
                "{vm} among {entry}: {sent} messages in {seconds} s"
            );
        }
    }
}
