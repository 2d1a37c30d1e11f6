//! What was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// A start of a task on a target.
#[derive(Clone, Debug)]
pub struct Start {
    /// Seconds since the record was opened.
    pub at: f64,
    pub target: String,
    pub kind: String,
    pub task: String,
    pub run: u64,
    /// The job that the task belongs to.
    pub job: String,
}

pub struct Record {
    begun: Instant,
    file: Mutex<File>,
    starts: Mutex<Vec<Start>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            begun: Instant::now(),
            file: Mutex::new(File::create(path)?),
            starts: Mutex::new(Vec::new()),
        })
    }

    /// Seconds since the record was opened.
    pub fn now(&self) -> f64 {
        self.begun.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let line = format!("{:9.3} {text}\n", self.now());
        // A record that can't be written shows in the file itself.
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    pub fn start(&self, start: Start) {
        self.line(&format!(
            "start of {} run {} on {} (kind {})",
            start.task, start.run, start.target, start.kind
        ));
        self.starts.lock().unwrap().push(start);
    }

    pub fn starts(&self) -> Vec<Start> {
        self.starts.lock().unwrap().clone()
    }
}
