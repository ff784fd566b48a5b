//! A store's changes on disk: a file that is appended to, and written anew once it has grown.
//!
//! The file begins with [`MAGIC`]; frames follow, of which the first is a [`Head`], the others are
//! [`dissemination::Record`]s in postcard's form. A frame is the length of its body (u32, little-endian), the CRC-32
//! of these four bytes, that of the body, and the body. So a record that was being written when the machine stopped is
//! told from one that was damaged: of the first the file's end is missing, or nothing but zeros; it was acknowledged to
//! nobody and goes. Anything else that does not fit is an error, with its place.
//!
//! All of this may block: the host calls it off the thread that serves.

use dissemination::{ControlId, Record};
use serde::{Deserialize, Serialize};
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};

/// What the file begins with; the last byte is the form's version.
const MAGIC: &[u8; 8] = b"mwstore\x01";
/// Bytes before a body.
const HEADER_BYTES: usize = 12;
/// The longest body: a change of the largest size, and what names it.
const MAX_BODY: usize = 8 * 1024;
/// A file that has grown by so many bytes beyond twice what it needs is written anew. Large, so that it is seldom.
const REWRITE_THRESHOLD: u64 = 16 << 20;
/// The largest file that is read at the start: what is held, and several times of what is let grow.
const MAX_FILE: u64 = 1 << 30;

/// Whose file it is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct Head {
    control: u8,
    epoch: u32,
}

/// A store's file, open to be appended to.
#[derive(Debug)]
pub struct Store {
    path: PathBuf,
    file: File,
    head: Head,
    /// Bytes of the file now, and when it was written anew last.
    bytes: u64,
    needed: u64,
}

/// What a file had.
#[derive(Debug)]
pub struct Loaded {
    pub store: Store,
    pub records: Vec<Record>,
    /// Bytes at its end that were no whole record and are gone.
    pub torn: u64,
    /// The epoch in which it was written, if another.
    pub older: Option<u32>,
}

/// A value as a frame. It fails on what no machine makes: a record beyond its bounds.
fn frame(value: &impl Serialize, to: &mut Vec<u8>) -> io::Result<()> {
    let body = postcard::to_allocvec(value).map_err(io::Error::other)?;
    if body.len() > MAX_BODY {
        return Err(io::Error::other("a record beyond its bounds"));
    }
    let length = (body.len() as u32).to_le_bytes();
    to.extend(length);
    to.extend(crc32fast::hash(&length).to_le_bytes());
    to.extend(crc32fast::hash(&body).to_le_bytes());
    to.extend(body);
    Ok(())
}

/// Records as they stand in the file.
///
/// # Errors
///
/// A record beyond its bounds, which no machine makes.
pub fn encode(records: &[Record]) -> io::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    records.iter().try_for_each(|record| frame(record, &mut bytes))?;
    Ok(bytes)
}

fn read_u32(bytes: &[u8], at: usize) -> Option<u32> {
    bytes.get(at..at + 4)?.try_into().ok().map(u32::from_le_bytes)
}

/// What the next frame holds.
enum Frame<'a> {
    Body(&'a [u8]),
    /// The file ends before the frame does.
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

/// One value, and nothing behind it.
fn decode<'a, T: Deserialize<'a>>(body: &'a [u8]) -> Result<T, &'static str> {
    match postcard::take_from_bytes(body) {
        Ok((value, [])) => Ok(value),
        _ => Err("a record that cannot be read"),
    }
}

/// The folder's entry of a file lasts.
fn sync_directory(path: &Path) -> io::Result<()> {
    let folder = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new("."));
    File::open(folder)?.sync_all()
}

impl Store {
    /// Reads a file and opens it to be appended to; without one there it is begun.
    ///
    /// # Errors
    ///
    /// One line with the file and the place in it: it cannot be read or written, is damaged, or another's; it was
    /// written in a later epoch.
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
            // Begun anew without what was torn, by the epoch that is now.
            false => encode(&records).and_then(|bytes| Store::write(path, head, &bytes)).map_err(failed)?,
        };
        Ok(Loaded { store, records, torn, older: Some(written).filter(|w| *w < epoch) })
    }

    /// Appends what [`encode`] has made of records. They last when it returns.
    ///
    /// # Errors
    ///
    /// Those of the file; what it holds then is not known.
    pub fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.file.write_all(bytes)?;
        self.file.sync_data()?;
        self.bytes += bytes.len() as u64;
        Ok(())
    }

    /// Whether most of the file is no longer needed.
    pub fn needs_rewrite(&self) -> bool {
        self.bytes > 2 * self.needed + REWRITE_THRESHOLD
    }

    /// The file with these records alone, as [`encode`] has made them. It is whole at any moment: the new one takes the old one's name once it
    /// lasts.
    ///
    /// # Errors
    ///
    /// Those of the files.
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

/// What is whole of a file.
struct Contents {
    /// None in one that was torn before its head was written.
    head: Option<Head>,
    records: Vec<Record>,
    bytes: u64,
}

/// An error has its place.
fn read(bytes: &[u8]) -> Result<Contents, (usize, &'static str)> {
    let mut at = MAGIC.len();
    if bytes.get(..at) != Some(MAGIC) {
        return Err((0, "no store's file, or of another version"));
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
