//! The disk thread.

mod common;

use std::time::{Duration, Instant};

use common::{entries, folder, name, open, FakeDisk};
use crossbeam_channel::{bounded, unbounded};
use greengage_journal::{start, JournalError};

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
