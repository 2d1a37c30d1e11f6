//! `greengagectl target`: runs one stand-in target.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::str::FromStr;
use std::time::Duration;

use clap::Args;
use eyre::{eyre, Report, WrapErr};
use greengage_core::{Capacity, TargetName, TemplateName, ZoneName};
use greengage_standin::{Target as StandinTarget, TargetSettings};

#[derive(Debug, Args)]
pub(crate) struct Target {
    /// Name of the target.
    #[arg(long)]
    name: TargetName,
    /// Availability zone of the target.
    #[arg(long)]
    zone: ZoneName,
    /// Template whose tasks it runs; may be given several times.
    #[arg(long = "work", required = true)]
    work: Vec<TemplateName>,
    /// Number of tasks that it runs at once.
    #[arg(long, default_value_t = 8)]
    slots: u32,
    /// Speed, from 0.01 to 100; run times of tasks are divided by it.
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Address to listen on; port 0 for any free port.
    #[arg(long, default_value = "127.0.0.1:0")]
    listen: SocketAddr,
    /// File to which a line is appended for each start.
    #[arg(long)]
    log: Option<PathBuf>,
    /// Time to run, in seconds, up to 3600.
    #[arg(long, default_value_t = 3600,
          value_parser = clap::value_parser!(u64).range(1..=3600))]
    seconds: u64,
}

impl Target {
    pub(crate) fn run(&self, entries: &str) -> Result<(), Report> {
        let parse = |text: &str| {
            SocketAddr::from_str(text.trim())
                .wrap_err_with(|| format!("--entries: {text:?} is not of the form IP:PORT"))
        };
        let entries: Result<Vec<SocketAddr>, Report> = entries.split(',').map(parse).collect();
        let work: Vec<&str> = self.work.iter().map(TemplateName::as_str).collect();
        let mut settings =
            TargetSettings::new(self.name.as_str(), self.zone.as_str(), &work, &entries?);
        if !(0.01..=100.0).contains(&self.speed) {
            return Err(eyre!(
                "--speed is {}: it must be from 0.01 to 100",
                self.speed
            ));
        }
        settings.speed = self.speed;
        settings.listen = self.listen;
        settings.log = self.log.clone();
        settings.capacity = Capacity::Executor {
            slots: self.slots,
            connections: 60,
        };
        let target = StandinTarget::start(settings)?;
        println!("target {} listens at {}", self.name, target.address());
        std::thread::sleep(Duration::from_secs(self.seconds));
        Ok(())
    }
}
