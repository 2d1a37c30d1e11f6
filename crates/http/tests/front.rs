//! The listener for callers and targets over real TCP connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant};

use greengage_control::api::{ApiError, NewJob, Progress, Reply, Request};
use greengage_core::{JobKey, Outcome, Payload, RequestId, VmName, ZoneName};
use greengage_http::front::{self, CallerListener, Limits, ReplySender, Settings};

type ReceivedRequests = Arc<Mutex<Vec<(RequestId, Duration, Request)>>>;

fn settings() -> Settings {
    Settings {
        listen: "127.0.0.1:0".parse().unwrap(),
        vm: VmName::new("vm1").unwrap(),
        limits: Limits::default(),
    }
}

/// A listener that only records requests; the test answers them.
fn recording_front(settings: Settings) -> (CallerListener, ReceivedRequests) {
    let received: ReceivedRequests = Arc::default();
    let recorded = received.clone();
    let front = front::start(settings, move |id, wait, request| {
        recorded.lock().unwrap().push((id, wait, request));
        true
    });
    (front.unwrap(), received)
}

/// A listener that answers each job at once with its tasks as results and ignores other requests.
fn echo_front(settings: Settings) -> CallerListener {
    answering_front(settings, |job| job.tasks.clone())
}

/// A listener that answers each job at once with the `results` of it and ignores other requests.
fn answering_front(
    settings: Settings,
    results: impl Fn(&NewJob) -> Vec<Payload> + Send + Sync + 'static,
) -> CallerListener {
    let replies: Arc<OnceLock<ReplySender>> = Arc::default();
    let reply_sender = replies.clone();
    let front = front::start(settings, move |id, _, request| {
        if let Request::Submit(job) = request {
            let progress = Progress::Closed(Arc::new(Outcome::Complete(results(&job))));
            let key = JobKey {
                account: job.account,
                zone: job.zone.unwrap_or(ZoneName::new("a").unwrap()),
                id: job.id,
            };
            reply_sender.wait().reply(id, Reply::Job { key, progress });
        }
        true
    })
    .unwrap();
    assert!(replies.set(front.replies()).is_ok());
    front
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(10)))
        .unwrap();
    stream
}

/// Status, headers and body of the next response.
fn read_response(stream: &mut TcpStream) -> (u16, String, String) {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        assert_eq!(stream.read(&mut byte).unwrap(), 1, "closed without answer");
        bytes.push(byte[0]);
    }
    // Header names are case-insensitive.
    let head = String::from_utf8(bytes).unwrap().to_lowercase();
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "))
        .map_or(0, |l| l.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).unwrap();
    let status = head.split(' ').nth(1).unwrap().parse().unwrap();
    (status, head, String::from_utf8(body).unwrap())
}

fn send(stream: &mut TcpStream, method: &str, path: &str, body: &str) {
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).unwrap();
}

fn exchange(address: SocketAddr, method: &str, path: &str, body: &str) -> (u16, String) {
    let mut stream = connect(address);
    send(&mut stream, method, path, body);
    let (status, _, body) = read_response(&mut stream);
    (status, body)
}

const JOB: &str = r#"{"account":"acme","zone":"a","id":"j1","template":"tours","tasks":[1]}"#;

