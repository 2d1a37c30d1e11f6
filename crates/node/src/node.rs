//! Start and shutdown of the threads of one VM.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crossbeam_channel::{bounded, unbounded, Receiver, Sender};
use greengage_control::{Control, Event};
use greengage_core::Incarnation;
use greengage_http::admin::{self, AdminListener};
use greengage_http::target::Client;
use greengage_http::{front, target, CallerListener};
use greengage_journal::{Journal, RealDisk};
use greengage_transport as transport;
use greengage_transport::keys::Keys;
use greengage_transport::Transport;

use crate::bulk;
use crate::clock::{unix_millis, Clock};
use crate::control::{self, EffectChannels};
use crate::disk;
use crate::error::NodeError;
use crate::peers;
use crate::settings::Settings;

/// Capacity of the event queue; when it is full, requests are refused and peers' messages dropped.
const EVENT_QUEUE_CAPACITY: usize = 65_536;

/// Limit on the delivery of the last responses of each listener before the process exits.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// The threads of a running VM.
pub struct Node {
    events: Sender<Event>,
    shutdown_rx: Receiver<ShutdownEvent>,
    shutdown_tx: Sender<ShutdownEvent>,
    front: CallerListener,
    admin: AdminListener,
    transport: Transport,
    client: Client,
    /// Dropping it ends the control thread, and with it every thread that it feeds.
    stop_guard: Sender<()>,
    threads: Vec<JoinHandle<()>>,
    drain_limit: Duration,
    pending: Arc<AtomicUsize>,
}

/// A step of the shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ShutdownEvent {
    /// Draining is complete: nothing is in flight any more.
    Drained,
    /// The VM shall end without draining.
    Abort,
    /// Draining has started.
    Draining,
    /// The control thread has panicked.
    Failed,
}

/// Reports a panic of the thread that owns it.
pub(crate) struct PanicGuard(Sender<ShutdownEvent>);

impl Drop for PanicGuard {
    fn drop(&mut self) {
        if std::thread::panicking() {
            let _ = self.0.send(ShutdownEvent::Failed);
        }
    }
}

/// Shuts down a running VM from another thread.
#[derive(Clone)]
pub struct ShutdownHandle {
    events: Sender<Event>,
    shutdown_tx: Sender<ShutdownEvent>,
}

impl ShutdownHandle {
    /// Ends the VM once nothing is in flight any more, at the latest after its drain limit.
    pub fn drain(&self) {
        let _ = self.events.send(Event::Drain);
        let _ = self.shutdown_tx.send(ShutdownEvent::Draining);
    }

    /// Ends the VM without draining.
    pub fn abort(&self) {
        let _ = self.shutdown_tx.send(ShutdownEvent::Abort);
    }
}

/// Initializes the data folder of a VM of a new deployment.
pub fn prepare_data_folder(settings: &Settings) -> Result<(), NodeError> {
    settings.own_entry()?;
    let folder = settings
        .data_folder
        .as_ref()
        .ok_or(NodeError::MissingDataFolder)?;
    greengage_journal::init(&RealDisk, folder, &settings.vm)?;
    Ok(())
}

/// Validates settings, keys and the data folder without starting or changing anything.
pub fn check_settings(settings: &Settings) -> Result<(), NodeError> {
    settings.own_entry()?;
    let folder = settings.data_folder.as_ref().map(|_| 0);
    settings.site(folder, Incarnation(0), 0).verify()?;
    load_keys(settings)?;
    if let Some(folder) = &settings.data_folder {
        greengage_journal::check(&RealDisk, folder, &settings.vm)?;
    }
    Ok(())
}

fn load_keys(settings: &Settings) -> Result<Keys, NodeError> {
    let load = || {
        let keys = Keys::load(&settings.keys_folder)?;
        keys.check(&settings.vm)?;
        Ok(keys)
    };
    load().map_err(|error| NodeError::Keys {
        folder: settings.keys_folder.clone(),
        error,
    })
}

impl Node {
    /// Starts a VM.
    pub fn start(settings: Settings) -> Result<Node, NodeError> {
        check_settings(&settings)?;
        let clock = Clock::start();
        let seed = rand::random();
        let data = disk::open(&settings, seed)?;
        let incarnation = Incarnation(unix_millis());
        let site = settings.site(data.id, incarnation, seed);
        site.verify()?;
        let control = Control::new(site, data.durable, clock.now());
        Node::start_threads(settings, clock, control, data.journal)
    }

