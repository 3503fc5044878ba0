//! A journal: records in segment files, durable once synced.

use std::path::{
    Path,
    PathBuf, //
};

use super::{
    disk::DiskFile,
    error::StorageError,
    folder::{
        DataFolder,
        io_error, //
    },
    record::{
        RECORD_LIMIT_BYTES,
        Record,
        SEGMENT_HEADER_BYTES,
        SegmentHeader,
        TornTail,
        encode_record, //
    },
    segments::{
        SegmentName,
        list_segments,
        read_generation,
        temporary_path, //
    },
};

/// How a journal is laid out.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JournalSettings {
    /// The size from which a new segment file is begun.
    pub segment_bytes: u64,
}

impl Default for JournalSettings {
    fn default() -> Self {
        Self {
            segment_bytes: 16 * 1024 * 1024,
        }
    }
}

/// What a journal held when it was opened.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Recovered {
    /// The records since the last rewrite, oldest first.
    pub records: Vec<Record>,
    /// What was cut because it had never been synced.
    pub torn_tail: Option<TornTail>,
}

/// Records in segment files; what [`Journal::sync`] has returned for is durable.
pub struct Journal {
    folder: DataFolder,
    name: String,
    settings: JournalSettings,
    segment: OpenSegment,
    /// The bytes of earlier segments of this generation.
    closed_bytes: u64,
    /// Records that are taken but neither written nor synced.
    pending: Vec<u8>,
    /// The number of the next record.
    next_sequence: u64,
    /// The number after the last synced record.
    synced_end: u64,
    poisoned: bool,
}

struct OpenSegment {
    name: SegmentName,
    path: PathBuf,
    file: Box<dyn DiskFile>,
    /// The file's length up to the last synced record.
    synced_bytes: u64,
}

impl Journal {
    /// Opens a journal, makes it if there is none, and returns its records.
    ///
    /// The last segment is written anew and synced: this drops a torn tail, and
    /// makes durable whatever was read from the page cache. After a failed sync
    /// the kernel may show pages as clean that are not on the disk.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::Damaged`] or [`StorageError::SegmentMissing`] if
    /// records that were synced are lost; nothing is changed then.
    pub fn open(
        folder: &DataFolder,
        name: &str,
        settings: JournalSettings,
    ) -> Result<(Self, Recovered), StorageError> {
        folder.claim_journal(name)?;
        let opened = Self::open_claimed(folder, name, settings);
        if opened.is_err() {
            folder.release_journal(name);
        }
        opened
    }

    fn open_claimed(
        folder: &DataFolder,
        name: &str,
        settings: JournalSettings,
    ) -> Result<(Self, Recovered), StorageError> {
        let listed = list_segments(folder.disk(), folder.path(), name)?;
        let mut read = read_generation(folder.disk(), folder.path(), name, &listed)?;
        let (last, kept) = match read.last.take() {
            Some((last, kept)) => (last, kept),
            None => (SegmentName::first(), Vec::new()),
        };
        let header = last.header(read.segments <= 1);
        let segment = write_segment(folder, name, last, header, &kept)?;
        remove_old_files(folder, name, last.generation)?;
        let next_sequence = read.next_sequence;
        let journal = Self {
            folder: folder.clone(),
            name: name.to_owned(),
            settings,
            segment,
            closed_bytes: read.closed_bytes,
            pending: Vec::new(),
            next_sequence,
            synced_end: next_sequence,
            poisoned: false,
        };
        let recovered = Recovered {
            records: read.records,
            torn_tail: read.torn_tail,
        };
        Ok((journal, recovered))
    }

    /// Takes a record into memory and returns its number; [`Self::sync`] makes it durable.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::RecordTooLarge`] or [`StorageError::Poisoned`]; the
    /// record is not taken then.
    pub fn append(&mut self, payload: &[u8]) -> Result<u64, StorageError> {
        self.refuse_if_poisoned()?;
        refuse_if_large(payload)?;
        let sequence = self.next_sequence;
        encode_record(sequence, payload, &mut self.pending);
        self.next_sequence += 1;
        Ok(sequence)
    }