/// Malformed documents must be rejected with the field and the remedy, and no part of them may be
/// submitted.
#[test]
fn malformed_documents() {
    let (front, received) = recording_front(settings());
    let too_many_tasks = format!(
        r#"{{"account":"a","id":"i","template":"t","tasks":[{}]}}"#,
        vec!["1"; 1201].join(",")
    );
    let target = |capacity: &str| {
        format!(
            r#"{{"target":"t","incarnation":1,"address":"127.0.0.1:1","zone":"a","capacity":{capacity}}}"#
        )
    };
    let job = |fields: &str| format!(r#"{{"account":"a","id":"i","template":"t",{fields}}}"#);
    let cases = [
        (
            "/v1/jobs",
            "{".to_string(),
            "the document is not a JSON object",
        ),
        (
            "/v1/jobs",
            "[]".to_string(),
            "the document is not a JSON object",
        ),
        (
            "/v1/jobs",
            job(r#""tasks":[1],"tusk":2"#),
            r#"\"tusk\" is not known: remove it"#,
        ),
        (
            "/v1/jobs",
            job(r#""tasks":[1],"tasks":[2]"#),
            r#"key \"tasks\" is given twice: give it once"#,
        ),
        (
            "/v1/jobs",
            job(r#""tasks":7"#),
            r#"\"tasks\" is 7: give an array"#,
        ),
        (
            "/v1/jobs",
            job(r#""tasks":[]"#),
            r#"\"tasks\" has 0 values"#,
        ),
        (
            "/v1/jobs",
            too_many_tasks,
            r#"\"tasks\" has 1201 values: give an array of 1 to 1200"#,
        ),
        (
            "/v1/jobs",
            job(r#""tusk":[1]"#),
            r#"\"tasks\" is missing: add it"#,
        ),
        (
            "/v1/jobs",
            job(r#""tasks":[1],"zone":"a b""#),
            r#"\"zone\" is \"a b\": a name has the"#,
        ),
        (
            "/v1/requests",
            r#"{"account":"a"}"#.to_string(),
            r#"\"template\" is missing"#,
        ),
        ("/v1/targets", target("{}"), r#"\"worker\" must be given"#),
        (
            "/v1/targets",
            target(r#"{"executor":{"slots":1}}"#),
            r#"\"capacity.executor.connections\" is missing"#,
        ),
        (
            "/v1/targets",
            target(r#"{"worker":{"cores":1}}"#),
            r#"\"capacity.worker.cores\" is not known"#,
        ),
        ("/v1/jobs?wait_ms=60001", JOB.to_string(), "from 0 to 60000"),
        ("/v1/jobs?wait=1", JOB.to_string(), "use wait_ms"),
    ];
    for (path, body, expected) in cases {
        let (status, answer) = exchange(front.address(), "POST", path, &body);
        assert_eq!(status, 400, "{path} {answer}");
        assert!(answer.contains(expected), "{answer} lacks {expected}");
        assert!(answer.contains(r#""not_run":true"#), "{answer}");
    }
    for (method, path, expected) in [
        ("GET", "/v1/jobs", 405),
        ("POST", "/v1/nothing", 404),
        ("GET", "/v1/jobs/a/b/%zz", 400),
        ("GET", "/v1/jobs/a/b%20/c", 400),
    ] {
        let (status, answer) = exchange(front.address(), method, path, "");
        assert_eq!(status, expected, "{method} {path} {answer}");
    }
    assert_eq!(received.lock().unwrap().len(), 0);
}

/// The example requests in `docs/protocol.md` must be accepted.
#[test]
fn documented_requests() {
    let page = include_str!("../../../docs/protocol.md");
    let (front, received) = recording_front(settings());
    for path in ["/v1/jobs", "/v1/requests", "/v1/targets"] {
        let section = page.split(&format!("### `POST {path}`")).nth(1).unwrap();
        let block = section.split("```json").nth(1).unwrap();
        let body = block.split("```").next().unwrap();
        let mut stream = connect(front.address());
        send(&mut stream, "POST", &format!("{path}?wait_ms=0"), body);
        let end = Instant::now() + Duration::from_secs(2);
        while received.lock().unwrap().is_empty() {
            assert!(Instant::now() < end, "{path} was not accepted");
            thread::sleep(Duration::from_millis(1));
        }
        received.lock().unwrap().clear();
    }
}

/// Numbers beyond 64 bits must pass through unchanged, and the digest must not depend on
/// white space or the order of keys, or a resubmission by another JSON library is taken for other
/// content.
#[test]
fn tasks_and_digest() {
    let (front, received) = recording_front(settings());
    let first = r#"{"account":"a","id":"i","template":"t","tasks":[{"b":1,"a":[1, 2]},123456789012345678901234567890]}"#;
    let other = r#"{"tasks": [ {"a":[1,2],"b":1}, 123456789012345678901234567890 ], "template":"t","id":"i","account":"a"}"#;
    let third = r#"{"account":"a","id":"i","template":"t","tasks":[{"b":2,"a":[1,2]},1]}"#;
    let mut streams = Vec::new();
    for body in [first, other, third] {
        let mut stream = connect(front.address());
        send(&mut stream, "POST", "/v1/jobs?wait_ms=0", body);
        streams.push(stream);
        while received.lock().unwrap().len() < streams.len() {
            thread::sleep(Duration::from_millis(1));
        }
    }
    let received = received.lock().unwrap();
    let jobs: Vec<_> = received
        .iter()
        .map(|(_, wait, request)| match request {
            Request::Submit(job) => (wait, job),
            other => panic!("{other:?}"),
        })
        .collect();
    assert_eq!(*jobs[0].0, Duration::ZERO);
    assert_eq!(jobs[0].1.digest, jobs[1].1.digest);
    assert_ne!(jobs[0].1.digest, jobs[2].1.digest);
    assert_eq!(&jobs[0].1.tasks[1][..], b"123456789012345678901234567890");
}

/// A body over the limit must be rejected before it is held in memory, whether its length is
/// declared, too large for any memory, or unknown.
#[test]
fn oversized_body() {
    let mut settings = settings();
    settings.limits.listener.max_body_bytes = 100_000;
    let (front, received) = recording_front(settings);
    // The last length exceeds 64 bits.
    for (declared, status) in [
        ("100001", 413),
        ("900000000000000", 413),
        ("99999999999999999999999", 400),
    ] {
        let mut stream = connect(front.address());
        let head = format!("POST /v1/jobs HTTP/1.1\r\nContent-Length: {declared}\r\n\r\nx");
        stream.write_all(head.as_bytes()).unwrap();
        assert_eq!(read_response(&mut stream).0, status, "{declared}");
    }
    let mut stream = connect(front.address());
    let head = "POST /v1/jobs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).unwrap();
    for _ in 0..11 {
        let chunk = format!("2710\r\n{}\r\n", "x".repeat(10_000));
        // The response may arrive, and the connection close, before the last chunk is sent.
        if stream.write_all(chunk.as_bytes()).is_err() {
            break;
        }
    }
    assert_eq!(read_response(&mut stream).0, 413);
    assert_eq!(received.lock().unwrap().len(), 0);
}

/// Large bodies that are received at the same time must not exceed the memory limit, and small
/// requests must still be served.
#[test]
fn buffered_bytes_are_bounded() {
    let mut settings = settings();
    settings.limits.listener.max_buffered_bytes = 1_000_000;
    let front = echo_front(settings);
    let mut large: Vec<TcpStream> = (0..2)
        .map(|_| {
            let mut stream = connect(front.address());
            let head = "POST /v1/jobs HTTP/1.1\r\nContent-Length: 700000\r\n\r\n";
            stream.write_all(head.as_bytes()).unwrap();
            stream.write_all(&[b' '; 690_000]).unwrap();
            stream
        })
        .collect();
    let mut refusal = None;
    for stream in &mut large {
        stream
            .set_read_timeout(Some(Duration::from_millis(1500)))
            .unwrap();
        if stream.peek(&mut [0]).is_ok() {
            refusal = Some(read_response(stream));
        }
    }
    let (status, _, body) = refusal.expect("no large request was refused");
    assert_eq!(status, 503);
    assert!(body.contains(r#""not_run":false,"retry_ms":500"#), "{body}");
    assert_eq!(exchange(front.address(), "POST", "/v1/jobs", JOB).0, 200);
}

/// Chunked bodies, pipelined requests, and heads that could be used for request smuggling.
#[test]
fn framing() {
    let front = echo_front(settings());
    let mut stream = connect(front.address());
    let (one, two) = JOB.split_at(20);
    let chunked = format!(
        "POST /v1/jobs HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{one}\r\n{:x};a=b\r\n{two}\r\n0\r\nX: y\r\n\r\n",
        one.len(),
        two.len()
    );
    let plain = format!(
        "POST /v1/jobs HTTP/1.1\r\nContent-Length: {}\r\n\r\n{JOB}",
        JOB.len()
    );
    stream
        .write_all(format!("{chunked}{plain}").as_bytes())
        .unwrap();
    for _ in 0..2 {
        let (status, _, body) = read_response(&mut stream);
        assert_eq!(status, 200);
        assert_eq!(
            body,
            r#"{"key":"a/acme/j1","state":"complete","results":[1]}"#
        );
    }
    // The response to `Connection: close` must carry the same header.
    stream
        .write_all(b"GET /healthz HTTP/1.1\r\nConnection: close\r\n\r\n")
        .unwrap();
    let (status, head, _) = read_response(&mut stream);
    assert_eq!(status, 200);
    assert!(head.contains("\r\nconnection: close\r\n"), "{head}");
    assert_eq!(stream.read(&mut [0]).unwrap(), 0);
    let long = format!("GET /healthz HTTP/1.1\r\nX: {}\r\n\r\n", "x".repeat(20_000));
    for (head, expected) in [
        ("GET /healthz HTTP/2.0\r\n\r\n", 400),
        ("GET /healthz\r\n\r\n", 400),
        // With a transfer encoding, the length must be ignored to prevent request smuggling. The
        // chunked body never arrives, so the request times out.
        (
            "POST /v1/jobs HTTP/1.1\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            408,
        ),
        (
            "POST /v1/jobs HTTP/1.1\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n",
            400,
        ),
        ("POST /v1/jobs HTTP/1.1\r\nContent-Length: -1\r\n\r\n", 400),
        (&long, 431),
    ] {
        let mut stream = connect(front.address());
        stream.write_all(head.as_bytes()).unwrap();
        assert_eq!(read_response(&mut stream).0, expected, "{head:.60}");
    }
}

/// Each reply must reach its request regardless of their order; replies to unknown ids and
/// duplicate replies must be dropped.
#[test]
fn replies_out_of_order() {
    let (front, received) = recording_front(settings());
    let mut streams: Vec<TcpStream> = (0..20)
        .map(|i| {
            let mut stream = connect(front.address());
            send(&mut stream, "GET", &format!("/v1/jobs/a/acme/{i}"), "");
            stream
        })
        .collect();
    while received.lock().unwrap().len() < 20 {
        thread::sleep(Duration::from_millis(1));
    }
    front.reply(RequestId(999_999), Reply::Acknowledged);
    for (id, _, request) in received.lock().unwrap().iter().rev() {
        assert!(front::is_caller(*id));
        let Request::Outcome(key) = request else {
            panic!("{request:?}");
        };
        let result = Payload::new(format!("\"{}\"", key.id).into_bytes());
        let progress = Progress::Closed(Arc::new(Outcome::Complete(vec![result])));
        let key = key.clone();
        front.reply(*id, Reply::Job { key, progress });
        front.reply(*id, Reply::Acknowledged);
    }
    for (i, stream) in streams.iter_mut().enumerate() {
        let (status, _, body) = read_response(stream);
        assert_eq!(status, 200);
        let expected = format!(r#"{{"key":"a/acme/{i}","state":"complete","results":["{i}"]}}"#);
        assert_eq!(body, expected);
    }
}

/// When the control queue is full, the caller must get an error at once, but not `not_run`: an
/// earlier submission of the same key may have run.
#[test]
fn full_queue() {
    let front = front::start(settings(), |_, _, _| false).unwrap();
    let mut stream = connect(front.address());
    send(&mut stream, "POST", "/v1/jobs", JOB);
    let (status, head, body) = read_response(&mut stream);
    assert_eq!(status, 503);
    assert!(head.contains("retry-after: 1\r\n"), "{head}");
    assert!(!head.contains("connection: close\r\n"), "{head}");
    assert!(body.contains(r#""error":"busy""#), "{body}");
    assert!(body.contains(r#""not_run":false"#), "{body}");
}

/// Callers that stall in the middle of a request must not block others, and their connections must
/// be closed after the timeout of a request.
#[test]
fn stalled_callers_do_not_block_others() {
    let mut settings = settings();
    settings.limits.listener.head_timeout = Duration::from_secs(3);
    settings.limits.listener.body_timeout = Duration::from_secs(3);
    let front = echo_front(settings);
    let started = Instant::now();
    let mut stalled: Vec<TcpStream> = (0..500)
        .map(|i| {
            let mut stream = connect(front.address());
            let text = match i % 3 {
                0 => "",
                1 => "POST /v1/jobs HTTP/1.1\r\nContent-Le",
                _ => "POST /v1/jobs HTTP/1.1\r\nContent-Length: 5000\r\n\r\n{",
            };
            stream.write_all(text.as_bytes()).unwrap();
            stream
        })
        .collect();
    let mut slowest = Duration::ZERO;
    while started.elapsed() < Duration::from_millis(2500) {
        let sent = Instant::now();
        let (status, _) = exchange(front.address(), "POST", "/v1/jobs", JOB);
        assert_eq!(status, 200);
        slowest = slowest.max(sent.elapsed());
        thread::sleep(Duration::from_millis(10));
    }
    println!("slowest of the other callers: {slowest:?}");
    assert!(slowest < Duration::from_secs(1), "{slowest:?}");
    // A request with an incomplete head gets no response; its connection is closed.
    for (i, stream) in stalled.iter_mut().enumerate() {
        match i % 3 {
            2 => assert_eq!(read_response(stream).0, 408),
            _ => assert_eq!(stream.read(&mut [0]).unwrap(), 0),
        }
    }
    drop(stalled);
    let end = Instant::now() + Duration::from_secs(2);
    while front.connections() > 0 {
        assert!(Instant::now() < end, "{} remain", front.connections());
        thread::sleep(Duration::from_millis(10));
    }
}

/// Connections beyond the limit must be closed at once, and waiting callers must still be answered.
#[test]
fn connection_limit() {
    let mut settings = settings();
    settings.limits.listener.max_connections = 7;
    let (front, received) = recording_front(settings);
    let mut waiting = connect(front.address());
    send(&mut waiting, "GET", "/v1/jobs/a/acme/1", "");
    while received.lock().unwrap().is_empty() {
        thread::sleep(Duration::from_millis(1));
    }
    let _stalled: Vec<TcpStream> = (0..6).map(|_| connect(front.address())).collect();
    let end = Instant::now() + Duration::from_secs(2);
    while front.connections() < 7 {
        assert!(Instant::now() < end);
        thread::sleep(Duration::from_millis(1));
    }
    for _ in 0..20 {
        let mut rejected = connect(front.address());
        assert!(matches!(rejected.read(&mut [0]), Ok(0) | Err(_)));
        assert!(Instant::now() < end + Duration::from_secs(2));
    }
    let (id, ..) = received.lock().unwrap()[0];
    front.reply(id, Reply::Acknowledged);
    assert_eq!(read_response(&mut waiting).0, 200);
}

/// Waiting callers must not hold a thread: with 1,000 of them and two handler threads, other
/// callers must still be served, and each must get its response.
#[test]
fn waiting_callers_hold_no_threads() {
    let mut settings = settings();
    settings.limits.listener.handler_threads = 2;
    let replies: Arc<OnceLock<ReplySender>> = Arc::default();
    let reply_sender = replies.clone();
    let pending_ids: Arc<Mutex<Vec<RequestId>>> = Arc::default();
    let recorded = pending_ids.clone();
    let front = front::start(settings, move |id, _, request| {
        match request {
            Request::Outcome(_) => recorded.lock().unwrap().push(id),
            _ => reply_sender.wait().reply(id, Reply::Ready),
        }
        true
    })
    .unwrap();
    assert!(replies.set(front.replies()).is_ok());
    let mut waiting: Vec<TcpStream> = (0..1000)
        .map(|i| {
            let mut stream = connect(front.address());
            send(&mut stream, "GET", &format!("/v1/jobs/a/acme/{i}"), "");
            while pending_ids.lock().unwrap().len() <= i {
                thread::sleep(Duration::from_micros(100));
            }
            stream
        })
        .collect();
    for _ in 0..50 {
        let sent = Instant::now();
        assert_eq!(exchange(front.address(), "GET", "/readyz", "").0, 200);
        assert!(sent.elapsed() < Duration::from_secs(1));
    }
    for id in pending_ids.lock().unwrap().iter() {
        let error = ApiError::UnknownOutcome { key: None };
        front.reply(*id, Reply::Error(error));
    }
    for stream in &mut waiting {
        assert_eq!(read_response(stream).0, 504);
    }
    assert_eq!(front.pending_requests(), 0);
}

/// A caller that reads its response slowly or not at all must not delay others, nor hold its
/// connection for longer than the write timeout.
#[test]
fn slow_readers_do_not_block_others() {
    let mut settings = settings();
    settings.limits.listener.write_timeout = Duration::from_millis(2200);
    settings.limits.listener.head_timeout = Duration::from_secs(1);
    settings.limits.listener.idle_timeout = Duration::from_secs(1);
    // Larger than the socket buffers.
    let result = format!("\"{}\"", "x".repeat(7_000_000));
    let large = Payload::new(result.as_bytes());
    let front = answering_front(settings, move |job| match job.id.as_str() {
        "large" => vec![large.clone()],
        _ => job.tasks.clone(),
    });
    let mut slow: Vec<TcpStream> = (0..3)
        .map(|_| {
            let mut stream = connect(front.address());
            send(&mut stream, "POST", "/v1/jobs", &JOB.replace("j1", "large"));
            // A response that isn't being written yet delays nobody.
            assert_eq!(stream.peek(&mut [0]).unwrap(), 1);
            stream
        })
        .collect();
    thread::sleep(Duration::from_millis(300));
    let sent = Instant::now();
    assert_eq!(exchange(front.address(), "POST", "/v1/jobs", JOB).0, 200);
    assert!(sent.elapsed() < Duration::from_secs(1));
    let expected = format!(r#"{{"key":"a/acme/large","state":"complete","results":[{result}]}}"#);
    assert!(
        read_response(&mut slow[2]).2 == expected,
        "the response is truncated"
    );
    // Reading a byte now and then must not keep the other connections open. The write timeout is
    // 2.2 s.
    let end = Instant::now() + Duration::from_secs(8);
    while front.connections() > 0 {
        assert!(Instant::now() < end, "{} remain", front.connections());
        for stream in &mut slow {
            let _ = stream.read(&mut [0]);
        }
        thread::sleep(Duration::from_millis(50));
    }
}

/// A request that never gets a reply must be answered in the end, with `not_run` false. `close`
/// must free the address and keep pending requests; dropping the listener must close their
/// connections.
#[test]
fn lost_reply_and_stop() {
    let (mut front, _) = recording_front(settings());
    let mut stream = connect(front.address());
    send(&mut stream, "POST", "/v1/jobs?wait_ms=0", JOB);
    let (status, _, body) = read_response(&mut stream);
    assert_eq!(status, 504);
    assert!(body.contains(r#""not_run":false"#), "{body}");
    let mut held = connect(front.address());
    send(&mut held, "POST", "/v1/jobs", JOB);
    thread::sleep(Duration::from_millis(100));
    let address = front.address();
    front.close();
    assert!(TcpStream::connect(address).is_err());
    assert_eq!(front.pending_requests(), 1);
    drop(front);
    assert_eq!(held.read(&mut [0; 10]).unwrap_or(0), 0);
}

/// Guards against a shutdown at its time limit that closes connections without an answer.
#[test]
fn shutdown_answers_pending_requests() {
    let (mut front, _) = recording_front(settings());
    let mut held = connect(front.address());
    send(&mut held, "POST", "/v1/jobs", JOB);
    while front.pending_requests() == 0 {
        thread::sleep(Duration::from_millis(1));
    }
    front.shut_down(Duration::from_secs(5));
    let (status, _, body) = read_response(&mut held);
    assert_eq!(status, 504);
    assert!(body.contains(r#""not_run":false"#), "{body}");
}
