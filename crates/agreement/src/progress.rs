//! What a leader knows of one other member.

use std::collections::VecDeque;

use greengage_core::{Index, Time};

/// Batches sent to a member without an answer; further entries collect into larger batches.
pub(crate) const WINDOW_BATCHES: usize = 16;

/// Entries in one message. With the window this allows 1024 entries on their way to a member, over
/// 100,000 per second at a round trip and a synced write of 10 ms together.
pub(crate) const BATCH_ENTRIES: usize = 64;

/// A snapshot without an answer is sent again after this many election timeouts. Doubling the wait
/// each time left a group of three without a commit for over 2 s after a repair.
pub(crate) const SNAPSHOT_TIMEOUTS: u32 = 4;

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
        sent: Option<Time>,
    },
}

pub(crate) struct Progress {
    /// The last index known to be durable at the member.
    pub(crate) matched: Index,
    /// The next entry to send.
    pub(crate) next: Index,
    pub(crate) mode: Mode,
    /// The last index of each unanswered batch.
    pub(crate) inflight: VecDeque<Index>,
    /// When the member last answered in this term.
    pub(crate) active: Time,
    /// The last heartbeat round that the member answered.
    pub(crate) round: u64,
}

impl Progress {
    /// A member that may have all entries before `next`.
    pub(crate) fn new(next: Index, mode: Mode, now: Time) -> Progress {
        Progress {
            matched: Index(0),
            next,
            mode,
            inflight: VecDeque::new(),
            active: now,
            round: 0,
        }
    }

    /// Everything up to `index` is durable at the member.
    pub(crate) fn matched(&mut self, index: Index) {
        self.matched = self.matched.max(index);
        self.next = self.next.max(self.matched.next());
        while self.inflight.front().is_some_and(|i| *i <= self.matched) {
            self.inflight.pop_front();
        }
    }

    /// Sends entries again after a successful answer. A member that waits for a snapshot needs all
    /// of it first.
    pub(crate) fn resume(&mut self, snapshot: Index) {
        match self.mode {
            Mode::Replicate => {}
            Mode::Snapshot { .. } if self.matched < snapshot => {}
            Mode::Snapshot { .. } | Mode::Probe => {
                self.mode = Mode::Replicate;
                self.next = self.matched.next();
                self.inflight.clear();
            }
        }
    }

    /// The member lacks the entry before `next`; its log matches at most up to `hint`. Returns
    /// whether this was news: an answer that was duplicated or overtaken must not cause another
    /// message.
    pub(crate) fn rejected(&mut self, hint: Index) -> bool {
        let next = hint.next().max(self.matched.next());
        if next >= self.next || matches!(self.mode, Mode::Snapshot { .. }) {
            return false;
        }
        self.next = next;
        self.mode = Mode::Probe;
        self.inflight.clear();
        true
    }
}

/// The largest value that a majority of `values` reaches.
pub(crate) fn quorum<T: Ord + Copy>(mut values: Vec<T>) -> Option<T> {
    values.sort_unstable_by(|a, b| b.cmp(a));
    values.get(values.len() / 2).copied()
}
