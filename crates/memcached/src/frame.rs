//! Encoding and decoding of frames, which consist of a header and the body it announces.
//!
//! A header is validated as soon as it is complete, before any byte of the body arrives: a sender that
//! announces 60 MB is rejected after 24 bytes, and no buffer is allocated for a body that will be rejected.
//! Every call decodes the header again, which takes constant time however many pieces the body arrives in.

use crate::header::{self, Header, Magic};
use crate::{Opcode, Status};

/// Maximum key length of the protocol in bytes.
pub const MAX_KEY_LEN: usize = 250;

/// Limits on the parts of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Maximum length of a key in bytes.
    pub key: usize,
    /// Maximum length of a value in bytes.
    pub value: usize,
}

impl Default for Limits {
    /// The protocol's maximum key length, and values of up to 64 KiB.
    fn default() -> Self {
        Limits { key: MAX_KEY_LEN, value: 64 * 1024 }
    }
}

impl Limits {
    /// Upper bound on the length of a frame within these limits, and so on the buffer needed to receive one.
    pub fn max_frame_len(&self) -> usize {
        header::LEN + usize::from(u8::MAX) + self.key.saturating_add(self.value)
    }
}

/// Result of decoding the first frame in a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step<T> {
    /// The frame is incomplete. Holds the total number of bytes needed; if that is the length of a header,
    /// more may be needed once the header is known.
    Incomplete(usize),
    /// The frame, and the number of bytes it occupies in the buffer.
    Complete(T, usize),
}

impl<T> Step<T> {
    fn map<U>(self, f: impl FnOnce(T) -> U) -> Step<U> {
        match self {
            Step::Incomplete(n) => Step::Incomplete(n),
            Step::Complete(frame, consumed) => Step::Complete(f(frame), consumed),
        }
    }
}

/// Why a buffer does not start with an acceptable frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// The first byte is an ASCII letter instead of a magic byte: the peer probably speaks the text protocol.
    /// The connection cannot be resynchronized.
    Text,
    /// The first byte is not the magic byte of this direction. The connection cannot be resynchronized.
    Magic(u8),
    /// Extras and key are longer than the body that contains them, so the end of the frame is unknown and the
    /// connection cannot be resynchronized. The header still identifies the request to answer.
    Lengths(Header),
    /// The frame is rejected because of its lengths or its data type. Its end is known: the caller can skip
    /// [`Header::body`] bytes after the header and continue with the next frame.
    Refused(Header, Status, &'static str),
}

/// A frame cannot be encoded because a length does not fit its header field.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Oversized;

impl std::fmt::Display for Oversized {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        f.write_str("a length does not fit its field")
    }
}

impl std::error::Error for Oversized {}

/// A request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request<'a> {
    /// The opcode.
    pub opcode: Opcode,
    /// The vbucket, on servers that use them; otherwise 0.
    pub vbucket: u16,
    /// Opaque value that the response repeats.
    pub opaque: u32,
    /// Version of the item that the command requires (compare-and-swap); 0 for any.
    pub cas: u64,
    /// Parameters of the command other than key and value, such as flags.
    pub extras: &'a [u8],
    /// The key.
    pub key: &'a [u8],
    /// The value.
    pub value: &'a [u8],
}

impl Request<'_> {
    /// A request without extras, key and value.
    pub fn new(opcode: Opcode) -> Self {
        Request { opcode, vbucket: 0, opaque: 0, cas: 0, extras: &[], key: &[], value: &[] }
    }

    /// Appends the encoded request to `out`. On an error nothing is written.
    pub fn put(&self, out: &mut Vec<u8>) -> Result<(), Oversized> {
        let Request { opcode, vbucket, opaque, cas, .. } = *self;
        let header =
            Header { opcode: opcode.0, vbucket_or_status: vbucket, opaque, cas, ..Header::default() };
        put(out, Magic::Request, header, [self.extras, self.key, self.value])
    }
}

/// A response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Response<'a> {
    /// The opcode of the request.
    pub opcode: Opcode,
    /// The status.
    pub status: Status,
    /// Opaque value of the request.
    pub opaque: u32,
    /// Version of the item (compare-and-swap).
    pub cas: u64,
    /// Metadata of the value, such as flags.
    pub extras: &'a [u8],
    /// The key, if the command asks for it.
    pub key: &'a [u8],
    /// The value, or an error message.
    pub value: &'a [u8],
}

impl Response<'_> {
    /// A successful response without extras, key and value.
    pub fn new(opcode: Opcode, opaque: u32) -> Self {
        Response { opcode, status: Status::OK, opaque, cas: 0, extras: &[], key: &[], value: &[] }
    }

    /// Appends the encoded response to `out`. On an error nothing is written.
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

/// Decodes the first request in `bytes`, the bytes received from a client and not yet consumed.
pub fn request<'a>(bytes: &'a [u8], limits: &Limits) -> Result<Step<Request<'a>>, Fault> {
    Ok(decode(bytes, Magic::Request, limits)?.map(|(header, [extras, key, value])| {
        let Header { opcode, vbucket_or_status: vbucket, opaque, cas, .. } = header;
        Request { opcode: Opcode(opcode), vbucket, opaque, cas, extras, key, value }
    }))
}

/// Decodes the first response in `bytes`, the bytes received from a server and not yet consumed.
pub fn response<'a>(bytes: &'a [u8], limits: &Limits) -> Result<Step<Response<'a>>, Fault> {
    Ok(decode(bytes, Magic::Response, limits)?.map(|(header, [extras, key, value])| {
        let Header { opcode, vbucket_or_status, opaque, cas, .. } = header;
        let (opcode, status) = (Opcode(opcode), Status(vbucket_or_status));
        Response { opcode, status, opaque, cas, extras, key, value }
    }))
}

/// A frame with valid lengths: its header, and extras, key and value.
type Parts<'a> = (Header, [&'a [u8]; 3]);

fn decode<'a>(bytes: &'a [u8], magic: Magic, limits: &Limits) -> Result<Step<Parts<'a>>, Fault> {
    // A wrong first byte is reported at once instead of after a complete header.
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
    let consumed = value_at + value;
    let parts = (bytes.get(header::LEN..key_at), bytes.get(key_at..value_at), bytes.get(value_at..consumed));
    match parts {
        (Some(extras), Some(key), Some(value)) => {
            Ok(Step::Complete((header, [extras, key, value]), consumed))
        }
        _ => Ok(Step::Incomplete(consumed)),
    }
}
