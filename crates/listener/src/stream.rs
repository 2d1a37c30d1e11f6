//! A TCP stream that limits the time to write a response.
//!
//! The kernel closes a connection whose peer acknowledges nothing (`TCP_USER_TIMEOUT`). A peer that
//! reads a byte now and then never triggers that, so this stream limits the time for the whole
//! response.

use std::io;
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

pub(crate) struct TimedStream {
    tcp: TcpStream,
    write_timeout: Duration,
    /// When writing the current response started; `None` between responses.
    write_started: Option<Instant>,
}

impl TimedStream {
    pub(crate) fn new(tcp: TcpStream, write_timeout: Duration) -> TimedStream {
        TimedStream {
            tcp,
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
        Pin::new(&mut self.tcp).poll_read(cx, buf)
    }
}

impl AsyncWrite for TimedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.check_timeout()?;
        Pin::new(&mut self.tcp).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.check_timeout()?;
        Pin::new(&mut self.tcp).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        // hyper flushes once the whole response is written.
        ready!(Pin::new(&mut self.tcp).poll_flush(cx))?;
        self.write_started = None;
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_shutdown(cx)
    }
}
