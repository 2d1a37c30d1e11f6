//! The disk thread: drains a channel and syncs once for all that it drained.

use std::io;
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam_channel::Receiver;

use crate::error::JournalError;
use crate::journal::{Batch, Journal};

/// Most batches of one sync.
pub const DRAIN_BATCHES: usize = 1_024;

/// Bytes of entries after which no further batch joins a sync: 8 MiB, which bounds how long the
/// first batch waits for the others to be written.
pub const DRAIN_BYTES: usize = 8 << 20;

/// The share of the last write's duration for which a sync waits until as many batches as last time
/// have arrived. Without it, writers that wait for their answers fall into two groups, each of
/// which waits for the other's sync.
const GATHER_FRACTION: u32 = 16;

/// Starts the disk thread. It ends when the channel is closed.
///
/// `done` is called for each batch, in order, with its token once the batch is durable, or with
/// the error that kept it from being written. After a failed write the thread goes on to take
/// batches and reports an error for each, so that no sender blocks.
pub fn start<T: Send + 'static>(
    mut journal: Journal,
    commands: Receiver<(Batch, T)>,
    mut done: impl FnMut(Result<T, JournalError>) + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    let run = move || {
        let mut batches = Vec::new();
        let mut tokens = Vec::new();
        let (mut last, mut took) = (0, Duration::ZERO);
        while let Ok((batch, token)) = commands.recv() {
            let mut bytes = batch_bytes(&batch);
            batches.push(batch);
            tokens.push(token);
            let until = Instant::now() + took / GATHER_FRACTION;
            while batches.len() < DRAIN_BATCHES && bytes < DRAIN_BYTES {
                let next = match batches.len() < last {
                    true => commands.recv_deadline(until).ok(),
                    false => commands.try_recv().ok(),
                };
                let Some((batch, token)) = next else {
                    break;
                };
                bytes += batch_bytes(&batch);
                batches.push(batch);
                tokens.push(token);
            }
            let before = Instant::now();
            let result = journal.write(&batches);
            (last, took) = (batches.len(), before.elapsed());
            batches.clear();
            for token in tokens.drain(..) {
                done(result.clone().map(|()| token));
            }
        }
    };
    Builder::new().name("journal".to_string()).spawn(run)
}

fn batch_bytes(batch: &Batch) -> usize {
    let entries = batch.entries.iter().map(|(_, payload)| payload);
    let snapshot = batch.snapshot.as_ref().map(|(_, payload)| payload);
    let payloads = entries.chain(&batch.hard).chain(snapshot);
    payloads.map(Vec::len).sum()
}
