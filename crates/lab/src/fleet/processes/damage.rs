//! Damage to the files of a process that is down.

use super::ProcessError;
use rand::{RngExt, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::path::{Component, Path, PathBuf};

/// Files of a folder that are looked at.
const MAX_FILES: usize = 10_000;

/// What befalls a file. Its path is that within the folder of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Damage {
    /// Only its first bytes are left.
    CutShort { file: PathBuf, to: u64 },
    /// A byte is another one.
    ByteChanged { file: PathBuf, at: u64 },
    /// As `CutShort`, a file and a place drawn with this seed.
    AnyCutShort { seed: u64 },
    /// As `ByteChanged`, a file and a place drawn with this seed.
    AnyByteChanged { seed: u64 },
}

impl Damage {
    /// Does it; what was done, for the log.
    pub(super) fn apply(&self, folder: &Path) -> Result<String, ProcessError> {
        match self {
            Damage::CutShort { file, to } => {
                let (path, bytes) = regular(folder, file)?;
                if *to >= bytes {
                    return Err(refused(file, "it is not longer"));
                }
                let io = |source| ProcessError::Io { what: path.display().to_string(), source };
                OpenOptions::new().write(true).open(&path).and_then(|f| f.set_len(*to)).map_err(io)?;
                Ok(format!("{} is cut from {bytes} bytes to {to}", file.display()))
            }
            Damage::ByteChanged { file, at } => {
                let (path, bytes) = regular(folder, file)?;
                if *at >= bytes {
                    return Err(refused(file, "it is not as long"));
                }
                let io = |source| ProcessError::Io { what: path.display().to_string(), source };
                let (was, is) = change(&path, *at).map_err(io)?;
                Ok(format!("byte {at} of {} is {is:#04x} and was {was:#04x}", file.display()))
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

/// A file of the folder and its length; nothing outside of it, and no link.
fn regular(folder: &Path, file: &Path) -> Result<(PathBuf, u64), ProcessError> {
    if !file.components().all(|part| matches!(part, Component::Normal(_))) {
        return Err(refused(file, "it leads out of the folder"));
    }
    let mut path = folder.to_owned();
    for part in file.components() {
        path.push(part);
        if path.is_symlink() {
            return Err(refused(file, "a link leads there"));
        }
    }
    match fs::symlink_metadata(&path) {
        Ok(about) if about.is_file() => Ok((path, about.len())),
        Ok(_) => Err(refused(file, "it is no file")),
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

/// A file with something in it and a place in it, the same for the same files and seed.
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
        return Err(refused(folder, "no file there has anything in it"));
    }
    let (path, bytes) = &files[random.random_range(0..files.len())];
    let file = path.strip_prefix(folder).unwrap_or(path).to_owned();
    Ok((file, random.random_range(0..*bytes)))
}

#[cfg(test)]
mod tests;
