//! `greengagectl check`: checks a configuration before it is sent.
//!
//! Exit code 0: nothing was found; 1: there are warnings; 2: a VM would reject the configuration, or
//! the check can't be made. Differences from the version in force don't count.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use clap::Args;
use eyre::{eyre, Report, WrapErr};
use greengage_budget::Shares;
use greengage_config::{differences, Bounds, Change, Difference, Document, Finding, SHORTEST_RUN};
use greengage_platform::{check_document, decode_document, PlatformSettings, CONFIGURATION_PATH};
use serde_json::{json, Value};

use crate::admin::print_json;
use crate::evacuation::ControlVms;

/// How long a VM may take to tell the configuration in force.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(10);

/// Exit code if the configuration has warnings only.
const WARNINGS: u8 = 1;
/// Exit code if a VM rejects the configuration or the check can't be made.
const ERRORS: u8 = 2;

#[derive(Debug, Args)]
pub(crate) struct Check {
    /// File with the configuration.
    file: PathBuf,
    /// Configuration in force: the control address (IP:PORT) of a VM, or a file.
    #[arg(long, value_name = "ADDRESS|FILE")]
    against: Option<String>,
    /// Settings file of a VM, which tells the memory that it has for bodies: of jobs on an entry VM, of
    /// configurations on a control VM. May be given several times; the least memory counts.
    #[arg(long, value_name = "FILE")]
    settings: Vec<PathBuf>,
    /// Shortest run time of the tasks, in milliseconds.
    #[arg(long, value_name = "MS", default_value_t = SHORTEST_RUN.as_millis() as u64,
          value_parser = clap::value_parser!(u64).range(1..=86_400_000))]
    shortest_run: u64,
    /// Services that have targets, separated by commas; queues of others are reported.
    #[arg(long, value_name = "SERVICES", value_delimiter = ',')]
    served: Option<Vec<String>>,
    /// Print one JSON object.
    #[arg(long)]
    json: bool,
}

impl Check {
    pub(crate) fn run(&self) -> ExitCode {
        match self.check() {
            Ok(code) => ExitCode::from(code),
            Err(error) => {
                eprintln!("greengagectl: {error:#}");
                ExitCode::from(ERRORS)
            }
        }
    }

    fn check(&self) -> Result<u8, Report> {
        let body = read(&self.file)?;
        // Largest bodies of all VMs.
        let mut control = Shares::new(None, None);
        let mut job_body = control.body;
        for path in &self.settings {
            let settings = PlatformSettings::read(path)?;
            let body = settings.shares().body;
            if settings.front().is_some() {
                job_body = job_body.min(body);
            }
            if settings.control().is_some() {
                control.body = control.body.min(body);
            }
        }
        let served = self.served.as_ref().map(|names| {
            let mut names: Vec<Arc<str>> = names.iter().map(|name| (**name).into()).collect();
            names.sort();
            names
        });
        let bounds = Bounds {
            shortest_run: Duration::from_millis(self.shortest_run),
            body: job_body as u64,
            served,
        };
        let in_force = match &self.against {
            Some(place) => Some(configuration_at(place)?),
            None => None,
        };
        let checked = check_document(body, &bounds, &control, in_force.as_ref());
        let changes = match (&in_force, &checked.document) {
            (Some(old), Some(new)) => differences(old, new),
            _ => Vec::new(),
        };
        match self.json {
            true => self.print_json(&checked.findings, &changes)?,
            false => self.print_lines(&checked.findings, &changes),
        }
        Ok(match (checked.is_rejected(), checked.findings.is_empty()) {
            (true, _) => ERRORS,
            (false, false) => WARNINGS,
            (false, true) => 0,
        })
    }

    fn print_lines(&self, findings: &[(usize, Finding)], changes: &[Difference]) {
        for (line, finding) in findings {
            let (file, severity) = (self.file.display(), severity(finding));
            println!("{file}:{line}: {severity}: {}", finding.problem);
        }
        for change in changes {
            println!("{change}");
        }
    }

    fn print_json(
        &self,
        findings: &[(usize, Finding)],
        changes: &[Difference],
    ) -> Result<(), Report> {
        let findings = findings.iter().map(|(line, finding)| {
            json!({
                "line": line,
                "severity": severity(finding),
                "code": finding.problem.code(),
                "message": finding.problem.to_string(),
            })
        });
        print_json(&json!({
            "file": self.file.display().to_string(),
            "findings": findings.collect::<Vec<_>>(),
            "differences": changes.iter().map(difference_json).collect::<Vec<_>>(),
        }))
    }
}

fn severity(finding: &Finding) -> &'static str {
    match finding.problem.is_error() {
        true => "error",
        false => "warning",
    }
}

fn difference_json(difference: &Difference) -> Value {
    let entry = &difference.entry;
    match &difference.change {
        Change::Added => json!({"entry": entry, "change": "added"}),
        Change::Removed => json!({"entry": entry, "change": "removed"}),
        Change::Set { field, from, to } => {
            json!({"entry": entry, "change": "set", "field": field, "from": from, "to": to})
        }
    }
}

fn read(path: &PathBuf) -> Result<Vec<u8>, Report> {
    std::fs::read(path).wrap_err_with(|| format!("{} can't be read", path.display()))
}

/// Reads the configuration in force from a VM or a file.
fn configuration_at(place: &str) -> Result<Document, Report> {
    let text = match place.parse::<SocketAddr>() {
        Ok(address) => {
            let vms = ControlVms::at(vec![address], ANSWER_TIMEOUT);
            match vms.request_text(address, "GET", CONFIGURATION_PATH)? {
                (200, text) => text.into_bytes(),
                (status, text) => {
                    return Err(eyre!(
                        "{address} does not tell the configuration in force: HTTP status {status}: \
                         {text}"
                    ))
                }
            }
        }
        Err(_) => read(&place.into())
            .wrap_err("--against is neither an address (IP:PORT) nor a file that can be read")?,
    };
    decode_document(text).wrap_err_with(|| format!("the configuration of {place} is invalid"))
}
