//! Results of single commands and short sequences.

use std::sync::Arc;

use greengage_core::{
    AccountName, Digest, Failure, Incarnation, Index, JobKey, Name, Outcome, Payload, TargetName,
    TemplateName, Version, WallTime, ZoneName,
};
use greengage_ledger::{
    Applied, Command, Ledger, Refused, Stage, Submission, EXPIRE_BATCH_ENTRIES,
};

fn key(id: &str) -> JobKey {
    JobKey {
        account: AccountName::new("lampang").unwrap(),
        zone: ZoneName::new("a").unwrap(),
        id: Name::new(id).unwrap(),
    }
}

fn accept(id: &str, digest: u8, begun: bool, at: u64) -> Command {
    let submission = Submission {
        template: TemplateName::new("tours").unwrap(),
        account: AccountName::new("lampang").unwrap(),
        version: Version(1),
        tasks: vec![Payload::new(*b"task")],
        deadline: WallTime(at + 1000),
    };
    Command::Accept {
        key: key(id),
        digest: Digest([digest; 32]),
        submission: Arc::new(submission),
        begun,
        accepted_at: WallTime(at),
    }
}

fn close(id: &str, outcome: Outcome) -> Command {
    Command::Close {
        key: key(id),
        outcome: Arc::new(outcome),
    }
}

fn begin(ids: &[&str]) -> Command {
    Command::Begin {
        keys: ids.iter().map(|id| key(id)).collect(),
    }
}

fn complete() -> Outcome {
    Outcome::Complete(vec![Payload::new(*b"result")])
}

fn apply_all(commands: &[Command]) -> (Ledger, Vec<Applied>) {
    let mut ledger = Ledger::new();
    let mut applied = Vec::new();
    for (i, command) in commands.iter().enumerate() {
        applied.push(ledger.apply(Index(i as u64 + 1), command));
        ledger.verify();
    }
    (ledger, applied)
}

fn apply_last(commands: &[Command]) -> Applied {
    apply_all(commands).1.pop().unwrap()
}

/// Guards against a resubmission that runs again, at any stage.
#[test]
fn resubmission_is_a_duplicate_at_every_stage() {
    let submit = accept("1", 1, false, 0);
    let submit_other = accept("1", 2, false, 0);
    let closed = Stage::Closed(Arc::new(complete()));
    let steps = [
        (vec![], Stage::Accepted),
        (vec![begin(&["1"])], Stage::Begun),
        (vec![begin(&["1"]), close("1", complete())], closed.clone()),
        (vec![close("1", complete())], closed),
    ];
    let refused = Applied::Refused(Refused::OtherContent { key: key("1") });
    for (commands, stage) in steps {
        let before = [vec![submit.clone()], commands].concat();
        let resubmission = [before.clone(), vec![submit.clone()]].concat();
        assert_eq!(apply_last(&resubmission), Applied::Duplicate(stage));
        let conflict = [before, vec![submit_other.clone()]].concat();
        assert_eq!(apply_last(&conflict), refused);
    }
}

/// Guards against a duplicate that moves an accepted entry to begun without a `Begin`.
#[test]
fn duplicate_with_begun_does_not_begin() {
    let commands = [accept("1", 1, false, 0), accept("1", 1, true, 0)];
    let (ledger, applied) = apply_all(&commands);
    assert_eq!(applied[1], Applied::Duplicate(Stage::Accepted));
    assert_eq!(ledger.get(&key("1")).unwrap().stage, Stage::Accepted);
}

/// Guards against a second outcome after a caller may have received the first.
#[test]
fn first_close_wins() {
    let failed = Outcome::Failed(Failure::NoTarget);
    let submit = accept("1", 1, true, 0);
    let commands = [submit, close("1", complete()), close("1", failed)];
    let (ledger, applied) = apply_all(&commands);
    assert_eq!(applied[1], Applied::Closed);
    assert_eq!(applied[2], Applied::AlreadyClosed(Arc::new(complete())));
    let entry = ledger.get(&key("1")).unwrap();
    assert_eq!(entry.stage, Stage::Closed(Arc::new(complete())));
    assert_eq!(entry.submission, None);
}

