//! The data folder of a control VM.
//!
//! When a deployment is bootstrapped, its seeds initialize their folders as the first voters, with
//! folder id 0. Any other empty folder gets a random id; its VM is a new node that must be added to
//! the control group. The initial membership is stored when the folder is created, since the list
//! of seeds in the settings may change later.

use std::num::NonZeroU64;

use crossbeam_channel::unbounded;
use eyre::{Report, WrapErr};
use greengage_agreement::{Config, MemberRole, SaveSeq};
use greengage_cluster::Hints;
use greengage_config::{GroupSave, RecoveredState};
use greengage_core::{Address, Index, Name, NodeId, VmName};
use greengage_journal as journal;
use greengage_journal::{Batch, Journal, JournalError, RealDisk};
use greengage_wire::{decode, encode};

use crate::inputs::{Input, InputSender};
use crate::records::{decode_entry, decode_snapshot, encode_entry, encode_snapshot};
use crate::settings::Settings;

/// Journal group of the control group's log, which holds the configuration.
const CONFIGURATION_GROUP: &str = "configuration";
/// Journal group of the initial membership.
const FIRST_MEMBERS_GROUP: &str = "configuration-first";
/// Journal group of the hints for the next start.
const HINTS_GROUP: &str = "hints";
/// Maximum length of a journal segment; a data folder may have as little as 128 MB of space.
const SEGMENT_BYTES: u64 = 8 << 20;

/// An open data folder.
pub(crate) struct DataFolder {
    pub(crate) node: NodeId,
    pub(crate) restored: RecoveredState,
    pub(crate) hints: Hints,
    pub(crate) journal: Journal,
}

/// State to be written to the journal.
pub(crate) enum SaveRequest<'a> {
    /// State of the control group. The control thread is notified when it is durable.
    Group(&'a GroupSave),
    /// Hints for the next start. No notification follows.
    Hints(&'a Hints),
}

/// The name of the VM at an address. A VM's name is its IP address.
fn vm_at(address: &Address) -> Option<VmName> {
    let ip = address.as_str().rsplit_once(':')?.0;
    VmName::new(ip).ok()
}

fn first_members(settings: &Settings) -> Config {
    let mut config = Config::default();
    for vm in settings.seeds.iter().filter_map(vm_at) {
        config
            .members
            .insert(NodeId { vm, folder: 0 }, MemberRole::Voter);
    }
    config
}

/// Opens the data folder and recovers its contents; `None` if the settings name no data folder.
pub(crate) fn open(settings: &Settings, new_folder_id: u64) -> Result<Option<DataFolder>, Report> {
    let Some(path) = &settings.data_folder else {
        return Ok(None);
    };
    let is_seed = settings
        .seeds
        .iter()
        .any(|seed| vm_at(seed).as_ref() == Some(&settings.vm));
    if settings.bootstrap && is_seed {
        match journal::init(&RealDisk, path, &settings.vm) {
            Ok(_) | Err(JournalError::AlreadyInitialized { .. }) => {}
            Err(error) => return Err(error).wrap_err("cannot initialize the data folder"),
        }
    }
    let journal_settings = journal::Settings {
        folder: path.clone(),
        vm: settings.vm.clone(),
        new_folder_id: NonZeroU64::new(new_folder_id).unwrap_or(NonZeroU64::MIN),
        segment_bytes: SEGMENT_BYTES,
        sync_delay: std::time::Duration::ZERO,
    };
    let opened = Journal::open(Box::new(RealDisk), journal_settings);
    let (mut journal, identity, mut recovered) = opened.wrap_err("cannot open the data folder")?;
    let node = identity.node;
    let group = recovered.remove(CONFIGURATION_GROUP).unwrap_or_default();
    let mut restored = RecoveredState::default();
    if let Some(bytes) = group.hard_state {
        restored.hard_state = decode(&bytes)?;
    }
    if let Some((_, bytes)) = group.snapshot {
        restored.snapshot = Some(decode_snapshot(&bytes)?);
    }
    for (_, bytes) in group.entries {
        restored.entries.push(decode_entry(&bytes)?);
    }
    restored.config = match recovered
        .remove(FIRST_MEMBERS_GROUP)
        .and_then(|f| f.snapshot)
    {
        Some((_, bytes)) => decode(&bytes)?,
        None => {
            let members = match node.folder {
                0 => first_members(settings),
                _ => Config::default(),
            };
            let batch = Batch {
                group: Name::new(FIRST_MEMBERS_GROUP)?,
                hard_state: None,
                entries: Vec::new(),
                snapshot: Some((Index(1), encode(&members))),
                clear: false,
            };
            journal.write(&[batch])?;
            members
        }
    };
    let hints = recovered.remove(HINTS_GROUP).and_then(|f| f.hard_state);
    let hints = hints.map_or(Ok(Hints::default()), |bytes| decode(&bytes));
    Ok(Some(DataFolder {
        node,
        restored,
        // Another version of the program may have stored the hints in another format.
        hints: hints.unwrap_or_else(|error| {
            log::warn!(event = "hints-unreadable", cause = error.to_string().as_str();
                "cannot decode the stored hints; waiting for reports of VMs and targets");
            Hints::default()
        }),
        journal,
    }))
}

/// Encodes state of the control group as a batch of the journal.
fn group_batch(group: &Name, save: &GroupSave) -> Batch {
    let (entries, snapshot) = (save.entries.iter(), save.snapshot.as_ref());
    Batch {
        group: group.clone(),
        hard_state: save.hard_state.as_ref().map(encode),
        clear: save.clear,
        entries: entries.map(|e| (e.index, encode_entry(e))).collect(),
        snapshot: snapshot.map(|s| (s.index, encode_snapshot(s))),
    }
}

/// Encodes hints as a batch of the journal. Their group has no entries, only a hard state that is
/// replaced, so that storing it takes a single sync.
fn hints_batch(group: &Name, hints: &Hints) -> Batch {
    Batch {
        group: group.clone(),
        hard_state: Some(encode(hints)),
        clear: false,
        entries: Vec::new(),
        snapshot: None,
    }
}

/// Starts the disk thread and returns the function that sends it requests. The thread ends when
/// that function is dropped.
pub(crate) fn start_writer(
    journal: Journal,
    events: InputSender,
) -> Result<impl FnMut(SaveRequest<'_>), Report> {
    let (saves, batches) = unbounded::<(Batch, Option<SaveSeq>)>();
    journal::start(journal, batches, move |result| {
        let input = match result {
            Ok(Some(seq)) => Input::Event(greengage_cluster::Event::Saved(seq)),
            Ok(None) => return,
            Err(error) => Input::DiskFailed(error.to_string()),
        };
        // The send fails only while the process exits, after the control thread has ended.
        let _ = events.send(input);
    })?;
    let (group, hints_group) = (Name::new(CONFIGURATION_GROUP)?, Name::new(HINTS_GROUP)?);
    Ok(move |request: SaveRequest<'_>| {
        let save = match request {
            SaveRequest::Group(save) => (group_batch(&group, save), Some(save.seq)),
            SaveRequest::Hints(hints) => (hints_batch(&hints_group, hints), None),
        };
        // Fails only if the disk thread has ended; write errors arrive as `Input::DiskFailed`.
        let _ = saves.send(save);
    })
}
