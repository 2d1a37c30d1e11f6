//! The data folder: what it held at start, and the thread that encodes what has to be saved.
//!
//! Each log group is a group of the journal. The configuration in force is one more, which holds
//! only a snapshot, so that a VM that restarts while it is cut off goes on with it.

use std::num::NonZeroU64;
use std::thread::{self, JoinHandle};

use crossbeam_channel::{unbounded, Receiver, Sender};
use greengage_agreement::{Config, Entry, Save};
use greengage_control::api::Group;
use greengage_control::{Durable, Event, GroupSave, Restored, Saved};
use greengage_core::{Index, Name, SortedMap};
use greengage_journal as journal;
use greengage_journal::{Batch, Journal, RealDisk, Recovered};
use greengage_policy as policy;
use greengage_wire::{decode, encode, WireError};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::error::NodeError;
use crate::settings::Settings;

/// The journal's group for the configuration in force.
const POLICY_GROUP: &str = "policy";
/// The index under which a group's first members are stored; the journal has no index 0.
const FIRST: Index = Index(1);

/// A data folder as it was found, or none.
pub(crate) struct Opened {
    pub(crate) folder: Option<u64>,
    pub(crate) durable: Durable,
    pub(crate) journal: Option<Journal>,
}

/// Opens the data folder of the settings, if they have one.
pub(crate) fn open(settings: &Settings, seed: u64) -> Result<Opened, NodeError> {
    let Some(folder) = &settings.data else {
        return Ok(Opened {
            folder: None,
            durable: Durable::default(),
            journal: None,
        });
    };
    let journal_settings = journal::Settings {
        folder: folder.clone(),
        vm: settings.vm.clone(),
        fresh: NonZeroU64::new(seed).unwrap_or(NonZeroU64::MIN),
        segment_bytes: journal::SEGMENT_BYTES,
        sync_delay: settings.sync_delay,
    };
    let (mut journal, identity, mut recovered) =
        Journal::open(Box::new(RealDisk), journal_settings)?;
    let id = identity.node.folder;
    let site = settings.site(Some(id), greengage_core::Incarnation(0), 0);
    site.verify()?;
    let roles = site.roles().clone();
    let mut durable = Durable {
        policy: stored_policy(&mut recovered)?,
        ..Durable::default()
    };
    if roles.control {
        let first = site.first_control();
        durable.control = restore(&mut journal, &mut recovered, &Group::Control, first)?;
    }
    let own = roles.ledger.then(|| site.zone().clone());
    for zone in own.into_iter().chain(roles.witness) {
        let first = site.first_ledger(&zone);
        let group = Group::Ledger(zone.clone());
        let restored = restore(&mut journal, &mut recovered, &group, first)?;
        durable.ledgers.insert(zone, restored);
    }
    Ok(Opened {
        folder: Some(id),
        durable,
        journal: Some(journal),
    })
}

fn group_name(group: &Group) -> Name {
    Name::new(&group.to_string()).expect("group names are short and made of names")
}

fn stored_policy(
    recovered: &mut SortedMap<Name, Recovered>,
) -> Result<Option<policy::State>, NodeError> {
    let Some(found) = recovered.remove(POLICY_GROUP) else {
        return Ok(None);
    };
    match found.snapshot {
        Some((_, bytes)) => decode(&bytes).map(Some).map_err(damaged(POLICY_GROUP)),
        None => Ok(None),
    }
}

fn damaged(group: &str) -> impl Fn(WireError) -> NodeError + '_ {
    move |error| NodeError::Record {
        group: group.to_string(),
        error,
    }
}

/// Decodes a group. The first members of a new group are stored when they are first used, so that
/// a later change of the settings can't change them.
fn restore<C: DeserializeOwned, S: DeserializeOwned>(
    journal: &mut Journal,
    recovered: &mut SortedMap<Name, Recovered>,
    group: &Group,
    first: Config,
) -> Result<Restored<C, S>, NodeError> {
    let found = recovered.remove(&group_name(group)).unwrap_or_default();
    let mut restored = decode_group(group, found)?;
    let name = Name::new(&format!("first-{group}")).expect("group names are short");
    let stored = recovered.remove(&name).and_then(|found| found.snapshot);
    restored.config = match stored {
        Some((_, bytes)) => decode(&bytes).map_err(damaged(name.as_str()))?,
        None => {
            journal.write(&[only_snapshot(name, FIRST, encode(&first))])?;
            first
        }
    };
    Ok(restored)
}

/// A batch for a group that holds nothing but a value.
fn only_snapshot(group: Name, index: Index, bytes: Vec<u8>) -> Batch {
    Batch {
        group,
        hard: None,
        clear: false,
        entries: Vec::new(),
        snapshot: Some((index, bytes)),
    }
}

fn decode_group<C: DeserializeOwned, S: DeserializeOwned>(
    group: &Group,
    found: Recovered,
) -> Result<Restored<C, S>, NodeError> {
    let name = group.to_string();
    let mut restored = Restored::default();
    if let Some(bytes) = found.hard {
        restored.hard = decode(&bytes).map_err(damaged(&name))?;
    }
    if let Some((_, bytes)) = found.snapshot {
        restored.snapshot = Some(decode(&bytes).map_err(damaged(&name))?);
    }
    for (_, bytes) in found.entries {
        let entry: Entry<C> = decode(&bytes).map_err(damaged(&name))?;
        restored.entries.push(entry);
    }
    Ok(restored)
}

/// Starts the thread that encodes saves, and the journal's thread behind it; both end when all
/// senders of `saves` are gone.
pub(crate) fn start(
    journal: Journal,
    saves: Receiver<GroupSave>,
    events: Sender<Event>,
) -> Result<JoinHandle<()>, NodeError> {
    let (batches, inbox) = unbounded();
    let mut failed = false;
    journal::start(journal, inbox, move |done| match done {
        Ok(Some(saved)) => drop(events.send(Event::Saved(saved))),
        Ok(None) => {}
        Err(error) => {
            if !failed {
                failed = true;
                log::error!("{error}");
                let _ = events.send(Event::DiskFailed);
            }
        }
    })?;
    let thread = thread::Builder::new()
        .name("saves".to_string())
        .spawn(move || {
            for save in saves {
                if batches.send(batch(save)).is_err() {
                    return;
                }
            }
        })?;
    Ok(thread)
}

fn batch(save: GroupSave) -> (Batch, Option<Saved>) {
    match save {
        GroupSave::Control(save) => group_batch(Group::Control, save),
        GroupSave::Ledger { zone, save } => group_batch(Group::Ledger(zone), save),
        GroupSave::Policy(state) => {
            let group = Name::new(POLICY_GROUP).expect("a valid name");
            let batch = only_snapshot(group, Index(state.applied().0), encode(&state));
            (batch, Some(Saved::Policy(state.applied())))
        }
    }
}

fn group_batch<C: Serialize, S: Serialize>(
    group: Group,
    save: Save<C, S>,
) -> (Batch, Option<Saved>) {
    let entry = |entry: &Entry<C>| (entry.index, encode(entry));
    let batch = Batch {
        group: group_name(&group),
        hard: save.hard.as_ref().map(encode),
        clear: save.clear,
        entries: save.entries.iter().map(entry).collect(),
        snapshot: save
            .snapshot
            .as_ref()
            .map(|snapshot| (snapshot.index, encode(snapshot))),
    };
    let saved = Saved::Group {
        group,
        seq: save.seq,
    };
    (batch, Some(saved))
}
