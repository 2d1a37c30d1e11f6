//! HTTP clients that connect to addresses directly and know whether they sent anything.
//!
//! The library's own resolver creates a thread for each call that has a time limit, also when the
//! host is an address; the one here parses the address.

use std::cell::Cell;
use std::net::SocketAddr;

use ureq::config::Config;
use ureq::http::Uri;
use ureq::unversioned::resolver::{ResolvedSocketAddrs, Resolver};
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, NextTimeout, TcpConnector, Transport,
};
use ureq::Agent;

/// A client that reaches only URIs whose host is an IP address. `config` should name no proxy; the
/// library's default takes one from the environment.
pub fn direct(config: Config) -> Agent {
    let connector = ().chain(TcpConnector::default()).chain(WriteTracker);
    Agent::with_parts(config, connector, AddressResolver)
}

/// Begins a call of this thread, of which nothing is sent yet.
pub fn begin() {
    BYTES_SENT.set(false);
}

/// Whether this thread has given a byte to a connection since `begin`.
pub fn sent() -> bool {
    BYTES_SENT.get()
}

/// Takes the address from the URI; names are not looked up.
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
    /// Whether this thread's call has given a byte to a connection.
    static BYTES_SENT: Cell<bool> = const { Cell::new(false) };
}

/// Wraps connections in `Watched`.
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

/// Records in `SENT` that something is written.
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
