//! Measures commands a second, memory and pauses at a million entries.
//!
//! Each submission has one task of 16 bytes and each outcome one result of 16 bytes. The names in
//! keys are separate strings, as in decoded commands.

use std::fs;
use std::sync::Arc;
use std::time::{Duration, Instant};

use greengage_core::{
    AccountName, Digest, Index, JobKey, Name, Outcome, Payload, TemplateName, Version, Wall,
    ZoneName,
};
use greengage_ledger::{Command, Ledger, Submission};

const ENTRIES: u64 = 1_000_000;
const ACCOUNTS: u64 = 150;

fn key(i: u64) -> JobKey {
    let name = |text: String| Name::new(&text).expect("the name is valid");
    // Ids in no order, as callers choose them.
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
        at: Wall(i),
    }
}

fn close(i: u64) -> Command {
    Command::Close {
        key: key(i),
        outcome: Arc::new(Outcome::Complete(vec![Payload::new([0; 16])])),
    }
}

/// Resident memory in bytes.
fn resident() -> u64 {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse().ok());
    pages.unwrap_or(0) * 4096
}

struct Run {
    ledger: Ledger,
    index: u64,
}

impl Run {
    /// Applies commands that are made in small groups, so that only applying is timed.
    fn time(&mut self, what: &str, count: u64, make: impl Fn(u64) -> Command) {
        let (mut total, mut longest) = (Duration::ZERO, Duration::ZERO);
        for group in 0..count / 1000 {
            let commands: Vec<_> = (group * 1000..(group + 1) * 1000).map(&make).collect();
            for command in &commands {
                self.index += 1;
                let before = Instant::now();
                self.ledger.apply(Index(self.index), command);
                let took = before.elapsed();
                total += took;
                longest = longest.max(took);
            }
        }
        let rate = count as f64 / total.as_secs_f64();
        println!("{what}: {rate:.0} commands/s, longest {longest:?}");
    }
}

fn main() {
    let mut run = Run {
        ledger: Ledger::new(),
        index: 0,
    };
    let submission = Submission {
        template: TemplateName::new("tours").expect("the name is valid"),
        account: AccountName::new("account").expect("the name is valid"),
        version: Version(1),
        tasks: vec![Payload::new([0; 16])],
        deadline: Wall(ENTRIES),
    };
    let before = resident();
    let per_entry = || resident().saturating_sub(before) / ENTRIES;
    run.time("accept", ENTRIES, |i| accept(i, submission.clone()));
    println!("open: {} bytes/entry resident", per_entry());
    run.time("begin one", ENTRIES, |i| Command::Begin {
        keys: vec![key(i)],
    });
    let start = Instant::now();
    let state = run.ledger.snapshot();
    println!("snapshot: {:?}", start.elapsed());
    // Spread over all chunks, each of which is copied once because the snapshot shares it.
    run.time("close after a snapshot", ENTRIES / 100, |i| close(i * 100));
    drop(state);
    run.time("close", ENTRIES, close);
    let counts = run.ledger.counts();
    let (resident, counted) = (per_entry(), counts.bytes / counts.entries);
    println!("closed: {resident} bytes/entry resident, {counted} counted");
    run.time("duplicate", ENTRIES, |i| accept(i, submission.clone()));

    let state = run.ledger.snapshot();
    let start = Instant::now();
    let mut other = Ledger::new();
    other.restore(state);
    println!("restore: {:?}", start.elapsed());
    drop(other);

    let before = Wall(ENTRIES);
    let (mut total, mut longest) = (Duration::ZERO, Duration::ZERO);
    while run.ledger.due(before) {
        run.index += 1;
        let start = Instant::now();
        let expire = Command::Expire { before };
        run.ledger.apply(Index(run.index), &expire);
        total += start.elapsed();
        longest = longest.max(start.elapsed());
    }
    let each = total / ENTRIES as u32;
    println!("expire: {each:?} for each entry, longest command {longest:?}");
}
