//! Opening a data folder, writing batches, and segment rotation.
//!
//! A segment starts with a head that repeats the hard state and the snapshot index of each group.
//! Older segments are therefore needed only for their live entries, and the oldest segment is
//! removed once it has none. A group that rarely takes a snapshot would keep the oldest segment
//! alive while a busy group fills the disk. So when the dead bytes of the log exceed the live bytes
//! by more than [`SPARE_DEAD_SEGMENTS`] segments, rotation copies the live entries of the oldest
//! segment into the new head. Segments are removed oldest first, and each removal is made durable
//! before the next.
//!
//! A snapshot becomes current once its log record is durable. The snapshot file is written under a
//! temporary name, synced and renamed, and the folder is synced, before that record is written. A
//! snapshot whose index the log reaches can be deferred: its file is written in slices between
//! other batches, while the log still holds the entries that it covers.

use std::any::Any;
use std::num::NonZeroU64;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use greengage_core::{value, Index, Name, NodeId, SortedMap, VmName};

use crate::disk::{Disk, DiskFile};
use crate::error::JournalError;
use crate::folder::{
    encode_identity, read_identity, read_snapshot, segment_file_name, snapshot_file_name,
    temporary_path, FileKind, Identity, SnapshotChecksum, FORMAT_VERSION, IDENTITY_FILE, LOCK_FILE,
};
use crate::group::{LogState, RecordLocation, SegmentUsage};
use crate::record::{payload_fits, scan, Encoder, Record, RecordKind, Scan, SegmentId};

/// Default for [`Settings::segment_bytes`].
pub const DEFAULT_SEGMENT_BYTES: u64 = 64 << 20;

/// Excess of dead over live bytes, in segments, that the log may have before entries are copied.
const SPARE_DEAD_SEGMENTS: u64 = 4;

/// Length of a first segment that has only a head.
const EMPTY_SEGMENT_BYTES: usize = 60;

/// Bytes of a deferred snapshot that are written and synced at a time. Writing 200 MiB in one piece
/// blocked the log for 0.7 to 1.0 s, longer than an election takes.
pub const SNAPSHOT_SLICE_BYTES: usize = 4 << 20;

/// Group name of records that belong to no group.
const NO_GROUP: &str = "";

/// Journal settings.
#[value(local)]
pub struct Settings {
    /// Data folder. `Journal::open` does not create it.
    pub folder: PathBuf,
    /// VM that must own the folder.
    pub vm: VmName,
    /// Folder id assigned to an empty folder; a random number.
    pub new_folder_id: NonZeroU64,
    /// Length in bytes, without the head, at which a segment is rotated.
    pub segment_bytes: u64,
    /// Delay added to each sync, to simulate a slower disk in measurements.
    pub sync_delay: Duration,
}

/// Changes of one group, written in one step.
#[value(local)]
pub struct Batch {
    /// Group that the changes belong to.
    pub group: Name,
    /// New hard state; `None` keeps the current one.
    pub hard_state: Option<Vec<u8>>,
    /// Entries with consecutive indexes. They replace all entries from the first index on.
    pub entries: Vec<(Index, Vec<u8>)>,
    /// Snapshot and the last index that it covers; entries up to that index are dropped.
    pub snapshot: Option<(Index, Vec<u8>)>,
    /// Drops all earlier entries. Requires a snapshot; used when the log does not reach its index.
    pub clear: bool,
}

/// Recovered state of one group.
#[value(local)]
#[derive(Default)]
pub struct Recovered {
    /// Hard state; `None` if none was written.
    pub hard_state: Option<Vec<u8>>,
    /// Snapshot and the last index that it covers; `None` if there is none.
    pub snapshot: Option<(Index, Vec<u8>)>,
    /// Entries after the snapshot, in order and without gaps.
    pub entries: Vec<(Index, Vec<u8>)>,
}

/// Snapshot whose file is being written in slices.
struct DeferredSnapshot {
    index: Index,
    payload: Vec<u8>,
    file: Box<dyn DiskFile>,
    /// Bytes of the payload written so far.
    written_bytes: usize,
    /// Checksum of the written bytes.
    checksum: SnapshotChecksum,
}

/// An open data folder.
pub struct Journal {
    disk: Box<dyn Disk>,
    settings: Settings,
    folder_id: u64,
    log: LogState,
    /// File of the last segment.
    segment_file: Box<dyn DiskFile>,
    segment_number: u64,
    segment_len: u64,
    /// Synced length of the last segment, without the sync mark that follows.
    synced_len: u64,
    /// Length of the last segment's head.
    head_len: u64,
    /// Deferred snapshots by group.
    deferred: SortedMap<Name, DeferredSnapshot>,
    /// Error that stopped the journal.
    failure: Option<JournalError>,
    _lock: Box<dyn Any + Send>,
}

