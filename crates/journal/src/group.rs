//! In-memory state of the log: current records of each group and their locations.
//!
//! [`LogState::apply`] is used for records being written and for records being replayed, so both
//! agree on which entries are live. Replay may read a copied entry before or after its neighbours,
//! so gaps are checked only after all segments have been replayed.

use greengage_core::{Index, Name, SortedMap};

use crate::record::RecordKind;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct RecordLocation {
    pub(crate) segment: u64,
    pub(crate) offset: u64,
    pub(crate) len: u64,
}

/// Current records of one group.
#[derive(Clone, Debug, Default)]
pub(crate) struct GroupState {
    pub(crate) hard_state: Option<Vec<u8>>,
    /// Last index that the current snapshot covers; 0 if there is no snapshot.
    pub(crate) snapshot_index: Index,
    /// Locations of the live entries.
    pub(crate) entries: SortedMap<Index, RecordLocation>,
}

impl GroupState {
    /// Highest index that the entries or the snapshot cover.
    pub(crate) fn last_index(&self) -> Index {
        let last = self.entries.keys().next_back().copied();
        last.unwrap_or(self.snapshot_index).max(self.snapshot_index)
    }

    /// Lowest missing index between the snapshot and the last entry; `None` if there is no gap.
    pub(crate) fn first_missing(&self) -> Option<Index> {
        let expected = (self.snapshot_index.0 + 1..).map(Index);
        let mut pairs = expected.zip(self.entries.keys());
        pairs.find_map(|(expected, index)| (expected != *index).then_some(expected))
    }
}

/// Size of a segment and of its live part.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SegmentUsage {
    /// Total length in bytes.
    pub(crate) len: u64,
    /// Bytes of the records of live entries.
    pub(crate) live_bytes: u64,
}

/// State of all groups and segments of the log.
#[derive(Clone, Debug, Default)]
pub(crate) struct LogState {
    pub(crate) groups: SortedMap<Name, GroupState>,
    pub(crate) segments: SortedMap<u64, SegmentUsage>,
}

impl LogState {
    /// Applies one record of a group.
    pub(crate) fn apply(
        &mut self,
        name: &Name,
        kind: RecordKind,
        index: Index,
        payload: &[u8],
        location: RecordLocation,
    ) {
        let LogState { groups, segments } = self;
        if !groups.contains(name) {
            groups.insert(name.clone(), GroupState::default());
        }
        let group = groups.get_mut(name).expect("the group was inserted");
        match kind {
            RecordKind::SegmentStart | RecordKind::SyncMark | RecordKind::SegmentEnd => {}
            RecordKind::HardState => group.hard_state = Some(payload.to_vec()),
            RecordKind::InstallSnapshot => {
                group.snapshot_index = index;
                retain_entries(group, segments, |_| false);
            }
            RecordKind::Snapshot => {
                group.snapshot_index = index;
                retain_entries(group, segments, |i| i > index);
            }
            RecordKind::Entry => {
                if index <= group.last_index() {
                    retain_entries(group, segments, |i| i < index);
                }
                insert_entry(group, segments, index, location);
            }
            RecordKind::CopiedEntry => insert_entry(group, segments, index, location),
        }
    }

    /// Sum over all segments.
    pub(crate) fn usage(&self) -> SegmentUsage {
        let add = |a: SegmentUsage, b: &SegmentUsage| SegmentUsage {
            len: a.len + b.len,
            live_bytes: a.live_bytes + b.live_bytes,
        };
        self.segments.values().fold(SegmentUsage::default(), add)
    }
}

fn retain_entries(
    group: &mut GroupState,
    segments: &mut SortedMap<u64, SegmentUsage>,
    retain: impl Fn(Index) -> bool,
) {
    group.entries.retain(|index, location| {
        let keep = retain(*index);
        if !keep {
            mark_dead(segments, *location);
        }
        keep
    });
}

fn insert_entry(
    group: &mut GroupState,
    segments: &mut SortedMap<u64, SegmentUsage>,
    index: Index,
    location: RecordLocation,
) {
    if index <= group.snapshot_index {
        return;
    }
    segments
        .get_or_insert_with(location.segment, SegmentUsage::default)
        .live_bytes += location.len;
    if let Some(previous) = group.entries.insert(index, location) {
        mark_dead(segments, previous);
    }
}

fn mark_dead(segments: &mut SortedMap<u64, SegmentUsage>, location: RecordLocation) {
    let usage = segments.get_mut(&location.segment);
    usage.expect("a live entry has a segment").live_bytes -= location.len;
}
