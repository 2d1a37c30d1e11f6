//! Single-node tests with hand-written events: durability order, and requests to be ignored.

use std::mem::size_of_val;

use greengage_agreement::{
    AppendReply, AppendRequest, Change, ChangeError, Effect, Entry, EntryKind, Event, HardState,
    MemberRole, Message, Raft, RefusalReason, Role, SaveSeq, Setup, Snapshot, Ticket, Timing,
    VoteReply, VoteRequest, DEFAULT_BATCH_ENTRIES,
};
use greengage_core::{Index, Term, Time};

use crate::support::{config, id, Command, Msg, State, THREE_VOTERS};

type Effects = Vec<Effect<Command, State>>;

/// Node a of three voters in term 2, with one entry of term 1 and one of term 2.
fn node() -> Raft<Command, State> {
    Raft::new(setup())
}

fn setup() -> Setup<Command, State> {
    let entry = |n| Entry {
        term: Term(n),
        index: Index(n),
        kind: EntryKind::Command(n),
    };
    Setup {
        node: id("a"),
        config: config(&THREE_VOTERS),
        hard_state: HardState {
            term: Term(2),
            vote: None,
        },
        snapshot: None,
        entries: vec![entry(1), entry(2)],
        timing: Timing {
            pre_vote: false,
            ..Timing::default()
        },
        batch_entries: DEFAULT_BATCH_ENTRIES,
        command_bytes: size_of_val,
        seed: 1,
        now: Time(0),
    }
}

fn receive(raft: &mut Raft<Command, State>, from: &str, message: Msg) -> Effects {
    let from = id(from);
    raft.step(Time(1000), Event::Receive { from, message })
}

fn sent(effects: &Effects) -> Vec<&Msg> {
    let sent = effects.iter().filter_map(|e| match e {
        Effect::Send { message, .. } => Some(message),
        _ => None,
    });
    sent.collect()
}

/// A vote request from a node whose last entry has index `last` and term 2.
fn vote_request(term: u64, last: u64, pre_vote: bool, transfer: bool) -> Msg {
    Message::VoteRequest(VoteRequest {
        term: Term(term),
        last_index: Index(last),
        last_term: Term(2),
        pre_vote,
        transfer,
    })
}

/// An append request with entries after index `prev.0`, whose term is `prev.1`.
fn append_request(term: u64, prev: (u64, u64), entries: Vec<Entry<Command>>) -> Msg {
    Message::AppendRequest(AppendRequest {
        term: Term(term),
        prev_index: Index(prev.0),
        prev_term: Term(prev.1),
        entries,
        commit: Index(0),
        round: 1,
    })
}

fn append_success(index: u64, round: u64) -> Msg {
    Message::AppendReply(AppendReply {
        term: Term(3),
        success: true,
        index: Index(index),
        round,
    })
}

/// An entry at index 3.
fn noop(term: u64) -> Entry<Command> {
    Entry {
        term: Term(term),
        index: Index(3),
        kind: EntryKind::Noop,
    }
}

/// Node a as leader of term 3; its first entry, at index 3, isn't durable yet.
fn leader() -> Raft<Command, State> {
    let mut raft = node();
    let wake = raft.next_wake();
    assert!(sent(&raft.step(wake, Event::Tick)).is_empty());
    let effects = raft.step(wake, Event::Saved(SaveSeq(1)));
    assert_eq!(
        sent(&effects).len(),
        2,
        "vote requests are sent once the own vote is durable"
    );
    let reply = VoteReply {
        term: Term(3),
        granted: true,
        pre_vote: false,
    };
    receive(&mut raft, "b", Message::VoteReply(reply));
    assert_eq!(raft.status().role, Role::Leader);
    raft
}

/// Guards against a node that crashes after a vote and votes again in the same term.
#[test]
fn vote_is_sent_once_durable() {
    let mut raft = node();
    let effects = receive(&mut raft, "b", vote_request(3, 9, false, false));
    assert!(
        matches!(&effects[0], Effect::Save(s) if s.hard_state.as_ref().unwrap().vote == Some(id("b")))
    );
    assert!(sent(&effects).is_empty());
    let effects = raft.step(Time(1000), Event::Saved(SaveSeq(1)));
    assert!(matches!(sent(&effects)[..], [Message::VoteReply(r)] if r.granted));
    let effects = receive(&mut raft, "c", vote_request(3, 9, false, false));
    assert!(matches!(sent(&effects)[..], [Message::VoteReply(r)] if !r.granted));
}

