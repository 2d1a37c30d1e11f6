//! Meshes that exchange messages over loopback.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::time::{Duration, Instant};

use greengage_core::VmName;
use greengage_mesh::{Limits, Mesh};
use socket2::{Domain, Socket, Type};

const TEST_TIMEOUT: Duration = Duration::from_secs(5);

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn start(name: &str, address: SocketAddr) -> (Mesh, Receiver<(VmName, Vec<u8>)>) {
    start_with(name, address, Limits::default())
}

fn start_with(
    name: &str,
    address: SocketAddr,
    limits: Limits,
) -> (Mesh, Receiver<(VmName, Vec<u8>)>) {
    let (sender, receiver) = channel();
    let name = VmName::new(name).unwrap();
    let mesh = Mesh::start(name, address, limits, move |from, bytes| {
        let _ = sender.send((from, bytes));
    });
    (mesh.unwrap(), receiver)
}

/// A listener, and a connection that fills its accept queue, so that further SYNs are dropped.
fn full_listener() -> (TcpListener, TcpStream) {
    let listener = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    let any: SocketAddr = "127.0.0.1:0".parse().unwrap();
    listener.bind(&any.into()).unwrap();
    listener.listen(0).unwrap();
    let listener: TcpListener = listener.into();
    let filler = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (listener, filler)
}

/// Guards against messages that are lost, reordered or attributed to another VM.
#[test]
fn messages_arrive_in_order_with_their_sender() {
    let (a, b) = (free_address(), free_address());
    let (mesh, _) = start("a", a);
    let (_other, inbox) = start("b", b);
    for i in 0..1000u32 {
        mesh.send(b, i.to_be_bytes().to_vec());
    }
    mesh.send(b, vec![7; 1 << 20]);
    for i in 0..1000u32 {
        let (from, bytes) = inbox.recv_timeout(TEST_TIMEOUT).unwrap();
        assert_eq!((from.as_str(), bytes), ("a", i.to_be_bytes().to_vec()));
    }
    assert_eq!(inbox.recv_timeout(TEST_TIMEOUT).unwrap().1.len(), 1 << 20);
}

/// Guards against the loss of the last messages of a process that exits.
#[test]
fn messages_sent_before_the_end_arrive() {
    let (a, b) = (free_address(), free_address());
    let (mesh, _) = start("a", a);
    let (_other, inbox) = start("b", b);
    mesh.send(b, vec![1]);
    drop(mesh);
    assert_eq!(inbox.recv_timeout(TEST_TIMEOUT).unwrap().1, [1]);
}

/// Guards against an exit that waits for a VM which doesn't answer.
#[test]
fn end_does_not_wait_for_an_unreachable_vm() {
    let (listener, _filler) = full_listener();
    let (mesh, _) = start("a", free_address());
    mesh.send(listener.local_addr().unwrap(), vec![1]);
    let dropped_at = Instant::now();
    drop(mesh);
    assert!(dropped_at.elapsed() < Duration::from_millis(200));
}

/// Guards against a VM that stays unreachable after it has been down.
#[test]
fn unreachable_vm_is_reconnected() {
    let (a, b) = (free_address(), free_address());
    let (mesh, _) = start("a", a);
    mesh.send(b, vec![1]);
    std::thread::sleep(Duration::from_millis(300));
    let (_other, inbox) = start("b", b);
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        mesh.send(b, vec![2]);
        if let Ok((_, bytes)) = inbox.recv_timeout(Duration::from_millis(50)) {
            assert_eq!(bytes, [2], "outdated messages must be dropped");
            return;
        }
        assert!(Instant::now() < deadline);
    }
}

/// Longest time to reach a VM after it accepts connections again: half of the silence after which a
/// VM is considered lost.
const RECONNECT_LIMIT: Duration = Duration::from_millis(325);

/// Guards against a long wait after a dropped SYN, as happens while the other VM is powered off:
/// the kernel retransmits a SYN only after a second.
#[test]
fn dropped_syn_is_retried_within_limit() {
    let (listener, filler) = full_listener();
    let b = listener.local_addr().unwrap();
    let (mesh, _) = start("a", free_address());
    mesh.send(b, vec![1]);
    std::thread::sleep(Duration::from_millis(60));
    let (opened, reached) = (Instant::now(), channel());
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            if stream.unwrap().peer_addr().unwrap() != filler.local_addr().unwrap() {
                // The receiver is dropped once the test has its result.
                let _ = reached.0.send(Instant::now());
            }
        }
    });
    loop {
        mesh.send(b, vec![2]);
        if let Ok(at) = reached.1.recv_timeout(Duration::from_millis(10)) {
            let elapsed = at.duration_since(opened);
            assert!(elapsed < RECONNECT_LIMIT, "reached after {elapsed:?}");
            return;
        }
        assert!(opened.elapsed() < TEST_TIMEOUT);
    }
}

