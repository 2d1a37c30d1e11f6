//! Crashes at any operation: all durable records are recovered, and none that was not written.

mod common;

use std::env;

use common::{
    batch, entries, folder, hard, name, open, open_with_segments, snapshot, FakeDisk, Random,
};
use greengage_core::{Index, Name, SortedMap};
use greengage_journal::{Batch, Journal, JournalError, Recovered};

type Groups = SortedMap<Name, Recovered>;

/// One record of a batch. `record_steps` lists them in the order in which a torn write keeps them.
enum RecordStep<'a> {
    Hard(&'a Vec<u8>),
    Install(&'a (Index, Vec<u8>)),
    Entry(&'a (Index, Vec<u8>)),
    Snapshot(&'a (Index, Vec<u8>)),
}

fn record_steps(batch: &Batch) -> Vec<RecordStep<'_>> {
    let mut steps = Vec::new();
    steps.extend(batch.hard_state.iter().map(RecordStep::Hard));
    let (install, compact) = match batch.clear {
        true => (batch.snapshot.as_ref(), None),
        false => (None, batch.snapshot.as_ref()),
    };
    steps.extend(install.map(RecordStep::Install));
    steps.extend(batch.entries.iter().map(RecordStep::Entry));
    steps.extend(compact.map(RecordStep::Snapshot));
    steps
}

fn apply(group: &mut Recovered, step: &RecordStep<'_>) {
    match step {
        RecordStep::Hard(hard) => group.hard_state = Some((*hard).clone()),
        RecordStep::Install(snapshot) => {
            group.entries.clear();
            group.snapshot = Some((*snapshot).clone());
        }
        RecordStep::Entry(entry) => {
            group.entries.retain(|(index, _)| *index < entry.0);
            group.entries.push((*entry).clone());
        }
        RecordStep::Snapshot(snapshot) => group.snapshot = Some((*snapshot).clone()),
    }
    let covered = group.snapshot.as_ref().map_or(Index(0), |s| s.0);
    group.entries.retain(|(index, _)| *index > covered);
}

/// All states that a torn write of `batches` may leave: one per prefix of its records.
fn prefixes(durable: &Groups, batches: &[Batch]) -> Vec<Groups> {
    let mut states = vec![durable.clone()];
    for batch in batches {
        for step in record_steps(batch) {
            let mut state = states.last().unwrap().clone();
            apply(
                state.get_or_insert_with(batch.group.clone(), Recovered::default),
                &step,
            );
            states.push(state);
        }
    }
    states
}

/// Random valid batches after `state`, for a busy group and one that rarely writes.
fn random_write(state: &Groups, random: &mut Random) -> Vec<Batch> {
    let mut state = state.clone();
    let mut batches = Vec::new();
    for _ in 0..=random.below(3) {
        let group = if random.below(8) == 0 { "slow" } else { "busy" };
        let found = state.get_or_insert_with(name(group), Recovered::default);
        let covered = found.snapshot.as_ref().map_or(0, |s| s.0 .0);
        let last = found.entries.last().map_or(covered, |e| e.0 .0);
        let text = "x".repeat(random.below(40));
        let first = covered + 1 + random.below((last - covered) as usize) as u64;
        let batch = match random.below(10) {
            0 => hard(group, &text),
            1 => entries(group, first, &[&text, "replaced"]),
            2 if group == "busy" && last > covered => snapshot(group, first, &text, false),
            3 if group == "busy" => Batch {
                entries: entries(group, last + 4, &[&text]).entries,
                ..snapshot(group, last + 3, &text, true)
            },
            4 => Batch {
                hard_state: Some(b"both".to_vec()),
                ..entries(group, last + 1, &[&text])
            },
            _ => entries(group, last + 1, &[&text, "more"]),
        };
        for step in record_steps(&batch) {
            apply(found, &step);
        }
        batches.push(batch);
    }
    batches
}

/// Writes until an error; returns the durable state and the batches of the failed write.
fn run_writes(
    journal: &mut Journal,
    state: Groups,
    writes: usize,
    random: &mut Random,
) -> (Groups, Vec<Batch>) {
    let mut state = state;
    let mut deferred: Option<Batch> = None;
    for _ in 0..writes {
        let batches = random_write(&state, random);
        if journal.write(&batches).is_err() {
            return (state, batches);
        }
        state = prefixes(&state, &batches).pop().unwrap();
        if batches.iter().any(|b| b.snapshot.is_some()) {
            deferred = None;
        }
        let busy = name("busy");
        let last = state.get(&busy).and_then(|g| g.entries.last()).map(|e| e.0);
        if let (0, Some(index)) = (random.below(4), last) {
            let batch = snapshot("busy", index.0, "deferred", false);
            if journal
                .defer_snapshot(&busy, index, b"deferred".to_vec())
                .is_err()
            {
                return (state, Vec::new());
            }
            deferred = Some(batch);
        }
        // A deferred snapshot becomes current in one step; no part of it is recovered before.
        match (journal.advance_deferred(), &deferred) {
            (Ok(None), _) => {}
            (Ok(Some(_)), Some(batch)) => {
                state = prefixes(&state, std::slice::from_ref(batch)).pop().unwrap();
                deferred = None;
            }
            (Ok(Some(found)), None) => panic!("{found:?} was not deferred"),
            // The write may have succeeded and only the sync mark after it failed.
            (Err(_), batch) => return (state, Vec::from_iter(batch.clone())),
        }
    }
    (state, Vec::new())
}

const WRITES: usize = 40;
const SMALL_SEGMENT_BYTES: u64 = 300;

fn open_small_segments(disk: &FakeDisk) -> (Journal, Groups) {
    open_with_segments(disk, SMALL_SEGMENT_BYTES).unwrap_or_else(|error| panic!("{error}"))
}

fn seeds() -> impl Iterator<Item = u64> {
    let number = |name| env::var(name).ok().map(|text| text.parse().expect(name));
    let seed: u64 = number("GREENGAGE_SEED").unwrap_or(1);
    let cases: u64 = number("GREENGAGE_CASES").unwrap_or(200);
    seed..seed + cases
}

/// Guards against lost, torn and unwritten records after a crash at any operation, and against a
/// folder that cannot be opened or written afterwards.
#[test]
fn durable_records_survive_a_crash_at_any_operation() {
    for seed in seeds() {
        println!("GREENGAGE_SEED={seed} GREENGAGE_CASES=1");
        let disk = FakeDisk::with_folder(&folder());
        let (mut journal, _) = open_small_segments(&disk);
        run_writes(&mut journal, Groups::new(), WRITES, &mut Random(seed));
        let total = disk.operations() as usize;

        let mut random = Random(!seed);
        let disk = FakeDisk::with_folder(&folder());
        disk.fail_after(Some(random.below(total) as u64));
        let (durable, failed) = match open_with_segments(&disk, SMALL_SEGMENT_BYTES) {
            Ok((mut journal, _)) => {
                run_writes(&mut journal, Groups::new(), WRITES, &mut Random(seed))
            }
            Err(_) => (Groups::new(), Vec::new()),
        };
        let allowed = prefixes(&durable, &failed);
        for disk in [
            disk.copy(),
            disk.crash(&mut random),
            disk.crash(&mut random),
        ] {
            let (mut journal, found) = open_small_segments(&disk);
            assert!(allowed.contains(&found), "{found:?}\nnone of {allowed:?}");
            // A second crash during the next writes or the next open.
            disk.fail_after(Some(disk.operations() + random.below(60) as u64));
            let (durable, failed) = run_writes(&mut journal, found, WRITES, &mut random);
            let allowed = prefixes(&durable, &failed);
            let disk = disk.crash(&mut random);
            disk.fail_after(Some(random.below(8) as u64));
            let _ = open_with_segments(&disk, SMALL_SEGMENT_BYTES);
            let (mut journal, found) = open_small_segments(&disk.crash(&mut random));
            assert!(allowed.contains(&found), "{found:?}\nnone of {allowed:?}");
            run_writes(&mut journal, found, 5, &mut random);
        }
    }
}

/// Guards against records that are read back from the page cache after a failed sync, and are
/// missing after a power failure because no later sync writes them.
#[test]
fn records_read_back_after_a_failed_sync_survive_a_power_failure() {
    for seed in seeds() {
        println!("GREENGAGE_SEED={seed} GREENGAGE_CASES=1");
        let disk = FakeDisk::with_folder(&folder());
        let (mut journal, _) = open_small_segments(&disk);
        let mut random = Random(seed);
        disk.fail_after(Some(disk.operations() + random.below(60) as u64));
        run_writes(&mut journal, Groups::new(), WRITES, &mut random);
        drop(journal);
        // The next attempts to open the folder may fail as well.
        for _ in 0..random.below(3) {
            disk.fail_after(Some(disk.operations() + random.below(6) as u64));
            let _ = open_with_segments(&disk, SMALL_SEGMENT_BYTES);
        }
        disk.fail_after(None);
        let (mut journal, found) = open_small_segments(&disk);
        for _ in 0..4 {
            let (_, after) = open_small_segments(&disk.crash(&mut random));
            assert_eq!(after, found);
        }
        let (durable, _) = run_writes(&mut journal, found, 3, &mut random);
        let (_, after) = open_small_segments(&disk.crash(&mut random));
        assert_eq!(after, durable);
    }
}

/// Guards against a log that grows without bound because one group rarely takes a snapshot, and
/// against the loss of that group's entries when they are copied.
#[test]
fn rarely_written_group_does_not_keep_dead_segments() {
    let disk = FakeDisk::with_folder(&folder());
    let (mut journal, _) = open_small_segments(&disk);
    let slow = entries("slow", 1, &["a", "b", "c"]);
    journal.write(std::slice::from_ref(&slow)).unwrap();
    let mut longest = 0;
    for i in 1..2_000 {
        journal.write(&[entries("busy", i, &["payload"])]).unwrap();
        if i % 5 == 0 {
            journal
                .write(&[snapshot("busy", i, "state", false)])
                .unwrap();
        }
        longest = longest.max(journal.log_bytes());
    }
    assert!(longest < 10 * SMALL_SEGMENT_BYTES, "{longest} bytes");
    assert_eq!(disk.files().len(), expected_files(&disk));
    drop(journal);
    let (_, found) = open_small_segments(&disk);
    assert_eq!(found.get(&name("slow")).unwrap().entries, slow.entries);
}

/// Number of files in a folder with one snapshot: segments, identity and snapshot.
fn expected_files(disk: &FakeDisk) -> usize {
    let files = disk.files();
    let count_named = |text| {
        files
            .keys()
            .filter(|p| p.to_str().unwrap().contains(text))
            .count()
    };
    assert_eq!((count_named("snapshot"), count_named("temporary")), (1, 0));
    count_named("segment") + 2
}

/// Guards against a write to a full disk that is reported as success or corrupts existing records,
/// and against a later write that is reported as success.
#[test]
fn full_disk_stops_the_journal() {
    let disk = FakeDisk::with_folder(&folder());
    let (mut journal, _) = open(&disk).unwrap();
    journal.write(&[entries("g", 1, &["a"])]).unwrap();
    let used: usize = disk.files().values().map(Vec::len).sum();
    let long = "x".repeat(100);
    // The record is 127 bytes long.
    for free in 0..127 {
        let disk = disk.copy();
        let (mut journal, before) = open(&disk).unwrap();
        disk.set_capacity(Some(used + free));
        let full = journal.write(&[entries("g", 2, &[&long])]).unwrap_err();
        assert!(matches!(full, JournalError::DiskFull { .. }), "{full}");
        disk.set_capacity(None);
        let cause = Box::new(full);
        let stopped = Err(JournalError::Stopped { cause });
        assert_eq!(journal.write(&[batch("g")]), stopped);
        drop(journal);
        assert_eq!(open(&disk).unwrap().1, before);
    }
}

/// Guards against synced records that are lost when a folder is opened on a full disk, against a
/// process that can't start on one, and against a voter that returns although its disk is full.
#[test]
fn folder_on_a_full_disk_opens_stopped() {
    let disk = FakeDisk::with_folder(&folder());
    let (mut journal, _) = open(&disk).unwrap();
    journal.write(&[entries("g", 1, &["a", "b"])]).unwrap();
    drop(journal);
    let (_, before) = open(&disk).unwrap();
    let used: usize = disk.files().values().map(Vec::len).sum();
    disk.set_capacity(Some(used - 40));
    for _ in 0..3 {
        let (mut journal, found) = open(&disk).unwrap();
        assert!(journal.is_stopped());
        assert_eq!(found, before);
        assert!(journal.write(&[batch("g")]).is_err());
        assert_eq!(open(&disk.crash(&mut Random(1))).unwrap().1, before);
    }
    disk.set_capacity(None);
    let (journal, found) = open(&disk).unwrap();
    assert!(!journal.is_stopped());
    assert_eq!(found, before);
}