/// Guards against a candidate that waits for another timeout if only its term was too low.
#[test]
fn pre_vote_is_retried_at_the_learned_term() {
    let mut raft = Raft::new(Setup {
        timing: Timing::default(),
        ..setup()
    });
    let wake = raft.next_wake();
    raft.step(wake, Event::Tick);
    let reply = VoteReply {
        term: Term(7),
        granted: false,
        pre_vote: true,
    };
    assert!(sent(&receive(&mut raft, "b", Message::VoteReply(reply))).is_empty());
    let retry = raft.step(wake, Event::Saved(SaveSeq(1)));
    assert!(
        matches!(sent(&retry)[..], [Message::VoteRequest(v), _] if v.pre_vote && v.term == Term(8))
    );
}

/// Guards against the acknowledgement of an entry that a crash can still lose.
#[test]
fn follower_acknowledges_entries_once_durable() {
    let mut raft = node();
    receive(&mut raft, "b", append_request(2, (2, 2), Vec::new()));
    let effects = receive(&mut raft, "b", append_request(2, (2, 2), vec![noop(2)]));
    assert!(sent(&effects).is_empty());
    let effects = receive(&mut raft, "b", append_request(2, (2, 2), Vec::new()));
    assert!(matches!(sent(&effects)[..], [Message::AppendReply(r)] if r.index == Index(2)));
    let effects = raft.step(Time(1000), Event::Saved(SaveSeq(1)));
    assert!(matches!(sent(&effects)[..], [Message::AppendReply(r)] if r.index == Index(3)));
}

/// Guards against counting the save of an entry as that of the entry that has replaced it.
#[test]
fn replacement_entry_needs_its_own_save() {
    for saved_first in [true, false] {
        let mut raft = node();
        receive(&mut raft, "b", append_request(2, (2, 2), vec![noop(2)]));
        receive(&mut raft, "c", append_request(3, (2, 2), Vec::new()));
        if saved_first {
            raft.step(Time(1000), Event::Saved(SaveSeq(2)));
        }
        receive(&mut raft, "c", append_request(3, (2, 2), vec![noop(3)]));
        raft.step(Time(1000), Event::Saved(SaveSeq(2)));
        let effects = receive(&mut raft, "c", append_request(3, (3, 3), Vec::new()));
        assert!(matches!(sent(&effects)[..], [Message::AppendReply(r)] if r.index == Index(2)));
    }
}

/// Guards against the acknowledgement of a snapshot that a crash can still lose, and against a
/// snapshot that reverts committed entries.
#[test]
fn snapshot_is_acknowledged_once_durable() {
    let mut raft = node();
    let install = |index| Message::InstallSnapshot {
        term: Term(2),
        snapshot: Snapshot {
            term: Term(2),
            index: Index(index),
            config: config(&THREE_VOTERS),
            state: vec![index],
        },
    };
    let effects = receive(&mut raft, "b", install(7));
    assert!(sent(&effects).is_empty());
    assert!(effects
        .iter()
        .any(|e| matches!(e, Effect::Restore(s) if s.state == [7])));
    let effects = receive(&mut raft, "b", install(6));
    assert!(!effects.iter().any(|e| matches!(e, Effect::Restore(_))));
    let effects = raft.step(Time(1000), Event::Saved(SaveSeq(1)));
    assert!(matches!(
        sent(&effects)[..],
        [Message::InstallSnapshotReply(_)]
    ));
    assert_eq!(
        (raft.applied_index(), raft.entries_since_snapshot()),
        (Index(7), 0)
    );
}

/// Guards against a witness that keeps waiting for a voter that lacks entries and can't win.
#[test]
fn witness_campaigns_early_after_rejecting_an_older_log() {
    for (last, early) in [(1, true), (2, false)] {
        let mut raft = Raft::new(Setup {
            config: config(&[
                ("a", MemberRole::Witness),
                ("b", MemberRole::Voter),
                ("c", MemberRole::Voter),
            ]),
            ..setup()
        });
        assert!(raft.next_wake() >= Time::from_millis(600));
        receive(&mut raft, "b", vote_request(3, last, true, false));
        assert_eq!(raft.next_wake() <= Time::from_millis(151), early);
    }
}

/// Guards against repeatedly split votes because a voter that lacks entries keeps ending the
/// campaigns of voters that have them (seed 14004389 of `survives_random_faults`).
#[test]
fn voter_campaigns_early_after_rejecting_an_older_log() {
    for (last, pre_vote, early) in [(1, false, true), (2, false, false), (1, true, false)] {
        let mut raft = node();
        let before = raft.next_wake();
        assert!(before >= Time::from_millis(300));
        receive(&mut raft, "b", vote_request(3, last, pre_vote, false));
        assert_eq!(
            raft.next_wake() <= Time::from_millis(151),
            early,
            "{last} {pre_vote}"
        );
    }
}

