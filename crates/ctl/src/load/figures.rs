//! The figures of a run, as `docs/measures.md` defines them.

use std::collections::BTreeMap;
use std::time::Duration;

use greengage_standin::Calls;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::fleet::StartRecord;
use super::generator::{ideal_seconds, Observations, Outcome, Submission};
use super::scenario::{DurationClass, Plan, SubmitMode};
use super::schedule::{Arrival, Schedule};

/// Time that the system has to stop starting tasks on a target that is leaving.
const LEAVE_GRACE: Duration = Duration::from_secs(2);
/// Longest time that a histogram holds, in microseconds.
const MAX_VALUE_US: u64 = 600_000_000;

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

    fn sum_kinds(&self, kinds: &[&str]) -> u64 {
        let count = |kind: &&str| self.peers.get(*kind).copied().unwrap_or(0);
        kinds.iter().map(count).sum()
    }
}

/// All that was observed in a run.
pub struct RunData<'a> {
    /// What was offered, and to which targets.
    pub plan: &'a Plan,
    /// When.
    pub schedule: &'a Schedule,
    /// What the callers saw.
    pub observations: &'a Observations,
    /// Starts that reached targets.
    pub starts: &'a [StartRecord],
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
pub struct Distribution {
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
    pub response_ms: Distribution,
    /// Response time of complete answers over the ideal.
    pub over_ideal: Distribution,
}

/// An account at the peak.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct AccountWork {
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

/// Submissions that were due during the peak.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Peak {
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
    pub accounts: Vec<AccountWork>,
}

/// Messages for the run's tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MessageFigures {
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
pub struct LeaveFigures {
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
    pub crest: Option<Peak>,
    /// Part of the started work that belongs to submissions without an answer in time. A task that
    /// was stopped counts with its whole run time.
    pub unused_work: f64,
    /// From the time when a short task's request was due to its start at a target, in milliseconds.
    pub short_wait_ms: Distribution,
    /// Messages.
    pub messages: MessageFigures,
    /// Starts on the target that left.
    pub leaving: LeaveFigures,
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
    pub send_lag_ms: Distribution,
}

/// Computes the figures of a run.
pub fn compute(run: &RunData<'_>) -> Figures {
    let run_counts = count_runs(run.starts);
    let count =
        |arrival: usize, task: usize| run_counts.get(&(arrival, task)).copied().unwrap_or(0);
    let submit_mode = |arrival: usize| run.plan.kinds[run.schedule.arrivals[arrival].kind].mode;
    let extra_runs = |keyed: bool| {
        run_counts
            .iter()
            .filter(|((arrival, _), _)| (submit_mode(*arrival) != SubmitMode::Repeatable) == keyed)
            .map(|(_, starts)| starts - 1)
            .sum()
    };
    let says_not_run = |outcome: &Outcome| match outcome {
        Outcome::Failed { not_run, .. } | Outcome::Refused { not_run, .. } => *not_run,
        Outcome::Complete | Outcome::WrongResults | Outcome::Pending | Outcome::NoAnswer => false,
    };
    let falsely_not_run = |submission: &&Submission| {
        let tasks = 0..run.schedule.arrivals[submission.arrival].tasks.len();
        says_not_run(&submission.outcome)
            && tasks.into_iter().any(|t| count(submission.arrival, t) > 0)
    };
    let submissions = &run.observations.submissions;
    let mut cancelled = BTreeMap::new();
    for (submission, _) in with_arrivals(run).filter(|(_, arrival)| arrival.to_cancel) {
        *cancelled
            .entry(outcome_label(submission, run.plan, run.schedule))
            .or_default() += 1;
    }
    Figures {
        rows: rows(run),
        crest: peak(run, &run_counts),
        unused_work: unused_work(run, &run_counts),
        short_wait_ms: short_wait_ms(run),
        messages: message_figures(run, run_counts.len() as u64),
        leaving: leave_figures(run),
        extra_starts: extra_runs(true),
        repeats: extra_runs(false),
        false_not_run: submissions.iter().filter(falsely_not_run).count() as u64,
        wrong_results: submissions
            .iter()
            .filter(|s| s.outcome == Outcome::WrongResults)
            .count() as u64,
        cancelled,
        send_lag_ms: distribution(
            submissions
                .iter()
                .map(|s| s.send_lag.as_secs_f64() * 1000.0),
        ),
    }
}

