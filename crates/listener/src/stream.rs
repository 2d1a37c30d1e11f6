//! A TCP stream that limits the times of an exchange and closes so that answers aren't reset.
//!
//! The kernel closes a connection whose peer acknowledges nothing (`TCP_USER_TIMEOUT`). A peer that
//! reads a byte now and then never triggers that, so this stream limits the time for the whole
//! response. It also limits the time to receive a head and the time between a response and the next
//! request, for which hyper has only one limit together.
//!
//! The stream also records how far the current request has come, so that a connection that ends
//! without a response can be logged with what was received.
//!
//! As its listener shuts down, the stream ends once no part of a request is in its socket. hyper's
//! graceful shutdown doesn't look there: it closes an idle connection whose next request has
//! arrived. A caller whose request is still on its way can't be told apart from an idle one, so an
//! idle connection gets a refusal before it is closed, which answers that request. The same holds
//! for a connection that was idle for too long.
//!
//! A socket that is closed with unread bytes is reset, and so is one that receives bytes later; a
//! reset destroys a response that the caller hasn't received yet. Therefore the write side is shut
//! down first, and the socket is read until the caller closes it.

use std::cell::Cell;
use std::future::Future;
use std::io::{self, Read, Write};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use greengage_budget::Held;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, Interest, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Sleep;

use crate::table::{record_refusal, Reason, Table};
use crate::Shared;

/// Size of the read buffer that each connection has. Longer heads are counted.
const READ_BUFFER_BYTES: usize = 8 << 10;
/// How long a socket is read after its write side was shut down.
const LINGER_TIMEOUT: Duration = Duration::from_millis(100);
/// Limit on the bytes that are read and dropped in that time.
const MAX_LINGER_BYTES: usize = 1 << 20;
/// Size of a read whose bytes are dropped.
const DISCARD_BYTES: usize = 4096;

/// How far the current request of a connection has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// No complete head has been received.
    Head,
    /// The body is being received.
    Body,
    /// The request is waiting for its response.
    Waiting,
    /// The response is being written.
    Response,
}

/// The current request of a connection, shared by its stream and its handler.
pub(crate) struct Exchange {
    /// Number of the connection in `table`.
    id: u64,
    table: Rc<Table>,
    /// Whether the connection has to end to make room.
    is_shed: Cell<bool>,
    /// Notified when it has to.
    shed: Notify,
    /// Bytes held for the current head.
    head_bytes: Cell<usize>,
    /// Bytes received since the last response was written.
    received: Cell<usize>,
    /// How far the request has come.
    phase: Cell<Phase>,
    /// Responses that were written in full.
    responses: Cell<usize>,
    /// Whether the listener shuts down.
    closing: Cell<bool>,
    /// Whether the stream has refused all requests that it doesn't answer.
    refused: Cell<bool>,
    /// Bytes that arrived after the last response or refusal.
    unread: Cell<usize>,
}

impl Exchange {
    pub(crate) fn new(id: u64, table: Rc<Table>) -> Rc<Exchange> {
        Rc::new(Exchange {
            id,
            table,
            is_shed: Cell::new(false),
            shed: Notify::new(),
            head_bytes: Cell::new(0),
            received: Cell::new(0),
            phase: Cell::new(Phase::Head),
            responses: Cell::new(0),
            closing: Cell::new(false),
            refused: Cell::new(false),
            unread: Cell::new(0),
        })
    }

    /// Whether the request was sent ahead, behind an earlier one.
    pub(crate) fn is_pipelined(&self) -> bool {
        self.received.get() == 0 && self.responses.get() > 0
    }

    /// Ends the connection once it is idle.
    pub(crate) fn close(&self) {
        self.closing.set(true);
    }