/// Initializes an empty folder for an initial voter, whose folder id is 0. Creates the folder if it
/// does not exist.
pub fn init(disk: &dyn Disk, folder: &Path, vm: &VmName) -> Result<Identity, JournalError> {
    match disk.create_folder(folder) {
        Ok(()) => {
            let parent = folder.parent().filter(|p| !p.as_os_str().is_empty());
            sync_folder(disk, parent.unwrap_or(Path::new(".")), Duration::ZERO)?;
        }
        Err(error) if error.kind() == std::io::ErrorKind::AlreadyExists => {}
        Err(error) => return Err(JournalError::io("create", folder, &error)),
    }
    let _lock = lock_folder(disk, folder)?;
    if let Some(node) = read_identity(disk, folder)? {
        return Err(JournalError::AlreadyInitialized {
            path: folder.to_path_buf(),
            owner: node.vm,
        });
    }
    let node = NodeId {
        vm: vm.clone(),
        folder: 0,
    };
    initialize_folder(disk, folder, &node, Duration::ZERO)?;
    Ok(Identity {
        node,
        created: true,
    })
}

/// Checks, without changes, that a data folder exists and belongs to `vm` or to no VM.
pub fn check(disk: &dyn Disk, folder: &Path, vm: &VmName) -> Result<(), JournalError> {
    list_files(disk, folder)?;
    match read_identity(disk, folder)? {
        Some(node) if node.vm != *vm => Err(JournalError::OtherVm {
            path: folder.to_path_buf(),
            owner: node.vm,
            vm: vm.clone(),
        }),
        Some(_) | None => Ok(()),
    }
}

impl Journal {
    /// Opens a data folder and recovers its records.
    ///
    /// Records that aren't known to be synced are written to a new file first. They may have been
    /// read from the page cache after a failed sync, and no later sync of the old file would write
    /// them. A journal whose disk takes no more bytes may be opened stopped.
    ///
    /// An empty folder is assigned the id [`Settings::new_folder_id`].
    pub fn open(
        disk: Box<dyn Disk>,
        settings: Settings,
    ) -> Result<(Journal, Identity, SortedMap<Name, Recovered>), JournalError> {
        let folder = settings.folder.clone();
        let lock = lock_folder(&*disk, &folder)?;
        let identity = load_or_create_identity(&*disk, &settings)?;
        let folder_id = identity.node.folder;
        let files = list_files(&*disk, &folder)?;
        for (name, kind) in &files {
            if *kind == FileKind::Temporary {
                remove(&*disk, &folder.join(name))?;
            }
        }
        let (log, last) = replay_segments(&*disk, &folder, folder_id, &files)?;
        let name = segment_file_name(last.number);
        let path = folder.join(&name);
        if last.has_unsynced {
            let text = encode_identity(&identity.node);
            let delay = settings.sync_delay;
            write_file(&*disk, &folder, IDENTITY_FILE, &[text.as_bytes()], delay)?;
            let bytes = read(&*disk, &path)?;
            write_file(
                &*disk,
                &folder,
                &name,
                &[&bytes[..last.len as usize]],
                delay,
            )?;
        }
        let space = probe_space(&*disk, &folder);
        // On a full disk the sync marks stay: without them the next start couldn't tell that the
        // records are synced, and couldn't write them to a new file either.
        let len = match &space {
            Ok(()) => last.len,
            Err(_) => last.marked_len,
        };
        let mut file = disk
            .append(&path, len)
            .map_err(|e| JournalError::io("open", &path, &e))?;
        if space.is_ok() {
            sync(&mut *file, &path, settings.sync_delay)?;
            sync_folder(&*disk, &folder, settings.sync_delay)?;
        }
        let mut journal = Journal {
            disk,
            settings,
            folder_id,
            log,
            segment_file: file,
            segment_number: last.number,
            segment_len: len,
            synced_len: last.len,
            head_len: last.head_len,
            deferred: SortedMap::new(),
            failure: None,
            _lock: lock,
        };
        let recovered = journal.recover(&files)?;
        // What was recovered is durable, so a failure affects only later batches.
        if let Err(error) = space.and_then(|()| journal.write_sync_mark()) {
            log::error!("journal stopped, no more batches are accepted: {error}");
            journal.failure = Some(error);
        }
        Ok((journal, identity, recovered))
    }