/// The distribution of values, to three digits. The histogram holds thousandths.
pub fn distribution(values: impl Iterator<Item = f64>) -> Distribution {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_VALUE_US, 3).expect("the bounds are valid");
    for value in values {
        histogram.saturating_record((value * 1000.0) as u64);
    }
    let at = |quantile: f64| match histogram.len() {
        0 => 0.0,
        _ => histogram.value_at_quantile(quantile) as f64 / 1000.0,
    };
    Distribution {
        count: histogram.len(),
        p50: at(0.5),
        p90: at(0.9),
        p99: at(0.99),
        max: histogram.max() as f64 / 1000.0,
    }
}

/// How often each task was run, by arrival and task.
fn count_runs(starts: &[StartRecord]) -> BTreeMap<(usize, usize), u64> {
    let mut run_counts = BTreeMap::new();
    for start in starts.iter().filter(|start| start.accepted) {
        *run_counts.entry((start.arrival, start.task)).or_default() += 1;
    }
    run_counts
}

fn with_arrivals<'a>(run: &'a RunData<'_>) -> impl Iterator<Item = (&'a Submission, &'a Arrival)> {
    let arrivals = &run.schedule.arrivals;
    let submissions = run.observations.submissions.iter();
    submissions.map(|submission| (submission, &arrivals[submission.arrival]))
}

/// Whether an outcome is a complete answer within the deadline.
pub fn in_time(submission: &Submission, plan: &Plan, arrival: &Arrival) -> bool {
    let deadline = Duration::from_millis(plan.kinds[arrival.kind].deadline_ms);
    submission.outcome == Outcome::Complete && submission.response_time <= deadline
}

/// How a submission ended, as a word.
fn outcome_label(submission: &Submission, plan: &Plan, schedule: &Schedule) -> String {
    let arrival = &schedule.arrivals[submission.arrival];
    match &submission.outcome {
        Outcome::Complete if in_time(submission, plan, arrival) => "complete".to_string(),
        Outcome::Complete => "late".to_string(),
        Outcome::WrongResults => "wrong".to_string(),
        Outcome::Failed { reason, .. } => format!("failed: {reason}"),
        Outcome::Refused { kind, .. } => format!("refused: {kind}"),
        Outcome::Pending => "pending".to_string(),
        Outcome::NoAnswer => "no answer".to_string(),
    }
}

