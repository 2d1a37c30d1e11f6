//! Computes the figures of a run, as `docs/measures.md` defines them.

use std::collections::BTreeMap;
use std::time::Duration;

use greengage_standin::Calls;
use hdrhistogram::Histogram;
use serde::Serialize;

use super::fleet::StartRecord;
use super::generator::{ideal_seconds, Observations, Outcome, Submission};
use super::scenario::{DurationClass, Plan, SubmitMode};
use super::schedule::{Arrival, Schedule};

/// Time that the VMs have to stop starting tasks on a target that announced that it is leaving;
/// later starts count as late.
const LEAVE_GRACE: Duration = Duration::from_secs(2);
/// Largest value of a histogram, in thousandths of the unit of the figure: for times in
/// milliseconds, 600 s in microseconds. Larger values are recorded as this one.
const MAX_THOUSANDTHS: u64 = 600_000_000;

/// Message counters, summed over all VMs.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Traffic {
    /// Messages between VMs, by kind.
    pub peers: BTreeMap<String, u64>,
    /// Calls from VMs to targets.
    pub target_calls: u64,
}

impl Traffic {
    /// Returns the increase since `earlier`.
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

/// Everything from which the figures of a run are computed.
pub struct RunData<'a> {
    /// Workload and targets.
    pub plan: &'a Plan,
    /// Schedule that was carried out.
    pub schedule: &'a Schedule,
    /// What the callers observed.
    pub observations: &'a Observations,
    /// Starts that the targets received.
    pub starts: &'a [StartRecord],
    /// Calls that the targets received, by kind.
    pub calls: Calls,
    /// Increase of the VMs' message counters during the run.
    pub traffic: &'a Traffic,
    /// Callers' calls that a VM other than the leader of the home zone received.
    pub forwards: u64,
    /// Median round trip between a caller and a VM.
    pub round_trip: Duration,
}

/// Quantiles of a set of values; all zero if there are none.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Distribution {
    /// Number of values.
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

/// Figures of the submissions of one kind of work, of one account, or of both.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Row {
    /// Kind of work; `null` for all kinds.
    pub kind: Option<String>,
    /// Client account; `null` for all accounts.
    pub account: Option<String>,
    /// Submissions, without those that the mass cancellation includes.
    pub offered: u64,
    /// Submissions completed within the deadline.
    pub in_time: u64,
    /// Submissions completed after the deadline.
    pub late: u64,
    /// Submissions with any other outcome, by outcome and reason.
    pub others: BTreeMap<String, u64>,
    /// Response time of completed submissions, in milliseconds.
    pub response_ms: Distribution,
    /// Response time of completed submissions divided by the ideal response time.
    pub over_ideal: Distribution,
}

/// Work of one account during the peak, in seconds of run time on a target of speed 1.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct AccountWork {
    /// Name of the client account.
    pub account: String,
    /// Weight of the account.
    pub weight: u32,
    /// Work that was offered.
    pub offered_s: f64,
    /// Work that was started; each start counts.
    pub started_s: f64,
    /// Work of submissions that were completed within the deadline.
    pub answered_s: f64,
}

/// Figures of the submissions that were due during the peak (`crest` in the report).
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Peak {
    /// Submissions, without those that the mass cancellation includes.
    pub offered: u64,
    /// Submissions completed within the deadline.
    pub in_time: u64,
    /// `in_time` divided by `offered`.
    pub share: f64,
    /// Work completed within the deadline divided by offered work.
    pub work_share: f64,
    /// Jain's fairness index of the work completed in time, weighted; 1 is fair.
    pub fairness: f64,
    /// Jain's fairness index of the started work, weighted; 1 is fair.
    pub started_fairness: f64,
    /// Work of each account.
    pub accounts: Vec<AccountWork>,
}

/// Messages sent for the tasks of a run, against the fewest possible.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct MessageFigures {
    /// Tasks that ran at least once.
    pub tasks: u64,
    /// Callers' calls that a VM other than the leader of the home zone received.
    pub forwards: u64,
    /// Fewest possible messages: start and answer of each task, forward and reply of each forwarded
    /// call.
    pub least: u64,
    /// Messages sent: calls to targets and their answers, forwards, replies and redirects.
    pub actual: u64,
    /// Excess of `actual` over `least`, in percent.
    pub excess_percent: f64,
    /// Starts that the targets received.
    pub starts: u64,
    /// Other calls that the targets received.
    pub other_calls: u64,
    /// Calls to targets according to the counters of the VMs.
    pub counted_calls: u64,
    /// Messages between VMs, by kind.
    pub peers: BTreeMap<String, u64>,
}

/// Starts that the leaving target received after its announcement.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LeaveFigures {
    /// Starts after the announcement.
    pub starts: u64,
    /// Starts more than 2 s after the announcement.
    pub late_starts: u64,
    /// Time from the announcement to the last start, in milliseconds; 0 if there is none.
    pub last_ms: f64,
}

/// The figures of a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct Figures {
    /// Figures of all submissions, by kind of work, by account, and by both.
    pub rows: Vec<Row>,
    /// Figures of the peak; `null` for scenarios without one.
    pub crest: Option<Peak>,
    /// Fraction of the started work that belongs to submissions not completed in time. A task that
    /// was stopped counts with its full run time.
    pub unused_work: f64,
    /// Waiting time of short tasks in milliseconds, from when the request was due to its first
    /// start at a target.
    pub short_wait_ms: Distribution,
    /// Messages for the tasks.
    pub messages: MessageFigures,
    /// Starts on the leaving target.
    pub leaving: LeaveFigures,
    /// Starts of tasks with a key beyond the first start of each.
    pub extra_starts: u64,
    /// Retries: starts of tasks without a key beyond the first start of each.
    pub repeats: u64,
    /// Answers that state that no task ran, although one did.
    pub false_not_run: u64,
    /// Answers with a missing result or a result of another task.
    pub wrong_results: u64,
    /// Submissions that the mass cancellation includes, by outcome.
    pub cancelled: BTreeMap<String, u64>,
    /// Delay with which submissions were sent, in milliseconds.
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

/// Returns the quantiles of values, to three significant digits. The histogram counts thousandths.
pub fn distribution(values: impl Iterator<Item = f64>) -> Distribution {
    let mut histogram =
        Histogram::<u64>::new_with_bounds(1, MAX_THOUSANDTHS, 3).expect("the bounds are valid");
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

/// Counts the accepted starts of each task, by arrival and task.
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

/// Whether a submission was completed within the deadline.
pub fn in_time(submission: &Submission, plan: &Plan, arrival: &Arrival) -> bool {
    let deadline = Duration::from_millis(plan.kinds[arrival.kind].deadline_ms);
    submission.outcome == Outcome::Complete && submission.response_time <= deadline
}

/// The outcome of a submission as it is named in the report.
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

/// Jain's fairness index of `value` divided by the weight of each account. It is 1 if the values
/// are proportional to the weights; if some accounts get equal shares and the others nothing, it is
/// the fraction of accounts that get a share.
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
    // First start of each arrival; a map, because the starts are ordered by target and not by time.
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
