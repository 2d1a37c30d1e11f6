//! A bounded pool of named threads that are created on demand and end when idle.
//!
//! A job is queued; if no idle thread is available for it, a thread is created, up to the limit.
//! Jobs beyond the limit wait in the queue, so a caller that must not wait checks `active_jobs`
//! first.

use std::collections::VecDeque;
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

type Job = Box<dyn FnOnce() + Send>;

/// How long an idle thread waits for a job before it ends.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

struct State {
    queue: VecDeque<Job>,
    threads: usize,
    idle: usize,
    running: usize,
    closed: bool,
}

struct Inner {
    name: String,
    max_threads: usize,
    state: Mutex<State>,
    state_changed: Condvar,
}

/// A thread pool; clones share the same threads.
#[derive(Clone)]
pub struct ThreadPool(Arc<Inner>);

impl ThreadPool {
    /// Creates a pool of at most `max_threads` threads, at least one, with the thread name `name`.
    pub fn new(name: &str, max_threads: usize) -> ThreadPool {
        ThreadPool(Arc::new(Inner {
            name: name.to_string(),
            max_threads: max_threads.max(1),
            state: Mutex::new(State {
                queue: VecDeque::new(),
                threads: 0,
                idle: 0,
                running: 0,
                closed: false,
            }),
            state_changed: Condvar::new(),
        }))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Queues `job`. Returns false and drops the job if the pool is closed, or if it has no thread
    /// and none can be created.
    pub fn run(&self, job: impl FnOnce() + Send + 'static) -> bool {
        let mut state = self.lock();
        if state.closed {
            return false;
        }
        state.queue.push_back(Box::new(job));
        if state.idle >= state.queue.len() {
            self.0.state_changed.notify_one();
            return true;
        }
        if state.threads >= self.0.max_threads {
            return true;
        }
        let pool = self.clone();
        let spawn_result = thread::Builder::new()
            .name(self.0.name.clone())
            .spawn(move || pool.run_worker());
        match spawn_result {
            Ok(_) => state.threads += 1,
            Err(e) => {
                log::error!("thread pool {} can't create a thread: {e}", self.0.name);
                if state.threads == 0 {
                    state.queue.pop_back();
                    return false;
                }
            }
        }
        true
    }

    /// The number of running and queued jobs.
    pub fn active_jobs(&self) -> usize {
        let state = self.lock();
        state.running + state.queue.len()
    }

    /// The maximum number of threads.
    pub fn max_threads(&self) -> usize {
        self.0.max_threads
    }

    /// Drops queued jobs and ends each thread after its current job.
    pub fn close(&self) {
        let queued = {
            let mut state = self.lock();
            state.closed = true;
            std::mem::take(&mut state.queue)
        };
        self.0.state_changed.notify_all();
        drop(queued);
    }

    /// Waits until all threads have ended; false if that takes longer than `timeout`.
    pub fn join_timeout(&self, timeout: Duration) -> bool {
        let deadline = Instant::now() + timeout;
        let mut state = self.lock();
        while state.threads > 0 {
            let remaining = deadline.saturating_duration_since(Instant::now());
            if remaining.is_zero() {
                return false;
            }
            state = match self.0.state_changed.wait_timeout(state, remaining) {
                Ok((state, _)) => state,
                Err(e) => e.into_inner().0,
            };
        }
        true
    }

    fn run_worker(self) {
        // Guards decrement the counts even if a job panics.
        let _thread_guard = ThreadGuard(&self);
        while let Some(job) = self.next_job() {
            let _running_guard = RunningGuard(&self);
            job();
        }
    }

    fn next_job(&self) -> Option<Job> {
        let mut state = self.lock();
        loop {
            if let Some(job) = state.queue.pop_front() {
                state.running += 1;
                return Some(job);
            }
            if state.closed {
                return None;
            }
            state.idle += 1;
            let (next_state, timeout) = match self.0.state_changed.wait_timeout(state, IDLE_TIMEOUT)
            {
                Ok(result) => result,
                Err(e) => e.into_inner(),
            };
            state = next_state;
            state.idle -= 1;
            if timeout.timed_out() && state.queue.is_empty() {
                return None;
            }
        }
    }
}

struct RunningGuard<'a>(&'a ThreadPool);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().running -= 1;
    }
}

struct ThreadGuard<'a>(&'a ThreadPool);

impl Drop for ThreadGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().threads -= 1;
        self.0 .0.state_changed.notify_all();
    }
}
