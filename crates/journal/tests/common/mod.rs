//! A disk that fails on purpose, and helpers for batches.

// Each test file uses only some of the helpers.
#![allow(dead_code)]

use std::any::Any;
use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::num::NonZeroU64;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use greengage_core::{Index, Name, SortedMap, VmName};
use greengage_journal::{Batch, Disk, DiskFile, Journal, JournalError, Recovered, Settings};

type Names = BTreeMap<PathBuf, usize>;

#[derive(Clone, Debug, Default)]
struct Inode {
    data: Vec<u8>,
    synced: Vec<u8>,
}

#[derive(Debug, Default)]
struct World {
    folders: BTreeSet<PathBuf>,
    inodes: Vec<Inode>,
    names: Names,
    /// The names after each change since the folder was synced, starting with the synced ones.
    history: Vec<Names>,
    locks: BTreeSet<PathBuf>,
    /// Changing operations so far.
    ops: u64,
    /// The operation from which on every one fails; a write at that point is torn.
    dies_at: Option<u64>,
    /// Bytes that the disk holds.
    capacity: Option<usize>,
    sync_delay: Duration,
}

/// A disk in memory. Clones are the same disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct FakeDisk(Arc<Mutex<World>>);

/// A small random number generator, so that a crash is given by its seed.
pub(crate) struct Random(pub(crate) u64);

impl Random {
    pub(crate) fn below(&mut self, limit: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.0;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) as usize % limit.max(1)
    }
}

impl World {
    /// Counts a changing operation; an error when the disk has died.
    fn step(&mut self) -> io::Result<()> {
        self.ops += 1;
        match self.dies_at {
            Some(at) if self.ops > at => Err(io::Error::other("the disk died")),
            _ => Ok(()),
        }
    }

    fn renamed(&mut self) {
        self.history.push(self.names.clone());
    }

    fn find(&self, path: &Path) -> io::Result<usize> {
        let found = self.names.get(path).copied();
        found.ok_or_else(|| io::ErrorKind::NotFound.into())
    }
}

impl FakeDisk {
    /// A disk with one folder.
    pub(crate) fn with_folder(path: &Path) -> FakeDisk {
        let disk = FakeDisk::default();
        disk.create_folder(path).unwrap();
        disk
    }

    fn world(&self) -> MutexGuard<'_, World> {
        self.0.lock().unwrap()
    }

    pub(crate) fn ops(&self) -> u64 {
        self.world().ops
    }

    pub(crate) fn die_at(&self, op: Option<u64>) {
        self.world().dies_at = op;
    }

    pub(crate) fn set_capacity(&self, bytes: Option<usize>) {
        self.world().capacity = bytes;
    }

    pub(crate) fn set_delay(&self, delay: Duration) {
        self.world().sync_delay = delay;
    }

    pub(crate) fn files(&self) -> BTreeMap<PathBuf, Vec<u8>> {
        let world = self.world();
        let names = world.names.iter();
        names
            .map(|(p, i)| (p.clone(), world.inodes[*i].data.clone()))
            .collect()
    }

    pub(crate) fn has(&self, path: &Path) -> bool {
        self.world().names.contains_key(path)
    }

    /// Replaces a file, as damage that no operation caused.
    pub(crate) fn set_file(&self, path: &Path, data: &[u8]) {
        let mut world = self.world();
        let inode = world.find(path).unwrap();
        world.inodes[inode].data = data.to_vec();
        world.inodes[inode].synced = data.to_vec();
    }

    /// A copy of the disk as it is, without its locks and faults: what a new process finds.
    pub(crate) fn copy(&self) -> FakeDisk {
        let world = self.world();
        let copy = World {
            folders: world.folders.clone(),
            inodes: world.inodes.clone(),
            names: world.names.clone(),
            history: world.history.clone(),
            ..World::default()
        };
        FakeDisk(Arc::new(Mutex::new(copy)))
    }

    /// A copy of the disk after a power failure. Of names, changes since the last sync are lost
    /// from some point on. Of a file that wasn't synced, the bytes are lost from some point on,
    /// or a part in the middle is, or it is as it was when it was synced.
    pub(crate) fn crash(&self, random: &mut Random) -> FakeDisk {
        let copy = self.copy();
        let mut world = copy.world();
        if !world.history.is_empty() {
            let kept = random.below(world.history.len());
            world.names = world.history[kept].clone();
        }
        world.history = vec![world.names.clone()];
        for inode in &mut world.inodes {
            if inode.data == inode.synced {
                continue;
            }
            let same = inode
                .data
                .iter()
                .zip(&inode.synced)
                .take_while(|(a, b)| a == b);
            let same = same.count();
            let len = same + random.below(inode.data.len() - same + 1);
            match random.below(3) {
                0 => inode.data = inode.synced.clone(),
                1 => inode.data.truncate(len),
                _ => {
                    let hole = same + random.below(len - same + 1);
                    let end = hole + random.below(len - hole + 1);
                    inode.data.truncate(len);
                    inode.data[hole..end].fill(0);
                }
            }
            inode.synced = inode.data.clone();
        }
        drop(world);
        copy
    }
}

impl Disk for FakeDisk {
    fn create_folder(&self, path: &Path) -> io::Result<()> {
        match self.world().folders.insert(path.to_path_buf()) {
            true => Ok(()),
            false => Err(io::ErrorKind::AlreadyExists.into()),
        }
    }

    fn list(&self, path: &Path) -> io::Result<Vec<String>> {
        let world = self.world();
        if !world.folders.contains(path) {
            return Err(io::ErrorKind::NotFound.into());
        }
        let files = world
            .names
            .keys()
            .filter(|file| file.parent() == Some(path));
        let names = files.map(|file| file.file_name().unwrap().to_str().unwrap().to_string());
        Ok(names.collect())
    }

