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
    let connector = ().chain(TcpConnector::default()).chain(Watch);
    Agent::with_parts(config, connector, Literal)
}

/// Begins a call of this thread, of which nothing is sent yet.
pub fn begin() {
    SENT.set(false);
}

/// Whether this thread has given a byte to a connection since `begin`.
pub fn sent() -> bool {
    SENT.get()
}

/// Takes the address from the URI; names are not looked up.
#[derive(Debug)]
struct Literal;

impl Resolver for Literal {
    fn resolve(
        &self,
        uri: &Uri,
        _: &ureq::config::Config,
        _: NextTimeout,
    ) -> Result<ResolvedSocketAddrs, ureq::Error> {
        let address: Option<SocketAddr> = uri.authority().and_then(|a| a.as_str().parse().ok());
        let mut found = self.empty();
        found.push(address.ok_or(ureq::Error::HostNotFound)?);
        Ok(found)
    }
}

thread_local! {
    /// Whether this thread's call has given a byte to a connection.
    static SENT: Cell<bool> = const { Cell::new(false) };
}

/// Wraps connections in `Watched`.
#[derive(Debug)]
struct Watch;

impl<In: Transport> Connector<In> for Watch {
    type Out = Watched<In>;

    fn connect(
        &self,
        _: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Watched<In>>, ureq::Error> {
        Ok(chained.map(Watched))
    }
}

/// Records in `SENT` that something is written.
#[derive(Debug)]
struct Watched<T>(T);

impl<T: Transport> Transport for Watched<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), ureq::Error> {
        SENT.set(true);
        self.0.transmit_output(amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, ureq::Error> {
        self.0.await_input(timeout)
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }
}
