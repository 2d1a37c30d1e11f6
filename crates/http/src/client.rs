//! HTTP agents that connect to literal addresses and record whether a call sent anything.
//!
//! ureq's default resolver creates a thread for each call that has a timeout, even if the host is
//! an IP address; the resolver here parses the address instead.

use std::cell::Cell;
use std::net::SocketAddr;

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
};
use ureq::Agent;

/// An agent for URIs whose host is an IP address. `config` should disable the proxy: by default,
/// ureq takes one from the environment.
pub fn direct_agent(config: Config) -> Agent {
    let connector = ().chain(TcpConnector::default()).chain(WriteTracker);
    Agent::with_parts(config, connector, AddressResolver)
}

/// Marks the start of a call on this thread: resets [`bytes_sent`].
pub fn reset_sent() {
    BYTES_SENT.set(false);
}

/// Whether this thread has handed bytes to a connection since [`reset_sent`].
pub fn bytes_sent() -> bool {
    BYTES_SENT.get()
}

/// Parses the address in the URI; does no name look-up.
#[derive(Debug)]
struct AddressResolver;

impl Resolver for AddressResolver {
    fn resolve(
        &self,
        uri: &Uri,
        _: &ureq::config::Config,
        _: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let address: Option<SocketAddr> = uri.authority().and_then(|a| a.as_str().parse().ok());
        let mut addresses = self.empty();
        addresses.push(address.ok_or(ureq::Error::HostNotFound)?);
        Ok(addresses)
    }
}

thread_local! {
    /// Whether this thread's current call has handed bytes to a connection.
    static BYTES_SENT: Cell<bool> = const { Cell::new(false) };
}

/// Wraps connections in `TrackedTransport`.
#[derive(Debug)]
struct WriteTracker;

impl<In: Transport> Connector<In> for WriteTracker {
    type Out = TrackedTransport<In>;

    fn connect(
        &self,
        _: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<TrackedTransport<In>>, ureq::Error> {
        Ok(chained.map(TrackedTransport))
    }
}

/// Sets `BYTES_SENT` before each write.
#[derive(Debug)]
struct TrackedTransport<T>(T);

impl<T: Transport> Transport for TrackedTransport<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        BYTES_SENT.set(true);
        self.0.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        self.0.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }
}
