//! What a leader knows of one other member.

use std::collections::VecDeque;

use greengage_core::{Index, Time};

/// Batches sent to a member without an answer; further entries collect into larger batches.
pub(crate) const MAX_INFLIGHT_BATCHES: usize = 16;

/// Entries in one message. With the window this allows 1024 entries on their way to a member, over
/// 100,000 per second at a round trip and a synced write of 10 ms together.
pub(crate) const MAX_BATCH_ENTRIES: usize = 64;

/// A snapshot without an answer is sent again after this many election timeouts. Doubling the wait
/// each time left a group of three without a commit for over 2 s after a repair.
pub(crate) const SNAPSHOT_RETRY_TIMEOUTS: u32 = 4;

/// How the leader sends to a member.
#[derive(PartialEq, Eq)]
pub(crate) enum Mode {
    /// Looks for the last matching entry with empty messages, one at a time.
    Probe,
    /// Sends entries without waiting for answers, up to the window.
    Replicate,
    /// Waits for a snapshot to arrive.
    Snapshot {
        /// When it was sent; `None` when it is to be sent as soon as the member answers.
        sent_at: Option<Time>,
    },
}

pub(crate) struct Progress {
    /// The last index known to be durable at the member.
    pub(crate) match_index: Index,
    /// The next entry to send.
    pub(crate) next_index: Index,
    pub(crate) mode: Mode,
    /// The last index of each unanswered batch.
    pub(crate) inflight: VecDeque<Index>,
    /// When the member last answered in this term.
    pub(crate) last_active: Time,
    /// The last heartbeat round that the member answered.
    pub(crate) acked_round: u64,
}

impl Progress {
    /// A member that may have all entries before `next`.
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

    /// Everything up to `index` is durable at the member.
    pub(crate) fn record_match(&mut self, index: Index) {
        self.match_index = self.match_index.max(index);
        self.next_index = self.next_index.max(self.match_index.next());
        while self
            .inflight
            .front()
            .is_some_and(|i| *i <= self.match_index)
        {
            self.inflight.pop_front();
        }
    }

    /// Sends entries again after a successful answer. A member that waits for a snapshot needs all
    /// of it first.
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

    /// The member lacks the entry before `next`; its log matches at most up to `hint`. Returns
    /// whether this was news: an answer that was duplicated or overtaken must not cause another
    /// message.
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

/// The largest value that a majority of `values` reaches.
pub(crate) fn majority_value<T: Ord + Copy>(mut values: Vec<T>) -> Option<T> {
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(values.len() / 2).copied()
}
