//! Reads and writes the JSON form of capacities, templates, parameters and group membership.

use greengage_agreement::{Change, Config, MemberRole, Role, Status};
use greengage_core::{Capacity, Demand, Name, NodeId, Spread, TargetKind, VmName};
use greengage_policy::{Param, ParamKind, ParamValue, Params, Template};
use serde_json::value::RawValue;
use serde_json::{json, Value};

use crate::json::{DocumentError, Fields};

/// Reads a resource demand; absent fields are 0.
pub(crate) fn read_demand(mut fields: Fields<'_>) -> Result<Demand, DocumentError> {
    let demand = Demand {
        milli_cores: fields.u32("milli_cores")?.unwrap_or(0),
        memory_mib: fields.u32("memory_mib")?.unwrap_or(0),
        accelerators: fields.u32("accelerators")?.unwrap_or(0),
    };
    fields.finish()?;
    Ok(demand)
}

pub(crate) fn demand_json(demand: &Demand) -> Value {
    json!({
        "milli_cores": demand.milli_cores,
        "memory_mib": demand.memory_mib,
        "accelerators": demand.accelerators,
    })
}

/// Reads `{"executor": {…}}` or `{"worker": {…}}`.
pub(crate) fn read_capacity(mut fields: Fields<'_>) -> Result<Capacity, DocumentError> {
    let executor = fields.object("executor")?;
    let worker = fields.object("worker")?;
    let capacity = match (executor, worker) {
        (Some(mut executor), None) => {
            let capacity = Capacity::Executor {
                slots: executor.required_u32("slots")?,
                connections: executor.required_u32("connections")?,
            };
            executor.finish()?;
            capacity
        }
        (None, Some(worker)) => Capacity::Worker(read_demand(worker)?),
        _ => return Err(fields.invalid("executor", "or \"worker\" must be given, and only one")),
    };
    fields.finish()?;
    Ok(capacity)
}

pub(crate) fn capacity_json(capacity: &Capacity) -> Value {
    match capacity {
        Capacity::Executor { slots, connections } => {
            json!({"executor": {"slots": slots, "connections": connections}})
        }
        Capacity::Worker(resources) => json!({"worker": demand_json(resources)}),
    }
}

const TARGET_KINDS: [(&str, TargetKind); 2] = [
    ("executor", TargetKind::Executor),
    ("worker", TargetKind::Worker),
];
const SPREADS: [(&str, Spread); 2] = [("any", Spread::Any), ("racks", Spread::Racks)];
const PARAM_KINDS: [(&str, ParamKind); 3] = [
    ("integer", ParamKind::Integer),
    ("text", ParamKind::Text),
    ("boolean", ParamKind::Boolean),
];

