//! Invariants of the codec for arbitrary input. Shared by the property tests, the replay of the corpus and
//! the fuzz target in `fuzz/`, which includes this file.

use memcached::{frame, header, sasl, Fault, Limits, Request, Step};

/// Small limits, so that short inputs reach every bound.
pub const LIMITS: Limits = Limits { key: 250, value: 4096 };
/// Longest body of a rejected frame that the reader skips to continue with the next frame.
const MAX_SKIPPED_BODY: u32 = 16 * 1024;

/// Decodes the first frame in a buffer and encodes it again.
type Decode = fn(&[u8]) -> Result<Step<Vec<u8>>, Fault>;

fn request(bytes: &[u8]) -> Result<Step<Vec<u8>>, Fault> {
    Ok(match frame::request(bytes, &LIMITS)? {
        Step::Incomplete(n) => Step::Incomplete(n),
        Step::Complete(request, consumed) => {
            let mut out = Vec::new();
            request.put(&mut out).expect("a decoded frame can be encoded");
            let _ = (request.check(), request.opcode.name(), sasl::plain(request.value));
            Step::Complete(out, consumed)
        }
    })
}

fn response(bytes: &[u8]) -> Result<Step<Vec<u8>>, Fault> {
    Ok(match frame::response(bytes, &LIMITS)? {
        Step::Incomplete(n) => Step::Incomplete(n),
        Step::Complete(response, consumed) => {
            let mut out = Vec::new();
            response.put(&mut out).expect("a decoded frame can be encoded");
            let request = Request { opaque: response.opaque, ..Request::new(response.opcode) };
            let _ = (response.answers(&request), response.status.text());
            Step::Complete(out, consumed)
        }
    })
}

/// Decodes all frames from bytes that arrive in pieces of these lengths, repeated cyclically, as on a
/// connection. Checks that the buffer never holds more than the limits allow. Returns the frames, encoded
/// again, and the fault that ended decoding, if any.
fn decode_in_pieces(decode: Decode, bytes: &[u8], lengths: &[u8]) -> (Vec<Vec<u8>>, Option<Fault>) {
    let (mut buffer, mut frames, mut to_skip) = (Vec::new(), Vec::new(), 0);
    let (mut rest, mut lengths) = (bytes, lengths.iter().cycle());
    loop {
        loop {
            let skipped = buffer.len().min(to_skip);
            buffer.drain(..skipped);
            to_skip -= skipped;
            match decode(&buffer) {
                Ok(Step::Complete(written, consumed)) => {
                    assert_eq!(written, buffer[..consumed], "encoding a decoded frame changed it");
                    frames.push(written);
                    buffer.drain(..consumed);
                }
                Ok(Step::Incomplete(wanted)) => {
                    assert!(
                        wanted > buffer.len(),
                        "{wanted} bytes are requested, but {} are already buffered",
                        buffer.len()
                    );
                    assert!(wanted <= LIMITS.max_frame_len(), "{wanted} bytes exceed the frame limit");
                    break;
                }
                Err(Fault::Refused(header, ..)) if header.body <= MAX_SKIPPED_BODY => {
                    frames.push(buffer.drain(..header::LEN).collect());
                    to_skip = header.body as usize;
                }
                Err(fault) => return (frames, Some(fault)),
            }
        }
        if rest.is_empty() {
            return (frames, None);
        }
        let piece_len = usize::from(lengths.next().copied().unwrap_or(u8::MAX)).max(1).min(rest.len());
        buffer.extend_from_slice(&rest[..piece_len]);
        rest = &rest[piece_len..];
        assert!(
            buffer.len() <= LIMITS.max_frame_len() + usize::from(u8::MAX),
            "{} bytes are buffered",
            buffer.len()
        );
    }
}

/// Checks all invariants on these bytes, decoded as requests and as responses, once byte by byte and once in
/// pieces of these lengths. Returns the number of frames found in both directions.
pub fn check_invariants(bytes: &[u8], lengths: &[u8]) -> usize {
    let found = [request as Decode, response as Decode].map(|decode| {
        let byte_by_byte = decode_in_pieces(decode, bytes, &[1]);
        assert_eq!(
            decode_in_pieces(decode, bytes, lengths),
            byte_by_byte,
            "the result depends on the pieces"
        );
        byte_by_byte.0.len()
    });
    found.iter().sum()
}
