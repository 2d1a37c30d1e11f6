//! The disk thread.

mod common;

use std::time::{Duration, Instant};

use common::{entries, folder, name, open, snapshot, FakeDisk};
use crossbeam_channel::{bounded, unbounded};
use greengage_core::Index;
use greengage_journal::{start, JournalError, SLICE_BYTES};

/// Guards against one sync for each batch, against tokens that are lost or out of order, and
/// against a thread that doesn't end with its channel.
#[test]
fn drained_batches_share_a_sync() {
    const BATCHES: u64 = 200;
    let disk = FakeDisk::with_folder(&folder());
    let (journal, _) = open(&disk).unwrap();
    disk.set_delay(Duration::from_millis(10));
    let (commands, inbox) = unbounded();
    for i in 1..=BATCHES {
        commands.send((entries("g", i, &["p"]), i)).unwrap();
    }
    drop(commands);
    let (done, results) = unbounded();
    let before = Instant::now();
    let thread = start(journal, inbox, move |result| done.send(result).unwrap()).unwrap();
    thread.join().unwrap();
    let tokens: Vec<_> = results.iter().map(Result::unwrap).collect();
    assert_eq!(tokens, (1..=BATCHES).collect::<Vec<_>>());
    // One sync for each batch would take 2 s.
    assert!(before.elapsed() < Duration::from_secs(1));
    let (_, found) = open(&disk).unwrap();
    assert_eq!(found.get(&name("g")).unwrap().entries.len(), 200);
}

/// Guards against a large snapshot that keeps other batches waiting until it is stored, and
/// against one that is never stored because there is always a batch waiting.
#[test]
fn snapshot_is_stored_between_batches() {
    const SLICES: u64 = 8;
    let disk = FakeDisk::with_folder(&folder());
    let (mut journal, _) = open(&disk).unwrap();
    journal.write(&[entries("g", 1, &["a", "b"])]).unwrap();
    let (commands, inbox) = unbounded();
    let mut large = snapshot("g", 1, "", false);
    large.snapshot.as_mut().unwrap().1 = vec![7; SLICES as usize * SLICE_BYTES];
    commands.send((large, 2)).unwrap();
    let (last, lasts) = bounded(1);
    let mut sender = Some(commands);
    let stored = disk.clone();
    // Each report sends the next batch, so that one always waits.
    let done = move |result: Result<u64, JournalError>| {
        let index = result.unwrap();
        if stored.has(&folder().join("snapshot-00000000000000000001-g")) {
            sender = None;
            last.send(index).unwrap();
        } else {
            assert!(index < 100, "the snapshot is not stored");
            let next = entries("g", index + 1, &["later"]);
            sender.as_ref().unwrap().send((next, index + 1)).unwrap();
        }
    };
    start(journal, inbox, done).unwrap().join().unwrap();
    let last = lasts.recv().unwrap();
    assert!(
        last > SLICES,
        "only {last} entries until the snapshot was stored"
    );
    let (_, found) = open(&disk).unwrap();
    let g = found.get(&name("g")).unwrap();
    assert_eq!(g.snapshot.as_ref().unwrap().0, Index(1));
    assert_eq!(g.entries.len() as u64, last - 1);
}

/// Guards against a snapshot that replaces the log and is reported before it is in force: the old
/// entries would come back after a crash.
#[test]
fn replacing_snapshot_is_in_force_when_reported() {
    let disk = FakeDisk::with_folder(&folder());
    let (mut journal, _) = open(&disk).unwrap();
    journal.write(&[entries("g", 1, &["a", "b", "c"])]).unwrap();
    let (commands, inbox) = unbounded();
    let replacing = snapshot("g", 2, "state", true);
    commands.send((replacing, ())).unwrap();
    drop(commands);
    let reported = disk.clone();
    let done = move |result: Result<(), JournalError>| {
        result.unwrap();
        let (_, found) = open(&reported.copy()).unwrap();
        let g = found.get(&name("g")).unwrap();
        assert_eq!(g.snapshot, Some((Index(2), b"state".to_vec())));
        assert_eq!(g.entries, []);
    };
    start(journal, inbox, done).unwrap().join().unwrap();
}

/// Guards against a sender that blocks for good, or gets no answer, after the disk has failed.
#[test]
fn failed_disk_answers_every_batch() {
    let disk = FakeDisk::with_folder(&folder());
    let (journal, _) = open(&disk).unwrap();
    disk.die_at(Some(0));
    let (commands, inbox) = bounded(1);
    let (done, results) = unbounded();
    let thread = start(journal, inbox, move |result| done.send(result).unwrap()).unwrap();
    for i in 1..=20 {
        commands.send((entries("g", i, &["p"]), i)).unwrap();
    }
    drop(commands);
    thread.join().unwrap();
    let errors: Vec<_> = results.iter().map(Result::unwrap_err).collect();
    assert_eq!(errors.len(), 20);
    assert!(matches!(errors[0], JournalError::Io { .. }));
    assert!(matches!(errors[19], JournalError::Stopped { .. }));
}
