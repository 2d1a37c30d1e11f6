//! The figures of a run, as `docs/measures.md` defines them.

use std::collections::BTreeMap;
use std::time::Duration;

use greengage_standin::Calls;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::drive::{ideal, End, Outcome, Seen};
use super::fleet::Started;
use super::scenario::{Form, Length, Plan};
use super::schedule::{Arrival, Schedule};

/// Time that the system has to stop starting tasks on a target that is leaving.
const LEAVING: Duration = Duration::from_secs(2);
/// Longest time that a histogram holds, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// Messages that the VMs counted during a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Traffic {
    /// Messages between VMs, by kind.
    pub peers: BTreeMap<String, u64>,
    /// Calls to targets.
    pub target_calls: u64,
}

impl Traffic {
    /// What was counted since an earlier count.
    pub fn since(&self, earlier: &Traffic) -> Traffic {
        let before = |kind: &str| earlier.peers.get(kind).copied().unwrap_or(0);
        let peers = self.peers.iter();
        Traffic {
            peers: peers
                .map(|(kind, n)| (kind.clone(), n.saturating_sub(before(kind))))
                .collect(),
            target_calls: self.target_calls.saturating_sub(earlier.target_calls),
        }
    }

    fn of(&self, kinds: &[&str]) -> u64 {
        let count = |kind: &&str| self.peers.get(*kind).copied().unwrap_or(0);
        kinds.iter().map(count).sum()
    }
}

/// All that was observed in a run.
pub struct Run<'a> {
    /// What was offered, and to which targets.
    pub plan: &'a Plan,
    /// When.
    pub schedule: &'a Schedule,
    /// What the callers saw.
    pub seen: &'a Seen,
    /// Starts that reached targets.
    pub starts: &'a [Started],
    /// Calls that reached targets.
    pub calls: Calls,
    /// What the VMs counted.
    pub traffic: &'a Traffic,
    /// Callers' calls that entered at a VM that doesn't lead the home zone.
    pub forwards: u64,
    /// One round trip between a caller and a VM.
    pub round_trip: Duration,
}

/// A distribution; all zero without values.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Spread {
    /// Values.
    pub count: u64,
    /// Median.
    pub p50: f64,
    /// 90th percentile.
    pub p90: f64,
    /// 99th percentile.
    pub p99: f64,
    /// Largest value.
    pub max: f64,
}

/// The submissions of one kind of work, or of one account.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Row {
    /// The kind of work; `null` for all.
    pub kind: Option<String>,
    /// The client account; `null` for all.
    pub account: Option<String>,
    /// Submissions, without those that the wave cancels.
    pub offered: u64,
    /// Complete within the deadline.
    pub in_time: u64,
    /// Complete after the deadline.
    pub late: u64,
    /// Refused, failed or not ended, by reason.
    pub others: BTreeMap<String, u64>,
    /// Response time of complete answers in milliseconds.
    pub response_ms: Spread,
    /// Response time of complete answers over the ideal.
    pub over_ideal: Spread,
}

/// An account at the crest.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Served {
    /// The client account.
    pub account: String,
    /// Its weight.
    pub weight: u32,
    /// Seconds of work that it offered.
    pub offered_s: f64,
    /// Seconds of work that were started.
    pub started_s: f64,
    /// Seconds of work that were answered within the deadline.
    pub answered_s: f64,
}

/// Submissions that were due during the crest.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Crest {
    /// Submissions.
    pub offered: u64,
    /// Complete within the deadline.
    pub in_time: u64,
    /// `in_time` over `offered`.
    pub share: f64,
    /// Answered over offered seconds of work.
    pub work_share: f64,
    /// Jain's index of answered work over weight: 1 is fair.
    pub fairness: f64,
    /// The same of started work.
    pub started_fairness: f64,
    /// The accounts.
    pub accounts: Vec<Served>,
}

/// Messages for the run's tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Messages {
    /// Tasks that were started.
    pub tasks: u64,
    /// Callers' calls that entered at a VM that doesn't lead the home zone.
    pub forwards: u64,
    /// Start and answer of each task, forward and reply of each such call.
    pub least: u64,
    /// Calls to targets and their answers, forwards, replies and redirects.
    pub actual: u64,
    /// `actual` beyond `least` in percent.
    pub excess_percent: f64,
    /// Starts that targets received.
    pub starts: u64,
    /// Other calls that targets received.
    pub other_calls: u64,
    /// Calls to targets as the VMs counted them.
    pub counted_calls: u64,
    /// Messages between VMs, by kind.
    pub peers: BTreeMap<String, u64>,
}

