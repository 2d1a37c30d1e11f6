//! The load generator without a deployment: schedules, computation of figures, plots.

use std::collections::BTreeMap;
use std::time::Duration;

use greengage_standin::Calls;
use greengagectl::load::deployment::add_metrics;
use greengagectl::load::figures::{compute, RunData, Traffic};
use greengagectl::load::fleet::StartRecord;
use greengagectl::load::generator::{Observations, Outcome, Submission};
use greengagectl::load::plot::{draw, Line, Panel};
use greengagectl::load::report;
use greengagectl::load::scenario::{
    Account, DurationClass, Plan, Scenario, SubmitMode, TargetSpec, WorkKind,
};
use greengagectl::load::schedule::{Action, Arrival, Schedule};

const SCENARIOS: [Scenario; 3] = [Scenario::Lampang, Scenario::Bigorna, Scenario::Half];
const MINUTE: Duration = Duration::from_secs(60);

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

/// Guards against a schedule that depends on anything other than its seed.
#[test]
fn schedule_is_reproducible() {
    for scenario in SCENARIOS {
        let plan = Plan::new(scenario);
        let schedule = |seed| Schedule::new(&plan, seed, MINUTE, 1.0);
        assert_eq!(schedule(7), schedule(7));
        assert_ne!(schedule(7).arrivals, schedule(8).arrivals);
    }
}

/// Guards against comparing the waits of different short tasks in the runs with and without long
/// tasks.
#[test]
fn without_long_keeps_other_kinds() {
    let plan = Plan::new(Scenario::Bigorna);
    let with = Schedule::new(&plan, 3, MINUTE, 1.0);
    let without = Schedule::new(&plan.without_long(), 3, MINUTE, 1.0);
    let is_long = |a: &&Arrival| plan.kinds[a.kind].duration_class == DurationClass::Long;
    let others: Vec<&Arrival> = with.arrivals.iter().filter(|a| !is_long(a)).collect();
    assert!(with.arrivals.iter().any(|a| is_long(&a)));
    assert_eq!(others, without.arrivals.iter().collect::<Vec<_>>());
}

/// Guards against arrival rates that miss the planned load, on which every figure depends.
#[test]
fn offered_work_is_the_planned_load() {
    for scenario in SCENARIOS {
        let plan = Plan::new(scenario);
        let length = Duration::from_secs(200);
        let schedule = Schedule::new(&plan, 1, length, 1.0);
        let tasks = schedule.arrivals.iter().flat_map(|a| &a.tasks);
        let offered = f64::from(tasks.sum::<u32>()) / 1000.0;
        let parts = 1000;
        let loads = (0..parts).map(|i| plan.load_at((f64::from(i) + 0.5) / f64::from(parts)));
        let mean = loads.sum::<f64>() / f64::from(parts);
        let planned = plan.capacity() * length.as_secs_f64() * mean;
        let ratio = offered / planned;
        assert!((0.95..1.05).contains(&ratio), "{scenario:?}: {ratio}");
    }
}

/// Guards against actions out of order, which would be carried out late, and against cancellations
/// that precede their submission.
#[test]
fn actions_are_in_time_order() {
    let schedule = Schedule::new(&Plan::new(Scenario::Lampang), 5, MINUTE, 1.0);
    assert!(schedule.actions.windows(2).all(|w| w[0].0 <= w[1].0));
    let position = |action| schedule.actions.iter().position(|(_, a)| *a == action);
    let cancels = schedule.actions.iter().filter_map(|(_, a)| match a {
        Action::Cancel(arrival) => Some(*arrival),
        Action::Submit(_) | Action::Leave => None,
    });
    let cancels: Vec<usize> = cancels.collect();
    assert!(cancels.len() > 10, "the mass cancellation is missing");
    for arrival in cancels {
        assert!(position(Action::Submit(arrival)) < position(Action::Cancel(arrival)));
    }
}

/// A plan with one repeatable kind, one kind with keys, and two accounts of weights 1 and 3.
fn small_plan() -> Plan {
    let kind = |name, mode, duration_class| WorkKind {
        name,
        mode,
        duration_class,
        load_share: 0.5,
        tasks: (1, 2),
        service_ms: (100, 100),
        deadline_ms: 1000,
        expected_ms: 100,
    };
    let account = |name, weight| Account { name, weight };
    let target = |speed| TargetSpec {
        speed,
        fails: false,
    };
    Plan {
        kinds: vec![
            kind("quick", SubmitMode::Repeatable, DurationClass::Short),
            kind("booked", SubmitMode::Job, DurationClass::Other),
        ],
        accounts: vec![account("one", 1), account("three", 3)],
        targets: vec![target(1.0), target(3.0)],
        slots: 2,
        load_curve: vec![(0.0, 1.0), (1.0, 1.0)],
        peaks: vec![(0.5, 1.0)],
        cancel_at: None,
        straggler_ratio: 0.0,
        leave_at: 0.5,
    }
}

