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

const LIMITS: Limits = Limits { key: frame::KEY, value: resp::VALUE };

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
        Ok(Step::More(_)) => return Ok(None),
        Ok(Step::Whole(response, taken)) => (response, taken),
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
mod tests {
    use super::*;
    use crate::core::Message;
    use memcached::Response;
    use rstest::rstest;
    use std::rc::Rc;

    fn job(key: &[u8], value: Option<&[u8]>) -> Job {
        let message = Message { key: key.to_vec(), value: value.map(<[u8]>::to_vec), ..Message::default() };
        Job::Stream { message: Rc::new(message), patience: 0 }
    }

    #[rstest]
    #[case::a_write(job(b"k", Some(b"v")), Some(Verdict::Full))]
    #[case::a_long_key(job(&[b'k'; 251], None), Some(Verdict::Miss))]
    #[case::a_read(job(&[b'k'; 250], None), None)]
    #[case::a_probe(Job::Probe, None)]
    fn what_cannot_be_said_is_not_sent(#[case] job: Job, #[case] told: Option<Verdict>) {
        let mut out = Vec::new();
        let unsaid = put(&mut out, &job, 7).err();
        assert_eq!(unsaid.as_ref().map(|reply| reply.verdict), told);
        assert_eq!(out.is_empty(), told.is_some());
        assert!(unsaid.is_none_or(|reply| reply.keep), "the connection was not touched");
    }

    #[rstest]
    #[case(Status::OK, Verdict::Served)]
    #[case(Status::KEY_NOT_FOUND, Verdict::Miss)]
    #[case(Status::BUSY, Verdict::Full)]
    #[case::it_may_have_run(Status::TEMPORARY, Verdict::Error)]
    #[case(Status::AUTH_ERROR, Verdict::Error)]
    #[case::nobody_knows_it(Status(0x4242), Verdict::Error)]
    fn each_status_is_a_verdict_and_nothing_is_guessed(#[case] status: Status, #[case] verdict: Verdict) {
        let extras: &[u8] = if status == Status::OK { &[0; 4] } else { &[] };
        let mut bytes = Vec::new();
        let response = Response { status, extras, value: b"text", ..Response::new(Opcode::GET, 7) };
        response.put(&mut bytes).expect("it fits");
        let reply = reply(&bytes, &job(b"k", None), 7).expect("in step").expect("whole").0;
        let value: &[u8] = if verdict == Verdict::Served { b"text" } else { b"" };
        assert_eq!(reply, answer(verdict, value, true));
    }
}
