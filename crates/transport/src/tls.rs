//! TLS and QUIC configuration of clients, servers and endpoints.

use std::sync::Arc;
use std::time::Duration;

use greengage_core::VmName;
use quinn::crypto::rustls::{QuicClientConfig, QuicServerConfig};
use quinn::crypto::{CryptoError, HmacKey};
use quinn::{ClientConfig, ConnectionId, ConnectionIdGenerator, EndpointConfig, ServerConfig};
use quinn::{IdleTimeout, TransportConfig, VarInt};
use rustls::client::Resumption;
use rustls::crypto::tls13::{Hkdf, OkmBlock};
use rustls::crypto::CryptoProvider;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, ServerName, UnixTime};
use rustls::server::WebPkiClientVerifier;
use rustls::RootCertStore;

use crate::keys::{dns_name, Keys, KeysError, AUTHORITY_FILE, CERTIFICATE_FILE, KEY_FILE};
use crate::queue::CLASS_COUNT;

const ALPN_PROTOCOL: &[u8] = b"greengage/1";

/// Flow-control window of one stream. Allows 170 MB/s at a round-trip time of 3 ms. With 4 MiB,
/// data in the receiver's socket buffer delayed heartbeats during a large message by 60 to 70 ms
/// instead of 20 to 30 ms (debug build, loopback).
const STREAM_WINDOW_BYTES: u32 = 512 << 10;
/// Concurrent streams of a connection: one per class and one for a probe.
const MAX_STREAMS: u32 = CLASS_COUNT as u32 + 1;
/// Sum of all stream windows, so that one full stream does not block the others.
const CONNECTION_WINDOW_BYTES: u32 = STREAM_WINDOW_BYTES * MAX_STREAMS;
/// Initial round-trip estimate. Puts the first retransmission of a handshake at about 60 ms, the
/// default of 333 ms at about 1 s. Round trips between zones take about 3 ms.
const INITIAL_RTT: Duration = Duration::from_millis(20);
/// Length of connection ids; quinn's default.
const CONNECTION_ID_BYTES: usize = 8;
/// Maximum number of handshakes that wait for the transport thread.
const MAX_INCOMING: usize = 64;
/// Buffer limit per waiting handshake.
const MAX_INCOMING_BYTES: u64 = 16 << 10;

/// Configurations derived from one VM's keys.
pub(crate) struct Tls {
    pub(crate) client: ClientConfig,
    pub(crate) server: ServerConfig,
    pub(crate) endpoint: EndpointConfig,
}

/// Placeholder idle timeout for a key check, which opens no connection.
const CHECK_IDLE_TIMEOUT: Duration = Duration::from_secs(1);

impl Tls {
    pub(crate) fn new(vm: &VmName, keys: &Keys, idle_timeout: Duration) -> Result<Tls, KeysError> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let mut roots = RootCertStore::empty();
        roots
            .add(parse_certificate(&keys.authority, AUTHORITY_FILE)?)
            .map_err(invalid_file(AUTHORITY_FILE))?;
        let roots = Arc::new(roots);
        let own_certificate = parse_certificate(&keys.certificate, CERTIFICATE_FILE)?;
        if !is_issued_for(&own_certificate, vm) {
            return Err(invalid_file(CERTIFICATE_FILE)(format!(
                "it was not issued for VM {vm}"
            )));
        }
        let chain = vec![own_certificate];
        let key =
            PrivateKeyDer::from_pem_slice(keys.key.as_bytes()).map_err(invalid_file(KEY_FILE))?;

        let verifier = WebPkiClientVerifier::builder_with_provider(roots.clone(), provider.clone())
            .build()
            .map_err(invalid_file(AUTHORITY_FILE))?;
        let mut server = rustls::ServerConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(invalid_file(KEY_FILE))?
            .with_client_cert_verifier(verifier)
            .with_single_cert(chain.clone(), key.clone_key())
            .map_err(invalid_file(KEY_FILE))?;
        server.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        // Sessions are not resumed, so that every connection verifies both certificates.
        server.send_tls13_tickets = 0;
        let mut client = rustls::ClientConfig::builder_with_provider(provider.clone())
            .with_protocol_versions(&[&rustls::version::TLS13])
            .map_err(invalid_file(KEY_FILE))?
            .with_root_certificates(roots)
            .with_client_auth_cert(chain, key.clone_key())
            .map_err(invalid_file(KEY_FILE))?;
        client.alpn_protocols = vec![ALPN_PROTOCOL.to_vec()];
        client.resumption = Resumption::disabled();

        let server = QuicServerConfig::try_from(server).map_err(invalid_file(CERTIFICATE_FILE))?;
        let client = QuicClientConfig::try_from(client).map_err(invalid_file(CERTIFICATE_FILE))?;
        let mut server = ServerConfig::with_crypto(Arc::new(server));
        server
            .transport_config(Arc::new(transport_config(idle_timeout, None)))
            .max_incoming(MAX_INCOMING)
            .incoming_buffer_size(MAX_INCOMING_BYTES)
            .incoming_buffer_size_total(MAX_INCOMING_BYTES * MAX_INCOMING as u64)
            .migration(false);
        let mut client = ClientConfig::new(Arc::new(client));
        client.transport_config(Arc::new(transport_config(
            idle_timeout,
            Some(idle_timeout / 3),
        )));
        Ok(Tls {
            client,
            server,
            endpoint: endpoint_config(provider, key.secret_der()),
        })
    }
}

