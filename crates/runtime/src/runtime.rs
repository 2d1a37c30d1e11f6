//! The control thread.

use std::net::SocketAddr;
use std::time::Duration;

use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use eyre::{eyre, Report};
use greengage_agreement::Timing;
use greengage_cluster::{
    gossip, scheduler, Cluster, Effect, Event, Hints, Message, Outcome, Setup, Stage, Standing,
};
use greengage_config as config;
use greengage_core::{Address, Incarnation, RequestId, TargetName, Time};
use greengage_mesh::Mesh;
use greengage_wire::{decode, encode};

use crate::clock::Clock;
use crate::disk;
use crate::disk::SaveRequest;
use crate::metrics::record_standing;
use crate::settings::Settings;

/// Time limits of the control group. A sync takes 9 ms, and a control VM has half a core, so
/// heartbeats need not be closer; a leader that is lost is replaced within a second.
const TIMING: Timing = Timing {
    heartbeat: Duration::from_millis(90),
    election: Duration::from_millis(400),
    pre_vote: true,
};

/// Events that are taken before standing is reported again.
const MAX_BATCH_EVENTS: usize = 256;

/// Time between two attempts to open the data folder of a disk that has failed.
const REOPEN_INTERVAL: Duration = Duration::from_millis(500);

/// What reaches the control thread.
#[derive(Debug)]
pub enum Input {
    /// An event.
    Event(Event),
    /// The disk takes no more writes.
    DiskFailed(String),
}

/// What speaks to callers and targets.
pub trait Frontend {
    /// Answers a caller.
    fn answer(&mut self, request: RequestId, outcome: Outcome);
    /// Calls a target.
    fn call(
        &mut self,
        target: TargetName,
        address: Address,
        generation: u64,
        call: scheduler::TargetCall,
    );
    /// Takes note of this VM's standing.
    fn standing_changed(&mut self, standing: &Standing);
}

/// What this VM's part in the control group starts from.
fn group_setup(settings: &Settings, folder: &mut disk::DataFolder, now: Time) -> config::Setup {
    config::Setup {
        node: folder.node.clone(),
        restored: std::mem::take(&mut folder.restored),
        timing: TIMING,
        voters: settings.voter_count,
        seed: rand::random(),
        now,
    }
}

/// The way to the disk.
type SaveFn = Box<dyn FnMut(SaveRequest<'_>)>;

/// What becomes of saves while there is no disk.
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
        life: Incarnation(clock.wall().0),
        roles: gossip::Roles {
            entry: settings.entry,
            control: node.is_some(),
        },
        folder: node.as_ref().map(|node| node.folder),
        leaving: false,
    };
    let mut hints = Hints::default();
    let group = folder.map(|folder| {
        hints = std::mem::take(&mut folder.hints);
        group_setup(settings, folder, now)
    });
    let own = scheduler::Candidate {
        vm: settings.vm.clone(),
        zone: settings.zone.clone(),
        weight: scheduler::USUAL_WEIGHT,
    };
    let scheduler = settings.entry.then_some(scheduler::Setup {
        own,
        life: member.life,
        stop: settings.stop_delay,
    });
    Ok(Setup {
        member,
        seeds: settings.seeds.clone(),
        timing: gossip::Timing::default(),
        group,
        scheduler,
        hints,
        grace: settings.grace_period,
    })
}

