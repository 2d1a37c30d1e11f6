//! The state machine.
//!
//! Commands are idempotent: the operation id is stored with the edit and its outcome, also for
//! refused edits, and a retry gets that outcome regardless of later edits. The same id with another
//! edit is refused and leaves the first record unchanged. The newest [`MAX_RECORDS`] operations are
//! kept; a retry of an older one is checked only against the version.
//!
//! The versions of a document only increase. A removed document leaves a tombstone with its
//! version; an edit that recreates the document is based on version 0 or on that version. The
//! newest [`MAX_TOMBSTONES`] tombstones are kept. Dropping one raises the version floor, above
//! which the versions of all documents created later start, so that versions never repeat.

use std::fmt;
use std::sync::Arc;

use greengage_core::{value, AccountName, Name, OpId, Revision, SortedMap, TemplateName, Version};

use crate::document::{
    Command, Document, EditError, Outcome, ParamValue, Params, Resolved, Template,
};
use crate::state::{PolicyData, Record, State, Versioned};

/// Maximum number of operations whose outcome is kept: almost four days at 5,300 edits per day.
pub const MAX_RECORDS: usize = 20_000;

/// Maximum number of tombstones of removed documents.
pub const MAX_TOMBSTONES: usize = 10_000;

/// Error for a state that is older than the policy that it should replace.
#[value]
pub struct StaleState {
    /// Log index of the last applied command.
    pub applied: Revision,
    /// Log index of the rejected state.
    pub state_revision: Revision,
}

impl fmt::Display for StaleState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "configuration at index {} is older than index {}: ask another VM for a newer one",
            self.state_revision, self.applied
        )
    }
}

impl std::error::Error for StaleState {}

/// Templates, parameters and the records of recent edits.
#[derive(Clone, Debug, Default)]
pub struct Policy {
    state: State,
    /// Sequence number of each kept record; the oldest has the number `dropped_records`.
    record_numbers: SortedMap<OpId, u64>,
    dropped_records: u64,
}

impl Policy {
    /// Creates a policy without documents.
    pub fn new() -> Policy {
        Policy::default()
    }

    /// Applies the command at log index `revision`, which must be higher than all earlier ones.
    ///
    /// # Panics
    ///
    /// If `revision` is not higher than the index of the last command.
    pub fn apply(&mut self, revision: Revision, command: &Command) -> Outcome {
        let state = &*self.state.0;
        assert!(
            revision > state.applied,
            "edit at revision {revision} after {}: a log entry was applied twice",
            state.applied
        );
        let Command::Edit {
            op,
            base_version,
            document,
        } = command;
        let data = Arc::make_mut(&mut self.state.0);
        data.applied = revision;
        if let Some(number) = self.record_numbers.get(op) {
            let record = &data.records[(number - self.dropped_records) as usize];
            if record.from == *base_version && record.document == *document {
                return record.outcome.clone();
            }
            return Outcome::Refused(EditError::OtherEdit(op.clone()));
        }
        let outcome = match data.edit(revision, *base_version, document) {
            Ok(version) => Outcome::Applied { version, revision },
            Err(error) => Outcome::Refused(error),
        };
        self.add_record(Record {
            op: op.clone(),
            from: *base_version,
            document: document.clone(),
            outcome: outcome.clone(),
        });
        outcome
    }

    fn add_record(&mut self, record: Record) {
        let records = &mut Arc::make_mut(&mut self.state.0).records;
        if records.len() == MAX_RECORDS {
            let oldest = records.pop_front().expect("the records are not empty");
            self.record_numbers.remove(&oldest.op);
            self.dropped_records += 1;
        }
        let number = self.dropped_records + records.len() as u64;
        self.record_numbers.insert(record.op.clone(), number);
        records.push_back(Arc::new(record));
    }

    /// A template and its version; `None` if it does not exist.
    pub fn template(&self, name: &TemplateName) -> Option<(Version, &Template)> {
        let entry = self.state.0.templates.get(name)?;
        Some((entry.version, entry.content.as_deref()?))
    }

    /// An account's parameters for a template and their version; `None` if there are none.
    pub fn params(
        &self,
        template: &TemplateName,
        account: &AccountName,
    ) -> Option<(Version, &Params)> {
        let entry = self.state.0.params.get(template)?.get(account)?;
        Some((entry.version, entry.content.as_deref()?))
    }

    /// All templates with their versions, sorted by name.
    pub fn templates(&self) -> impl Iterator<Item = (&TemplateName, Version, &Template)> {
        let entries = self.state.0.templates.iter();
        entries.filter_map(|(name, entry)| Some((name, entry.version, entry.content.as_deref()?)))
    }