    /// Whether the connection ends once it is idle.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.get()
    }

    /// Whether no part of a request has been received since the last response.
    fn is_idle(&self) -> bool {
        self.received.get() == 0 && self.phase.get() == Phase::Head
    }

    /// Sets how far the current request has come.
    pub(crate) fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
    }

    /// Removes the connection, which has ended, from the table.
    pub(crate) fn end(&self) {
        self.table.close(self.id);
    }

    /// Ends the connection to make room.
    pub(crate) fn shed(&self) {
        self.is_shed.set(true);
        self.shed.notify_one();
    }

    /// Whether the connection has to end to make room.
    pub(crate) fn is_shed(&self) -> bool {
        self.is_shed.get()
    }

    /// Waits until the connection has to end.
    pub(crate) async fn wait_shed(&self) {
        self.shed.notified().await;
    }

    /// Sets the size of the body that is being received; returns whether there is room for it.
    pub(crate) fn hold_body(&self, bytes: usize, shared: &Shared) -> bool {
        let counted = bytes.saturating_sub(shared.limits.uncounted_bytes);
        let bytes = self.head_bytes.get() + counted;
        self.table.hold(self.id, Held::Incoming, bytes, shared)
    }

    /// Marks the request as complete. Its connection isn't closed until it is answered.
    pub(crate) fn start_request(&self, now: Instant, shared: &Shared) {
        self.set_phase(Phase::Waiting);
        self.table.progress(now, self.id, true);
        self.hold_body(0, shared);
    }

    /// Marks the request as answered with this many bytes.
    pub(crate) fn start_answer(&self, now: Instant, bytes: usize, shared: &Shared) {
        self.table.answering(now, self.id);
        self.table.hold(self.id, Held::Answer, bytes, shared);
    }

    /// Counts bytes that were read; returns whether there is room for them.
    fn arrived(&self, now: Instant, bytes: usize, shared: &Shared) -> bool {
        self.received.set(self.received.get() + bytes);
        self.table.received(now, self.id, bytes);
        let limits = &shared.limits;
        if self.phase.get() != Phase::Head || self.received.get() <= READ_BUFFER_BYTES {
            return true;
        }
        let read = self.received.get().min(limits.max_head_bytes);
        self.head_bytes.set(read.saturating_sub(READ_BUFFER_BYTES));
        self.hold_body(0, shared)
    }

    fn responded(&self, now: Instant, shared: &Shared) {
        self.table.progress(now, self.id, false);
        self.head_bytes.set(0);
        self.hold_body(0, shared);
        self.table.hold(self.id, Held::Answer, 0, shared);
        self.received.set(0);
        self.phase.set(Phase::Head);
        self.responses.set(self.responses.get() + 1);
    }

    /// Logs the end of a connection that leaves a request without a complete response.
    pub(crate) fn log_end(&self, cause: &str) {
        let (received, unread) = (self.received.get(), self.unread.get());
        if received + unread > 0 {
            log::info!(event = "connection-cut", received = received, unread = unread,
                refused = self.refused.get(), phase:? = self.phase.get(),
                responses = self.responses.get(), closing = self.closing.get(), cause = cause;
                "a connection ended without a response to its last request");
        }
    }
}

/// Waits until the caller has closed its side of the connection or reset it. Unlike a read, this isn't
/// held up by bytes behind the current request.
pub(crate) async fn read_closed(tcp: &TcpStream) {
    // Interest in priority data stands for a closed read side alone, as no priority data is reported.
    let _ = tcp.ready(Interest::PRIORITY).await;
}

pub(crate) struct TimedStream {
    tcp: Rc<TcpStream>,
    exchange: Rc<Exchange>,
    shared: Arc<Shared>,
    /// Ends at the limit for the head, or for the first byte of the next request.
    read_timer: Pin<Box<Sleep>>,
    /// When writing the current response started; `None` between responses.
    write_started: Option<Instant>,
    /// Ends the reading of a socket whose write side is shut down; `None` before.
    linger: Option<Pin<Box<Sleep>>>,
    /// Whether the caller has closed the connection.
    ended: bool,
}

impl TimedStream {
    pub(crate) fn new(
        tcp: Rc<TcpStream>,
        exchange: Rc<Exchange>,
        shared: &Arc<Shared>,
    ) -> TimedStream {
        TimedStream {
            tcp,
            exchange,
            shared: shared.clone(),
            read_timer: Box::pin(tokio::time::sleep(shared.limits.head_timeout)),
            write_started: None,
            linger: None,
            ended: false,
        }
    }

    /// Sends the refusal, of which the socket takes what its buffer has room for.
    fn refuse(&mut self) {
        let sent = write_refusal(&self.tcp, &self.shared.refusal);
        self.exchange.refused.set(sent);
    }

    /// Reads what is in the socket. Tokio's own read reports nothing until its reactor has run.
    fn read_now(&self, buf: &mut [u8]) -> io::Result<usize> {
        (&*SockRef::from(&*self.tcp)).read(buf)
    }

    fn poll_tcp_read(&self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        loop {
            ready!(self.tcp.poll_read_ready(cx))?;
            match self.tcp.try_read(buf.initialize_unfilled()) {
                Ok(read) => buf.advance(read),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => continue,
                Err(error) => return Poll::Ready(Err(error)),
            }
            return Poll::Ready(Ok(()));
        }
    }

