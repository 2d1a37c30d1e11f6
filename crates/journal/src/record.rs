//! Record encoding and segment scans.
//!
//! A record consists of the length of the body (4 bytes), a CRC-32 (4), and the body: kind (1),
//! length up to which the segment was synced when the record was written (8), length of the group
//! name (1), group name, index (8) and payload. Numbers are little-endian. The checksum also
//! covers the folder id, the segment number and the record's offset, so that bytes of a record
//! inside a payload, or copied from another file, are not accepted as a record.

use greengage_core::Index;

/// Length and checksum, which precede the body.
const HEADER_BYTES: usize = 8;

/// Body without group name and payload.
const FIXED_BODY_BYTES: usize = 18;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordKind {
    /// First record of a segment; the payload is the format version.
    SegmentStart,
    /// Carries only the synced length. The first one ends the head of a segment, which repeats
    /// the hard states and snapshot indexes from older segments.
    SyncMark,
    /// Replaces the group's hard state.
    HardState,
    /// Makes the snapshot at the index current and drops all entries. A single record, so that a
    /// torn write never drops the entries without installing the snapshot.
    InstallSnapshot,
    /// Makes the snapshot at the index current and drops entries up to the index.
    Snapshot,
    /// Appends an entry; entries from its index on are dropped first.
    Entry,
    /// Entry copied from an older segment; other entries are kept.
    CopiedEntry,
    /// Last record of a segment that has a successor.
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

/// Identity of a segment, included in the checksum of each of its records.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SegmentId {
    pub(crate) folder: u64,
    pub(crate) segment: u64,
}

#[derive(Clone, Copy, Debug)]
pub(crate) struct Record<'a> {
    pub(crate) offset: u64,
    /// Encoded length in bytes, header included.
    pub(crate) len: u64,
    pub(crate) kind: RecordKind,
    /// Length up to which the segment was synced when the record was written.
    pub(crate) synced_len: u64,
    pub(crate) group: &'a str,
    pub(crate) index: Index,
    pub(crate) payload: &'a [u8],
}

/// Encodes the records of one write.
pub(crate) struct Encoder {
    segment_id: SegmentId,
    /// Segment offset of the first record.
    offset: u64,
    /// Length of the segment, in bytes, that is synced.
    synced_len: u64,
    pub(crate) bytes: Vec<u8>,
}

impl Encoder {
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
    /// # Panics
    ///
    /// If the body exceeds `u32::MAX` bytes; see [`payload_fits`].
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

/// Whether a record with this payload and a group name of any length can be encoded.
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

/// Decodes the record at `offset`; `None` if there is no valid record.
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
        synced_len: u64_at(body, 1)?,
        group: std::str::from_utf8(body.get(10..name_end)?).ok()?,
        index: Index(u64_at(body, name_end)?),
        payload: &body[name_end + 8..],
    })
}

/// Leading valid records of a segment.
pub(crate) struct Scan<'a> {
    pub(crate) records: Vec<Record<'a>>,
    /// Offset behind the last of `records`.
    pub(crate) end: u64,
    /// Whether a record behind `end` proves that the bytes at `end` had been synced.
    pub(crate) corrupt: bool,
}

impl Scan<'_> {
    /// Length that the records prove to be synced.
    pub(crate) fn synced_len(&self) -> u64 {
        let lengths = self.records.iter().map(|record| record.synced_len);
        lengths.max().unwrap_or(0)
    }
}

/// Decodes records up to the first invalid one.
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

/// Whether a valid record at `offset` was written after the bytes at `invalid_at` were synced.
fn proves_synced(segment_id: SegmentId, bytes: &[u8], offset: usize, invalid_at: u64) -> bool {
    // Checked before the checksum because it rules out almost every offset at little cost.
    match u64_at(bytes, offset + HEADER_BYTES + 1) {
        Some(synced_len) if synced_len > invalid_at && synced_len <= offset as u64 => {
            decode(segment_id, bytes, offset).is_some()
        }
        Some(_) | None => false,
    }
}
