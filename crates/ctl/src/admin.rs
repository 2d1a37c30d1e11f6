//! Operator commands that send requests to one VM: templates, parameters, revisions and groups.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use eyre::{eyre, Report, WrapErr};
use greengage_core::{AccountName, Name, TemplateName, VmName};
use serde_json::{json, Value};

use crate::client::Client;

const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Prints a JSON value, indented, on standard output.
pub(crate) fn print_json(value: &Value) -> Result<(), Report> {
    println!("{}", serde_json::to_string_pretty(value)?);
    Ok(())
}

/// The fields that every edit of the configuration has.
#[derive(Debug, Args)]
pub(crate) struct EditArgs {
    /// Version of the document that the edit is based on; 0 for a new document.
    #[arg(long)]
    from: u64,
    /// Operation id; give the same one again to retry an edit whose answer was lost.
    #[arg(long)]
    op: Name,
}

impl EditArgs {
    fn body(&self) -> Value {
        json!({"op": self.op.as_str(), "from": self.from})
    }

    fn body_with_file(&self, file: &PathBuf) -> Result<Value, Report> {
        let text = std::fs::read_to_string(file)
            .wrap_err_with(|| format!("--file {} can't be read", file.display()))?;
        let content: Value = serde_json::from_str(&text)
            .wrap_err_with(|| format!("--file {} is not valid JSON", file.display()))?;
        let mut body = self.body();
        body["content"] = content;
        Ok(body)
    }
}

#[derive(Debug, Subcommand)]
pub(crate) enum Template {
    /// List all templates and parameters.
    List,
    /// Print a template.
    Get {
        /// Name of the template.
        name: TemplateName,
        /// Read this VM's copy, which may be stale; works without a reachable control group.
        #[arg(long)]
        local: bool,
    },
    /// Create or replace a template.
    Put {
        /// Name of the template.
        name: TemplateName,
        /// File with the new content as JSON.
        #[arg(long)]
        file: PathBuf,
        #[command(flatten)]
        edit: EditArgs,
    },
    /// Remove a template.
    Delete {
        /// Name of the template.
        name: TemplateName,
        #[command(flatten)]
        edit: EditArgs,
    },
}

impl Template {
    pub(crate) fn run(&self, client: &Client) -> Result<(), Report> {
        let answer = match self {
            Template::List => client.get("/v1/templates")?,
            Template::Get { name, local } => {
                client.get(&format!("/v1/templates/{name}?current={}", !local))?
            }
            Template::Put { name, file, edit } => {
                let path = format!("/v1/templates/{name}");
                let body = edit.body_with_file(file)?;
                client
                    .request_any("PUT", &path, Some(&body))?
                    .into_success()?
            }
            Template::Delete { name, edit } => {
                let path = format!("/v1/templates/{name}");
                let body = edit.body();
                client
                    .request_any("DELETE", &path, Some(&body))?
                    .into_success()?
            }
        };
        print_json(&answer)
    }
}

#[derive(Debug, Subcommand)]
pub(crate) enum Params {
    /// Print an account's parameters.
    Get {
        /// Name of the template.
        template: TemplateName,
        /// Name of the client account.
        account: AccountName,
        /// Read this VM's copy, which may be stale; works without a reachable control group.
        #[arg(long)]
        local: bool,
    },
    /// Create or replace an account's parameters.
    Put {
        /// Name of the template.
        template: TemplateName,
        /// Name of the client account.
        account: AccountName,
        /// File with the new content as JSON.
        #[arg(long)]
        file: PathBuf,
        #[command(flatten)]
        edit: EditArgs,
    },
    /// Remove an account's parameters.
    Delete {
        /// Name of the template.
        template: TemplateName,
        /// Name of the client account.
        account: AccountName,
        #[command(flatten)]
        edit: EditArgs,
    },
}

impl Params {
    pub(crate) fn run(&self, client: &Client) -> Result<(), Report> {
        let path = |template: &TemplateName, account: &AccountName| {
            format!("/v1/templates/{template}/params/{account}")
        };
        let answer = match self {
            Params::Get {
                template,
                account,
                local,
            } => client.get(&format!("{}?current={}", path(template, account), !local))?,
            Params::Put {
                template,
                account,
                file,
                edit,
            } => {
                let body = edit.body_with_file(file)?;
                let path = path(template, account);
                client
                    .request_any("PUT", &path, Some(&body))?
                    .into_success()?
            }
            Params::Delete {
                template,
                account,
                edit,
            } => {
                let path = path(template, account);
                client
                    .request_any("DELETE", &path, Some(&edit.body()))?
                    .into_success()?
            }
        };
        print_json(&answer)
    }
}

