//! `greengagectl load`: offers load on a seeded schedule and measures what callers and targets see.
//!
//! Arrivals are open-loop: they are due at times that don't depend on answers, and response times
//! count from then. The stand-in targets run in this process; the VMs are processes of their own.
//! `docs/measures.md` defines the figures.
//!
//! - `scenario`: what is offered, and to which targets; `schedule`: when.
//! - `site`: the deployment under load; `fleet`: the stand-in targets; `drive`: the callers.
//! - `figures`: the arithmetic; `report`: documents and plots; `plot`: SVG.

pub mod drive;
pub mod figures;
pub mod fleet;
pub mod plot;
pub mod report;
pub mod scenario;
pub mod schedule;
pub mod site;

use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use clap::{Args, ValueEnum};
use eyre::{eyre, Report, WrapErr};
use serde_json::Value;

use crate::client::Client;
use drive::{drive, Seen, Site};
use figures::{figures, Run};
use fleet::Fleet;
use report::{Document, Made, RunReport};
use scenario::{Length, Plan, Scenario};
use schedule::Schedule;

/// Between the preparation and the first arrival.
const LEAD: Duration = Duration::from_millis(500);
/// How long tasks may go on after the last answer.
const SETTLE: Duration = Duration::from_secs(60);
/// After a run, until counters of late messages are read.
const TRAIL: Duration = Duration::from_millis(500);

/// Offer load on a seeded schedule and write a report.
#[derive(Debug, Args)]
pub struct Load {
    /// What to offer.
    #[arg(long)]
    scenario: Scenario,
    /// Seed of the schedule; repetitions use the next ones.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Length of a run in seconds, up to 3600.
    #[arg(long, default_value_t = 60, value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
    /// Factor of all arrival rates, from 0.01 to 10.
    #[arg(long, default_value_t = 1.0)]
    rate_factor: f64,
    /// Runs, each with a seed of its own, up to 100.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=100))]
    repetitions: u64,
    /// The deployment runs with `--policy baseline`. Later reports in the same folder are compared
    /// with this one.
    #[arg(long)]
    baseline: bool,
    /// Most connections of callers, each with a thread, up to 1000.
    #[arg(long, default_value_t = 640, value_parser = clap::value_parser!(u64).range(1..=1000))]
    connections: u64,
    /// Folder for the report.
    #[arg(long)]
    report: PathBuf,
}

impl Load {
    /// Runs all repetitions and writes the report.
    pub fn run(&self, entries: &Client, admins: &Client) -> Result<(), Report> {
        if !(0.01..=10.0).contains(&self.rate_factor) {
            return Err(eyre!(
                "--rate-factor is {}: give 0.01 to 10",
                self.rate_factor
            ));
        }
        std::fs::create_dir_all(&self.report)
            .wrap_err_with(|| format!("--report {} can't be made", self.report.display()))?;
        let plan = Plan::new(self.scenario);
        let site = site::look(entries, admins, "look")?;
        let mut runs = Vec::new();
        for seed in self.seed..self.seed + self.repetitions {
            runs.push(self.one(entries, admins, &plan, seed, false)?);
            if plan.kinds.iter().any(|kind| kind.length == Length::Long) {
                runs.push(self.one(entries, admins, &plan.without_long(), seed, true)?);
            }
        }
        let baseline = match self.baseline {
            true => None,
            false => self.earlier_baseline(),
        };
        let document = Document {
            made: self.made(&plan, &site),
            goals: report::goals(&runs, baseline.as_ref()),
            runs,
        };
        let json = serde_json::to_string_pretty(&document)? + "\n";
        report::write(&self.report, &format!("{}.json", self.name()), &json)?;
        for (name, goal) in &document.goals {
            println!("{name:36} {:10.3}   {:.3?}", goal.median, goal.values);
        }
        Ok(())
    }

    fn scenario_name(&self) -> String {
        let value = self.scenario.to_possible_value();
        value.map(|v| v.get_name().to_string()).unwrap_or_default()
    }

