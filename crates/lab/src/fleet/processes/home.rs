//! Where the folders of a fleet are, and that none is left behind.
//!
//! A folder of our own holds a file `lock`, which the lab that made it has locked for as long as it lives (flock(2);
//! no child inherits it). A folder whose lock nobody holds is that of a lab that was killed: whoever makes the next
//! folder removes it.

use super::ProcessError;
use rustix::fs::{flock, FlockOperation};
use std::fs::{self, File};
use std::io;
use std::path::{Path, PathBuf};

/// What folders of our own begin with, and what they hold.
const PREFIX: &str = "lab-fleet-";
const LOCK: &str = "lock";
const LOCK_TO_BE: &str = "lock-to-be";
/// The folder of what processes are configured with; no name of a process.
pub(super) const SETTINGS: &str = "settings";

#[derive(Debug)]
pub(super) struct Home {
    path: PathBuf,
    /// Of a folder of our own. The lock is let go before the folder is removed.
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
        // Under its name only once it is locked: a folder without it is not swept.
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

/// Removes what labs that were killed have left here. What cannot be removed, or is not ours, stays.
fn sweep(place: &Path) {
    for entry in fs::read_dir(place).into_iter().flatten().flatten() {
        let ours = entry.file_name().to_str().is_some_and(|name| name.starts_with(PREFIX));
        // The entry's own type: a link to a folder is none.
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
