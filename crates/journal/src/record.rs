//! The encoding of log records and the scan of a segment.
//!
//! A record is its length (4 bytes, of what follows the checksum), a CRC-32, the kind (1 byte),
//! the length of the segment that was synced before it was written (8), the length of the group's
//! name (1), that name, an index (8) and a payload. Numbers are little-endian. The checksum also covers the folder id,
//! the segment's number and the record's offset, so that bytes of a record inside a payload, or
//! copied from another file, never pass for a record.

use greengage_core::Index;

/// Bytes before the checksummed part: length and checksum.
const HEADER_BYTES: usize = 8;

/// Bytes of the checksummed part without name and payload.
const FIXED_BODY_BYTES: usize = 18;

/// What a record says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordKind {
    /// The first record of a segment; the payload is the format version.
    SegmentStart,
    /// Only says how much is synced. The first one ends the head of a segment, which
    /// repeats what is in force from older segments.
    SyncMark,
    /// The group's hard state.
    HardState,
    /// The group's snapshot up to the index is in force; all entries are dropped. One record, so
    /// that a torn write never leaves a group without both.
    InstallSnapshot,
    /// The group's snapshot up to the index is in force; entries up to it are dropped.
    Snapshot,
    /// Replaces the group's entries from the index on.
    Entry,
    /// An entry that was moved from an older segment; other entries stay.
    CopiedEntry,
    /// The last record of a segment that another one follows.
    SegmentEnd,
}

const RECORD_KINDS: [RecordKind; 8] = [
    RecordKind::SegmentStart,
    RecordKind::SyncMark,
    RecordKind::HardState,
    RecordKind::InstallSnapshot,
    RecordKind::Snapshot,
    RecordKind::Entry,
    RecordKind::CopiedEntry,
    RecordKind::SegmentEnd,
];

impl RecordKind {
    fn code(self) -> u8 {
        match self {
            RecordKind::SegmentStart => 1,
            RecordKind::SyncMark => 2,
            RecordKind::HardState => 3,
            RecordKind::InstallSnapshot => 4,
            RecordKind::Snapshot => 5,
            RecordKind::Entry => 6,
            RecordKind::CopiedEntry => 7,
            RecordKind::SegmentEnd => 8,
        }
    }
}

/// What identifies a segment, as part of every checksum.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SegmentId {
    pub(crate) folder: u64,
    pub(crate) segment: u64,
}

/// A decoded record.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Record<'a> {
    pub(crate) offset: u64,
    /// Bytes from its offset to the next record.
    pub(crate) len: u64,
    pub(crate) kind: RecordKind,
    pub(crate) group: &'a str,
    pub(crate) index: Index,
    pub(crate) payload: &'a [u8],
}

/// Records of one write, being encoded.
pub(crate) struct Encoder {
    segment_id: SegmentId,
    /// Where the records will be written.
    offset: u64,
    /// The length of the segment that is synced.
    synced_len: u64,
    pub(crate) bytes: Vec<u8>,
}

impl Encoder {
    /// An encoder of records that will be written at `offset`.
    pub(crate) fn new(segment_id: SegmentId, offset: u64, synced_len: u64) -> Encoder {
        Encoder {
            segment_id,
            offset,
            synced_len,
            bytes: Vec::new(),
        }
    }

    /// Encodes a record and returns its offset and length.
    ///
    /// The caller has checked that the length fits 32 bits.
    pub(crate) fn push(
        &mut self,
        kind: RecordKind,
        group: &str,
        index: Index,
        payload: &[u8],
    ) -> (u64, u64) {
        let start = self.bytes.len();
        let offset = self.offset + start as u64;
        let len = FIXED_BODY_BYTES + group.len() + payload.len();
        let len = u32::try_from(len).expect("the caller checked the length");
        self.bytes.extend(len.to_le_bytes());
        self.bytes.extend([0; 4]);
        self.bytes.push(kind.code());
        self.bytes.extend(self.synced_len.to_le_bytes());
        self.bytes.push(group.len() as u8);
        self.bytes.extend(group.as_bytes());
        self.bytes.extend(index.0.to_le_bytes());
        self.bytes.extend(payload);
        let crc = checksum(self.segment_id, offset, &self.bytes[start + HEADER_BYTES..]);
        self.bytes[start + 4..start + HEADER_BYTES].copy_from_slice(&crc.to_le_bytes());
        (offset, (self.bytes.len() - start) as u64)
    }
}

