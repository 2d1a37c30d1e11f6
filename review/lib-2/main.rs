//! Runs one case of the review: `review-2 CASE FOLDER RECORD`, from the root of the repository. `TROUBLE=0`
//! in the environment leaves out the disruption. Exits with 1 if the rule was broken, 0 if it held, and 2
//! if the case couldn't run.

mod cases;
mod deployment;
mod http;
mod json;
mod record;
mod target;

use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::time::Duration;

use record::Record;

/// A case that takes longer couldn't run.
const LIMIT: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder, record] = &arguments[..] else {
        eprintln!("usage: review-2 CASE FOLDER RECORD");
        exit(2);
    };
    let record = match Record::create(Path::new(record)) {
        Ok(record) => Arc::new(record),
        Err(error) => {
            eprintln!("cannot write the record: {error}");
            exit(2);
        }
    };
    let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    std::thread::spawn(|| {
        std::thread::sleep(LIMIT);
        eprintln!("the case couldn't run: it takes too long");
        deployment::kill_all();
        exit(2);
    });
    let run = || cases::run(case, Path::new(folder), record.clone(), trouble);
    let result = catch_unwind(AssertUnwindSafe(run));
    let result = result.unwrap_or_else(|_| Err("a thread of the case panicked".to_string()));
    let (text, code) = match result {
        Ok(broken) if broken.is_empty() => ("the rule held".to_string(), 0),
        Ok(broken) => (format!("the rule is broken: {}", broken.join("; ")), 1),
        Err(error) => (format!("the case couldn't run: {error}"), 2),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