    fn start_threads(
        settings: Settings,
        clock: Clock,
        control: Control,
        journal: Option<Journal>,
    ) -> Result<Node, NodeError> {
        let (events, event_rx) = bounded(EVENT_QUEUE_CAPACITY);
        let (replies, reply_rx) = unbounded();
        let (messages, message_rx) = unbounded();
        let (calls, call_rx) = unbounded();
        let (large, large_rx) = unbounded();
        let (parts, part_rx) = unbounded();
        let (drained, drained_rx) = unbounded();
        let (shutdown_tx, shutdown_rx) = unbounded();
        let (stop_guard, stop_signal) = bounded(0);
        let mut threads = Vec::new();

        let transport = transport::start(
            transport::Settings {
                vm: settings.vm.clone(),
                listen: settings.own_entry()?.peer,
                peers: settings.peers(),
                keys: load_keys(&settings)?,
                idle_timeout: transport::DEFAULT_IDLE_TIMEOUT,
                queue_bytes: transport::DEFAULT_QUEUE_BYTES,
            },
            peers::message_handler(events.clone(), parts),
        )?;
        threads.push(bulk::start_receiving(part_rx, events.clone())?);
        threads.push(bulk::start_sending(large_rx, transport.sender())?);
        threads.push(peers::start(message_rx, transport.sender(), large)?);

        let saves = match journal {
            Some(journal) => {
                let (saves, save_rx) = unbounded();
                threads.push(disk::start(journal, save_rx, events.clone())?);
                Some(saves)
            }
            None => None,
        };

        let call_events = events.clone();
        let client_settings = target::Settings {
            max_threads: settings.max_calls,
            // The dispatcher limits the tasks started at each target; a lower limit here would make
            // a started task wait for a connection.
            max_per_target: settings.max_calls,
            ..target::Settings::default()
        };
        let client = Client::start(client_settings, call_rx, move |token, event| {
            let _ = call_events.send(Event::CallEnded {
                token,
                result: event,
            });
        })?;

        let pending = Arc::new(AtomicUsize::new(0));
        let front = front::start(
            front::Settings {
                listen: settings.http,
                vm: settings.vm.clone(),
                limits: front::Limits::default(),
            },
            request_sender(events.clone()),
        )
        .map_err(|error| NodeError::Http {
            flag: "--http",
            error,
        })?;
        let admin = admin::start(
            admin::Settings::new(settings.admin, settings.vm.clone()),
            request_sender(events.clone()),
            metrics_text(),
        )
        .map_err(|error| NodeError::Http {
            flag: "--admin",
            error,
        })?;
        let route_reply = {
            let callers = front.replies();
            let operators = admin.replies();
            move |id, reply| match front::is_caller(id) {
                true => callers.reply(id, reply),
                false => operators.reply(id, reply),
            }
        };
        threads.push(spawn_thread("replies", move || {
            for (id, reply) in reply_rx {
                route_reply(id, reply);
            }
        })?);
        let drained_tx = shutdown_tx.clone();
        threads.push(spawn_thread("drained", move || {
            for () in drained_rx {
                let _ = drained_tx.send(ShutdownEvent::Drained);
            }
        })?);
        let channels = EffectChannels {
            replies,
            peers: messages,
            saves,
            calls,
            drained,
            pending: pending.clone(),
        };
        threads.push(control::start(
            control,
            clock,
            event_rx,
            stop_signal,
            channels,
            PanicGuard(shutdown_tx.clone()),
        )?);
        Ok(Node {
            events,
            shutdown_rx,
            shutdown_tx,
            front,
            admin,
            transport,
            client,
            stop_guard,
            threads,
            drain_limit: settings.drain_limit,
            pending,
        })
    }

    /// The bound address for callers and targets; port 0 is replaced by the chosen port.
    pub fn http_address(&self) -> SocketAddr {
        self.front.address()
    }

    /// The bound address for operators; port 0 is replaced by the chosen port.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// A handle to shut down the VM from another thread.
    pub fn shutdown_handle(&self) -> ShutdownHandle {
        ShutdownHandle {
            events: self.events.clone(),
            shutdown_tx: self.shutdown_tx.clone(),
        }
    }

    /// Blocks until the VM has ended; returns the number of requests that got no reply. Fails if the
    /// control thread has panicked; the outcome of the requests under way is then unknown.
    pub fn wait(self) -> Result<usize, NodeError> {
        let mut deadline: Option<Instant> = None;
        loop {
            let event = match deadline {
                None => self.shutdown_rx.recv().ok(),
                Some(deadline) => self.shutdown_rx.recv_deadline(deadline).ok(),
            };
            match event {
                Some(ShutdownEvent::Draining) => {
                    deadline.get_or_insert_with(|| Instant::now() + self.drain_limit);
                }
                Some(ShutdownEvent::Drained | ShutdownEvent::Abort) => return Ok(self.shut_down()),
                Some(ShutdownEvent::Failed) => {
                    log::error!("the control thread panicked; ending with work in flight");
                    self.shut_down();
                    return Err(NodeError::ControlPanicked);
                }
                None => {
                    log::warn!(
                        "drain limit of {:?} reached; ending with work in flight",
                        self.drain_limit
                    );
                    return Ok(self.shut_down());
                }
            }
        }
    }

    fn shut_down(mut self) -> usize {
        let unanswered = self.pending.load(Ordering::Relaxed);
        self.front.close();
        self.admin.close();
        drop(self.stop_guard);
        self.front.shut_down(RESPONSE_TIMEOUT);
        self.admin.shut_down(RESPONSE_TIMEOUT);
        drop(self.front);
        drop(self.admin);
        drop(self.transport);
        drop(self.client);
        for thread in self.threads {
            if thread.join().is_err() {
                log::error!("a thread of this VM panicked");
            }
        }
        unanswered
    }
}

fn request_sender(
    events: Sender<Event>,
) -> impl Fn(greengage_core::RequestId, Duration, greengage_control::api::Request) -> bool
       + Send
       + Sync
       + 'static {
    move |id, wait, request| {
        events
            .try_send(Event::Request { id, wait, request })
            .is_ok()
    }
}

fn spawn_thread(
    name: &str,
    run: impl FnOnce() + Send + 'static,
) -> std::io::Result<JoinHandle<()>> {
    std::thread::Builder::new()
        .name(name.to_string())
        .spawn(run)
}

/// Renders the metrics of this process. The recorder is installed once per process, so VMs in the
/// same process share it.
fn metrics_text() -> impl Fn() -> String + Send + Sync + 'static {
    use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
    use std::sync::OnceLock;
    static HANDLE: OnceLock<Option<PrometheusHandle>> = OnceLock::new();
    let handle = HANDLE.get_or_init(|| match PrometheusBuilder::new().install_recorder() {
        Ok(handle) => Some(handle),
        Err(error) => {
            log::warn!("metrics are not available: cannot install the recorder: {error}");
            None
        }
    });
    move || {
        handle
            .as_ref()
            .map_or_else(String::new, PrometheusHandle::render)
    }
}
