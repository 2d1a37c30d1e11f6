//! The loop of the control thread, which feeds inputs to the cluster state and applies its effects.

use std::fmt;
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::Duration;

use crossbeam_channel::RecvTimeoutError;
use eyre::{eyre, Report};
use greengage_agreement::Timing;
use greengage_cluster::{
    gossip, scheduler, Cluster, Effect, Event, Hints, Message, Outcome, Setup, Stage, Status,
};
use greengage_config as config;
use greengage_core::{Address, Incarnation, RequestId, TargetName, Time};
use greengage_mesh as mesh;
use greengage_mesh::Mesh;
use greengage_wire::{decode, encode};

use crate::clock::Clock;
use crate::disk;
use crate::disk::SaveRequest;
use crate::inputs::{Input, InputSender, Inputs};
use crate::messages::MessagePools;
use crate::metrics::{record_queued_inputs, record_refusals, record_shed, record_status};
use crate::settings::Settings;

/// Raft timing of the control group. A sync takes 9 ms and a control VM has half a core, so more
/// frequent heartbeats are not needed; a lost leader is replaced within a second.
const TIMING: Timing = Timing {
    heartbeat_interval: Duration::from_millis(90),
    min_election_timeout: Duration::from_millis(400),
    pre_vote: true,
};

/// Maximum number of events that are processed between two checks of the VM's status.
const MAX_BATCH_EVENTS: usize = 256;

/// Interval between attempts to open the data folder after a disk failure.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);

/// Answers callers and calls targets. Its methods run on the control thread and must not block.
pub trait Frontend {
    /// Answers the caller of a request.
    fn answer(&mut self, request: RequestId, outcome: Outcome);
    /// Calls a target; the outcome arrives as an event.
    fn call(
        &mut self,
        target: TargetName,
        address: Address,
        generation: u64,
        call: scheduler::TargetCall,
    );
    /// Whether the caller of a request still waits for its answer.
    fn is_waiting(&self, request: RequestId) -> bool;
    /// Reports a change of this VM's status.
    fn status_changed(&mut self, status: &Status);
}

/// The initial state of this VM's member of the control group.
fn group_setup(settings: &Settings, folder: &mut disk::DataFolder, now: Time) -> config::Setup {
    config::Setup {
        node: folder.node.clone(),
        recovered: std::mem::take(&mut folder.restored),
        timing: TIMING,
        voters: settings.voter_count,
        seed: rand::random(),
        now,
    }
}

/// Sends a request to the disk thread.
type SaveFn = Box<dyn FnMut(SaveRequest<'_>)>;

/// Discards saves, for VMs without a data folder and after a disk failure.
fn discard_saves() -> SaveFn {
    Box::new(|_| {})
}

fn cluster_setup(
    settings: &Settings,
    folder: Option<&mut disk::DataFolder>,
    clock: Clock,
) -> Result<Setup, Report> {
    let now = clock.now();
    let node = folder.as_ref().map(|folder| folder.node.clone());
    let member = gossip::Member {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        address: Address::new(&settings.mesh_address.to_string())?,
        api: settings.api_address.clone(),
        incarnation: Incarnation(clock.wall().0),
        roles: gossip::Roles {
            entry: settings.entry,
            control: node.is_some(),
        },
        folder_id: node.as_ref().map(|node| node.folder),
        leaving: false,
    };
    let mut hints = Hints::default();
    let group = folder.map(|folder| {
        hints = std::mem::take(&mut folder.hints);
        group_setup(settings, folder, now)
    });
    let candidate = scheduler::Candidate {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        weight: scheduler::DEFAULT_WEIGHT,
    };
    let scheduler = settings.entry.then_some(scheduler::Setup {
        candidate,
        incarnation: member.incarnation,
        stop_limit: settings.stop_delay,
        report_interval: settings.report_interval,
    });
    Ok(Setup {
        member,
        seeds: settings.seeds.clone(),
        timing: gossip::Timing::default(),
        group,
        scheduler,
        report_memory: settings.shares.reports,
        hints,
        grace_period: settings.grace_period,
    })
}

/// The end of a VM's control thread.
#[derive(Clone, Debug, Default)]
pub struct Exit {
    /// Time until the grace period is over.
    pub time_left: Duration,
    /// Paths of the jobs that have ended with an unknown outcome since the shutdown began.
    pub unfinished: Vec<Arc<str>>,
}

/// Why [`run`] ended, if its control thread has panicked.
#[derive(Debug)]
pub struct ControlPanicked;

impl fmt::Display for ControlPanicked {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the control thread panicked")
    }
}

