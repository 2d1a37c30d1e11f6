//! Measures the transport between two VMs of one process over loopback: round trips, messages a
//! second one way, and the time until messages flow again after a silent connection.

// The helpers of the tests; this program doesn't use all of them.
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

use common::{flows, node, settings, vm, Node, LIMIT};
use greengage_transport::keys::make_authority;
use greengage_transport::{start, Class};
use relay::{Relay, Silence};

const MESSAGE_BYTES: usize = 200;
const ROUND_TRIPS: usize = 20_000;
const ONE_WAY: usize = 500_000;
const SILENCES: usize = 10;

fn main() {
    round_trips(false);
    round_trips(true);
    one_way();
    for silence in [Silence::Both, Silence::ToServer, Silence::ToClient] {
        silences(silence);
    }
}

fn percentile(sorted: &[Duration], percent: usize) -> Duration {
    sorted[(sorted.len() - 1) * percent / 100]
}

/// Sends a message, waits for its echo, and repeats; while a large message is on its way if
/// `loaded`.
fn round_trips(loaded: bool) {
    let authority = make_authority().expect("an authority");
    let a = node(settings(&authority, "a", &[]));
    let at = a.transport.local_addr();
    let (echo, echo_inbox) = channel::<greengage_transport::Sender>();
    let mut back = None;
    let b = start(
        settings(&authority, "b", &[("a", at)]),
        move |from, bytes| {
            if bytes.len() > MESSAGE_BYTES {
                return;
            }
            let sender = back.get_or_insert_with(|| echo_inbox.recv().expect("a sender"));
            sender.send(&from, Class::Control, bytes);
        },
    )
    .expect("a transport");
    echo.send(b.sender()).expect("the transport runs");
    let peers = [(vm("b"), b.local_addr())];
    a.transport.set_peers(&peers.into_iter().collect());
    let mut times = Vec::with_capacity(ROUND_TRIPS);
    let end = Instant::now() + LIMIT;
    while times.len() < ROUND_TRIPS && Instant::now() < end {
        if loaded && times.len() % 100 == 0 {
            a.transport.send(&vm("b"), Class::Bulk, vec![0; 4 << 20]);
        }
        let start = Instant::now();
        a.transport
            .send(&vm("b"), Class::Control, vec![0; MESSAGE_BYTES]);
        if a.inbox.recv_timeout(LIMIT).is_ok() {
            times.push(start.elapsed());
        }
    }
    times.sort_unstable();
    println!(
        "round trip of {MESSAGE_BYTES} bytes{}: median {:?}, p99 {:?}, most {:?}, {} trips",
        if loaded { " beside 4 MiB messages" } else { "" },
        percentile(&times, 50),
        percentile(&times, 99),
        percentile(&times, 100),
        times.len()
    );
}

/// Sends as fast as a queue of 1 MiB takes messages; the receiver only counts them.
fn one_way() {
    let authority = make_authority().expect("an authority");
    let received = Arc::new(AtomicUsize::new(0));
    let count = received.clone();
    let b = start(settings(&authority, "b", &[]), move |_, _| {
        count.fetch_add(1, Ordering::Relaxed);
    })
    .expect("a transport");
    let mut of_a = settings(&authority, "a", &[("b", b.local_addr())]);
    of_a.queue = 1 << 20;
    let a = node(of_a);
    let (mut sent, mut rejected) = (0, 0);
    let begin = Instant::now();
    while sent < ONE_WAY && begin.elapsed() < LIMIT {
        if a.transport
            .send(&vm("b"), Class::Traffic, vec![0; MESSAGE_BYTES])
        {
            sent += 1;
        } else {
            rejected += 1;
            std::thread::sleep(Duration::from_millis(1));
        }
    }
    while received.load(Ordering::Relaxed) < sent && begin.elapsed() < 2 * LIMIT {
        std::thread::sleep(Duration::from_millis(1));
    }
    let received = received.load(Ordering::Relaxed);
    let rate = received as f64 / begin.elapsed().as_secs_f64();
    println!(
        "one way, {MESSAGE_BYTES} bytes: {rate:.0} messages/s, {received} of {sent} received, \
         queue full {rejected} times"
    );
}

/// Makes the connection silent and waits until messages flow again.
fn silences(silence: Silence) {
    let authority = make_authority().expect("an authority");
    let b = node(settings(&authority, "b", &[]));
    let relay = Relay::new(b.transport.local_addr());
    let a = node(settings(&authority, "a", &[("b", relay.address())]));
    let mut times: Vec<Duration> = (0..SILENCES)
        .map(|_| recovery(&a, &b, &relay, silence))
        .collect();
    times.sort_unstable();
    println!(
        "{silence:?} silent: messages flow over a new connection after median {:?}, most {:?}, \
         {SILENCES} runs",
        percentile(&times, 50),
        percentile(&times, 100)
    );
}

fn recovery(a: &Node, b: &Node, relay: &Relay, silence: Silence) -> Duration {
    flows(a, b, "b", LIMIT);
    let before = a.transport.counts().reconnects;
    let start = Instant::now();
    relay.silence(silence);
    // Messages still arrive if only the acknowledgments are silent.
    while a.transport.counts().reconnects == before && start.elapsed() < LIMIT {
        std::thread::sleep(Duration::from_millis(2));
    }
    flows(a, b, "b", LIMIT);
    start.elapsed()
}