/// Guards against beginning a closed entry, and against starting tasks twice because `Begin` was
/// proposed twice.
#[test]
fn begin_returns_only_newly_begun_keys() {
    let commands = [
        accept("1", 1, false, 0),
        accept("2", 1, false, 0),
        accept("3", 1, true, 0),
        close("2", complete()),
        begin(&["1", "1", "2", "3", "unknown"]),
        begin(&["1"]),
    ];
    let (ledger, applied) = apply_all(&commands);
    assert_eq!(applied[4], Applied::Begun(vec![key("1")]));
    assert_eq!(applied[5], Applied::Begun(vec![]));
    let open: Vec<_> = ledger.open().map(|(key, _)| key.clone()).collect();
    assert_eq!(open, [key("1"), key("3")]);
}

/// Guards against a close that creates an entry.
#[test]
fn close_of_an_unknown_key_is_refused() {
    let refused = Applied::Refused(Refused::Unknown { key: key("1") });
    assert_eq!(apply_last(&[close("1", complete())]), refused);
}

/// Guards against the expiry of open entries or of entries within their retention.
#[test]
fn expiry_removes_only_closed_entries_before_its_time() {
    let commands = [
        accept("open", 1, true, 5),
        accept("late", 1, true, 20),
        accept("early", 1, true, 9),
        accept("due", 1, true, 10),
        close("late", complete()),
        close("early", complete()),
        close("due", complete()),
        Command::Expire {
            before: WallTime(10),
        },
    ];
    let (ledger, _) = apply_all(&commands);
    let present = ["open", "late", "early", "due"].map(|id| ledger.get(&key(id)).is_some());
    assert_eq!(present, [true, true, false, true]);
    assert_eq!(ledger.counts().entries, 3);
    assert_eq!(ledger.counts().open, 1);
}

/// Guards against an expiry that blocks other commands for seconds, and against one that never
/// completes.
#[test]
fn expire_removes_at_most_one_batch() {
    let mut ledger = Ledger::new();
    let mut index = Index(0);
    let mut apply = |ledger: &mut Ledger, command: Command| {
        index = index.next();
        ledger.apply(index, &command)
    };
    for i in 0..EXPIRE_BATCH_ENTRIES as u64 + 1 {
        apply(&mut ledger, accept(&i.to_string(), 1, true, i));
        apply(&mut ledger, close(&i.to_string(), complete()));
    }
    let before = WallTime(u64::MAX);
    let mut remaining = Vec::new();
    while ledger.has_expired(before) {
        apply(&mut ledger, Command::Expire { before });
        remaining.push(ledger.counts().entries);
    }
    assert_eq!(remaining, [1, 0]);
}

/// Guards against counters that drift, which would block admission permanently.
#[test]
fn counts_are_zero_after_all_entries_expire() {
    let mut commands = Vec::new();
    for i in 0..200 {
        commands.push(accept(&i.to_string(), 1, true, i));
        commands.push(close(&i.to_string(), complete()));
    }
    commands.push(Command::Expire {
        before: WallTime(200),
    });
    let (ledger, _) = apply_all(&commands);
    assert_eq!(ledger.counts(), Default::default());
}

/// Guards against fencing that misses an earlier incarnation on which a task still runs.
#[test]
fn several_incarnations_of_a_target_are_registered_at_once() {
    let target = TargetName::new("t").unwrap();
    let register = |incarnation| Command::Register {
        target: target.clone(),
        incarnation: Incarnation(incarnation),
    };
    let deregister = Command::Deregister {
        target: target.clone(),
        incarnation: Incarnation(1),
    };
    let mut commands = vec![register(2), register(1), register(1)];
    let incarnations = |ledger: &Ledger| {
        ledger
            .registered_incarnations()
            .map(|(_, i)| i.0)
            .collect::<Vec<_>>()
    };
    assert_eq!(incarnations(&apply_all(&commands).0), [1, 2]);
    commands.extend([deregister.clone(), deregister]);
    assert_eq!(incarnations(&apply_all(&commands).0), [2]);
}

/// Guards against a log entry that is applied twice after a restart.
#[test]
#[should_panic(expected = "applied twice")]
fn repeated_index_panics() {
    let mut ledger = Ledger::new();
    ledger.apply(Index(3), &accept("1", 1, false, 0));
    ledger.apply(Index(3), &accept("2", 1, false, 0));
}

/// Guards against an older snapshot that reverts applied commands.
#[test]
#[should_panic(expected = "never goes back")]
fn restoring_older_state_panics() {
    let (mut ledger, _) = apply_all(&[accept("1", 1, false, 0)]);
    ledger.restore(Ledger::new().snapshot());
}
