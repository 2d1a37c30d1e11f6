//! Measures HTTP throughput and latency on loopback.
//!
//! First the throughput of the front end with an immediate reply to each request, then the latency
//! of start calls to a stand-in target whose tasks end at once. Run it with
//! `cargo run --release -p greengage-standin --example measure`.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::unbounded;
use greengage_control::api::{Progress, Reply, Request};
use greengage_control::call::{Action, AttemptState, Call, CallResult, Start};
use greengage_core::{
    AccountName, Address, AttemptId, JobKey, Name, Outcome, Payload, SortedMap, TemplateName, Term,
    VmName, ZoneName,
};
use greengage_http::front::{self, CallerListener, Limits, ReplySender, Settings};
use greengage_http::target::{self, Client};
use greengage_standin::{Target, TargetSettings};

/// Duration of each run against the front end.
const MEASURE_TIME: Duration = Duration::from_secs(3);
/// Start calls of each run against a target.
const START_CALLS: u32 = 20_000;

fn key(id: &str) -> JobKey {
    let message = "the names are valid";
    JobKey {
        account: AccountName::new("acme").expect(message),
        zone: ZoneName::new("a").expect(message),
        id: Name::new(id).expect(message),
    }
}

/// A front end that echoes the tasks; another thread replies, as the control thread does.
fn echo_front() -> CallerListener {
    let replies: Arc<OnceLock<ReplySender>> = Arc::default();
    let shared_replies = replies.clone();
    let (sender, receiver) = unbounded();
    thread::spawn(move || {
        for (id, request) in receiver {
            if let Request::Submit(job) = request {
                let outcome = Arc::new(Outcome::Complete(job.tasks));
                let progress = Progress::Closed(outcome);
                let key = key("j");
                shared_replies
                    .wait()
                    .reply(id, Reply::Job { key, progress });
            }
        }
    });
    let settings = Settings {
        listen: SocketAddr::from(([127, 0, 0, 1], 0)),
        vm: VmName::new("vm1").expect("the name is valid"),
        limits: Limits::default(),
    };
    let front = front::start(settings, move |id, _, request| {
        sender.send((id, request)).is_ok()
    });
    let front = front.expect("the listener starts");
    let _ = replies.set(front.replies());
    front
}

fn measure_requests(connections: usize) {
    let front = echo_front();
    let address = front.address();
    let body =
        r#"{"account":"acme","zone":"a","id":"j","template":"tours","tasks":[{"sleep_ms":50}]}"#;
    let request = format!(
        "POST /v1/jobs HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    let started_at = Instant::now();
    let threads: Vec<_> = (0..connections)
        .map(|_| {
            let request = request.clone();
            thread::spawn(move || {
                let mut stream =
                    TcpStream::connect(address).expect("the front end accepts connections");
                stream
                    .set_nodelay(true)
                    .expect("the socket has TCP_NODELAY");
                let mut count = 0u64;
                let mut buffer = [0; 4096];
                while started_at.elapsed() < MEASURE_TIME {
                    stream
                        .write_all(request.as_bytes())
                        .expect("the front end reads the request");
                    let mut filled = 0;
                    // Only the end of the answer has a closing brace after a bracket.
                    while !buffer[..filled].ends_with(b"]}") {
                        let n = stream
                            .read(&mut buffer[filled..])
                            .expect("the front end answers");
                        assert!(n > 0, "connection closed by the front end");
                        filled += n;
                    }
                    count += 1;
                }
                count
            })
        })
        .collect();
    let count: u64 = threads
        .into_iter()
        .map(|t| t.join().expect("the thread doesn't panic"))
        .sum();
    let rate = count as f64 / started_at.elapsed().as_secs_f64();
    println!("front end, {connections} connections: {rate:.0} requests/s");
}

fn measure_starts(in_flight: usize) {
    let target =
        Target::start(TargetSettings::new("t1", "a", &[], &[])).expect("the target starts");
    let (calls, receiver) = unbounded();
    let (sender, seen) = unbounded();
    let _client = Client::start(target::Settings::default(), receiver, move |token, seen| {
        let _ = sender.send((token, seen));
    })
    .expect("the client starts");
    let address = Address::new(&target.address().to_string()).expect("the address is valid");
    let mut sent_at = vec![Instant::now(); START_CALLS as usize];
    let mut latencies = Vec::with_capacity(START_CALLS as usize);
    let send = |task: u32, sent_at: &mut Vec<Instant>| {
        sent_at[task as usize] = Instant::now();
        let start = Start {
            attempt: AttemptId {
                key: key("j"),
                task,
                number: 1,
            },
            term: Term(1),
            zone: key("j").zone,
            template: TemplateName::new("tours").expect("the name is valid"),
            values: SortedMap::new(),
            payload: Payload::new(&b"{\"echo\":1}"[..]),
            time_left: Duration::from_secs(1),
        };
        let call = Call {
            target: target.name().clone(),
            incarnation: target.incarnation(),
            address: address.clone(),
            action: Action::Start(start),
        };
        let _ = calls.send((task.into(), call));
    };
    let started_at = Instant::now();
    for task in 0..in_flight as u32 {
        send(task, &mut sent_at);
    }
    let mut next_task = in_flight as u32;
    while latencies.len() < START_CALLS as usize {
        let limit = Duration::from_secs(10);
        let (token, seen) = seen.recv_timeout(limit).expect("each call ends");
        assert!(
            matches!(seen, CallResult::State(AttemptState::Done { .. })),
            "{seen:?}"
        );
        latencies.push(sent_at[token as usize].elapsed());
        if next_task < START_CALLS {
            send(next_task, &mut sent_at);
            next_task += 1;
        }
    }
    let rate = f64::from(START_CALLS) / started_at.elapsed().as_secs_f64();
    latencies.sort();
    println!(
        "start calls, {in_flight} in flight: median {:?}, p99 {:?}, {rate:.0} calls/s",
        latencies[latencies.len() / 2],
        latencies[latencies.len() * 99 / 100]
    );
}

fn main() {
    measure_requests(8);
    measure_requests(64);
    measure_starts(1);
    measure_starts(8);
}
