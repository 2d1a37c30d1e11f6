//! Measures durable batches per second on a real disk.
//!
//! Arguments: FOLDER [SYNC_DELAY_MS [SNAPSHOT_MIB]].
//!
//! Each writer repeatedly sends a batch with one entry of 1 KiB and waits until it is durable. One
//! snapshot of the given size is written meanwhile. Each run creates a folder below FOLDER and
//! removes it.

use std::env;
use std::num::NonZeroU64;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel::bounded;
use greengage_core::{Index, Name, VmName};
use greengage_journal::{start, Batch, Journal, RealDisk, Settings, DEFAULT_SEGMENT_BYTES};

const RUN_DURATION: Duration = Duration::from_secs(4);

fn main() {
    let mut arguments = env::args().skip(1);
    let folder = arguments
        .next()
        .expect("usage: throughput FOLDER [SYNC_DELAY_MS [SNAPSHOT_MIB]]");
    let mut number = || {
        let text = arguments.next();
        text.map_or(0, |text| text.parse().expect("the argument is a number"))
    };
    let delay = Duration::from_millis(number());
    let snapshot = number() as usize;
    for writers in [1, 8, 64] {
        measure(Path::new(&folder), writers, delay, snapshot << 20);
    }
}

fn batch(group: &str, index: u64) -> Batch {
    Batch {
        group: Name::new(group).expect("the name is valid"),
        hard_state: None,
        entries: vec![(Index(index), vec![7; 1024])],
        snapshot: None,
        clear: false,
    }
}

fn measure(parent: &Path, writers: usize, sync_delay: Duration, snapshot: usize) {
    let folder = parent.join(format!("throughput-{writers}"));
    std::fs::create_dir(&folder).expect("the folder is new");
    let settings = Settings {
        folder: folder.clone(),
        vm: VmName::new("a").expect("the name is valid"),
        new_folder_id: NonZeroU64::MIN,
        segment_bytes: DEFAULT_SEGMENT_BYTES,
        sync_delay,
    };
    let opened = Journal::open(Box::new(RealDisk), settings);
    let (mut journal, _, _) = opened.expect("the folder opens");
    let mut large = batch("large", 1);
    journal.write(&[large.clone()]).expect("the disk works");
    large.entries.clear();
    large.snapshot = Some((Index(1), vec![7; snapshot]));
    let (batches, receiver) = bounded(writers);
    let (answers, answer_receivers): (Vec<_>, Vec<_>) = (0..writers).map(|_| bounded(1)).unzip();
    let done = move |result: Result<usize, _>| {
        let writer = result.expect("the disk works");
        // The snapshot's token is the number of writers, which is no writer's index.
        if let Some(answer) = answers.get(writer) {
            answer.send(()).expect("the writer waits");
        }
    };
    let disk = start(journal, receiver, done).expect("the thread starts");
    if snapshot > 0 {
        let result = batches.send((large, writers));
        result.expect("the disk thread runs");
    }
    let run_start = Instant::now();
    let threads: Vec<_> = answer_receivers
        .into_iter()
        .enumerate()
        .map(|(writer, answer)| {
            let batches = batches.clone();
            thread::spawn(move || {
                let mut latencies = Vec::new();
                let group = format!("g{writer}");
                for i in 1.. {
                    let batch = batch(&group, i);
                    let sent_at = Instant::now();
                    batches.send((batch, writer)).expect("the disk thread runs");
                    answer.recv().expect("the disk thread runs");
                    latencies.push(sent_at.elapsed());
                    if run_start.elapsed() > RUN_DURATION {
                        break;
                    }
                }
                latencies
            })
        })
        .collect();
    drop(batches);
    let joined = threads
        .into_iter()
        .map(|t| t.join().expect("a writer ends"));
    let mut latencies: Vec<_> = joined.flatten().collect();
    let rate = latencies.len() as f64 / run_start.elapsed().as_secs_f64();
    disk.join().expect("the disk thread ends");
    latencies.sort_unstable();
    let median = latencies[latencies.len() / 2];
    let longest = latencies[latencies.len() - 1];
    let p99 = latencies[latencies.len() * 99 / 100];
    println!(
        "{writers} writers, {sync_delay:?} added: {rate:.0} batches/s, \
         wait {median:?} median, {p99:?} p99, {longest:?} longest"
    );
    std::fs::remove_dir_all(&folder).expect("the folder can be removed");
}
