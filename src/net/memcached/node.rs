//! A node's side: the dialect of cache nodes that speak the binary protocol. Such a node is asked one thing
//! at a time, as all are, and its answer has to bear the number that the question had.
//!
//! What it cannot say stays unknown: how a read went beyond hit or miss, and its load. What cannot be said to
//! it is not sent: a write bears an idempotency key by which nodes drop repeats, and here is no word for
//! that, so it is turned away before its first byte. A key that is too long for the protocol is none that the
//! node has.

use crate::codec::{resp, Malformed, Parsed};
use crate::core::{Job, Reply};
use crate::interface::Verdict;
use memcached::{frame, Fault, Limits, Opcode, Request, Status, Step};

const LIMITS: Limits = Limits { key: frame::MAX_KEY_LEN, value: resp::MAX_VALUE };

/// The request that a job is; `None` for what this protocol cannot say.
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

/// `number` tells the jobs of one connection apart.
pub(in crate::net) fn put(out: &mut Vec<u8>, job: &Job, number: u32) -> Result<(), Reply> {
    let read = matches!(job, Job::Stream { message, .. } if message.value.is_none());
    let unsaid = || answer(if read { Verdict::Miss } else { Verdict::Full }, b"", true);
    request(job, number).ok_or_else(unsaid)?.put(out).map_err(|_| unsaid())
}

/// The answer to a job. What is out of step is malformed: a late answer must not be taken for another's.
pub(in crate::net) fn reply(bytes: &[u8], job: &Job, number: u32) -> Parsed<Reply> {
    let asked = request(job, number).ok_or(Malformed("an answer to nothing"))?;
    let (response, taken) = match frame::response(bytes, &LIMITS) {
        Ok(Step::Incomplete(_)) => return Ok(None),
        Ok(Step::Complete(response, taken)) => (response, taken),
        Err(Fault::Refused(_, _, why)) => return Err(Malformed(why)),
        Err(Fault::Text) => return Err(Malformed("the text protocol")),
        Err(Fault::Magic(_)) => return Err(Malformed("no answer of the binary protocol")),
        Err(Fault::Lengths(_)) => return Err(Malformed("a body shorter than what is in it")),
    };
    response.answers(&asked).map_err(Malformed)?;
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
