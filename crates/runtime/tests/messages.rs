//! Messages of other VMs under more load than the control thread takes.

use greengage_agreement::Message as GroupMessage;
use greengage_cluster::scheduler::JobKey;
use greengage_cluster::Message;
use greengage_core::{NodeId, Term, VmName};
use greengage_runtime::MessagePools;

fn group() -> Message {
    let node = |name| NodeId {
        vm: VmName::new(name).unwrap(),
        folder: 0,
    };
    Message::Group {
        from: node("a"),
        to: node("b"),
        message: Box::new(GroupMessage::TimeoutNow { term: Term(1) }),
    }
}

/// Guards against reports that cost other messages their places, and the control group its leader.
#[test]
fn reports_lose_first_and_group_messages_last() {
    let pools = MessagePools::new(1 << 20);
    let job = JobKey {
        host: "h".into(),
        path: "/j".into(),
    };
    let other = Message::Cancelled { job, held: true };
    let fill = |message: &Message| -> Vec<_> {
        std::iter::from_fn(|| pools.admit(message, 1000)).collect()
    };
    let reports = fill(&Message::Reports(Vec::new()));
    let others = fill(&other);
    assert!(reports.len() > 50 && others.len() > reports.len());
    assert!(fill(&group()).len() > 50);
}

/// Guards against a configuration that a loaded VM with little memory never takes.
#[test]
fn a_large_group_message_is_taken() {
    let pools = MessagePools::new(7_500_000);
    assert!(pools.admit(&group(), 16 << 20).is_some());
    assert!(pools
        .admit(&Message::Reports(Vec::new()), 16 << 20)
        .is_none());
}
