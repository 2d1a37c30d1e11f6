//! The replicated and stored state of the ledger: entries in copy-on-write chunks.
//!
//! Entries are numbered in order of acceptance and stored in chunks of [`CHUNK_SLOTS`] numbers. The
//! ledger shares its chunks with snapshots and copies a chunk before its first change after a
//! snapshot, so a snapshot increments one reference count per chunk and never copies a payload. The
//! numbers are part of the state: a restored ledger has the same chunks as the one that made the
//! snapshot.

use std::collections::BTreeMap;
use std::sync::Arc;

use greengage_core::{value, Incarnation, Index, JobKey, SortedMap, TargetName};

use crate::command::Entry;

/// Slots per chunk. At a million entries a snapshot takes 2.7 ms with 64 slots, 1.3 ms with 128 and
/// 0.7 ms with 256; a larger chunk makes the first change after a snapshot more expensive.
pub(crate) const CHUNK_SLOTS: u64 = 256;

/// An entry's number in order of acceptance, starting at 0 and never reused.
pub(crate) type EntryNumber = u64;

/// An entry and its key.
#[value]
pub(crate) struct Record {
    pub(crate) key: JobKey,
    pub(crate) entry: Entry,
}

/// Up to [`CHUNK_SLOTS`] entries, starting at a multiple of that number.
#[value]
#[derive(Default)]
pub(crate) struct Chunk {
    /// Records by number within the chunk; `None` if the entry has expired.
    pub(crate) slots: Vec<Option<Record>>,
    /// Number of slots with a record.
    pub(crate) occupied: u64,
}

/// Target incarnations to which starts may have been sent, by target, in ascending order.
pub(crate) type Targets = SortedMap<TargetName, Vec<Incarnation>>;

/// The content of a [`State`]; the order of the fields is the stored format.
#[value]
#[derive(Default)]
pub(crate) struct StateData {
    /// The index of the last applied command.
    pub(crate) applied_index: Index,
    /// The number of the next entry.
    pub(crate) next_number: EntryNumber,
    /// Chunks by the number of their first slot divided by [`CHUNK_SLOTS`]. A B-tree, because at a
    /// million entries a sorted vector would move 4,000 chunks for each chunk that expires.
    pub(crate) chunks: BTreeMap<EntryNumber, Arc<Chunk>>,
    /// Registered target incarnations.
    pub(crate) targets: Arc<Targets>,
}

impl StateData {
    pub(crate) fn record(&self, number: EntryNumber) -> &Record {
        let chunk = &self.chunks[&(number / CHUNK_SLOTS)];
        chunk.slots[(number % CHUNK_SLOTS) as usize]
            .as_ref()
            .expect("an indexed entry has a record")
    }

    pub(crate) fn entry_mut(&mut self, number: EntryNumber) -> &mut Entry {
        let chunk = self
            .chunks
            .get_mut(&(number / CHUNK_SLOTS))
            .expect("an indexed entry has a chunk");
        let record = Arc::make_mut(chunk).slots[(number % CHUNK_SLOTS) as usize].as_mut();
        &mut record.expect("an indexed entry has a record").entry
    }

    /// Appends an entry and returns its number.
    pub(crate) fn push(&mut self, record: Record) -> EntryNumber {
        let number = self.next_number;
        self.next_number += 1;
        let chunk = self.chunks.entry(number / CHUNK_SLOTS).or_default();
        let chunk = Arc::make_mut(chunk);
        // A chunk whose entries had all expired was dropped; its lower slots are empty.
        chunk.slots.resize((number % CHUNK_SLOTS) as usize, None);
        chunk.slots.push(Some(record));
        chunk.occupied += 1;
        number
    }

    /// Removes an entry and returns its record. A chunk without entries is dropped.
    pub(crate) fn remove(&mut self, number: EntryNumber) -> Record {
        let chunk_number = number / CHUNK_SLOTS;
        let chunk = self
            .chunks
            .get_mut(&chunk_number)
            .expect("an indexed entry has a chunk");
        let chunk = Arc::make_mut(chunk);
        let record = chunk.slots[(number % CHUNK_SLOTS) as usize]
            .take()
            .expect("an indexed entry has a record");
        chunk.occupied -= 1;
        if chunk.occupied == 0 {
            self.chunks.remove(&chunk_number);
        }
        record
    }

    /// All entries with their numbers, in order of acceptance.
    pub(crate) fn records(&self) -> impl Iterator<Item = (EntryNumber, &Record)> {
        self.chunks.iter().flat_map(|(chunk_number, chunk)| {
            let slots = chunk.slots.iter().enumerate();
            slots.filter_map(move |(i, record)| {
                let record = record.as_ref()?;
                Some((chunk_number * CHUNK_SLOTS + i as u64, record))
            })
        })
    }
}

/// An immutable snapshot of the ledger; a clone only increments a reference count.
#[value]
#[derive(Default)]
pub struct State(pub(crate) Arc<StateData>);

impl State {
    /// The index of the last applied command; 0 before the first one.
    pub fn applied_index(&self) -> Index {
        self.0.applied_index
    }
}