fn arrival(due_ms: u64, kind: usize, account: usize, tasks: &[u32]) -> Arrival {
    Arrival {
        due_at: millis(due_ms),
        kind,
        account,
        entry: 0,
        zone: 0,
        tasks: tasks.to_vec(),
        to_cancel: false,
    }
}

fn submission(arrival: usize, response_ms: u64, outcome: Outcome) -> Submission {
    Submission {
        arrival,
        send_lag: millis(2),
        response_time: millis(response_ms),
        outcome,
    }
}

fn start_record(
    target: usize,
    at_ms: u64,
    arrival: usize,
    task: usize,
    accepted: bool,
) -> StartRecord {
    StartRecord {
        target,
        received_at: millis(at_ms),
        arrival,
        task,
        accepted,
    }
}

/// Guards against wrong definitions of figures, on a run whose figures were computed by hand.
#[test]
fn figures_match_hand_computed_run() {
    let plan = small_plan();
    let schedule = Schedule {
        length: millis(10_000),
        arrivals: vec![
            arrival(1000, 0, 0, &[100]),
            arrival(2000, 0, 0, &[100]),
            // The peak starts at 5000 ms.
            arrival(6000, 1, 0, &[100, 100]),
            arrival(6500, 1, 1, &[300, 300]),
            arrival(7000, 1, 1, &[100]),
            arrival(8000, 1, 1, &[100]),
        ],
        actions: Vec::new(),
    };
    let refused = Outcome::Refused {
        kind: "late".to_string(),
        not_run: true,
    };
    let observations = Observations {
        submissions: vec![
            submission(0, 102, Outcome::Complete),
            submission(1, 204, Outcome::Complete),
            submission(2, 500, Outcome::Complete),
            submission(3, 900, Outcome::Complete),
            submission(4, 1500, Outcome::Complete),
            // Its task ran, as the starts below show.
            submission(5, 10, refused),
        ],
        calls: Vec::new(),
        left_at: Some(millis(5000)),
    };
    let starts = [
        start_record(0, 1010, 0, 0, true),
        start_record(0, 2030, 1, 0, false),
        start_record(0, 2040, 1, 0, true),
        start_record(1, 4900, 2, 0, true),
        start_record(1, 6100, 2, 1, true),
        start_record(1, 7500, 3, 0, true),
        // Second start of a task with a key.
        start_record(0, 7600, 3, 0, true),
        start_record(0, 7600, 3, 1, true),
        start_record(0, 7700, 4, 0, true),
        start_record(0, 8100, 5, 0, true),
    ];
    let peers = [("forward", 3), ("reply", 3), ("status", 100)];
    let peers = peers.map(|(kind, n)| (kind.to_string(), n));
    let traffic = Traffic {
        peers: BTreeMap::from(peers),
        target_calls: 12,
    };
    let figures = compute(&RunData {
        plan: &plan,
        schedule: &schedule,
        observations: &observations,
        starts: &starts,
        calls: Calls {
            starts: 10,
            polls: 1,
            stops: 1,
            ..Calls::default()
        },
        traffic: &traffic,
        forwards: 3,
        round_trip: millis(1),
    });

    let row = |kind: Option<&str>, account: Option<&str>| {
        let found = figures
            .rows
            .iter()
            .find(|row| row.kind.as_deref() == kind && row.account.as_deref() == account);
        found.expect("the row exists").clone()
    };
    // The mean speed is 2 and the round trip 1 ms, so the ideal for a task of 100 ms is 51 ms.
    let quick = row(Some("quick"), None);
    assert_eq!((quick.offered, quick.in_time, quick.late), (2, 2, 0));
    assert!((quick.over_ideal.p50 - 2.0).abs() < 0.01);
    assert!((quick.over_ideal.p99 - 4.0).abs() < 0.01);
    assert!((quick.response_ms.max - 204.0).abs() < 0.5);
    let booked = row(Some("booked"), Some("three"));
    assert_eq!((booked.offered, booked.in_time, booked.late), (3, 1, 1));
    assert_eq!(
        booked.others,
        BTreeMap::from([("refused: late".to_string(), 1)])
    );
    assert_eq!(row(None, None).offered, 6);

    let crest = figures.crest.as_ref().expect("the plan has a peak");
    assert_eq!((crest.offered, crest.in_time), (4, 2));
    assert!((crest.share - 0.5).abs() < 1e-9);
    assert!((crest.work_share - 0.8).abs() < 1e-9);
    // 0.2 s for weight 1 and 0.6 s for weight 3 are equal shares.
    assert!((crest.fairness - 1.0).abs() < 1e-9);
    // 0.2 s and 1.1 s were started, including one task of 0.3 s twice.
    let (one, three) = (0.2, 1.1 / 3.0);
    let jain = (one + three) * (one + three) / (2.0 * (one * one + three * three));
    assert!((crest.started_fairness - jain).abs() < 1e-9);

    // Unused are 100 ms of arrival 4 (late) and 100 ms of arrival 5 (refused), out of 1.5 s.
    assert!((figures.unused_work - 0.2 / 1.5).abs() < 1e-9);

    assert_eq!(figures.short_wait_ms.count, 2);
    assert!((figures.short_wait_ms.p50 - 10.0).abs() < 0.1);
    assert!((figures.short_wait_ms.max - 40.0).abs() < 0.1);

    let messages = &figures.messages;
    assert_eq!(messages.tasks, 8);
    assert_eq!((messages.least, messages.actual), (2 * 8 + 2 * 3, 24 + 6));
    assert!((messages.excess_percent - 100.0 * 8.0 / 22.0).abs() < 1e-9);

    let leaving = &figures.leaving;
    assert_eq!((leaving.starts, leaving.late_starts), (2, 1));
    assert!((leaving.last_ms - 2500.0).abs() < 1e-9);

    assert_eq!((figures.extra_starts, figures.repeats), (1, 0));
    assert_eq!((figures.false_not_run, figures.wrong_results), (1, 0));
}

