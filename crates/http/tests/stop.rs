//! Alone in its process, because it counts the threads of the process.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::{Duration, Instant};

use greengage_core::VmName;
use greengage_http::front::{self, Limits, Settings};

fn thread_count() -> usize {
    std::fs::read_dir("/proc/self/task").unwrap().count()
}

/// Guards against threads and connections that outlive the listener when callers still wait for a
/// response or have sent only part of a request.
#[test]
fn stop_ends_all_threads() {
    let before = thread_count();
    let settings = Settings {
        listen: "127.0.0.1:0".parse().unwrap(),
        vm: VmName::new("vm1").unwrap(),
        limits: Limits::default(),
    };
    let front = front::start(settings, |_, _, _| true).unwrap();
    let mut callers: Vec<TcpStream> = ["GET /readyz HTTP/1.1\r\n\r\n", "GET /rea", ""]
        .iter()
        .map(|text| {
            let mut stream = TcpStream::connect(front.address()).unwrap();
            stream.write_all(text.as_bytes()).unwrap();
            stream
        })
        .collect();
    let end = Instant::now() + Duration::from_secs(2);
    while front.pending_requests() == 0 || front.connections() < 3 {
        assert!(Instant::now() < end);
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(thread_count() > before);
    let replies = front.replies();
    drop(front);
    for stream in &mut callers {
        let mut text = String::new();
        stream.read_to_string(&mut text).unwrap();
        let refused = text.starts_with("HTTP/1.1 503 ") && text.ends_with('}');
        assert!(text.is_empty() || refused, "{text}");
    }
    while thread_count() > before {
        assert!(
            Instant::now() < end,
            "{} threads remain",
            thread_count() - before
        );
        std::thread::sleep(Duration::from_millis(1));
    }
    drop(replies);
}
