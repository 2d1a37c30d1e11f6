//! The open connections of a listener, and the counters of what its limits turn away.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Instant;

use greengage_budget::{Admission, Connections, Held};
use greengage_core::SortedMap;

use crate::stream::Exchange;
use crate::Shared;

/// Why a connection or request was turned away.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Reason {
    /// Closed for lack of places.
    Places,
    /// Closed or refused for lack of bytes.
    Bytes,
    /// Refused because no other connection may be closed.
    Full,
    /// The body exceeds its limit.
    Body,
    /// The body took too long.
    BodyTimeout,
    /// The head took too long.
    HeadTimeout,
    /// The answer was read too slowly.
    WriteTimeout,
}

impl Reason {
    fn label(self) -> &'static str {
        match self {
            Reason::Places => "connections",
            Reason::Bytes => "bytes",
            Reason::Full => "full",
            Reason::Body => "body",
            Reason::BodyTimeout => "body_timeout",
            Reason::HeadTimeout => "head_timeout",
            Reason::WriteTimeout => "write_timeout",
        }
    }
}

/// Counts what a limit of a listener has turned away, and logs the first of each second.
pub(crate) fn record_refusal(shared: &Shared, reason: Reason) {
    let label = reason.label();
    let second = shared.started.elapsed().as_secs() + 1;
    if shared.logged.swap(second, Ordering::Relaxed) != second {
        log::info!(event = "connection-shed", listener = shared.name.as_str(), reason = label;
            "a limit of the listener was reached");
    }
    metrics::counter!("greengage_listener_refused_total", "listener" => shared.name.clone(),
        "reason" => label)
    .increment(1);
}

/// The open connections of a listener.
pub(crate) struct Table {
    connections: RefCell<Connections>,
    exchanges: RefCell<SortedMap<u64, Rc<Exchange>>>,
}

impl Table {
    pub(crate) fn new(shared: &Shared) -> Rc<Table> {
        let limits = &shared.limits;
        let bytes = [limits.max_buffered_bytes, limits.max_answer_bytes];
        let connections = Connections::new(limits.max_connections, bytes, limits.shortage);
        Rc::new(Table {
            connections: RefCell::new(connections),
            exchanges: RefCell::default(),
        })
    }

    /// Adds a connection; `None` if there is no place.
    pub(crate) fn open(self: &Rc<Table>, now: Instant, shared: &Shared) -> Option<Rc<Exchange>> {
        let (id, closed) = match self.connections.borrow_mut().open(now) {
            Admission::Opened(id, closed) => (id, closed),
            Admission::Full => {
                record_refusal(shared, Reason::Full);
                return None;
            }
        };
        self.shed(closed, shared, Reason::Places);
        let exchange = Exchange::new(id, self.clone());
        self.exchanges.borrow_mut().insert(id, exchange.clone());
        Some(exchange)
    }

    /// Removes a connection that has ended.
    pub(crate) fn close(&self, id: u64) {
        self.connections.borrow_mut().close(id);
        self.exchanges.borrow_mut().remove(&id);
    }

    pub(crate) fn received(&self, now: Instant, id: u64, bytes: usize) {
        self.connections.borrow_mut().received(now, id, bytes);
    }

    pub(crate) fn progress(&self, now: Instant, id: u64, busy: bool) {
        self.connections.borrow_mut().progress(now, id, busy);
    }

    pub(crate) fn answering(&self, now: Instant, id: u64) {
        self.connections.borrow_mut().answering(now, id);
    }

    /// Sets how many bytes a connection holds; returns whether it may.
    pub(crate) fn hold(&self, id: u64, kind: Held, bytes: usize, shared: &Shared) -> bool {
        let mut closed = Vec::new();
        let mut connections = self.connections.borrow_mut();
        let granted = connections.hold(id, kind, bytes, &mut closed);
        drop(connections);
        self.shed(closed, shared, Reason::Bytes);
        if !granted && bytes > 0 {
            record_refusal(shared, Reason::Bytes);
        }
        granted
    }

    /// Tells connections that they have to end.
    fn shed(&self, closed: impl IntoIterator<Item = u64>, shared: &Shared, reason: Reason) {
        let mut exchanges = self.exchanges.borrow_mut();
        for id in closed {
            record_refusal(shared, reason);
            if let Some(exchange) = exchanges.remove(&id) {
                exchange.shed();
            }
        }
    }
}
