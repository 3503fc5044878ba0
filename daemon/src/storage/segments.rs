//! Which files make up a journal, and what they hold.

use std::path::{
    Path,
    PathBuf, //
};

use super::{
    disk::Disk,
    error::StorageError,
    folder::io_error,
    record::{
        Damage,
        FORMAT_VERSION,
        Found,
        HeaderError,
        Record,
        SEGMENT_HEADER_BYTES,
        SegmentHeader,
        TornTail,
        read_at, //
    },
};

/// What a segment's file name says.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub(super) struct SegmentName {
    pub generation: u64,
    pub first_sequence: u64,
}

impl SegmentName {
    pub(super) fn first() -> Self {
        Self {
            generation: 1,
            first_sequence: 1,
        }
    }

    pub(super) fn file_name(self, journal: &str) -> String {
        format!(
            "{journal}-{:010}-{:020}.log",
            self.generation, self.first_sequence
        )
    }

    pub(super) fn header(self, opens_generation: bool) -> SegmentHeader {
        SegmentHeader {
            generation: self.generation,
            first_sequence: self.first_sequence,
            opens_generation,
        }
    }
}

pub(super) fn temporary_path(folder: &Path, journal: &str) -> PathBuf {
    folder.join(format!("{journal}.tmp"))
}

/// Returns the journal and the segment that a file name stands for.
pub(super) fn parse_file_name(file_name: &str) -> Option<(&str, SegmentName)> {
    let stem = file_name.strip_suffix(".log")?;
    let (rest, first_sequence) = stem.rsplit_once('-')?;
    let (journal, generation) = rest.rsplit_once('-')?;
    let segment = SegmentName {
        generation: generation.parse().ok()?,
        first_sequence: first_sequence.parse().ok()?,
    };
    Some((journal, segment))
}

/// The files of one journal.
#[derive(Debug, Default)]
pub(super) struct Listed {
    /// All segments, oldest first.
    pub segments: Vec<SegmentName>,
    /// Whether an unfinished file lies there.
    pub has_temporary: bool,
}

pub(super) fn list_segments(
    disk: &dyn Disk,
    folder: &Path,
    journal: &str,
) -> Result<Listed, StorageError> {
    let names = disk
        .list(folder)
        .map_err(|source| io_error("list", folder, source))?;
    let mut listed = Listed::default();
    for name in &names {
        match parse_file_name(name) {
            Some((of, segment)) if of == journal => listed.segments.push(segment),
            _ => listed.has_temporary |= *name == format!("{journal}.tmp"),
        }
    }
    listed.segments.sort();
    Ok(listed)
}

/// One segment, read and checked.
#[derive(Debug)]
pub(super) struct ReadSegment {
    pub records: Vec<Record>,
    /// The bytes of the whole records, without the header.
    pub kept: Vec<u8>,
    pub torn_tail: Option<TornTail>,
    pub next_sequence: u64,
}

/// The newest generation of a journal, read and checked.
#[derive(Debug)]
pub(super) struct ReadGeneration {
    pub records: Vec<Record>,
    pub torn_tail: Option<TornTail>,
    pub next_sequence: u64,
    /// How many segments there are.
    pub segments: usize,
    /// The bytes of all segments but the last.
    pub closed_bytes: u64,
    /// The last segment and the bytes of its whole records.
    pub last: Option<(SegmentName, Vec<u8>)>,
}

pub(super) fn read_generation(
    disk: &dyn Disk,
    folder: &Path,
    journal: &str,
    listed: &Listed,
) -> Result<ReadGeneration, StorageError> {
    let mut read = ReadGeneration {
        records: Vec::new(),
        torn_tail: None,
        next_sequence: SegmentName::first().first_sequence,
        segments: 0,
        closed_bytes: 0,
        last: None,
    };
    let newest = listed.segments.last().map(|segment| segment.generation);
    for name in &listed.segments {
        if Some(name.generation) == newest {
            read.add_segment(disk, folder, journal, *name)?;
        }
    }
    Ok(read)
}

impl ReadGeneration {
    fn add_segment(
        &mut self,
        disk: &dyn Disk,
        folder: &Path,
        journal: &str,
        name: SegmentName,
    ) -> Result<(), StorageError> {
        let path = folder.join(name.file_name(journal));
        let opens_generation = self.segments == 0;
        if let Some(torn) = self.torn_tail {
            return Err(self.incomplete_before(folder, journal, torn));
        }
        let segment = read_segment(disk, &path, name, opens_generation)?;
        if !opens_generation && name.first_sequence != self.next_sequence {
            return Err(StorageError::SegmentMissing {
                name: journal.to_owned(),
                expected: self.next_sequence,
                found: name.first_sequence,
                path,
            });
        }
        if let Some((_, kept)) = &self.last {
            self.closed_bytes += (SEGMENT_HEADER_BYTES + kept.len()) as u64;
        }
        self.segments += 1;
        self.records.extend(segment.records);
        self.torn_tail = segment.torn_tail;
        self.next_sequence = segment.next_sequence;
        self.last = Some((name, segment.kept));
        Ok(())
    }

    /// A segment is begun only after the one before it was synced whole.
    fn incomplete_before(&self, folder: &Path, journal: &str, torn: TornTail) -> StorageError {
        let name = self.last.as_ref().map(|(name, _)| *name);
        let name = name.unwrap_or(SegmentName::first());
        StorageError::Damaged {
            path: folder.join(name.file_name(journal)),
            offset: torn.kept_bytes,
            damage: Damage::Incomplete,
        }
    }
}

fn read_segment(
    disk: &dyn Disk,
    path: &Path,
    name: SegmentName,
    opens_generation: bool,
) -> Result<ReadSegment, StorageError> {
    let bytes = disk
        .read(path)
        .map_err(|source| io_error("read", path, source))?;
    check_header(&bytes, path, name, opens_generation)?;
    let mut segment = ReadSegment {
        records: Vec::new(),
        kept: Vec::new(),
        torn_tail: None,
        next_sequence: name.first_sequence,
    };
    let mut offset = SEGMENT_HEADER_BYTES;
    loop {
        match read_at(&bytes, offset, segment.next_sequence) {
            Found::Record { payload, end } => {
                segment.records.push(Record {
                    sequence: segment.next_sequence,
                    payload: payload.to_vec(),
                });
                segment.next_sequence += 1;
                offset = end;
            }
            Found::End => break,
            Found::Torn => {
                segment.torn_tail = Some(TornTail {
                    kept_bytes: offset as u64,
                    cut_bytes: (bytes.len() - offset) as u64,
                });
                break;
            }
            Found::Damaged(damage) => return Err(damaged(path, offset, damage)),
        }
    }
    segment.kept = bytes[SEGMENT_HEADER_BYTES..offset].to_vec();
    Ok(segment)
}

fn check_header(
    bytes: &[u8],
    path: &Path,
    name: SegmentName,
    opens_generation: bool,
) -> Result<(), StorageError> {
    match SegmentHeader::decode(bytes) {
        // The flag shows a generation whose first segment has been lost.
        Ok(header) if header == name.header(opens_generation) => Ok(()),
        Ok(_) => Err(damaged(path, 0, Damage::Sequence)),
        Err(HeaderError::Damaged(damage)) => Err(damaged(path, 0, damage)),
        Err(HeaderError::Version(found)) => Err(StorageError::FormatVersion {
            path: path.to_owned(),
            found,
            known: FORMAT_VERSION,
        }),
    }
}

fn damaged(path: &Path, offset: usize, damage: Damage) -> StorageError {
    StorageError::Damaged {
        path: path.to_owned(),
        offset: offset as u64,
        damage,
    }
}
