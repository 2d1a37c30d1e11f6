//! The control thread: waits for an event or a deadline, steps the state machine and passes its
//! effects to the traffic threads.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{self, JoinHandle};

use crossbeam_channel::{select, Receiver, Sender};
use greengage_control::call::Call;
use greengage_control::{Control, Effect, Envelope, Event, GroupSave};
use greengage_core::{RequestId, VmName};

use crate::clock::Clock;
use crate::node::PanicGuard;

/// The channels to the threads that execute effects.
pub(crate) struct EffectChannels {
    pub(crate) replies: Sender<(RequestId, greengage_control::api::Reply)>,
    pub(crate) peers: Sender<(VmName, Envelope)>,
    pub(crate) saves: Option<Sender<GroupSave>>,
    pub(crate) calls: Sender<(u64, Call)>,
    pub(crate) drained: Sender<()>,
    /// Number of requests without a reply, reported at shutdown.
    pub(crate) pending: Arc<AtomicUsize>,
}

/// Starts the control thread; it ends when the channel `stop_signal` is closed. Closing `events`
/// can't end it, because threads that the control thread feeds hold senders of that channel.
pub(crate) fn start(
    mut control: Control,
    clock: Clock,
    events: Receiver<Event>,
    stop_signal: Receiver<()>,
    channels: EffectChannels,
    guard: PanicGuard,
) -> std::io::Result<JoinHandle<()>> {
    thread::Builder::new()
        .name("control".to_string())
        .spawn(move || {
            let _guard = guard;
            loop {
                let timeout = clock.time_until(control.next_wake());
                let event = select! {
                    recv(events) -> event => match event {
                        Ok(event) => event,
                        Err(_) => return,
                    },
                    recv(stop_signal) -> _ => return,
                    default(timeout) => Event::Tick,
                };
                if matches!(event, Event::DiskFailed) {
                    log::error!(
                        "the disk failed: this VM no longer votes or leads; replace the disk"
                    );
                }
                metrics::counter!("greengage_events_total").increment(1);
                for effect in control.step(clock.now(), event) {
                    channels.send(effect);
                }
                metrics::gauge!("greengage_revision").set(control.revision().0 as f64);
                channels
                    .pending
                    .store(control.open_requests(), Ordering::Relaxed);
                metrics::gauge!("greengage_requests_waiting").set(control.open_requests() as f64);
            }
        })
}

impl EffectChannels {
    /// Sends an effect to the thread that executes it. Errors are ignored: a receiver is gone only
    /// while this VM shuts down.
    fn send(&self, effect: Effect) {
        match effect {
            Effect::Reply { id, reply } => {
                metrics::counter!("greengage_replies_total").increment(1);
                let _ = self.replies.send((id, reply));
            }
            Effect::Send { to, envelope } => {
                let kind = envelope.body.kind();
                metrics::counter!("greengage_peer_messages_total", "kind" => kind).increment(1);
                let _ = self.peers.send((to, envelope));
            }
            Effect::Save(save) => match &self.saves {
                Some(saves) => drop(saves.send(save)),
                None => log::error!("save dropped: this VM has no data folder"),
            },
            Effect::Call { token, call } => {
                let _ = self.calls.send((token, call));
            }
            Effect::Drained => drop(self.drained.send(())),
        }
    }
}

/// The event for a message from the VM `from`.
pub(crate) fn peer_event(from: VmName, envelope: Envelope) -> Event {
    Event::Peer {
        from,
        envelope: Arc::new(envelope),
    }
}
