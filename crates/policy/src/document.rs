//! Templates, account parameters and edits, with their validation.

use std::fmt;

use greengage_core::{
    value, AccountName, Demand, Name, OpId, Revision, SortedMap, Spread, TargetKind, TemplateName,
    Version,
};

/// Type of a parameter.
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

/// Value of a parameter.
#[value]
#[serde(rename_all = "lowercase")]
pub enum ParamValue {
    /// A whole number.
    Integer(i64),
    /// Text of at most 1,024 bytes.
    Text(String),
    /// True or false.
    Boolean(bool),
}

/// A parameter that a template declares.
#[value]
pub struct Param {
    /// The type of its value.
    pub kind: ParamKind,
    /// Value for accounts that set none; if `None`, the parameter is required.
    pub default: Option<ParamValue>,
}

/// Minimum of deadlines and expected run times, in milliseconds.
pub const MIN_DURATION_MS: u64 = 1;

/// Maximum of deadlines and expected run times, in milliseconds: one hour, the retention time of
/// outcomes.
pub const MAX_DURATION_MS: u64 = 3_600_000;

/// Maximum number of tasks in a job.
pub const MAX_TASKS: u32 = 1_200;

/// Maximum number of retries of a repeatable request.
pub const MAX_RETRIES: u32 = 10;

/// Maximum weight of an account.
pub const MAX_WEIGHT: u32 = 1_000;

/// Maximum length of a text value, in bytes.
pub const MAX_TEXT_BYTES: usize = 1_024;

/// Maximum number of parameters of a template; limited because every VM holds all templates.
pub const MAX_PARAMS: usize = 256;

impl ParamValue {
    /// Type of the value.
    pub fn kind(&self) -> ParamKind {
        match self {
            ParamValue::Integer(_) => ParamKind::Integer,
            ParamValue::Text(_) => ParamKind::Text,
            ParamValue::Boolean(_) => ParamKind::Boolean,
        }
    }

