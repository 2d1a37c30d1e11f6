//! `greengagectl timeline`: the events of all VMs in causal order.

use clap::Args;
use eyre::{eyre, Report};
use greengage_core::{Hlc, TargetName, VmName, WallTime};
use greengage_timeline::{merge, Event};
use serde_json::Value;

use crate::client::Client;

#[derive(Debug, Args)]
pub(crate) struct Timeline {
    /// Print only events of this submission, as ZONE/ACCOUNT/ID.
    #[arg(long)]
    key: Option<String>,
    /// Print only events of this target.
    #[arg(long)]
    target: Option<TargetName>,
}

impl Timeline {
    pub(crate) fn run(&self, client: &Client) -> Result<(), Report> {
        for line in self.fetch_lines(client)? {
            println!("{line}");
        }
        Ok(())
    }

    /// Selects the events of one submission.
    pub(crate) fn for_key(key: &str) -> Timeline {
        Timeline {
            key: Some(key.to_string()),
            target: None,
        }
    }

    /// Queries every VM and merges the events. A VM that doesn't answer is reported on standard
    /// error and left out; an HTTP error from a VM fails the call.
    pub(crate) fn fetch_lines(&self, client: &Client) -> Result<Vec<String>, Report> {
        let path = self.request_path()?;
        let mut event_lists = Vec::new();
        for address in client.addresses() {
            match client.request(*address, "GET", &path, None) {
                Ok(response) => event_lists.push(parse_events(&response.into_success()?)?),
                Err(error) => eprintln!("greengagectl: {error:#}; its events are left out"),
            }
        }
        Ok(merge(event_lists).iter().map(format_event).collect())
    }

    fn request_path(&self) -> Result<String, Report> {
        let mut query = Vec::new();
        if let Some(key) = &self.key {
            let parts: Vec<&str> = key.split('/').collect();
            let [zone, account, id] = parts[..] else {
                return Err(eyre!("--key {key:?} is not of the form ZONE/ACCOUNT/ID"));
            };
            query.push(format!("zone={zone}&account={account}&id={id}"));
        }
        if let Some(target) = &self.target {
            query.push(format!("target={target}"));
        }
        Ok(format!("/v1/timeline?{}", query.join("&")))
    }
}

fn parse_events(answer: &Value) -> Result<Vec<Event>, Report> {
    let list = answer["events"]
        .as_array()
        .ok_or_else(|| eyre!("the VM's answer has no events: update greengagectl"))?;
    list.iter().map(parse_event).collect()
}

fn parse_event(value: &Value) -> Result<Event, Report> {
    let text = |field: &str| value[field].as_str().unwrap_or_default();
    let target = match value["target"].as_str() {
        Some(target) => Some(TargetName::new(target)?),
        None => None,
    };
    Ok(Event {
        at: parse_timestamp(text("at"))?,
        vm: VmName::new(text("vm"))?,
        key: None,
        target,
        what: match value["key"].as_str() {
            Some(key) => format!("{key}: {}", text("what")),
            None => text("what").to_string(),
        },
    })
}

fn parse_timestamp(text: &str) -> Result<Hlc, Report> {
    let invalid = || eyre!("timestamp {text:?} can't be parsed: update greengagectl");
    let (wall, counter) = text.split_once('.').ok_or_else(invalid)?;
    Ok(Hlc {
        wall: WallTime(wall.parse().map_err(|_| invalid())?),
        counter: counter.parse().map_err(|_| invalid())?,
    })
}

fn format_event(event: &Event) -> String {
    let target = event
        .target
        .as_ref()
        .map(|target| format!(" [{target}]"))
        .unwrap_or_default();
    format!("{} {}{target} {}", event.at, event.vm, event.what)
}
