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
    /// The client account.
    #[arg(long)]
    account: AccountName,
    /// The template.
    #[arg(long)]
    template: TemplateName,
    /// The caller's id; the same for each resubmission.
    #[arg(long)]
    id: Name,
    /// The home zone; without it a hash of account and id names one.
    #[arg(long)]
    zone: Option<ZoneName>,
    /// A task as JSON; may be given several times.
    #[arg(long = "task")]
    tasks: Vec<String>,
    /// A file with a JSON list of tasks.
    #[arg(long)]
    file: Option<PathBuf>,
    /// How long to wait for the answer, in milliseconds.
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
                .wrap_err_with(|| format!("--task {task:?} is no JSON; correct it"))?;
            tasks.push(value);
        }
        if let Some(file) = &self.file {
            let text = std::fs::read_to_string(file)
                .wrap_err_with(|| format!("--file {} can't be read", file.display()))?;
            let file_tasks: Vec<Value> = serde_json::from_str(&text)
                .wrap_err_with(|| format!("--file {} is no JSON list", file.display()))?;
            tasks.extend(file_tasks);
        }
        Ok(tasks)
    }
}

#[derive(Debug, Args)]
pub(crate) struct JobRef {
    /// The home zone.
    zone: ZoneName,
    /// The client account.
    account: AccountName,
    /// The caller's id.
    id: Name,
    /// How long to wait for the end of the job, in milliseconds.
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
