//! Templates, parameters and edits.

use std::fmt;

use greengage_core::{
    value, AccountName, Demand, Name, OpId, Revision, SortedMap, Spread, TargetKind, TemplateName,
    Version,
};

/// The type of a parameter's value.
#[value(copy)]
#[serde(rename_all = "lowercase")]
pub enum ParamKind {
    /// A whole number.
    Integer,
    /// Text of at most 1,024 bytes.
    Text,
    /// True or false.
    Boolean,
}

/// The value of a parameter.
#[value]
#[serde(rename_all = "lowercase")]
pub enum ParamValue {
    /// A whole number.
    Integer(i64),
    /// Text.
    Text(String),
    /// True or false.
    Boolean(bool),
}

/// A parameter that a template declares.
#[value]
pub struct Param {
    /// The type of its value.
    pub kind: ParamKind,
    /// The value for accounts that give none; without it the parameter is required.
    pub default: Option<ParamValue>,
}

/// Shortest deadline and expected run time in milliseconds.
pub const MIN_DURATION_MS: u64 = 1;

/// Longest deadline and expected run time in milliseconds, one hour: the retention of outcomes.
pub const MAX_DURATION_MS: u64 = 3_600_000;

/// Most tasks of one job.
pub const MAX_TASKS: u32 = 1_200;

/// Most further attempts of a repeatable request.
pub const MAX_RETRIES: u32 = 10;

/// Greatest weight of an account.
pub const MAX_WEIGHT: u32 = 1_000;

/// Most bytes of a text value.
pub const MAX_TEXT_BYTES: usize = 1_024;

/// Most parameters that a template declares; every VM holds all templates.
pub const MAX_PARAMS: usize = 256;

impl ParamValue {
    /// The type of the value.
    pub fn kind(&self) -> ParamKind {
        match self {
            ParamValue::Integer(_) => ParamKind::Integer,
            ParamValue::Text(_) => ParamKind::Text,
            ParamValue::Boolean(_) => ParamKind::Boolean,
        }
    }

    /// Checks the type and the length of the value of `param`.
    fn check(&self, param: &Name, kind: ParamKind) -> Result<(), EditError> {
        if self.kind() != kind {
            return Err(EditError::Mistyped {
                param: param.clone(),
                kind,
            });
        }
        match self {
            ParamValue::Integer(_) | ParamValue::Boolean(_) => Ok(()),
            ParamValue::Text(text) => {
                let field = format_args!("length in bytes of parameter {param}");
                check_range(field, text.len() as u64, 0, MAX_TEXT_BYTES as u64)
            }
        }
    }
}

fn check_range(field: impl fmt::Display, value: u64, min: u64, max: u64) -> Result<(), EditError> {
    if (min..=max).contains(&value) {
        return Ok(());
    }
    Err(EditError::Range {
        field: field.to_string(),
        value,
        min,
        max,
    })
}

/// A template: how one kind of work is run.
#[value]
pub struct Template {
    /// The kind of target.
    pub target: TargetKind,
    /// What one task needs on a worker.
    pub demand: Demand,
    /// How tasks of one job are spread.
    pub spread: Spread,
    /// From submission to answer, in milliseconds.
    pub deadline_ms: u64,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Further attempts of a repeatable request whose target was lost.
    pub retries: u32,
    /// Most tasks of one job.
    pub max_tasks: u32,
    /// Expected run time of one task in milliseconds, until it was observed.
    pub expected_ms: u64,
    /// Declared parameters.
    pub params: SortedMap<Name, Param>,
}

impl Template {
    /// Checks ranges and the types of defaults.
    pub fn check(&self) -> Result<(), EditError> {
        check_range(
            "deadline_ms",
            self.deadline_ms,
            MIN_DURATION_MS,
            MAX_DURATION_MS,
        )?;
        check_range(
            "expected_ms",
            self.expected_ms,
            MIN_DURATION_MS,
            MAX_DURATION_MS,
        )?;
        check_range("max_tasks", self.max_tasks.into(), 1, MAX_TASKS.into())?;
        check_range("retries", self.retries.into(), 0, MAX_RETRIES.into())?;
        let count = self.params.len() as u64;
        check_range("number of params", count, 0, MAX_PARAMS as u64)?;
        match self.target {
            TargetKind::Executor => {}
            // Without this, any number of tasks would fit a worker at once.
            TargetKind::Worker => {
                let milli_cores = self.demand.milli_cores.into();
                check_range("demand.milli_cores", milli_cores, 1, u32::MAX.into())?;
            }
        }
        for (name, param) in self.params.iter() {
            if let Some(default) = &param.default {
                default.check(name, param.kind)?;
            }
        }
        Ok(())
    }
}

/// The parameters of one client account for one template.
#[value]
pub struct Params {
    /// The account's share relative to others.
    pub weight: u32,
    /// Most tasks queued at once.
    pub quota: u32,
    /// Most tasks running at once.
    pub concurrency: u32,
    /// Tasks that may be queued beyond the quota for a short time.
    pub burst: u32,
    /// Replaces the template's deadline, in milliseconds.
    pub deadline_ms: Option<u64>,
    /// Values of the template's parameters.
    pub values: SortedMap<Name, ParamValue>,
}

