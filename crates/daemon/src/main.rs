//! `greengageproxy`: the daemon that runs on every entry VM.
//!
//! Reads and validates its settings from flags and environment variables, starts the VM and waits
//! for a signal. The first SIGTERM or SIGINT starts draining; a second one, or the drain limit,
//! ends the process at once and aborts the requests that are still open.

mod args;

use std::process::ExitCode;

use clap::Parser;
use eyre::{Report, WrapErr};
use greengage_node::{check_settings, prepare_data_folder, Node, Settings};
use signal_hook::consts::{SIGINT, SIGTERM};
use signal_hook::iterator::Signals;

use args::{Args, Command, CommandLine};

/// Exit code for invalid settings, unusable files and other errors that end the daemon.
const EXIT_SETTINGS: u8 = 2;
/// Exit code for a shutdown that aborted requests.
const EXIT_ABORTED_REQUESTS: u8 = 3;

fn main() -> ExitCode {
    let command_line = CommandLine::parse();
    if let Some(command) = command_line.command {
        return run_command(command);
    }
    let args = command_line.vm_args();
    let log_env = env_logger::Env::new()
        .filter_or("GREENGAGE_LOG", "info")
        .write_style("GREENGAGE_LOG_STYLE");
    env_logger::Builder::from_env(log_env).init();
    match run(&args) {
        Ok(0) => ExitCode::SUCCESS,
        Ok(aborted) => {
            log::error!("shutdown aborted {aborted} open requests");
            ExitCode::from(EXIT_ABORTED_REQUESTS)
        }
        Err(error) => {
            eprintln!("greengageproxy: {error:#}");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

fn run_command(command: Command) -> ExitCode {
    let result = match command {
        Command::Platform { metrics, listen } => greengage_platform::run(metrics, listen),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("the daemon stopped on an error: {error:#}");
            eprintln!("greengageproxy: {error:#}");
            ExitCode::from(EXIT_SETTINGS)
        }
    }
}

/// Runs the VM until it has shut down; returns the number of aborted requests.
fn run(args: &Args) -> Result<usize, Report> {
    let settings = args.settings()?;
    if args.init {
        prepare_data_folder(&settings).wrap_err("cannot prepare the data folder")?;
        println!("data folder prepared for VM {}", settings.vm);
        return Ok(0);
    }
    if args.check {
        check_settings(&settings).wrap_err("the settings are not usable")?;
        println!("settings of VM {} are valid", settings.vm);
        return Ok(0);
    }
    serve(settings)
}

fn serve(settings: Settings) -> Result<usize, Report> {
    let mut signals =
        Signals::new([SIGTERM, SIGINT]).wrap_err("cannot install the signal handlers")?;
    let vm = settings.vm.clone();
    let node = Node::start(settings).wrap_err("cannot start the VM")?;
    log::info!(
        "VM {vm} listens for callers at {} and for operators at {}",
        node.http_address(),
        node.admin_address()
    );
    let shutdown_handle = node.shutdown_handle();
    std::thread::Builder::new()
        .name("signals".to_string())
        .spawn(move || {
            for (index, signal) in signals.forever().enumerate() {
                match index {
                    0 => {
                        log::info!("received signal {signal}; draining");
                        shutdown_handle.drain();
                    }
                    _ => {
                        log::warn!("received signal {signal} while draining; ending at once");
                        shutdown_handle.abort();
                    }
                }
            }
        })
        .wrap_err("cannot start the signal thread")?;
    let aborted = node
        .wait()
        .inspect_err(|error| log::error!("VM {vm} has failed: {error}"))?;
    log::info!("VM {vm} has shut down");
    Ok(aborted)
}
