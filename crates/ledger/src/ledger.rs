//! The state machine.
//!
//! Invariants, asserted where they could break and checked together by [`Ledger::verify`]: a
//! closed entry never reopens; a stage only advances; the applied index increases with each command
//! and is the index of the last one. `Begin` returns only the keys that this command moved from
//! accepted to begun, so a command that is proposed twice starts no task twice.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use greengage_core::{
    value, AccountName, Digest, Incarnation, Index, JobKey, Name, Outcome, SortedMap, TargetName,
    WallTime, ZoneName,
};

use crate::command::{Applied, Command, Entry, Refused, Stage, Submission};
use crate::state::{EntryNumber, Record, State, StateData};

/// Limit of entries that one `Expire` removes, oldest first, which takes about 5 ms. After an hour
/// without a leader a million entries may be due; removing them in one command blocked all other
/// commands for 2.3 s.
pub const EXPIRE_BATCH_ENTRIES: usize = 2_000;

/// The size of the ledger.
#[value(copy)]
#[derive(Default)]
pub struct Counts {
    /// Number of entries in any stage.
    pub entries: u64,
    /// Number of entries that are accepted or begun.
    pub open: u64,
    /// Bytes of keys, tasks, results and fixed-size fields, without indexes.
    pub bytes: u64,
}

/// Entry numbers by the caller's id. A B-tree, because a sorted vector would move half a million
/// numbers per accepted key at a million entries, and a hash table would stall when it grows.
type NumbersById = BTreeMap<Name, EntryNumber>;

/// The state machine that records submissions, with indexes for lookup and expiry.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    state: StateData,
    /// Entry numbers by key. Zones and accounts are few, so each name is stored once.
    numbers: SortedMap<ZoneName, SortedMap<AccountName, NumbersById>>,
    /// Open entries in order of acceptance; a B-tree for the reason given at `NumbersById`.
    open_entries: BTreeSet<EntryNumber>,
    /// Closed entries by time of acceptance, which is the order of expiry.
    closed_entries: BTreeSet<(WallTime, EntryNumber)>,
    bytes: u64,
}

impl Ledger {
    /// Creates an empty ledger with applied index 0.
    pub fn new() -> Ledger {
        Ledger::default()
    }

    /// Applies the command at `index`, which must be higher than the applied index.
    ///
    /// Indexes may have gaps, since a log also has entries that aren't commands.
    ///
    /// # Panics
    ///
    /// If `index` isn't higher than the applied index.
    pub fn apply(&mut self, index: Index, command: &Command) -> Applied {
        assert!(
            index > self.state.applied_index,
            "command at index {index} after index {}: a log entry was applied twice",
            self.state.applied_index
        );
        self.state.applied_index = index;
        match command {
            Command::Accept {
                key,
                digest,
                submission,
                begun,
                accepted_at,
            } => self.accept(key, *digest, submission, *begun, *accepted_at),
            Command::Begin { keys } => self.begin(keys),
            Command::Close { key, outcome } => self.close(key, outcome),
            Command::Register {
                target,
                incarnation,
            } => self.register(target, *incarnation),
            Command::Deregister {
                target,
                incarnation,
            } => self.deregister(target, *incarnation),
            Command::Expire { before } => self.expire(*before),
        }
    }

    fn accept(
        &mut self,
        key: &JobKey,
        digest: Digest,
        submission: &Arc<Submission>,
        begun: bool,
        accepted_at: WallTime,
    ) -> Applied {
        if let Some(entry) = self.get(key) {
            if entry.digest == digest {
                return Applied::Duplicate(entry.stage.clone());
            }
            return Applied::Refused(Refused::OtherContent { key: key.clone() });
        }
        let key = self.intern_names(key);
        let record = Record {
            key: key.clone(),
            entry: Entry {
                digest,
                submission: Some(submission.clone()),
                stage: if begun { Stage::Begun } else { Stage::Accepted },
                accepted_at,
            },
        };
        self.bytes += record_bytes(&record);
        let number = self.state.push(record);
        self.open_entries.insert(number);
        let accounts = self.numbers.get_or_insert_with(key.zone, SortedMap::new);
        let ids = accounts.get_or_insert_with(key.account, NumbersById::new);
        ids.insert(key.id, number);
        Applied::Accepted
    }

    /// Returns the key with the account and zone names that the ledger already holds. Each decoded
    /// key has its own copies of these names, which would take 80 bytes per entry.
    fn intern_names(&self, key: &JobKey) -> JobKey {
        let ids = self
            .numbers
            .get(&key.zone)
            .and_then(|a| a.get(&key.account));
        let known = ids.and_then(|ids| ids.values().next());
        let Some(known) = known.map(|number| &self.state.record(*number).key) else {
            return key.clone();
        };
        JobKey {
            account: known.account.clone(),
            zone: known.zone.clone(),
            id: key.id.clone(),
        }
    }