    /// Reads the current state of each group and removes superseded snapshot files.
    fn recover(
        &self,
        files: &[(String, FileKind)],
    ) -> Result<SortedMap<Name, Recovered>, JournalError> {
        let folder = &self.settings.folder;
        let mut recovered = SortedMap::new();
        for (name, group) in self.log.groups.iter() {
            if let Some(missing) = group.first_missing() {
                return Err(JournalError::MissingEntry {
                    path: folder.clone(),
                    group: name.clone(),
                    missing,
                });
            }
            let snapshot = match group.snapshot_index {
                Index(0) => None,
                index => {
                    let payload = read_snapshot(&*self.disk, folder, self.folder_id, name, index)?;
                    Some((index, payload))
                }
            };
            let found = Recovered {
                hard_state: group.hard_state.clone(),
                snapshot,
                entries: Vec::with_capacity(group.entries.len()),
            };
            recovered.insert(name.clone(), found);
        }
        for (segment, usage) in self.log.segments.iter() {
            if usage.live_bytes > 0 {
                for (group, index, payload) in self.live_entries(*segment)? {
                    let found = recovered.get_or_insert_with(group, Recovered::default);
                    found.entries.push((index, payload));
                }
            }
        }
        for group in recovered.values_mut() {
            group.entries.sort_unstable_by_key(|(index, _)| *index);
        }
        for (file, kind) in files {
            if let FileKind::Snapshot { index, group } = kind {
                if self.log.groups.get(group).map(|g| g.snapshot_index) != Some(*index) {
                    remove(&*self.disk, &folder.join(file))?;
                }
            }
        }
        Ok(recovered)
    }

    /// Reads the live entries of a segment, which has been scanned without an error.
    fn live_entries(&self, segment: u64) -> Result<Vec<(Name, Index, Vec<u8>)>, JournalError> {
        let path = self.settings.folder.join(segment_file_name(segment));
        let bytes = read(&*self.disk, &path)?;
        let segment_id = SegmentId {
            folder: self.folder_id,
            segment,
        };
        let mut entries = Vec::new();
        for record in scan(segment_id, &bytes).records {
            let location = Some(location(segment, &record));
            let group = self.log.groups.get(record.group);
            if let (RecordKind::Entry | RecordKind::CopiedEntry, Some(group)) = (record.kind, group)
            {
                if group.entries.get(&record.index).copied() == location {
                    let name = group_name(&path, &record)?;
                    entries.push((name, record.index, record.payload.to_vec()));
                }
            }
        }
        Ok(entries)
    }

    /// Writes the batches in order and makes them durable with one sync of the log.
    ///
    /// After any error other than `OutOfOrder` or `RecordTooLong`, the journal rejects all further
    /// writes with `Stopped`.
    pub fn write(&mut self, batches: &[Batch]) -> Result<(), JournalError> {
        self.ensure_running()?;
        self.validate(batches)?;
        if batches.is_empty() {
            return Ok(());
        }
        let result = self.write_validated(batches);
        self.stop_on_error(result)
    }

    /// Starts to write a snapshot whose index the log reaches, without waiting for completion.
    ///
    /// [`Journal::advance_deferred`] writes it. A later snapshot of the group replaces it.
    pub fn defer_snapshot(
        &mut self,
        group: &Name,
        index: Index,
        payload: Vec<u8>,
    ) -> Result<(), JournalError> {
        self.ensure_running()?;
        if !self.can_defer_snapshot(group, index) {
            return Err(JournalError::OutOfOrder {
                group: group.clone(),
                reason: "the log does not reach from the current snapshot to the deferred one",
            });
        }
        let result = self.start_deferred(group, index, payload);
        self.stop_on_error(result)
    }

    /// Whether the log has the entries up to `index` and the current snapshot is older.
    pub fn can_defer_snapshot(&self, group: &Name, index: Index) -> bool {
        let group = self.log.groups.get(group);
        group.is_some_and(|g| g.snapshot_index < index && index <= g.last_index())
    }

    /// Whether a deferred snapshot of the group is being written.
    pub fn is_writing_snapshot(&self, group: &Name) -> bool {
        self.deferred.contains(group)
    }

    /// Whether a failed write has stopped the journal.
    pub fn is_stopped(&self) -> bool {
        self.failure.is_some()
    }

    /// Whether `advance_deferred` has work to do.
    pub fn has_deferred_snapshot(&self) -> bool {
        !self.deferred.is_empty() && self.failure.is_none()
    }

    /// Writes and syncs one slice of a deferred snapshot. Once all slices are written, makes the
    /// snapshot current and returns its group and index.
    pub fn advance_deferred(&mut self) -> Result<Option<(Name, Index)>, JournalError> {
        self.ensure_running()?;
        let result = self.write_next_slice();
        self.stop_on_error(result)
    }

    fn ensure_running(&self) -> Result<(), JournalError> {
        match &self.failure {
            None => Ok(()),
            Some(cause) => Err(JournalError::Stopped {
                cause: Box::new(cause.clone()),
            }),
        }
    }

