//! What is spoken on a port: how whole commands become streams, and answers what is written.
//!
//! For whoever puts another protocol in front of the core: implement [`Protocol`] beside the feature that
//! wants it and hand it to [`super::downstream::serve`]. Where commands are RESP arrays, [`resp_command`] cuts them
//! out and answers are written as they are on the main port; [`super::memcached`] has a framing of its own.
//! What is no dialogue of commands and answers (a stream of lines, say) wants a task of its own on the
//! [`Link`] instead.
//!
//! [`Link`]: super::downstream::Link

use crate::codec::resp;
use crate::core::{Answer, DownstreamId, NewStream};
use std::time::Duration;

/// A command as a local reply or a stream.
#[derive(Debug)]
pub enum Parsed {
    Local(Vec<u8>),
    Stream(Box<NewStream>),
    /// One answer from several streams, which [`Protocol::combine`] makes of theirs.
    Streams(Vec<NewStream>),
    /// A part of a command: more of them make it whole.
    Incomplete,
    /// A local reply that costs whoever caused it time: it goes out after so long, and nothing more is taken
    /// meanwhile.
    Delayed(Vec<u8>, Duration),
    /// A last answer, behind which the connection is closed.
    Close(Vec<u8>),
    /// The same to bytes that make no sense, and no command.
    Malformed(Vec<u8>),
}

/// One port's protocol, with the state of one connection.
pub trait Protocol {
    /// Streams that a connection may have open at the most.
    fn max_streams(&self) -> usize;

    /// Takes the first command of `bytes`, all that has come and is not taken yet: how many bytes it took,
    /// and what it is; `None` while it is not whole. `place` is the place of its answer among all of the
    /// connection; those of [`Parsed::Streams`] take the places from there on.
    fn parse(&mut self, downstream: DownstreamId, place: u64, bytes: &[u8]) -> Option<(usize, Parsed)>;

    /// The most bytes of a command: as many are read ahead at the least.
    fn max_command_bytes(&self) -> usize {
        resp::MAX_COMMAND
    }

    /// So many bytes have come, just now.
    fn received(&mut self, _: usize) {}

    /// The final answer to the stream at `place`, as it is written; where nothing is to be said, nothing.
    fn encode_answer(&mut self, _: u64, answer: Answer) -> Vec<u8> {
        resp_answer(answer)
    }

    /// The first so many answers are on their way out; the next has the place behind them.
    fn answers_taken(&mut self, _: usize) {}

    /// A command has begun of which more has to come.
    fn is_mid_command(&self) -> bool {
        false
    }

    /// A command fills its connection alone: the next one is taken once its answer is written, and what comes
    /// meanwhile waits, up to a command's length.
    fn is_exclusive(&self) -> bool {
        false
    }

    /// Writes the one answer of [`Parsed::Streams`], from the answers to its streams as they would stand alone.
    fn combine(&self, out: &mut Vec<u8>, answers: Vec<Vec<u8>>) {
        answers.into_iter().for_each(|answer| out.extend(answer));
    }

    /// All that was to be written is.
    fn flushed(&mut self) {}
}

/// The first RESP array of `bytes`, handed to `take` with its length.
pub fn resp_command(
    bytes: &[u8],
    take: impl FnOnce(Vec<Vec<u8>>, usize) -> Parsed,
) -> Option<(usize, Parsed)> {
    match resp::command(bytes) {
        Ok(whole) => whole.map(|(command, taken)| (taken, take(command, taken))),
        Err(malformed) => {
            Some((0, Parsed::Malformed(resp_error(&format!("ERR Protocol error: {}", malformed.0)))))
        }
    }
}

/// A final answer in RESP.
pub fn resp_answer(answer: Answer) -> Vec<u8> {
    match answer {
        Answer::Value(value) => {
            let mut out = Vec::with_capacity(value.len() + 16);
            resp::put_bulk(&mut out, &value);
            out
        }
        Answer::Absent => resp::NULL.to_vec(),
        Answer::Busy(Some(after)) if after >= 1000 => resp_error(&format!("BUSY {}", after / 1000)),
        Answer::Busy(_) => resp_error("BUSY"),
        Answer::Failed | Answer::Late => resp_error("ERR failed"),
        Answer::DuplicateId => resp_error("ERR the id of an open request"),
    }
}

/// An error line.
pub(crate) fn resp_error(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    resp::put_error(&mut out, text);
    out
}