/// Starts on the target that left.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Leaving {
    /// Starts that arrived after it had announced that it is leaving.
    pub starts: u64,
    /// Those that arrived more than 2 s after it.
    pub late_starts: u64,
    /// The last one, in milliseconds after the announcement.
    pub last_ms: f64,
}

/// The figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// By kind of work, by account, and by both.
    pub rows: Vec<Row>,
    /// The crest, for scenarios that have one.
    pub crest: Option<Crest>,
    /// Part of the started work that belongs to submissions without an answer in time. A task that
    /// was stopped counts with its whole run time.
    pub unused_work: f64,
    /// From the time when a short task's request was due to its start at a target, in milliseconds.
    pub short_wait_ms: Spread,
    /// Messages.
    pub messages: Messages,
    /// Starts on the target that left.
    pub leaving: Leaving,
    /// Starts of a task with a key beyond its first one.
    pub extra_starts: u64,
    /// Starts of a task without a key beyond its first one: retries.
    pub repeats: u64,
    /// Answers that say "not run" of work that ran.
    pub false_not_run: u64,
    /// Complete answers with results of other tasks.
    pub wrong_results: u64,
    /// Submissions of the wave of cancellations, by their end.
    pub cancelled: BTreeMap<String, u64>,
    /// How late submissions were sent, in milliseconds.
    pub send_lag_ms: Spread,
}

/// Computes the figures of a run.
pub fn figures(run: &Run<'_>) -> Figures {
    let ran = ran(run.starts);
    let count = |arrival: usize, task: usize| ran.get(&(arrival, task)).copied().unwrap_or(0);
    let form = |arrival: usize| run.plan.kinds[run.schedule.arrivals[arrival].kind].form;
    let further = |keyed: bool| {
        ran.iter()
            .filter(|((arrival, _), _)| (form(*arrival) != Form::Repeatable) == keyed)
            .map(|(_, starts)| starts - 1)
            .sum()
    };
    let says_not_run = |end: &End| match end {
        End::Failed { not_run, .. } | End::Refused { not_run, .. } => *not_run,
        End::Complete | End::Wrong | End::Pending | End::NoAnswer => false,
    };
    let wrong_not_run = |outcome: &&Outcome| {
        let tasks = 0..run.schedule.arrivals[outcome.arrival].tasks.len();
        says_not_run(&outcome.end) && tasks.into_iter().any(|t| count(outcome.arrival, t) > 0)
    };
    let outcomes = &run.seen.outcomes;
    let mut cancelled = BTreeMap::new();
    for (outcome, _) in all(run).filter(|(_, arrival)| arrival.cancelled) {
        *cancelled
            .entry(reason(outcome, run.plan, run.schedule))
            .or_default() += 1;
    }
    Figures {
        rows: rows(run),
        crest: crest(run, &ran),
        unused_work: unused_work(run, &ran),
        short_wait_ms: short_wait(run),
        messages: messages(run, ran.len() as u64),
        leaving: leaving(run),
        extra_starts: further(true),
        repeats: further(false),
        false_not_run: outcomes.iter().filter(wrong_not_run).count() as u64,
        wrong_results: outcomes.iter().filter(|o| o.end == End::Wrong).count() as u64,
        cancelled,
        send_lag_ms: spread(outcomes.iter().map(|o| o.lag.as_secs_f64() * 1000.0)),
    }
}

/// The distribution of values, to three digits. The histogram holds thousandths.
pub fn spread(values: impl Iterator<Item = f64>) -> Spread {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, LONGEST_US, 3).expect("the bounds are valid");
    for value in values {
        histogram.saturating_record((value * 1000.0) as u64);
    }
    let at = |quantile: f64| match histogram.len() {
        0 => 0.0,
        _ => histogram.value_at_quantile(quantile) as f64 / 1000.0,
    };
    Spread {
        count: histogram.len(),
        p50: at(0.5),
        p90: at(0.9),
        p99: at(0.99),
        max: histogram.max() as f64 / 1000.0,
    }
}

