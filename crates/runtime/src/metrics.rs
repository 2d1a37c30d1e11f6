//! Counters, gauges and histograms of a process, exported in the Prometheus text format.

use std::fmt::Write;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use eyre::{eyre, Report};
use greengage_cluster::scheduler::{Reason, ReasonCounts, Reply, TargetCall};
use greengage_cluster::{Outcome, Status};
use greengage_core::RequestId;
use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};

/// Upper bounds of the latency histograms, from the length of a short task to the longest time for
/// which callers wait.
const LATENCY_BUCKETS_S: [f64; 12] = [
    0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0, 20.0,
];

/// Refused jobs by queue and reason. The recorder keeps each series that it has seen, but those of a
/// removed queue must go.
static REFUSALS: Mutex<Vec<(Arc<str>, ReasonCounts)>> = Mutex::new(Vec::new());

/// The metrics of this process.
#[derive(Clone)]
pub struct Metrics(PrometheusHandle);

impl Metrics {
    /// Installs the global recorder of the process; fails if one is already installed.
    pub fn install() -> Result<Metrics, Report> {
        let builder = PrometheusBuilder::new().set_buckets(&LATENCY_BUCKETS_S)?;
        let recorder = builder.build_recorder();
        let handle = recorder.handle();
        ::metrics::set_global_recorder(recorder)
            .map_err(|_| eyre!("a metrics recorder is already installed"))?;
        Ok(Metrics(handle))
    }

    /// Formats all metrics as Prometheus text.
    pub fn render(&self) -> String {
        let refusals = REFUSALS.lock().unwrap_or_else(PoisonError::into_inner);
        self.0.render() + &format_refusals(&refusals)
    }

    /// Drains buffered samples into the histograms; call it every few seconds to bound memory.
    pub fn run_upkeep(&self) {
        self.0.run_upkeep();
    }
}

/// Formats the refused jobs by queue and reason as Prometheus text.
pub fn format_refusals(refusals: &[(Arc<str>, ReasonCounts)]) -> String {
    let mut text = String::from("# TYPE greengage_refusals_total counter\n");
    for (queue, counts) in refusals {
        let name = queue.replace('\\', "\\\\").replace('"', "\\\"");
        let name = name.replace('\n', "\\n");
        let counted = Reason::ALL.iter().zip(counts).filter(|(_, n)| **n > 0);
        for (reason, n) in counted {
            let label = reason.label();
            let _ = writeln!(
                text,
                "greengage_refusals_total{{queue=\"{name}\",reason=\"{label}\"}} {n}"
            );
        }
    }
    text
}

/// Sets the counters of refused jobs.
pub(crate) fn record_refusals(refusals: Vec<(Arc<str>, ReasonCounts)>) {
    *REFUSALS.lock().unwrap_or_else(PoisonError::into_inner) = refusals;
}

/// Counts an answer to a caller and records its latency.
pub fn record_answer(outcome: &Outcome, latency: Duration) {
    let label = match outcome {
        Outcome::Scheduler(Reply::Completed) => "completed",
        Outcome::Scheduler(Reply::Failed) => "failed",
        Outcome::Scheduler(Reply::TimedOut) => "timed_out",
        Outcome::Scheduler(Reply::Refused { .. }) => "refused",
        Outcome::Scheduler(Reply::NoQueue) => "no_queue",
        Outcome::Scheduler(Reply::TooLarge { .. }) => "too_large",
        Outcome::Scheduler(Reply::NoJob) => "no_job",
        Outcome::Scheduler(Reply::Cancelled) => "cancelled",
        Outcome::Scheduler(Reply::Pending(_)) => "pending",
        Outcome::Accepted => "accepted",
        Outcome::Configuration(_) => "configuration",
        Outcome::Evacuations(_) => "evacuations",
        Outcome::Redirect(_) => "elsewhere",
        Outcome::Unknown => "unknown",
        Outcome::TooManyZones => "too_many_zones",
        Outcome::Unconfirmed => "unconfirmed",
    };
    ::metrics::counter!("greengage_answers_total", "outcome" => label).increment(1);
    ::metrics::histogram!("greengage_answer_seconds", "outcome" => label)
        .record(latency.as_secs_f64());
}

/// Counts and logs a request whose caller has disconnected before the answer.
pub fn record_unanswered(request: RequestId, path: &str, age: Duration) {
    log::info!(event = "request-unanswered", request = request.0, path = path,
        age_ms = age.as_millis() as u64; "a caller disconnected before the answer");
    ::metrics::counter!("greengage_unanswered_total").increment(1);
}

/// Counts an order about an evacuation that was refused.
pub fn record_refused_order(reason: &'static str) {
    ::metrics::counter!("greengage_orders_refused_total", "reason" => reason).increment(1);
}

/// Counts a call to a target under its outcome.
pub fn record_call(call: &TargetCall, outcome: &'static str) {
    let kind = match call {
        TargetCall::Start(_) => "start",
        TargetCall::Stop(_) => "stop",
        TargetCall::Hold(_) => "hold",
    };
    ::metrics::counter!("greengage_calls_total", "call" => kind, "seen" => outcome).increment(1);
}

/// Sets the gauges to a VM's status.
pub fn record_status(status: &Status) {
    let version = status.version.map_or(0, |version| version.0);
    let revision = status.revision.map_or(0, |revision| revision.0);
    let gauges = [
        ("greengage_ready", u64::from(status.ready)),
        ("greengage_leads", u64::from(status.is_leader)),
        ("greengage_configuration_version", version),
        ("greengage_evacuations_revision", revision),
        ("greengage_zones_evacuated", status.evacuated as u64),
        ("greengage_targets_owned", status.owned as u64),
        ("greengage_targets_known", status.targets as u64),
        ("greengage_vms_live", status.vms as u64),
        ("greengage_callers_waiting", status.callers as u64),
    ];
    for (name, value) in gauges {
        ::metrics::gauge!(name).set(value as f64);
    }
    ::metrics::counter!("greengage_reports_dropped_total").absolute(status.dropped);
}

/// Sets the gauge of inputs that wait for the control thread.
pub(crate) fn record_queued_inputs(inputs: usize) {
    ::metrics::gauge!("greengage_inputs_queued").set(inputs as f64);
}

/// Counts and logs a request or message that a limit on what may wait has turned away.
pub fn record_shed(reason: &'static str) {
    log::info!(event = "request-shed", reason = reason; "too much waits to be handled");
    ::metrics::counter!("greengage_requests_shed_total", "reason" => reason).increment(1);
}
