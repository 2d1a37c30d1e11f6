//! Calls to stub servers on loopback.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver};
use std::thread;
use std::time::{Duration, Instant};

use greengage_outbound::{Call, Class, Outbound, Outcome};

const TEST_TIMEOUT: Duration = Duration::from_secs(5);

fn start() -> (Outbound<u32>, Receiver<(u32, Outcome)>) {
    let (sender, receiver) = channel();
    let outbound = Outbound::start(64, move |context, outcome| {
        let _ = sender.send((context, outcome));
    });
    (outbound.unwrap(), receiver)
}

fn call(address: SocketAddr, context: u32, timeout_ms: u64) -> Call<u32> {
    Call {
        address,
        path: "/work".to_string(),
        headers: vec![("X-For", "t1".to_string())],
        body: b"{}".to_vec(),
        timeout: Duration::from_millis(timeout_ms),
        class: Class::Upkeep,
        context,
    }
}

/// Reads a request with a body of two bytes; returns its head, or `None` at the end of the stream.
fn read_request(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        if line == "\r\n" {
            break;
        }
        head.push_str(&line);
    }
    let mut body = [0; 2];
    reader.read_exact(&mut body).ok()?;
    Some(head)
}

/// Starts a server that sends `answer` to each request. The channel yields "connection" for each
/// accepted connection and the head of each request.
fn server(answer: &'static str) -> (SocketAddr, Receiver<String>) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (sender, heads) = channel();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let sender = sender.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream);
                let _ = sender.send("connection".to_string());
                while let Some(head) = read_request(&mut reader) {
                    let _ = sender.send(head);
                    if reader.get_mut().write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
    });
    (address, heads)
}

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}";

/// Guards against opening a connection for each call: targets limit the number of connections.
#[test]
fn idle_connection_is_reused() {
    let (address, heads) = server(OK);
    let (outbound, outcomes) = start();
    for context in 0..5 {
        outbound.call(call(address, context, 2000));
        let (received, outcome) = outcomes.recv_timeout(TEST_TIMEOUT).unwrap();
        assert_eq!(received, context);
        assert!(
            matches!(outcome, Outcome::Answered { status: 200, .. }),
            "{outcome:?}"
        );
    }
    let heads: Vec<String> = heads.try_iter().collect();
    assert_eq!(heads.iter().filter(|head| *head == "connection").count(), 1);
    assert!(heads[1].starts_with("POST /work HTTP/1.1\r\n"));
    assert!(heads[1].to_lowercase().contains("x-for: t1\r\n"));
}

/// Guards against reporting a call as not sent although the target may have executed it: the
/// request was sent, and no answer arrives.
#[test]
fn missing_answer_is_unanswered() {
    let (address, _heads) = server("");
    let (outbound, outcomes) = start();
    let started = Instant::now();
    outbound.call(call(address, 1, 150));
    let (_, outcome) = outcomes.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(matches!(outcome, Outcome::Unanswered(_)), "{outcome:?}");
    assert!(started.elapsed() < Duration::from_secs(2));
}

/// Guards against reporting a call as not sent when the answer ends before its declared length.
#[test]
fn truncated_answer_is_unanswered() {
    let (address, _heads) = server("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n{}");
    let (outbound, outcomes) = start();
    outbound.call(call(address, 1, 300));
    let (_, outcome) = outcomes.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(matches!(outcome, Outcome::Unanswered(_)), "{outcome:?}");
}

/// Guards against treating a target whose process is down as one with an unknown outcome: its tasks
/// would wait for a time-out.
#[test]
fn refused_connection_is_not_sent() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let (outbound, outcomes) = start();
    outbound.call(call(address, 1, 2000));
    let (_, outcome) = outcomes.recv_timeout(TEST_TIMEOUT).unwrap();
    assert!(matches!(outcome, Outcome::NotSent(_)), "{outcome:?}");
}

/// Guards against calls that use up the descriptors of the process.
#[test]
fn calls_beyond_the_limit_wait_for_a_connection() {
    let (sender, outcomes) = channel();
    let outbound = Outbound::start(2, move |context: u32, outcome| {
        let _ = sender.send((context, outcome));
    });
    let outbound = outbound.unwrap();
    let (address, heads) = server(OK);
    for i in 0..20 {
        outbound.call(call(address, i, 5000));
    }
    for _ in 0..20 {
        let (_, outcome) = outcomes.recv_timeout(TEST_TIMEOUT).unwrap();
        assert!(matches!(outcome, Outcome::Answered { status: 200, .. }));
    }
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    let silent_address = silent.local_addr().unwrap();
    for i in 0..3 {
        outbound.call(call(silent_address, i, 300));
    }
    let not_sent = (0..3).filter(|_| {
        let (_, outcome) = outcomes.recv_timeout(TEST_TIMEOUT).unwrap();
        matches!(outcome, Outcome::NotSent(_))
    });
    assert_eq!(not_sent.count(), 1);
    drop(heads);
}

/// Guards against starts to silent targets that delay the lease renewals of other targets.
#[test]
fn starts_leave_connections_to_other_calls() {
    let (sender, outcomes) = channel();
    let outbound = Outbound::start(8, move |context: u32, outcome| {
        let _ = sender.send((context, outcome));
    });
    let outbound = outbound.unwrap();
    let silent = TcpListener::bind("127.0.0.1:0").unwrap();
    for i in 0..40 {
        let start = call(silent.local_addr().unwrap(), i, 1500);
        outbound.call(Call {
            class: Class::Start,
            ..start
        });
    }
    let (address, _heads) = server(OK);
    let started = Instant::now();
    outbound.call(call(address, 100, 1000));
    let (context, outcome) = outcomes.recv_timeout(TEST_TIMEOUT).unwrap();
    assert_eq!(context, 100);
    assert!(matches!(outcome, Outcome::Answered { .. }), "{outcome:?}");
    assert!(started.elapsed() < Duration::from_millis(1000));
    // The others never had a connection.
    let unanswered = (0..40).filter(|_| {
        let (_, outcome) = outcomes.recv_timeout(TEST_TIMEOUT).unwrap();
        matches!(outcome, Outcome::Unanswered(_))
    });
    assert_eq!(unanswered.count(), 6);
}