    fn stop_on_error<T>(&mut self, result: Result<T, JournalError>) -> Result<T, JournalError> {
        if let Err(error) = &result {
            self.failure = Some(error.clone());
        }
        result
    }

    fn start_deferred(
        &mut self,
        group: &Name,
        index: Index,
        payload: Vec<u8>,
    ) -> Result<(), JournalError> {
        self.discard_deferred(group)?;
        let path = temporary_path(&self.settings.folder, &snapshot_file_name(index, group));
        let file = create(&*self.disk, &path)?;
        let deferred = DeferredSnapshot {
            index,
            payload,
            file,
            written_bytes: 0,
            checksum: SnapshotChecksum::new(self.folder_id, group, index),
        };
        self.deferred.insert(group.clone(), deferred);
        Ok(())
    }

    /// Discards the group's deferred snapshot, if there is one.
    fn discard_deferred(&mut self, group: &Name) -> Result<(), JournalError> {
        let Some(deferred) = self.deferred.remove(group) else {
            return Ok(());
        };
        let name = snapshot_file_name(deferred.index, group);
        remove(&*self.disk, &temporary_path(&self.settings.folder, &name))
    }

    fn write_next_slice(&mut self) -> Result<Option<(Name, Index)>, JournalError> {
        let Some((group, deferred)) = self.deferred.iter_mut().next() else {
            return Ok(None);
        };
        let (group, index) = (group.clone(), deferred.index);
        let folder = &self.settings.folder;
        let name = snapshot_file_name(index, &group);
        let path = temporary_path(folder, &name);
        let rest = &deferred.payload[deferred.written_bytes..];
        if !rest.is_empty() {
            let slice = &rest[..rest.len().min(SNAPSHOT_SLICE_BYTES)];
            let result = deferred.file.write(slice);
            result.map_err(|e| JournalError::io("write", &path, &e))?;
            deferred.written_bytes += slice.len();
            deferred.checksum.update(slice);
            sync(&mut *deferred.file, &path, self.settings.sync_delay)?;
            return Ok(None);
        }
        let deferred = self
            .deferred
            .remove(&group)
            .expect("the deferred snapshot exists");
        let mut file = deferred.file;
        let trailer = deferred.checksum.trailer(deferred.payload.len());
        let result = file.write(&trailer);
        result.map_err(|e| JournalError::io("write", &path, &e))?;
        sync(&mut *file, &path, self.settings.sync_delay)?;
        rename_into_place(&*self.disk, folder, &name, self.settings.sync_delay)?;
        let mut records = self.encoder();
        let mut replaced = Vec::new();
        self.collect_replaced(&group, index, &mut replaced);
        self.push_record(&mut records, RecordKind::Snapshot, &group, index, &[]);
        self.append(&records.bytes)?;
        self.sync()?;
        self.finish_write(&replaced)?;
        Ok(Some((group, index)))
    }

    /// Adds the file of the group's current snapshot to `replaced`, unless its index is `index`.
    fn collect_replaced(&self, group: &Name, index: Index, replaced: &mut Vec<String>) {
        let current = self
            .log
            .groups
            .get(group)
            .map_or(Index(0), |g| g.snapshot_index);
        if current != Index(0) && current != index {
            replaced.push(snapshot_file_name(current, group));
        }
    }

    /// Length of all segments in bytes.
    pub fn log_bytes(&self) -> u64 {
        self.log.usage().len
    }

    fn validate(&self, batches: &[Batch]) -> Result<(), JournalError> {
        // Last index and snapshot index of each group after the batches checked so far.
        let mut checked = SortedMap::new();
        for batch in batches {
            let out_of_order = |reason| {
                Err(JournalError::OutOfOrder {
                    group: batch.group.clone(),
                    reason,
                })
            };
            let group = self.log.groups.get(&batch.group);
            let initial =
                || group.map_or_else(Default::default, |g| (g.last_index(), g.snapshot_index));
            let (last, snapshot) = checked.get_or_insert_with(batch.group.clone(), initial);
            match &batch.snapshot {
                Some((index, _)) if *index < *snapshot => {
                    return out_of_order("the snapshot is older than the current one");
                }
                Some((Index(0), _)) => return out_of_order("the snapshot has index 0"),
                Some((index, _)) => *snapshot = *index,
                None if batch.clear => {
                    return out_of_order("entries are dropped without a snapshot")
                }
                None => {}
            }
            if batch.clear {
                *last = Index(0);
            }
            *last = (*last).max(*snapshot);
            for (i, (index, _)) in batch.entries.iter().enumerate() {
                match i {
                    0 if *index == Index(0) => return out_of_order("an entry has index 0"),
                    0 if *index > last.next() => return out_of_order("entries are missing"),
                    0 => {}
                    _ if *index != last.next() => return out_of_order("the entries have a gap"),
                    _ => {}
                }
                *last = *index;
            }
            *last = (*last).max(*snapshot);
            let entries = batch.entries.iter().map(|(_, payload)| payload);
            if let Some(oversized) = entries
                .chain(&batch.hard_state)
                .find(|payload| !payload_fits(payload))
            {
                return Err(JournalError::RecordTooLong {
                    group: batch.group.clone(),
                    bytes: oversized.len() as u64,
                });
            }
        }
        Ok(())
    }