    /// Writes and syncs all records taken so far; returns the number of the last one.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::DiskFull`] if the records since the last sync did not
    /// fit; they are dropped and the journal can be used again. After another error
    /// the journal is poisoned.
    pub fn sync(&mut self) -> Result<u64, StorageError> {
        self.refuse_if_poisoned()?;
        if !self.pending.is_empty() {
            self.write_pending()?;
            self.sync_segment()?;
            self.begin_segment_if_large();
        }
        Ok(self.synced_end - 1)
    }

    /// Replaces all records by these, at once or not at all.
    ///
    /// Records that were taken but not synced are dropped: what matters of them
    /// must be among the new ones.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::DiskFull`] if the new records do not fit; the old ones
    /// then stay, without those not synced. After another error the journal is poisoned.
    pub fn rewrite<'payload>(
        &mut self,
        payloads: impl IntoIterator<Item = &'payload [u8]>,
    ) -> Result<u64, StorageError> {
        self.refuse_if_poisoned()?;
        self.pending.clear();
        self.next_sequence = self.synced_end;
        let mut bytes = Vec::new();
        let mut next_sequence = self.synced_end;
        for payload in payloads {
            refuse_if_large(payload)?;
            encode_record(next_sequence, payload, &mut bytes);
            next_sequence += 1;
        }
        self.replace_generation(&bytes, next_sequence)?;
        Ok(self.synced_end - 1)
    }

    /// Returns the number of the last synced record, zero if there is none.
    pub fn synced_sequence(&self) -> u64 {
        self.synced_end - 1
    }

    /// Returns how many bytes the journal's files hold, so that its user sees when to rewrite.
    pub fn stored_bytes(&self) -> u64 {
        self.closed_bytes + self.segment.synced_bytes
    }

    /// Returns whether an error has made the journal unusable in this run.
    pub fn is_poisoned(&self) -> bool {
        self.poisoned
    }

    fn refuse_if_poisoned(&self) -> Result<(), StorageError> {
        if self.poisoned {
            return Err(StorageError::Poisoned {
                name: self.name.clone(),
            });
        }
        Ok(())
    }

    fn write_pending(&mut self) -> Result<(), StorageError> {
        let Err(source) = self.segment.file.write(&self.pending) else {
            return Ok(());
        };
        let error = io_error("write", &self.segment.path, source);
        self.pending.clear();
        self.next_sequence = self.synced_end;
        let full = matches!(error, StorageError::DiskFull { .. });
        // What was written of the records must go: later records would follow it.
        let cut = self.segment.file.cut(self.segment.synced_bytes);
        self.poisoned = !full || cut.is_err();
        Err(error)
    }

    fn sync_segment(&mut self) -> Result<(), StorageError> {
        if let Err(source) = self.segment.file.sync() {
            // The kernel may have dropped the pages and report success next time.
            self.poisoned = true;
            return Err(StorageError::Io {
                action: "sync",
                path: self.segment.path.clone(),
                source,
            });
        }
        self.segment.synced_bytes += self.pending.len() as u64;
        self.synced_end = self.next_sequence;
        self.pending.clear();
        Ok(())
    }

    /// A failure here concerns later records only: those just synced are durable.
    fn begin_segment_if_large(&mut self) {
        if self.segment.synced_bytes < self.settings.segment_bytes {
            return;
        }
        let next = SegmentName {
            generation: self.segment.name.generation,
            first_sequence: self.next_sequence,
        };
        match write_segment(&self.folder, &self.name, next, next.header(false), &[]) {
            Ok(segment) => {
                self.closed_bytes += self.segment.synced_bytes;
                self.segment = segment;
            }
            // The old segment grows on; the next sync tries again.
            Err(StorageError::DiskFull { .. }) => {}
            Err(_) => self.poisoned = true,
        }
    }

    fn replace_generation(
        &mut self,
        records: &[u8],
        next_sequence: u64,
    ) -> Result<(), StorageError> {
        let name = SegmentName {
            generation: self.segment.name.generation + 1,
            first_sequence: self.synced_end,
        };
        match write_segment(&self.folder, &self.name, name, name.header(true), records) {
            Ok(segment) => self.segment = segment,
            Err(error) => {
                self.poisoned = !matches!(error, StorageError::DiskFull { .. });
                return Err(error);
            }
        }
        self.closed_bytes = 0;
        self.next_sequence = next_sequence;
        self.synced_end = next_sequence;
        remove_old_files(&self.folder, &self.name, name.generation)
            .inspect_err(|_| self.poisoned = true)
    }
}