    fn rules(&self) -> &'static str {
        match self.baseline {
            true => "baseline",
            false => "fair",
        }
    }

    /// The name of the report's files.
    fn name(&self) -> String {
        format!("{}-{}", self.scenario_name(), self.rules())
    }

    /// The baseline's report in the same folder, if it has the same schedules.
    fn earlier_baseline(&self) -> Option<Value> {
        let path = self
            .report
            .join(format!("{}-baseline.json", self.scenario_name()));
        let text = std::fs::read_to_string(path).ok()?;
        let value: Value = serde_json::from_str(&text).ok()?;
        let made = &value["made"];
        let same = made["seconds"] == self.seconds && made["rate_factor"] == self.rate_factor;
        if !same {
            eprintln!("greengagectl: the baseline's report has other schedules and is left out");
        }
        same.then_some(value)
    }

    fn made(&self, plan: &Plan, site: &Site) -> Made {
        Made {
            command: std::env::args().collect(),
            scenario: self.scenario_name(),
            rules: self.rules().to_string(),
            seed: self.seed,
            seconds: self.seconds,
            rate_factor: self.rate_factor,
            connections: self.connections as usize,
            vms: site.entries.len(),
            zones: site.zones.len(),
            targets: plan.machines.len(),
            capacity: plan.capacity(),
            cores: std::thread::available_parallelism().map_or(0, usize::from),
            commit: std::env::var("GREENGAGE_COMMIT").ok(),
        }
    }

    /// One run.
    fn one(
        &self,
        entries: &Client,
        admins: &Client,
        plan: &Plan,
        seed: u64,
        without_long: bool,
    ) -> Result<RunReport, Report> {
        let length = Duration::from_secs(self.seconds);
        let schedule = Schedule::new(plan, seed, length, self.rate_factor);
        // Keys and targets of each run are new to the deployment.
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let run = format!("r{}", since.map_or(0, |t| t.as_millis()));
        let site = site::look(entries, admins, &run)?;
        site::configure(admins, plan, &run)?;
        let leaders = site::leaders(admins, &site)?;
        let fleet = Fleet::start(plan, &run, &site.zones, &entries_by_zone(&site))?;
        site::wait_targets(admins, &fleet.names())?;
        let round_trip = site::round_trip(entries)?;
        let load_before = machine_load();
        let before = site::traffic(admins)?;
        let began = Instant::now() + LEAD;
        std::thread::sleep(LEAD);
        let connections = self.connections as usize;
        let seen = drive(plan, &schedule, &site, connections, began, &|| {
            fleet.leave_last();
        })?;
        let settled = fleet.settle(SETTLE);
        std::thread::sleep(TRAIL);
        let traffic = site::traffic(admins)?.since(&before);
        let leaders_stayed = site::leaders(admins, &site)? == leaders;
        let starts = fleet.starts(began);
        let calls = fleet.calls();
        fleet.stop();
        let result = figures(&Run {
            plan,
            schedule: &schedule,
            seen: &seen,
            starts: &starts,
            calls,
            traffic: &traffic,
            forwards: forwards(&seen, &leaders),
            round_trip,
        });
        self.plot(plan, &schedule, &seen, seed, without_long)?;
        Ok(RunReport {
            seed,
            without_long,
            round_trip_ms: round_trip.as_secs_f64() * 1000.0,
            machine_load: [load_before, machine_load()],
            leaders_stayed,
            settled,
            figures: result,
        })
    }

    fn plot(
        &self,
        plan: &Plan,
        schedule: &Schedule,
        seen: &Seen,
        seed: u64,
        without_long: bool,
    ) -> Result<(), Report> {
        let part = match without_long {
            true => "-without-long",
            false => "",
        };
        let name = format!("{}-{seed}{part}", self.name());
        let title = format!("greengagectl load: {name}, {} s", self.seconds);
        let svg = report::plot(&title, plan, schedule, seen);
        report::write(&self.report, &format!("{name}.svg"), &svg)
    }
}

/// Callers' calls that entered at a VM that doesn't lead the home zone.
fn forwards(seen: &Seen, leaders: &[usize]) -> u64 {
    let away = |call: &&(usize, usize)| leaders[call.1] != call.0;
    seen.calls.iter().filter(away).count() as u64
}

/// The entry VMs of each zone.
fn entries_by_zone(site: &Site) -> Vec<Vec<std::net::SocketAddr>> {
    let of = |zone: usize| {
        let pairs = site.entries.iter().zip(&site.entry_zones);
        pairs
            .filter(|(_, z)| **z == zone)
            .map(|(e, _)| *e)
            .collect()
    };
    (0..site.zones.len()).map(of).collect()
}

/// The machine's load average over a minute, or 0 where it can't be read.
fn machine_load() -> f64 {
    let text = std::fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let first = text.split(' ').next().unwrap_or_default();
    first.parse().unwrap_or(0.0)
}
