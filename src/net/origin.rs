//! The HTTP/1.1 protocol of the origin: encodes an upstream request and decodes its response. The properties
//! are passed on unchanged except for the time left, as to every node.

use super::upstream::with_time_left;
use crate::codec::http::{self, PeerState};
use crate::codec::{self, resp, Parsed};
use crate::core::{Job, Reply};
use crate::interface::Verdict;
use std::net::SocketAddr;

pub(super) fn encode(out: &mut Vec<u8>, job: &Job, address: SocketAddr) {
    let host = address.to_string();
    match job {
        Job::Probe => http::put_request(out, "GET", b"/stats", &host, &[], None),
        Job::Stream { message: m, patience } => {
            let properties = with_time_left(&m.properties, patience / 1000);
            let path = [b"/", m.key.as_slice()].concat();
            let headers: [(&str, &[u8]); 2] = [("X-Trace-Id", &m.id), ("X-Props", &properties)];
            let method = if m.value.is_some() { "PUT" } else { "GET" };
            http::put_request(out, method, &path, &host, &headers, m.value.as_deref());
        }
    }
}

pub(super) fn decode(bytes: &[u8], job: &Job, columns: &[String], rest: PeerState) -> Parsed<Reply> {
    let response = http::response(bytes, resp::MAX_VALUE, rest)?;
    let Some(((head, value), taken)) = response else { return Ok(None) };
    let never_ran = head.header("X-Never-Ran") == Some(b"1");
    let read = matches!(job, Job::Stream { message, .. } if message.value.is_none());
    let verdict = match head.status {
        200 => Verdict::Served,
        // The resource doesn't exist (RFC 9110, section 15.5.5). For a write this status doesn't promise that
        // it had no effect.
        404 if read => Verdict::Miss,
        503 | 504 if never_ran => Verdict::Full,
        _ => Verdict::Error,
    };
    let report = head.header("Endpoint-Load-Metrics").map_or_else(Vec::new, |t| codec::report(t, columns));
    Ok(Some((Reply { verdict, value, note: 0, report, keep: head.keep, no_place: false }, taken)))
}
