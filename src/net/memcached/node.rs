//! The binary protocol of memcached towards cache nodes. Such a node gets one request at a time, as all do,
//! and its response has to carry the number of the request.
//!
//! What the protocol cannot express stays unknown: the result of a read beyond hit or miss, and the load of
//! the node. What cannot be expressed to the node is not sent: a write carries an idempotency key by which
//! nodes drop repeats, and the protocol has no field for it, so it is rejected before its first byte. A key
//! that is too long for the protocol is one that the node doesn't have.

use crate::codec::{resp, Malformed, Parsed};
use crate::core::{Job, Reply};
use crate::interface::Verdict;
use memcached::{frame, Fault, Limits, Opcode, Request, Status, Step};

const LIMITS: Limits = Limits { key: frame::MAX_KEY_LEN, value: resp::MAX_VALUE };

/// The request for a job; `None` if the protocol cannot express it.
fn request(job: &Job, number: u32) -> Option<Request<'_>> {
    match job {
        Job::Probe => Some(Request { opaque: number, ..Request::new(Opcode::NOOP) }),
        Job::Stream { message, .. } if message.value.is_none() && message.key.len() <= LIMITS.key => {
            Some(Request { opaque: number, key: &message.key, ..Request::new(Opcode::GET) })
        }
        Job::Stream { .. } => None,
    }
}

fn answer(verdict: Verdict, value: &[u8], keep: bool) -> Reply {
    Reply { verdict, value: value.to_vec(), note: 0, report: Vec::new(), keep, no_place: false }
}

/// Encodes a job. `number` distinguishes the jobs of one connection.
pub(in crate::net) fn encode(out: &mut Vec<u8>, job: &Job, number: u32) -> Result<(), Reply> {
    let read = matches!(job, Job::Stream { message, .. } if message.value.is_none());
    let unsupported = || answer(if read { Verdict::Miss } else { Verdict::Full }, b"", true);
    request(job, number).ok_or_else(unsupported)?.put(out).map_err(|_| unsupported())
}

/// Decodes the response to a job. A response out of step is malformed: a late one must not be taken for that
/// of another job.
pub(in crate::net) fn decode(bytes: &[u8], job: &Job, number: u32) -> Parsed<Reply> {
    let sent = request(job, number).ok_or(Malformed("an answer to nothing"))?;
    let (response, taken) = match frame::response(bytes, &LIMITS) {
        Ok(Step::Incomplete(_)) => return Ok(None),
        Ok(Step::Complete(response, taken)) => (response, taken),
        Err(Fault::Refused(_, _, why)) => return Err(Malformed(why)),
        Err(Fault::Text) => return Err(Malformed("the text protocol")),
        Err(Fault::Magic(_)) => return Err(Malformed("no answer of the binary protocol")),
        Err(Fault::Lengths(_)) => return Err(Malformed("a body shorter than what is in it")),
    };
    response.answers(&sent).map_err(Malformed)?;
    let verdict = match response.status {
        Status::OK => Verdict::Served,
        Status::KEY_NOT_FOUND => Verdict::Miss,
        Status::BUSY => Verdict::Full,
        _ => Verdict::Error,
    };
    let value = if verdict == Verdict::Served { response.value } else { b"" };
    Ok(Some((answer(verdict, value, true), taken)))
}

#[cfg(test)]
mod tests;
