//! The part of the ledger that is replicated, stored and sent: entries in chunks.
//!
//! Entries are numbered in the order of acceptance and kept in chunks of [`CHUNK_SLOTS`] numbers.
//! A chunk is shared between the ledger and its snapshots and copied before the first change
//! after a snapshot, so a snapshot costs one reference count for each chunk and never copies a
//! payload. Numbers are part of the state: a restored ledger has the same chunks as the one that
//! made the snapshot.

use std::collections::BTreeMap;
use std::sync::Arc;

use greengage_core::{value, Incarnation, Index, JobKey, SortedMap, TargetName};

use crate::command::Entry;

/// Entries of one chunk. At a million entries a snapshot took 2.7 ms with 64, 1.3 ms with 128 and
/// 0.7 ms with 256; a larger chunk makes the first change after a snapshot dearer.
pub(crate) const CHUNK_SLOTS: u64 = 256;

/// The number of an entry in the order of acceptance.
pub(crate) type EntryNumber = u64;

/// An entry and its key.
#[value]
pub(crate) struct Record {
    pub(crate) key: JobKey,
    pub(crate) entry: Entry,
}

/// The entries with the numbers from a multiple of [`CHUNK_SLOTS`] on.
#[value]
#[derive(Default)]
pub(crate) struct Chunk {
    /// Slots by number; `None` where the entry has expired.
    pub(crate) slots: Vec<Option<Record>>,
    /// Slots in use.
    pub(crate) occupied: u64,
}

/// Targets and those of their incarnations that may have been sent starts.
pub(crate) type Targets = SortedMap<TargetName, Vec<Incarnation>>;

/// The content of a state.
#[value]
#[derive(Default)]
pub(crate) struct StateData {
    /// The index of the last command.
    pub(crate) applied_index: Index,
    /// The number of the next entry.
    pub(crate) next_number: EntryNumber,
    /// Chunks by the number of their first slot, divided by [`CHUNK_SLOTS`]. A B-tree because at
    /// a million entries a sorted vector would move 4,000 chunks for each one that expires.
    pub(crate) chunks: BTreeMap<EntryNumber, Arc<Chunk>>,
    /// Registered targets.
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
        // A chunk that lost all its entries was dropped and starts again with empty slots.
        chunk.slots.resize((number % CHUNK_SLOTS) as usize, None);
        chunk.slots.push(Some(record));
        chunk.occupied += 1;
        number
    }

    /// Removes an entry and returns its slot.
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

    /// All entries with their numbers, in the order of acceptance.
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

/// The ledger's state at one index; a clone costs one reference count.
#[value]
#[derive(Default)]
pub struct State(pub(crate) Arc<StateData>);

impl State {
    /// The index of the last command in the state.
    pub fn applied(&self) -> Index {
        self.0.applied_index
    }
}