/// How often each task was run, by arrival and task.
fn ran(starts: &[Started]) -> BTreeMap<(usize, usize), u64> {
    let mut ran = BTreeMap::new();
    for start in starts.iter().filter(|start| start.run) {
        *ran.entry((start.arrival, start.task)).or_default() += 1;
    }
    ran
}

fn all<'a>(run: &'a Run<'_>) -> impl Iterator<Item = (&'a Outcome, &'a Arrival)> {
    let arrivals = &run.schedule.arrivals;
    let outcomes = run.seen.outcomes.iter();
    outcomes.map(|outcome| (outcome, &arrivals[outcome.arrival]))
}

/// Whether an outcome is a complete answer within the deadline.
pub fn in_time(outcome: &Outcome, plan: &Plan, arrival: &Arrival) -> bool {
    let deadline = Duration::from_millis(plan.kinds[arrival.kind].deadline_ms);
    outcome.end == End::Complete && outcome.response <= deadline
}

/// How a submission ended, as a word.
fn reason(outcome: &Outcome, plan: &Plan, schedule: &Schedule) -> String {
    let arrival = &schedule.arrivals[outcome.arrival];
    match &outcome.end {
        End::Complete if in_time(outcome, plan, arrival) => "complete".to_string(),
        End::Complete => "late".to_string(),
        End::Wrong => "wrong".to_string(),
        End::Failed { reason, .. } => format!("failed: {reason}"),
        End::Refused { kind, .. } => format!("refused: {kind}"),
        End::Pending => "pending".to_string(),
        End::NoAnswer => "no answer".to_string(),
    }
}

fn rows(run: &Run<'_>) -> Vec<Row> {
    let kinds = 0..run.plan.kinds.len();
    let accounts = 0..run.plan.accounts.len();
    let mut rows = vec![row(run, None, None)];
    rows.extend(kinds.clone().map(|k| row(run, Some(k), None)));
    rows.extend(accounts.clone().map(|a| row(run, None, Some(a))));
    for kind in kinds {
        rows.extend(accounts.clone().map(|a| row(run, Some(kind), Some(a))));
    }
    rows.retain(|row| row.offered > 0);
    rows
}

fn row(run: &Run<'_>, kind: Option<usize>, account: Option<usize>) -> Row {
    let wanted = |arrival: &Arrival| {
        !arrival.cancelled
            && kind.is_none_or(|k| arrival.kind == k)
            && account.is_none_or(|a| arrival.account == a)
    };
    let (mut offered, mut in_time, mut late) = (0, 0, 0);
    let mut others = BTreeMap::new();
    let (mut responses, mut ratios) = (Vec::new(), Vec::new());
    for (outcome, arrival) in all(run).filter(|(_, arrival)| wanted(arrival)) {
        offered += 1;
        let word = reason(outcome, run.plan, run.schedule);
        if outcome.end == End::Complete {
            let seconds = outcome.response.as_secs_f64();
            responses.push(seconds * 1000.0);
            ratios.push(seconds / ideal(run.plan, arrival, run.round_trip));
        }
        match word.as_str() {
            "complete" => in_time += 1,
            "late" => late += 1,
            _ => *others.entry(word).or_default() += 1,
        }
    }
    Row {
        kind: kind.map(|k| run.plan.kinds[k].name.to_string()),
        account: account.map(|a| run.plan.accounts[a].name.to_string()),
        offered,
        in_time,
        late,
        others,
        response_ms: spread(responses.into_iter()),
        over_ideal: spread(ratios.into_iter()),
    }
}