fn choice_name<T: PartialEq>(choices: &[(&'static str, T)], value: T) -> &'static str {
    choices
        .iter()
        .find(|(_, v)| *v == value)
        .map_or("unknown", |(text, _)| text)
}

/// Defaults for absent fields of templates and parameters.
mod default {
    pub(super) const DEADLINE_MS: u64 = 30_000;
    pub(super) const RETRIES: u32 = 2;
    pub(super) const MAX_TASKS: u32 = 1200;
    pub(super) const EXPECTED_MS: u64 = 200;
    pub(super) const WEIGHT: u32 = 1;
    pub(super) const QUOTA: u32 = 10_000;
    pub(super) const CONCURRENCY: u32 = 1000;
    pub(super) const BURST: u32 = 0;
}

/// Reads a template; requires only `target` and, for workers, `demand`.
pub fn read_template(mut fields: Fields<'_>) -> Result<Template, DocumentError> {
    let target = match fields.choice("target", &TARGET_KINDS)? {
        Some(target) => target,
        None => return Err(fields.invalid("target", "is missing: give \"executor\" or \"worker\"")),
    };
    let task_demand = fields.object("demand")?.map(read_demand).transpose()?;
    let task_demand = match (target, task_demand) {
        (TargetKind::Worker, None) => {
            let problem = "is missing: give the resources that one task needs on a worker";
            return Err(fields.invalid("demand", problem));
        }
        (_, task_demand) => task_demand.unwrap_or_default(),
    };
    let repeatable = fields.boolean("repeatable")?.unwrap_or(false);
    let default_retries = if repeatable { default::RETRIES } else { 0 };
    let template = Template {
        target,
        demand: task_demand,
        spread: fields.choice("spread", &SPREADS)?.unwrap_or_default(),
        deadline_ms: fields.u64("deadline_ms")?.unwrap_or(default::DEADLINE_MS),
        repeatable,
        retries: fields.u32("retries")?.unwrap_or(default_retries),
        max_tasks: fields.u32("max_tasks")?.unwrap_or(default::MAX_TASKS),
        expected_ms: fields.u64("expected_ms")?.unwrap_or(default::EXPECTED_MS),
        params: fields.map("params", Name::new, read_param)?,
    };
    fields.finish()?;
    Ok(template)
}

fn read_param(raw: &RawValue, path: &str) -> Result<Param, DocumentError> {
    let mut fields = Fields::from_raw(raw, path)?;
    let kind = match fields.choice("kind", &PARAM_KINDS)? {
        Some(kind) => kind,
        None => {
            let problem = "is missing: give \"integer\", \"text\" or \"boolean\"";
            return Err(fields.invalid("kind", problem));
        }
    };
    let default = fields
        .raw("default")
        .map(|raw| read_value(raw, &format!("{path}.default")))
        .transpose()?;
    fields.finish()?;
    Ok(Param { kind, default })
}

pub(crate) fn read_value(raw: &RawValue, path: &str) -> Result<ParamValue, DocumentError> {
    let value = match serde_json::from_str(raw.get()) {
        Ok(Value::Bool(value)) => Some(ParamValue::Boolean(value)),
        Ok(Value::String(value)) => Some(ParamValue::Text(value)),
        Ok(Value::Number(value)) => value.as_i64().map(ParamValue::Integer),
        _ => None,
    };
    value.ok_or_else(|| DocumentError {
        field: path.to_string(),
        problem: "must be a 64-bit integer, a string, true or false: change it".to_string(),
    })
}

pub(crate) fn value_json(value: &ParamValue) -> Value {
    match value {
        ParamValue::Integer(value) => json!(value),
        ParamValue::Text(value) => json!(value),
        ParamValue::Boolean(value) => json!(value),
    }
}

/// Encodes a template so that [`read_template`] reads it back.
pub fn template_json(template: &Template) -> Value {
    let params: serde_json::Map<String, Value> = template
        .params
        .iter()
        .map(|(name, param)| {
            let mut object = json!({"kind": choice_name(&PARAM_KINDS, param.kind)});
            if let Some(default) = &param.default {
                object["default"] = value_json(default);
            }
            (name.to_string(), object)
        })
        .collect();
    json!({
        "target": choice_name(&TARGET_KINDS, template.target),
        "demand": demand_json(&template.demand),
        "spread": choice_name(&SPREADS, template.spread),
        "deadline_ms": template.deadline_ms,
        "repeatable": template.repeatable,
        "retries": template.retries,
        "max_tasks": template.max_tasks,
        "expected_ms": template.expected_ms,
        "params": params,
    })
}

/// Reads the parameters of a client account; every field is optional.
pub fn read_params(mut fields: Fields<'_>) -> Result<Params, DocumentError> {
    let params = Params {
        weight: fields.u32("weight")?.unwrap_or(default::WEIGHT),
        quota: fields.u32("quota")?.unwrap_or(default::QUOTA),
        concurrency: fields.u32("concurrency")?.unwrap_or(default::CONCURRENCY),
        burst: fields.u32("burst")?.unwrap_or(default::BURST),
        deadline_ms: fields.u64("deadline_ms")?,
        values: fields.map("values", Name::new, read_value)?,
    };
    fields.finish()?;
    Ok(params)
}

/// Encodes the parameters of a client account so that [`read_params`] reads them back.
pub fn params_json(params: &Params) -> Value {
    let values: serde_json::Map<String, Value> = params
        .values
        .iter()
        .map(|(name, v)| (name.to_string(), value_json(v)))
        .collect();
    let mut object = json!({
        "weight": params.weight,
        "quota": params.quota,
        "concurrency": params.concurrency,
        "burst": params.burst,
        "values": values,
    });
    if let Some(ms) = params.deadline_ms {
        object["deadline_ms"] = ms.into();
    }
    object
}

const SEATS: [(&str, MemberRole); 3] = [
    ("voter", MemberRole::Voter),
    ("witness", MemberRole::Witness),
    ("learner", MemberRole::Learner),
];

/// Parses a node id `VM#FOLDER`, with the folder in hexadecimal.
fn read_node(fields: &Fields<'_>, name: &str, text: &str) -> Result<NodeId, DocumentError> {
    let parsed = text.split_once('#').and_then(|(vm, folder)| {
        let vm = VmName::new(vm).ok()?;
        let folder = u64::from_str_radix(folder, 16).ok()?;
        Some(NodeId { vm, folder })
    });
    parsed.ok_or_else(|| {
        let problem = format!("is {text:?}: give VM#FOLDER as /v1/groups shows it");
        fields.invalid(name, problem)
    })
}

/// Reads an optional node id `VM#FOLDER`.
pub(crate) fn read_optional_node(
    fields: &mut Fields<'_>,
    name: &'static str,
) -> Result<Option<NodeId>, DocumentError> {
    match fields.text(name)? {
        Some(text) => read_node(fields, name, &text).map(Some),
        None => Ok(None),
    }
}

/// Reads `{"add_learner": NODE}`, `{"promote": NODE, "seat"?: …}` or `{"remove": NODE}`.
pub(crate) fn read_change(body: &[u8]) -> Result<Change, DocumentError> {
    let mut fields = Fields::parse(body)?;
    let add = read_optional_node(&mut fields, "add_learner")?;
    let promote = read_optional_node(&mut fields, "promote")?;
    let remove = read_optional_node(&mut fields, "remove")?;
    let seat = match promote.is_some() {
        true => fields
            .choice("seat", &SEATS[..2])?
            .unwrap_or(MemberRole::Voter),
        false => MemberRole::Voter,
    };
    let change = match (add, promote, remove) {
        (Some(node), None, None) => Change::AddLearner(node),
        (None, Some(node), None) => Change::Promote { node, seat },
        (None, None, Some(node)) => Change::Remove(node),
        _ => {
            let problem = "or \"promote\" or \"remove\" must be given, and only one";
            return Err(fields.invalid("add_learner", problem));
        }
    };
    fields.finish()?;
    Ok(change)
}

pub(crate) fn members_json(config: &Config) -> Value {
    let members: Vec<Value> = config
        .members
        .iter()
        .map(|(node, seat)| json!({"node": node.to_string(), "seat": choice_name(&SEATS, *seat)}))
        .collect();
    json!(members)
}

pub(crate) fn group_status_json(status: &Status) -> Value {
    let role = match status.role {
        Role::Follower => "follower",
        Role::Candidate => "candidate",
        Role::Leader => "leader",
    };
    let matched: serde_json::Map<String, Value> = status
        .match_index
        .iter()
        .map(|(node, index)| (node.to_string(), json!(index.0)))
        .collect();
    json!({
        "role": role,
        "term": status.term.0,
        "leader": status.leader.as_ref().map(ToString::to_string),
        "commit": status.commit_index.0,
        "last": status.last_index.0,
        "members": members_json(&status.config),
        "matched": matched,
    })
}