impl std::error::Error for ControlPanicked {}

/// Runs a VM until it has shut down. `sender` and `inputs` are from one call of [`inputs()`]. All
/// requests whose events were taken from it are answered before the function returns; the requests
/// of events that remain in it have had no effect, but their jobs may have run for an earlier
/// request if they are in `Exit::unfinished`. After a panic the error is a
/// [`ControlPanicked`], and the outcome of all unanswered requests is unknown.
pub fn run(
    settings: &Settings,
    sender: InputSender,
    inputs: &Inputs,
    frontend: &mut dyn Frontend,
) -> Result<Exit, Report> {
    // The state that a panic leaves behind is not used any more.
    let control = AssertUnwindSafe(|| run_control(settings, sender, inputs, frontend));
    catch_unwind(control).unwrap_or_else(|_| {
        log::error!(event = "control-panicked"; "the control thread panicked");
        Err(ControlPanicked.into())
    })
}

fn run_control(
    settings: &Settings,
    sender: InputSender,
    inputs: &Inputs,
    frontend: &mut dyn Frontend,
) -> Result<Exit, Report> {
    let clock = Clock;
    let mut folder = disk::open(settings, rand::random())?;
    let setup = cluster_setup(settings, folder.as_mut(), clock)?;
    let (targets, vms) = (setup.hints.targets.len(), setup.hints.vms.len());
    let mut save: SaveFn = match folder {
        Some(folder) => Box::new(disk::start_writer(folder.journal, sender.clone())?),
        None => discard_saves(),
    };
    let disk_sender = sender.clone();
    let mut reopen_at: Option<Time> = None;
    let shares = &settings.shares;
    let limits = mesh::Limits {
        connections: shares.peer_connections,
        buffered_bytes: shares.messages,
        message_bytes: shares.message,
    };
    let pools = MessagePools::new(shares.messages);
    let mesh = Mesh::start(
        settings.vm.clone(),
        settings.listen_address,
        limits,
        move |from, bytes| {
            match decode::<(gossip::Stamp, Message)>(&bytes) {
                Ok((stamp, message)) => {
                    let Some(charge) = pools.admit(&message, bytes.len()) else {
                        return record_shed("messages");
                    };
                    let event = Event::Receive {
                        from,
                        stamp,
                        message,
                    };
                    // The send fails only while the process exits, after this loop has ended.
                    let _ = sender.send(Input::Message(event, charge));
                }
                Err(error) => log::warn!(event = "message-unreadable", from = from.as_str(),
                    cause = error.to_string().as_str(); "cannot decode a message of another VM"),
            }
        },
    )?;
    let mut cluster = Cluster::new(clock.now(), setup);
    log::info!(event = "started", vm = settings.vm.as_str(), zone = settings.zone.as_str(),
        entry = settings.entry, seeds = settings.seeds.len(), first = settings.bootstrap,
        targets = targets, vms = vms; "the VM has started");
    let mut reported: Option<Status> = None;
    loop {
        if reopen_at.is_some_and(|at| clock.now() >= at) {
            reopen_at = match reopen_folder(settings, &disk_sender, clock) {
                Ok((opened, setup)) => {
                    save = opened;
                    let effects = cluster.restore_group(clock.now(), clock.wall(), setup);
                    apply_effects(effects, &mesh, &mut *save, frontend);
                    None
                }
                Err(error) => {
                    log::info!(event = "disk-unusable", cause = format!("{error:#}").as_str();
                        "cannot open the data folder; retrying");
                    Some(clock.now() + REOPEN_INTERVAL)
                }
            };
        }
        let status = cluster.status(clock.now());
        if status.stage == Stage::Done {
            let effects = cluster.answer_all(clock.now(), clock.wall());
            apply_effects(effects, &mesh, &mut *save, frontend);
            log::info!(event = "stopped", callers = status.callers; "the VM has shut down");
            // Sends the last messages to other VMs.
            drop(mesh);
            return Ok(Exit {
                time_left: cluster.time_left(clock.now()).unwrap_or_default(),
                unfinished: cluster.unfinished_jobs(),
            });
        }
        if reported != Some(status) {
            if reported.is_some_and(|last| last.stage != status.stage) {
                log::info!(event = "shutdown-stage", stage:? = status.stage,
                    callers = status.callers, owned = status.owned, leads = status.is_leader;
                    "the stage of the shutdown changed");
            }
            record_status(&status);
            frontend.status_changed(&status);
            reported = Some(status);
        }
        if let Some(refusals) = cluster.changed_refusals() {
            record_refusals(refusals);
        }
        record_queued_inputs(inputs.len());
        for _ in 0..MAX_BATCH_EVENTS {
            let timeout = cluster.next_wake().since(clock.now());
            let event = match inputs.recv_timeout(timeout) {
                Ok(Input::Event(event) | Input::Message(event, _)) => event,
                Ok(Input::DiskFailed(cause)) => {
                    if reopen_at.is_none() {
                        log::warn!(event = "disk-failed", cause = cause.as_str();
                            "a disk write failed; leaving the control group");
                        let effects = cluster.drop_group(clock.now(), clock.wall());
                        apply_effects(effects, &mesh, &mut *save, frontend);
                        save = discard_saves();
                        reopen_at = Some(clock.now() + REOPEN_INTERVAL);
                    }
                    break;
                }
                Err(RecvTimeoutError::Timeout) => Event::Tick,
                Err(RecvTimeoutError::Disconnected) => return Ok(Exit::default()),
            };
            if let Some(request) = abandoned_request(&event, frontend) {
                log::info!(event = "job-abandoned", request = request.0;
                    "dropped a job whose caller has left before it was taken");
                continue;
            }
            let is_tick = matches!(event, Event::Tick);
            let effects = cluster.step(clock.now(), clock.wall(), event);
            apply_effects(effects, &mesh, &mut *save, frontend);
            if is_tick {
                break;
            }
            if clock.now() >= cluster.next_wake() {
                let effects = cluster.step(clock.now(), clock.wall(), Event::Tick);
                apply_effects(effects, &mesh, &mut *save, frontend);
                break;
            }
        }
    }
}

