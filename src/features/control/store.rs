//! Durable storage of a store's changes: an append-only file that is rewritten once it has grown too much.
//!
//! The file begins with [`MAGIC`], followed by frames: a [`Head`], then [`dissemination::Record`]s, all
//! encoded by postcard. A frame consists of the length of its body (u32, little-endian), the CRC-32 of these
//! four bytes, the CRC-32 of the body, and the body. This distinguishes a record that was being written when
//! the machine stopped from a damaged one: the former is cut short by the end of the file, or has only zeros;
//! it has not been acknowledged and is dropped. Anything else is an error, which is reported with its
//! position.
//!
//! All functions may block, so the host calls them on another thread.

use dissemination::{ControlId, Record};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// Start of the file; the last byte is the version of the format.
const MAGIC: &[u8; 8] = b"mwstore\x01";
/// Size of a frame header.
const HEADER_BYTES: usize = 12;
/// Maximum size of a body: the largest change and its identification.
const MAX_BODY: usize = 8 * 1024;
/// The file is rewritten once it exceeds twice the needed size by this many bytes. The threshold is large to
/// make rewrites rare.
const REWRITE_THRESHOLD: u64 = 16 << 20;
/// Maximum size of a file to load: the needed size plus several times the growth allowed above.
const MAX_FILE: u64 = 1 << 30;

/// The machine and epoch that wrote the file.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    control: u8,
    epoch: u32,
}

/// The open file of a store.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    file: File,
    head: Head,
    /// Current size of the file, and its size after the last rewrite.
    bytes: u64,
    needed: u64,
}

/// The content of a file.
#[derive(Debug)]
pub struct Loaded {
    pub store: Store,
    pub records: Vec<Record>,
    /// Size of the incomplete record that was dropped from the end of the file.
    pub torn: u64,
    /// The epoch in which the file was written, if it was an earlier one.
    pub older: Option<u32>,
}

/// Appends a value as a frame. Fails for records beyond the limits, which no machine creates.
fn frame(value: &impl Serialize, to: &mut Vec<u8>) -> io::Result<()> {
    let body = postcard::to_allocvec(value).map_err(io::Error::other)?;
    if body.len() > MAX_BODY {
        return Err(io::Error::other("a record exceeds the size limit"));
    }
    let length = (body.len() as u32).to_le_bytes();
    to.extend(length);
    to.extend(crc32fast::hash(&length).to_le_bytes());
    to.extend(crc32fast::hash(&body).to_le_bytes());
    to.extend(body);
    Ok(())
}

/// Encodes records for [`Store::append`] and [`Store::rewrite`].
///
/// # Errors
///
/// A record beyond the limits, which no machine creates.
pub fn encode(records: &[Record]) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    records.iter().try_for_each(|record| frame(record, &mut bytes))?;
    Ok(bytes)
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    bytes.get(at..at + 4)?.try_into().ok().map(u32::from_le_bytes)
}

/// The next frame of a file.
enum Frame<'a> {
    Body(&'a [u8]),
    /// The file ends within the frame.
    Torn,
    Damaged(&'static str),
}

fn next_frame(bytes: &[u8]) -> Frame<'_> {
    let header = read_u32(bytes, 0).zip(read_u32(bytes, 4)).zip(read_u32(bytes, 8));
    let Some(((length, length_crc), body_crc)) = header else { return Frame::Torn };
    if crc32fast::hash(&length.to_le_bytes()) != length_crc {
        return match bytes.iter().all(|b| *b == 0) {
            true => Frame::Torn,
            false => Frame::Damaged("a record's length is damaged"),
        };
    }
    let Some(body) = bytes.get(HEADER_BYTES..HEADER_BYTES + length as usize) else { return Frame::Torn };
    match crc32fast::hash(body) == body_crc {
        true => Frame::Body(body),
        false if bytes.get(HEADER_BYTES..).unwrap_or_default().iter().all(|b| *b == 0) => Frame::Torn,
        false => Frame::Damaged("a record is damaged"),
    }
}

/// Decodes a value that takes up the whole body.
fn decode<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, &'static str> {
    match postcard::take_from_bytes(body) {
        Ok((value, [])) => Ok(value),
        _ => Err("a record cannot be decoded"),
    }
}

