//! What is in force of each group, and where in the log it is.
//!
//! The same function follows the records while they are written and while they are read again, so
//! both have the same view of which entries are live. Because a copied entry may be read before or
//! after its neighbours, gaps are looked for only when all segments have been read.

use greengage_core::{Index, Name, SortedMap};

use crate::record::Kind;

/// Where a record is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Place {
    pub(crate) segment: u64,
    pub(crate) offset: u64,
    pub(crate) len: u64,
}

/// What is in force of one group.
#[derive(Clone, Debug, Default)]
pub(crate) struct Group {
    pub(crate) hard: Option<Vec<u8>>,
    /// The index of the snapshot in force; 0 for none.
    pub(crate) snapshot: Index,
    /// The live entries.
    pub(crate) entries: SortedMap<Index, Place>,
}

impl Group {
    /// The index of the last entry or of the snapshot.
    pub(crate) fn last(&self) -> Index {
        let last = self.entries.keys().next_back().copied();
        last.unwrap_or(self.snapshot).max(self.snapshot)
    }

    /// The first index that is missing before a live entry.
    pub(crate) fn gap(&self) -> Option<Index> {
        let expected = (self.snapshot.0 + 1..).map(Index);
        let mut pairs = expected.zip(self.entries.keys());
        pairs.find_map(|(expected, index)| (expected != *index).then_some(expected))
    }
}

/// How much of a segment is in use.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Usage {
    /// Its length in bytes.
    pub(crate) len: u64,
    /// Bytes of live entries.
    pub(crate) live: u64,
}

/// All groups and segments.
#[derive(Clone, Debug, Default)]
pub(crate) struct Log {
    pub(crate) groups: SortedMap<Name, Group>,
    pub(crate) segments: SortedMap<u64, Usage>,
}

impl Log {
    /// Follows one record of a group.
    pub(crate) fn apply(
        &mut self,
        name: &Name,
        kind: Kind,
        index: Index,
        payload: &[u8],
        place: Place,
    ) {
        let Log { groups, segments } = self;
        if !groups.contains(name) {
            groups.insert(name.clone(), Group::default());
        }
        let group = groups.get_mut(name).expect("the group was inserted");
        match kind {
            Kind::Segment | Kind::Mark | Kind::End => {}
            Kind::Hard => group.hard = Some(payload.to_vec()),
            Kind::Install => {
                group.snapshot = index;
                keep(group, segments, |_| false);
            }
            Kind::Snapshot => {
                group.snapshot = index;
                keep(group, segments, |i| i > index);
            }
            Kind::Entry => {
                if index <= group.last() {
                    keep(group, segments, |i| i < index);
                }
                add(group, segments, index, place);
            }
            Kind::Copy => add(group, segments, index, place),
        }
    }

    /// Bytes of all segments.
    pub(crate) fn usage(&self) -> Usage {
        let add = |a: Usage, b: &Usage| Usage {
            len: a.len + b.len,
            live: a.live + b.live,
        };
        self.segments.values().fold(Usage::default(), add)
    }
}

fn keep(group: &mut Group, segments: &mut SortedMap<u64, Usage>, keep: impl Fn(Index) -> bool) {
    group.entries.retain(|index, place| {
        let keep = keep(*index);
        if !keep {
            release(segments, *place);
        }
        keep
    });
}

fn add(group: &mut Group, segments: &mut SortedMap<u64, Usage>, index: Index, place: Place) {
    if index <= group.snapshot {
        return;
    }
    segments.entry(place.segment, Usage::default).live += place.len;
    if let Some(before) = group.entries.insert(index, place) {
        release(segments, before);
    }
}

fn release(segments: &mut SortedMap<u64, Usage>, place: Place) {
    let usage = segments.get_mut(&place.segment);
    usage.expect("a live entry has a segment").live -= place.len;
}