    fn write_validated(&mut self, batches: &[Batch]) -> Result<(), JournalError> {
        if self.segment_len - self.head_len >= self.settings.segment_bytes {
            self.rotate_segment()?;
        }
        let mut replaced = Vec::new();
        for batch in batches {
            if let Some((index, payload)) = &batch.snapshot {
                self.discard_deferred(&batch.group)?;
                self.write_snapshot(&batch.group, *index, payload)?;
            }
        }
        let mut records = self.encoder();
        for batch in batches {
            let group = &batch.group;
            // The hard state precedes the entries: a torn write may keep only the first records,
            // and no entry may be recovered without the term that it was written in.
            if let Some(hard) = &batch.hard_state {
                self.push_record(&mut records, RecordKind::HardState, group, Index(0), hard);
            }
            let snapshot = batch.snapshot.as_ref().map(|(index, _)| *index);
            if let Some(index) = snapshot {
                self.collect_replaced(group, index, &mut replaced);
            }
            if let (Some(index), true) = (snapshot, batch.clear) {
                self.push_record(&mut records, RecordKind::InstallSnapshot, group, index, &[]);
            }
            for (index, payload) in &batch.entries {
                self.push_record(&mut records, RecordKind::Entry, group, *index, payload);
            }
            if let (Some(index), false) = (snapshot, batch.clear) {
                self.push_record(&mut records, RecordKind::Snapshot, group, index, &[]);
            }
        }
        self.append(&records.bytes)?;
        self.sync()?;
        // The batches are durable, so a failure from here on affects only later batches.
        if let Err(error) = self.finish_write(&replaced) {
            log::error!("journal stopped, no more batches are accepted: {error}");
            self.failure = Some(error);
        }
        Ok(())
    }

    /// Writes the sync mark and removes replaced snapshots and dead segments.
    fn finish_write(&mut self, replaced: &[String]) -> Result<(), JournalError> {
        self.write_sync_mark()?;
        for name in replaced {
            remove(&*self.disk, &self.settings.folder.join(name))?;
        }
        self.remove_dead_segments()
    }

    /// Writes a snapshot file under its final name. Its log record makes it current.
    fn write_snapshot(
        &self,
        group: &Name,
        index: Index,
        payload: &[u8],
    ) -> Result<(), JournalError> {
        let name = snapshot_file_name(index, group);
        let mut checksum = SnapshotChecksum::new(self.folder_id, group, index);
        checksum.update(payload);
        let trailer = checksum.trailer(payload.len());
        let delay = self.settings.sync_delay;
        write_file(
            &*self.disk,
            &self.settings.folder,
            &name,
            &[payload, &trailer],
            delay,
        )
    }

    fn segment_id(&self) -> SegmentId {
        SegmentId {
            folder: self.folder_id,
            segment: self.segment_number,
        }
    }

    fn encoder(&self) -> Encoder {
        Encoder::new(self.segment_id(), self.segment_len, self.synced_len)
    }

    /// Encodes a record of a group and applies it to the in-memory log state.
    ///
    /// The in-memory state is ahead of the file until the write; it is not used after a failed one.
    fn push_record(
        &mut self,
        records: &mut Encoder,
        kind: RecordKind,
        group: &Name,
        index: Index,
        payload: &[u8],
    ) {
        let (offset, len) = records.push(kind, group.as_str(), index, payload);
        let location = RecordLocation {
            segment: self.segment_number,
            offset,
            len,
        };
        self.log.apply(group, kind, index, payload, location);
    }

    fn segment_path(&self) -> PathBuf {
        self.settings
            .folder
            .join(segment_file_name(self.segment_number))
    }

    fn append(&mut self, bytes: &[u8]) -> Result<(), JournalError> {
        let result = self.segment_file.write(bytes);
        result.map_err(|e| JournalError::io("write", &self.segment_path(), &e))?;
        self.segment_len += bytes.len() as u64;
        self.log
            .segments
            .get_or_insert_with(self.segment_number, SegmentUsage::default)
            .len = self.segment_len;
        Ok(())
    }

    fn sync(&mut self) -> Result<(), JournalError> {
        let path = self.segment_path();
        sync(&mut *self.segment_file, &path, self.settings.sync_delay)?;
        self.synced_len = self.segment_len;
        Ok(())
    }

