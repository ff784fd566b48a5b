//! Damages the files of a process that is not running.

use super::ProcessError;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Component, Path, PathBuf};

/// Maximum number of files of a folder that are considered.
const MAX_FILES: usize = 10_000;

/// Kinds of damage. Paths are relative to the folder of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Damage {
    /// Truncates the file to `to` bytes.
    CutShort { file: PathBuf, to: u64 },
    /// Inverts the byte at this offset.
    ByteChanged { file: PathBuf, at: u64 },
    /// Like `CutShort`, with file and offset drawn with this seed.
    AnyCutShort { seed: u64 },
    /// Like `ByteChanged`, with file and offset drawn with this seed.
    AnyByteChanged { seed: u64 },
}

impl Damage {
    /// Applies the damage and returns a description for the log.
    pub(super) fn apply(&self, folder: &Path) -> Result<String, ProcessError> {
        match self {
            Damage::CutShort { file, to } => {
                let (path, bytes) = regular(folder, file)?;
                if *to >= bytes {
                    return Err(refused(file, "the file is not longer than that"));
                }
                let io = |source| ProcessError::Io { what: path.display().to_string(), source };
                OpenOptions::new().write(true).open(&path).and_then(|f| f.set_len(*to)).map_err(io)?;
                Ok(format!("{} truncated from {bytes} to {to} bytes", file.display()))
            }
            Damage::ByteChanged { file, at } => {
                let (path, bytes) = regular(folder, file)?;
                if *at >= bytes {
                    return Err(refused(file, "the offset is beyond the end of the file"));
                }
                let io = |source| ProcessError::Io { what: path.display().to_string(), source };
                let (was, is) = change(&path, *at).map_err(io)?;
                Ok(format!("byte {at} of {} changed to {is:#04x} from {was:#04x}", file.display()))
            }
            Damage::AnyCutShort { seed } => {
                let (file, at) = draw(folder, *seed)?;
                Damage::CutShort { file, to: at }.apply(folder)
            }
            Damage::AnyByteChanged { seed } => {
                let (file, at) = draw(folder, *seed)?;
                Damage::ByteChanged { file, at }.apply(folder)
            }
        }
    }
}

fn refused(file: &Path, why: &'static str) -> ProcessError {
    ProcessError::Damage { file: file.display().to_string(), why }
}

/// Returns the path and length of a regular file in the folder; rejects symbolic links and paths that leave
/// the folder.
fn regular(folder: &Path, file: &Path) -> Result<(PathBuf, u64), ProcessError> {
    if !file.components().all(|part| matches!(part, Component::Normal(_))) {
        return Err(refused(file, "the path leaves the folder of the process"));
    }
    let mut path = folder.to_owned();
    for part in file.components() {
        path.push(part);
        if path.is_symlink() {
            return Err(refused(file, "the path contains a symbolic link"));
        }
    }
    match fs::symlink_metadata(&path) {
        Ok(about) if about.is_file() => Ok((path, about.len())),
        Ok(_) => Err(refused(file, "it is not a regular file")),
        Err(source) => Err(ProcessError::Io { what: path.display().to_string(), source }),
    }
}

fn change(path: &Path, at: u64) -> io::Result<(u8, u8)> {
    let mut file = File::options().read(true).write(true).open(path)?;
    let mut byte = [0];
    file.seek(SeekFrom::Start(at))?;
    file.read_exact(&mut byte)?;
    let was = byte[0];
    file.seek(SeekFrom::Start(at))?;
    file.write_all(&[!was])?;
    Ok((was, !was))
}

/// Draws a non-empty file and an offset in it; the result depends only on the files and the seed.
fn draw(folder: &Path, seed: u64) -> Result<(PathBuf, u64), ProcessError> {
    let mut files = Vec::new();
    let mut folders = vec![folder.to_owned()];
    while let Some(at) = folders.pop() {
        let io = |source| ProcessError::Io { what: at.display().to_string(), source };
        for entry in fs::read_dir(&at).map_err(io)? {
            let entry = entry.map_err(io)?;
            let about = fs::symlink_metadata(entry.path()).map_err(io)?;
            if about.is_dir() {
                folders.push(entry.path());
            } else if about.is_file() && about.len() > 0 && files.len() < MAX_FILES {
                files.push((entry.path(), about.len()));
            }
        }
    }
    files.sort();
    let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
    if files.is_empty() {
        return Err(refused(folder, "the folder contains no non-empty file"));
    }
    let (path, bytes) = &files[random.random_range(0..files.len())];
    let file = path.strip_prefix(folder).unwrap_or(path).to_owned();
    Ok((file, random.random_range(0..*bytes)))
}

#[cfg(test)]
mod tests;
