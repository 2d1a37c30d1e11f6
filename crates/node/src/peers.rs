//! The thread that encodes messages to other VMs, and the handler of messages from them.

use std::thread::{self, JoinHandle};

use crossbeam_channel::{Receiver, Sender};
use greengage_control::{Body, Envelope, Event, LedgerMessage, PolicyMessage};
use greengage_core::VmName;
use greengage_transport as transport;
use greengage_transport::{Class, Received};

use crate::bulk::{is_part, LargeMessage, LARGE_MESSAGE_BYTES};
use crate::control::peer_event;

/// Messages larger than this use the bulk stream, so that they don't delay heartbeats.
const BULK_THRESHOLD_BYTES: usize = 64 << 10;

/// Starts the sending thread; it ends when all senders of `messages` are dropped.
pub(crate) fn start(
    messages: Receiver<(VmName, Envelope)>,
    sender: transport::Sender,
    large: Sender<(VmName, LargeMessage)>,
) -> std::io::Result<JoinHandle<()>> {
    thread::Builder::new()
        .name("peers".to_string())
        .spawn(move || {
            for (to, envelope) in messages {
                if is_snapshot(&envelope.body) {
                    let _ = large.send((to, LargeMessage::Snapshot(envelope)));
                    continue;
                }
                let bytes = greengage_wire::encode_envelope(&envelope);
                if bytes.len() >= LARGE_MESSAGE_BYTES {
                    let message = match envelope.body {
                        Body::Control { .. } | Body::Ledger { .. } => LargeMessage::Raft(bytes),
                        _ => LargeMessage::Other(bytes),
                    };
                    let _ = large.send((to, message));
                    continue;
                }
                let class = match bytes.len() > BULK_THRESHOLD_BYTES {
                    true => Class::Bulk,
                    false => stream_class(&envelope.body),
                };
                if !sender.send(&to, class, bytes) {
                    metrics::counter!("greengage_peer_drops_total").increment(1);
                    log::debug!("message to VM {to} dropped: its send queue is full or closed");
                }
            }
        })
}

fn is_snapshot(body: &Body) -> bool {
    match body {
        Body::Control { message, .. } => matches!(message, PolicyMessage::InstallSnapshot { .. }),
        Body::Ledger { message, .. } => matches!(message, LedgerMessage::InstallSnapshot { .. }),
        _ => false,
    }
}

fn stream_class(body: &Body) -> Class {
    match body {
        Body::Control { .. }
        | Body::Ledger { .. }
        | Body::Status { .. }
        | Body::Edits { .. }
        | Body::Policy { .. } => Class::Control,
        Body::Forward { .. }
        | Body::Reply { .. }
        | Body::Redirect { .. }
        | Body::Announce(_)
        | Body::Leave(_) => Class::Traffic,
    }
}

/// The transport's handler: decodes a message and passes it to the control thread, as replaced
/// connections. Parts of large messages are passed to the thread that reassembles them.
pub(crate) fn message_handler(
    events: Sender<Event>,
    parts: Sender<(VmName, Vec<u8>)>,
) -> impl FnMut(VmName, Received) + Send + 'static {
    move |from, received| {
        let bytes = match received {
            Received::Message(bytes) => bytes,
            Received::Reconnected => {
                let event = Event::Reconnected { vm: from };
                if events.try_send(event).is_err() {
                    metrics::counter!("greengage_peer_drops_total").increment(1);
                }
                return;
            }
        };
        if is_part(&bytes) {
            let _ = parts.send((from, bytes));
            return;
        }
        match greengage_wire::decode_envelope(&bytes) {
            Ok(envelope) => {
                if events.try_send(peer_event(from, envelope)).is_err() {
                    metrics::counter!("greengage_peer_drops_total").increment(1);
                }
            }
            Err(error) => log::warn!("message from VM {from} dropped: {error}"),
        }
    }
}
