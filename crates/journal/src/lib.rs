//! Write-ahead log and snapshots of one VM. No other crate accesses files under the data folder.
//!
//! The data folder holds one segmented log that all groups share, so that one sync makes the
//! records of every group durable; one snapshot file per group; an identity file; and a lock
//! file. Payloads are opaque bytes: the caller defines what a hard state, an entry or a snapshot
//! contains.
//!
//! # Guarantees
//!
//! When `Journal::write` returns, all its batches survive a crash. `Journal::open` recovers all
//! of them and nothing that was not written. Records of a write that did not return may or may
//! not be recovered, but always as a prefix of the records written, and `open` syncs what it
//! recovers before it returns.
//!
//! # Torn writes and corruption
//!
//! Each record contains the length up to which the segment was synced when the record was
//! written. After each sync a sync mark with the new length is written; the next sync makes the
//! mark durable. A record whose checksum does not match is handled as follows:
//!
//! - In a segment other than the last, the record had been synced. It is corrupt, and opening
//!   fails.
//! - If a later valid record contains a synced length that includes the record, it had been
//!   synced. It is corrupt, and opening fails. This covers every record that was reported as
//!   durable, once the sync mark written after it has reached the disk.
//! - Otherwise the sync of the record may not have returned. The segment is truncated at the
//!   record, even if other records of the same write are valid: a disk may store the pages of one
//!   write in any order, and none of these records was reported as durable.
//!
//! One case cannot be distinguished from a torn write: corruption of a record of the last write
//! together with a lost or corrupt sync mark. The record is then truncated although it was
//! reported as durable, and the voter may forget a vote or an entry. This requires a disk that
//! loses or alters synced bytes at the very end of the log, between one sync and the next sync or
//! the write-back by the operating system. A log that was shortened by hand has the same effect.
//! A disk that reports a sync without carrying it out is not detected either.
//!
//! After a failed write or sync the journal accepts no more batches, because the operating system
//! may drop the unwritten pages and report success for the next sync. `Journal::open` may then read
//! records that are in the page cache only. A record counts as synced if a later one, such as the
//! sync mark, contains a synced length that includes it. If a record of the last segment doesn't,
//! the valid records of that segment and the identity are written to new files, which are synced
//! and renamed before `open` returns. All other files were synced before a record or file that
//! depends on them was written.
//!
//! Trailing sync marks are replaced when the folder is opened, since their own sync may have
//! failed. On a full disk they are kept and the journal opens stopped.

mod disk;
mod error;
mod folder;
mod group;
mod journal;
mod record;
mod thread;

pub use disk::{Disk, DiskFile, RealDisk};
pub use error::JournalError;
pub use folder::Identity;
pub use journal::{
    check, init, Batch, Journal, Recovered, Settings, DEFAULT_SEGMENT_BYTES, SNAPSHOT_SLICE_BYTES,
};
pub use thread::{start, MAX_SYNC_BATCHES, MAX_SYNC_BYTES};