    fn begin(&mut self, keys: &[JobKey]) -> Applied {
        let mut begun = Vec::with_capacity(keys.len());
        for key in keys {
            let Some(number) = self.number_of(key) else {
                continue;
            };
            if let Stage::Accepted = self.state.record(number).entry.stage {
                self.state.entry_mut(number).stage = Stage::Begun;
                begun.push(key.clone());
            }
        }
        Applied::Begun(begun)
    }

    fn close(&mut self, key: &JobKey, outcome: &Arc<Outcome>) -> Applied {
        let Some(number) = self.number_of(key) else {
            return Applied::Refused(Refused::Unknown { key: key.clone() });
        };
        let record = self.state.record(number);
        if let Stage::Closed(first_outcome) = &record.entry.stage {
            return Applied::AlreadyClosed(first_outcome.clone());
        }
        let before = record_bytes(record);
        let entry = self.state.entry_mut(number);
        entry.stage = Stage::Closed(outcome.clone());
        entry.submission = None;
        let accepted = entry.accepted_at;
        self.bytes = self.bytes - before + record_bytes(self.state.record(number));
        assert!(
            self.open_entries.remove(&number),
            "an open entry must be in the index of open entries"
        );
        self.closed_entries.insert((accepted, number));
        Applied::Closed
    }

    fn register(&mut self, target: &TargetName, incarnation: Incarnation) -> Applied {
        let targets = Arc::make_mut(&mut self.state.targets);
        let incarnations = targets.get_or_insert_with(target.clone(), Vec::new);
        if let Err(i) = incarnations.binary_search(&incarnation) {
            incarnations.insert(i, incarnation);
        }
        Applied::Done
    }

    fn deregister(&mut self, target: &TargetName, incarnation: Incarnation) -> Applied {
        let targets = Arc::make_mut(&mut self.state.targets);
        if let Some(incarnations) = targets.get_mut(target) {
            incarnations.retain(|i| *i != incarnation);
            if incarnations.is_empty() {
                targets.remove(target);
            }
        }
        Applied::Done
    }

    fn expire(&mut self, before: WallTime) -> Applied {
        for _ in 0..EXPIRE_BATCH_ENTRIES {
            if !self.has_expired(before) {
                break;
            }
            let (_, number) = self.closed_entries.pop_first().expect("an entry is due");
            let record = self.state.remove(number);
            assert!(
                matches!(record.entry.stage, Stage::Closed(_)),
                "open entry {} is in the index of closed entries",
                record.key
            );
            self.bytes -= record_bytes(&record);
            self.remove_key(&record.key);
        }
        Applied::Done
    }

    fn remove_key(&mut self, key: &JobKey) {
        let accounts = self
            .numbers
            .get_mut(&key.zone)
            .expect("the zone has an entry");
        let ids = accounts
            .get_mut(&key.account)
            .expect("the account has an entry");
        ids.remove(&key.id);
        if ids.is_empty() {
            accounts.remove(&key.account);
            if accounts.is_empty() {
                self.numbers.remove(&key.zone);
            }
        }
    }

    fn number_of(&self, key: &JobKey) -> Option<EntryNumber> {
        let ids = self.numbers.get(&key.zone)?.get(&key.account)?;
        ids.get(&key.id).copied()
    }

    /// The entry of `key`; `None` if it was never accepted or has expired.
    pub fn get(&self, key: &JobKey) -> Option<&Entry> {
        self.number_of(key).map(|n| &self.state.record(n).entry)
    }

    /// Accepted and begun entries in order of acceptance.
    pub fn open(&self) -> impl Iterator<Item = (&JobKey, &Entry)> {
        self.open_entries.iter().map(|number| {
            let record = self.state.record(*number);
            (&record.key, &record.entry)
        })
    }

    /// Target incarnations to which starts may have been sent, ordered by target name.
    pub fn registered_incarnations(&self) -> impl Iterator<Item = (&TargetName, Incarnation)> {
        let targets = self.state.targets.iter();
        targets.flat_map(|(target, incarnations)| {
            incarnations
                .iter()
                .map(move |incarnation| (target, *incarnation))
        })
    }

    /// The latest time of acceptance of any entry; `None` if the ledger is empty.
    pub fn last_accepted_at(&self) -> Option<WallTime> {
        let closed = self.closed_entries.last().map(|(accepted, _)| *accepted);
        let open = self.open().map(|(_, entry)| entry.accepted_at);
        open.chain(closed).max()
    }

