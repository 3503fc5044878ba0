//! A disk that loses what was not synced when its power is cut.

use std::{
    collections::BTreeMap,
    io,
    path::Path,
    sync::{
        Arc,
        Mutex, //
    },
};

use cicadabend_daemon::storage::{
    Disk,
    DiskFile, //
};

/// What an operation meets.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fault {
    /// The power goes before the operation; nothing works afterwards.
    PowerCut,
    /// The operation, a sync, fails; later ones seem to work.
    SyncFails,
}

#[derive(Clone, Debug, Default)]
struct Content {
    bytes: Vec<u8>,
    durable: Vec<u8>,
}

#[derive(Debug, Default)]
struct State {
    /// Contents by number; names point at them, as inodes.
    contents: BTreeMap<u64, Content>,
    names: BTreeMap<String, u64>,
    durable_names: BTreeMap<String, u64>,
    next_content: u64,
    operations: u64,
    fault: Option<(u64, Fault)>,
    without_power: bool,
    room_bytes: Option<usize>,
}

/// The disk; clones are the same disk.
#[derive(Clone, Debug, Default)]
pub struct MemoryDisk {
    state: Arc<Mutex<State>>,
}

impl MemoryDisk {
    /// Lets the operation with this number, counted from zero, meet a fault.
    pub fn plan_fault(&self, operation: u64, fault: Fault) {
        self.state.lock().unwrap().fault = Some((operation, fault));
    }

    /// Leaves room for so many bytes more, or for any number.
    pub fn limit_room(&self, room_bytes: Option<usize>) {
        self.state.lock().unwrap().room_bytes = room_bytes;
    }

    /// Returns how many operations were asked for.
    pub fn operations(&self) -> u64 {
        self.state.lock().unwrap().operations
    }

    /// Returns the disk as it is after the power came back.
    ///
    /// Of each file's unsynced end, `kept_percent` reached the disk; names that
    /// were not synced are kept if `names_kept`.
    pub fn after_power_cut(&self, kept_percent: usize, names_kept: bool) -> MemoryDisk {
        let state = self.state.lock().unwrap();
        let names = if names_kept {
            &state.names
        } else {
            &state.durable_names
        };
        let mut contents = BTreeMap::new();
        for (number, content) in &state.contents {
            let unsynced = content.bytes.len().saturating_sub(content.durable.len());
            let kept = content.durable.len() + unsynced * kept_percent / 100;
            let mut bytes = content.durable.clone();
            if content.bytes.len() >= kept && content.bytes.starts_with(&content.durable) {
                bytes = content.bytes[..kept].to_vec();
            }
            let durable = bytes.clone();
            contents.insert(*number, Content { bytes, durable });
        }
        let after = State {
            contents,
            names: names.clone(),
            durable_names: names.clone(),
            next_content: state.next_content,
            ..State::default()
        };
        MemoryDisk {
            state: Arc::new(Mutex::new(after)),
        }
    }

    fn operate<T>(
        &self,
        is_sync: bool,
        work: impl FnOnce(&mut State) -> io::Result<T>,
    ) -> io::Result<T> {
        let mut state = self.state.lock().unwrap();
        let number = state.operations;
        state.operations += 1;
        if let Some((planned, fault)) = state.fault
            && number >= planned
        {
            match fault {
                Fault::PowerCut => state.without_power = true,
                Fault::SyncFails if is_sync => {
                    state.fault = None;
                    return Err(io::Error::other("injected: sync failed"));
                }
                Fault::SyncFails => {}
            }
        }
        if state.without_power {
            return Err(io::Error::other("injected: no power"));
        }
        work(&mut state)
    }
}

fn key(path: &Path) -> String {
    path.file_name().unwrap().to_str().unwrap().to_owned()
}

impl Disk for MemoryDisk {
    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>> {
        self.operate(false, |state| {
            let content = state.next_content;
            state.next_content += 1;
            state.contents.insert(content, Content::default());
            state.names.insert(key(path), content);
            let disk = self.clone();
            Ok(Box::new(MemoryFile { disk, content }) as Box<dyn DiskFile>)
        })
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        self.operate(false, |state| {
            let content = state.names.get(&key(path)).ok_or(io::ErrorKind::NotFound)?;
            Ok(state.contents[content].bytes.clone())
        })
    }

    fn list(&self, _folder: &Path) -> io::Result<Vec<String>> {
        self.operate(false, |state| Ok(state.names.keys().cloned().collect()))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        self.operate(false, |state| {
            let content = state.names.remove(&key(from));
            state
                .names
                .insert(key(to), content.ok_or(io::ErrorKind::NotFound)?);
            Ok(())
        })
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        self.operate(false, |state| {
            let removed = state.names.remove(&key(path));
            removed.map(|_| ()).ok_or(io::ErrorKind::NotFound.into())
        })
    }

    fn sync_folder(&self, _folder: &Path) -> io::Result<()> {
        self.operate(true, |state| {
            state.durable_names = state.names.clone();
            Ok(())
        })
    }
}

struct MemoryFile {
    disk: MemoryDisk,
    content: u64,
}

impl DiskFile for MemoryFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.disk.operate(false, |state| {
            let room = state.room_bytes.unwrap_or(bytes.len());
            let written = bytes.len().min(room);
            if let Some(left) = &mut state.room_bytes {
                *left -= written;
            }
            let content = state.contents.get_mut(&self.content).unwrap();
            content.bytes.extend_from_slice(&bytes[..written]);
            if written < bytes.len() {
                return Err(io::ErrorKind::StorageFull.into());
            }
            Ok(())
        })
    }

    fn sync(&mut self) -> io::Result<()> {
        self.disk.operate(true, |state| {
            let content = state.contents.get_mut(&self.content).unwrap();
            content.durable = content.bytes.clone();
            Ok(())
        })
    }

    fn cut(&mut self, length: u64) -> io::Result<()> {
        self.disk.operate(false, |state| {
            let content = state.contents.get_mut(&self.content).unwrap();
            content.bytes.truncate(length as usize);
            Ok(())
        })
    }
}