    /// All parameters with their versions, sorted by template and account.
    pub fn all_params(
        &self,
    ) -> impl Iterator<Item = (&TemplateName, &AccountName, Version, &Params)> {
        let templates = self.state.0.params.iter();
        templates.flat_map(|(template, accounts)| {
            accounts.iter().filter_map(move |(account, entry)| {
                Some((template, account, entry.version, entry.content.as_deref()?))
            })
        })
    }

    /// A template combined with an account's parameters. Fails if either does not exist.
    pub fn resolve(
        &self,
        name: &TemplateName,
        account: &AccountName,
    ) -> Result<Resolved, EditError> {
        let (version, template) = self
            .template(name)
            .ok_or_else(|| EditError::UnknownTemplate(name.clone()))?;
        let (_, params) = self
            .params(name, account)
            .ok_or_else(|| unknown_account(name, account))?;
        Ok(Resolved {
            version,
            template: template.clone(),
            params: params.clone(),
            values: resolve_values(template, params)?,
            deadline_ms: params.deadline_ms.unwrap_or(template.deadline_ms),
        })
    }

    /// The index of the last edit that had an effect; 0 if there is none.
    pub fn revision(&self) -> Revision {
        self.state.0.revision
    }

    /// The index of the last command, whether or not it had an effect.
    pub fn applied(&self) -> Revision {
        self.state.0.applied
    }

    /// The current state, shared with the policy until its next change.
    pub fn snapshot(&self) -> State {
        self.state.clone()
    }

    /// Replaces the content by `state`; fails if that is older.
    pub fn restore(&mut self, state: State) -> Result<(), StaleState> {
        if state.applied() < self.applied() {
            return Err(StaleState {
                applied: self.applied(),
                state_revision: state.applied(),
            });
        }
        let numbers = state.0.records.iter().zip(0..);
        self.record_numbers = numbers.map(|(r, i)| (r.op.clone(), i)).collect();
        self.dropped_records = 0;
        self.state = state;
        Ok(())
    }

    /// Checks that all documents are valid and consistent with each other; for tests.
    ///
    /// # Panics
    ///
    /// If an invariant is violated.
    pub fn check_invariants(&self) {
        let state = &*self.state.0;
        assert!(state.revision <= state.applied);
        for (name, _, template) in self.templates() {
            assert_eq!(template.check(), Ok(()), "template {name}");
        }
        for (name, account, _, params) in self.all_params() {
            let (_, template) = self.template(name).expect("parameters have a template");
            assert_eq!(params.check(template), Ok(()), "{name} of {account}");
        }
        let documents = self.templates().count() + self.all_params().count();
        let accounts = state.params.values().map(SortedMap::len).sum::<usize>();
        assert!(state.templates.len() + accounts - documents <= MAX_TOMBSTONES);
        assert!(state.records.len() <= MAX_RECORDS);
        assert_eq!(state.records.len(), self.record_numbers.len());
        for (i, record) in state.records.iter().enumerate() {
            let number = self
                .record_numbers
                .get(&record.op)
                .expect("a record has a number");
            assert_eq!(*number, self.dropped_records + i as u64);
        }
    }
}

impl PolicyData {
    /// Applies a new edit and returns the new version of the document.
    fn edit(
        &mut self,
        revision: Revision,
        base_version: Version,
        document: &Document,
    ) -> Result<Version, EditError> {
        let version_floor = self.version_floor;
        let version = match document {
            Document::Template { name, content } => {
                self.check_template(base_version, name, content.as_ref())?;
                let entry = self
                    .templates
                    .get_or_insert_with(name.clone(), || empty_entry(version_floor));
                write_entry(entry, revision, content)
            }
            Document::Params {
                template,
                account,
                content,
            } => {
                self.check_params(base_version, template, account, content.as_ref())?;
                let accounts = self
                    .params
                    .get_or_insert_with(template.clone(), SortedMap::new);
                let entry =
                    accounts.get_or_insert_with(account.clone(), || empty_entry(version_floor));
                write_entry(entry, revision, content)
            }
        };
        self.revision = revision;
        self.drop_oldest_tombstone();
        Ok(version)
    }

