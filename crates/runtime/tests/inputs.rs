//! The order in which the control thread takes its inputs.

use std::time::Duration;

use crossbeam_channel::{unbounded, RecvTimeoutError};
use greengage_cluster::distribution::DistributionMessage;
use greengage_cluster::gossip::GossipMessage;
use greengage_cluster::{Event, Message};
use greengage_core::{RequestId, Version};
use greengage_runtime::{is_urgent, Input, Inputs};

/// Guards against a configuration that is late, and a VM that counts as lost, because a message waits
/// behind the requests of callers.
#[test]
fn configuration_and_heartbeats_do_not_wait_behind_other_inputs() {
    let (urgent_sender, urgent) = unbounded();
    let (sender, others) = unbounded();
    let inputs = Inputs {
        urgent,
        others: &others,
    };
    for request in 0..1000 {
        sender
            .send(Input::Event(Event::Get(RequestId(request))))
            .unwrap();
    }
    let offer = Message::Configuration(DistributionMessage::Offer(Version(2)));
    assert!(is_urgent(&offer));
    let heartbeat = Message::Gossip(GossipMessage::Members(Vec::new()), None);
    assert!(is_urgent(&heartbeat));
    assert!(!is_urgent(&Message::Reports(Vec::new())));
    urgent_sender
        .send(Input::DiskFailed("urgent".into()))
        .unwrap();
    let first = inputs.recv_timeout(Duration::ZERO).unwrap();
    assert!(matches!(first, Input::DiskFailed(_)), "{first:?}");
    assert_eq!(inputs.len(), 1000);
    let second = inputs.recv_timeout(Duration::ZERO).unwrap();
    assert!(
        matches!(second, Input::Event(Event::Get(RequestId(0)))),
        "{second:?}"
    );
}

/// Guards against a control thread that runs on after its channel was closed.
#[test]
fn closed_channel_ends_the_inputs() {
    let (_urgent_sender, urgent) = unbounded();
    let (sender, others) = unbounded();
    let inputs = Inputs {
        urgent,
        others: &others,
    };
    let timeout = Duration::from_millis(1);
    assert!(matches!(
        inputs.recv_timeout(timeout),
        Err(RecvTimeoutError::Timeout)
    ));
    drop(sender);
    assert!(matches!(
        inputs.recv_timeout(timeout),
        Err(RecvTimeoutError::Disconnected)
    ));
}
