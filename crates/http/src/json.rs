//! Reads JSON objects field by field, with errors that name the field, its value and the remedy.
//!
//! Fields stay raw JSON until they are read, so tasks and results pass through with their numbers
//! unchanged.

use std::collections::BTreeMap;
use std::fmt;
use std::marker::PhantomData;

use greengage_core::{Digest, NameError, Payload, SortedMap};
use serde::de::{Error as _, MapAccess, Visitor};
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;
use serde_json::Value;
use sha2::{Digest as _, Sha256};

/// Why a JSON document is rejected.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    /// The path of the field, such as `content.demand`; empty for the document itself.
    pub field: String,
    /// What is wrong and how to correct it; completes the sentence "field ...".
    pub problem: String,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.field.as_str() {
            "" => write!(f, "the document {}", self.problem),
            field => write!(f, "field {field:?} {}", self.problem),
        }
    }
}

impl std::error::Error for DocumentError {}

/// Characters of a value that an error repeats; the rest is cut off.
const MAX_SHOWN_CHARS: usize = 60;

fn truncated(raw: &str) -> String {
    match raw.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((index, _)) => format!("{}...", &raw[..index]),
        None => raw.to_string(),
    }
}

/// Error text for a duplicate key; also identifies this error among those of serde_json.
const DUPLICATE_KEY: &str = "is given twice: give it once";

/// The raw values of an object by key. Duplicate keys are an error, since JSON libraries differ in
/// which of the values they use.
#[derive(Default)]
struct Object<'a>(BTreeMap<String, &'a RawValue>);

impl<'de: 'a, 'a> Deserialize<'de> for Object<'a> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Object<'a>, D::Error> {
        deserializer.deserialize_map(ObjectVisitor(PhantomData))
    }
}

struct ObjectVisitor<'a>(PhantomData<&'a ()>);

impl<'de: 'a, 'a> Visitor<'de> for ObjectVisitor<'a> {
    type Value = Object<'a>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an object")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Object<'a>, A::Error> {
        let mut raw = BTreeMap::new();
        while let Some((key, value)) = map.next_entry::<String, &'a RawValue>()? {
            if raw.contains_key(&key) {
                return Err(A::Error::custom(format!("key {key:?} {DUPLICATE_KEY}")));
            }
            raw.insert(key, value);
        }
        Ok(Object(raw))
    }
}

/// The fields of an object that have not been read yet.
pub struct Fields<'a> {
    path: String,
    raw: BTreeMap<String, &'a RawValue>,
    accepted: Vec<&'static str>,
}

