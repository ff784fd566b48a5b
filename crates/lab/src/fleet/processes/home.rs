//! The root folder of a fleet, and the cleanup of folders left behind.
//!
//! A temporary root contains a file `lock`, locked by the lab that created it for as long as that lab lives
//! (flock(2); children do not inherit it). A folder whose lock is free belongs to a killed lab and is removed
//! when the next one is created.

use super::ProcessError;
use rustix::fs::{flock, FlockOperation};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

/// Name prefix of temporary roots, and the names of their lock file.
const PREFIX: &str = "lab-fleet-";
const LOCK: &str = "lock";
const LOCK_TO_BE: &str = "lock-to-be";
/// Folder of the configuration files; reserved, so it cannot be the name of a process.
pub(super) const SETTINGS: &str = "settings";

#[derive(Debug)]
pub(super) struct Home {
    path: PathBuf,
    /// Lock and folder of a temporary root. The lock is released before the folder is removed.
    _own: Option<(File, tempfile::TempDir)>,
}

impl Home {
    pub(super) fn given(path: &Path) -> io::Result<Home> {
        fs::create_dir_all(path)?;
        Ok(Home { path: path.canonicalize()?, _own: None })
    }

    pub(super) fn temporary() -> io::Result<Home> {
        Home::temporary_in(&std::env::temp_dir())
    }

    fn temporary_in(place: &Path) -> io::Result<Home> {
        sweep(place);
        let folder = tempfile::Builder::new().prefix(PREFIX).tempdir_in(place)?;
        // The file gets its final name only once it is locked: folders without a lock file are not swept.
        let (to_be, lock) = (folder.path().join(LOCK_TO_BE), folder.path().join(LOCK));
        let file = File::create(&to_be)?;
        flock(&file, FlockOperation::NonBlockingLockExclusive)?;
        fs::rename(to_be, lock)?;
        Ok(Home { path: folder.path().canonicalize()?, _own: Some((file, folder)) })
    }

    pub(super) fn path(&self) -> &Path {
        &self.path
    }

    pub(super) fn folder(&self, name: &str) -> PathBuf {
        self.path.join(name)
    }

    pub(super) fn settings(&self, name: &str) -> Result<PathBuf, ProcessError> {
        let path = self.path.join(SETTINGS).join(name);
        let what = || path.display().to_string();
        fs::create_dir_all(&path).map_err(|source| ProcessError::Io { what: what(), source })?;
        Ok(path)
    }
}

/// Removes the roots of killed labs. Skips what is not a root of ours or cannot be removed.
fn sweep(place: &Path) {
    for entry in fs::read_dir(place).into_iter().flatten().flatten() {
        let ours = entry.file_name().to_str().is_some_and(|name| name.starts_with(PREFIX));
        // The type of the entry itself: symbolic links to folders are skipped.
        if !ours || !entry.file_type().is_ok_and(|t| t.is_dir()) {
            continue;
        }
        let Ok(lock) = File::open(entry.path().join(LOCK)) else { continue };
        if flock(&lock, FlockOperation::NonBlockingLockExclusive).is_ok() {
            let _ = fs::remove_dir_all(entry.path());
        }
    }
}

#[cfg(test)]
mod tests;