    fn read(&self, path: &Path) -> io::Result<Vec<u8>> {
        let world = self.world();
        Ok(world.inodes[world.find(path)?].data.clone())
    }

    fn create(&self, path: &Path) -> io::Result<Box<dyn DiskFile>> {
        let mut world = self.world();
        world.step()?;
        if let Ok(inode) = world.find(path) {
            world.inodes[inode].data.clear();
        } else {
            let inode = world.inodes.len();
            world.inodes.push(Inode::default());
            world.names.insert(path.to_path_buf(), inode);
            world.renamed();
        }
        let inode = world.find(path)?;
        Ok(Box::new(FakeFile(self.clone(), inode)))
    }

    fn append(&self, path: &Path, len: u64) -> io::Result<Box<dyn DiskFile>> {
        let mut world = self.world();
        world.step()?;
        let inode = world.find(path)?;
        world.inodes[inode].data.truncate(len as usize);
        Ok(Box::new(FakeFile(self.clone(), inode)))
    }

    fn rename(&self, from: &Path, to: &Path) -> io::Result<()> {
        let mut world = self.world();
        world.step()?;
        let inode = world.find(from)?;
        world.names.remove(from);
        world.names.insert(to.to_path_buf(), inode);
        world.renamed();
        Ok(())
    }

    fn remove(&self, path: &Path) -> io::Result<()> {
        let mut world = self.world();
        world.step()?;
        world.find(path)?;
        world.names.remove(path);
        world.renamed();
        Ok(())
    }

    fn sync_folder(&self, _: &Path) -> io::Result<()> {
        let mut world = self.world();
        world.step()?;
        world.history = vec![world.names.clone()];
        Ok(())
    }

    fn lock(&self, path: &Path) -> io::Result<Option<Box<dyn Any + Send>>> {
        let fresh = self.world().locks.insert(path.to_path_buf());
        let lock = || -> Box<dyn Any + Send> { Box::new(FakeLock(self.clone(), path.into())) };
        Ok(fresh.then(lock))
    }
}

struct FakeLock(FakeDisk, PathBuf);

impl Drop for FakeLock {
    fn drop(&mut self) {
        self.0.world().locks.remove(&self.1);
    }
}

struct FakeFile(FakeDisk, usize);

impl DiskFile for FakeFile {
    fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        let mut world = self.0.world();
        let alive = world.ops < world.dies_at.unwrap_or(u64::MAX);
        let step = world.step();
        let used: usize = world
            .names
            .values()
            .map(|i| world.inodes[*i].data.len())
            .sum();
        let free = world
            .capacity
            .map_or(usize::MAX, |c| c.saturating_sub(used));
        let torn = match alive {
            true => bytes.len().min(free),
            // Only the write during which the disk dies stores something.
            false if world.ops == world.dies_at.unwrap_or(0) + 1 => bytes.len() / 2,
            false => 0,
        };
        world.inodes[self.1].data.extend(&bytes[..torn]);
        step?;
        if torn < bytes.len() {
            return Err(io::ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        let mut world = self.0.world();
        world.step()?;
        let inode = &mut world.inodes[self.1];
        inode.synced = inode.data.clone();
        let delay = world.sync_delay;
        drop(world);
        std::thread::sleep(delay);
        Ok(())
    }
}

pub(crate) fn folder() -> PathBuf {
    PathBuf::from("data")
}

pub(crate) fn settings(folder: &Path, vm: &str) -> Settings {
    Settings {
        folder: folder.to_path_buf(),
        vm: VmName::new(vm).unwrap(),
        fresh: NonZeroU64::new(7).unwrap(),
        segment_bytes: 1 << 20,
        sync_delay: Duration::ZERO,
    }
}

pub(crate) type Opened = Result<(Journal, SortedMap<Name, Recovered>), JournalError>;

/// Opens the fake disk's folder as VM `a` with segments of the given length.
pub(crate) fn open_with(disk: &FakeDisk, segment_bytes: u64) -> Opened {
    let settings = Settings {
        segment_bytes,
        ..settings(&folder(), "a")
    };
    let opened = Journal::open(Box::new(disk.clone()), settings);
    opened.map(|(journal, _, recovered)| (journal, recovered))
}

pub(crate) fn open(disk: &FakeDisk) -> Opened {
    open_with(disk, 1 << 20)
}

pub(crate) fn name(text: &str) -> Name {
    Name::new(text).unwrap()
}

/// A batch without content.
pub(crate) fn batch(group: &str) -> Batch {
    Batch {
        group: name(group),
        hard: None,
        entries: Vec::new(),
        snapshot: None,
        clear: false,
    }
}

/// A batch of entries from `first` on.
pub(crate) fn entries(group: &str, first: u64, payloads: &[&str]) -> Batch {
    let indexes = (first..).map(Index);
    let payloads = payloads.iter().map(|p| p.as_bytes().to_vec());
    Batch {
        entries: indexes.zip(payloads).collect(),
        ..batch(group)
    }
}

/// A batch with a snapshot.
pub(crate) fn snapshot(group: &str, index: u64, payload: &str, clear: bool) -> Batch {
    Batch {
        snapshot: Some((Index(index), payload.as_bytes().to_vec())),
        clear,
        ..batch(group)
    }
}

/// A batch with a hard state.
pub(crate) fn hard(group: &str, payload: &str) -> Batch {
    Batch {
        hard: Some(payload.as_bytes().to_vec()),
        ..batch(group)
    }
}
