//! Authentication of peers, and the effects of unauthenticated connections.

use std::net::{SocketAddr, UdpSocket};
use std::os::unix::fs::PermissionsExt;
use std::sync::Arc;
use std::time::{Duration, Instant};

use greengage_transport::keys::{create_authority, dns_name, issue, Authority, Keys, KeysError};
use greengage_transport::{start, Class, TransportError, MAX_MESSAGE_BYTES};
use quinn::crypto::rustls::QuicClientConfig;
use quinn::rustls::pki_types::pem::PemObject;
use quinn::rustls::pki_types::{CertificateDer, PrivateKeyDer};
use quinn::rustls::{ClientConfig, RootCertStore};

use crate::common::{
    any_port, send_until_received, settings, start_node, vm, wait_until, Node, TIMEOUT,
};

/// Starts VM `a` and its connected peer `b`, and returns them with their authority.
fn connected_with_authority() -> (Node, Node, Authority) {
    let authority = create_authority().unwrap();
    let a = start_node(settings(&authority, "a", &[]));
    let b = start_node(settings(
        &authority,
        "b",
        &[("a", a.transport.local_addr())],
    ));
    send_until_received(&b, &a, "a", TIMEOUT);
    (a, b, authority)
}

/// Connects to VM `a` with `keys`, or without a certificate if `None`, writes `bytes` to a stream
/// and returns the reason for which the connection ended.
fn connect_raw(a: SocketAddr, authority: &Authority, keys: Option<&Keys>, bytes: &[u8]) -> String {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    let mut roots = RootCertStore::empty();
    let certificate = |pem: &str| CertificateDer::from_pem_slice(pem.as_bytes()).unwrap();
    roots.add(certificate(&authority.certificate)).unwrap();
    let config = ClientConfig::builder().with_root_certificates(roots);
    let mut config = match keys {
        Some(keys) => {
            let key = PrivateKeyDer::from_pem_slice(keys.key.as_bytes()).unwrap();
            let chain = vec![certificate(&keys.certificate)];
            config.with_client_auth_cert(chain, key).unwrap()
        }
        None => config.with_no_client_auth(),
    };
    config.alpn_protocols = vec![b"greengage/1".to_vec()];
    let config = QuicClientConfig::try_from(config).unwrap();
    let config = quinn::ClientConfig::new(Arc::new(config));
    runtime.block_on(async {
        let endpoint = quinn::Endpoint::client(any_port()).unwrap();
        let connecting = endpoint
            .connect_with(config, a, &dns_name(&vm("a")))
            .unwrap();
        let connection = match connecting.await {
            Ok(connection) => connection,
            Err(error) => return error.to_string(),
        };
        if let Ok(mut stream) = connection.open_uni().await {
            // The peer may close the connection during the write.
            let _ = stream.write_all(bytes).await;
            return connection.closed().await.to_string();
        }
        connection.closed().await.to_string()
    })
}

/// Encodes a stream header and an empty message.
fn stream_bytes(class: u8, name: &str) -> Vec<u8> {
    let mut bytes = (name.len() as u32 + 1).to_be_bytes().to_vec();
    bytes.push(class);
    bytes.extend_from_slice(name.as_bytes());
    bytes.extend_from_slice(&0u32.to_be_bytes());
    bytes
}

/// Guards against messages from a peer without a certificate being delivered.
#[test]
fn a_peer_without_a_certificate_is_refused() {
    let (a, b, authority) = connected_with_authority();
    for refused in 1..=5 {
        let close_reason = connect_raw(
            a.transport.local_addr(),
            &authority,
            None,
            &stream_bytes(1, "b"),
        );
        assert!(
            close_reason.contains("peer sent no certificates"),
            "{close_reason}"
        );
        wait_until(|| a.transport.counts().refused == refused);
    }
    assert_eq!(a.transport.counts().class(Class::Traffic).received, 0);
    send_until_received(&b, &a, "a", TIMEOUT);
}

/// Guards against a VM that sends under another VM's name.
#[test]
fn a_peer_with_the_certificate_of_another_vm_is_refused() {
    let (a, _b, authority) = connected_with_authority();
    let keys = Keys::new(&authority, issue(&authority, &vm("c")).unwrap());
    let address = a.transport.local_addr();
    let close_reason = connect_raw(address, &authority, Some(&keys), &stream_bytes(1, "b"));
    assert!(
        close_reason.contains("the certificate is for another VM"),
        "{close_reason}"
    );
    wait_until(|| a.transport.counts().refused == 1);
    assert_eq!(a.transport.counts().class(Class::Traffic).received, 0);
}

/// Guards against VMs of another deployment, as clients and as servers.
#[test]
fn a_peer_with_a_certificate_of_another_authority_is_refused() {
    let (a, _b, authority) = connected_with_authority();
    let other = create_authority().unwrap();
    let keys = Keys::new(&other, issue(&other, &vm("b")).unwrap());
    let address = a.transport.local_addr();
    let close_reason = connect_raw(address, &authority, Some(&keys), &stream_bytes(1, "b"));
    assert!(
        close_reason.contains("invalid peer certificate"),
        "{close_reason}"
    );
    wait_until(|| a.transport.counts().refused == 1);

    let foreign_vm = start_node(settings(&other, "b", &[("a", address)]));
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(foreign_vm.transport.counts().connects, 0);
    foreign_vm.transport.send(&vm("a"), Class::Traffic, vec![1]);
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(a.transport.counts().class(Class::Traffic).received, 0);
}

