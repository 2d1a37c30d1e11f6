//! A TCP stream that limits the time to write a response.
//!
//! The kernel closes a connection whose peer acknowledges nothing (`TCP_USER_TIMEOUT`). A peer that
//! reads a byte now and then never triggers that, so this stream limits the time for the whole
//! response.
//!
//! The stream also records how far the current request has come, so that a connection that ends
//! without a response can be logged with what was received.

use std::cell::Cell;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

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
#[derive(Debug)]
pub(crate) struct Exchange {
    /// Bytes received since the last response was written.
    received: Cell<usize>,
    /// How far the request has come.
    phase: Cell<Phase>,
    /// Responses that were written in full.
    responses: Cell<usize>,
    /// Bytes found in the socket when it was closed, up to `MAX_UNREAD_BYTES`.
    unread: Cell<usize>,
}

/// Limit on the bytes that are looked for in a socket that is being closed.
const MAX_UNREAD_BYTES: usize = 1024;

impl Exchange {
    pub(crate) fn new() -> Rc<Exchange> {
        Rc::new(Exchange {
            received: Cell::new(0),
            phase: Cell::new(Phase::Head),
            responses: Cell::new(0),
            unread: Cell::new(0),
        })
    }

    /// Sets how far the current request has come.
    pub(crate) fn set_phase(&self, phase: Phase) {
        self.phase.set(phase);
    }

    fn responded(&self) {
        self.received.set(0);
        self.phase.set(Phase::Head);
        self.responses.set(self.responses.get() + 1);
    }

    /// Logs the end of a connection that leaves a request without a complete response.
    pub(crate) fn log_end(&self, closing: bool, cause: &str) {
        let (received, unread) = (self.received.get(), self.unread.get());
        if received + unread > 0 {
            log::info!(event = "connection-cut", received = received, unread = unread,
                phase:? = self.phase.get(), responses = self.responses.get(), closing = closing,
                cause = cause; "a connection ended without a response to its last request");
        }
    }
}

pub(crate) struct TimedStream {
    tcp: TcpStream,
    exchange: Rc<Exchange>,
    write_timeout: Duration,
    /// When writing the current response started; `None` between responses.
    write_started: Option<Instant>,
}

impl TimedStream {
    pub(crate) fn new(
        tcp: TcpStream,
        exchange: Rc<Exchange>,
        write_timeout: Duration,
    ) -> TimedStream {
        TimedStream {
            tcp,
            exchange,
            write_timeout,
            write_started: None,
        }
    }

    fn check_timeout(&mut self) -> io::Result<()> {
        let write_started = *self.write_started.get_or_insert_with(Instant::now);
        match write_started.elapsed() > self.write_timeout {
            true => Err(io::ErrorKind::TimedOut.into()),
            false => Ok(()),
        }
    }
}

impl AsyncRead for TimedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.tcp).poll_read(cx, buf))?;
        let received = self.exchange.received.get() + buf.filled().len() - before;
        self.exchange.received.set(received);
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
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_timeout()?;
        self.exchange.set_phase(Phase::Response);
        Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes once the whole response is written.
        ready!(Pin::new(&mut self.tcp).poll_flush(cx))?;
        if self.write_started.take().is_some() {
            self.exchange.responded();
        }
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}

impl Drop for TimedStream {
    fn drop(&mut self) {
        let mut buf = [MaybeUninit::uninit(); MAX_UNREAD_BYTES];
        // The socket doesn't block. Tokio's own read reports nothing until the reactor has run.
        let unread = SockRef::from(&self.tcp).recv(&mut buf).unwrap_or(0);
        self.exchange.unread.set(unread);
    }
}