    /// Checks the type and the length of this value of the parameter `param`.
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

/// A template, which defines how one kind of work is run.
#[value]
pub struct Template {
    /// Kind of target that runs the tasks.
    pub target: TargetKind,
    /// Resources that one task needs on a worker.
    pub demand: Demand,
    /// Placement constraint for the tasks of one job.
    pub spread: Spread,
    /// Time from submission to answer, in milliseconds, at least [`MIN_DURATION_MS`] and at most
    /// [`MAX_DURATION_MS`].
    pub deadline_ms: u64,
    /// Whether a request may run more than once.
    pub repeatable: bool,
    /// Number of retries of a repeatable request whose target was lost.
    pub retries: u32,
    /// Maximum number of tasks in a job.
    pub max_tasks: u32,
    /// Expected run time of one task in milliseconds, used until run times were measured.
    pub expected_ms: u64,
    /// Declared parameters by name.
    pub params: SortedMap<Name, Param>,
}

impl Template {
    /// Checks the ranges of all fields and the types of the default values.
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
            // With a demand of zero, any number of tasks would fit on a worker.
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

/// Parameters of a client account for a template.
#[value]
pub struct Params {
    /// Weight of the account in fair sharing, relative to other accounts.
    pub weight: u32,
    /// Maximum number of queued tasks.
    pub quota: u32,
    /// Maximum number of running tasks.
    pub concurrency: u32,
    /// Number of tasks that may be queued beyond the quota for a short time.
    pub burst: u32,
    /// Deadline in milliseconds; `None` to use that of the template.
    pub deadline_ms: Option<u64>,
    /// Values of the template's parameters by name.
    pub values: SortedMap<Name, ParamValue>,
}

impl Params {
    /// Checks the ranges of all fields, and the values against the parameters of `template`.
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

/// The document that an edit writes or removes.
#[value]
pub enum Document {
    /// A template.
    Template {
        /// Its name.
        name: TemplateName,
        /// The new content; `None` to remove the template.
        content: Option<Template>,
    },
    /// An account's parameters.
    Params {
        /// The template.
        template: TemplateName,
        /// The account.
        account: AccountName,
        /// The new content; `None` to remove the parameters.
        content: Option<Params>,
    },
}

/// A command of the control group.
#[value]
pub enum Command {
    /// An edit.
    Edit {
        /// The operation id, the same for each retry.
        op: OpId,
        /// The version on which the edit is based; 0 for a new document.
        base_version: Version,
        /// The document to write or remove.
        document: Document,
    },
}

/// Outcome of an edit.
#[value]
pub enum Outcome {
    /// The edit is applied.
    Applied {
        /// New version of the document.
        version: Version,
        /// Log index of the edit, which is the new revision of the configuration.
        revision: Revision,
    },
    /// The edit was rejected and had no effect.
    Refused(EditError),
}

/// A template combined with an account's parameters.
#[value]
pub struct Resolved {
    /// Version of the template.
    pub version: Version,
    /// The template.
    pub template: Template,
    /// The account's parameters.
    pub params: Params,
    /// Value of each declared parameter: the account's value or else the default.
    pub values: SortedMap<Name, ParamValue>,
    /// Effective deadline from submission to answer, in milliseconds.
    pub deadline_ms: u64,
}

/// Why an edit or a lookup was rejected.
#[value]
pub enum EditError {
    /// The edit is based on a version that is not current.
    Conflict {
        /// Description of the document, for example `template "tours"`.
        document: String,
        /// Current version of the document.
        current: Version,
        /// Version on which the edit is based.
        edit_version: Version,
    },
    /// The template does not exist.
    UnknownTemplate(TemplateName),
    /// The account has no parameters for the template.
    UnknownAccount {
        /// The template.
        template: TemplateName,
        /// The account.
        account: AccountName,
    },
    /// The value of a field is out of range.
    Range {
        /// Name or description of the field.
        field: String,
        /// The rejected value.
        value: u64,
        /// Minimum, inclusive.
        min: u64,
        /// Maximum, inclusive.
        max: u64,
    },
    /// A parameter has neither a value nor a default.
    Missing(Name),
    /// A value is given for a parameter that the template does not declare.
    Undeclared(Name),
    /// A value does not have the declared type.
    Mistyped {
        /// The parameter.
        param: Name,
        /// The declared type.
        kind: ParamKind,
    },
    /// The operation id was used for another edit.
    OtherEdit(OpId),
    /// The changed template is incompatible with the parameters of an account.
    Unfit {
        /// The account.
        account: AccountName,
        /// Result of validating the account's parameters against the template.
        error: Box<EditError>,
    },
    /// The template can't be removed because accounts have parameters for it.
    InUse {
        /// The template.
        template: TemplateName,
        /// Number of accounts with parameters.
        accounts: u32,
    },
}

impl fmt::Display for EditError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            EditError::Conflict {
                document,
                current,
                edit_version,
            } => write!(
                f,
                "{document} is at version {current}, not {edit_version}: read it again and \
                 repeat the edit"
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
            } => write!(f, "{field} is {value}, but must be from {min} to {max}"),
            EditError::Missing(name) => {
                write!(
                    f,
                    "parameter {name} has no value and no default: set a value"
                )
            }
            EditError::Undeclared(name) => write!(
                f,
                "parameter {name} is not declared by the template: remove it or declare it"
            ),
            EditError::Mistyped { param, kind } => {
                write!(f, "parameter {param} must have a value of type {kind:?}")
            }
            EditError::OtherEdit(op) => write!(
                f,
                "operation id {} was used for another edit: use a new one",
                op.0
            ),
            EditError::Unfit { account, error } => {
                write!(
                    f,
                    "the parameters of client account {account} do not match: {error}"
                )
            }
            EditError::InUse { template, accounts } => write!(
                f,
                "template {template} is used by {accounts} accounts: remove their parameters first"
            ),
        }
    }
}
