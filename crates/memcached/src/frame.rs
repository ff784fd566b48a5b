//! Frames: a header and the body that it announces, cut out of the bytes that have come so far.
//!
//! A header is judged as soon as it is there, before a byte of its body: who announces 60 MB is told so after
//! 24 bytes, and nobody has to make room for what will be refused. Each call looks at the header anew, which
//! costs the same however many pieces the body comes in.

use crate::header::{self, Header, Magic};
use crate::{Opcode, Status};

/// The longest key there is, by the protocol.
pub const MAX_KEY_LEN: usize = 250;

/// What a frame may hold at the most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Bytes of a key.
    pub key: usize,
    /// Bytes of a value.
    pub value: usize,
}

impl Default for Limits {
    /// The protocol's longest key, and values of 64 KiB.
    fn default() -> Self {
        Limits { key: MAX_KEY_LEN, value: 64 * 1024 }
    }
}

impl Limits {
    /// The most bytes that a frame within these limits takes: no buffer for frames has to hold more.
    pub fn max_frame_len(&self) -> usize {
        header::LEN + usize::from(u8::MAX) + self.key.saturating_add(self.value)
    }
}

/// How far the first frame in some bytes is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step<T> {
    /// Not whole: so many bytes are wanted in all, or more where this is a header's length.
    Incomplete(usize),
    /// The frame and how many bytes it took.
    Complete(T, usize),
}

impl<T> Step<T> {
    fn map<U>(self, f: impl FnOnce(T) -> U) -> Step<U> {
        match self {
            Step::Incomplete(n) => Step::Incomplete(n),
            Step::Complete(frame, taken) => Step::Complete(f(frame), taken),
        }
    }
}

/// Why bytes begin no frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A letter stands where a magic byte belongs: the text protocol, by mistake. No further byte can make
    /// sense.
    Text,
    /// No magic byte of this direction. No further byte can make sense.
    Magic(u8),
    /// Extras and key are longer than the body they are part of, so that its end cannot be told. No further
    /// byte can make sense; the header still tells whom to answer.
    Lengths(Header),
    /// A frame that is not taken for its lengths or its data type. Its end is known: behind the header are
    /// [`Header::body`] bytes to pass over, and the next frame follows.
    Refused(Header, Status, &'static str),
}

/// A frame is too long to be written down: a length does not fit its field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Oversized;

impl std::fmt::Display for Oversized {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("a length does not fit its field")
    }
}

impl std::error::Error for Oversized {}

/// What a client asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// The command.
    pub opcode: Opcode,
    /// The part of the keys that is meant, where servers have parts; else 0.
    pub vbucket: u16,
    /// Comes back in the answer.
    pub opaque: u32,
    /// The data version that is meant; 0 for any.
    pub cas: u64,
    /// What the command needs beside key and value, such as flags.
    pub extras: &'a [u8],
    /// The key.
    pub key: &'a [u8],
    /// The value.
    pub value: &'a [u8],
}

impl Request<'_> {
    /// A command with nothing in it.
    pub fn new(opcode: Opcode) -> Self {
        Request { opcode, vbucket: 0, opaque: 0, cas: 0, extras: &[], key: &[], value: &[] }
    }

    /// Appends it. Nothing is written where it cannot be whole.
    pub fn put(&self, out: &mut Vec<u8>) -> Result<(), Oversized> {
        let Request { opcode, vbucket, opaque, cas, .. } = *self;
        let header =
            Header { opcode: opcode.0, vbucket_or_status: vbucket, opaque, cas, ..Header::default() };
        put(out, Magic::Request, header, [self.extras, self.key, self.value])
    }
}

/// What a server answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response<'a> {
    /// The command that is answered.
    pub opcode: Opcode,
    /// How it went.
    pub status: Status,
    /// As the request had it.
    pub opaque: u32,
    /// The version of the data.
    pub cas: u64,
    /// What belongs to the value, such as flags.
    pub extras: &'a [u8],
    /// The key, where the command wants it back.
    pub key: &'a [u8],
    /// The value, or why there is none.
    pub value: &'a [u8],
}