/// Guards against labels that are read as values, and against counters of one VM that overwrite
/// those of another.
#[test]
fn metrics_of_all_vms_are_summed() {
    let text = "# TYPE greengage_peer_messages_total counter\n\
                greengage_peer_messages_total{kind=\"forward\"} 5\n\
                greengage_peer_messages_total{kind=\"reply\"} 2\n\
                greengage_target_calls_total{seen=\"state\"} 40\n\
                greengage_target_calls_total{seen=\"broken\"} 1\n\
                greengage_events_total 1000\n";
    let mut traffic = Traffic::default();
    add_metrics(&mut traffic, text);
    add_metrics(&mut traffic, text);
    assert_eq!(traffic.target_calls, 82);
    let peers = [("forward", 10), ("reply", 4)];
    let peers = BTreeMap::from(peers.map(|(kind, n)| (kind.to_string(), n)));
    assert_eq!(traffic.peers, peers);
    let since = traffic.since(&Traffic {
        peers: BTreeMap::from([("forward".to_string(), 4)]),
        target_calls: 80,
    });
    assert_eq!((since.peers["forward"], since.peers["reply"]), (6, 4));
    assert_eq!(since.target_calls, 2);
}

/// Checks that tags are closed in order, attributes are quoted and text is escaped; returns the
/// number of elements.
fn check_xml(text: &str) -> usize {
    let (mut open, mut count, mut rest) = (Vec::new(), 0, text);
    while let Some(start) = rest.find('<') {
        assert!(!rest[..start].contains('>'), "stray > before {start}");
        for (at, _) in rest[..start].match_indices('&') {
            let entity = rest[at..start].split_once(';').expect("an entity ends").0;
            assert!(["&amp", "&lt", "&gt"].contains(&entity), "{entity}");
        }
        let end = start + rest[start..].find('>').expect("a tag ends");
        let tag = &rest[start + 1..end];
        assert!(!tag.contains('<'), "{tag}");
        assert_eq!(tag.matches('"').count() % 2, 0, "{tag}");
        assert!(!tag.contains("NaN") && !tag.contains("inf"), "{tag}");
        if let Some(name) = tag.strip_prefix('/') {
            assert_eq!(open.pop(), Some(name), "closed out of order");
        } else {
            count += 1;
            let name = tag.split([' ', '/']).next().expect("a tag has a name");
            if !tag.ends_with('/') {
                open.push(name);
            }
        }
        rest = &rest[end + 1..];
        assert!(!open.is_empty() || rest.trim().is_empty(), "text after end");
    }
    assert!(open.is_empty(), "not closed: {open:?}");
    count
}

/// Guards against plots that viewers reject: unescaped names, infinite axes, empty lines.
#[test]
fn plots_are_well_formed() {
    let line = |name: &str, points: &[(f64, f64)]| Line {
        name: name.to_string(),
        colour: 0,
        dashed: false,
        points: points.to_vec(),
    };
    let panel = |log_scale, lines| Panel {
        title: "a < b & c".to_string(),
        log_scale,
        lines,
    };
    let points = [(0.0, 0.0), (1.0, 3.5), (2.0, 1e6)];
    for log_scale in [false, true] {
        let lines = vec![line("x > y", &points), line("empty", &[])];
        let svg = draw(
            "title & more",
            2.0,
            &[panel(log_scale, lines), panel(log_scale, vec![])],
        );
        assert!(check_xml(&svg) > 20);
    }
    check_xml(&draw("nothing", 0.0, &[]));
}

/// Guards against a failure to plot a run without answers, which would lose the whole report.
#[test]
fn plot_without_answers_is_well_formed() {
    let plan = small_plan();
    let schedule = Schedule::new(&plan, 1, millis(3000), 1.0);
    let unanswered = |arrival| submission(arrival, 0, Outcome::NoAnswer);
    let mut observations = Observations::default();
    check_xml(&report::render_plot(
        "empty",
        &plan,
        &schedule,
        &observations,
    ));
    observations.submissions = (0..schedule.arrivals.len()).map(unanswered).collect();
    check_xml(&report::render_plot(
        "no answers",
        &plan,
        &schedule,
        &observations,
    ));
}
