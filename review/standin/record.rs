//! The record of a run: one line for each thing sent, answered or run, with the time since the start in ms.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Instant;

/// Writes `record.txt`; shared by all threads.
pub struct Record {
    started: Instant,
    out: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates `record.txt` in `folder`.
    ///
    /// # Errors
    ///
    /// If the file cannot be created.
    pub fn create(folder: &Path) -> std::io::Result<Self> {
        let out = Mutex::new(BufWriter::new(File::create(folder.join("record.txt"))?));
        Ok(Record { started: Instant::now(), out })
    }

    /// Adds a line. Write errors are ignored: the record decides nothing.
    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64() * 1e3;
        let _ = writeln!(lock(&self.out), "{at:10.1} {text}");
    }

    /// Writes what is buffered to the file.
    pub fn flush(&self) {
        let _ = lock(&self.out).flush();
    }
}

/// Locks a mutex, also after another thread has panicked with it.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