fn crest(run: &Run<'_>, ran: &BTreeMap<(usize, usize), u64>) -> Option<Crest> {
    if run.plan.crests.is_empty() {
        return None;
    }
    let length = run.schedule.length.as_secs_f64();
    let mut crest = Crest::default();
    let served = |account: &super::scenario::Account| Served {
        account: account.name.to_string(),
        weight: account.weight,
        ..Served::default()
    };
    crest.accounts = run.plan.accounts.iter().map(served).collect();
    for (outcome, arrival) in all(run) {
        let at = arrival.at.as_secs_f64() / length;
        if arrival.cancelled || !run.plan.in_crest(at) {
            continue;
        }
        let work = f64::from(arrival.tasks.iter().sum::<u32>()) / 1000.0;
        let account = &mut crest.accounts[arrival.account];
        crest.offered += 1;
        account.offered_s += work;
        for (task, millis) in arrival.tasks.iter().enumerate() {
            let starts = ran.get(&(outcome.arrival, task)).copied().unwrap_or(0);
            account.started_s += f64::from(*millis) / 1000.0 * starts as f64;
        }
        if in_time(outcome, run.plan, arrival) {
            crest.in_time += 1;
            account.answered_s += work;
        }
    }
    let accounts = &crest.accounts;
    let sum = |of: fn(&Served) -> f64| accounts.iter().map(of).sum::<f64>();
    crest.share = ratio(crest.in_time as f64, crest.offered as f64);
    crest.work_share = ratio(sum(|a| a.answered_s), sum(|a| a.offered_s));
    crest.fairness = jain(accounts, |a| a.answered_s);
    crest.started_fairness = jain(accounts, |a| a.started_s);
    Some(crest)
}

/// Jain's index of a figure over the weights: 1 if each account has its share, and the part of the
/// accounts that share equally if the others have nothing.
fn jain(accounts: &[Served], of: fn(&Served) -> f64) -> f64 {
    let shares = accounts.iter().map(|a| of(a) / f64::from(a.weight));
    let sum: f64 = shares.clone().sum();
    let squares: f64 = shares.map(|share| share * share).sum();
    ratio(sum * sum, accounts.len() as f64 * squares)
}

fn ratio(part: f64, whole: f64) -> f64 {
    match whole == 0.0 {
        true => 0.0,
        false => part / whole,
    }
}

fn unused_work(run: &Run<'_>, ran: &BTreeMap<(usize, usize), u64>) -> f64 {
    let mut used = vec![false; run.schedule.arrivals.len()];
    for (outcome, arrival) in all(run) {
        used[outcome.arrival] = in_time(outcome, run.plan, arrival);
    }
    let (mut unused, mut started) = (0.0, 0.0);
    for ((arrival, task), starts) in ran {
        let work = f64::from(run.schedule.arrivals[*arrival].tasks[*task]) * *starts as f64;
        started += work;
        if !used[*arrival] {
            unused += work;
        }
    }
    ratio(unused, started)
}

fn short_wait(run: &Run<'_>) -> Spread {
    // First starts by arrival, in a map because starts are in the order of targets.
    let mut first: BTreeMap<usize, Duration> = BTreeMap::new();
    for start in run.starts.iter().filter(|start| start.run) {
        let at = first.entry(start.arrival).or_insert(start.at);
        *at = start.at.min(*at);
    }
    let arrivals = &run.schedule.arrivals;
    let short = |(arrival, _): &(&usize, &Duration)| {
        run.plan.kinds[arrivals[**arrival].kind].length == Length::Short
    };
    let wait = |(arrival, at): (&usize, &Duration)| {
        at.saturating_sub(arrivals[*arrival].at).as_secs_f64() * 1000.0
    };
    spread(first.iter().filter(short).map(wait))
}

fn messages(run: &Run<'_>, tasks: u64) -> Messages {
    let calls = &run.calls;
    let other_calls = calls.polls + calls.revokes + calls.stops + calls.fences;
    let least = 2 * tasks + 2 * run.forwards;
    let between = run.traffic.of(&["forward", "reply", "redirect"]);
    let actual = 2 * (calls.starts + other_calls) + between;
    Messages {
        tasks,
        forwards: run.forwards,
        least,
        actual,
        excess_percent: 100.0 * (ratio(actual as f64, least as f64) - 1.0),
        starts: calls.starts,
        other_calls,
        counted_calls: run.traffic.target_calls,
        peers: run.traffic.peers.clone(),
    }
}

fn leaving(run: &Run<'_>) -> Leaving {
    let Some(left) = run.seen.left else {
        return Leaving::default();
    };
    let last = run.plan.machines.len() - 1;
    let after = run
        .starts
        .iter()
        .filter(|s| s.target == last && s.at > left);
    let after: Vec<Duration> = after.map(|start| start.at - left).collect();
    let most = after.iter().max().copied().unwrap_or_default();
    Leaving {
        starts: after.len() as u64,
        late_starts: after.iter().filter(|at| **at > LEAVING).count() as u64,
        last_ms: most.as_secs_f64() * 1000.0,
    }
}
