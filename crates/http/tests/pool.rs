//! The thread pool under bursts of jobs.

use std::sync::{Arc, Barrier};
use std::time::Duration;

use crossbeam_channel::bounded;
use greengage_http::pool::ThreadPool;

/// Guards against a job that waits for a running one while the pool may create threads: each job of
/// a burst ends only once all of them run.
#[test]
fn burst_of_jobs_runs_at_once() {
    const JOBS: usize = 24;
    for round in 0..300 {
        let pool = ThreadPool::new("burst", JOBS + 1);
        let barrier = Arc::new(Barrier::new(JOBS));
        let (ended_tx, ended) = bounded(JOBS);
        // A job before the burst leaves the pool with a thread that is about to be idle.
        pool.run(|| ());
        for _ in 0..JOBS {
            let (barrier, ended_tx) = (barrier.clone(), ended_tx.clone());
            assert!(pool.run(move || {
                barrier.wait();
                let _ = ended_tx.send(());
            }));
        }
        for _ in 0..JOBS {
            let end = ended.recv_timeout(Duration::from_secs(9));
            assert!(end.is_ok(), "a job of round {round} waits for another one");
        }
        pool.close();
    }
}
