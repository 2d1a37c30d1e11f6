//! Journal errors. Each message names a remedy.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use greengage_core::{value, Index, Name, VmName};

/// Error from opening or writing a data folder.
#[value(local)]
pub enum JournalError {
    /// The operating system reported an error.
    Io {
        /// Failed operation, such as `read`.
        action: &'static str,
        /// File or folder that the operation used.
        path: PathBuf,
        /// Kind of the operating system's error.
        kind: io::ErrorKind,
        /// Message of the operating system.
        message: String,
    },
    /// No space left on the disk, or the quota is used up.
    DiskFull {
        /// File whose write failed.
        path: PathBuf,
    },
    /// The data folder does not exist.
    NoFolder {
        /// Configured data folder.
        path: PathBuf,
    },
    /// Another process holds the lock of the data folder.
    Locked {
        /// Locked data folder.
        path: PathBuf,
    },
    /// The identity file names another VM.
    OtherVm {
        /// Configured data folder.
        path: PathBuf,
        /// VM named in the identity file.
        owner: VmName,
        /// VM named in the settings.
        vm: VmName,
    },
    /// `init` found an identity file.
    AlreadyInitialized {
        /// Folder to initialize.
        path: PathBuf,
        /// VM named in the identity file.
        owner: VmName,
    },
    /// The folder holds records but no identity file.
    NoIdentity {
        /// Expected path of the identity file.
        path: PathBuf,
    },
    /// The file has a format version that this version of the program does not support.
    UnsupportedFormat {
        /// Identity or segment file.
        path: PathBuf,
        /// Format version found in the file.
        version: u64,
    },
    /// A file fails its checksum or is malformed.
    Corrupt {
        /// Corrupt file.
        path: PathBuf,
        /// Offset of the first invalid record, in bytes; 0 if the whole file is invalid.
        offset: u64,
        /// Failed check.
        reason: &'static str,
    },
    /// A segment or snapshot that the log refers to is missing.
    MissingFile {
        /// Expected path.
        path: PathBuf,
    },
    /// The recovered entries of a group are not contiguous.
    MissingEntry {
        /// Data folder.
        path: PathBuf,
        /// Group whose log has the gap.
        group: Name,
        /// Lowest missing index.
        missing: Index,
    },
    /// A batch is inconsistent with the records written before it; a bug in the caller.
    OutOfOrder {
        /// Group of the rejected batch.
        group: Name,
        /// Violated rule.
        reason: &'static str,
    },
    /// A payload exceeds the maximum record length of the format.
    RecordTooLong {
        /// Group of the rejected batch.
        group: Name,
        /// Length of the payload in bytes.
        bytes: u64,
    },
    /// The journal stopped after an earlier write failed.
    Stopped {
        /// Error of that write.
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

/// Remedy for a data folder whose content is no longer reliable.
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
            JournalError::AlreadyInitialized { path, owner } => write!(
                f,
                "data folder {} is already initialized for VM {owner:?}: start without \
                 initializing it or give an empty folder",
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
                "{} is corrupt at offset {offset} ({reason}): check the disk, {REPLACE_VOTER}",
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
                "batch of group {group} rejected: {reason}: report this as a bug"
            ),
            JournalError::RecordTooLong { group, bytes } => write!(
                f,
                "record of group {group} is too long, {bytes} bytes: submit smaller payloads"
            ),
            JournalError::Stopped { cause } => {
                write!(f, "journal stopped after an earlier write error ({cause})")
            }
        }
    }
}

impl std::error::Error for JournalError {}