#[derive(Debug, Args)]
pub(crate) struct Revision {
    /// Lowest revision that must be in force; the highest that any VM reports if not given.
    #[arg(long)]
    at_least: Option<u64>,
    /// Longest time to wait until it is in force on every VM, in seconds.
    #[arg(long, default_value_t = 0)]
    wait: u64,
}

impl Revision {
    pub(crate) fn run(&self, client: &Client) -> Result<(), Report> {
        let deadline = Instant::now() + Duration::from_secs(self.wait);
        loop {
            let vms = client.get("/v1/vms")?;
            let revisions = vm_revisions(&vms)?;
            let highest = revisions.iter().map(|vm| vm.revision).max().unwrap_or(0);
            let required = self.at_least.unwrap_or(highest);
            let lagging: Vec<&VmRevision> = revisions
                .iter()
                .filter(|vm| !vm.alive || vm.revision < required)
                .collect();
            if lagging.is_empty() {
                println!(
                    "revision {required} is in force on all {} VMs",
                    revisions.len()
                );
                return Ok(());
            }
            if Instant::now() >= deadline {
                for vm in &revisions {
                    println!("{vm}");
                }
                return Err(eyre!(
                    "revision {required} is not in force on {} of {} VMs: wait longer, or check \
                     the VMs listed above",
                    lagging.len(),
                    revisions.len()
                ));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }
}

struct VmRevision {
    vm: String,
    revision: u64,
    alive: bool,
}

impl std::fmt::Display for VmRevision {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let reporting = match self.alive {
            true => "reports",
            false => "does not report",
        };
        write!(f, "{}: revision {}, {reporting}", self.vm, self.revision)
    }
}

fn vm_revisions(vms: &Value) -> Result<Vec<VmRevision>, Report> {
    let list = vms["vms"]
        .as_array()
        .ok_or_else(|| eyre!("the VM's answer has no list of VMs: update greengagectl"))?;
    let vm_revision = |vm: &Value| VmRevision {
        vm: vm["vm"].as_str().unwrap_or("?").to_string(),
        revision: vm["revision"].as_u64().unwrap_or(0),
        alive: vm["alive"].as_bool().unwrap_or(false),
    };
    Ok(list.iter().map(vm_revision).collect())
}

/// A group and one of its members.
#[derive(Debug, Args)]
pub(crate) struct MemberArgs {
    /// Name of the group: control, or ledger-ZONE.
    group: String,
    /// Name of the VM.
    vm: VmName,
    /// Id of the VM's data folder in hexadecimal, as `greengagectl vms` shows it.
    #[arg(long, value_parser = parse_folder_id)]
    folder: u64,
}

impl MemberArgs {
    fn to_json(&self) -> Value {
        json!(format!("{}#{:x}", self.vm, self.folder))
    }
}

fn parse_folder_id(text: &str) -> Result<u64, String> {
    u64::from_str_radix(text, 16).map_err(|_| {
        "expected up to 16 hexadecimal digits, as `greengagectl vms` shows them".to_string()
    })
}

#[derive(Debug, Subcommand)]
pub(crate) enum Group {
    /// Print a group's members and leader.
    Show {
        /// Name of the group: control, or ledger-ZONE.
        group: String,
    },
    /// Add a learner: a member that stores the log without voting.
    Add(MemberArgs),
    /// Turn a learner that has caught up into a voter.
    Promote {
        #[command(flatten)]
        member: MemberArgs,
        /// Make it a witness, which votes but hands leadership to a voter that has caught up.
        #[arg(long)]
        witness: bool,
    },
    /// Remove a member.
    Remove(MemberArgs),
    /// Transfer leadership to another voter.
    Transfer {
        /// Name of the group: control, or ledger-ZONE.
        group: String,
    },
}

impl Group {
    pub(crate) fn run(&self, client: &Client) -> Result<(), Report> {
        let answer = match self {
            Group::Show { group } => client.get(&format!("/v1/groups/{group}"))?,
            Group::Add(member) => {
                post_change(client, member, json!({"add_learner": member.to_json()}))?
            }
            Group::Promote { member, witness } => {
                let voter_kind = match witness {
                    true => "witness",
                    false => "voter",
                };
                let body = json!({"promote": member.to_json(), "seat": voter_kind});
                post_change(client, member, body)?
            }
            Group::Remove(member) => {
                post_change(client, member, json!({"remove": member.to_json()}))?
            }
            Group::Transfer { group } => {
                let path = format!("/v1/groups/{group}/transfer");
                client
                    .request_any("POST", &path, Some(&json!({})))?
                    .into_success()?
            }
        };
        print_json(&answer)
    }
}

fn post_change(client: &Client, member: &MemberArgs, body: Value) -> Result<Value, Report> {
    let path = format!("/v1/groups/{}/change", member.group);
    client
        .request_any("POST", &path, Some(&body))?
        .into_success()
}
