//! The report of a load test: figures of all runs, their settings, and plots.

use std::collections::BTreeMap;
use std::path::Path;

use eyre::{Report, WrapErr};
use serde::Serialize;
use serde_json::Value;

use super::figures::{in_time, Figures};
use super::generator::{Observations, Outcome};
use super::plot::{draw, Line, Panel};
use super::scenario::Plan;
use super::schedule::{Arrival, Schedule};

/// Settings and environment of the runs in a report.
#[derive(Clone, Debug, Serialize)]
pub struct Metadata {
    /// Command line, one argument each.
    pub command: Vec<String>,
    /// Name of the scenario.
    pub scenario: String,
    /// Dispatch policy of the deployment: `fair` or `baseline`.
    pub rules: String,
    /// Seed of the first repetition.
    pub seed: u64,
    /// Length of a run, in seconds.
    pub seconds: u64,
    /// Factor by which all arrival rates were multiplied.
    pub rate_factor: f64,
    /// Number of caller connections, each with its own thread.
    pub connections: usize,
    /// Number of VMs.
    pub vms: usize,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of targets.
    pub targets: usize,
    /// Run time on a target of speed 1 that all targets complete per second, in seconds.
    pub capacity: f64,
    /// Hardware threads available to this process; 0 if unknown.
    pub cores: usize,
    /// Value of `GREENGAGE_COMMIT`; `null` if it isn't set.
    pub commit: Option<String>,
}

/// The result of one run.
#[derive(Clone, Debug, Serialize)]
pub struct RunReport {
    /// Seed of the schedule.
    pub seed: u64,
    /// Whether the long kinds of work were left out.
    pub without_long: bool,
    /// Median round trip between a caller and a VM before the run, in milliseconds.
    pub round_trip_ms: f64,
    /// One-minute load average of the machine, before and after the run.
    pub machine_load: [f64; 2],
    /// Whether each ledger group has the same leader after the run as before it.
    pub leaders_stayed: bool,
    /// Whether all tasks had ended when the figures were computed.
    pub settled: bool,
    /// Figures of the run.
    pub figures: Figures,
}

/// The values of a figure that has a goal, over all repetitions.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct GoalValues {
    /// Median of the values.
    pub median: f64,
    /// Value of each repetition.
    pub values: Vec<f64>,
}

/// The contents of a report file.
#[derive(Clone, Debug, Serialize)]
pub struct Document {
    /// Settings and environment of the runs.
    pub made: Metadata,
    /// Figures that have a goal, by name.
    pub goals: BTreeMap<String, GoalValues>,
    /// Results of the runs.
    pub runs: Vec<RunReport>,
}

/// Collects the figures that have a goal. `baseline` is the report of the same schedules with the
/// baseline policy.
pub fn goals(runs: &[RunReport], baseline: Option<&Value>) -> BTreeMap<String, GoalValues> {
    let mut goals: BTreeMap<String, GoalValues> = BTreeMap::new();
    let mut add_value = |name: &str, value: f64| {
        goals
            .entry(name.to_string())
            .or_default()
            .values
            .push(value);
    };
    for run in runs.iter().filter(|run| !run.without_long) {
        let figures = &run.figures;
        for row in figures.rows.iter().filter(|row| row.account.is_none()) {
            if let Some(kind) = &row.kind {
                add_value(&format!("over_ideal_p50 {kind}"), row.over_ideal.p50);
                add_value(&format!("over_ideal_p99 {kind}"), row.over_ideal.p99);
            }
        }
        add_value("excess_messages_percent", figures.messages.excess_percent);
        add_value("extra_starts", figures.extra_starts as f64);
        add_value("false_not_run", figures.false_not_run as f64);
        add_value("wrong_results", figures.wrong_results as f64);
        add_value(
            "starts_after_leaving_2s",
            figures.leaving.late_starts as f64,
        );
        if let Some(crest) = &figures.crest {
            add_value("crest_share", crest.share);
            add_value("crest_fairness", crest.fairness);
            add_value("crest_started_fairness", crest.started_fairness);
            add_value("unused_work", figures.unused_work);
            if let Some(baseline_share) = baseline.and_then(|b| baseline_share(b, run.seed)) {
                if baseline_share > 0.0 {
                    add_value("crest_share_over_baseline", crest.share / baseline_share);
                }
            }
        }
        let without_long = runs.iter().find(|r| r.without_long && r.seed == run.seed);
        if let Some(without_long) = without_long {
            let isolated_p99 = without_long.figures.short_wait_ms.p99;
            if isolated_p99 > 0.0 {
                add_value(
                    "short_wait_p99_ratio",
                    figures.short_wait_ms.p99 / isolated_p99,
                );
            }
        }
    }
    for goal in goals.values_mut() {
        let mut sorted = goal.values.clone();
        sorted.sort_by(f64::total_cmp);
        goal.median = (sorted[(sorted.len() - 1) / 2] + sorted[sorted.len() / 2]) / 2.0;
    }
    goals
}