impl Response<'_> {
    /// A success with nothing in it.
    pub fn new(opcode: Opcode, opaque: u32) -> Self {
        Response { opcode, status: Status::OK, opaque, cas: 0, extras: &[], key: &[], value: &[] }
    }

    /// Appends it. Nothing is written where it cannot be whole.
    pub fn put(&self, out: &mut Vec<u8>) -> Result<(), Oversized> {
        let Response { opcode, status, opaque, cas, .. } = *self;
        let header =
            Header { opcode: opcode.0, vbucket_or_status: status.0, opaque, cas, ..Header::default() };
        put(out, Magic::Response, header, [self.extras, self.key, self.value])
    }
}

fn put(out: &mut Vec<u8>, magic: Magic, header: Header, body: [&[u8]; 3]) -> Result<(), Oversized> {
    let [extras, key, _] = body;
    let header = Header {
        extras: extras.len().try_into().map_err(|_| Oversized)?,
        key: key.len().try_into().map_err(|_| Oversized)?,
        body: body.iter().map(|part| part.len()).sum::<usize>().try_into().map_err(|_| Oversized)?,
        ..header
    };
    header.put(magic, out);
    body.iter().for_each(|part| out.extend_from_slice(part));
    Ok(())
}

/// The first request in `bytes`, all that a client has sent and nobody has taken yet.
pub fn request<'a>(bytes: &'a [u8], limits: &Limits) -> Result<Step<Request<'a>>, Fault> {
    Ok(cut(bytes, Magic::Request, limits)?.map(|(header, [extras, key, value])| {
        let Header { opcode, vbucket_or_status: vbucket, opaque, cas, .. } = header;
        Request { opcode: Opcode(opcode), vbucket, opaque, cas, extras, key, value }
    }))
}

/// The first response in `bytes`, all that a server has sent and nobody has taken yet.
pub fn response<'a>(bytes: &'a [u8], limits: &Limits) -> Result<Step<Response<'a>>, Fault> {
    Ok(cut(bytes, Magic::Response, limits)?.map(|(header, [extras, key, value])| {
        let Header { opcode, vbucket_or_status, opaque, cas, .. } = header;
        let (opcode, status) = (Opcode(opcode), Status(vbucket_or_status));
        Response { opcode, status, opaque, cas, extras, key, value }
    }))
}

/// A frame whose lengths are sound: its header, and extras, key and value.
type Parts<'a> = (Header, [&'a [u8]; 3]);

fn cut<'a>(bytes: &'a [u8], magic: Magic, limits: &Limits) -> Result<Step<Parts<'a>>, Fault> {
    // What starts with the wrong byte is told at once, not when a header's length of it has come.
    match bytes.first() {
        Some(b) if *b == magic.byte() => {}
        Some(b) if b.is_ascii_alphabetic() => return Err(Fault::Text),
        Some(b) => return Err(Fault::Magic(*b)),
        None => return Ok(Step::Incomplete(header::LEN)),
    }
    let Some((_, header)) = Header::read(bytes) else { return Ok(Step::Incomplete(header::LEN)) };
    let Some(value) = header.value() else { return Err(Fault::Lengths(header)) };
    if header.data_type != 0 {
        return Err(Fault::Refused(header, Status::INVALID, "an unknown data type"));
    }
    if usize::from(header.key) > limits.key {
        return Err(Fault::Refused(header, Status::INVALID, "the key is too long"));
    }
    let Some(value) = usize::try_from(value).ok().filter(|n| *n <= limits.value) else {
        return Err(Fault::Refused(header, Status::TOO_LARGE, "the value is too large"));
    };
    let key_at = header::LEN + usize::from(header.extras);
    let value_at = key_at + usize::from(header.key);
    let taken = value_at + value;
    let parts = (bytes.get(header::LEN..key_at), bytes.get(key_at..value_at), bytes.get(value_at..taken));
    match parts {
        (Some(extras), Some(key), Some(value)) => Ok(Step::Complete((header, [extras, key, value]), taken)),
        _ => Ok(Step::Incomplete(taken)),
    }
}
