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

/// A run of a task on a target.
#[derive(Clone, Debug)]
pub struct Ran {
    pub task: String,
    pub target: String,
    pub from: f64,
    /// `None` while it runs.
    pub to: Option<f64>,
}

pub struct Record {
    begun: Instant,
    file: Mutex<File>,
    starts: Mutex<Vec<Start>>,
    runs: Mutex<Vec<Ran>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Record> {
        Ok(Record {
            begun: Instant::now(),
            file: Mutex::new(File::create(path)?),
            starts: Mutex::new(Vec::new()),
            runs: Mutex::new(Vec::new()),
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
        self.runs.lock().unwrap().push(Ran {
            task: start.task.clone(),
            target: start.target.clone(),
            from: start.at,
            to: None,
        });
        self.starts.lock().unwrap().push(start);
    }

    /// Records the end of a task's run on a target.
    pub fn end(&self, task: &str, target: &str) {
        let now = self.now();
        let mut runs = self.runs.lock().unwrap();
        let open = |run: &&mut Ran| run.to.is_none() && run.task == task && run.target == target;
        if let Some(run) = runs.iter_mut().find(open) {
            run.to = Some(now);
        }
    }

    pub fn runs(&self) -> Vec<Ran> {
        self.runs.lock().unwrap().clone()
    }

    pub fn starts(&self) -> Vec<Start> {
        self.starts.lock().unwrap().clone()
    }
}
