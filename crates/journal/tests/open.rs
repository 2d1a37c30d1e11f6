//! Opening a data folder: identity, locking and recovery.

mod common;

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;

use common::{batch, entries, folder, hard, name, open, settings, snapshot, FakeDisk};
use greengage_core::{Index, VmName};
use greengage_journal::{init, Batch, Journal, JournalError, RealDisk};

fn open_real_disk(path: &Path, vm: &str) -> Result<Journal, JournalError> {
    let opened = Journal::open(Box::new(RealDisk), settings(path, vm));
    opened.map(|(journal, _, _)| journal)
}

/// Guards against records that are not recovered from a real file system.
#[test]
fn real_disk_recovers_what_was_written() {
    let temp = tempfile::tempdir().unwrap();
    let mut journal = open_real_disk(temp.path(), "a").unwrap();
    let all = [
        hard("control", "term 3"),
        entries("control", 1, &["x", "y", "z"]),
        entries("zone", 1, &["p"]),
        entries("control", 3, &["w"]),
        snapshot("control", 1, "state", false),
    ];
    journal.write(&all).unwrap();
    journal.write(&[entries("zone", 2, &["q"])]).unwrap();
    drop(journal);
    let (_, identity, recovered) =
        Journal::open(Box::new(RealDisk), settings(temp.path(), "a")).unwrap();
    assert_eq!((identity.node.folder, identity.created), (7, false));
    let control = recovered.get("control").unwrap();
    assert_eq!(control.hard_state, Some(b"term 3".to_vec()));
    assert_eq!(control.snapshot, Some((Index(1), b"state".to_vec())));
    let expected = entries("control", 2, &["y", "w"]).entries;
    assert_eq!(control.entries, expected);
    let zone = recovered.get("zone").unwrap();
    assert_eq!(zone.entries, entries("zone", 1, &["p", "q"]).entries);
}

/// Guards against a VM that uses another VM's votes, and against a folder id that changes.
#[test]
fn folder_of_another_vm_is_refused() {
    let temp = tempfile::tempdir().unwrap();
    let path = temp.path().join("data");
    let vm = VmName::new("a").unwrap();
    let identity = init(&RealDisk, &path, &vm).unwrap();
    assert_eq!((identity.node.folder, identity.created), (0, true));
    let (_, again, recovered) = Journal::open(Box::new(RealDisk), settings(&path, "a")).unwrap();
    assert_eq!((again.node, again.created), (identity.node, false));
    assert!(recovered.is_empty());
    let other = JournalError::OtherVm {
        path: path.clone(),
        owner: vm.clone(),
        vm: VmName::new("b").unwrap(),
    };
    assert_eq!(open_real_disk(&path, "b").err(), Some(other));
    let initialized = JournalError::AlreadyInitialized {
        path: path.clone(),
        owner: vm.clone(),
    };
    assert_eq!(init(&RealDisk, &path, &vm), Err(initialized));
}

/// Guards against two processes that write to one folder.
#[test]
fn second_opener_is_refused() {
    let temp = tempfile::tempdir().unwrap();
    let first = open_real_disk(temp.path(), "a").unwrap();
    let path = temp.path().to_path_buf();
    let locked = JournalError::Locked { path };
    assert_eq!(open_real_disk(temp.path(), "a").err(), Some(locked.clone()));
    let vm = VmName::new("a").unwrap();
    assert_eq!(init(&RealDisk, temp.path(), &vm), Err(locked));
    drop(first);
    open_real_disk(temp.path(), "a").unwrap();
}

/// Guards against error messages without a path, and against creating the folder on the parent
/// file system while the data disk is not mounted.
#[test]
fn folder_errors_name_the_path() {
    let temp = tempfile::tempdir().unwrap();
    let path = temp.path().join("none");
    let missing = JournalError::NoFolder { path: path.clone() };
    assert_eq!(open_real_disk(&path, "a").err(), Some(missing));
    assert!(!path.exists());
    fs::write(&path, "a file").unwrap();
    let message = open_real_disk(&path, "a").err().unwrap().to_string();
    assert!(message.contains(path.to_str().unwrap()), "{message}");
    let forbidden = temp.path().join("forbidden");
    fs::create_dir(&forbidden).unwrap();
    fs::set_permissions(&forbidden, fs::Permissions::from_mode(0o500)).unwrap();
    // File modes do not restrict root.
    if fs::write(forbidden.join("probe"), "").is_err() {
        let message = open_real_disk(&forbidden, "a").err().unwrap().to_string();
        assert!(message.contains(forbidden.to_str().unwrap()), "{message}");
        assert!(message.contains("permission denied: give"), "{message}");
    }
}

/// Guards against a new identity for old votes, and against an old identity whose votes are lost.
#[test]
fn missing_identity_or_log_is_refused() {
    let disk = FakeDisk::with_folder(&folder());
    open(&disk).unwrap().0.write(&[hard("g", "vote")]).unwrap();
    let identity = folder().join("identity");
    let segment = folder().join("segment-00000000000000000001");
    let without = |path: &Path| {
        let disk = disk.copy();
        greengage_journal::Disk::remove(&disk, path).unwrap();
        open(&disk).err()
    };
    let no_identity = JournalError::NoIdentity {
        path: identity.clone(),
    };
    assert_eq!(without(&identity), Some(no_identity));
    let path = segment.clone();
    assert_eq!(without(&segment), Some(JournalError::MissingFile { path }));
    let bytes = disk.files()[&identity].clone();
    for i in 0..bytes.len() {
        let disk = disk.copy();
        let mut bytes = bytes.clone();
        bytes[i] ^= 1;
        disk.set_file(&identity, &bytes);
        let error = open(&disk).err().unwrap();
        assert!(matches!(error, JournalError::Corrupt { .. }), "{error}");
    }
}

/// Guards against a caller bug that causes a gap in the recovered log.
#[test]
fn batches_out_of_order_are_refused() {
    let disk = FakeDisk::with_folder(&folder());
    let (mut journal, _) = open(&disk).unwrap();
    journal.write(&[entries("g", 1, &["a", "b"])]).unwrap();
    journal.write(&[snapshot("g", 2, "s", false)]).unwrap();
    let gap = Batch {
        entries: vec![(Index(3), vec![]), (Index(5), vec![])],
        ..batch("g")
    };
    let clear = Batch {
        clear: true,
        ..batch("g")
    };
    let refused = [
        gap,
        clear,
        entries("g", 4, &["d"]),
        entries("g", 0, &["d"]),
        entries("new", 2, &["d"]),
        snapshot("g", 1, "s", false),
        snapshot("new", 0, "s", false),
    ];
    for batch in refused {
        let result = journal.write(std::slice::from_ref(&batch));
        let refused = matches!(result, Err(JournalError::OutOfOrder { .. }));
        assert!(refused, "{batch:?}: {result:?}");
    }
    let install = Batch {
        entries: entries("g", 10, &["x"]).entries,
        ..snapshot("g", 9, "t", true)
    };
    journal.write(&[entries("g", 3, &["c"]), install]).unwrap();
    drop(journal);
    let (_, recovered) = open(&disk).unwrap();
    let group = recovered.get(&name("g")).unwrap();
    assert_eq!(group.snapshot, Some((Index(9), b"t".to_vec())));
    assert_eq!(group.entries, entries("g", 10, &["x"]).entries);
}
