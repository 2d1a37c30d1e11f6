//! Structured log lines on standard output that never block the thread that logs.
//!
//! A line is `time level target key=value ... "message"`. Lines wait in a bounded queue for one
//! writer thread; a line that finds the queue full is dropped and counted. Lines of one kind, which
//! is their key `event`, are limited in number for each second. The writer tells how many lines
//! were dropped as soon as it can.

mod line;
mod sink;

pub use line::format_line;
pub use sink::{install, Limits, LogError, Sink};
