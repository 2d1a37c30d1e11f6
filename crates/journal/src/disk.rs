//! The edge to the file system.

use std::any::Any;
use std::fs::{self, File, OpenOptions, TryLockError};
use std::io::{self, Write};
use std::path::Path;

/// A file system.
pub trait Disk: Send {
    /// Creates a folder whose parent exists.
    fn create_folder(&self, path: &Path) -> io::Result<()>;
    /// The names of the files in a folder; names that are not UTF-8 are left out.
    fn list(&self, path: &Path) -> io::Result<Vec<String>>;
    /// The content of a file.
    fn read(&self, path: &Path) -> io::Result<Vec<u8>>;
    /// An empty file to write; a file that exists is emptied.
    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>>;
    /// A file that exists, cut to `len` bytes, to be written from there on.
    fn append(&self, path: &Path, len: u64) -> io::Result<Box<dyn DiskFile>>;
    /// Renames a file, replacing one of the new name.
    fn rename(&self, from: &Path, to: &Path) -> io::Result<()>;
    /// Removes a file.
    fn remove(&self, path: &Path) -> io::Result<()>;
    /// Makes creations, renames and removals in a folder durable.
    fn sync_folder(&self, path: &Path) -> io::Result<()>;
    /// Locks a file, creating it where needed, until the value is dropped; `None` when another
    /// process holds the lock.
    fn lock(&self, path: &Path) -> io::Result<Option<Box<dyn Any + Send>>>;
}

/// A file that is written at its end.
pub trait DiskFile: Send {
    /// Appends all of `bytes`.
    fn write(&mut self, bytes: &[u8]) -> io::Result<()>;
    /// Makes the content durable.
    fn sync(&mut self) -> io::Result<()>;
}

/// The file system of the machine.
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
