//! The stored form of the control group's log entries and snapshots.
//!
//! They have a version of their own. Records of the version before hold documents only and are read as
//! such; an earlier program refuses those of this version.

use std::sync::Arc;

use greengage_agreement::{Entry, EntryKind, Snapshot};
use greengage_config::{Document, Edit, State};
use greengage_wire::{decode_as, encode_as, WireError};

/// Version of the records that hold edits and states.
const RECORD_VERSION: u8 = 2;
/// Version of those that hold documents.
const DOCUMENT_VERSION: u8 = 1;

/// Encodes a log entry.
pub fn encode_entry(entry: &Entry<Edit>) -> Vec<u8> {
    encode_as(RECORD_VERSION, entry)
}

/// Encodes a snapshot.
pub fn encode_snapshot(snapshot: &Snapshot<State>) -> Vec<u8> {
    encode_as(RECORD_VERSION, snapshot)
}

/// Decodes a log entry of either version.
pub fn decode_entry(bytes: &[u8]) -> Result<Entry<Edit>, WireError> {
    if bytes.first() != Some(&DOCUMENT_VERSION) {
        return decode_as(RECORD_VERSION, bytes);
    }
    let entry: Entry<Arc<Document>> = decode_as(DOCUMENT_VERSION, bytes)?;
    let kind = match entry.kind {
        EntryKind::Noop => EntryKind::Noop,
        EntryKind::Command(document) => EntryKind::Command(Edit::Document(document)),
        EntryKind::Config(config) => EntryKind::Config(config),
    };
    Ok(Entry {
        term: entry.term,
        index: entry.index,
        kind,
    })
}

/// Decodes a snapshot of either version.
pub fn decode_snapshot(bytes: &[u8]) -> Result<Snapshot<State>, WireError> {
    if bytes.first() != Some(&DOCUMENT_VERSION) {
        return decode_as(RECORD_VERSION, bytes);
    }
    let snapshot: Snapshot<Option<Arc<Document>>> = decode_as(DOCUMENT_VERSION, bytes)?;
    Ok(Snapshot {
        term: snapshot.term,
        index: snapshot.index,
        config: snapshot.config,
        state: State {
            document: snapshot.state,
            ..State::default()
        },
    })
}
