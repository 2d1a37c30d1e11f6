//! The log in memory: snapshot, entries, configurations, and which entries are durable.
//!
//! Entries start after `base_index`, which is at or below the snapshot's index: some older entries
//! stay in memory so that a member that lags slightly needs no snapshot. Their number and their
//! bytes are bounded; a member that lags further gets the snapshot.

use std::collections::VecDeque;

use greengage_core::{Index, Term};

use crate::{Config, Entry, EntryKind, SaveSeq, Snapshot};

/// Entries kept in memory below the snapshot. At 25,000 entries per second a follower that lags
/// by 10 ms misses fewer entries than this.
const RETAINED_ENTRIES: u64 = 256;

/// Bytes of commands kept in memory below the snapshot. A command of more than this isn't kept: the
/// snapshot then costs a member that lags about as much as the entries.
const RETAINED_BYTES: u64 = 4 << 20;

pub(crate) fn index_before(index: Index) -> Index {
    Index(index.0 - 1)
}

/// An entry, and the bytes of all commands up to it since the log was created.
struct Stored<C> {
    entry: Entry<C>,
    end_bytes: u64,
}

pub(crate) struct Log<C, S> {
    snapshot: Option<Snapshot<S>>,
    base_index: Index,
    base_term: Term,
    /// The bytes of all commands up to `base_index`.
    base_bytes: u64,
    entries: VecDeque<Stored<C>>,
    command_bytes: fn(&C) -> usize,
    /// Configurations with the index at which each takes effect; the last one is in effect.
    configs: Vec<(Index, Config)>,
    commit_index: Index,
    applied_index: Index,
    /// All entries up to this index are durable.
    durable_index: Index,
    /// Unconfirmed saves in order, with the last index that each makes durable.
    pending_saves: VecDeque<(SaveSeq, Index)>,
    /// The first index changed since the last save was issued; `None` if nothing changed.
    unsaved_from: Option<Index>,
}

impl<C: Clone, S: Clone> Log<C, S> {
    pub(crate) fn new(
        initial: Config,
        snapshot: Option<Snapshot<S>>,
        entries: Vec<Entry<C>>,
        command_bytes: fn(&C) -> usize,
    ) -> Log<C, S> {
        let (base_index, base_term, config) = match &snapshot {
            Some(s) => (s.index, s.term, s.config.clone()),
            None => (Index(0), Term(0), initial),
        };
        let mut log = Log {
            snapshot,
            base_index,
            base_term,
            base_bytes: 0,
            entries: VecDeque::new(),
            command_bytes,
            configs: vec![(base_index, config)],
            commit_index: base_index,
            applied_index: base_index,
            durable_index: base_index,
            pending_saves: VecDeque::new(),
            unsaved_from: None,
        };
        for entry in entries.into_iter().filter(|e| e.index > base_index) {
            log.append(entry);
        }
        log.durable_index = log.last_index();
        log.unsaved_from = None;
        log
    }

    pub(crate) fn last_index(&self) -> Index {
        Index(self.base_index.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |s| s.entry.term)
    }

    pub(crate) fn commit_index(&self) -> Index {
        self.commit_index
    }

    pub(crate) fn applied_index(&self) -> Index {
        self.applied_index
    }

    pub(crate) fn durable_index(&self) -> Index {
        self.durable_index
    }

    pub(crate) fn snapshot(&self) -> Option<&Snapshot<S>> {
        self.snapshot.as_ref()
    }

    pub(crate) fn snapshot_index(&self) -> Index {
        self.snapshot.as_ref().map_or(Index(0), |s| s.index)
    }

    /// The configuration in effect.
    pub(crate) fn config(&self) -> &Config {
        &self.configs[self.configs.len() - 1].1
    }

    /// The index at which the configuration in effect was appended.
    pub(crate) fn config_index(&self) -> Index {
        self.configs[self.configs.len() - 1].0
    }

    fn offset(&self, index: Index) -> usize {
        (index.0 - self.base_index.0 - 1) as usize
    }

    /// The term of the entry at `index`; `None` if that entry isn't in memory.
    pub(crate) fn term(&self, index: Index) -> Option<Term> {
        if index == self.base_index {
            return Some(self.base_term);
        }
        if index < self.base_index || index > self.last_index() {
            return None;
        }
        Some(self.entries[self.offset(index)].entry.term)
    }

    /// Up to `limit` entries starting at `from`, which must be above `base_index`.
    pub(crate) fn slice(&self, from: Index, limit: usize) -> Vec<Entry<C>> {
        let start = self.offset(from);
        let end = start.saturating_add(limit).min(self.entries.len());
        let stored = self.entries.range(start..end);
        stored.map(|s| s.entry.clone()).collect()
    }

    /// As [`Log::slice`], with commands of `bytes` at most, but at least one entry.
    pub(crate) fn batch(&self, from: Index, limit: usize, bytes: u64) -> Vec<Entry<C>> {
        let last = self.end_bytes(index_before(from)) + bytes;
        let fitting = self.entries.partition_point(|s| s.end_bytes <= last);
        let fitting = fitting.saturating_sub(self.offset(from)).max(1);
        self.slice(from, limit.min(fitting))
    }

    /// The bytes of all commands up to `index`, counted from an arbitrary start.
    fn end_bytes(&self, index: Index) -> u64 {
        let index = index.min(self.last_index());
        match index > self.base_index {
            true => self.entries[self.offset(index)].end_bytes,
            false => self.base_bytes,
        }
    }

