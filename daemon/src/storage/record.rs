//! The bytes of a segment: a header, then records, each with two checksums.
//!
//! A record is `length u32, sequence u64, crc of these u32, payload, crc of the
//! payload u32, end mark u8`, all little-endian. The header's own checksum makes
//! a flipped length visible as damage; without it the record would seem to reach
//! beyond the end of the file, and synced records would be cut as a torn tail.
//! The end mark is never zero: a whole record with a wrong checksum is damage,
//! whereas a tail that was never written is short or ends in zeros.

use displaydoc::Display;
use thiserror::Error;

/// The version of the format that this program writes and reads.
pub(super) const FORMAT_VERSION: u16 = 1;
/// The length of a segment's header.
pub(super) const SEGMENT_HEADER_BYTES: usize = 32;
/// The largest payload of one record.
pub(super) const RECORD_LIMIT_BYTES: usize = 64 * 1024 * 1024;

const MAGIC: [u8; 8] = *b"CICADABJ";
const RECORD_HEADER_BYTES: usize = 16;
const RECORD_TRAILER_BYTES: usize = 5;
const END_MARK: u8 = 0xa5;

/// One record of a journal.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Record {
    /// Its number; grows by one with each record of the journal.
    pub sequence: u64,
    /// What the journal's user stored.
    pub payload: Vec<u8>,
}

/// What a damaged file shows.
#[derive(Clone, Copy, Debug, Display, Eq, Error, PartialEq)]
pub enum Damage {
    /// the file is not a journal segment
    NoSegment,
    /// the checksum of the segment's header is wrong
    SegmentHeader,
    /// the checksum of a record's header is wrong
    RecordHeader,
    /// the checksum of a record's payload is wrong
    Payload,
    /// the end mark of a record is wrong
    EndMark,
    /// a record has another sequence number than its place
    Sequence,
    /// a record is incomplete, and the file is not the last one
    Incomplete,
}

/// What was cut off the end of a journal, because it was never synced.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct TornTail {
    /// The length of the file up to its last whole record.
    pub kept_bytes: u64,
    /// The bytes after it.
    pub cut_bytes: u64,
}

/// The header of a segment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct SegmentHeader {
    /// Grows by one with each rewrite of the journal.
    pub generation: u64,
    /// The number of the segment's first record.
    pub first_sequence: u64,
    /// Whether the generation begins with this segment.
    pub opens_generation: bool,
}

/// Why a segment's header cannot be used.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum HeaderError {
    Damaged(Damage),
    Version(u16),
}

impl SegmentHeader {
    pub(super) fn encode(self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(SEGMENT_HEADER_BYTES);
        bytes.extend_from_slice(&MAGIC);
        bytes.extend_from_slice(&FORMAT_VERSION.to_le_bytes());
        bytes.extend_from_slice(&u16::from(self.opens_generation).to_le_bytes());
        bytes.extend_from_slice(&self.generation.to_le_bytes());
        bytes.extend_from_slice(&self.first_sequence.to_le_bytes());
        bytes.extend_from_slice(&crc32fast::hash(&bytes).to_le_bytes());
        bytes
    }

    pub(super) fn decode(bytes: &[u8]) -> Result<Self, HeaderError> {
        let header = bytes
            .get(..SEGMENT_HEADER_BYTES)
            .ok_or(HeaderError::Damaged(Damage::NoSegment))?;
        if header[..8] != MAGIC {
            return Err(HeaderError::Damaged(Damage::NoSegment));
        }
        // Checked before the version: a flipped bit must not read as another version.
        let sum_at = SEGMENT_HEADER_BYTES - 4;
        if crc32fast::hash(&header[..sum_at]) != number_u32(header, sum_at) {
            return Err(HeaderError::Damaged(Damage::SegmentHeader));
        }
        let version = u16::from_le_bytes([header[8], header[9]]);
        if version != FORMAT_VERSION {
            return Err(HeaderError::Version(version));
        }
        Ok(Self {
            opens_generation: header[10] != 0,
            generation: number_u64(header, 12),
            first_sequence: number_u64(header, 20),
        })
    }
}

pub(super) fn encode_record(sequence: u64, payload: &[u8], into: &mut Vec<u8>) {
    let start = into.len();
    // PANIC: none; callers refuse payloads above `RECORD_LIMIT_BYTES`, far below 2^32.
    let length = payload.len() as u32;
    into.extend_from_slice(&length.to_le_bytes());
    into.extend_from_slice(&sequence.to_le_bytes());
    let header_sum = crc32fast::hash(&into[start..]);
    into.extend_from_slice(&header_sum.to_le_bytes());
    into.extend_from_slice(payload);
    into.extend_from_slice(&crc32fast::hash(payload).to_le_bytes());
    into.push(END_MARK);
}

/// What stands at one place of a segment.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum Found<'bytes> {
    /// A whole record and the offset after it.
    Record { payload: &'bytes [u8], end: usize },
    /// The end of the file.
    End,
    /// Bytes that were never wholly written.
    Torn,
    /// Bytes that were written and have changed since.
    Damaged(Damage),
}

/// Reads what stands at an offset where a record with this sequence number is due.
pub(super) fn read_at(bytes: &[u8], offset: usize, sequence: u64) -> Found<'_> {
    let rest = &bytes[offset..];
    if rest.is_empty() {
        return Found::End;
    }
    if rest.len() < RECORD_HEADER_BYTES + RECORD_TRAILER_BYTES {
        return Found::Torn;
    }
    if crc32fast::hash(&rest[..12]) != number_u32(rest, 12) {
        return torn_if_zero_from(rest, RECORD_HEADER_BYTES, Damage::RecordHeader);
    }
    let payload_end = RECORD_HEADER_BYTES + number_u32(rest, 0) as usize;
    let end = payload_end + RECORD_TRAILER_BYTES;
    if number_u64(rest, 4) != sequence {
        return Found::Damaged(Damage::Sequence);
    }
    if rest.len() < end {
        return Found::Torn;
    }
    let payload = &rest[RECORD_HEADER_BYTES..payload_end];
    if crc32fast::hash(payload) != number_u32(rest, payload_end) {
        return torn_if_zero_from(rest, end - 1, Damage::Payload);
    }
    if rest[end - 1] != END_MARK {
        return torn_if_zero_from(rest, end - 1, Damage::EndMark);
    }
    Found::Record {
        payload,
        end: offset + end,
    }
}

/// A file system may lengthen a file before the bytes arrive; they then read as zeros.
fn torn_if_zero_from(rest: &[u8], from: usize, damage: Damage) -> Found<'_> {
    if rest[from..].iter().all(|byte| *byte == 0) {
        Found::Torn
    } else {
        Found::Damaged(damage)
    }
}

fn number_u32(bytes: &[u8], at: usize) -> u32 {
    let mut number = [0; 4];
    number.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(number)
}

fn number_u64(bytes: &[u8], at: usize) -> u64 {
    let mut number = [0; 8];
    number.copy_from_slice(&bytes[at..at + 8]);
    u64::from_le_bytes(number)
}
