//! `greengagectl timeline`: the events of all VMs in causal order.

use clap::Args;
use eyre::{eyre, Report};
use greengage_core::{Hlc, TargetName, VmName, Wall};
use greengage_timeline::{merge, Event};
use serde_json::Value;

use crate::client::Client;

#[derive(Debug, Args)]
pub(crate) struct Timeline {
    /// Only events of this submission, as ZONE/ACCOUNT/ID.
    #[arg(long)]
    key: Option<String>,
    /// Only events of this target.
    #[arg(long)]
    target: Option<TargetName>,
}

impl Timeline {
    pub(crate) fn run(&self, client: &Client) -> Result<(), Report> {
        for line in self.lines(client)? {
            println!("{line}");
        }
        Ok(())
    }

    /// A filter for one submission.
    pub(crate) fn of_key(key: &str) -> Timeline {
        Timeline {
            key: Some(key.to_string()),
            target: None,
        }
    }

    /// Asks every VM and merges; a VM that doesn't answer is named on standard error.
    pub(crate) fn lines(&self, client: &Client) -> Result<Vec<String>, Report> {
        let path = self.path()?;
        let mut parts = Vec::new();
        for address in client.addresses() {
            match client.ask(*address, "GET", &path, None) {
                Ok(answer) => parts.push(events(&answer.success()?)?),
                Err(error) => eprintln!("greengagectl: {error:#}; its events are missing"),
            }
        }
        Ok(merge(parts).iter().map(line).collect())
    }

    fn path(&self) -> Result<String, Report> {
        let mut query = Vec::new();
        if let Some(key) = &self.key {
            let parts: Vec<&str> = key.split('/').collect();
            let [zone, account, id] = parts[..] else {
                return Err(eyre!("--key {key:?} is no ZONE/ACCOUNT/ID: correct it"));
            };
            query.push(format!("zone={zone}&account={account}&id={id}"));
        }
        if let Some(target) = &self.target {
            query.push(format!("target={target}"));
        }
        Ok(format!("/v1/timeline?{}", query.join("&")))
    }
}

fn events(answer: &Value) -> Result<Vec<Event>, Report> {
    let list = answer["events"]
        .as_array()
        .ok_or_else(|| eyre!("the VM's answer has no events: update greengagectl"))?;
    list.iter().map(event).collect()
}

fn event(value: &Value) -> Result<Event, Report> {
    let text = |field: &str| value[field].as_str().unwrap_or_default();
    let target = match value["target"].as_str() {
        Some(target) => Some(TargetName::new(target)?),
        None => None,
    };
    Ok(Event {
        at: stamp(text("at"))?,
        vm: VmName::new(text("vm"))?,
        key: None,
        target,
        what: match value["key"].as_str() {
            Some(key) => format!("{key}: {}", text("what")),
            None => text("what").to_string(),
        },
    })
}

fn stamp(text: &str) -> Result<Hlc, Report> {
    let wrong = || eyre!("the stamp {text:?} can't be read: update greengagectl");
    let (wall, count) = text.split_once('.').ok_or_else(wrong)?;
    Ok(Hlc {
        wall: Wall(wall.parse().map_err(|_| wrong())?),
        count: count.parse().map_err(|_| wrong())?,
    })
}

fn line(event: &Event) -> String {
    let target = event
        .target
        .as_ref()
        .map(|target| format!(" [{target}]"))
        .unwrap_or_default();
    format!("{} {}{target} {}", event.at, event.vm, event.what)
}