    /// The bytes of the commands in memory after index `after` up to index `last`.
    pub(crate) fn bytes_between(&self, after: Index, last: Index) -> u64 {
        self.end_bytes(last).saturating_sub(self.end_bytes(after))
    }

    pub(crate) fn append(&mut self, entry: Entry<C>) {
        assert_eq!(
            entry.index,
            self.last_index().next(),
            "the log has a gap: repair or replace this data folder"
        );
        assert!(
            entry.term >= self.last_term(),
            "terms in a log must not decrease"
        );
        self.unsaved_from.get_or_insert(entry.index);
        if let EntryKind::Config(config) = &entry.kind {
            self.configs.push((entry.index, config.clone()));
        }
        let bytes = match &entry.kind {
            EntryKind::Command(command) => (self.command_bytes)(command) as u64,
            EntryKind::Noop | EntryKind::Config(_) => 0,
        };
        let end_bytes = self.end_bytes(self.last_index()) + bytes;
        self.entries.push_back(Stored { entry, end_bytes });
    }

    /// Removes all entries from `from` on.
    pub(crate) fn truncate(&mut self, from: Index) {
        assert!(
            from > self.commit_index,
            "committed entries must not be truncated"
        );
        let kept = Index(from.0 - 1);
        self.entries.truncate(self.offset(from));
        self.configs.retain(|(index, _)| *index <= kept);
        self.durable_index = self.durable_index.min(kept);
        for (_, last) in &mut self.pending_saves {
            *last = (*last).min(kept);
        }
        self.unsaved_from = self.unsaved_from.filter(|d| *d <= kept);
    }

    pub(crate) fn commit_to(&mut self, index: Index) {
        assert!(
            index >= self.commit_index,
            "the commit index must not decrease"
        );
        assert!(
            index <= self.last_index(),
            "the commit index must not pass the end of the log"
        );
        self.commit_index = index;
    }

    /// Returns the committed entries that aren't applied yet and marks them as applied.
    pub(crate) fn take_committed(&mut self) -> Vec<Entry<C>> {
        if self.applied_index == self.commit_index {
            return Vec::new();
        }
        let count = (self.commit_index.0 - self.applied_index.0) as usize;
        let entries = self.slice(self.applied_index.next(), count);
        self.applied_index = self.commit_index;
        entries
    }

    /// Creates a snapshot of `state`, which includes all entries up to `index`, and drops older
    /// entries. `None` if the current snapshot already covers `index`.
    pub(crate) fn compact(&mut self, index: Index, state: S) -> Option<Snapshot<S>> {
        assert!(
            index <= self.applied_index,
            "a snapshot must cover only applied entries"
        );
        if index <= self.snapshot_index() {
            return None;
        }
        let term = self.term(index).expect("applied entries are in memory");
        let position = self.configs.iter().rposition(|(i, _)| *i <= index);
        let position = position.expect("the first configuration is at or below the snapshot");
        let snapshot = Snapshot {
            term,
            index,
            config: self.configs[position].1.clone(),
            state,
        };
        self.configs.drain(..position);
        self.snapshot = Some(snapshot.clone());
        self.drop_entries(self.retained_from(index));
        Some(snapshot)
    }

    /// The lowest base index that keeps the entries below a snapshot within their limits.
    fn retained_from(&self, snapshot_index: Index) -> Index {
        let by_number = Index(snapshot_index.0.saturating_sub(RETAINED_ENTRIES));
        let end = self.end_bytes(snapshot_index);
        let exceeds = |bytes: u64| end.saturating_sub(bytes) > RETAINED_BYTES;
        let by_bytes = match exceeds(self.base_bytes) {
            true => {
                let dropped = self.entries.partition_point(|s| exceeds(s.end_bytes));
                Index(self.base_index.0 + dropped as u64 + 1)
            }
            false => self.base_index,
        };
        by_number.max(by_bytes).max(self.base_index)
    }

    /// Drops the entries up to `base_index`.
    fn drop_entries(&mut self, base_index: Index) {
        let Some(term) = self.term(base_index) else {
            return;
        };
        self.base_bytes = self.end_bytes(base_index);
        self.entries
            .drain(..(base_index.0 - self.base_index.0) as usize);
        self.base_index = base_index;
        self.base_term = term;
    }

    /// Replaces the whole log with a leader's snapshot.
    pub(crate) fn install(&mut self, snapshot: Snapshot<S>) {
        assert!(
            snapshot.index > self.commit_index,
            "a snapshot must not revert committed entries"
        );
        self.base_index = snapshot.index;
        self.base_term = snapshot.term;
        self.commit_index = snapshot.index;
        self.applied_index = snapshot.index;
        self.entries.clear();
        self.configs = vec![(snapshot.index, snapshot.config.clone())];
        self.durable_index = Index(0);
        self.pending_saves.clear();
        self.unsaved_from = None;
        self.snapshot = Some(snapshot);
    }

    /// Returns the entries changed since the last save and marks them as included in a save.
    pub(crate) fn take_unsaved(&mut self) -> Vec<Entry<C>> {
        match self.unsaved_from.take() {
            Some(from) => self.slice(from, usize::MAX),
            None => Vec::new(),
        }
    }

    /// Records that the save `seq` covers all entries up to the last one.
    pub(crate) fn save_issued(&mut self, seq: SaveSeq) {
        self.pending_saves.push_back((seq, self.last_index()));
    }

    /// Records that all saves up to `seq` are durable.
    pub(crate) fn save_durable(&mut self, seq: SaveSeq) {
        while let Some((_, last)) = self.pending_saves.pop_front_if(|(s, _)| *s <= seq) {
            self.durable_index = self.durable_index.max(last);
        }
    }
}
