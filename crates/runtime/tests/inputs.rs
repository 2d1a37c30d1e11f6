//! The order in which the control thread takes its inputs.

use std::time::Duration;

use crossbeam_channel::RecvTimeoutError;
use greengage_cluster::distribution::DistributionMessage;
use greengage_cluster::gossip::{GossipMessage, Stamp};
use greengage_cluster::{scheduler, Event, Message, Versions};
use greengage_config::{EvacuationAction, EvacuationOrder, Evacuations};
use greengage_core::{Incarnation, RequestId, Time, Version, VmName, WallTime, ZoneName};
use greengage_runtime::{inputs, is_urgent, Input};

fn receive(message: Message) -> Input {
    let stamp = Stamp {
        incarnation: Incarnation(1),
        sent: Time::default(),
        echo: None,
    };
    Input::Event(Event::Receive {
        from: VmName::new("v").unwrap(),
        stamp,
        message,
    })
}

fn scheduler_input(event: scheduler::Event) -> Input {
    Input::Event(Event::Scheduler(event))
}

fn evacuate(request: RequestId) -> Input {
    Input::Event(Event::Evacuate {
        request,
        order: EvacuationOrder {
            zone: ZoneName::new("a").unwrap(),
            action: EvacuationAction::Start,
            received: WallTime(1),
        },
        received: Time::default(),
    })
}

/// Inputs that don't wait behind others.
fn urgent_inputs() -> Vec<Input> {
    let offer = Message::Configuration(DistributionMessage::Offer(Version(2)));
    let heartbeat = Message::Gossip(GossipMessage::Members(Vec::new()), Versions::default());
    let until = Time::from_millis(1);
    let zones = Message::Evacuations(Evacuations::default());
    vec![
        receive(offer),
        receive(zones),
        receive(heartbeat),
        scheduler_input(scheduler::Event::CallerGone(RequestId(1))),
        scheduler_input(scheduler::Event::CallersChecked { until }),
        evacuate(RequestId(2)),
        Input::Event(Event::OperatorGone(RequestId(2))),
    ]
}

/// Guards against a configuration that is late, a VM that counts as lost, an order that is refused, and a
/// job that goes on after its caller has left, because an input waits behind the requests of callers.
#[test]
fn configuration_heartbeats_and_departures_do_not_wait_behind_other_inputs() {
    let (sender, inputs) = inputs();
    for request in 0..1000 {
        let input = Input::Event(Event::Get(RequestId(request)));
        sender.send(input).unwrap();
    }
    assert!(!is_urgent(&receive(Message::Reports(Vec::new()))));
    let count = urgent_inputs().len();
    for input in urgent_inputs() {
        assert!(is_urgent(&input), "{input:?}");
        sender.send(input).unwrap();
    }
    assert_eq!(inputs.len(), 1000 + count);
    for expected in urgent_inputs() {
        let input = inputs.recv_timeout(Duration::ZERO).unwrap();
        assert_eq!(format!("{input:?}"), format!("{expected:?}"));
    }
    let next = inputs.recv_timeout(Duration::ZERO).unwrap();
    assert!(
        matches!(next, Input::Event(Event::Get(RequestId(0)))),
        "{next:?}"
    );
}

/// Guards against a control thread that runs on after its channels were closed.
#[test]
fn closed_channels_end_the_inputs() {
    let (sender, inputs) = inputs();
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
