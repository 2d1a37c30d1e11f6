//! Command-line flags and environment variables of the daemon.

use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use clap::error::ErrorKind;
use clap::{CommandFactory, Parser, Subcommand, ValueEnum};
use eyre::{eyre, Report, WrapErr};
use greengage_core::VmName;
use greengage_node::{parse_vms, Limits, Settings, Tuning};

/// Scheduling policy that a zone's leader applies.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum Policy {
    /// Fair shares, shortest work first, fastest target first, and refusal of work that would miss
    /// its deadline.
    Fair,
    /// First come, first served on random targets; the reference when measuring the fair policy.
    Baseline,
}

impl Policy {
    fn tuning(self) -> Tuning {
        match self {
            Policy::Fair => Tuning::default(),
            Policy::Baseline => Tuning::baseline(),
        }
    }
}

/// Subcommands; without one, the daemon runs the VM that the flags describe.
#[derive(Clone, Copy, Debug, Subcommand)]
pub(crate) enum Command {
    /// Runs a VM of the users' platform, configured by the settings file that the platform names.
    Platform {
        /// Port at which /metrics is served.
        #[arg(long)]
        metrics: Option<u16>,

        /// IP address on which to listen for other VMs and /metrics, if it differs from the address
        /// by which other VMs reach this VM, as behind network address translation.
        #[arg(long)]
        listen: Option<IpAddr>,
    },
}

/// The dispatcher daemon of one VM.
#[derive(Debug, Parser)]
#[command(name = "greengageproxy", version)]
#[command(args_conflicts_with_subcommands = true, subcommand_negates_reqs = true)]
pub(crate) struct CommandLine {
    /// `None` runs the VM that the flags describe.
    #[command(subcommand)]
    pub(crate) command: Option<Command>,

    /// `None` when a subcommand is given.
    #[command(flatten)]
    pub(crate) args: Option<Args>,
}

impl CommandLine {
    /// Returns the flags of a VM; prints a usage error and exits if there are none.
    pub(crate) fn vm_args(self) -> Args {
        let message = "--vm, --vms and --keys are required, or the command `platform`";
        self.args.unwrap_or_else(|| {
            CommandLine::command()
                .error(ErrorKind::MissingRequiredArgument, message)
                .exit()
        })
    }
}

/// Flags that describe one VM.
#[derive(Debug, clap::Args)]
pub(crate) struct Args {
    /// Name of this VM, as in --vms.
    #[arg(long, env = "GREENGAGE_VM")]
    vm: VmName,

    /// All VMs of the deployment, the same list on each: NAME=ZONE=IP:PORT=ROLES, separated by
    /// commas. ROLES is one or more of entry, control, ledger and witness:ZONE, joined by +.
    #[arg(long, env = "GREENGAGE_VMS")]
    vms: String,

    /// Address for callers and targets.
    #[arg(long, env = "GREENGAGE_HTTP", default_value = "127.0.0.1:8080")]
    http: SocketAddr,

    /// Address for operators, metrics and health checks.
    #[arg(long, env = "GREENGAGE_ADMIN", default_value = "127.0.0.1:8081")]
    admin: SocketAddr,

    /// Data folder; needed for the roles control, ledger and witness.
    #[arg(long, env = "GREENGAGE_DATA")]
    data: Option<PathBuf>,

    /// Folder with authority.pem, vm.pem and vm.key, made by `greengagectl keys`.
    #[arg(long, env = "GREENGAGE_KEYS")]
    keys: PathBuf,

    /// Relative amount of traffic that this VM can take, from 1 to 1000.
    #[arg(long, env = "GREENGAGE_WEIGHT", default_value_t = 100,
          value_parser = clap::value_parser!(u32).range(1..=1000))]
    weight: u32,

    /// Time limit of a shutdown, in seconds, from 1 to 3600.
    #[arg(long, env = "GREENGAGE_DRAIN_LIMIT", default_value_t = 60,
          value_parser = clap::value_parser!(u64).range(1..=3600))]
    drain_limit: u64,

    /// How long a closed submission is kept, in seconds, from 1 to 604800.
    #[arg(long, env = "GREENGAGE_RETENTION", default_value_t = 3600,
          value_parser = clap::value_parser!(u64).range(1..=604_800))]
    retention: u64,

    /// Limit of concurrent calls to targets, from 1 to 20000.
    #[arg(long, env = "GREENGAGE_CALLS", default_value_t = 2048,
          value_parser = clap::value_parser!(u32).range(1..=20_000))]
    calls: u32,

    /// Delay added to each synced write, in milliseconds, to simulate a slower disk, up to 1000.
    #[arg(long, env = "GREENGAGE_SYNC_DELAY", default_value_t = 0,
          value_parser = clap::value_parser!(u64).range(0..=1000))]
    sync_delay: u64,

    /// Number of applied log entries after which a log is compacted, from 100 to 10000000.
    #[arg(long, env = "GREENGAGE_COMPACT", default_value_t = 10_000,
          value_parser = clap::value_parser!(u64).range(100..=10_000_000))]
    compact: u64,

    /// Start elections without a pre-vote round, to measure what pre-vote prevents.
    #[arg(long, env = "GREENGAGE_NO_PRE_VOTE")]
    no_pre_vote: bool,

    /// Scheduling policy, the same on all VMs of a zone; baseline is for comparisons only.
    #[arg(long, env = "GREENGAGE_POLICY", default_value = "fair")]
    policy: Policy,

    /// Prepare the data folder of a VM in a new deployment, then exit. Don't prepare a folder that
    /// replaces a lost one: the VM creates it, and it has to be added as a new member.
    #[arg(long)]
    pub(crate) init: bool,

    /// Validate all settings and files, then exit.
    #[arg(long)]
    pub(crate) check: bool,
}

impl Args {
    /// Validates the flags. Fails if --vms can't be parsed, if --http equals --admin, or if --vms
    /// doesn't list this VM.
    pub(crate) fn settings(&self) -> Result<Settings, Report> {
        let vms = parse_vms(&self.vms)?;
        if self.http == self.admin && self.http.port() != 0 {
            return Err(eyre!(
                "--http and --admin are both {}: give each its own address",
                self.http
            ));
        }
        let mut limits = Limits {
            retention: Duration::from_secs(self.retention),
            compact_after: self.compact,
            tuning: self.policy.tuning(),
            ..Limits::default()
        };
        limits.timing.pre_vote = !self.no_pre_vote;
        let settings = Settings {
            vm: self.vm.clone(),
            vms,
            http: self.http,
            admin: self.admin,
            data_folder: self.data.clone(),
            keys_folder: self.keys.clone(),
            weight: self.weight,
            drain_limit: Duration::from_secs(self.drain_limit),
            sync_delay: Duration::from_millis(self.sync_delay),
            max_calls: self.calls as usize,
            limits,
        };
        settings.own_entry().wrap_err("invalid settings")?;
        Ok(settings)
    }
}
