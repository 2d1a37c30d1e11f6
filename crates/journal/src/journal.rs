//! Opening a data folder, writing batches, rotation of segments.
//!
//! A segment starts with a head that repeats the hard state and the snapshot index of each group.
//! Older segments therefore matter only for their live entries, and the oldest one is removed when
//! it has none. A group that seldom takes a snapshot would keep the oldest segment for good while
//! a busy one fills the disk; so when more than half of the log and [`SPARE_DEAD_SEGMENTS`] segments
//! on top are dead, rotation copies the live entries of the oldest segment into the new head.
//! Segments are removed oldest first, each removal being durable before the next.
//!
//! A snapshot is in force once its record in the log is durable. Its file is written under a
//! temporary name, synced, renamed, and the folder is synced before that record is written. A
//! snapshot that the log leads to can be deferred: its file is written in slices between other
//! batches, while the log still has the entries that it covers.

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

/// The length at which a segment is followed by a new one, unless set otherwise: 64 MiB.
pub const SEGMENT_BYTES: u64 = 64 << 20;

/// Dead segments that the log may hold in addition to half of its bytes.
const SPARE_DEAD_SEGMENTS: u64 = 4;

/// The length of a first segment without records of groups.
const EMPTY_SEGMENT_BYTES: usize = 60;

/// Bytes of a deferred snapshot that are written and synced at a time: 4 MiB. A snapshot of 200
/// MiB in one piece kept the log waiting for 0.7 to 1.0 s, longer than an election takes.
pub const SNAPSHOT_SLICE_BYTES: usize = 4 << 20;

/// The group name of records that belong to no group.
const NO_GROUP: &str = "";

/// How a data folder is used.
#[value(local)]
pub struct Settings {
    /// The data folder.
    pub folder: PathBuf,
    /// This VM.
    pub vm: VmName,
    /// The id to give to an empty folder; a random number.
    pub fresh: NonZeroU64,
    /// The length in bytes at which a segment is followed by a new one.
    pub segment_bytes: u64,
    /// Added to each sync, to measure how the system behaves on a slower disk.
    pub sync_delay: Duration,
}

/// What has to become durable for one group, in one step.
#[value(local)]
pub struct Batch {
    /// The group.
    pub group: Name,
    /// Replaces the hard state.
    pub hard: Option<Vec<u8>>,
    /// Consecutive entries; they replace all entries from the first one's index on.
    pub entries: Vec<(Index, Vec<u8>)>,
    /// A snapshot up to an index; entries up to that index are dropped.
    pub snapshot: Option<(Index, Vec<u8>)>,
    /// With a snapshot that the log doesn't lead to: all earlier entries are dropped.
    pub clear: bool,
}

/// What was recovered of one group.
#[value(local)]
#[derive(Default)]
pub struct Recovered {
    /// The hard state.
    pub hard: Option<Vec<u8>>,
    /// The snapshot and the index that it reaches.
    pub snapshot: Option<(Index, Vec<u8>)>,
    /// The entries behind the snapshot, without gaps.
    pub entries: Vec<(Index, Vec<u8>)>,
}

/// A snapshot that is being written in slices.
struct DeferredSnapshot {
    index: Index,
    payload: Vec<u8>,
    file: Box<dyn DiskFile>,
    /// Bytes of the payload that are written.
    written_bytes: usize,
    /// The checksum of these bytes.
    checksum: SnapshotChecksum,
}

/// An open data folder.
pub struct Journal {
    disk: Box<dyn Disk>,
    settings: Settings,
    /// The folder's id.
    folder_id: u64,
    log: LogState,
    /// The last segment.
    segment_file: Box<dyn DiskFile>,
    segment_number: u64,
    segment_len: u64,
    /// How much of the last segment is synced; the mark behind it is not.
    synced_len: u64,
    /// The length of the last segment's head.
    head_len: u64,
    /// Snapshots that are being written in slices, by group.
    deferred: SortedMap<Name, DeferredSnapshot>,
    /// The error of an earlier write.
    failure: Option<JournalError>,
    _lock: Box<dyn Any + Send>,
}

/// Prepares an empty folder, creating it where needed, as that of an initial voter: id 0.
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
        return Err(JournalError::Initialized {
            path: folder.to_path_buf(),
            owner: node.vm,
        });
    }
    let node = NodeId {
        vm: vm.clone(),
        folder: 0,
    };
    initialize_folder(disk, folder, &node, Duration::ZERO)?;
    Ok(Identity { node, fresh: true })
}

