//! Durable records of one VM: the only crate that touches files under the data folder.
//!
//! One log for all groups, in segments, so that a single sync makes the records of every group
//! durable; one snapshot file for each group; an identity file; a lock file. The journal knows
//! only bytes: what a hard state, an entry or a snapshot contains is up to the caller.
//!
//! # What is promised
//!
//! When `Journal::write` returns, all its batches survive a crash. `Journal::open` recovers all
//! of them and nothing that was not written. Records whose write never returned may or may not be
//! recovered, but always as a prefix of what was written, and what is recovered is synced before
//! `open` returns.
//!
//! # A torn tail and a damaged record
//!
//! Each record names the length of the segment that was synced before the record was written.
//! After each sync a mark with the new length is written; the next sync covers it. A record whose
//! checksum does not match is handled as follows:
//!
//! - In a segment other than the last it was synced, so it is damage, and opening fails.
//! - When a valid record behind it names a length that includes it, it was synced, so it is
//!   damage, and opening fails. This covers every record that was reported as durable, as soon as
//!   the mark written after it has reached the disk.
//! - Otherwise its sync may not have returned. It and everything behind it is cut off, even when
//!   other records of the same write are valid: a disk may store the pages of one write in any
//!   order, and none of these records was reported as durable.
//!
//! Not to be told apart: damage to a record of the last write together with a lost or damaged
//! mark, and a write that was torn. Such a record is cut off although it was reported as durable.
//! This takes a disk that loses or alters synced bytes exactly at the end of the log, in the time
//! between one sync and the next one or the system's own write-back. It is not safe: the voter
//! may forget a vote or an entry. The same holds for a log that somebody shortened. A disk that
//! reports a sync and does not carry it out is not noticed either.
//!
//! After a failed write or sync the journal takes no more batches, because the system may drop
//! the unwritten pages and report success the next time. A restart then recovers what the system
//! still reads; after a failed sync that may include pages that are not on the disk.

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
    check, init, Batch, Journal, Recovered, Settings, SEGMENT_BYTES, SNAPSHOT_SLICE_BYTES,
};
pub use thread::{start, MAX_SYNC_BATCHES, MAX_SYNC_BYTES};