    /// Writes a mark that records the synced length.
    fn write_sync_mark(&mut self) -> Result<(), JournalError> {
        let mut records = self.encoder();
        records.push(RecordKind::SyncMark, NO_GROUP, Index(0), &[]);
        self.append(&records.bytes)
    }

    /// Ends the last segment and starts a new one.
    fn rotate_segment(&mut self) -> Result<(), JournalError> {
        let mut records = self.encoder();
        records.push(RecordKind::SegmentEnd, NO_GROUP, Index(0), &[]);
        self.append(&records.bytes)?;
        self.sync()?;
        let usage = self.log.usage();
        let spare = SPARE_DEAD_SEGMENTS * self.settings.segment_bytes;
        let mut copies = Vec::new();
        if usage.len > 2 * usage.live_bytes + spare {
            let oldest = self.log.segments.keys().next().copied();
            copies = self.live_entries(oldest.expect("there is a last segment"))?;
        }
        self.segment_number += 1;
        self.segment_len = 0;
        self.synced_len = 0;
        let mut records = self.encoder();
        records.push(
            RecordKind::SegmentStart,
            NO_GROUP,
            Index(0),
            &FORMAT_VERSION.to_le_bytes(),
        );
        for (name, group) in self.log.groups.clone().iter() {
            if let Some(hard) = &group.hard_state {
                self.push_record(&mut records, RecordKind::HardState, name, Index(0), hard);
            }
            if group.snapshot_index != Index(0) {
                self.push_record(
                    &mut records,
                    RecordKind::Snapshot,
                    name,
                    group.snapshot_index,
                    &[],
                );
            }
        }
        for (name, index, payload) in copies {
            self.push_record(
                &mut records,
                RecordKind::CopiedEntry,
                &name,
                index,
                &payload,
            );
        }
        records.push(RecordKind::SyncMark, NO_GROUP, Index(0), &[]);
        let path = self.segment_path();
        self.segment_file = create(&*self.disk, &path)?;
        self.append(&records.bytes)?;
        self.head_len = self.segment_len;
        self.sync()?;
        // Older segments are removed only after the next write, whose records show that this head
        // was synced.
        sync_folder(&*self.disk, &self.settings.folder, self.settings.sync_delay)
    }

    /// Removes segments without live entries, from the oldest up to the first with one.
    fn remove_dead_segments(&mut self) -> Result<(), JournalError> {
        loop {
            let oldest = self.log.segments.iter().next();
            let (number, live_bytes) = oldest.map_or((self.segment_number, 0), |(n, usage)| {
                (*n, usage.live_bytes)
            });
            if number == self.segment_number || live_bytes > 0 {
                return Ok(());
            }
            let path = self.settings.folder.join(segment_file_name(number));
            remove(&*self.disk, &path)?;
            sync_folder(&*self.disk, &self.settings.folder, self.settings.sync_delay)?;
            self.log.segments.remove(&number);
        }
    }
}

fn lock_folder(disk: &dyn Disk, folder: &Path) -> Result<Box<dyn Any + Send>, JournalError> {
    // Listing first distinguishes a missing folder from a lock file that cannot be created.
    list_files(disk, folder)?;
    let path = folder.join(LOCK_FILE);
    match disk.lock(&path) {
        Ok(Some(lock)) => Ok(lock),
        Ok(None) => Err(JournalError::Locked {
            path: folder.to_path_buf(),
        }),
        Err(error) => Err(JournalError::io("lock", &path, &error)),
    }
}

/// Lists the files of the folder with their kinds.
fn list_files(disk: &dyn Disk, folder: &Path) -> Result<Vec<(String, FileKind)>, JournalError> {
    let names = disk.list(folder).map_err(|error| match error.kind() {
        std::io::ErrorKind::NotFound => JournalError::NoFolder {
            path: folder.to_path_buf(),
        },
        _ => JournalError::io("list", folder, &error),
    })?;
    let files = names.into_iter().map(|name| {
        let kind = FileKind::parse(&name);
        (name, kind)
    });
    Ok(files.collect())
}

/// Reads the identity, or creates one for an empty folder.
fn load_or_create_identity(disk: &dyn Disk, settings: &Settings) -> Result<Identity, JournalError> {
    let node = match read_identity(disk, &settings.folder)? {
        Some(node) => node,
        None => {
            let node = NodeId {
                vm: settings.vm.clone(),
                folder: settings.new_folder_id.get(),
            };
            initialize_folder(disk, &settings.folder, &node, settings.sync_delay)?;
            return Ok(Identity {
                node,
                created: true,
            });
        }
    };
    if node.vm != settings.vm {
        return Err(JournalError::OtherVm {
            path: settings.folder.clone(),
            owner: node.vm,
            vm: settings.vm.clone(),
        });
    }
    Ok(Identity {
        node,
        created: false,
    })
}

