//! Measures the transport between two VMs in one process over loopback: round-trip times, one-way
//! throughput, and the time to replace a connection whose packets are dropped.

// Test helpers, of which this program uses only some.
#[allow(dead_code)]
#[path = "../tests/transport/common.rs"]
mod common;
#[allow(dead_code)]
#[path = "../tests/transport/relay.rs"]
mod relay;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::channel;
use std::sync::Arc;
use std::time::{Duration, Instant};

use common::{send_until_received, settings, start_node, vm, Node, TIMEOUT};
use greengage_transport::keys::create_authority;
use greengage_transport::{start, Class, Received};
use relay::{Direction, Relay};

const MESSAGE_BYTES: usize = 200;
const ROUND_TRIPS: usize = 20_000;
const ONE_WAY_MESSAGES: usize = 500_000;
const RECONNECT_RUNS: usize = 10;

fn main() {
    measure_round_trips(false);
    measure_round_trips(true);
    measure_one_way();
    for direction in [Direction::Both, Direction::ToServer, Direction::ToClient] {
        measure_reconnects(direction);
    }
}

fn percentile(sorted: &[Duration], percent: usize) -> Duration {
    sorted[(sorted.len() - 1) * percent / 100]
}

/// Measures round trips of an echoed message, with large messages in transit if `with_bulk`.
fn measure_round_trips(with_bulk: bool) {
    let authority = create_authority().expect("an authority");
    let a = start_node(settings(&authority, "a", &[]));
    let address_a = a.transport.local_addr();
    let (echo, echo_inbox) = channel::<greengage_transport::Sender>();
    let mut echo_sender = None;
    let b = start(
        settings(&authority, "b", &[("a", address_a)]),
        move |from, received| {
            let bytes = match received {
                Received::Message(bytes) if bytes.len() <= MESSAGE_BYTES => bytes,
                Received::Message(_) | Received::Reconnected => return,
            };
            let sender = echo_sender.get_or_insert_with(|| echo_inbox.recv().expect("a sender"));
            sender.send(&from, Class::Control, bytes);
        },
    )
    .expect("a transport");
    echo.send(b.sender()).expect("the transport runs");
    let peers = [(vm("b"), b.local_addr())];
    a.transport.set_peers(&peers.into_iter().collect());
    let mut times = Vec::with_capacity(ROUND_TRIPS);
    let deadline = Instant::now() + TIMEOUT;
    while times.len() < ROUND_TRIPS && Instant::now() < deadline {
        if with_bulk && times.len() % 100 == 0 {
            a.transport.send(&vm("b"), Class::Bulk, vec![0; 4 << 20]);
        }
        let start = Instant::now();
        a.transport
            .send(&vm("b"), Class::Control, vec![0; MESSAGE_BYTES]);
        if a.inbox.recv_timeout(TIMEOUT).is_ok() {
            times.push(start.elapsed());
        }
    }
    times.sort_unstable();
    println!(
        "round trip of {MESSAGE_BYTES} bytes{}: median {:?}, p99 {:?}, max {:?}, {} trips",
        if with_bulk {
            " during 4 MiB messages"
        } else {
            ""
        },
        percentile(&times, 50),
        percentile(&times, 99),
        percentile(&times, 100),
        times.len()
    );
}

/// Sends as fast as a queue of 1 MiB accepts messages; the receiver only counts them.
fn measure_one_way() {
    let authority = create_authority().expect("an authority");
    let received = Arc::new(AtomicUsize::new(0));
    let received_by_b = received.clone();
    let b = start(settings(&authority, "b", &[]), move |_, received| {
        if matches!(received, Received::Message(_)) {
            received_by_b.fetch_add(1, Ordering::Relaxed);
        }
    })
    .expect("a transport");
    let mut settings_a = settings(&authority, "a", &[("b", b.local_addr())]);
    settings_a.queue_bytes = 1 << 20;
    let a = start_node(settings_a);
    let (mut sent, mut rejected) = (0, 0);
    let run_start = Instant::now();
    while sent < ONE_WAY_MESSAGES && run_start.elapsed() < TIMEOUT {
        if a.transport
            .send(&vm("b"), Class::Traffic, vec![0; MESSAGE_BYTES])
        {
            sent += 1;
        } else {
            rejected += 1;
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    while received.load(Ordering::Relaxed) < sent && run_start.elapsed() < 2 * TIMEOUT {
        std::thread::sleep(Duration::from_millis(1));
    }
    let received = received.load(Ordering::Relaxed);
    let rate = received as f64 / run_start.elapsed().as_secs_f64();
    println!(
        "one way, {MESSAGE_BYTES} bytes: {rate:.0} messages/s, {received} of {sent} received, \
         queue full {rejected} times"
    );
}

/// Blocks the connection and measures the time until messages arrive over a new one.
fn measure_reconnects(direction: Direction) {
    let authority = create_authority().expect("an authority");
    let b = start_node(settings(&authority, "b", &[]));
    let relay = Relay::new(b.transport.local_addr());
    let a = start_node(settings(&authority, "a", &[("b", relay.address())]));
    let mut times: Vec<Duration> = (0..RECONNECT_RUNS)
        .map(|_| reconnect_time(&a, &b, &relay, direction))
        .collect();
    times.sort_unstable();
    println!(
        "{direction:?} blocked: messages arrive over a new connection after median {:?}, max {:?}, \
         {RECONNECT_RUNS} runs",
        percentile(&times, 50),
        percentile(&times, 100)
    );
}

fn reconnect_time(a: &Node, b: &Node, relay: &Relay, direction: Direction) -> Duration {
    send_until_received(a, b, "b", TIMEOUT);
    let before = a.transport.counts().reconnects;
    let start = Instant::now();
    relay.block(direction);
    // Messages still arrive if only the acknowledgments are dropped.
    while a.transport.counts().reconnects == before && start.elapsed() < TIMEOUT {
        std::thread::sleep(Duration::from_millis(2));
    }
    send_until_received(a, b, "b", TIMEOUT);
    start.elapsed()
}
