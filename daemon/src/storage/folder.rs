//! The data folder: locked by one process, and known by a number of its own.

use std::{
    collections::BTreeSet,
    fmt,
    fs::{
        self,
        File, //
    },
    io,
    path::{
        Path,
        PathBuf, //
    },
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
};

use cicadabend::{
    fleet::Voter,
    prelude::*, //
};
use fs4::fs_std::FileExt;
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    disk::{
        Disk,
        SystemDisk, //
    },
    error::StorageError, //
};

const LOCK_FILE: &str = "lock";
const IDENTITY_FILE: &str = "identity.json";
const IDENTITY_VERSION: u16 = 1;

/// The one folder of a process whose content must survive; clones share the lock.
#[derive(Clone)]
pub struct DataFolder {
    shared: Arc<Shared>,
}

struct Shared {
    path: PathBuf,
    identity: Voter,
    disk: Arc<dyn Disk>,
    open_journals: Mutex<BTreeSet<String>>,
    /// Held open: closing it would release the lock.
    _lock: File,
}

#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct IdentityFile {
    format_version: u16,
    daemon: DaemonId,
    disk: u64,
    checksum: u32,
}

impl IdentityFile {
    fn new(identity: &Voter) -> Self {
        Self {
            format_version: IDENTITY_VERSION,
            daemon: identity.daemon.clone(),
            disk: identity.disk,
            checksum: identity_checksum(identity),
        }
    }
}

fn identity_checksum(identity: &Voter) -> u32 {
    crc32fast::hash(format!("{} {}", identity.daemon, identity.disk).as_bytes())
}

impl DataFolder {
    /// Opens and locks a folder; makes it, with `fresh_disk` as its number, if it is empty.
    ///
    /// `fresh_disk` is drawn at random by the caller. It is used only for a folder
    /// without state, so that a daemon that lost its disk becomes another voter.
    ///
    /// # Errors
    ///
    /// Returns [`StorageError::FolderInUse`] if another process has it, and other
    /// variants if it belongs to another daemon, has lost its identity, or fails.
    pub fn open(path: &Path, daemon: &DaemonId, fresh_disk: u64) -> Result<Self, StorageError> {
        Self::open_on(Arc::new(SystemDisk), path, daemon, fresh_disk)
    }

    /// Opens a folder as [`Self::open`] does, through a given [`Disk`].
    ///
    /// # Errors
    ///
    /// As [`Self::open`].
    pub fn open_on(
        disk: Arc<dyn Disk>,
        path: &Path,
        daemon: &DaemonId,
        fresh_disk: u64,
    ) -> Result<Self, StorageError> {
        make_folder(&*disk, path)?;
        let lock = lock_folder(path)?;
        let identity = match read_identity(&*disk, path)? {
            Some(identity) => identity,
            None => write_identity(&*disk, path, daemon, fresh_disk)?,
        };
        if identity.daemon != *daemon {
            return Err(StorageError::ForeignFolder {
                path: path.to_owned(),
                found: identity.daemon.to_string(),
                expected: daemon.to_string(),
            });
        }
        Ok(Self {
            shared: Arc::new(Shared {
                path: path.to_owned(),
                identity,
                disk,
                open_journals: Mutex::default(),
                _lock: lock,
            }),
        })
    }

    /// Returns whose folder this is: the daemon and the disk's number.
    pub fn identity(&self) -> &Voter {
        &self.shared.identity
    }

    /// Returns the folder's path.
    pub fn path(&self) -> &Path {
        &self.shared.path
    }

    pub(super) fn disk(&self) -> &dyn Disk {
        &*self.shared.disk
    }

    pub(super) fn claim_journal(&self, name: &str) -> Result<(), StorageError> {
        let well_named = !name.is_empty() && name.bytes().all(|byte| byte.is_ascii_lowercase());
        if !well_named {
            return Err(StorageError::JournalName {
                name: name.to_owned(),
            });
        }
        let mut open = self.lock_names();
        if open.insert(name.to_owned()) {
            Ok(())
        } else {
            Err(StorageError::JournalInUse {
                name: name.to_owned(),
            })
        }
    }

    pub(super) fn release_journal(&self, name: &str) {
        self.lock_names().remove(name);
    }

    fn lock_names(&self) -> std::sync::MutexGuard<'_, BTreeSet<String>> {
        let names = &self.shared.open_journals;
        names.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for DataFolder {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("DataFolder")
            .field("path", &self.shared.path)
            .field("identity", &self.shared.identity)
            .finish()
    }
}

