//! Which connection is closed when a listener is short of places or bytes.
//!
//! A connection makes progress when it is opened, with each KiB that arrives, and when its owner says
//! so. The one whose last progress is the oldest loses. Where the owner says which connections have
//! proved themselves, the others lose their places first. One whose request is being run is busy, and
//! never loses; one whose answer is being written loses its place to another one only once its caller
//! has stopped reading.

use std::time::{Duration, Instant};

use greengage_core::SortedMap;

/// Bytes that count as progress. Fewer may arrive at any rate without an end in sight.
const PROGRESS_BYTES: usize = 1 << 10;

/// Time without progress after which a caller has stopped reading its answer. One that reads makes
/// progress in each round trip, while one that reads slowly to hold its place lets the buffers of the
/// connection fill up.
const READ_TIMEOUT: Duration = Duration::from_millis(100);

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Held {
    /// A head or body that is being received.
    Incoming,
    /// An answer that hasn't been read.
    Answer,
}

/// What happens when places or bytes are short.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Shortage {
    /// The connection that needs them is refused.
    #[default]
    RefuseNew,
    /// The connection that has made the least progress is closed.
    CloseStalled,
}

/// Whether a new connection gets a place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It has this number. The other connection, if any, must be closed.
    Opened(u64, Option<u64>),
    /// No other one may be closed.
    Full,
}

#[derive(Clone, Copy, Debug)]
struct Connection {
    /// Time of the last progress.
    progressed: Instant,
    /// Bytes that have arrived since then.
    arrived: usize,
    busy: bool,
    /// Whether an answer is being written.
    answering: bool,
    /// Whether it has proved itself.
    proven: bool,
    /// Bytes held, by [`Held`].
    held: [usize; 2],
}

/// The open connections of a listener. One that must be closed is forgotten at once.
#[derive(Debug)]
pub struct Connections {
    open: SortedMap<u64, Connection>,
    last: u64,
    most: usize,
    held: [usize; 2],
    limits: [usize; 2],
    shortage: Shortage,
}

impl Connections {
    /// A listener with at most `most` connections, which hold at most `incoming` and `answers` bytes.
    pub fn new(most: usize, [incoming, answers]: [usize; 2], shortage: Shortage) -> Connections {
        Connections {
            open: SortedMap::default(),
            last: 0,
            most,
            held: [0; 2],
            limits: [incoming, answers],
            shortage,
        }
    }

    /// Adds a connection.
    pub fn open(&mut self, now: Instant) -> Admission {
        let mut closed = None;
        if self.open.len() >= self.most {
            let has_stopped = |other: &Connection| {
                !other.answering || now.saturating_duration_since(other.progressed) >= READ_TIMEOUT
            };
            let unproven = self.least_advanced(|other| !other.proven && has_stopped(other));
            closed = unproven.or_else(|| self.least_advanced(has_stopped));
            match closed {
                Some(id) => self.close(id),
                None => return Admission::Full,
            }
        }
        self.last += 1;
        let connection = Connection {
            progressed: now,
            arrived: 0,
            busy: false,
            answering: false,
            proven: false,
            held: [0; 2],
        };
        self.open.insert(self.last, connection);
        Admission::Opened(self.last, closed)
    }

    /// Removes a connection with all that it holds.
    pub fn close(&mut self, id: u64) {
        if let Some(connection) = self.open.remove(&id) {
            for (sum, held) in self.held.iter_mut().zip(connection.held) {
                *sum -= held;
            }
        }
    }

    /// Counts bytes that have arrived.
    pub fn received(&mut self, now: Instant, id: u64, bytes: usize) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.arrived += bytes;
            if connection.arrived >= PROGRESS_BYTES {
                (connection.arrived, connection.progressed) = (0, now);
            }
        }
    }

    /// Records progress. `busy` is whether the connection's request is being run.
    pub fn progress(&mut self, now: Instant, id: u64, busy: bool) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.progressed = now;
            (connection.arrived, connection.busy, connection.answering) = (0, busy, false);
        }
    }

    /// Records that a connection has delivered what only a wanted client sends.
    pub fn prove(&mut self, id: u64) {
        if let Some(connection) = self.open.get_mut(&id) {
            connection.proven = true;
        }
    }

    /// Records that an answer, or a part of it, is being written.
    pub fn answering(&mut self, now: Instant, id: u64) {
        self.progress(now, id, false);
        if let Some(connection) = self.open.get_mut(&id) {
            connection.answering = true;
        }
    }

    /// Sets how many bytes a connection holds; returns whether it may. The connections that have to be
    /// closed are added to `closed`. Holding fewer is always allowed, and so is holding an answer:
    /// the request has been run.
    pub fn hold(&mut self, id: u64, kind: Held, bytes: usize, closed: &mut Vec<u64>) -> bool {
        let i = kind as usize;
        let Some(before) = self.open.get(&id).map(|connection| connection.held[i]) else {
            return false;
        };
        while bytes > before && self.held[i] - before + bytes > self.limits[i] {
            match (self.least_advanced(|other| other.held[i] > 0), kind) {
                (Some(other), _) if other != id => {
                    self.close(other);
                    closed.push(other);
                }
                (_, Held::Incoming) => return false,
                (_, Held::Answer) => break,
            }
        }
        if let Some(connection) = self.open.get_mut(&id) {
            connection.held[i] = bytes;
            self.held[i] = self.held[i] - before + bytes;
        }
        true
    }

    /// The connection whose last progress is the oldest, among those that may be closed.
    fn least_advanced(&self, matches: impl Fn(&Connection) -> bool) -> Option<u64> {
        if self.shortage == Shortage::RefuseNew {
            return None;
        }
        let idle = self.open.iter().filter(|(_, c)| !c.busy && matches(c));
        idle.min_by_key(|(_, c)| c.progressed).map(|(id, _)| *id)
    }
}
