//! Errors, each with its remedy.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use greengage_core::{value, Index, Name, VmName};

/// Why a data folder can't be opened or written.
#[value(local)]
pub enum JournalError {
    /// The system refused an operation.
    Io {
        /// The operation, as in `read`.
        action: &'static str,
        /// The file or folder.
        path: PathBuf,
        /// The kind of error.
        kind: io::ErrorKind,
        /// The system's message.
        message: String,
    },
    /// The disk or the quota is full.
    DiskFull {
        /// The file that was written.
        path: PathBuf,
    },
    /// The data folder doesn't exist.
    NoFolder {
        /// The folder.
        path: PathBuf,
    },
    /// The folder is locked by another process.
    Locked {
        /// The folder.
        path: PathBuf,
    },
    /// The folder belongs to another VM.
    OtherVm {
        /// The folder.
        path: PathBuf,
        /// The VM in the identity file.
        owner: VmName,
        /// The VM in the settings.
        vm: VmName,
    },
    /// The folder to prepare has an identity.
    Initialized {
        /// The folder.
        path: PathBuf,
        /// Its VM.
        owner: VmName,
    },
    /// The folder holds records but no identity.
    NoIdentity {
        /// The identity file.
        path: PathBuf,
    },
    /// The file has a format of another version of the program.
    UnsupportedFormat {
        /// The file.
        path: PathBuf,
        /// The version in the file.
        version: u64,
    },
    /// A file is damaged.
    Corrupt {
        /// The file.
        path: PathBuf,
        /// Where in the file.
        offset: u64,
        /// What is wrong.
        reason: &'static str,
    },
    /// A file that others need is missing.
    MissingFile {
        /// The file.
        path: PathBuf,
    },
    /// Entries are missing between two that were recovered.
    MissingEntry {
        /// The data folder.
        path: PathBuf,
        /// The group.
        group: Name,
        /// The first missing entry.
        missing: Index,
    },
    /// A batch doesn't follow what was written before; a fault of the caller.
    OutOfOrder {
        /// The group.
        group: Name,
        /// What is wrong.
        reason: &'static str,
    },
    /// A record is longer than the format allows.
    RecordTooLong {
        /// The group.
        group: Name,
        /// The length in bytes.
        bytes: u64,
    },
    /// An earlier write failed.
    Stopped {
        /// Its error.
        cause: Box<JournalError>,
    },
}

impl JournalError {
    pub(crate) fn io(action: &'static str, path: &Path, error: &io::Error) -> JournalError {
        let path = path.to_path_buf();
        match error.kind() {
            io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded => {
                JournalError::DiskFull { path }
            }
            kind => JournalError::Io {
                action,
                path,
                kind,
                message: error.to_string(),
            },
        }
    }

    pub(crate) fn corrupt(path: &Path, offset: u64, reason: &'static str) -> JournalError {
        JournalError::Corrupt {
            path: path.to_path_buf(),
            offset,
            reason,
        }
    }
}

/// The remedy for a folder whose content can't be trusted any more.
const REPLACE_VOTER: &str =
    "move the data folder away, start with an empty one and replace the voter";

impl fmt::Display for JournalError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            JournalError::Io {
                action,
                path,
                kind: io::ErrorKind::PermissionDenied,
                ..
            } => write!(
                f,
                "cannot {action} {}: permission denied: give the user of this process read and \
                 write access to the data folder",
                path.display()
            ),
            JournalError::Io {
                action,
                path,
                message,
                ..
            } => write!(
                f,
                "cannot {action} {}: {message}: check the disk and restart",
                path.display()
            ),
            JournalError::DiskFull { path } => write!(
                f,
                "cannot write {}: the disk is full: free space or raise the quota, then restart",
                path.display()
            ),
            JournalError::NoFolder { path } => write!(
                f,
                "data folder {} does not exist: mount its disk or create the folder",
                path.display()
            ),
            JournalError::Locked { path } => write!(
                f,
                "data folder {} is in use by another process: stop that process or give another \
                 folder",
                path.display()
            ),
            JournalError::OtherVm { path, owner, vm } => write!(
                f,
                "data folder {} belongs to VM {owner:?}, this is VM {vm:?}: give this VM's own \
                 folder or an empty one",
                path.display()
            ),
            JournalError::Initialized { path, owner } => write!(
                f,
                "data folder {} was prepared for VM {owner:?} before: start without preparing it \
                 or give an empty folder",
                path.display()
            ),
            JournalError::NoIdentity { path } => write!(
                f,
                "{} is missing but the folder holds records: restore the file, or {REPLACE_VOTER}",
                path.display()
            ),
            JournalError::UnsupportedFormat { path, version } => write!(
                f,
                "{} has format version {version}: use the version of the program that wrote it",
                path.display()
            ),
            JournalError::Corrupt {
                path,
                offset,
                reason,
            } => write!(
                f,
                "{} is damaged at offset {offset} ({reason}): check the disk, {REPLACE_VOTER}",
                path.display()
            ),
            JournalError::MissingFile { path } => {
                write!(
                    f,
                    "{} is missing: restore it, or {REPLACE_VOTER}",
                    path.display()
                )
            }
            JournalError::MissingEntry {
                path,
                group,
                missing,
            } => write!(
                f,
                "data folder {} has no entry {missing} of group {group} although later ones \
                 exist: restore the missing file, or {REPLACE_VOTER}",
                path.display()
            ),
            JournalError::OutOfOrder { group, reason } => write!(
                f,
                "batch of group {group} refused: {reason}: report this as a fault of the program"
            ),
            JournalError::RecordTooLong { group, bytes } => write!(
                f,
                "a record of group {group} has {bytes} bytes: submit smaller payloads"
            ),
            JournalError::Stopped { cause } => {
                write!(f, "nothing is written after an earlier error ({cause})")
            }
        }
    }
}

impl std::error::Error for JournalError {}
