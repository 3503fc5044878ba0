//! The edge to the file system, so that tests can make it fail.

use std::{
    fs::{
        self,
        File, //
    },
    io::{
        self,
        Write, //
    },
    path::Path,
};

/// What storage asks of a file system.
pub trait Disk: Send + Sync {
    /// Creates an empty file, over an older one of that name.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>>;

    /// Reads a whole file.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;

    /// Returns the names of a folder's files, sorted.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn list(&self, folder: &Path) -> io::Result<Vec<String>>;

    /// Renames a file, over one that has the new name.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;

    /// Removes a file.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn remove(&self, path: &Path) -> io::Result<()>;

    /// Makes creations, renames and removals in a folder durable.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn sync_folder(&self, folder: &Path) -> io::Result<()>;
}

/// A file that storage writes from its start to its end.
pub trait DiskFile: Send {
    /// Appends bytes; an error may leave a part of them written.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn write(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Makes everything written durable.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn sync(&mut self) -> io::Result<()>;

    /// Cuts the file to a length; the next write goes there.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error.
    fn cut(&mut self, length: u64) -> io::Result<()>;
}

/// The operating system's file system.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemDisk;

impl Disk for SystemDisk {
    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>> {
        // Opened for appending, so that a write after a cut lands at the new end.
        fs::File::create(path)?;
        let file = File::options().append(true).open(path)?;
        Ok(Box::new(SystemFile { file }))
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn list(&self, folder: &Path) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(folder)? {
            if let Ok(name) = entry?.file_name().into_string() {
                names.push(name);
            }
        }
        names.sort();
        Ok(names)
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync_folder(&self, folder: &Path) -> io::Result<()> {
        File::open(folder)?.sync_all()
    }
}

struct SystemFile {
    file: File,
}

impl DiskFile for SystemFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.file.sync_data()
    }

    fn cut(&mut self, length: u64) -> io::Result<()> {
        self.file.set_len(length)
    }
}