/// Writes the first segment, then the identity, into an empty folder. With this order, a folder
/// that has an identity but no segment has lost its log.
fn initialize_folder(
    disk: &dyn Disk,
    folder: &Path,
    node: &NodeId,
    delay: Duration,
) -> Result<(), JournalError> {
    let no_identity = || JournalError::NoIdentity {
        path: folder.join(IDENTITY_FILE),
    };
    for (name, kind) in list_files(disk, folder)? {
        match kind {
            FileKind::Identity | FileKind::Temporary | FileKind::Other => {}
            // Left by an initialization that was interrupted before the identity was written.
            FileKind::Segment(1) => {
                if read(disk, &folder.join(name))?.len() > EMPTY_SEGMENT_BYTES {
                    return Err(no_identity());
                }
            }
            FileKind::Segment(_) | FileKind::Snapshot { .. } => return Err(no_identity()),
        }
    }
    let segment_id = SegmentId {
        folder: node.folder,
        segment: 1,
    };
    let mut head = Encoder::new(segment_id, 0, 0);
    head.push(
        RecordKind::SegmentStart,
        NO_GROUP,
        Index(0),
        &FORMAT_VERSION.to_le_bytes(),
    );
    head.push(RecordKind::SyncMark, NO_GROUP, Index(0), &[]);
    let path = folder.join(segment_file_name(1));
    let mut file = create(disk, &path)?;
    let result = file.write(&head.bytes);
    result.map_err(|e| JournalError::io("write", &path, &e))?;
    sync(&mut *file, &path, delay)?;
    sync_folder(disk, folder, delay)?;
    let text = encode_identity(node);
    write_file(disk, folder, IDENTITY_FILE, &[text.as_bytes()], delay)
}

/// Checks that the disk takes as many bytes as a sync mark has.
fn probe_space(disk: &dyn Disk, folder: &Path) -> Result<(), JournalError> {
    let path = temporary_path(folder, "space");
    let mut file = create(disk, &path)?;
    let result = file.write(&[0; EMPTY_SEGMENT_BYTES]);
    remove(disk, &path)?;
    result.map_err(|e| JournalError::io("write", &path, &e))
}

/// Writes a file under a temporary name, syncs it, renames it and syncs the folder.
fn write_file(
    disk: &dyn Disk,
    folder: &Path,
    name: &str,
    parts: &[&[u8]],
    delay: Duration,
) -> Result<(), JournalError> {
    let path = temporary_path(folder, name);
    let mut file = create(disk, &path)?;
    for part in parts {
        let result = file.write(part);
        result.map_err(|e| JournalError::io("write", &path, &e))?;
    }
    sync(&mut *file, &path, delay)?;
    rename_into_place(disk, folder, name, delay)
}

/// Renames a written and synced temporary file to its final name and syncs the folder.
fn rename_into_place(
    disk: &dyn Disk,
    folder: &Path,
    name: &str,
    delay: Duration,
) -> Result<(), JournalError> {
    let path = temporary_path(folder, name);
    let result = disk.rename(&path, &folder.join(name));
    result.map_err(|e| JournalError::io("rename", &path, &e))?;
    sync_folder(disk, folder, delay)
}

/// State of the last segment after replay.
struct LastSegment {
    number: u64,
    /// Length up to the last record, without trailing sync marks.
    len: u64,
    /// Length with trailing sync marks, unless the segment is written to a new file.
    marked_len: u64,
    head_len: u64,
    /// Whether a part of that length isn't known to be synced.
    has_unsynced: bool,
}

