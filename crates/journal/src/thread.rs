//! The disk thread: drains a channel and syncs once for all that it drained.

use std::io;
use std::thread::{Builder, JoinHandle};

use crossbeam_channel::Receiver;

use crate::error::JournalError;
use crate::journal::{Batch, Journal};

/// Most batches of one sync.
pub const DRAIN_BATCHES: usize = 1_024;

/// Bytes of entries after which no further batch joins a sync: 8 MiB, which bounds how long the
/// first batch waits for the others to be written.
pub const DRAIN_BYTES: usize = 8 << 20;

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
        while let Ok((batch, token)) = commands.recv() {
            let mut bytes = batch_bytes(&batch);
            batches.push(batch);
            tokens.push(token);
            while batches.len() < DRAIN_BATCHES && bytes < DRAIN_BYTES {
                let Ok((batch, token)) = commands.try_recv() else {
                    break;
                };
                bytes += batch_bytes(&batch);
                batches.push(batch);
                tokens.push(token);
            }
            let result = journal.write(&batches);
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