/// Guards against continued use of a connection that acknowledges bytes but loses them.
#[test]
fn reconnect_replaces_the_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let b = listener.local_addr().unwrap();
    let (mesh, _) = start("a", free_address());
    mesh.send(b, vec![1]);
    let (mut first, _) = listener.accept().unwrap();
    mesh.reconnect(b);
    mesh.send(b, vec![2]);
    let (mut second, _) = listener.accept().unwrap();
    let mut bytes = [0; 10];
    second.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    second.read_exact(&mut bytes).unwrap();
    assert_eq!(bytes, [0, 0, 0, 1, b'a', 0, 0, 0, 1, 2]);
    first.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut rest = Vec::new();
    first.read_to_end(&mut rest).unwrap();
    assert_eq!(
        rest,
        [0, 0, 0, 1, b'a', 0, 0, 0, 1, 1],
        "the old connection must be closed"
    );
}

/// Guards against input from an unknown peer that exhausts memory or is delivered as a message.
#[test]
fn oversized_frame_closes_the_connection() {
    let b = free_address();
    let (_mesh, inbox) = start("b", b);
    let mut stream = TcpStream::connect(b).unwrap();
    stream
        .write_all(&[0, 0, 0, 1, b'x', 0xff, 0xff, 0xff, 0xff, 1])
        .unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let mut byte = [0];
    assert!(matches!(stream.read(&mut byte), Ok(0) | Err(_)));
    assert!(inbox.try_recv().is_err());
}

/// Guards against connections of other programs that keep out those of VMs, or fill the memory.
#[test]
fn stalled_connections_give_way_to_those_of_vms() {
    let (a, b) = (free_address(), free_address());
    let limits = Limits {
        connections: 3,
        buffered_bytes: 1 << 20,
        message_bytes: 1 << 20,
    };
    let (mesh, _) = start("a", a);
    let (_other, inbox) = start_with("b", b, limits);
    let stalled: Vec<TcpStream> = (0..20)
        .map(|_| {
            let mut stream = TcpStream::connect(b).unwrap();
            let name_and_frame = [0, 0, 0, 1, b'c', 0, 8, 0, 0];
            stream.write_all(&name_and_frame).unwrap();
            // Fails once the connection was closed to make room.
            let _ = stream.write_all(&[7; 500_000]);
            stream
        })
        .collect();
    mesh.send(b, vec![1]);
    assert_eq!(inbox.recv_timeout(TEST_TIMEOUT).unwrap().1, [1]);
    drop(stalled);
    // A first frame that can't be a name.
    let mut stream = TcpStream::connect(b).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    stream.write_all(&[0, 0, 4, 0]).unwrap();
    assert!(matches!(stream.read(&mut [0]), Ok(0)));
}

/// Guards against a large configuration that a VM with little memory never gets.
#[test]
fn largest_message_arrives_where_less_may_be_buffered() {
    let (a, b) = (free_address(), free_address());
    let limits = Limits {
        buffered_bytes: 7_500_000,
        ..Limits::default()
    };
    let (mesh, _) = start("a", a);
    let (_other, inbox) = start_with("b", b, limits);
    mesh.send(b, vec![7; limits.message_bytes]);
    let (_, bytes) = inbox.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!(bytes.len(), 16 << 20);
}

/// Guards against a crowd that connects again and again and closes the connections of VMs, which make
/// progress only with each heartbeat.
#[test]
fn crowd_that_reconnects_leaves_the_connections_of_vms_open() {
    let b = free_address();
    let limits = Limits {
        connections: 3,
        ..Limits::default()
    };
    let (_other, inbox) = start_with("b", b, limits);
    let mut peers: Vec<TcpStream> = (0..2).map(|_| TcpStream::connect(b).unwrap()).collect();
    let message = [0, 0, 0, 1, 7];
    for peer in &mut peers {
        peer.write_all(&[0, 0, 0, 1, b'c']).unwrap();
        peer.write_all(&message).unwrap();
        inbox.recv_timeout(TEST_TIMEOUT).unwrap();
    }
    for _ in 0..20 {
        let mut stream = TcpStream::connect(b).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        stream.write_all(b"GET / HTTP/1.1\r\n\r\n").unwrap();
        // Until it was taken, and closed since its first bytes are no frame.
        let _ = stream.read(&mut [0]);
    }
    let crowd: Vec<TcpStream> = (0..20).map(|_| TcpStream::connect(b).unwrap()).collect();
    for peer in &mut peers {
        peer.write_all(&message).unwrap();
        inbox.recv_timeout(TEST_TIMEOUT).expect("a VM's connection");
    }
    drop(crowd);
}
