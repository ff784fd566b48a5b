//! What must hold for any bytes at all: shared by the property tests, the replay of the corpus and the fuzz
//! target in `fuzz/`, which includes this file.

use memcached::{frame, header, sasl, Fault, Limits, Request, Step};

/// Small, so that a few bytes reach every bound.
pub const LIMITS: Limits = Limits { key: 250, value: 4096 };
/// How long a refused frame's body may be for a caller to pass it over and go on.
const PASSED_OVER: u32 = 16 * 1024;

/// The first frame in some bytes, written down again.
type Read = fn(&[u8]) -> Result<Step<Vec<u8>>, Fault>;

fn request(bytes: &[u8]) -> Result<Step<Vec<u8>>, Fault> {
    Ok(match frame::request(bytes, &LIMITS)? {
        Step::Incomplete(n) => Step::Incomplete(n),
        Step::Complete(request, taken) => {
            let mut out = Vec::new();
            request.put(&mut out).expect("what was read can be written");
            let _ = (request.check(), request.opcode.name(), sasl::plain(request.value));
            Step::Complete(out, taken)
        }
    })
}

fn response(bytes: &[u8]) -> Result<Step<Vec<u8>>, Fault> {
    Ok(match frame::response(bytes, &LIMITS)? {
        Step::Incomplete(n) => Step::Incomplete(n),
        Step::Complete(response, taken) => {
            let mut out = Vec::new();
            response.put(&mut out).expect("what was read can be written");
            let asked = Request { opaque: response.opaque, ..Request::new(response.opcode) };
            let _ = (response.answers(&asked), response.status.text());
            Step::Complete(out, taken)
        }
    })
}

/// Takes all frames out of bytes that come in pieces of these lengths, over and over, as a connection does,
/// and checks that its buffer never holds more than the limits promise. What was read comes back, frame by
/// frame, with the fault that ended it.
fn pieces(read: Read, bytes: &[u8], lengths: &[u8]) -> (Vec<Vec<u8>>, Option<Fault>) {
    let (mut held, mut frames, mut over) = (Vec::new(), Vec::new(), 0);
    let (mut rest, mut lengths) = (bytes, lengths.iter().cycle());
    loop {
        loop {
            let skipped = held.len().min(over);
            held.drain(..skipped);
            over -= skipped;
            match read(&held) {
                Ok(Step::Complete(written, taken)) => {
                    assert_eq!(written, held[..taken], "what was read is not what is written");
                    frames.push(written);
                    held.drain(..taken);
                }
                Ok(Step::Incomplete(wanted)) => {
                    assert!(wanted > held.len(), "{wanted} bytes are wanted, {} are there", held.len());
                    assert!(wanted <= LIMITS.max_frame_len(), "{wanted} bytes are wanted");
                    break;
                }
                Err(Fault::Refused(header, ..)) if header.body <= PASSED_OVER => {
                    frames.push(held.drain(..header::LEN).collect());
                    over = header.body as usize;
                }
                Err(fault) => return (frames, Some(fault)),
            }
        }
        if rest.is_empty() {
            return (frames, None);
        }
        let piece = usize::from(lengths.next().copied().unwrap_or(u8::MAX)).max(1).min(rest.len());
        held.extend_from_slice(&rest[..piece]);
        rest = &rest[piece..];
        assert!(held.len() <= LIMITS.max_frame_len() + usize::from(u8::MAX), "{} bytes are held", held.len());
    }
}

/// Holds all that must hold against these bytes, read as requests and as responses, byte by byte and in
/// pieces of these lengths. Comes back with the number of frames found either way.
pub fn check_invariants(bytes: &[u8], lengths: &[u8]) -> usize {
    let found = [request as Read, response as Read].map(|read| {
        let one_by_one = pieces(read, bytes, &[1]);
        assert_eq!(pieces(read, bytes, lengths), one_by_one, "pieces change what is read");
        one_by_one.0.len()
    });
    found.iter().sum()
}
