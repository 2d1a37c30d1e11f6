//! A leader's replication state of one other member.

use std::collections::VecDeque;

use greengage_core::{Index, Time};

/// Limit of unacknowledged batches per member; later entries wait and form larger batches.
const MAX_INFLIGHT_BATCHES: usize = 16;

/// Bytes of unacknowledged commands per member from which no further batch is sent. Each message is
/// an encoded copy of its entries, which waits in memory while a connection has stalled.
const MAX_INFLIGHT_BYTES: u64 = 8 << 20;

/// Limit of entries in one message, for groups with small entries. With `MAX_INFLIGHT_BATCHES` this
/// allows 1024 unacknowledged entries per member: over 100,000 entries per second if a round trip and
/// a synced write take 10 ms together.
pub const DEFAULT_BATCH_ENTRIES: usize = 64;

/// Election timeouts after which an unacknowledged snapshot is resent. Exponential backoff instead
/// left a group of three without a commit for over 2 s after the faults had ended.
pub(crate) const SNAPSHOT_RETRY_TIMEOUTS: u32 = 4;

/// How the leader replicates to a member.
#[derive(PartialEq, Eq)]
pub(crate) enum Mode {
    /// Searches the last matching entry with empty requests, one at a time.
    Probe,
    /// Pipelines entries while `Progress::accepts_batch`.
    Replicate,
    /// Waits for the member to acknowledge a snapshot.
    Snapshot {
        /// When it was last sent; `None` if it is to be sent once the member is active.
        sent_at: Option<Time>,
    },
}

/// An unacknowledged batch of entries.
pub(crate) struct Batch {
    /// The index of its last entry.
    pub(crate) last: Index,
    /// The bytes of its commands.
    pub(crate) bytes: u64,
}

pub(crate) struct Progress {
    /// The last index known to be durable at the member.
    pub(crate) match_index: Index,
    /// The index of the next entry to send.
    pub(crate) next_index: Index,
    pub(crate) mode: Mode,
    /// The unacknowledged batches.
    pub(crate) inflight: VecDeque<Batch>,
    /// When the member last replied in this term; initially when tracking began.
    pub(crate) last_active: Time,
    /// The last heartbeat round that the member acknowledged.
    pub(crate) acked_round: u64,
}

impl Progress {
    /// A member that is assumed to have all entries before `next_index`.
    pub(crate) fn new(next_index: Index, mode: Mode, now: Time) -> Progress {
        Progress {
            match_index: Index(0),
            next_index,
            mode,
            inflight: VecDeque::new(),
            last_active: now,
            acked_round: 0,
        }
    }

    /// Whether the member may be sent a batch before it acknowledges another one.
    pub(crate) fn accepts_batch(&self) -> bool {
        let bytes: u64 = self.inflight.iter().map(|batch| batch.bytes).sum();
        self.inflight.len() < MAX_INFLIGHT_BATCHES && bytes < MAX_INFLIGHT_BYTES
    }

    /// Records that all entries up to `index` are durable at the member.
    pub(crate) fn record_match(&mut self, index: Index) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index.next());
        while self
            .inflight
            .front()
            .is_some_and(|batch| batch.last <= self.match_index)
        {
            self.inflight.pop_front();
        }
    }

    /// Returns to `Mode::Replicate` after a successful reply. A member that needs a snapshot stays
    /// in `Mode::Snapshot` until it has all entries up to `snapshot_index`.
    pub(crate) fn resume(&mut self, snapshot_index: Index) {
        match self.mode {
            Mode::Replicate => {}
            Mode::Snapshot { .. } if self.match_index < snapshot_index => {}
            Mode::Snapshot { .. } | Mode::Probe => {
                self.mode = Mode::Replicate;
                self.next_index = self.match_index.next();
                self.inflight.clear();
            }
        }
    }

    /// Records that the member's log doesn't match before `next_index` but may match up to `hint`.
    /// Returns `false` for a duplicate or stale reply, which must not cause another probe.
    pub(crate) fn record_rejection(&mut self, hint: Index) -> bool {
        let next = hint.next().max(self.match_index.next());
        if next >= self.next_index || matches!(self.mode, Mode::Snapshot { .. }) {
            return false;
        }
        self.next_index = next;
        self.mode = Mode::Probe;
        self.inflight.clear();
        true
    }
}

/// The largest value that a majority of `values` reaches; `None` if `values` is empty.
pub(crate) fn majority_value<T: Ord + Copy>(mut values: Vec<T>) -> Option<T> {
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(values.len() / 2).copied()
}
