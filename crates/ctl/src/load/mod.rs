//! `greengagectl load`: runs load tests with a seeded schedule and measures them at the callers and
//! at the targets.
//!
//! Arrivals are open-loop: the time at which a submission is due doesn't depend on earlier answers,
//! and response times are counted from it. The callers and the stand-in targets run in this
//! process, the VMs in processes of their own. `docs/measures.md` defines the figures.
//!
//! - `scenario`: workloads and targets; `schedule`: arrival times drawn from a seed.
//! - `deployment`: the VMs under test; `fleet`: the stand-in targets; `generator`: the callers.
//! - `figures`: computation of the figures; `report`: report files; `plot`: SVG drawing.

pub mod deployment;
pub mod figures;
pub mod fleet;
pub mod generator;
pub mod plot;
pub mod report;
pub mod scenario;
pub mod schedule;

use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use clap::{Args, ValueEnum};
use eyre::{eyre, Report, WrapErr};
use serde_json::Value;

use crate::client::Client;
use figures::{compute, RunData};
use fleet::Fleet;
use generator::{run_schedule, Deployment, Observations};
use report::{Document, Metadata, RunReport};
use scenario::{DurationClass, Plan, Scenario};
use schedule::Schedule;

/// Pause between the preparation and the start of the schedule.
const START_DELAY: Duration = Duration::from_millis(500);
/// Limit for tasks that still run after the last answer.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);
/// From the end of a run to the reading of the counters, so that late messages are counted.
const COUNTER_DELAY: Duration = Duration::from_millis(500);

/// Run an open-loop load test with a seeded schedule and write a report.
#[derive(Debug, Args)]
pub struct Load {
    /// Workload and targets.
    #[arg(long)]
    scenario: Scenario,
    /// Seed of the first run's schedule; each repetition adds 1.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Length of a run, in seconds, up to 3600.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    /// Factor by which all arrival rates are multiplied, from 0.01 to 10.
    #[arg(long, default_value_t = 1.0)]
    rate_factor: f64,
    /// Number of runs, each with its own seed, up to 100.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=100))]
    repetitions: u64,
    /// State that the VMs run with `--policy baseline`. Later reports in the same folder are
    /// compared with this one.
    #[arg(long)]
    baseline: bool,
    /// Number of caller connections, each with its own thread, up to 1000.
    #[arg(long, default_value_t = 640, value_parser = clap::value_parser!(u64).range(1..=1000))]
    connections: u64,
    /// Folder to which the report and the plots are written.
    #[arg(long)]
    report: PathBuf,
}

impl Load {
    /// Runs all repetitions, writes the report and prints the figures that have a goal. A scenario
    /// with long tasks runs once more for each seed without them.
    pub fn run(&self, entries: &Client, admins: &Client) -> Result<(), Report> {
        if !(0.01..=10.0).contains(&self.rate_factor) {
            return Err(eyre!(
                "--rate-factor is {}: it must be from 0.01 to 10",
                self.rate_factor
            ));
        }
        std::fs::create_dir_all(&self.report)
            .wrap_err_with(|| format!("--report {} can't be created", self.report.display()))?;
        let plan = Plan::new(self.scenario);
        let deployment = deployment::discover(entries, admins, "metadata")?;
        let mut runs = Vec::new();
        for seed in self.seed..self.seed + self.repetitions {
            runs.push(self.run_once(entries, admins, &plan, seed, false)?);
            if plan
                .kinds
                .iter()
                .any(|kind| kind.duration_class == DurationClass::Long)
            {
                runs.push(self.run_once(entries, admins, &plan.without_long(), seed, true)?);
            }
        }
        let baseline = match self.baseline {
            true => None,
            false => self.load_baseline(),
        };
        let document = Document {
            made: self.metadata(&plan, &deployment),
            goals: report::goals(&runs, baseline.as_ref()),
            runs,
        };
        let json = serde_json::to_string_pretty(&document)? + "\n";
        report::write_file(&self.report, &format!("{}.json", self.report_name()), &json)?;
        for (name, goal) in &document.goals {
            println!("{name:36} {:10.3}   {:.3?}", goal.median, goal.values);
        }
        Ok(())
    }

    fn scenario_name(&self) -> String {
        let value = self.scenario.to_possible_value();
        value.map(|v| v.get_name().to_string()).unwrap_or_default()
    }