pub(super) fn io_error(action: &'static str, path: &Path, source: io::Error) -> StorageError {
    if source.kind() == io::ErrorKind::StorageFull {
        return StorageError::DiskFull {
            path: path.to_owned(),
        };
    }
    StorageError::Io {
        action,
        path: path.to_owned(),
        source,
    }
}

fn make_folder(disk: &dyn Disk, path: &Path) -> Result<(), StorageError> {
    if path.is_dir() {
        return Ok(());
    }
    fs::create_dir_all(path).map_err(|source| io_error("create", path, source))?;
    // The folder's own entry must survive as well, or all that is synced in it is lost.
    match path.parent().filter(|parent| parent.is_dir()) {
        Some(parent) => {
            let synced = disk.sync_folder(parent);
            synced.map_err(|source| io_error("sync", parent, source))
        }
        None => Ok(()),
    }
}

/// Locks a folder that must already be there, for reading it offline.
pub(super) fn lock_existing_folder(path: &Path) -> Result<File, StorageError> {
    fs::read_dir(path).map_err(|source| io_error("list", path, source))?;
    lock_folder(path)
}

fn lock_folder(path: &Path) -> Result<File, StorageError> {
    let lock_path = path.join(LOCK_FILE);
    let opened = File::options()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&lock_path);
    let file = opened.map_err(|source| io_error("open", &lock_path, source))?;
    match FileExt::try_lock_exclusive(&file) {
        Ok(true) => Ok(file),
        Ok(false) => Err(StorageError::FolderInUse {
            path: path.to_owned(),
        }),
        Err(source) => Err(io_error("lock", &lock_path, source)),
    }
}

/// Reads whose disk a folder is, `None` for a folder without state.
pub(super) fn read_identity(disk: &dyn Disk, folder: &Path) -> Result<Option<Voter>, StorageError> {
    let path = folder.join(IDENTITY_FILE);
    let bytes = match disk.read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == io::ErrorKind::NotFound => {
            return no_identity(disk, folder);
        }
        Err(source) => return Err(io_error("read", &path, source)),
    };
    let damaged = || StorageError::IdentityDamaged { path: path.clone() };
    let file: IdentityFile = serde_json::from_slice(&bytes).map_err(|_| damaged())?;
    let identity = Voter {
        daemon: file.daemon,
        disk: file.disk,
    };
    if file.checksum != identity_checksum(&identity) {
        return Err(damaged());
    }
    if file.format_version != IDENTITY_VERSION {
        return Err(StorageError::FormatVersion {
            path,
            found: file.format_version,
            known: IDENTITY_VERSION,
        });
    }
    Ok(Some(identity))
}

/// A new number for a folder that has journals would make one disk two voters.
fn no_identity(disk: &dyn Disk, folder: &Path) -> Result<Option<Voter>, StorageError> {
    let names = disk
        .list(folder)
        .map_err(|source| io_error("list", folder, source))?;
    if names.iter().any(|name| name.ends_with(".log")) {
        return Err(StorageError::IdentityMissing {
            path: folder.to_owned(),
        });
    }
    Ok(None)
}

fn write_identity(
    disk: &dyn Disk,
    folder: &Path,
    daemon: &DaemonId,
    fresh_disk: u64,
) -> Result<Voter, StorageError> {
    let identity = Voter {
        daemon: daemon.clone(),
        disk: fresh_disk,
    };
    let path = folder.join(IDENTITY_FILE);
    let text = serde_json::to_vec_pretty(&IdentityFile::new(&identity));
    let bytes = text.map_err(|error| io_error("encode", &path, error.into()))?;
    replace_file(disk, folder, &path, &bytes)?;
    Ok(identity)
}

/// Puts a file in place so that a crash leaves either none or all of it.
fn replace_file(
    disk: &dyn Disk,
    folder: &Path,
    path: &Path,
    bytes: &[u8],
) -> Result<(), StorageError> {
    let temporary = path.with_extension("tmp");
    let error = |action| {
        let path = path.to_owned();
        move |source| io_error(action, &path, source)
    };
    let mut file = disk.create(&temporary).map_err(error("create"))?;
    file.write(bytes).map_err(error("write"))?;
    file.sync().map_err(error("sync"))?;
    disk.rename(&temporary, path).map_err(error("rename"))?;
    disk.sync_folder(folder).map_err(error("sync"))
}