/// Syncs the directory, so that the entry of a new file is durable.
fn sync_directory(path: &Path) -> io::Result<()> {
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

impl Store {
    /// Loads a file and opens it for appending; creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// A one-line message with the file and the position, if it cannot be read or written, is damaged,
    /// belongs to another machine or was written in a later epoch.
    pub fn open(path: &Path, me: ControlId, epoch: u32) -> Result<Loaded, String> {
        let failed = |e: io::Error| format!("{}: {e}", path.display());
        let head = Head { control: me.0, epoch };
        let bytes = match fs::metadata(path) {
            Err(e) if e.kind() == io::ErrorKind::NotFound => {
                let store = Store::write(path, head, &[]).map_err(failed)?;
                return Ok(Loaded { store, records: Vec::new(), torn: 0, older: None });
            }
            Err(e) => return Err(failed(e)),
            Ok(of) if of.len() > MAX_FILE => return Err(format!("{}: larger than 1 GB", path.display())),
            Ok(_) => fs::read(path).map_err(failed)?,
        };
        let Contents { head: before, records, bytes: whole } =
            read(&bytes).map_err(|(at, what)| format!("{}: byte {at}: {what}", path.display()))?;
        let Head { control, epoch: written } = before.unwrap_or(head);
        if control != me.0 {
            return Err(format!(
                "{}: written by control machine {control}, this is {}",
                path.display(),
                me.0
            ));
        }
        if written > epoch {
            return Err(format!("{}: written in epoch {written}, controlepoch is {epoch}", path.display()));
        }
        let torn = bytes.len() as u64 - whole;
        let store = match before == Some(head) && torn == 0 {
            true => {
                let file = OpenOptions::new().append(true).open(path).map_err(failed)?;
                Store { path: path.into(), file, head, bytes: whole, needed: whole }
            }
            // Rewritten in the current epoch, without the incomplete record.
            false => encode(&records).and_then(|bytes| Store::write(path, head, &bytes)).map_err(failed)?,
        };
        Ok(Loaded { store, records, torn, older: Some(written).filter(|w| *w < epoch) })
    }

    /// Appends records encoded by [`encode`]. They are durable when this returns.
    ///
    /// # Errors
    ///
    /// I/O errors, after which the content of the file is unknown.
    pub fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)?;
        self.file.sync_data()?;
        self.bytes += bytes.len() as u64;
        Ok(())
    }

    /// Whether most of the file is obsolete.
    pub fn needs_rewrite(&self) -> bool {
        self.bytes > 2 * self.needed + REWRITE_THRESHOLD
    }

    /// Replaces the file by one with only these records, as encoded by [`encode`]. The file is complete at
    /// any time: the new one is renamed to the old name once it is durable.
    ///
    /// # Errors
    ///
    /// I/O errors.
    pub fn rewrite(&self, records: &[u8]) -> io::Result<Store> {
        Store::write(&self.path, self.head, records)
    }

    fn write(path: &Path, head: Head, records: &[u8]) -> io::Result<Store> {
        let mut bytes = MAGIC.to_vec();
        frame(&head, &mut bytes)?;
        bytes.extend(records);
        let mut new = path.as_os_str().to_owned();
        new.push(".new");
        let mut file = File::create(&new)?;
        file.write_all(&bytes)?;
        file.sync_data()?;
        fs::rename(&new, path)?;
        sync_directory(path)?;
        let length = bytes.len() as u64;
        Ok(Store { path: path.into(), file, head, bytes: length, needed: length })
    }
}

/// The complete frames of a file.
struct Contents {
    /// `None` if the file ends before the head was complete.
    head: Option<Head>,
    records: Vec<Record>,
    bytes: u64,
}

/// Parses a file; an error has its position.
fn read(bytes: &[u8]) -> Result<Contents, (usize, &'static str)> {
    let mut at = MAGIC.len();
    if bytes.get(..at) != Some(MAGIC) {
        return Err((0, "not a store file, or one of another version"));
    }
    let (mut head, mut records) = (None, Vec::new());
    while at < bytes.len() {
        match next_frame(bytes.get(at..).unwrap_or_default()) {
            Frame::Torn => break,
            Frame::Damaged(what) => return Err((at, what)),
            Frame::Body(body) => {
                match head {
                    None => head = Some(decode(body).map_err(|what| (at, what))?),
                    Some(_) => records.push(decode(body).map_err(|what| (at, what))?),
                }
                at += HEADER_BYTES + body.len();
            }
        }
    }
    Ok(Contents { head, records, bytes: at as u64 })
}

#[cfg(test)]
mod tests;
