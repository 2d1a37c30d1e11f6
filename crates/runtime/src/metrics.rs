//! Counters, gauges and histograms of a process, as text for an operator's monitoring.

use std::time::Duration;

use eyre::{eyre, Report};
use greengage_cluster::scheduler::{Reply, TargetCall};
use greengage_cluster::{Outcome, Standing};
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the latency histograms in seconds: from a short task to the longest patience of
/// callers.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0, 20.0,
];

/// The metrics of this process.
#[derive(Clone)]
pub struct Metrics(PrometheusHandle);

impl Metrics {
    /// Collects metrics from now on; a process has one collection.
    pub fn install() -> Result<Metrics, Report> {
        let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS_S)?;
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        ::metrics::set_global_recorder(recorder)
            .map_err(|_| eyre!("metrics are collected already: install them only once"))?;
        Ok(Metrics(handle))
    }

    /// All metrics as text.
    pub fn render(&self) -> String {
        self.0.render()
    }

    /// Bounds the memory of samples; to be called every few seconds.
    pub fn run_upkeep(&self) {
        self.0.run_upkeep();
    }
}

/// Counts an answer to a caller and the time that it took.
pub fn record_answer(outcome: &Outcome, latency: Duration) {
    let label = match outcome {
        Outcome::Work(Reply::Completed) => "completed",
        Outcome::Work(Reply::Failed) => "failed",
        Outcome::Work(Reply::TimedOut) => "timed_out",
        Outcome::Work(Reply::Refused { .. }) => "refused",
        Outcome::Work(Reply::NoQueue) => "no_queue",
        Outcome::Work(Reply::TooLarge { .. }) => "too_large",
        Outcome::Work(Reply::NoJob) => "no_job",
        Outcome::Work(Reply::Pending(_)) => "pending",
        Outcome::Accepted => "accepted",
        Outcome::Configuration(_) => "configuration",
        Outcome::Elsewhere(_) => "elsewhere",
        Outcome::Unknown => "unknown",
    };
    ::metrics::counter!("greengage_answers_total", "outcome" => label).increment(1);
    ::metrics::histogram!("greengage_answer_seconds", "outcome" => label)
        .record(latency.as_secs_f64());
}

/// Counts a call to a target by what was seen of it.
pub fn record_call(call: &TargetCall, outcome: &'static str) {
    let kind = match call {
        TargetCall::Start(_) => "start",
        TargetCall::Stop(_) => "stop",
        TargetCall::Hold(_) => "hold",
    };
    ::metrics::counter!("greengage_calls_total", "call" => kind, "seen" => outcome).increment(1);
}

/// Shows a VM's standing.
pub fn record_standing(standing: &Standing) {
    let version = standing.version.map_or(0, |version| version.0);
    let gauges = [
        ("greengage_ready", u64::from(standing.ready)),
        ("greengage_leads", u64::from(standing.leads)),
        ("greengage_configuration_version", version),
        ("greengage_targets_owned", standing.owned as u64),
        ("greengage_targets_known", standing.targets as u64),
        ("greengage_vms_live", standing.vms as u64),
        ("greengage_callers_waiting", standing.callers as u64),
    ];
    for (name, value) in gauges {
        ::metrics::gauge!(name).set(value as f64);
    }
}
