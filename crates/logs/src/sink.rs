//! The line queue, its limits and the writer thread.

use std::fmt;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant, SystemTime};

use crossbeam_channel::{bounded, select, Receiver, Sender};
use log::kv::Key;
use log::{LevelFilter, Log, Metadata, Record};

use crate::line::format_line;

/// Limits of a sink.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum number of lines that wait for the writer.
    pub queued_lines: usize,
    /// Maximum number of lines per second with the same `event`.
    pub lines_per_second: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            queued_lines: 4096,
            lines_per_second: 200,
        }
    }
}

/// An error that prevents the logger from being installed.
#[derive(Debug)]
pub enum LogError {
    /// The process already has a logger.
    AlreadyInstalled,
    /// Creating the writer thread failed.
    Thread(io::Error),
}

impl fmt::Display for LogError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            LogError::AlreadyInstalled => {
                write!(f, "a logger is already installed: install only one")
            }
            LogError::Thread(cause) => {
                write!(
                    f,
                    "cannot create the log writer thread: {cause}; raise the process limit"
                )
            }
        }
    }
}

impl std::error::Error for LogError {}

/// Number of lines of each kind in the current second, sorted by kind.
struct RateWindow {
    start: Instant,
    counts: Vec<(String, u32)>,
}

/// A logger with a bounded queue.
pub struct Sink {
    limits: Limits,
    level: LevelFilter,
    lines: Sender<String>,
    flushes: Sender<Sender<()>>,
    dropped: AtomicU64,
    window: Mutex<RateWindow>,
}

/// What a sink passes to its writer.
pub struct Output {
    /// The queued lines.
    pub lines: Receiver<String>,
    /// Each is closed once the lines queued before it are written.
    flushes: Receiver<Sender<()>>,
}

/// Time limit of a flush, so that a blocked standard output doesn't delay the end of a process.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Number of lines of one kind per second up to which the kind is rare. A changed configuration or a
/// lost VM writes few lines; without them the lines of single requests can't be explained.
const RARE_LINES: u32 = 20;

/// Percentage of the queue that is kept for rare lines.
const RARE_PERCENT: usize = 25;

impl Sink {
    /// Creates a sink and the output of its lines.
    pub fn new(level: LevelFilter, limits: Limits) -> (Sink, Output) {
        let (lines, queued_lines) = bounded(limits.queued_lines);
        let (flushes, flush_requests) = bounded(1);
        let window = RateWindow {
            start: Instant::now(),
            counts: Vec::new(),
        };
        let sink = Sink {
            limits,
            level,
            lines,
            flushes,
            dropped: AtomicU64::new(0),
            window: Mutex::new(window),
        };
        let output = Output {
            lines: queued_lines,
            flushes: flush_requests,
        };
        (sink, output)
    }

    /// Counts a line of this kind and returns whether it is within the rate limit and the part of the
    /// queue that its kind may use.
    fn admit(&self, kind: &str) -> bool {
        let Ok(mut window) = self.window.lock() else {
            return true;
        };
        if window.start.elapsed() >= RATE_WINDOW {
            window.start = Instant::now();
            window.counts.clear();
        }
        let index = window
            .counts
            .binary_search_by(|(k, _)| k.as_str().cmp(kind));
        let index = match index {
            Ok(index) => index,
            Err(index) => {
                window.counts.insert(index, (kind.to_string(), 0));
                index
            }
        };
        window.counts[index].1 += 1;
        let count = window.counts[index].1;
        let shared_lines = self.limits.queued_lines * (100 - RARE_PERCENT) / 100;
        count <= self.limits.lines_per_second
            && (count <= RARE_LINES || self.lines.len() < shared_lines)
    }
}

impl Log for Sink {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let kind = record.key_values().get(Key::from_str("event"));
        let kind = kind.map_or(record.target().to_string(), |kind| kind.to_string());
        if !self.admit(&kind) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let mut line = format_line(SystemTime::now(), record);
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        if dropped > 0 {
            line.push_str(&format!(" dropped_before={dropped}"));
        }
        if self.lines.try_send(line).is_err() {
            self.dropped.fetch_add(dropped + 1, Ordering::Relaxed);
        }
    }

    /// Waits until all queued lines are written, up to a time limit.
    fn flush(&self) {
        let (done, written) = bounded::<()>(0);
        if self.flushes.send_timeout(done, FLUSH_TIMEOUT).is_ok() {
            // Ends with an error in any case: the writer closes the channel, or time is up.
            let _ = written.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Installs a sink that writes to standard output as the global logger.
pub fn install(level: LevelFilter, limits: Limits) -> Result<(), LogError> {
    let (sink, output) = Sink::new(level, limits);
    thread::Builder::new()
        .name("logs".to_string())
        .spawn(move || write_lines(&output, &mut io::stdout()))
        .map_err(LogError::Thread)?;
    log::set_boxed_logger(Box::new(sink)).map_err(|_| LogError::AlreadyInstalled)?;
    log::set_max_level(level);
    Ok(())
}

fn push_line(text: &mut String, line: &str) {
    text.push_str(line);
    text.push('\n');
}

/// Writes lines until the sink is dropped; all queued lines go into one write.
pub fn write_lines(output: &Output, destination: &mut dyn Write) {
    let mut text = String::new();
    loop {
        let flush = select! {
            recv(output.lines) -> line => match line {
                Ok(line) => {
                    push_line(&mut text, &line);
                    None
                }
                Err(_) => return,
            },
            recv(output.flushes) -> flush => flush.ok(),
        };
        for line in output.lines.try_iter() {
            push_line(&mut text, &line);
        }
        // A failure to write to standard output can't be reported anywhere.
        let _ = destination.write_all(text.as_bytes());
        text.clear();
        drop(flush);
    }
}