/// Checks that a data folder exists and belongs to `vm` or to no VM yet, and changes nothing.
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
    /// An empty folder gets the id `fresh` of the settings.
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
        let path = folder.join(segment_file_name(last.number));
        let mut file = disk
            .append(&path, last.len)
            .map_err(|e| JournalError::io("open", &path, &e))?;
        sync(&mut *file, &path, settings.sync_delay)?;
        sync_folder(&*disk, &folder, settings.sync_delay)?;
        let journal = Journal {
            disk,
            settings,
            folder_id,
            log,
            segment_file: file,
            segment_number: last.number,
            segment_len: last.len,
            synced_len: last.len,
            head_len: last.head_len,
            deferred: SortedMap::new(),
            failure: None,
            _lock: lock,
        };
        let recovered = journal.recover(&files)?;
        Ok((journal, identity, recovered))
    }

    /// Reads what is in force and removes snapshot files that are not.
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
                hard: group.hard_state.clone(),
                snapshot,
                entries: Vec::with_capacity(group.entries.len()),
            };
            recovered.insert(name.clone(), found);
        }
        for (segment, usage) in self.log.segments.iter() {
            if usage.live_bytes > 0 {
                for (group, index, payload) in self.live_entries(*segment)? {
                    let found = recovered.entry(group, Recovered::default);
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

    /// The live entries of a segment, which was read without an error before.
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

    /// Makes all batches durable, in order, with one sync of the log.
    ///
    /// After an error other than `Order` or `TooLong` nothing is written any more.
    pub fn write(&mut self, batches: &[Batch]) -> Result<(), JournalError> {
        self.ensure_running()?;
        self.validate(batches)?;
        if batches.is_empty() {
            return Ok(());
        }
        let result = self.write_validated(batches);
        self.stop_on_error(result)
    }

    /// Starts to store a snapshot that the log leads to, without waiting for it.
    ///
    /// [`Journal::advance_deferred`] does the work. A later snapshot of the group takes its place.
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
                reason: "the log does not lead from the snapshot in force to the deferred one",
            });
        }
        let result = self.start_deferred(group, index, payload);
        self.stop_on_error(result)
    }

    /// Whether the log has the entries up to `index` and the snapshot in force is older.
    pub fn can_defer_snapshot(&self, group: &Name, index: Index) -> bool {
        let group = self.log.groups.get(group);
        group.is_some_and(|g| g.snapshot_index < index && index <= g.last_index())
    }

    /// Whether `advance_deferred` has something to do.
    pub fn has_deferred_snapshot(&self) -> bool {
        !self.deferred.is_empty() && self.failure.is_none()
    }

    /// Writes and syncs one slice of a deferred snapshot, or puts it in force once all slices are
    /// written, and then returns its group and index.
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

    /// Drops the group's deferred snapshot.
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
        let deferred = self.deferred.remove(&group).expect("it was found");
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

    /// Adds the file of the group's snapshot to `replaced`, unless it is the one of `index`.
    fn collect_replaced(&self, group: &Name, index: Index, replaced: &mut Vec<String>) {
        let before = self
            .log
            .groups
            .get(group)
            .map_or(Index(0), |g| g.snapshot_index);
        if before != Index(0) && before != index {
            replaced.push(snapshot_file_name(before, group));
        }
    }

    /// Bytes of all segments.
    pub fn log_bytes(&self) -> u64 {
        self.log.usage().len
    }

    fn validate(&self, batches: &[Batch]) -> Result<(), JournalError> {
        // The last and the snapshot's index of each group after the batches checked so far.
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
            let (last, snapshot) = checked.entry(batch.group.clone(), initial);
            match &batch.snapshot {
                Some((index, _)) if *index < *snapshot => {
                    return out_of_order("the snapshot is older than the one in force");
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
                .chain(&batch.hard)
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
            // The hard state comes first, since a torn write may keep only the first records and
            // no entry may be recovered without the term that it was written in.
            if let Some(hard) = &batch.hard {
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
        // The batches are durable now, so a later failure concerns only later batches.
        if let Err(error) = self.finish_write(&replaced) {
            log::error!("the journal takes no more batches: {error}");
            self.failure = Some(error);
        }
        Ok(())
    }

    /// Writes the mark after a sync and removes what is no longer needed.
    fn finish_write(&mut self, replaced: &[String]) -> Result<(), JournalError> {
        self.write_sync_mark()?;
        for name in replaced {
            remove(&*self.disk, &self.settings.folder.join(name))?;
        }
        self.remove_dead_segments()
    }

    /// Writes a snapshot file under its final name; it is not in force yet.
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

    /// Encodes a record of a group and follows it.
    ///
    /// The log in memory runs ahead of the file here; after a failed write it isn't used again.
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
            .entry(self.segment_number, SegmentUsage::default)
            .len = self.segment_len;
        Ok(())
    }

    fn sync(&mut self) -> Result<(), JournalError> {
        let path = self.segment_path();
        sync(&mut *self.segment_file, &path, self.settings.sync_delay)?;
        self.synced_len = self.segment_len;
        Ok(())
    }

    /// Records that everything so far is synced.
    fn write_sync_mark(&mut self) -> Result<(), JournalError> {
        let mut records = self.encoder();
        records.push(RecordKind::SyncMark, NO_GROUP, Index(0), &[]);
        self.append(&records.bytes)
    }

    /// Starts a new segment.
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
        // The write that follows proves that the head was synced; older segments go after it.
        sync_folder(&*self.disk, &self.settings.folder, self.settings.sync_delay)
    }

    /// Removes the oldest segments as long as they have no live entry.
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
    // Listing first tells a missing folder from a lock file that can't be made.
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

/// The files of the folder with their kinds.
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

/// Reads the identity, or makes one for an empty folder.
fn load_or_create_identity(disk: &dyn Disk, settings: &Settings) -> Result<Identity, JournalError> {
    let node = match read_identity(disk, &settings.folder)? {
        Some(node) => node,
        None => {
            let node = NodeId {
                vm: settings.vm.clone(),
                folder: settings.fresh.get(),
            };
            initialize_folder(disk, &settings.folder, &node, settings.sync_delay)?;
            return Ok(Identity { node, fresh: true });
        }
    };
    if node.vm != settings.vm {
        return Err(JournalError::OtherVm {
            path: settings.folder.clone(),
            owner: node.vm,
            vm: settings.vm.clone(),
        });
    }
    Ok(Identity { node, fresh: false })
}

/// Writes the first segment, then the identity, into an empty folder. In this order a folder with
/// an identity and no segment has lost its log.
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
            // Left by a preparation that was interrupted before it wrote the identity.
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

/// Gives a file that was written and synced under its temporary name its final one.
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

/// The last segment as it was read.
struct LastSegment {
    number: u64,
    len: u64,
    head_len: u64,
}

/// Reads all segments.
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
            return corrupt("a record does not match its checksum");
        }
        check_format(&path, &scan)?;
        let is_sync_mark = |r: &&Record<'_>| r.kind == RecordKind::SyncMark;
        let Some(mark) = scan.records.iter().find(is_sync_mark) else {
            if number != last || number == first {
                return corrupt("the head of the segment is incomplete");
            }
            // The process ended while it created this segment; the older ones are complete.
            log::warn!("{} is incomplete and is removed", path.display());
            remove(disk, &path)?;
            break;
        };
        let has_end = scan.records.last().map(|r| r.kind) == Some(RecordKind::SegmentEnd);
        if number != last && !has_end {
            return corrupt("the end of the segment is missing");
        }
        if has_tail {
            let (len, end) = (bytes.len(), scan.end);
            log::warn!(
                "{}: torn write cut from {len} to {end} bytes",
                path.display()
            );
        }
        apply_records(&mut log, number, &path, &scan)?;
        end = Some(LastSegment {
            number,
            len: scan.end,
            head_len: mark.offset + mark.len,
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
        _ => Err(JournalError::corrupt(
            path,
            0,
            "it has no valid first record",
        )),
    }
}

fn apply_records(
    log: &mut LogState,
    number: u64,
    path: &Path,
    scan: &Scan<'_>,
) -> Result<(), JournalError> {
    log.segments.entry(number, SegmentUsage::default).len = scan.end;
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
        .map_err(|_| JournalError::corrupt(path, record.offset, "a group has no valid name"))
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
