//! The data folder: recovery of its content at start, and the thread that encodes saves.
//!
//! Each Raft group is a group of the journal. One more journal group holds the active configuration
//! as a snapshot, so that a VM that restarts without a connection to the control group continues
//! with that configuration.

use std::num::NonZeroU64;
use std::thread::{self, JoinHandle};

use crossbeam_channel::{unbounded, Receiver, Sender};
use greengage_agreement::{Config, Entry, Save};
use greengage_control::api::Group;
use greengage_control::{DurableSave, Event, GroupSave, StoredGroup, StoredState};
use greengage_core::{Index, Name, SortedMap};
use greengage_journal as journal;
use greengage_journal::{Batch, Journal, RealDisk, Recovered};
use greengage_policy as policy;
use greengage_wire::{decode, encode, WireError};
use serde::de::DeserializeOwned;
use serde::Serialize;

use crate::error::NodeError;
use crate::settings::Settings;

/// Journal group that holds the active configuration.
const POLICY_GROUP: &str = "policy";
/// Index of the record with a group's initial members; the journal has no index 0.
const INITIAL_CONFIG_INDEX: Index = Index(1);

/// The content of the data folder at start; empty for a VM without one.
pub(crate) struct DataFolder {
    /// The id of the folder; `None` without a data folder.
    pub(crate) id: Option<u64>,
    pub(crate) durable: StoredState,
    pub(crate) journal: Option<Journal>,
}

/// Opens the data folder that the settings name, if any, and recovers its content.
pub(crate) fn open(settings: &Settings, seed: u64) -> Result<DataFolder, NodeError> {
    let Some(folder) = &settings.data_folder else {
        return Ok(DataFolder {
            id: None,
            durable: StoredState::default(),
            journal: None,
        });
    };
    let journal_settings = journal::Settings {
        folder: folder.clone(),
        vm: settings.vm.clone(),
        new_folder_id: NonZeroU64::new(seed).unwrap_or(NonZeroU64::MIN),
        segment_bytes: journal::DEFAULT_SEGMENT_BYTES,
        sync_delay: settings.sync_delay,
    };
    let (mut journal, identity, mut recovered) =
        Journal::open(Box::new(RealDisk), journal_settings)?;
    let id = identity.node.folder;
    let site = settings.site(Some(id), greengage_core::Incarnation(0), 0);
    site.verify()?;
    let roles = site.roles().clone();
    let mut durable = StoredState {
        policy: restore_policy(&mut recovered)?,
        ..StoredState::default()
    };
    if roles.control {
        let initial = site.initial_control_config();
        durable.control = restore(&mut journal, &mut recovered, &Group::Control, initial)?;
    }
    let own_zone = roles.ledger.then(|| site.zone().clone());
    for zone in own_zone.into_iter().chain(roles.witness) {
        let initial = site.initial_ledger_config(&zone);
        let group = Group::Ledger(zone.clone());
        let restored = restore(&mut journal, &mut recovered, &group, initial)?;
        durable.ledgers.insert(zone, restored);
    }
    Ok(DataFolder {
        id: Some(id),
        durable,
        journal: Some(journal),
    })
}

fn group_name(group: &Group) -> Name {
    Name::new(&group.to_string()).expect("a group's name is a valid name")
}

fn restore_policy(
    recovered: &mut SortedMap<Name, Recovered>,
) -> Result<Option<policy::State>, NodeError> {
    let Some(records) = recovered.remove(POLICY_GROUP) else {
        return Ok(None);
    };
    match records.snapshot {
        Some((_, bytes)) => decode(&bytes).map(Some).map_err(decode_error(POLICY_GROUP)),
        None => Ok(None),
    }
}

fn decode_error(group: &str) -> impl Fn(WireError) -> NodeError + '_ {
    move |error| NodeError::DecodeRecord {
        group: group.to_string(),
        error,
    }
}