impl Params {
    /// Checks ranges, and the values against the parameters that `template` declares.
    pub fn check(&self, template: &Template) -> Result<(), EditError> {
        let max = u32::MAX.into();
        check_range("weight", self.weight.into(), 1, MAX_WEIGHT.into())?;
        check_range("quota", self.quota.into(), 1, max)?;
        check_range("concurrency", self.concurrency.into(), 1, max)?;
        if let Some(deadline) = self.deadline_ms {
            check_range("deadline_ms", deadline, MIN_DURATION_MS, MAX_DURATION_MS)?;
        }
        for (name, value) in self.values.iter() {
            match template.params.get(name) {
                Some(param) => value.check(name, param.kind)?,
                None => return Err(EditError::Undeclared(name.clone())),
            }
        }
        for (name, param) in template.params.iter() {
            if param.default.is_none() && !self.values.contains(name) {
                return Err(EditError::Missing(name.clone()));
            }
        }
        Ok(())
    }
}

/// What an edit writes.
#[value]
pub enum Document {
    /// A template.
    Template {
        /// Its name.
        name: TemplateName,
        /// The content, `None` to remove it.
        content: Option<Template>,
    },
    /// An account's parameters.
    Params {
        /// The template.
        template: TemplateName,
        /// The account.
        account: AccountName,
        /// The content, `None` to remove them.
        content: Option<Params>,
    },
}

/// A command of the control group.
#[value]
pub enum Command {
    /// An edit.
    Edit {
        /// The operation id, the same for each resend.
        op: OpId,
        /// The version that the edit was made from; 0 for a new document.
        from: Version,
        /// The new content.
        document: Document,
    },
}

/// The outcome of an edit.
#[value]
pub enum Outcome {
    /// The edit is applied.
    Applied {
        /// The document's new version.
        version: Version,
        /// The revision that the edit made.
        revision: Revision,
    },
    /// The edit had no effect.
    Refused(EditError),
}

/// A template with an account's parameters filled in.
#[value]
pub struct Resolved {
    /// The template's version.
    pub version: Version,
    /// The template.
    pub template: Template,
    /// The account's parameters.
    pub params: Params,
    /// The value of each declared parameter.
    pub values: SortedMap<Name, ParamValue>,
    /// From submission to answer, in milliseconds.
    pub deadline_ms: u64,
}

/// Why an edit or a look-up was refused.
#[value]
pub enum EditError {
    /// The document has another version.
    Conflict {
        /// The document, as in `template "tours"`.
        what: String,
        /// Its version.
        current: Version,
        /// The version that the edit names.
        named: Version,
    },
    /// There is no such template.
    UnknownTemplate(TemplateName),
    /// The account has no parameters for the template.
    UnknownAccount {
        /// The template.
        template: TemplateName,
        /// The account.
        account: AccountName,
    },
    /// A field has a value out of its range.
    Range {
        /// The field.
        field: String,
        /// The value.
        value: u64,
        /// The least value.
        min: u64,
        /// The greatest value.
        max: u64,
    },
    /// A required parameter has no value.
    Missing(Name),
    /// A value belongs to no declared parameter.
    Undeclared(Name),
    /// A value has another type than declared.
    Mistyped {
        /// The parameter.
        param: Name,
        /// The declared type.
        kind: ParamKind,
    },
    /// The operation id was used for another edit.
    OtherEdit(OpId),
    /// The changed template doesn't fit the parameters of an account.
    Unfit {
        /// The account.
        account: AccountName,
        /// What doesn't fit.
        error: Box<EditError>,
    },
    /// The template still has parameters of accounts.
    InUse {
        /// The template.
        template: TemplateName,
        /// Accounts with parameters.
        accounts: u32,
    },
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EditError::Conflict {
                what,
                current,
                named,
            } => write!(
                f,
                "{what} is at version {current}, the edit names {named}: read it again and resend"
            ),
            EditError::UnknownTemplate(name) => {
                write!(f, "template {name:?} does not exist: create it first")
            }
            EditError::UnknownAccount { template, account } => write!(
                f,
                "client account {account} has no parameters for template {template}: set them"
            ),
            EditError::Range {
                field,
                value,
                min,
                max,
            } => write!(f, "{field} is {value}: give a value from {min} to {max}"),
            EditError::Missing(name) => {
                write!(f, "parameter {name} has no value and no default: give one")
            }
            EditError::Undeclared(name) => write!(
                f,
                "parameter {name} is not declared by the template: remove it or declare it"
            ),
            EditError::Mistyped { param, kind } => {
                write!(
                    f,
                    "parameter {param} takes a value of type {kind:?}: change it"
                )
            }
            EditError::OtherEdit(op) => write!(
                f,
                "operation id {} was used for another edit: use a new one",
                op.0
            ),
            EditError::Unfit { account, error } => {
                write!(
                    f,
                    "the parameters of client account {account} don't fit: {error}"
                )
            }
            EditError::InUse { template, accounts } => write!(
                f,
                "template {template} has parameters of {accounts} accounts: remove them first"
            ),
        }
    }
}