fn baseline_share(baseline: &Value, seed: u64) -> Option<f64> {
    let runs = baseline["runs"].as_array()?;
    let run = runs.iter().find(|run| run["seed"] == seed)?;
    run["figures"]["crest"]["share"].as_f64()
}

/// Writes one file of the report.
pub fn write_file(folder: &Path, name: &str, content: &str) -> Result<(), Report> {
    std::fs::write(folder.join(name), content)
        .wrap_err_with(|| format!("--report {}: {name} can't be written", folder.display()))
}

/// Divides a run into time buckets for a plot; returns their number and length in seconds. A
/// bucket is at most one second long, except in runs of more than 120 s.
fn buckets(seconds: f64) -> (usize, f64) {
    let count = (seconds.ceil() as usize).clamp(1, 120);
    (count, seconds / count as f64)
}

/// Draws a run as SVG: response time by kind of work and by account, and submissions by outcome.
pub fn render_plot(
    title: &str,
    plan: &Plan,
    schedule: &Schedule,
    observations: &Observations,
) -> String {
    let seconds = schedule.length.as_secs_f64();
    let (count, bucket_seconds) = buckets(seconds);
    let bucket_of = |arrival: &Arrival| {
        ((arrival.due_at.as_secs_f64() / bucket_seconds) as usize).min(count - 1)
    };
    let bucket_middle = |bucket: usize| (bucket as f64 + 0.5) * bucket_seconds;
    // Median and 99th percentile of the response times of completed submissions in each bucket.
    let lines = |name: &str, colour: usize, selects: &dyn Fn(&Arrival) -> bool| -> Vec<Line> {
        let mut times_ms: Vec<Vec<f64>> = vec![Vec::new(); count];
        for submission in observations
            .submissions
            .iter()
            .filter(|s| s.outcome == Outcome::Complete)
        {
            let arrival = &schedule.arrivals[submission.arrival];
            if selects(arrival) {
                times_ms[bucket_of(arrival)].push(submission.response_time.as_secs_f64() * 1000.0);
            }
        }
        times_ms.iter_mut().for_each(|t| t.sort_by(f64::total_cmp));
        let line = |label: &str, quantile: f64, dashed: bool| Line {
            name: format!("{name} {label}"),
            colour,
            dashed,
            points: times_ms
                .iter()
                .enumerate()
                .filter(|(_, t)| !t.is_empty())
                .map(|(bucket, t)| {
                    let index = ((t.len() as f64 * quantile).ceil() as usize).max(1) - 1;
                    (bucket_middle(bucket), t[index])
                })
                .collect(),
        };
        let lines = vec![line("median", 0.5, false), line("p99", 0.99, true)];
        lines.into_iter().filter(|l| !l.points.is_empty()).collect()
    };
    let kinds = plan.kinds.iter().enumerate();
    let kinds = kinds.flat_map(|(k, kind)| lines(kind.name, k, &|a| a.kind == k));
    let accounts = plan.accounts.iter().enumerate();
    let accounts = accounts.flat_map(|(k, account)| lines(account.name, k, &|a| a.account == k));
    let panels = [
        Panel {
            title: "response time by kind of work, ms".to_string(),
            log_scale: true,
            lines: kinds.collect(),
        },
        Panel {
            title: "response time by client account, ms".to_string(),
            log_scale: true,
            lines: accounts.collect(),
        },
        answer_panel(
            plan,
            schedule,
            observations,
            count,
            &bucket_of,
            &bucket_middle,
            bucket_seconds,
        ),
    ];
    draw(title, seconds, &panels)
}

fn answer_panel(
    plan: &Plan,
    schedule: &Schedule,
    observations: &Observations,
    count: usize,
    bucket_of: &dyn Fn(&Arrival) -> usize,
    bucket_middle: &dyn Fn(usize) -> f64,
    bucket_seconds: f64,
) -> Panel {
    let names = ["offered", "in time", "late", "refused", "other"];
    let mut counts = vec![[0.0; 5]; count];
    for submission in &observations.submissions {
        let arrival = &schedule.arrivals[submission.arrival];
        let category = match &submission.outcome {
            Outcome::Complete if in_time(submission, plan, arrival) => 1,
            Outcome::Complete => 2,
            Outcome::Refused { .. } => 3,
            Outcome::WrongResults
            | Outcome::Failed { .. }
            | Outcome::Pending
            | Outcome::NoAnswer => 4,
        };
        counts[bucket_of(arrival)][0] += 1.0;
        counts[bucket_of(arrival)][category] += 1.0;
    }
    let line = |(category, name): (usize, &&str)| Line {
        name: name.to_string(),
        colour: category,
        dashed: category == 0,
        points: counts
            .iter()
            .enumerate()
            .map(|(bucket, row)| (bucket_middle(bucket), row[category] / bucket_seconds))
            .collect(),
    };
    Panel {
        title: "submissions per second, by due time".to_string(),
        log_scale: false,
        lines: names.iter().enumerate().map(line).collect(),
    }
}
