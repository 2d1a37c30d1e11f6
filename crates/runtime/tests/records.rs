//! Tests of the stored form of the control group's state.

use std::sync::Arc;

use greengage_agreement::{Config, Entry, EntryKind, Snapshot};
use greengage_config::{
    Document, Edit, EvacuationAction, EvacuationOrder, Evacuations, Limits, State,
};
use greengage_core::{Index, Payload, Term, Version, WallTime, ZoneName};
use greengage_runtime::{decode_entry, decode_snapshot, encode_entry, encode_snapshot};
use greengage_wire::{decode, encode};

fn document(version: u64) -> Arc<Document> {
    Arc::new(Document {
        version: Version(version),
        queues: Vec::new(),
        services: Vec::new(),
        limits: Limits { max_body_bytes: 9 },
        source: Payload::new(b"{}".to_vec()),
    })
}

fn entry<C>(command: C) -> Entry<C> {
    Entry {
        term: Term(3),
        index: Index(7),
        kind: EntryKind::Command(command),
    }
}

fn snapshot<S>(state: S) -> Snapshot<S> {
    Snapshot {
        term: Term(3),
        index: Index(7),
        config: Config::default(),
        state,
    }
}

/// Guards against an upgrade that can't read a data folder, or misreads its documents. Low versions
/// look like the numbers of kinds of edits.
#[test]
fn records_written_before_evacuations_are_read() {
    for version in 0..4 {
        let read = decode_entry(&encode(&entry(document(version)))).unwrap();
        assert_eq!(read, entry(Edit::Document(document(version))));
        let read = decode_snapshot(&encode(&snapshot(Some(document(version))))).unwrap();
        let state = State {
            document: Some(document(version)),
            ..State::default()
        };
        assert_eq!(read, snapshot(state));
    }
}

/// Guards against evacuated zones that a restart loses, and against an earlier program that misreads
/// them.
#[test]
fn evacuations_are_read_back_and_refused_by_earlier_programs() {
    let order = EvacuationOrder {
        zone: ZoneName::new("a").unwrap(),
        action: EvacuationAction::Start,
        received: WallTime(5),
    };
    let mut evacuations = Evacuations::default();
    assert!(evacuations.apply(&order));
    let (entry, snapshot) = (
        entry(Edit::Evacuation(order)),
        snapshot(State {
            document: None,
            evacuations,
        }),
    );
    assert_eq!(decode_entry(&encode_entry(&entry)).unwrap(), entry);
    assert_eq!(
        decode_snapshot(&encode_snapshot(&snapshot)).unwrap(),
        snapshot
    );
    assert!(decode::<Entry<Arc<Document>>>(&encode_entry(&entry)).is_err());
    assert!(decode::<Snapshot<Option<Arc<Document>>>>(&encode_snapshot(&snapshot)).is_err());
}