/// The request of a submission whose caller has left while it waited for the control thread. The
/// notice that the caller has left may have come before it.
fn abandoned_request(event: &Event, frontend: &dyn Frontend) -> Option<RequestId> {
    match event {
        Event::Scheduler(scheduler::Event::Submit(job)) => {
            Some(job.request).filter(|request| !frontend.is_waiting(*request))
        }
        _ => None,
    }
}

/// Opens the data folder again, for a member of the control group with the state recovered from it.
/// State that was not durable is lost, as after a restart.
fn reopen_folder(
    settings: &Settings,
    sender: &InputSender,
    clock: Clock,
) -> Result<(SaveFn, config::Setup), Report> {
    let folder = disk::open(settings, rand::random())?;
    let mut folder = folder.ok_or_else(|| eyre!("this VM has no data folder"))?;
    if folder.journal.is_stopped() {
        return Err(eyre!("the disk still refuses writes"));
    }
    let setup = group_setup(settings, &mut folder, clock.now());
    let node = folder.node.to_string();
    let save = disk::start_writer(folder.journal, sender.clone())?;
    log::info!(event = "disk-usable", node = node.as_str(); "reopened the data folder");
    Ok((Box::new(save), setup))
}

/// Parses the address that a VM has announced; `None` if it is invalid, which is logged.
fn socket_address(address: &Address) -> Option<SocketAddr> {
    let parsed = address.as_str().parse();
    if parsed.is_err() {
        log::warn!(event = "address-unusable", address = address.as_str();
            "invalid address of a VM: expected IP:PORT");
    }
    parsed.ok()
}

fn apply_effects(
    effects: Vec<Effect>,
    mesh: &Mesh,
    save: &mut dyn FnMut(SaveRequest<'_>),
    frontend: &mut dyn Frontend,
) {
    for effect in effects {
        match effect {
            Effect::Send { to, stamp, message } => {
                if let Some(address) = socket_address(&to) {
                    mesh.send(address, encode(&(stamp, message)));
                }
            }
            Effect::Reconnect(to) => {
                if let Some(address) = socket_address(&to) {
                    mesh.reconnect(address);
                }
            }
            Effect::Save(group) => save(SaveRequest::Group(&group)),
            Effect::Store(hints) => save(SaveRequest::Hints(&hints)),
            Effect::Answer { request, outcome } => frontend.answer(request, outcome),
            Effect::Call {
                target,
                address,
                generation,
                call,
            } => frontend.call(target, address, generation, call),
        }
    }
}