fn invalid_file<E: ToString>(file: &'static str) -> impl Fn(E) -> KeysError {
    move |error| KeysError::Invalid {
        file,
        cause: error.to_string(),
    }
}

fn parse_certificate(pem: &str, file: &'static str) -> Result<CertificateDer<'static>, KeysError> {
    CertificateDer::from_pem_slice(pem.as_bytes()).map_err(invalid_file(file))
}

/// Transport parameters. Only the client sends keep-alive packets: keep-alives from the server
/// would hide from the client that its own packets no longer arrive.
fn transport_config(idle_timeout: Duration, keep_alive: Option<Duration>) -> TransportConfig {
    let mut transport = TransportConfig::default();
    // A timeout too long for the protocol field disables the QUIC timeout; the link's probes still
    // apply.
    let max_idle = IdleTimeout::try_from(idle_timeout).ok();
    transport
        .max_idle_timeout(max_idle)
        .keep_alive_interval(keep_alive)
        .initial_rtt(INITIAL_RTT)
        .max_concurrent_bidi_streams(VarInt::from_u32(0))
        .max_concurrent_uni_streams(VarInt::from_u32(MAX_STREAMS))
        .stream_receive_window(VarInt::from_u32(STREAM_WINDOW_BYTES))
        .receive_window(VarInt::from_u32(CONNECTION_WINDOW_BYTES))
        .send_window(u64::from(CONNECTION_WINDOW_BYTES))
        .datagram_receive_buffer_size(None);
    transport
}

/// Endpoint configuration whose stateless resets remain valid across process restarts.
///
/// A restarted VM has no state of its peers' connections. It answers their packets with a stateless
/// reset, which they accept only if it is made with the same key as before the restart. Otherwise
/// they would detect the restart only after the idle timeout.
fn endpoint_config(provider: Arc<CryptoProvider>, key: &[u8]) -> EndpointConfig {
    let hkdf = hkdf(&provider);
    let hmac_key = hkdf
        .extract_from_secret(None, key)
        .expand_block(&[b"greengage stateless reset"]);
    let mut config = EndpointConfig::new(Arc::new(StatelessResetKey { hkdf, hmac_key }));
    // quinn's default generator accepts only ids made with a key of its own process and drops
    // packets with other ids instead of sending a reset.
    config.cid_generator(move || Box::new(RandomConnectionIds(provider.clone())));
    config
}

fn hkdf(provider: &CryptoProvider) -> &'static dyn Hkdf {
    provider
        .cipher_suites
        .iter()
        .find_map(|suite| suite.tls13())
        .expect("the ring provider has TLS 1.3")
        .hkdf_provider
}

struct StatelessResetKey {
    hkdf: &'static dyn Hkdf,
    hmac_key: OkmBlock,
}

impl HmacKey for StatelessResetKey {
    fn sign(&self, data: &[u8], signature: &mut [u8]) {
        let tag = self.hkdf.hmac_sign(&self.hmac_key, data);
        signature.copy_from_slice(tag.as_ref());
    }

    fn signature_len(&self) -> usize {
        self.hmac_key.as_ref().len()
    }

    fn verify(&self, data: &[u8], signature: &[u8]) -> Result<(), CryptoError> {
        if self.hkdf.hmac_sign(&self.hmac_key, data).as_ref() == signature {
            Ok(())
        } else {
            Err(CryptoError)
        }
    }
}

struct RandomConnectionIds(Arc<CryptoProvider>);

impl ConnectionIdGenerator for RandomConnectionIds {
    fn generate_cid(&mut self) -> ConnectionId {
        let mut bytes = [0; CONNECTION_ID_BYTES];
        self.0
            .secure_random
            .fill(&mut bytes)
            .expect("the system has a random source");
        ConnectionId::new(&bytes)
    }

    fn cid_len(&self) -> usize {
        CONNECTION_ID_BYTES
    }

    fn cid_lifetime(&self) -> Option<Duration> {
        None
    }
}

/// Checks that the keys match each other and that the authority issued them for `vm`.
pub(crate) fn check_keys(keys: &Keys, vm: &VmName) -> Result<(), KeysError> {
    Tls::new(vm, keys, CHECK_IDLE_TIMEOUT)?;
    let own_certificate = parse_certificate(&keys.certificate, CERTIFICATE_FILE)?;
    let authority = parse_certificate(&keys.authority, AUTHORITY_FILE)?;
    let trust_anchor =
        webpki::anchor_from_trusted_cert(&authority).map_err(invalid_file(AUTHORITY_FILE))?;
    let own_certificate = webpki::EndEntityCert::try_from(&own_certificate)
        .map_err(invalid_file(CERTIFICATE_FILE))?;
    own_certificate
        .verify_for_usage(
            webpki::ALL_VERIFICATION_ALGS,
            &[trust_anchor],
            &[],
            UnixTime::now(),
            webpki::KeyUsage::client_auth(),
            None,
            None,
        )
        .map(drop)
        .map_err(|error| KeysError::Invalid {
            file: CERTIFICATE_FILE,
            cause: format!("the authority in {AUTHORITY_FILE} did not issue it: {error}"),
        })
}

/// Whether `certificate` was issued for `vm`.
pub(crate) fn is_issued_for(certificate: &CertificateDer<'_>, vm: &VmName) -> bool {
    let Ok(name) = ServerName::try_from(dns_name(vm)) else {
        return false;
    };
    webpki::EndEntityCert::try_from(certificate)
        .and_then(|c| c.verify_is_valid_for_subject_name(&name))
        .is_ok()
}