impl Drop for Journal {
    fn drop(&mut self) {
        self.folder.release_journal(&self.name);
    }
}

fn refuse_if_large(payload: &[u8]) -> Result<(), StorageError> {
    if payload.len() > RECORD_LIMIT_BYTES {
        return Err(StorageError::RecordTooLarge {
            length: payload.len(),
            limit: RECORD_LIMIT_BYTES,
        });
    }
    Ok(())
}

/// Writes a segment under a temporary name, syncs it, and only then gives it its name.
///
/// A segment that is seen under its name therefore has a whole header and all the
/// records it was made with; a bad header is damage, never an unfinished write.
fn write_segment(
    folder: &DataFolder,
    journal: &str,
    name: SegmentName,
    header: SegmentHeader,
    records: &[u8],
) -> Result<OpenSegment, StorageError> {
    let path = folder.path().join(name.file_name(journal));
    let temporary = temporary_path(folder.path(), journal);
    let written = write_temporary(folder, &temporary, header, records);
    let file = match written {
        Ok(file) => file,
        Err(error) => {
            // Gives the room back on a full disk; if it fails, the next open removes it.
            let _ = folder.disk().remove(&temporary);
            return Err(error);
        }
    };
    folder
        .disk()
        .rename(&temporary, &path)
        .map_err(|source| io_error("rename", &path, source))?;
    sync_folder(folder)?;
    Ok(OpenSegment {
        name,
        path,
        file,
        synced_bytes: (SEGMENT_HEADER_BYTES + records.len()) as u64,
    })
}

fn write_temporary(
    folder: &DataFolder,
    path: &Path,
    header: SegmentHeader,
    records: &[u8],
) -> Result<Box<dyn DiskFile>, StorageError> {
    let error = |action| move |source| io_error(action, path, source);
    let mut file = folder.disk().create(path).map_err(error("create"))?;
    file.write(&header.encode()).map_err(error("write"))?;
    file.write(records).map_err(error("write"))?;
    // Not `io_error`: a sync that fails for want of room has still lost its pages.
    file.sync().map_err(|source| StorageError::Io {
        action: "sync",
        path: path.to_owned(),
        source,
    })?;
    Ok(file)
}

fn sync_folder(folder: &DataFolder) -> Result<(), StorageError> {
    let synced = folder.disk().sync_folder(folder.path());
    synced.map_err(|source| StorageError::Io {
        action: "sync",
        path: folder.path().to_owned(),
        source,
    })
}

/// Removes what a newer generation has replaced, and unfinished temporary files.
fn remove_old_files(folder: &DataFolder, name: &str, newest: u64) -> Result<(), StorageError> {
    let listed = list_segments(folder.disk(), folder.path(), name)?;
    let mut old = Vec::new();
    for segment in listed.segments {
        if segment.generation < newest {
            old.push(folder.path().join(segment.file_name(name)));
        }
    }
    if listed.has_temporary {
        old.push(temporary_path(folder.path(), name));
    }
    if old.is_empty() {
        return Ok(());
    }
    for path in &old {
        let removed = folder.disk().remove(path);
        removed.map_err(|source| io_error("remove", path, source))?;
    }
    sync_folder(folder)
}
