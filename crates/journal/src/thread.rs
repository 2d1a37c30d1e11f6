//! Disk thread: takes batches from a channel and makes all waiting batches durable with one sync.
//!
//! A snapshot without `clear` whose index the log reaches is deferred: one slice is written after
//! each sync, and further slices while no batch waits. Its batch is reported once the rest of the
//! batch is durable, since the log still holds the entries that the snapshot covers. While one is
//! being written, further ones of its group are dropped, or frequent snapshots would keep one
//! another from being completed. All other snapshots are durable before their batch is reported; one
//! with `clear` replaces the log. When the channel is closed, deferred snapshots are abandoned.

use std::io;
use std::thread::{Builder, JoinHandle};
use std::time::{Duration, Instant};

use crossbeam_channel::{Receiver, TryRecvError};

use greengage_core::SortedMap;

use crate::error::JournalError;
use crate::journal::{Batch, Journal};

/// Maximum number of batches per sync.
pub const MAX_SYNC_BATCHES: usize = 1_024;

/// Payload bytes from which no further batch joins a sync. Bounds how long the first batch waits
/// for the others to be written.
pub const MAX_SYNC_BYTES: usize = 8 << 20;

/// A sync waits at most the duration of the last write divided by this for as many batches as the
/// last sync had. Without the wait, writers that wait for their replies split into two groups that
/// alternate, each waiting for the other's sync.
const GATHER_DIVISOR: u32 = 16;

/// Starts the disk thread. It ends when the channel is closed.
///
/// `report` is called for each batch, in order, with its token once the batch is durable, or with
/// the error that kept it from being written. After a failed write the thread goes on to take
/// batches and reports an error for each, so that no sender blocks.
pub fn start<T: Send + 'static>(
    mut journal: Journal,
    batch_receiver: Receiver<(Batch, T)>,
    mut report: impl FnMut(Result<T, JournalError>) + Send + 'static,
) -> io::Result<JoinHandle<()>> {
    let run = move || {
        let mut batches = Vec::new();
        let mut tokens = Vec::new();
        let (mut last_count, mut last_duration) = (0, Duration::ZERO);
        loop {
            let first = match journal.has_deferred_snapshot() {
                true => batch_receiver.try_recv(),
                false => batch_receiver
                    .recv()
                    .map_err(|_| TryRecvError::Disconnected),
            };
            let (batch, token) = match first {
                Ok(first) => first,
                Err(TryRecvError::Empty) => {
                    advance_or_log(&mut journal);
                    continue;
                }
                Err(TryRecvError::Disconnected) => return,
            };
            let mut bytes = batch_bytes(&batch);
            batches.push(batch);
            tokens.push(token);
            let gather_deadline = Instant::now() + last_duration / GATHER_DIVISOR;
            while batches.len() < MAX_SYNC_BATCHES && bytes < MAX_SYNC_BYTES {
                let next = match batches.len() < last_count {
                    true => batch_receiver.recv_deadline(gather_deadline).ok(),
                    false => batch_receiver.try_recv().ok(),
                };
                let Some((batch, token)) = next else {
                    break;
                };
                bytes += batch_bytes(&batch);
                batches.push(batch);
                tokens.push(token);
            }
            let write_start = Instant::now();
            let result = write_batches(&mut journal, &mut batches);
            (last_count, last_duration) = (batches.len(), write_start.elapsed());
            batches.clear();
            for token in tokens.drain(..) {
                report(result.clone().map(|()| token));
            }
            if journal.has_deferred_snapshot() {
                advance_or_log(&mut journal);
            }
        }
    };
    Builder::new().name("journal".to_string()).spawn(run)
}

/// Writes the batches without their deferrable snapshots, then starts to write those.
fn write_batches(journal: &mut Journal, batches: &mut [Batch]) -> Result<(), JournalError> {
    let mut deferred = SortedMap::new();
    for batch in batches.iter_mut() {
        let Some((index, payload)) = batch.snapshot.take() else {
            continue;
        };
        // A later snapshot of the group supersedes an earlier one.
        deferred.remove(&batch.group);
        if batch.clear || !journal.can_defer_snapshot(&batch.group, index) {
            batch.snapshot = Some((index, payload));
        } else if !journal.is_writing_snapshot(&batch.group) {
            deferred.insert(batch.group.clone(), (index, payload));
        }
    }
    journal.write(batches)?;
    for (group, (index, payload)) in deferred {
        journal.defer_snapshot(&group, index, payload)?;
    }
    Ok(())
}

/// Writes a part of a deferred snapshot. After an error the journal rejects further batches.
fn advance_or_log(journal: &mut Journal) {
    if let Err(error) = journal.advance_deferred() {
        log::error!("journal stopped, no more batches are accepted: {error}");
    }
}

fn batch_bytes(batch: &Batch) -> usize {
    let entries = batch.entries.iter().map(|(_, payload)| payload);
    let snapshot = batch.snapshot.as_ref().map(|(_, payload)| payload);
    let payloads = entries.chain(&batch.hard_state).chain(snapshot);
    payloads.map(Vec::len).sum()
}
