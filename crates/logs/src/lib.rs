//! Structured log lines on standard output; logging never blocks on output.
//!
//! A line has the form `time level target key=value ... "message"`. A bounded queue passes lines to
//! a writer thread; a line is dropped if the queue is full. The number of lines per second is
//! limited for each value of the key `event`, or for each log target if a line lacks that key. Part
//! of the queue is kept for kinds with few lines.
//! Dropped lines are counted; the next line that is queued reports the count in `dropped_before`.

mod line;
mod sink;

pub use line::format_line;
pub use sink::{install, write_lines, Limits, LogError, Output, Sink};