/// Runs a VM until it has shut down. `inputs` are what arrives at `inbox`.
pub fn run(
    settings: &Settings,
    sender: Sender<Input>,
    inputs: &Receiver<Input>,
    frontend: &mut dyn Frontend,
) -> Result<(), Report> {
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
    let mesh = Mesh::start(
        settings.vm.clone(),
        settings.listen_address,
        move |from, bytes| {
            match decode::<Message>(&bytes) {
                Ok(message) => {
                    // The control thread is gone only when the process ends.
                    let _ = sender.send(Input::Event(Event::Receive { from, message }));
                }
                Err(error) => log::warn!(event = "message-unreadable", from = from.as_str(),
                cause = error.to_string().as_str(); "a message of a VM can't be read"),
            }
        },
    )?;
    let mut cluster = Cluster::new(clock.now(), setup);
    log::info!(event = "started", vm = settings.vm.as_str(), zone = settings.zone.as_str(),
        entry = settings.entry, seeds = settings.seeds.len(), first = settings.bootstrap,
        targets = targets, vms = vms; "the VM has started");
    let mut reported = None;
    loop {
        if reopen_at.is_some_and(|at| clock.now() >= at) {
            reopen_at = match reopen_folder(settings, &disk_sender, &mut cluster, clock) {
                Ok(opened) => {
                    save = opened;
                    None
                }
                Err(error) => {
                    log::info!(event = "disk-unusable", cause = format!("{error:#}").as_str();
                        "the data folder can't be opened yet");
                    Some(clock.now() + REOPEN_INTERVAL)
                }
            };
        }
        let standing = cluster.standing(clock.now());
        if standing.stage == Stage::Done {
            log::info!(event = "stopped", callers = standing.callers; "the VM has shut down");
            return Ok(());
        }
        if reported != Some(standing) {
            record_standing(&standing);
            frontend.standing_changed(&standing);
            reported = Some(standing);
        }
        for _ in 0..MAX_BATCH_EVENTS {
            let timeout = cluster.wake().since(clock.now());
            let event = match inputs.recv_timeout(timeout) {
                Ok(Input::Event(event)) => event,
                Ok(Input::DiskFailed(cause)) => {
                    if reopen_at.is_none() {
                        log::warn!(event = "disk-failed", cause = cause.as_str();
                            "the disk takes no more writes; leaving the control group");
                        let effects = cluster.lose_group(clock.now(), clock.wall());
                        apply_effects(effects, &mesh, &mut *save, frontend);
                        save = discard_saves();
                        reopen_at = Some(clock.now() + REOPEN_INTERVAL);
                    }
                    break;
                }
                Err(RecvTimeoutError::Timeout) => Event::Tick,
                Err(RecvTimeoutError::Disconnected) => return Ok(()),
            };
            let is_tick = matches!(event, Event::Tick);
            let effects = cluster.step(clock.now(), clock.wall(), event);
            apply_effects(effects, &mesh, &mut *save, frontend);
            if is_tick {
                break;
            }
            if clock.now() >= cluster.wake() {
                let effects = cluster.step(clock.now(), clock.wall(), Event::Tick);
                apply_effects(effects, &mesh, &mut *save, frontend);
                break;
            }
        }
    }
}

/// Opens the data folder again and takes part in the control group from what it holds. What was
/// not durable is forgotten, as after a restart.
fn reopen_folder(
    settings: &Settings,
    sender: &Sender<Input>,
    cluster: &mut Cluster,
    clock: Clock,
) -> Result<SaveFn, Report> {
    let folder = disk::open(settings, rand::random())?;
    let mut folder = folder.ok_or_else(|| eyre!("this VM has no data folder"))?;
    cluster.restore_group(group_setup(settings, &mut folder, clock.now()));
    log::info!(event = "disk-usable", node = folder.node.to_string().as_str();
        "the data folder is open again");
    Ok(Box::new(disk::start_writer(
        folder.journal,
        sender.clone(),
    )?))
}

/// The address of a VM, unless the VM has named one that can't be used.
fn socket_address(address: &Address) -> Option<SocketAddr> {
    let parsed = address.as_str().parse();
    if parsed.is_err() {
        log::warn!(event = "address-unusable", address = address.as_str();
            "a VM's address can't be used: it has to be IP:PORT");
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
            Effect::Send { to, message } => {
                if let Some(address) = socket_address(&to) {
                    mesh.send(address, encode(&message));
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
