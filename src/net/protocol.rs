//! What is spoken on a port: how whole commands become streams, and answers what is written.
//!
//! For whoever puts another protocol in front of the core: implement [`Protocol`] beside the feature that
//! wants it and hand it to [`super::downstream::serve`]. Where commands are RESP arrays, [`array`] cuts them
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
    Ask(Box<NewStream>),
    /// One answer from several streams, which [`Protocol::put`] makes of theirs.
    Asks(Vec<NewStream>),
    /// A part of a command: more of them make it whole.
    More,
    /// A local reply that costs whoever caused it time: it goes out after so long, and nothing more is taken
    /// meanwhile.
    Slow(Vec<u8>, Duration),
    /// A last answer, behind which the connection is closed.
    Close(Vec<u8>),
    /// The same to bytes that make no sense, and no command.
    Malformed(Vec<u8>),
}

/// One port's protocol, with the state of one connection.
pub trait Protocol {
    /// Streams that a connection may have open at the most.
    fn streams(&self) -> usize;

    /// Takes the first command of `bytes`, all that has come and is not taken yet: how many bytes it took,
    /// and what it is; `None` while it is not whole. `place` is the place of its answer among all of the
    /// connection; those of [`Parsed::Asks`] take the places from there on.
    fn take(&mut self, downstream: DownstreamId, place: u64, bytes: &[u8]) -> Option<(usize, Parsed)>;

    /// The most bytes of a command: as many are read ahead at the least.
    fn longest(&self) -> usize {
        resp::MAX_COMMAND
    }

    /// So many bytes have come, just now.
    fn came(&mut self, _: usize) {}

    /// The final answer to the stream at `place`, as it is written; where nothing is to be said, nothing.
    fn answer(&mut self, _: u64, answer: Answer) -> Vec<u8> {
        reply(answer)
    }

    /// The first so many answers are on their way out; the next has the place behind them.
    fn sent(&mut self, _: usize) {}

    /// A command has begun of which more has to come.
    fn unfinished(&self) -> bool {
        false
    }

    /// A command fills its connection alone: the next one is taken once its answer is written, and what comes
    /// meanwhile waits, up to a command's length.
    fn alone(&self) -> bool {
        false
    }

    /// Writes the one answer of [`Parsed::Asks`], from the answers to its streams as they would stand alone.
    fn put(&self, out: &mut Vec<u8>, answers: Vec<Vec<u8>>) {
        answers.into_iter().for_each(|answer| out.extend(answer));
    }

    /// All that was to be written is.
    fn written(&mut self) {}
}

/// The first RESP array of `bytes`, handed to `take` with its length.
pub fn array(bytes: &[u8], take: impl FnOnce(Vec<Vec<u8>>, usize) -> Parsed) -> Option<(usize, Parsed)> {
    match resp::command(bytes) {
        Ok(whole) => whole.map(|(command, taken)| (taken, take(command, taken))),
        Err(malformed) => {
            Some((0, Parsed::Malformed(error(&format!("ERR Protocol error: {}", malformed.0)))))
        }
    }
}

/// A final answer in RESP.
pub fn reply(answer: Answer) -> Vec<u8> {
    match answer {
        Answer::Value(value) => {
            let mut out = Vec::with_capacity(value.len() + 16);
            resp::put_bulk(&mut out, &value);
            out
        }
        Answer::Absent => resp::NULL.to_vec(),
        Answer::Busy(Some(after)) if after >= 1000 => error(&format!("BUSY {}", after / 1000)),
        Answer::Busy(_) => error("BUSY"),
        Answer::Failed | Answer::Late => error("ERR failed"),
        Answer::DuplicateId => error("ERR the id of an open request"),
    }
}

/// An error line.
pub(crate) fn error(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    resp::put_error(&mut out, text);
    out
}
