//! `greengagectl submit`, `status` and `cancel`.

use std::path::PathBuf;

use clap::Args;
use eyre::{Report, WrapErr};
use greengage_core::{AccountName, Name, TemplateName, ZoneName};
use serde_json::{json, Value};

use crate::admin::print_json;
use crate::client::Client;

#[derive(Debug, Args)]
pub(crate) struct Submit {
    /// Client account that submits the job.
    #[arg(long)]
    account: AccountName,
    /// Template of the job.
    #[arg(long)]
    template: TemplateName,
    /// Caller's id of the job; give the same one again to resubmit the job.
    #[arg(long)]
    id: Name,
    /// Home zone; chosen by a hash of account and id if not given.
    #[arg(long)]
    zone: Option<ZoneName>,
    /// Task as JSON; may be given several times.
    #[arg(long = "task")]
    tasks: Vec<String>,
    /// File with a JSON list of tasks, which are added after those of --task.
    #[arg(long)]
    file: Option<PathBuf>,
    /// Longest time to wait for the outcome, in milliseconds.
    #[arg(long, default_value_t = 30_000)]
    wait_ms: u64,
}

impl Submit {
    pub(crate) fn run(&self, client: &Client) -> Result<(), Report> {
        let body = json!({
            "account": self.account.as_str(),
            "template": self.template.as_str(),
            "id": self.id.as_str(),
            "tasks": self.tasks()?,
        });
        let mut body = body;
        if let Some(zone) = &self.zone {
            body["zone"] = zone.as_str().into();
        }
        let path = format!("/v1/jobs?wait_ms={}", self.wait_ms);
        print_json(
            &client
                .request_any("POST", &path, Some(&body))?
                .into_success()?,
        )
    }

    fn tasks(&self) -> Result<Vec<Value>, Report> {
        let mut tasks = Vec::new();
        for task in &self.tasks {
            let value = serde_json::from_str(task)
                .wrap_err_with(|| format!("--task {task:?} is not valid JSON"))?;
            tasks.push(value);
        }
        if let Some(file) = &self.file {
            let text = std::fs::read_to_string(file)
                .wrap_err_with(|| format!("--file {} can't be read", file.display()))?;
            let file_tasks: Vec<Value> = serde_json::from_str(&text)
                .wrap_err_with(|| format!("--file {} is not a JSON list", file.display()))?;
            tasks.extend(file_tasks);
        }
        Ok(tasks)
    }
}

#[derive(Debug, Args)]
pub(crate) struct Status {
    /// Home zone of the job.
    #[arg(requires = "id")]
    zone: Option<ZoneName>,
    /// Client account that submitted the job.
    account: Option<AccountName>,
    /// Id under which the job was submitted.
    id: Option<Name>,
    /// Longest time to wait for the job to end, in milliseconds.
    #[arg(long, default_value_t = 0)]
    wait_ms: u64,
}

impl Status {
    /// The job whose state is asked for; `None` if none is named.
    pub(crate) fn job(&self) -> Option<JobRef> {
        Some(JobRef {
            zone: self.zone.clone()?,
            account: self.account.clone()?,
            id: self.id.clone()?,
            wait_ms: self.wait_ms,
        })
    }
}

#[derive(Debug, Args)]
pub(crate) struct JobRef {
    /// Home zone of the job.
    zone: ZoneName,
    /// Client account that submitted the job.
    account: AccountName,
    /// Id under which the job was submitted.
    id: Name,
    /// Longest time to wait for the job to end, in milliseconds.
    #[arg(long, default_value_t = 0)]
    wait_ms: u64,
}

impl JobRef {
    fn path(&self) -> String {
        format!(
            "/v1/jobs/{}/{}/{}?wait_ms={}",
            self.zone, self.account, self.id, self.wait_ms
        )
    }

    pub(crate) fn status(&self, client: &Client) -> Result<(), Report> {
        print_json(
            &client
                .request_any("GET", &self.path(), None)?
                .into_success()?,
        )
    }

    pub(crate) fn cancel(&self, client: &Client) -> Result<(), Report> {
        print_json(
            &client
                .request_any("DELETE", &self.path(), None)?
                .into_success()?,
        )
    }
}
