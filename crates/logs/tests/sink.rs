//! The format and the limits of log lines.

use std::time::SystemTime;

use greengage_logs::{format_line, Limits, Sink};
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
    let (sink, lines) = Sink::new(LevelFilter::Info, limits);
    for _ in 0..5 {
        log(&sink, "x");
    }
    assert_eq!(lines.try_iter().count(), 2);
    log(&sink, "x");
    assert!(lines.try_recv().unwrap().ends_with("dropped_before=3"));
}

/// Guards against one frequent event crowding out all other lines.
#[test]
fn rate_limit_applies_per_event() {
    let limits = Limits {
        queued_lines: 100,
        lines_per_second: 3,
    };
    let (sink, lines) = Sink::new(LevelFilter::Info, limits);
    for _ in 0..10 {
        log(&sink, "often");
    }
    log(&sink, "seldom");
    assert_eq!(lines.try_iter().count(), 4);
}