    /// Writes with `write` once the socket has room.
    fn poll_tcp_write(
        &self,
        cx: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.tcp.poll_write_ready(cx))?;
            match write(&self.tcp) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                written => return Poll::Ready(written),
            }
        }
    }

    fn start_read_timer(&mut self, timeout: Duration) {
        let deadline = tokio::time::Instant::now() + timeout;
        self.read_timer.as_mut().reset(deadline);
    }

    /// Ends the reading of a head that takes too long, and of an idle connection.
    fn poll_read_timer(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.exchange.phase.get() != Phase::Head {
            return Poll::Pending;
        }
        ready!(self.read_timer.as_mut().poll(cx));
        if self.exchange.is_idle() && self.exchange.responses.get() > 0 {
            self.refuse();
            return Poll::Ready(Ok(()));
        }
        record_refusal(&self.shared, Reason::HeadTimeout);
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    /// Reads until the caller closes the connection; drops what it reads.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut bytes = [0; DISCARD_BYTES];
        while self.exchange.unread.get() < MAX_LINGER_BYTES {
            let mut buf = ReadBuf::new(&mut bytes);
            match ready!(self.poll_tcp_read(cx, &mut buf)) {
                Ok(()) if !buf.filled().is_empty() => {
                    let unread = self.exchange.unread.get() + buf.filled().len();
                    self.exchange.unread.set(unread);
                }
                Ok(()) | Err(_) => break,
            }
        }
        Poll::Ready(())
    }

    fn check_timeout(&mut self) -> io::Result<()> {
        let write_started = *self.write_started.get_or_insert_with(Instant::now);
        match write_started.elapsed() > self.shared.limits.write_timeout {
            true => {
                record_refusal(&self.shared, Reason::WriteTimeout);
                Err(io::ErrorKind::TimedOut.into())
            }
            false => Ok(()),
        }
    }

    /// Records the progress of a write.
    fn wrote(&self, written: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        if matches!(written, Poll::Ready(Ok(1..))) {
            let exchange = &self.exchange;
            exchange.table.answering(Instant::now(), exchange.id);
        }
        written
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        if self.exchange.is_closing() && self.exchange.is_idle() {
            match self.read_now(buf.initialize_unfilled()) {
                Ok(read) => buf.advance(read),
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.refuse();
                    return Poll::Ready(Ok(()));
                }
                Err(error) => return Poll::Ready(Err(error)),
            }
        } else if let Poll::Ready(read) = self.poll_tcp_read(cx, buf) {
            read?;
        } else {
            return self.poll_read_timer(cx);
        }
        let read = buf.filled().len() - before;
        self.ended |= read == 0;
        if self.exchange.is_idle() && self.exchange.responses.get() > 0 {
            let timeout = self.shared.limits.head_timeout;
            self.start_read_timer(timeout);
        }
        let now = Instant::now();
        if read > 0 && !self.exchange.arrived(now, read, &self.shared) {
            // Refused as the stream is dropped.
            self.exchange.close();
            return Poll::Ready(Err(io::ErrorKind::OutOfMemory.into()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_timeout()?;
        self.exchange.set_phase(Phase::Response);
        let written = self.poll_tcp_write(cx, |tcp| tcp.try_write(buf));
        self.wrote(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_timeout()?;
        self.exchange.set_phase(Phase::Response);
        let written = self.poll_tcp_write(cx, |tcp| tcp.try_write_vectored(bufs));
        self.wrote(written)
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes once the whole response is written, and the socket has nothing to flush.
        if self.write_started.take().is_some() {
            self.exchange.responded(Instant::now(), &self.shared);
            let timeout = self.shared.limits.idle_timeout;
            self.start_read_timer(timeout);
            // hyper may have read before the response was written, and reads again once woken.
            if self.read_timer.as_mut().poll(cx).is_ready() {
                cx.waker().wake_by_ref();
            }
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.linger.is_none() {
            // Fails if the caller has reset the connection, which leaves nothing to read.
            let _ = SockRef::from(&*self.tcp).shutdown(std::net::Shutdown::Write);
            self.linger = Some(Box::pin(tokio::time::sleep(LINGER_TIMEOUT)));
        }
        if self.poll_discard(cx).is_pending() {
            if let Some(linger) = &mut self.linger {
                ready!(linger.as_mut().poll(cx));
            }
        }
        Poll::Ready(Ok(()))
    }
}

/// Writes a refusal; returns whether the socket has taken any of it.
fn write_refusal(tcp: &TcpStream, refusal: &[u8]) -> bool {
    // Tokio's own write fails until its reactor has seen the socket.
    (&*SockRef::from(tcp)).write(refusal).is_ok()
}

/// Refuses the request of a connection that isn't served. None of it has been read, so none has run.
pub(crate) fn refuse_connection(tcp: &TcpStream, refusal: &[u8]) {
    write_refusal(tcp, refusal);
    let socket = SockRef::from(tcp);
    let _ = socket.shutdown(std::net::Shutdown::Write);
    // Bytes that aren't read turn the close into a reset.
    let _ = (&*socket).read(&mut [0; DISCARD_BYTES]);
}

impl Drop for TimedStream {
    /// Refuses a request that wasn't received in full when the listener ends.
    fn drop(&mut self) {
        if self.linger.is_some() || self.ended {
            return;
        }
        let receiving = matches!(self.exchange.phase.get(), Phase::Head | Phase::Body);
        if self.exchange.is_closing() && receiving {
            self.refuse();
            let _ = SockRef::from(&*self.tcp).shutdown(std::net::Shutdown::Write);
        }
        let mut bytes = [0; DISCARD_BYTES];
        let unread = self.read_now(&mut bytes).unwrap_or(0);
        self.exchange.unread.set(unread);
    }
}