/// Guards against a voter that votes for a witness although it has the same log.
#[test]
fn voter_rejects_a_witness_with_an_equal_log() {
    for (last, expected) in [(2, false), (3, true)] {
        let mut raft = Raft::new(Setup {
            config: config(&[
                ("a", MemberRole::Voter),
                ("b", MemberRole::Voter),
                ("c", MemberRole::Witness),
            ]),
            ..setup()
        });
        let effects = receive(&mut raft, "c", vote_request(3, last, true, false));
        assert!(matches!(sent(&effects)[..], [Message::VoteReply(r)] if r.granted == expected));
    }
}

/// Guards against committing an entry of an earlier term by counting replicas (figure 8 of the
/// Raft paper), and against a leader that counts itself before the entry is durable.
#[test]
fn leader_commits_only_durable_entries_of_its_term() {
    let mut raft = leader();
    receive(&mut raft, "b", append_success(2, 0));
    receive(&mut raft, "c", append_success(2, 0));
    assert_eq!(raft.status().commit_index, Index(0));
    receive(&mut raft, "b", append_success(3, 0));
    assert_eq!(
        raft.status().commit_index,
        Index(0),
        "the entry isn't durable on the leader"
    );
    raft.step(Time(1000), Event::Saved(SaveSeq(2)));
    assert_eq!(raft.status().commit_index, Index(3));
}

/// Guards against reads and membership changes before the leader knows the commit index.
#[test]
fn reads_and_changes_wait_for_an_entry_of_the_term() {
    let mut raft = leader();
    let ticket = Ticket(1);
    let change = Change::AddLearner(id("d"));
    let effects = raft.step(Time(1000), Event::Change { ticket, change });
    let reason = RefusalReason::Change(ChangeError::Pending);
    assert_eq!(effects, [Effect::Refused { ticket, reason }]);
    raft.step(Time(1000), Event::Read(ticket));
    let ready = |effects: &Effects| {
        effects
            .iter()
            .any(|e| matches!(e, Effect::ReadReady { .. }))
    };
    for index in [2, 3] {
        let effects = receive(&mut raft, "b", append_success(index, 1));
        assert!(!ready(&effects));
    }
    let effects = raft.step(Time(1000), Event::Saved(SaveSeq(2)));
    assert!(ready(&effects));
}

/// Guards against counting a member whose addition was truncated from the log.
#[test]
fn truncated_config_change_is_reverted() {
    let mut raft = leader();
    raft.step(Time(1000), Event::Saved(SaveSeq(2)));
    receive(&mut raft, "b", append_success(3, 0));
    let change = Change::AddLearner(id("d"));
    let ticket = Ticket(1);
    raft.step(Time(1000), Event::Change { ticket, change });
    assert_ne!(raft.status().config, config(&THREE_VOTERS));
    let replaced = Entry {
        index: Index(4),
        ..noop(4)
    };
    receive(&mut raft, "b", append_request(4, (3, 3), vec![replaced]));
    assert_eq!(raft.status().config, config(&THREE_VOTERS));
}

/// Guards against candidates that raise the term under a working leader, and against a removed
/// node that raises it at any time.
#[test]
fn disruptive_vote_requests_are_ignored() {
    let mut raft = node();
    assert!(receive(&mut raft, "z", vote_request(99, 2, false, true)).is_empty());
    receive(&mut raft, "b", append_request(2, (2, 2), Vec::new()));
    assert!(receive(&mut raft, "c", vote_request(3, 9, false, false)).is_empty());
    assert_eq!(raft.status().term, Term(2));
    receive(&mut raft, "c", vote_request(3, 9, false, true));
    assert_eq!(
        raft.status().term,
        Term(3),
        "a candidate that campaigns for a transfer is accepted"
    );
}

/// Guards against following a deposed leader, or leaving it unaware of the current term.
#[test]
fn stale_leader_is_rejected_with_the_current_term() {
    let mut raft = node();
    let effects = receive(&mut raft, "b", append_request(1, (2, 2), Vec::new()));
    assert!(
        matches!(sent(&effects)[..], [Message::AppendReply(r)] if !r.success && r.term == Term(2))
    );
    assert_eq!(raft.status().leader, None);
}
