//! Measures throughput, memory and the longest command at a million entries.
//!
//! Each submission has one task of 16 bytes and each outcome one result of 16 bytes. Each key has
//! its own copies of the names, as in decoded commands.

use std::fs;
use std::sync::Arc;
use std::time::{Duration, Instant};

use greengage_core::{
    AccountName, Digest, Index, JobKey, Name, Outcome, Payload, TemplateName, Version, WallTime,
    ZoneName,
};
use greengage_ledger::{Command, Ledger, Submission};

const ENTRIES: u64 = 1_000_000;
const ACCOUNTS: u64 = 150;

fn key(i: u64) -> JobKey {
    let name = |text: String| Name::new(&text).expect("the name is valid");
    // Ids in no particular order, since callers choose them.
    let id = i.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    JobKey {
        account: AccountName(name(format!("account-{}", i % ACCOUNTS))),
        zone: ZoneName(name("zone-a".to_string())),
        id: name(format!("{id:016x}")),
    }
}

fn accept(i: u64, submission: Submission) -> Command {
    Command::Accept {
        key: key(i),
        digest: Digest([i as u8; 32]),
        submission: Arc::new(submission),
        begun: i.is_multiple_of(2),
        accepted_at: WallTime(i),
    }
}

fn close(i: u64) -> Command {
    Command::Close {
        key: key(i),
        outcome: Arc::new(Outcome::Complete(vec![Payload::new([0; 16])])),
    }
}

/// Resident memory of this process, assuming pages of 4096 bytes; 0 if it can't be read.
fn resident_bytes() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * 4096
}

struct Bench {
    ledger: Ledger,
    index: u64,
}

impl Bench {
    /// Creates commands in batches outside the timed section, applies them and prints the rate.
    fn measure(&mut self, label: &str, count: u64, command: impl Fn(u64) -> Command) {
        let (mut total, mut longest) = (Duration::ZERO, Duration::ZERO);
        for batch in 0..count / 1000 {
            let commands: Vec<_> = (batch * 1000..(batch + 1) * 1000).map(&command).collect();
            for command in &commands {
                self.index += 1;
                let before = Instant::now();
                self.ledger.apply(Index(self.index), command);
                let elapsed = before.elapsed();
                total += elapsed;
                longest = longest.max(elapsed);
            }
        }
        let rate = count as f64 / total.as_secs_f64();
        println!("{label}: {rate:.0} commands/s, longest {longest:?}");
    }
}

fn main() {
    let mut bench = Bench {
        ledger: Ledger::new(),
        index: 0,
    };
    let submission = Submission {
        template: TemplateName::new("tours").expect("the name is valid"),
        account: AccountName::new("account").expect("the name is valid"),
        version: Version(1),
        tasks: vec![Payload::new([0; 16])],
        deadline: WallTime(ENTRIES),
    };
    let before = resident_bytes();
    let per_entry = || resident_bytes().saturating_sub(before) / ENTRIES;
    bench.measure("accept", ENTRIES, |i| accept(i, submission.clone()));
    println!("open: {} bytes/entry resident", per_entry());
    bench.measure("begin one", ENTRIES, |i| Command::Begin {
        keys: vec![key(i)],
    });
    let start = Instant::now();
    let state = bench.ledger.snapshot();
    println!("snapshot: {:?}", start.elapsed());
    // Closes entries in all chunks, so each chunk is copied once because the snapshot shares it.
    bench.measure("close after a snapshot", ENTRIES / 100, |i| close(i * 100));
    drop(state);
    bench.measure("close", ENTRIES, close);
    let counts = bench.ledger.counts();
    let (resident, counted) = (per_entry(), counts.bytes / counts.entries);
    println!("closed: {resident} bytes/entry resident, {counted} counted");
    bench.measure("duplicate", ENTRIES, |i| accept(i, submission.clone()));

    let state = bench.ledger.snapshot();
    let start = Instant::now();
    let mut restored = Ledger::new();
    restored.restore(state);
    println!("restore: {:?}", start.elapsed());
    drop(restored);

    let before = WallTime(ENTRIES);
    let (mut total, mut longest) = (Duration::ZERO, Duration::ZERO);
    while bench.ledger.has_expired(before) {
        bench.index += 1;
        let start = Instant::now();
        let expire = Command::Expire { before };
        bench.ledger.apply(Index(bench.index), &expire);
        total += start.elapsed();
        longest = longest.max(start.elapsed());
    }
    let each = total / ENTRIES as u32;
    println!("expire: {each:?} for each entry, longest command {longest:?}");
}