    fn policy_name(&self) -> &'static str {
        match self.baseline {
            true => "baseline",
            false => "fair",
        }
    }

    /// The common prefix of the names of the report's files.
    fn report_name(&self) -> String {
        format!("{}-{}", self.scenario_name(), self.policy_name())
    }

    /// Reads the baseline report from the same folder. `None` if it is missing or unreadable, or if
    /// its runs have another length or rate.
    fn load_baseline(&self) -> Option<Value> {
        let path = self
            .report
            .join(format!("{}-baseline.json", self.scenario_name()));
        let text = std::fs::read_to_string(path).ok()?;
        let value: Value = serde_json::from_str(&text).ok()?;
        let made = &value["made"];
        let same_schedules =
            made["seconds"] == self.seconds && made["rate_factor"] == self.rate_factor;
        if !same_schedules {
            eprintln!(
                "greengagectl: the baseline report has runs of another length or rate; ignoring it"
            );
        }
        same_schedules.then_some(value)
    }

    fn metadata(&self, plan: &Plan, deployment: &Deployment) -> Metadata {
        Metadata {
            command: std::env::args().collect(),
            scenario: self.scenario_name(),
            rules: self.policy_name().to_string(),
            seed: self.seed,
            seconds: self.seconds,
            rate_factor: self.rate_factor,
            connections: self.connections as usize,
            vms: deployment.entries.len(),
            zones: deployment.zones.len(),
            targets: plan.targets.len(),
            capacity: plan.capacity(),
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            commit: std::env::var("GREENGAGE_COMMIT").ok(),
        }
    }

    /// Prepares the deployment, offers one schedule and collects the figures.
    fn run_once(
        &self,
        entries: &Client,
        admins: &Client,
        plan: &Plan,
        seed: u64,
        without_long: bool,
    ) -> Result<RunReport, Report> {
        let length = Duration::from_secs(self.seconds);
        let schedule = Schedule::new(plan, seed, length, self.rate_factor);
        // Fresh job ids and target names, so that nothing from an earlier run matches them.
        let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
        let run_id = format!("r{}", unix_time.map_or(0, |t| t.as_millis()));
        let deployment = deployment::discover(entries, admins, &run_id)?;
        deployment::configure(admins, plan, &run_id)?;
        let leaders = deployment::ledger_leaders(admins, &deployment)?;
        let fleet = Fleet::start(
            plan,
            &run_id,
            &deployment.zones,
            &entries_by_zone(&deployment),
        )?;
        deployment::wait_for_targets(admins, &fleet.names())?;
        let round_trip = deployment::median_round_trip(entries)?;
        let load_before = machine_load();
        let traffic_before = deployment::read_traffic(admins)?;
        let run_start = Instant::now() + START_DELAY;
        std::thread::sleep(START_DELAY);
        let connections = self.connections as usize;
        let observations = run_schedule(
            plan,
            &schedule,
            &deployment,
            connections,
            run_start,
            &|| {
                fleet.leave_last();
            },
        )?;
        let settled = fleet.wait_idle(SETTLE_TIMEOUT);
        std::thread::sleep(COUNTER_DELAY);
        let traffic = deployment::read_traffic(admins)?.since(&traffic_before);
        let leaders_stayed = deployment::ledger_leaders(admins, &deployment)? == leaders;
        let starts = fleet.starts(run_start);
        let calls = fleet.calls();
        fleet.stop();
        let figures = compute(&RunData {
            plan,
            schedule: &schedule,
            observations: &observations,
            starts: &starts,
            calls,
            traffic: &traffic,
            forwards: count_forwards(&observations, &leaders),
            round_trip,
        });
        self.write_plot(plan, &schedule, &observations, seed, without_long)?;
        Ok(RunReport {
            seed,
            without_long,
            round_trip_ms: round_trip.as_secs_f64() * 1000.0,
            machine_load: [load_before, machine_load()],
            leaders_stayed,
            settled,
            figures,
        })
    }

    fn write_plot(
        &self,
        plan: &Plan,
        schedule: &Schedule,
        observations: &Observations,
        seed: u64,
        without_long: bool,
    ) -> Result<(), Report> {
        let suffix = match without_long {
            true => "-without-long",
            false => "",
        };
        let name = format!("{}-{seed}{suffix}", self.report_name());
        let title = format!("greengagectl load: {name}, {} s", self.seconds);
        let svg = report::render_plot(&title, plan, schedule, observations);
        report::write_file(&self.report, &format!("{name}.svg"), &svg)
    }
}

/// Counts the callers' calls that a VM other than the leader of the home zone received.
fn count_forwards(observations: &Observations, leaders: &[usize]) -> u64 {
    let is_forwarded = |call: &&(usize, usize)| leaders[call.1] != call.0;
    observations.calls.iter().filter(is_forwarded).count() as u64
}

/// The caller addresses of the VMs of each zone, in the order of the zones.
fn entries_by_zone(deployment: &Deployment) -> Vec<Vec<std::net::SocketAddr>> {
    let in_zone = |zone: usize| {
        let pairs = deployment.entries.iter().zip(&deployment.entry_zones);
        pairs
            .filter(|(_, z)| **z == zone)
            .map(|(e, _)| *e)
            .collect()
    };
    (0..deployment.zones.len()).map(in_zone).collect()
}

/// The one-minute load average of this machine, or 0 where it can't be read.
fn machine_load() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split(' ').next().unwrap_or_default();
    first.parse().unwrap_or(0.0)
}