fn rows(run: &RunData<'_>) -> Vec<Row> {
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

fn row(run: &RunData<'_>, kind: Option<usize>, account: Option<usize>) -> Row {
    let matches = |arrival: &Arrival| {
        !arrival.to_cancel
            && kind.is_none_or(|k| arrival.kind == k)
            && account.is_none_or(|a| arrival.account == a)
    };
    let (mut offered, mut in_time, mut late) = (0, 0, 0);
    let mut others = BTreeMap::new();
    let (mut response_ms, mut over_ideal) = (Vec::new(), Vec::new());
    for (submission, arrival) in with_arrivals(run).filter(|(_, arrival)| matches(arrival)) {
        offered += 1;
        let label = outcome_label(submission, run.plan, run.schedule);
        if submission.outcome == Outcome::Complete {
            let seconds = submission.response_time.as_secs_f64();
            response_ms.push(seconds * 1000.0);
            over_ideal.push(seconds / ideal_seconds(run.plan, arrival, run.round_trip));
        }
        match label.as_str() {
            "complete" => in_time += 1,
            "late" => late += 1,
            _ => *others.entry(label).or_default() += 1,
        }
    }
    Row {
        kind: kind.map(|k| run.plan.kinds[k].name.to_string()),
        account: account.map(|a| run.plan.accounts[a].name.to_string()),
        offered,
        in_time,
        late,
        others,
        response_ms: distribution(response_ms.into_iter()),
        over_ideal: distribution(over_ideal.into_iter()),
    }
}

fn peak(run: &RunData<'_>, run_counts: &BTreeMap<(usize, usize), u64>) -> Option<Peak> {
    if run.plan.peaks.is_empty() {
        return None;
    }
    let length_s = run.schedule.length.as_secs_f64();
    let mut peak = Peak::default();
    let account_work = |account: &super::scenario::Account| AccountWork {
        account: account.name.to_string(),
        weight: account.weight,
        ..AccountWork::default()
    };
    peak.accounts = run.plan.accounts.iter().map(account_work).collect();
    for (submission, arrival) in with_arrivals(run) {
        let fraction = arrival.due_at.as_secs_f64() / length_s;
        if arrival.to_cancel || !run.plan.in_peak(fraction) {
            continue;
        }
        let work_s = f64::from(arrival.tasks.iter().sum::<u32>()) / 1000.0;
        let account = &mut peak.accounts[arrival.account];
        peak.offered += 1;
        account.offered_s += work_s;
        for (task, millis) in arrival.tasks.iter().enumerate() {
            let starts = run_counts
                .get(&(submission.arrival, task))
                .copied()
                .unwrap_or(0);
            account.started_s += f64::from(*millis) / 1000.0 * starts as f64;
        }
        if in_time(submission, run.plan, arrival) {
            peak.in_time += 1;
            account.answered_s += work_s;
        }
    }
    let accounts = &peak.accounts;
    let sum = |value: fn(&AccountWork) -> f64| accounts.iter().map(value).sum::<f64>();
    peak.share = ratio(peak.in_time as f64, peak.offered as f64);
    peak.work_share = ratio(sum(|a| a.answered_s), sum(|a| a.offered_s));
    peak.fairness = jain_index(accounts, |a| a.answered_s);
    peak.started_fairness = jain_index(accounts, |a| a.started_s);
    Some(peak)
}

/// Jain's index of a figure over the weights: 1 if each account has its share, and the part of the
/// accounts that share equally if the others have nothing.
fn jain_index(accounts: &[AccountWork], value: fn(&AccountWork) -> f64) -> f64 {
    let shares = accounts.iter().map(|a| value(a) / f64::from(a.weight));
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

fn unused_work(run: &RunData<'_>, run_counts: &BTreeMap<(usize, usize), u64>) -> f64 {
    let mut in_time_arrivals = vec![false; run.schedule.arrivals.len()];
    for (submission, arrival) in with_arrivals(run) {
        in_time_arrivals[submission.arrival] = in_time(submission, run.plan, arrival);
    }
    let (mut unused_ms, mut started_ms) = (0.0, 0.0);
    for ((arrival, task), starts) in run_counts {
        let work_ms = f64::from(run.schedule.arrivals[*arrival].tasks[*task]) * *starts as f64;
        started_ms += work_ms;
        if !in_time_arrivals[*arrival] {
            unused_ms += work_ms;
        }
    }
    ratio(unused_ms, started_ms)
}

fn short_wait_ms(run: &RunData<'_>) -> Distribution {
    // First starts by arrival, in a map because starts are in the order of targets.
    let mut first_starts: BTreeMap<usize, Duration> = BTreeMap::new();
    for start in run.starts.iter().filter(|start| start.accepted) {
        let at = first_starts
            .entry(start.arrival)
            .or_insert(start.received_at);
        *at = start.received_at.min(*at);
    }
    let arrivals = &run.schedule.arrivals;
    let is_short = |(arrival, _): &(&usize, &Duration)| {
        run.plan.kinds[arrivals[**arrival].kind].duration_class == DurationClass::Short
    };
    let wait_ms = |(arrival, at): (&usize, &Duration)| {
        at.saturating_sub(arrivals[*arrival].due_at).as_secs_f64() * 1000.0
    };
    distribution(first_starts.iter().filter(is_short).map(wait_ms))
}

fn message_figures(run: &RunData<'_>, tasks: u64) -> MessageFigures {
    let calls = &run.calls;
    let other_calls = calls.polls + calls.revokes + calls.stops + calls.fences;
    let least = 2 * tasks + 2 * run.forwards;
    let peer_messages = run.traffic.sum_kinds(&["forward", "reply", "redirect"]);
    let actual = 2 * (calls.starts + other_calls) + peer_messages;
    MessageFigures {
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

fn leave_figures(run: &RunData<'_>) -> LeaveFigures {
    let Some(left_at) = run.observations.left_at else {
        return LeaveFigures::default();
    };
    let last_target = run.plan.targets.len() - 1;
    let delays = run
        .starts
        .iter()
        .filter(|s| s.target == last_target && s.received_at > left_at);
    let delays: Vec<Duration> = delays.map(|start| start.received_at - left_at).collect();
    let latest = delays.iter().max().copied().unwrap_or_default();
    LeaveFigures {
        starts: delays.len() as u64,
        late_starts: delays.iter().filter(|delay| **delay > LEAVE_GRACE).count() as u64,
        last_ms: latest.as_secs_f64() * 1000.0,
    }
}