impl<'a> Fields<'a> {
    /// Parses a document; fails if it is not an object.
    pub fn parse(body: &'a [u8]) -> Result<Fields<'a>, DocumentError> {
        let Object(raw) = serde_json::from_slice(body).map_err(|e| DocumentError {
            field: String::new(),
            problem: format!("is not a JSON object: {e}; correct it"),
        })?;
        Ok(Fields {
            path: String::new(),
            raw,
            accepted: Vec::new(),
        })
    }

    fn field_path(&self, name: &str) -> String {
        match self.path.as_str() {
            "" => name.to_string(),
            path => format!("{path}.{name}"),
        }
    }

    fn field_error(&self, name: &str, problem: String) -> DocumentError {
        DocumentError {
            field: self.field_path(name),
            problem,
        }
    }

    fn invalid_value(&self, name: &str, raw: &RawValue, remedy: &str) -> DocumentError {
        self.field_error(name, format!("is {}: {remedy}", truncated(raw.get())))
    }

    /// The raw value of an optional field; `null` counts as absent.
    pub fn raw(&mut self, name: &'static str) -> Option<&'a RawValue> {
        self.accepted.push(name);
        self.raw.remove(name).filter(|raw| raw.get() != "null")
    }

    /// A required field as an opaque payload; `null` is a valid payload.
    pub fn payload(&mut self, name: &'static str) -> Result<Payload, DocumentError> {
        self.accepted.push(name);
        match self.raw.remove(name) {
            Some(raw) => Ok(payload(raw)),
            None => Err(self.missing_error(name)),
        }
    }

    fn missing_error(&self, name: &str) -> DocumentError {
        self.field_error(name, "is missing: add it".to_string())
    }

    fn required<T>(&self, name: &str, value: Option<T>) -> Result<T, DocumentError> {
        value.ok_or_else(|| self.missing_error(name))
    }

    /// Deserializes an optional field; `remedy` completes the error for a value of another type.
    fn value<T: Deserialize<'a>>(
        &mut self,
        name: &'static str,
        remedy: &str,
    ) -> Result<Option<T>, DocumentError> {
        let Some(raw) = self.raw(name) else {
            return Ok(None);
        };
        match serde_json::from_str(raw.get()) {
            Ok(value) => Ok(Some(value)),
            Err(error) if error.to_string().contains(DUPLICATE_KEY) => {
                Err(self.field_error(name, format!("is invalid: {error}")))
            }
            Err(_) => Err(self.invalid_value(name, raw, remedy)),
        }
    }

    /// An optional string that `parse_name` validates.
    pub fn optional_name<T>(
        &mut self,
        name: &'static str,
        parse_name: impl Fn(&str) -> Result<T, NameError>,
    ) -> Result<Option<T>, DocumentError> {
        match self.value::<String>(name, "give a string")? {
            Some(text) => match parse_name(&text) {
                Ok(value) => Ok(Some(value)),
                Err(e) => Err(self.field_error(name, format!("is {:?}: {e}", truncated(&text)))),
            },
            None => Ok(None),
        }
    }

    /// A required string that `parse_name` validates.
    pub fn name<T>(
        &mut self,
        name: &'static str,
        parse_name: impl Fn(&str) -> Result<T, NameError>,
    ) -> Result<T, DocumentError> {
        let value = self.optional_name(name, parse_name)?;
        self.required(name, value)
    }

    /// An array of strings that `parse_name` validates; empty if absent.
    pub fn names<T>(
        &mut self,
        name: &'static str,
        parse_name: impl Fn(&str) -> Result<T, NameError>,
    ) -> Result<Vec<T>, DocumentError> {
        let texts: Vec<String> = self
            .value(name, "give an array of strings")?
            .unwrap_or_default();
        let mut names = Vec::with_capacity(texts.len());
        for text in &texts {
            names.push(
                parse_name(text).map_err(|e| {
                    self.field_error(name, format!("has {:?}: {e}", truncated(text)))
                })?,
            );
        }
        Ok(names)
    }

    /// An optional string.
    pub fn text(&mut self, name: &'static str) -> Result<Option<String>, DocumentError> {
        self.value(name, "give a string")
    }

    /// An optional boolean.
    pub fn boolean(&mut self, name: &'static str) -> Result<Option<bool>, DocumentError> {
        self.value(name, "give true or false")
    }

    /// An optional unsigned 64-bit integer.
    pub fn u64(&mut self, name: &'static str) -> Result<Option<u64>, DocumentError> {
        self.value(name, "give a whole number, 0 or greater")
    }

    /// An optional unsigned 32-bit integer.
    pub fn u32(&mut self, name: &'static str) -> Result<Option<u32>, DocumentError> {
        self.value(name, "give a whole number from 0 to 4294967295")
    }

    /// A required unsigned 64-bit integer.
    pub fn required_u64(&mut self, name: &'static str) -> Result<u64, DocumentError> {
        let value = self.u64(name)?;
        self.required(name, value)
    }

    /// A required unsigned 32-bit integer.
    pub fn required_u32(&mut self, name: &'static str) -> Result<u32, DocumentError> {
        let value = self.u32(name)?;
        self.required(name, value)
    }

    /// An optional string that must be one of `choices`.
    pub fn choice<T: Copy>(
        &mut self,
        name: &'static str,
        choices: &[(&str, T)],
    ) -> Result<Option<T>, DocumentError> {
        let remedy = choices
            .iter()
            .map(|(text, _)| format!("{text:?}"))
            .collect::<Vec<_>>()
            .join(" or ");
        let remedy = format!("give {remedy}");
        let Some(raw) = self.raw(name) else {
            return Ok(None);
        };
        let text: Option<String> = serde_json::from_str(raw.get()).ok();
        let found = choices.iter().find(|(t, _)| Some(*t) == text.as_deref());
        match found {
            Some((_, value)) => Ok(Some(*value)),
            None => Err(self.invalid_value(name, raw, &remedy)),
        }
    }

    /// An optional object.
    pub fn object(&mut self, name: &'static str) -> Result<Option<Fields<'a>>, DocumentError> {
        let raw: Option<Object<'a>> = self.value(name, "give an object")?;
        Ok(raw.map(|Object(raw)| Fields {
            path: self.field_path(name),
            raw,
            accepted: Vec::new(),
        }))
    }

    /// A required object.
    pub fn required_object(&mut self, name: &'static str) -> Result<Fields<'a>, DocumentError> {
        let value = self.object(name)?;
        self.required(name, value)
    }

    /// An optional object as a map; `key` validates each key, and `read` gets an entry's value and
    /// its path for errors.
    pub fn map<K: Ord, V>(
        &mut self,
        name: &'static str,
        key: impl Fn(&str) -> Result<K, NameError>,
        read: impl Fn(&'a RawValue, &str) -> Result<V, DocumentError>,
    ) -> Result<SortedMap<K, V>, DocumentError> {
        let object: Option<Object<'a>> = self.value(name, "give an object")?;
        let Object(raw) = object.unwrap_or_default();
        let mut map = SortedMap::new();
        for (text, raw) in raw {
            let path = format!("{}.{}", self.field_path(name), truncated(&text));
            let key = key(&text).map_err(|e| DocumentError {
                field: path.clone(),
                problem: format!("has an invalid key: {e}"),
            })?;
            map.insert(key, read(raw, &path)?);
        }
        Ok(map)
    }

    /// A required array of 1 to `max_count` payloads.
    pub fn payloads(
        &mut self,
        name: &'static str,
        max_count: usize,
    ) -> Result<Vec<Payload>, DocumentError> {
        let remedy = format!("give an array of 1 to {max_count} values");
        let values: Option<Vec<&'a RawValue>> = self.value(name, &remedy)?;
        let values = self.required(name, values)?;
        if values.is_empty() || values.len() > max_count {
            return Err(self.field_error(name, format!("has {} values: {remedy}", values.len())));
        }
        Ok(values.into_iter().map(payload).collect())
    }

    /// An array of objects; empty if absent.
    pub fn objects(&mut self, name: &'static str) -> Result<Vec<Fields<'a>>, DocumentError> {
        let values: Vec<Object<'a>> = self
            .value(name, "give an array of objects")?
            .unwrap_or_default();
        let path = self.field_path(name);
        Ok(values
            .into_iter()
            .enumerate()
            .map(|(i, Object(raw))| Fields {
                path: format!("{path}[{i}]"),
                raw,
                accepted: Vec::new(),
            })
            .collect())
    }

    /// The fields of an object that was read as a raw value, such as an entry of a map.
    pub fn from_raw(raw: &'a RawValue, path: &str) -> Result<Fields<'a>, DocumentError> {
        match serde_json::from_str(raw.get()) {
            Ok(fields) => Ok(Fields {
                path: path.to_string(),
                raw: fields,
                accepted: Vec::new(),
            }),
            Err(_) => Err(DocumentError {
                field: path.to_string(),
                problem: format!("is {}: give an object", truncated(raw.get())),
            }),
        }
    }

    /// Whether any field has not been read.
    pub fn has_unread(&self) -> bool {
        !self.raw.is_empty()
    }

    /// Fails if a field was not read, because it is unknown.
    pub fn finish(self) -> Result<(), DocumentError> {
        match self.raw.first_key_value() {
            None => Ok(()),
            Some((name, _)) => Err(self.field_error(
                &truncated(name),
                format!(
                    "is not known: remove it or use one of {}",
                    self.accepted.join(", ")
                ),
            )),
        }
    }

    /// An error about a field that was read but has an invalid value.
    pub fn invalid(&self, name: &str, problem: impl Into<String>) -> DocumentError {
        self.field_error(name, problem.into())
    }
}

fn payload(raw: &RawValue) -> Payload {
    Payload::new(raw.get().as_bytes())
}

/// The SHA-256 of template and tasks, independent of white space and of the order of keys, so that
/// a resubmission by another JSON library has the same digest.
pub fn digest(template: &str, tasks: &[Payload]) -> Digest {
    let mut hasher = Sha256::new();
    let mut add = |text: &[u8]| {
        hasher.update((text.len() as u64).to_be_bytes());
        hasher.update(text);
    };
    add(template.as_bytes());
    for task in tasks {
        // `Value` sorts the keys of an object.
        match serde_json::from_slice::<Value>(task) {
            Ok(value) => add(value.to_string().as_bytes()),
            Err(_) => add(task),
        }
    }
    Digest(hasher.finalize().into())
}

/// A payload as raw JSON; one that is not JSON, which no listener accepts, becomes a string.
pub fn raw_json(payload: &Payload) -> Box<RawValue> {
    let text = String::from_utf8_lossy(payload);
    match serde_json::from_str::<Box<RawValue>>(&text) {
        Ok(raw) => raw,
        Err(_) => serde_json::value::to_raw_value(&*text).expect("a string serializes"),
    }
}

/// A polynomial hash of `text` that is the same in every process.
pub(crate) fn stable_hash(text: &str) -> usize {
    text.bytes().fold(0usize, |sum, byte| {
        sum.wrapping_mul(31).wrapping_add(byte.into())
    })
}