    fn check_template(
        &self,
        base_version: Version,
        name: &TemplateName,
        content: Option<&Template>,
    ) -> Result<(), EditError> {
        let entry = self.templates.get(name);
        check_version(entry, base_version, || {
            format!("template {:?}", name.as_str())
        })?;
        let accounts = || {
            let entries = self.params.get(name).into_iter().flat_map(SortedMap::iter);
            entries.filter_map(|(account, entry)| Some((account, entry.content.as_deref()?)))
        };
        let Some(template) = content else {
            if entry.is_none_or(|e| e.content.is_none()) {
                return Err(EditError::UnknownTemplate(name.clone()));
            }
            return match accounts().count() as u32 {
                0 => Ok(()),
                accounts => Err(EditError::InUse {
                    template: name.clone(),
                    accounts,
                }),
            };
        };
        template.check()?;
        for (account, params) in accounts() {
            params.check(template).map_err(|error| EditError::Unfit {
                account: account.clone(),
                error: Box::new(error),
            })?;
        }
        Ok(())
    }

    fn check_params(
        &self,
        base_version: Version,
        name: &TemplateName,
        account: &AccountName,
        content: Option<&Params>,
    ) -> Result<(), EditError> {
        let template = self.templates.get(name).and_then(|e| e.content.as_ref());
        let template = template.ok_or_else(|| EditError::UnknownTemplate(name.clone()))?;
        let entry = self.params.get(name).and_then(|a| a.get(account));
        check_version(entry, base_version, || {
            format!(
                "the parameters of client account {:?} for template {:?}",
                account.as_str(),
                name.as_str()
            )
        })?;
        match content {
            Some(params) => params.check(template),
            None if entry.is_some_and(|e| e.content.is_some()) => Ok(()),
            None => Err(unknown_account(name, account)),
        }
    }

    /// Drops the oldest tombstone if there are more than [`MAX_TOMBSTONES`].
    fn drop_oldest_tombstone(&mut self) {
        let accounts = self.params.values().map(SortedMap::len).sum::<usize>();
        if self.templates.len() + accounts <= MAX_TOMBSTONES {
            return;
        }
        let templates = self
            .templates
            .values()
            .map(|e| (e.content.is_none(), e.revision));
        let params = self
            .params
            .values()
            .flat_map(SortedMap::values)
            .map(|e| (e.content.is_none(), e.revision));
        let tombstones = templates.chain(params).filter(|(removed, _)| *removed);
        let (count, oldest) = tombstones
            .fold((0, Revision(u64::MAX)), |(count, oldest), (_, r)| {
                (count + 1, oldest.min(r))
            });
        if count <= MAX_TOMBSTONES {
            return;
        }
        let version_floor = &mut self.version_floor;
        self.templates
            .retain(|_, e| retain_entry(e, oldest, version_floor));
        self.params.retain(|_, accounts| {
            accounts.retain(|_, e| retain_entry(e, oldest, version_floor));
            !accounts.is_empty()
        });
    }
}

/// Whether an entry is kept when the tombstone of revision `oldest` is dropped. Raises the version
/// floor for a dropped one.
fn retain_entry<T>(entry: &Versioned<T>, oldest: Revision, version_floor: &mut Version) -> bool {
    if entry.content.is_some() || entry.revision != oldest {
        return true;
    }
    *version_floor = entry.version.max(*version_floor);
    false
}

fn empty_entry<T>(version_floor: Version) -> Versioned<T> {
    Versioned {
        version: version_floor,
        revision: Revision(0),
        content: None,
    }
}

fn write_entry<T: Clone>(
    entry: &mut Versioned<T>,
    revision: Revision,
    content: &Option<T>,
) -> Version {
    entry.version = entry.version.next();
    entry.revision = revision;
    entry.content = content.clone().map(Arc::new);
    entry.version
}

fn check_version<T>(
    entry: Option<&Versioned<T>>,
    base_version: Version,
    what: impl FnOnce() -> String,
) -> Result<(), EditError> {
    let (current, exists) = match entry {
        Some(entry) => (entry.version, entry.content.is_some()),
        None => (Version(0), false),
    };
    if base_version == current || (base_version == Version(0) && !exists) {
        return Ok(());
    }
    Err(EditError::Conflict {
        document: what(),
        current,
        edit_version: base_version,
    })
}

fn unknown_account(template: &TemplateName, account: &AccountName) -> EditError {
    EditError::UnknownAccount {
        template: template.clone(),
        account: account.clone(),
    }
}

/// The value of each declared parameter: the account's value or else the default.
fn resolve_values(
    template: &Template,
    params: &Params,
) -> Result<SortedMap<Name, ParamValue>, EditError> {
    let declared = template.params.iter();
    declared
        .map(|(name, param)| {
            let value = params.values.get(name).or(param.default.as_ref());
            let value = value.ok_or_else(|| EditError::Missing(name.clone()))?;
            Ok((name.clone(), value.clone()))
        })
        .collect()
}
