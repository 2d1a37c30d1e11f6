//! File-system interface of the journal.

use std::any::Any;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::Path;

/// File system that holds data folders.
pub trait Disk: Send {
    /// Creates a folder. The parent must exist.
    fn create_folder(&self, path: &Path) -> io::Result<()>;
    /// Lists the names in a folder, without those that are not UTF-8.
    fn list(&self, path: &Path) -> io::Result<Vec<String>>;
    /// Reads a whole file.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;
    /// Creates a file for writing. An existing file is truncated.
    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>>;
    /// Truncates an existing file to `len` bytes and opens it for appending.
    fn append(&self, path: &Path, len: u64) -> io::Result<Box<dyn DiskFile>>;
    /// Renames a file. An existing file at `to` is replaced.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Deletes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;
    /// Makes creations, renames and removals in a folder durable.
    fn sync_folder(&self, path: &Path) -> io::Result<()>;
    /// Locks a file until the returned guard is dropped, creating the file if it does not exist;
    /// `None` if another process holds the lock.
    fn lock(&self, path: &Path) -> io::Result<Option<Box<dyn Any + Send>>>;
}

/// File open for appending.
pub trait DiskFile: Send {
    /// Appends all of `bytes`.
    fn write(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes the written content durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// File system of the operating system.
pub struct RealDisk;

impl Disk for RealDisk {
    fn create_folder(&self, path: &Path) -> io::Result<()> {
        fs::create_dir(path)
    }

    fn list(&self, path: &Path) -> io::Result<Vec<String>> {
        let mut names = Vec::new();
        for entry in fs::read_dir(path)? {
            names.extend(entry?.file_name().into_string());
        }
        Ok(names)
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        fs::read(path)
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>> {
        Ok(Box::new(File::create(path)?))
    }

    fn append(&self, path: &Path, len: u64) -> io::Result<Box<dyn DiskFile>> {
        let file = OpenOptions::new().append(true).open(path)?;
        file.set_len(len)?;
        Ok(Box::new(file))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        fs::rename(from, to)
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        fs::remove_file(path)
    }

    fn sync_folder(&self, path: &Path) -> io::Result<()> {
        File::open(path)?.sync_all()
    }

    fn lock(&self, path: &Path) -> io::Result<Option<Box<dyn Any + Send>>> {
        let mut options = OpenOptions::new();
        let file = options
            .write(true)
            .create(true)
            .truncate(false)
            .open(path)?;
        match file.try_lock() {
            Ok(()) => Ok(Some(Box::new(file))),
            Err(TryLockError::WouldBlock) => Ok(None),
            Err(TryLockError::Error(error)) => Err(error),
        }
    }
}

impl DiskFile for File {
    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.write_all(bytes)
    }

    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}
