//! Torn writes and corruption at every byte offset of the files.

mod common;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use common::{entries, folder, hard, name, open, open_with_segments, snapshot, FakeDisk};
use greengage_core::{Index, Name, SortedMap};
use greengage_journal::{JournalError, Recovered};

fn segment(number: u64) -> PathBuf {
    folder().join(format!("segment-{number:020}"))
}

/// Returns the disk after each of three writes; the last write has two batches.
fn disks_after_writes() -> Vec<FakeDisk> {
    let disk = FakeDisk::with_folder(&folder());
    let (mut journal, _) = open(&disk).unwrap();
    let writes = [
        vec![hard("g", "term 1"), entries("g", 1, &["first", "second"])],
        vec![entries("h", 1, &["other group"])],
        vec![hard("g", "term 2"), entries("g", 3, &["third"])],
    ];
    let run = writes.iter().map(|batches| {
        journal.write(batches).unwrap();
        disk.copy()
    });
    run.collect()
}

fn recovered(disk: &FakeDisk) -> SortedMap<Name, Recovered> {
    open(disk).unwrap().1
}

fn segment_bytes(disk: &FakeDisk) -> Vec<u8> {
    disk.files()[&segment(1)].clone()
}

/// Guards against a torn write that prevents a start, removes records of an earlier write, or
/// causes the loss of later records.
#[test]
fn torn_tail_is_truncated_at_every_offset() {
    let disks = disks_after_writes();
    let (before, full) = (segment_bytes(&disks[1]), segment_bytes(&disks[2]));
    let earlier = recovered(&disks[1]);
    for len in before.len()..full.len() {
        let disk = disks[2].copy();
        disk.set_file(&segment(1), &full[..len]);
        let (mut journal, found) = open(&disk).unwrap();
        let g = found.get(&name("g")).unwrap();
        let old = earlier.get(&name("g")).unwrap();
        assert_eq!(g.entries[..2], old.entries, "cut at {len}");
        assert_eq!(found.get(&name("h")), earlier.get(&name("h")));
        journal.write(&[entries("h", 2, &["later"])]).unwrap();
        drop(journal);
        let again = recovered(&disk);
        assert_eq!(again.get(&name("g")), Some(g), "cut at {len}");
        assert_eq!(again.get(&name("h")).unwrap().entries.len(), 2);
    }
}

/// Guards against an unsynced write, whose pages were stored in any order, being reported as
/// corruption.
#[test]
fn unsynced_write_with_a_hole_is_truncated() {
    let disks = disks_after_writes();
    let (before, full) = (segment_bytes(&disks[1]), segment_bytes(&disks[2]));
    // Removes the 26 bytes of the sync mark: without it, the write may not have been synced.
    let unsynced = full.len() - 26;
    for offset in before.len()..unsynced {
        let disk = disks[2].copy();
        let mut bytes = full[..unsynced].to_vec();
        bytes[offset] ^= 0xff;
        disk.set_file(&segment(1), &bytes);
        let g = recovered(&disk).get(&name("g")).unwrap().clone();
        assert!(g.entries.len() < 3, "hole at {offset}");
    }
}

fn expect_corruption(disk: &FakeDisk, path: &Path, flipped_at: usize) {
    match open_with_segments(disk, 200).err() {
        Some(JournalError::Corrupt {
            path: found,
            offset,
            ..
        }) => {
            assert_eq!(found, path, "flipped at {flipped_at}");
            assert!(offset <= flipped_at as u64, "{offset} after {flipped_at}");
        }
        other => panic!("flipped at {flipped_at} in {}: {other:?}", path.display()),
    }
}

/// Guards against a corrupt synced record being truncated together with durable records behind it,
/// including the case that only the sync mark follows it.
#[test]
fn flipped_byte_is_refused_at_every_offset() {
    let disk = disks_after_writes().pop().unwrap();
    let full = segment_bytes(&disk);
    for offset in 0..full.len() - 26 {
        let disk = disk.copy();
        let mut bytes = full.clone();
        bytes[offset] ^= 1 << (offset % 8);
        disk.set_file(&segment(1), &bytes);
        expect_corruption(&disk, &segment(1), offset);
    }
    let mut bytes = full.clone();
    *bytes.last_mut().unwrap() ^= 1;
    let damaged = disk.copy();
    damaged.set_file(&segment(1), &bytes);
    assert_eq!(recovered(&damaged), recovered(&disk));
}

/// Returns a disk with a log of several segments and a snapshot.
fn disk_with_segments() -> FakeDisk {
    let disk = FakeDisk::with_folder(&folder());
    let (mut journal, _) = open_with_segments(&disk, 200).unwrap();
    journal.write(&[snapshot("g", 5, "state", true)]).unwrap();
    for i in 6..20 {
        let batches = [hard("g", &i.to_string()), entries("g", i, &["payload"])];
        journal.write(&batches).unwrap();
    }
    disk.copy()
}

/// Guards against undetected corruption of older segments and snapshots, including a file that is
/// missing or truncated at a record boundary, and against an error that does not name the file.
#[test]
fn corrupt_older_file_is_refused() {
    let disk = disk_with_segments();
    let files: BTreeMap<PathBuf, Vec<u8>> = disk.files();
    let (last, _) = files
        .range(segment(0)..segment(u64::MAX))
        .next_back()
        .unwrap();
    for (path, bytes) in &files {
        let name = path.file_name().unwrap().to_str().unwrap();
        if path == last || name == "identity" || name == "lock" {
            continue;
        }
        for offset in 0..bytes.len() {
            let flipped = disk.copy();
            let mut damaged = bytes.clone();
            damaged[offset] ^= 1 << (offset % 8);
            flipped.set_file(path, &damaged);
            expect_corruption(&flipped, path, offset);
            let truncated = disk.copy();
            truncated.set_file(path, &bytes[..offset]);
            expect_corruption(&truncated, path, offset);
        }
        let longer = disk.copy();
        longer.set_file(path, &[bytes.as_slice(), &[0]].concat());
        expect_corruption(&longer, path, bytes.len());
        let without = disk.copy();
        greengage_journal::Disk::remove(&without, path).unwrap();
        match open_with_segments(&without, 200).err() {
            Some(JournalError::MissingFile { path: lost }) => assert_eq!(&lost, path),
            Some(JournalError::MissingEntry { missing, .. }) => {
                assert!((Index(6)..Index(20)).contains(&missing), "{missing}");
            }
            other => panic!("without {}: {other:?}", path.display()),
        }
    }
}

/// Guards against record bytes inside a payload being accepted as records behind a torn one.
#[test]
fn log_bytes_in_a_payload_are_no_records() {
    let other = FakeDisk::with_folder(&folder());
    let (mut journal, _) = open(&other).unwrap();
    for i in 1..100 {
        journal.write(&[entries("g", i, &["payload"])]).unwrap();
    }
    let disk = FakeDisk::with_folder(&folder());
    let (mut journal, _) = open(&disk).unwrap();
    let mut batch = entries("g", 1, &[""]);
    batch.entries[0].1 = segment_bytes(&other);
    journal.write(&[batch]).unwrap();
    drop(journal);
    let bytes = segment_bytes(&disk);
    disk.set_file(&segment(1), &bytes[..bytes.len() - 30]);
    assert!(recovered(&disk).is_empty());
}