/// Decodes a group. The initial members of a new group are written to the journal here, so that a
/// later change of the settings can't change them.
fn restore<C: DeserializeOwned, S: DeserializeOwned>(
    journal: &mut Journal,
    recovered: &mut SortedMap<Name, Recovered>,
    group: &Group,
    initial: Config,
) -> Result<StoredGroup<C, S>, NodeError> {
    let records = recovered.remove(&group_name(group)).unwrap_or_default();
    let mut restored = decode_group(group, records)?;
    let name = Name::new(&format!("first-{group}")).expect("a group's name is a valid name");
    let stored = recovered.remove(&name).and_then(|records| records.snapshot);
    restored.config = match stored {
        Some((_, bytes)) => decode(&bytes).map_err(decode_error(name.as_str()))?,
        None => {
            journal.write(&[snapshot_batch(name, INITIAL_CONFIG_INDEX, encode(&initial))])?;
            initial
        }
    };
    Ok(restored)
}

/// A batch for a group that holds only a snapshot.
fn snapshot_batch(group: Name, index: Index, bytes: Vec<u8>) -> Batch {
    Batch {
        group,
        hard_state: None,
        clear: false,
        entries: Vec::new(),
        snapshot: Some((index, bytes)),
    }
}

fn decode_group<C: DeserializeOwned, S: DeserializeOwned>(
    group: &Group,
    records: Recovered,
) -> Result<StoredGroup<C, S>, NodeError> {
    let name = group.to_string();
    let mut restored = StoredGroup::default();
    if let Some(bytes) = records.hard_state {
        restored.hard_state = decode(&bytes).map_err(decode_error(&name))?;
    }
    if let Some((_, bytes)) = records.snapshot {
        restored.snapshot = Some(decode(&bytes).map_err(decode_error(&name))?);
    }
    for (_, bytes) in records.entries {
        let entry: Entry<C> = decode(&bytes).map_err(decode_error(&name))?;
        restored.entries.push(entry);
    }
    Ok(restored)
}

/// Starts the thread that encodes saves and the journal's thread, which writes them. Both end when
/// all senders of `saves` are dropped.
pub(crate) fn start(
    journal: Journal,
    saves: Receiver<GroupSave>,
    events: Sender<Event>,
) -> Result<JoinHandle<()>, NodeError> {
    let (batches, batch_rx) = unbounded();
    let mut failure_reported = false;
    journal::start(journal, batch_rx, move |result| match result {
        Ok(Some(saved)) => drop(events.send(Event::SaveDone(saved))),
        Ok(None) => {}
        Err(error) => {
            if !failure_reported {
                failure_reported = true;
                log::error!("{error}");
                let _ = events.send(Event::DiskFailed);
            }
        }
    })?;
    let thread = thread::Builder::new()
        .name("saves".to_string())
        .spawn(move || {
            for save in saves {
                if batches.send(encode_save(save)).is_err() {
                    return;
                }
            }
        })?;
    Ok(thread)
}

fn encode_save(save: GroupSave) -> (Batch, Option<DurableSave>) {
    match save {
        GroupSave::Control(save) => encode_group_save(Group::Control, save),
        GroupSave::Ledger { zone, save } => encode_group_save(Group::Ledger(zone), save),
        GroupSave::Policy(state) => {
            let group = Name::new(POLICY_GROUP).expect("a valid name");
            let batch = snapshot_batch(group, Index(state.applied().0), encode(&state));
            (batch, Some(DurableSave::Policy(state.applied())))
        }
    }
}

fn encode_group_save<C: Serialize, S: Serialize>(
    group: Group,
    save: Save<C, S>,
) -> (Batch, Option<DurableSave>) {
    let encode_entry = |entry: &Entry<C>| (entry.index, encode(entry));
    let batch = Batch {
        group: group_name(&group),
        hard_state: save.hard_state.as_ref().map(encode),
        clear: save.clear,
        entries: save.entries.iter().map(encode_entry).collect(),
        snapshot: save
            .snapshot
            .as_ref()
            .map(|snapshot| (snapshot.index, encode(snapshot))),
    };
    let saved = DurableSave::Group {
        group,
        seq: save.seq,
    };
    (batch, Some(saved))
}