    /// The index of the last applied command; 0 before the first one.
    pub fn applied_index(&self) -> Index {
        self.state.applied_index
    }

    /// Whether any closed entry was accepted before `before`, so that another `Expire` is needed.
    pub fn has_expired(&self, before: WallTime) -> bool {
        self.closed_entries
            .first()
            .is_some_and(|(at, _)| *at < before)
    }

    /// The number of entries and their size in bytes.
    pub fn counts(&self) -> Counts {
        Counts {
            entries: (self.open_entries.len() + self.closed_entries.len()) as u64,
            open: self.open_entries.len() as u64,
            bytes: self.bytes,
        }
    }

    /// A snapshot of the current state, which shares payloads and entries with the ledger.
    pub fn snapshot(&self) -> State {
        State(Arc::new(self.state.clone()))
    }

    /// Replaces the state with `state` and rebuilds the indexes.
    ///
    /// # Panics
    ///
    /// If `state` is older than the ledger or has a key twice.
    pub fn restore(&mut self, state: State) {
        assert!(
            state.applied_index() >= self.state.applied_index,
            "state at index {} after index {}: a ledger never goes back to an older state",
            state.applied_index(),
            self.state.applied_index
        );
        let mut ledger = Ledger {
            state: StateData::clone(&state.0),
            ..Ledger::default()
        };
        // Vectors first: building a B-tree from a vector is much faster than single insertions.
        let mut open = Vec::new();
        let mut closed = Vec::new();
        let mut keys: SortedMap<ZoneName, SortedMap<AccountName, Vec<(Name, EntryNumber)>>> =
            SortedMap::new();
        for (number, record) in state.0.records() {
            let entry = &record.entry;
            match entry.stage {
                Stage::Accepted | Stage::Begun => open.push(number),
                Stage::Closed(_) => closed.push((entry.accepted_at, number)),
            }
            ledger.bytes += record_bytes(record);
            let key = record.key.clone();
            let accounts = keys.get_or_insert_with(key.zone, SortedMap::new);
            let ids = accounts.get_or_insert_with(key.account, Vec::new);
            ids.push((key.id, number));
        }
        ledger.open_entries = open.into_iter().collect();
        ledger.closed_entries = closed.into_iter().collect();
        for (zone, accounts) in keys {
            let accounts = accounts.into_iter().map(|(account, ids)| {
                let entries = ids.len();
                let ids: NumbersById = ids.into_iter().collect();
                assert_eq!(
                    ids.len(),
                    entries,
                    "a key of {account} is in the state twice"
                );
                (account, ids)
            });
            ledger.numbers.insert(zone, accounts.collect());
        }
        *self = ledger;
    }

    /// Checks all invariants in time proportional to the number of entries; for tests.
    ///
    /// # Panics
    ///
    /// If an invariant is violated.
    pub fn verify(&self) {
        let mut entries = 0;
        let mut bytes = 0;
        for (number, record) in self.state.records() {
            let entry = &record.entry;
            let closed = matches!(entry.stage, Stage::Closed(_));
            assert_eq!(self.number_of(&record.key), Some(number), "{}", record.key);
            assert_eq!(entry.submission.is_none(), closed, "{}", record.key);
            assert_eq!(
                self.open_entries.contains(&number),
                !closed,
                "{}",
                record.key
            );
            let in_closed = self.closed_entries.contains(&(entry.accepted_at, number));
            assert_eq!(in_closed, closed, "{}", record.key);
            assert!(number < self.state.next_number, "{}", record.key);
            entries += 1;
            bytes += record_bytes(record);
        }
        let ids = self.numbers.values().flat_map(SortedMap::values);
        assert_eq!(ids.map(BTreeMap::len).sum::<usize>(), entries);
        assert_eq!(self.open_entries.len() + self.closed_entries.len(), entries);
        assert_eq!(self.bytes, bytes);
        for (chunk_number, chunk) in &self.state.chunks {
            let occupied = chunk.slots.iter().flatten().count() as u64;
            assert_eq!(chunk.occupied, occupied, "chunk {chunk_number}");
            assert!(occupied > 0, "chunk {chunk_number} is empty");
        }
    }
}

fn record_bytes(record: &Record) -> u64 {
    let submission = record.entry.submission.as_ref();
    let tasks = submission.map_or(0, |s| s.tasks.iter().map(|task| task.len()).sum::<usize>());
    let results = match &record.entry.stage {
        Stage::Accepted | Stage::Begun => 0,
        Stage::Closed(outcome) => match &**outcome {
            Outcome::Complete(results) => results.iter().map(|result| result.len()).sum::<usize>(),
            Outcome::Failed(_) => 0,
        },
    };
    (size_of::<Record>() + record.key.id.as_str().len() + tasks + results) as u64
}
