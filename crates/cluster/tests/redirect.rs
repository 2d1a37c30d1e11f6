//! Redirects of operators and targets from an entry VM to the control VMs.

mod support;

use greengage_cluster::{gossip, Cluster, Effect, Event, Message, Outcome};
use greengage_core::{Address, RequestId, Time, WallTime};

use support::{control_member, entry_setup};

fn hear(cluster: &mut Cluster, ms: u64, vm: &str, leaving: bool) {
    let member = gossip::Member {
        leaving,
        ..control_member(vm)
    };
    hear_member(cluster, ms, member);
}

fn hear_member(cluster: &mut Cluster, ms: u64, member: gossip::Member) {
    let from = member.vm.clone();
    let hello = gossip::GossipMessage::Hello {
        member,
        known: true,
    };
    let message = Message::Gossip(hello, None);
    let event = Event::Receive { from, message };
    cluster.step(Time::from_millis(ms), WallTime(ms), event);
}

/// Outcomes of six requests that arrive at `ms`, without repetitions.
fn outcomes(cluster: &mut Cluster, ms: u64) -> Vec<Outcome> {
    let mut found = Vec::new();
    for request in 1..=6 {
        let event = Event::Redirect(RequestId(request));
        for effect in cluster.step(Time::from_millis(ms), WallTime(ms), event) {
            let Effect::Answer { outcome, .. } = effect else {
                panic!("{effect:?}");
            };
            if !found.contains(&outcome) {
                found.push(outcome);
            }
        }
    }
    found.sort_by_key(|outcome| format!("{outcome:?}"));
    found
}

fn redirect(vm: &str) -> Outcome {
    Outcome::Redirect(Address::new(&format!("{vm}:7700")).unwrap())
}

/// Guards against orders and reports that wait for a control VM that is frozen, dead or leaving.
#[test]
fn requests_are_redirected_only_to_live_control_vms() {
    let mut cluster = Cluster::new(Time::from_millis(1000), entry_setup());
    assert_eq!(outcomes(&mut cluster, 1000), [Outcome::Unknown]);
    hear(&mut cluster, 1000, "10.0.0.1", false);
    hear(&mut cluster, 1000, "10.0.0.2", false);
    let both = [redirect("10.0.0.1"), redirect("10.0.0.2")];
    assert_eq!(outcomes(&mut cluster, 1100), both);
    hear(&mut cluster, 1500, "10.0.0.2", false);
    assert_eq!(outcomes(&mut cluster, 1700), [redirect("10.0.0.2")]);
    hear(&mut cluster, 1700, "10.0.0.1", false);
    hear(&mut cluster, 1700, "10.0.0.2", true);
    assert_eq!(outcomes(&mut cluster, 1800), [redirect("10.0.0.1")]);
    assert_eq!(outcomes(&mut cluster, 2400), [Outcome::Unknown]);
}

/// Guards against orders that meet control VMs which are live but have no disk or no quorum.
#[test]
fn requests_are_redirected_to_the_leader() {
    let mut cluster = Cluster::new(Time::from_millis(1000), entry_setup());
    hear(&mut cluster, 1000, "10.0.0.1", false);
    let leader = gossip::Member {
        leads: true,
        ..control_member("10.0.0.2")
    };
    hear_member(&mut cluster, 1000, leader);
    assert_eq!(outcomes(&mut cluster, 1100), [redirect("10.0.0.2")]);
    hear(&mut cluster, 1200, "10.0.0.2", false);
    let both = [redirect("10.0.0.1"), redirect("10.0.0.2")];
    assert_eq!(outcomes(&mut cluster, 1300), both);
}