/// Guards against a too long message that allocates its memory, and against streams of another
/// protocol version being decoded as messages.
#[test]
fn a_malformed_stream_ends_the_connection() {
    let (a, b, authority) = connected_with_authority();
    let keys = Keys::new(&authority, issue(&authority, &vm("b")).unwrap());
    let mut long = stream_bytes(1, "b");
    long.extend_from_slice(&(MAX_MESSAGE_BYTES as u32 + 1).to_be_bytes());
    for (bytes, cause) in [
        (long, "a frame has 67108865 bytes, the limit is 67108864"),
        (stream_bytes(9, "b"), "message class 9 does not exist"),
        (
            stream_bytes(1, "not a name"),
            "a stream starts without a VM name",
        ),
        (vec![0; 4], "a stream starts without a VM name"),
    ] {
        let close_reason = connect_raw(a.transport.local_addr(), &authority, Some(&keys), &bytes);
        assert!(close_reason.contains(cause), "{close_reason}");
    }
    send_until_received(&b, &a, "a", TIMEOUT);
}

/// Guards against unauthenticated traffic that blocks peers or exhausts memory.
#[test]
fn a_flood_of_unauthenticated_connections_does_not_block_a_peer() {
    let (a, b, authority) = connected_with_authority();
    let address = a.transport.local_addr();
    let start = Instant::now();
    let socket = UdpSocket::bind(any_port()).unwrap();
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for _ in 0..10 {
                    connect_raw(address, &authority, None, &[]);
                }
            });
        }
        for i in 0..2000u32 {
            let packet: Vec<u8> = (0..1200u32).map(|j| (i * 31 + j * 7) as u8).collect();
            let _ = socket.send_to(&packet, address);
        }
        send_until_received(&b, &a, "a", Duration::from_secs(2));
    });
    send_until_received(&b, &a, "a", Duration::from_millis(500));
    wait_until(|| a.transport.counts().refused == 40);
    println!("flood took {:?}", start.elapsed());
}

/// Guards against VM names that collide or do not fit a certificate.
#[test]
fn every_vm_name_has_a_dns_name_of_its_own() {
    let longest = "Z".repeat(128);
    let names = [
        "a", "A", "a.b", "a_b", "a:b", "a@b", "a-b", "1", "aa", &longest,
    ];
    let mut seen = Vec::new();
    let authority = create_authority().unwrap();
    for name in names {
        let dns = dns_name(&vm(name));
        assert!(dns.len() <= 253, "{dns}");
        assert!(dns.split('.').all(|label| label.len() <= 63), "{dns}");
        assert!(!seen.contains(&dns), "{name}");
        seen.push(dns);
        let a = start_node(settings(&authority, name, &[]));
        let b = start_node(settings(
            &authority,
            "b",
            &[(name, a.transport.local_addr())],
        ));
        send_until_received(&b, &a, name, TIMEOUT);
    }
}

/// Guards against a private key that other users can read, and against errors without a file name.
#[test]
fn keys_are_saved_and_loaded() {
    let folder = tempfile::tempdir().unwrap();
    let authority = create_authority().unwrap();
    let keys = Keys::new(&authority, issue(&authority, &vm("a")).unwrap());
    std::fs::write(folder.path().join("vm.key"), "readable by all").unwrap();
    keys.save(folder.path()).unwrap();
    let mode = std::fs::metadata(folder.path().join("vm.key"))
        .unwrap()
        .permissions()
        .mode();
    assert_eq!(mode & 0o777, 0o600);
    let loaded = Keys::load(folder.path()).unwrap();
    assert_eq!(loaded.certificate, keys.certificate);
    authority.save(folder.path()).unwrap();
    let again = Authority::load(folder.path()).unwrap();
    assert!(issue(&again, &vm("b")).is_ok());

    std::fs::remove_file(folder.path().join("vm.pem")).unwrap();
    let error = Keys::load(folder.path()).err().unwrap().to_string();
    assert!(
        error.contains("vm.pem") && error.contains("issue keys"),
        "{error}"
    );
    let mut broken = settings(&authority, "a", &[]);
    broken.keys.key = "no key".to_owned();
    let error = start(broken, |_, _| {}).err().unwrap();
    let file = match &error {
        TransportError::Keys(KeysError::Invalid { file, .. }) => file,
        other => panic!("{other}"),
    };
    assert_eq!(*file, "vm.key");
}

/// Guards against a VM that starts with another VM's keys: its peers would refuse it, and it would
/// report no error itself.
#[test]
fn keys_of_another_vm_are_refused_at_the_start() {
    let authority = create_authority().unwrap();
    let mut wrong = settings(&authority, "a", &[]);
    wrong.vm = vm("b");
    let error = start(wrong, |_, _| {}).err().unwrap().to_string();
    assert!(
        error.contains("vm.pem") && error.contains("VM b"),
        "{error}"
    );
}
