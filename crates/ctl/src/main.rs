//! `greengagectl`: the command-line tool of operators and callers.
//!
//! Most commands send one request to the first VM that answers and print its answer as JSON.
//! `timeline` queries every VM and merges their events. `try` and `target` run servers in this
//! process, and `load` runs a load test.

mod admin;
mod check;
mod evacuation;
mod keys;
mod submit;
mod target;
mod timeline;
mod trial;

use std::process::ExitCode;

use clap::{Parser, Subcommand};
use eyre::Report;
use greengagectl::{client, load};

/// Operate greengageproxy and submit work to it.
#[derive(Debug, Parser)]
#[command(name = "greengagectl", version)]
struct Args {
    /// Operator addresses (IP:PORT) of the VMs, separated by commas; the first to answer is used.
    #[arg(
        long,
        env = "GREENGAGE_ADMINS",
        default_value = "127.0.0.1:8081",
        global = true
    )]
    admins: String,

    /// Caller addresses (IP:PORT) of the VMs, separated by commas; the first to answer is used.
    #[arg(
        long,
        env = "GREENGAGE_ENTRIES",
        default_value = "127.0.0.1:8080",
        global = true
    )]
    entries: String,

    /// Control addresses (IP:PORT) of the VMs of a deployment on the users' platform, separated by
    /// commas.
    #[arg(
        long,
        env = "GREENGAGE_CONTROLS",
        default_value = "127.0.0.1:8166",
        global = true
    )]
    controls: String,

    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Create the certificates and keys of a deployment.
    #[command(subcommand)]
    Keys(keys::Command),
    /// Submit a job and print the answer.
    Submit(submit::Submit),
    /// Print the state of a job, or without one the evacuated zones as each control VM knows them.
    Status(submit::Status),
    /// Start nothing more on the targets of a zone.
    Evacuate(evacuation::Zone),
    /// Take the evacuation of a zone back.
    Restore(evacuation::Zone),
    /// Check a configuration before it is sent. Exit code 1 means warnings, 2 errors.
    Check(check::Check),
    /// Cancel a job and print its outcome.
    Cancel(submit::JobRef),
    /// Read and edit templates.
    #[command(subcommand)]
    Template(admin::Template),
    /// Read and edit the parameters of client accounts for a template.
    #[command(subcommand)]
    Params(admin::Params),
    /// List the targets of a zone.
    Targets,
    /// List the VMs.
    Vms,
    /// Check whether a configuration revision is in force on every VM.
    Revision(admin::Revision),
    /// Show and change the members of a replication group.
    #[command(subcommand)]
    Group(admin::Group),
    /// Print the timeline of all VMs, in causal order.
    Timeline(timeline::Timeline),
    /// Run a stand-in target.
    Target(target::Target),
    /// Run an open-loop load test with a seeded schedule and write a report.
    Load(load::Load),
    /// Run a small deployment in this process and show one job from end to end.
    Try,
}

fn main() -> ExitCode {
    let args = Args::parse();
    let level = env_logger::Env::new()
        .filter_or("GREENGAGE_LOG", "warn")
        .write_style("GREENGAGE_LOG_STYLE");
    env_logger::Builder::from_env(level).init();
    match run(&args) {
        Ok(code) => code,
        Err(error) => {
            eprintln!("greengagectl: {error:#}");
            ExitCode::FAILURE
        }
    }
}

fn run(args: &Args) -> Result<ExitCode, Report> {
    let admins = || client::Client::new(&args.admins, "--admins");
    let controls = || evacuation::ControlVms::new(&args.controls, "--controls");
    let entries = || client::Client::new(&args.entries, "--entries");
    match &args.command {
        Command::Check(check) => return Ok(check.run()),
        Command::Keys(command) => command.run(),
        Command::Submit(submit) => submit.run(&entries()?),
        Command::Status(status) => match status.job() {
            Some(job) => job.status(&entries()?),
            None => controls()?.status(),
        },
        Command::Evacuate(zone) => controls()?.evacuate(zone),
        Command::Restore(zone) => controls()?.restore(zone),
        Command::Cancel(job) => job.cancel(&entries()?),
        Command::Template(command) => command.run(&admins()?),
        Command::Params(command) => command.run(&admins()?),
        Command::Targets => admin::print_json(&admins()?.get("/v1/targets")?),
        Command::Vms => admin::print_json(&admins()?.get("/v1/vms")?),
        Command::Revision(command) => command.run(&admins()?),
        Command::Group(command) => command.run(&admins()?),
        Command::Timeline(command) => command.run(&admins()?),
        Command::Target(target) => target.run(&args.entries),
        Command::Load(load) => load.run(&entries()?, &admins()?),
        Command::Try => trial::run(),
    }?;
    Ok(ExitCode::SUCCESS)
}
