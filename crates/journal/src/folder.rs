//! Files of a data folder: names, the identity file and snapshot files.
//!
//! The folder holds `identity`, `lock`, `segment-<number>` and `snapshot-<index>-<group>`. The
//! identity and snapshot files are written as `temporary-<name>` and then renamed; leftover
//! temporary files are removed when the folder is opened. Other files are ignored.

use std::path::{Path, PathBuf};

use greengage_core::{value, Index, Name, NodeId, VmName};

use crate::disk::Disk;
use crate::error::JournalError;

/// Format version of segment, snapshot and identity files.
pub(crate) const FORMAT_VERSION: u64 = 1;

pub(crate) const IDENTITY_FILE: &str = "identity";
pub(crate) const LOCK_FILE: &str = "lock";
const TEMPORARY_PREFIX: &str = "temporary-";
const SEGMENT_PREFIX: &str = "segment-";
const SNAPSHOT_PREFIX: &str = "snapshot-";

/// Owner of a data folder.
#[value(local)]
pub struct Identity {
    /// VM and folder id.
    pub node: NodeId,
    /// Whether the folder was empty and was assigned its id by this call.
    pub created: bool,
}

/// Kind of a file in a data folder, parsed from its name.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum FileKind {
    Identity,
    Segment(u64),
    Snapshot { index: Index, group: Name },
    Temporary,
    Other,
}

impl FileKind {
    pub(crate) fn parse(name: &str) -> FileKind {
        if name == IDENTITY_FILE {
            return FileKind::Identity;
        }
        if name.starts_with(TEMPORARY_PREFIX) {
            return FileKind::Temporary;
        }
        if let Some(number) = name.strip_prefix(SEGMENT_PREFIX) {
            if let Some(number) = parse_number(number) {
                return FileKind::Segment(number);
            }
        }
        if let Some((index, group)) = name
            .strip_prefix(SNAPSHOT_PREFIX)
            .and_then(|n| n.split_once('-'))
        {
            if let (Some(index), Ok(group)) = (parse_number(index), Name::new(group)) {
                let index = Index(index);
                return FileKind::Snapshot { index, group };
            }
        }
        FileKind::Other
    }
}

fn parse_number(text: &str) -> Option<u64> {
    let digits = text.len() == 20 && text.bytes().all(|b| b.is_ascii_digit());
    text.parse().ok().filter(|_| digits)
}

pub(crate) fn segment_file_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:020}")
}

pub(crate) fn snapshot_file_name(index: Index, group: &Name) -> String {
    format!("{SNAPSHOT_PREFIX}{:020}-{group}", index.0)
}

/// Path under which a file is written before it is renamed to `name`.
pub(crate) fn temporary_path(folder: &Path, name: &str) -> PathBuf {
    folder.join(format!("{TEMPORARY_PREFIX}{name}"))
}

pub(crate) fn encode_identity(node: &NodeId) -> String {
    let text = format!(
        "greengageproxy data folder\nformat: {FORMAT_VERSION}\nvm: {}\nfolder: {}\n",
        node.vm, node.folder
    );
    let checksum = crc32fast::hash(text.as_bytes());
    format!("{text}checksum: {checksum:08x}\n")
}

/// Reads the identity file; `None` if it does not exist.
pub(crate) fn read_identity(
    disk: &dyn Disk,
    folder: &Path,
) -> Result<Option<NodeId>, JournalError> {
    let path = folder.join(IDENTITY_FILE);
    let bytes = match disk.read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => return Ok(None),
        Err(error) => return Err(JournalError::io("read", &path, &error)),
    };
    let corrupt = || JournalError::corrupt(&path, 0, "invalid identity file");
    let text = std::str::from_utf8(&bytes).map_err(|_| corrupt())?;
    let (fields, checksum) = text.rsplit_once("checksum: ").ok_or_else(corrupt)?;
    if checksum != format!("{:08x}\n", crc32fast::hash(fields.as_bytes())) {
        return Err(corrupt());
    }
    let field = |name| fields.lines().find_map(|line| line.strip_prefix(name));
    let number = |name| field(name).and_then(|text| text.parse().ok());
    match number("format: ") {
        Some(FORMAT_VERSION) => {}
        Some(version) => return Err(JournalError::UnsupportedFormat { path, version }),
        None => return Err(corrupt()),
    }
    let vm = field("vm: ").and_then(|vm| VmName::new(vm).ok());
    Ok(Some(NodeId {
        vm: vm.ok_or_else(corrupt)?,
        folder: number("folder: ").ok_or_else(corrupt)?,
    }))
}

/// Checksum behind the payload of a snapshot file. Snapshot files have no format version; it is in
/// the identity file and in each segment.
const SNAPSHOT_TRAILER_BYTES: usize = 4;

/// Incremental checksum of a snapshot file.
pub(crate) struct SnapshotChecksum(crc32fast::Hasher);

impl SnapshotChecksum {
    pub(crate) fn new(folder: u64, group: &Name, index: Index) -> SnapshotChecksum {
        let mut hasher = crc32fast::Hasher::new();
        hasher.update(&folder.to_le_bytes());
        hasher.update(&index.0.to_le_bytes());
        hasher.update(group.as_str().as_bytes());
        SnapshotChecksum(hasher)
    }

    pub(crate) fn update(&mut self, piece: &[u8]) {
        self.0.update(piece);
    }

    /// Trailer of a snapshot file with a payload of `len` bytes.
    pub(crate) fn trailer(self, len: usize) -> [u8; SNAPSHOT_TRAILER_BYTES] {
        let mut hasher = self.0;
        hasher.update(&(len as u64).to_le_bytes());
        hasher.finalize().to_le_bytes()
    }
}

/// Reads and verifies a snapshot file and returns its payload.
pub(crate) fn read_snapshot(
    disk: &dyn Disk,
    folder: &Path,
    folder_id: u64,
    group: &Name,
    index: Index,
) -> Result<Vec<u8>, JournalError> {
    let path = folder.join(snapshot_file_name(index, group));
    let mut bytes = match disk.read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == std::io::ErrorKind::NotFound => {
            return Err(JournalError::MissingFile { path })
        }
        Err(error) => return Err(JournalError::io("read", &path, &error)),
    };
    let Some(len) = bytes.len().checked_sub(SNAPSHOT_TRAILER_BYTES) else {
        return Err(JournalError::corrupt(&path, 0, "file too short"));
    };
    let mut checksum = SnapshotChecksum::new(folder_id, group, index);
    checksum.update(&bytes[..len]);
    if bytes[len..] != checksum.trailer(len) {
        return Err(JournalError::corrupt(&path, 0, "checksum mismatch"));
    }
    bytes.truncate(len);
    Ok(bytes)
}
