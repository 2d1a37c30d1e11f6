//! Names as shared immutable strings.
//!
//! A name that enters the process is validated once, when its `Name` is constructed, so every
//! `Name` is valid. Each kind of name has a type of its own, so a target's name can't be passed
//! where a VM's is expected.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 128;

/// A validated, shared, immutable string.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Name(Arc<str>);

/// Why a string isn't a valid name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NameError {
    /// The string is empty.
    Empty,
    /// The string is longer than [`MAX_NAME_BYTES`]; holds its length in bytes.
    TooLong(usize),
    /// The string has this character, which isn't allowed in names.
    Character(char),
}

impl fmt::Display for NameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            NameError::Empty => write!(f, "a name is empty: give at least one character"),
            NameError::TooLong(bytes) => write!(
                f,
                "a name has {bytes} bytes: shorten it to {MAX_NAME_BYTES} or fewer"
            ),
            NameError::Character(c) => write!(
                f,
                "a name has the character {c:?}: use letters, digits and any of . _ : @ -"
            ),
        }
    }
}

impl std::error::Error for NameError {}

impl Name {
    /// Validates `text` and makes a name of it.
    pub fn new(text: &str) -> Result<Name, NameError> {
        if text.is_empty() {
            return Err(NameError::Empty);
        }
        if text.len() > MAX_NAME_BYTES {
            return Err(NameError::TooLong(text.len()));
        }
        match text.chars().find(|c| !is_name_char(*c)) {
            Some(c) => Err(NameError::Character(c)),
            None => Ok(Name(text.into())),
        }
    }

    /// The text of the name.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

fn is_name_char(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | ':' | '@' | '-')
}

impl fmt::Display for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::str::FromStr for Name {
    type Err = NameError;

    fn from_str(text: &str) -> Result<Name, NameError> {
        Name::new(text)
    }
}

impl fmt::Debug for Name {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?}", &self.0)
    }
}

impl Borrow<str> for Name {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl Serialize for Name {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Name {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Name, D::Error> {
        let text = String::deserialize(deserializer)?;
        Name::new(&text).map_err(serde::de::Error::custom)
    }
}

macro_rules! name_types {
    ($($(#[$doc:meta])* $name:ident;)*) => {$(
        $(#[$doc])*
        #[greengage_derive::value(key)]
        #[serde(transparent)]
        pub struct $name(pub Name);

        impl $name {
            /// Validates `text` and makes a name of it.
            pub fn new(text: &str) -> Result<$name, NameError> {
                Name::new(text).map($name)
            }

            /// The text of the name.
            pub fn as_str(&self) -> &str {
                self.0.as_str()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }

        impl std::str::FromStr for $name {
            type Err = NameError;

            fn from_str(text: &str) -> Result<$name, NameError> {
                $name::new(text)
            }
        }
    )*};
}

name_types! {
    /// A machine that runs this daemon.
    VmName;
    /// An availability zone.
    ZoneName;
    /// A client account.
    AccountName;
    /// A template; also names the kind of work that a target takes.
    TemplateName;
    /// A target: an executor or a worker that runs tasks.
    TargetName;
    /// A rack of workers.
    RackName;
    /// A socket address in text form, `IP:port`.
    Address;
}
