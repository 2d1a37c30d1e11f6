//! The format and the limits of log lines.

use std::io::{self, Write};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::SystemTime;

use greengage_logs::{format_line, write_lines, Limits, Sink};
use log::{Level, LevelFilter, Log, Record};

fn log(sink: &Sink, event: &str) {
    let pairs = [("event", event)];
    let record = Record::builder()
        .level(Level::Info)
        .target("part")
        .key_values(&pairs)
        .args(format_args!("a thing happened"))
        .build();
    sink.log(&record);
}

/// Guards against lines that can't be parsed by splitting at spaces and equals signs.
#[test]
fn values_with_spaces_are_quoted() {
    let pairs = [("event", "job-ended"), ("cause", "no room")];
    let record = Record::builder()
        .level(Level::Warn)
        .target("part")
        .key_values(&pairs)
        .args(format_args!("a job has ended"))
        .build();
    let line = format_line(SystemTime::UNIX_EPOCH, &record);
    assert_eq!(
        line,
        "1970-01-01T00:00:00.000Z WARN part event=job-ended cause=\"no room\" \"a job has ended\""
    );
}

/// Guards against logging that blocks the calling thread, and against dropped lines that are not
/// reported.
#[test]
fn full_queue_drops_and_counts_lines() {
    let limits = Limits {
        queued_lines: 2,
        lines_per_second: 100,
    };
    let (sink, output) = Sink::new(LevelFilter::Info, limits);
    for _ in 0..5 {
        log(&sink, "x");
    }
    assert_eq!(output.lines.try_iter().count(), 2);
    log(&sink, "x");
    assert!(output
        .lines
        .try_recv()
        .unwrap()
        .ends_with("dropped_before=3"));
}

/// Guards against a change of what a VM believes that is missing from the log of an overloaded VM.
#[test]
fn frequent_lines_leave_room_for_rare_ones() {
    let limits = Limits {
        queued_lines: 100,
        lines_per_second: 200,
    };
    let (sink, output) = Sink::new(LevelFilter::Info, limits);
    for _ in 0..200 {
        log(&sink, "job-ended");
    }
    log(&sink, "configuration");
    let lines: Vec<String> = output.lines.try_iter().collect();
    assert_eq!(lines.len(), 76);
    assert!(lines[75].contains("event=configuration"), "{}", lines[75]);
}

/// Guards against one frequent event crowding out all other lines.
#[test]
fn rate_limit_applies_per_event() {
    let limits = Limits {
        queued_lines: 100,
        lines_per_second: 3,
    };
    let (sink, output) = Sink::new(LevelFilter::Info, limits);
    for _ in 0..10 {
        log(&sink, "often");
    }
    log(&sink, "seldom");
    assert_eq!(output.lines.try_iter().count(), 4);
}

#[derive(Clone, Default)]
struct Written(Arc<Mutex<Vec<u8>>>);

impl Write for Written {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against the loss of the last lines of a process, which tell why it ended.
#[test]
fn flush_returns_after_all_queued_lines_are_written() {
    let (sink, output) = Sink::new(LevelFilter::Info, Limits::default());
    for _ in 0..100 {
        log(&sink, "x");
    }
    let written = Written::default();
    let mut destination = written.clone();
    let writer = thread::spawn(move || write_lines(&output, &mut destination));
    sink.flush();
    let lines = written
        .0
        .lock()
        .unwrap()
        .iter()
        .filter(|b| **b == b'\n')
        .count();
    assert_eq!(lines, 100);
    drop(sink);
    writer.join().unwrap();
}