/// Whether a payload fits a record of any group.
pub(crate) fn payload_fits(payload: &[u8]) -> bool {
    payload.len() <= u32::MAX as usize - FIXED_BODY_BYTES - u8::MAX as usize
}

fn checksum(segment_id: SegmentId, offset: u64, body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&segment_id.folder.to_le_bytes());
    hasher.update(&segment_id.segment.to_le_bytes());
    hasher.update(&offset.to_le_bytes());
    hasher.update(&(body.len() as u64).to_le_bytes());
    hasher.update(body);
    hasher.finalize()
}

fn u64_at(bytes: &[u8], start: usize) -> Option<u64> {
    let field = bytes.get(start..start.checked_add(8)?)?;
    Some(u64::from_le_bytes(field.try_into().ok()?))
}

fn u32_at(bytes: &[u8], start: usize) -> Option<u32> {
    let field = bytes.get(start..start.checked_add(4)?)?;
    Some(u32::from_le_bytes(field.try_into().ok()?))
}

/// The record at `offset`, `None` when there is no valid one.
pub(crate) fn decode(segment_id: SegmentId, bytes: &[u8], offset: usize) -> Option<Record<'_>> {
    let len = u32_at(bytes, offset)? as usize;
    let crc = u32_at(bytes, offset + 4)?;
    let body = bytes.get(offset + HEADER_BYTES..(offset + HEADER_BYTES).checked_add(len)?)?;
    if len < FIXED_BODY_BYTES || checksum(segment_id, offset as u64, body) != crc {
        return None;
    }
    let kind = RECORD_KINDS.into_iter().find(|k| k.code() == body[0])?;
    let name_end = 10 + body[9] as usize;
    Some(Record {
        offset: offset as u64,
        len: (HEADER_BYTES + len) as u64,
        kind,
        group: std::str::from_utf8(body.get(10..name_end)?).ok()?,
        index: Index(u64_at(body, name_end)?),
        payload: &body[name_end + 8..],
    })
}

/// The valid records from the start of a segment on.
pub(crate) struct Scan<'a> {
    pub(crate) records: Vec<Record<'a>>,
    /// The end of the last valid record.
    pub(crate) end: u64,
    /// Whether a record behind `end` proves that the bytes at `end` were synced.
    pub(crate) corrupt: bool,
}

/// Decodes records until the first one that is not valid.
pub(crate) fn scan(segment_id: SegmentId, bytes: &[u8]) -> Scan<'_> {
    let mut records = Vec::new();
    let mut end = 0;
    while let Some(record) = decode(segment_id, bytes, end) {
        end += record.len as usize;
        records.push(record);
    }
    let corrupt =
        (end + 1..bytes.len()).any(|offset| proves_synced(segment_id, bytes, offset, end as u64));
    Scan {
        records,
        end: end as u64,
        corrupt,
    }
}

/// Whether a valid record at `offset` was written after the bytes at `invalid_at` had been synced.
fn proves_synced(segment_id: SegmentId, bytes: &[u8], offset: usize, invalid_at: u64) -> bool {
    // Checked before the checksum, since it excludes almost every offset without reading on.
    match u64_at(bytes, offset + HEADER_BYTES + 1) {
        Some(synced_len) if synced_len > invalid_at && synced_len <= offset as u64 => {
            decode(segment_id, bytes, offset).is_some()
        }
        Some(_) | None => false,
    }
}