/// Reads and applies all segments.
fn replay_segments(
    disk: &dyn Disk,
    folder: &Path,
    folder_id: u64,
    files: &[(String, FileKind)],
) -> Result<(LogState, LastSegment), JournalError> {
    let mut numbers: Vec<u64> = Vec::new();
    numbers.extend(files.iter().filter_map(|(_, kind)| match kind {
        FileKind::Segment(number) => Some(*number),
        _ => None,
    }));
    numbers.sort_unstable();
    let missing_file = |number| {
        Err(JournalError::MissingFile {
            path: folder.join(segment_file_name(number)),
        })
    };
    let (Some(first), Some(last)) = (numbers.first().copied(), numbers.last().copied()) else {
        return missing_file(1);
    };
    if let Some(pair) = numbers.windows(2).find(|pair| pair[1] != pair[0] + 1) {
        return missing_file(pair[0] + 1);
    }
    let mut log = LogState::default();
    let mut end = None;
    for number in numbers {
        let path = folder.join(segment_file_name(number));
        let bytes = read(disk, &path)?;
        let segment_id = SegmentId {
            folder: folder_id,
            segment: number,
        };
        let scan = scan(segment_id, &bytes);
        let corrupt = |reason| Err(JournalError::corrupt(&path, scan.end, reason));
        let has_tail = scan.end < bytes.len() as u64;
        if has_tail && (scan.corrupt || number != last) {
            return corrupt("record checksum mismatch");
        }
        check_format(&path, &scan)?;
        let is_sync_mark = |r: &&Record<'_>| r.kind == RecordKind::SyncMark;
        let Some(mark) = scan.records.iter().find(is_sync_mark) else {
            if number != last || number == first {
                return corrupt("incomplete segment head");
            }
            // The process ended while creating this segment; the older segments are complete.
            log::warn!("{}: removing incompletely created segment", path.display());
            remove(disk, &path)?;
            break;
        };
        let has_end = scan.records.last().map(|r| r.kind) == Some(RecordKind::SegmentEnd);
        if number != last && !has_end {
            return corrupt("missing end-of-segment record");
        }
        if has_tail {
            let (len, end) = (bytes.len(), scan.end);
            log::warn!(
                "{}: torn write truncated from {len} to {end} bytes",
                path.display()
            );
        }
        let head_len = mark.offset + mark.len;
        let records = scan.records.iter().rev();
        let marks = records.take_while(|r| r.kind == RecordKind::SyncMark && r.offset >= head_len);
        let len = marks.last().map_or(scan.end, |r| r.offset);
        apply_records(&mut log, number, &path, &scan, len)?;
        let has_unsynced = scan.synced_len() < len;
        end = Some(LastSegment {
            number,
            len,
            marked_len: if has_unsynced { len } else { scan.end },
            head_len,
            has_unsynced,
        });
    }
    Ok((log, end.expect("the first segment was read")))
}

fn check_format(path: &Path, scan: &Scan<'_>) -> Result<(), JournalError> {
    let Some(first) = scan.records.first() else {
        return Ok(());
    };
    match (first.kind, first.payload.try_into().map(u64::from_le_bytes)) {
        (RecordKind::SegmentStart, Ok(FORMAT_VERSION)) => Ok(()),
        (RecordKind::SegmentStart, Ok(version)) => Err(JournalError::UnsupportedFormat {
            path: path.to_path_buf(),
            version,
        }),
        _ => Err(JournalError::corrupt(path, 0, "invalid first record")),
    }
}

fn apply_records(
    log: &mut LogState,
    number: u64,
    path: &Path,
    scan: &Scan<'_>,
    len: u64,
) -> Result<(), JournalError> {
    log.segments
        .get_or_insert_with(number, SegmentUsage::default)
        .len = len;
    for record in &scan.records {
        match record.kind {
            RecordKind::SegmentStart | RecordKind::SyncMark | RecordKind::SegmentEnd => {}
            RecordKind::HardState
            | RecordKind::InstallSnapshot
            | RecordKind::Snapshot
            | RecordKind::Entry
            | RecordKind::CopiedEntry => {
                let name = group_name(path, record)?;
                let location = location(number, record);
                log.apply(&name, record.kind, record.index, record.payload, location);
            }
        }
    }
    Ok(())
}

fn group_name(path: &Path, record: &Record<'_>) -> Result<Name, JournalError> {
    Name::new(record.group)
        .map_err(|_| JournalError::corrupt(path, record.offset, "invalid group name"))
}

fn location(segment: u64, record: &Record<'_>) -> RecordLocation {
    RecordLocation {
        segment,
        offset: record.offset,
        len: record.len,
    }
}

fn read(disk: &dyn Disk, path: &Path) -> Result<Vec<u8>, JournalError> {
    disk.read(path)
        .map_err(|e| JournalError::io("read", path, &e))
}

fn create(disk: &dyn Disk, path: &Path) -> Result<Box<dyn DiskFile>, JournalError> {
    disk.create(path)
        .map_err(|e| JournalError::io("create", path, &e))
}

fn remove(disk: &dyn Disk, path: &Path) -> Result<(), JournalError> {
    disk.remove(path)
        .map_err(|e| JournalError::io("remove", path, &e))
}

fn sync(file: &mut dyn DiskFile, path: &Path, delay: Duration) -> Result<(), JournalError> {
    file.sync()
        .map_err(|e| JournalError::io("sync", path, &e))?;
    thread::sleep(delay);
    Ok(())
}

fn sync_folder(disk: &dyn Disk, folder: &Path, delay: Duration) -> Result<(), JournalError> {
    disk.sync_folder(folder)
        .map_err(|e| JournalError::io("sync", folder, &e))?;
    thread::sleep(delay);
    Ok(())
}
