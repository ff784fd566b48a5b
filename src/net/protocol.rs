//! The protocol of a port: how commands become streams, and how answers are encoded.
//!
//! To put another protocol in front of the core, implement [`Protocol`] beside the feature that needs it and
//! pass it to [`super::downstream::serve`]. If commands are RESP arrays, [`resp_command`] splits them off and
//! answers are encoded as on the main port; [`super::memcached`] has a framing of its own. What is no
//! dialogue of commands and answers, such as a stream of lines, runs a task of its own on the [`Link`]
//! instead.
//!
//! [`Link`]: super::downstream::Link

use crate::codec::resp;
use crate::core::{Answer, DownstreamId, NewStream};
use std::time::Duration;

/// A parsed command: a local reply or a stream.
#[derive(Debug)]
pub enum Parsed {
    Local(Vec<u8>),
    Stream(Box<NewStream>),
    /// One answer from several streams, built by [`Protocol::combine`].
    Streams(Vec<NewStream>),
    /// A part of a command that is taken by itself; further parts will complete the command.
    Part,
    /// A local reply that is delayed to slow the client down; no command is taken in the meantime.
    Delayed(Vec<u8>, Duration),
    /// A last answer, after which the connection is closed.
    Close(Vec<u8>),
    /// As `Close`, in reply to bytes that are no valid command.
    Malformed(Vec<u8>),
}

/// What the bytes of a client begin with.
#[derive(Debug)]
pub enum ParseStep {
    /// A whole command, or a part that is taken by itself, and the number of bytes taken.
    Taken(usize, Parsed),
    /// An incomplete command, which will have this many bytes at least.
    ///
    /// Room for so many is reserved, and the bytes are not parsed again before so many have arrived. So the
    /// number has to come from what the command itself says: one byte too many, and a client that has sent
    /// its whole command waits for an answer that never comes. The codec that finds a command incomplete
    /// tells the number ([`resp::Command::AtLeast`], [`memcached::Step::Incomplete`]).
    Incomplete(usize),
}

/// What becomes of an incomplete command for which there is no room.
#[derive(Debug)]
pub enum WithoutRoom {
    /// It is a RESP array, which the connection reads past without holding it; then it gets
    /// [`Protocol::refusal`].
    ReadPast,
    /// It is dropped with this answer, and the protocol passes over its rest.
    Refused(Vec<u8>),
    /// It is dropped with this answer, the last one of the connection: where its rest ends cannot be told.
    Closed(Vec<u8>),
}

/// The protocol of one port, with the state of one connection.
pub trait Protocol {
    /// The maximum number of open streams of a connection.
    fn max_streams(&self) -> usize;

    /// Parses the first command of `bytes`, which holds everything received and not taken yet and is not
    /// empty. No command is longer than [`resp::MAX_COMMAND`], for which there is always room. `place` is the
    /// place of its answer among all of the connection; the streams of [`Parsed::Streams`] take the places
    /// from there on.
    fn parse(&mut self, downstream: DownstreamId, place: u64, bytes: &[u8]) -> ParseStep;

    /// Refuses the incomplete command that `bytes` hold: there has been no room for it for too long, or it has
    /// not arrived while others wait for the room that it was given.
    fn refuse_without_room(&mut self, bytes: &[u8]) -> WithoutRoom;

    /// Whether all that follows the commands that are held is RESP arrays that may be read past.
    fn skips(&self) -> bool {
        false
    }

    /// The answer to a command that was read past.
    fn refusal(&self) -> Vec<u8> {
        resp_answer(Answer::Busy(None))
    }

    /// This many bytes have just arrived.
    fn received(&mut self, _: usize) {}

    /// The final answer to the stream at `place`, encoded; empty if the protocol sends none.
    fn encode_answer(&mut self, _: u64, answer: Answer) -> Vec<u8> {
        resp_answer(answer)
    }

    /// The first answers were moved to the output; the next one has the place after them.
    fn answers_taken(&mut self, _: usize) {}

    /// Whether a command has begun whose rest is still to arrive.
    fn is_mid_command(&self) -> bool {
        false
    }

    /// Whether a command occupies the connection alone: the next one is taken once its answer is written, and
    /// until then input waits, up to the length of a command.
    fn is_exclusive(&self) -> bool {
        false
    }

    /// Writes the one answer of [`Parsed::Streams`], built from the answers that its streams would have
    /// alone.
    fn combine(&self, out: &mut Vec<u8>, answers: Vec<Vec<u8>>) {
        answers.into_iter().for_each(|answer| out.extend(answer));
    }

    /// All output has been written.
    fn flushed(&mut self) {}
}

/// Splits off the first RESP array of `bytes` and passes it to `take` with its length.
pub fn resp_command(bytes: &[u8], take: impl FnOnce(Vec<Vec<u8>>, usize) -> Parsed) -> ParseStep {
    match resp::command(bytes) {
        Ok(resp::Command::Whole(command, taken)) => ParseStep::Taken(taken, take(command, taken)),
        Ok(resp::Command::AtLeast(least)) => ParseStep::Incomplete(least),
        Err(malformed) => {
            let error = resp_error(&format!("ERR Protocol error: {}", malformed.0));
            ParseStep::Taken(0, Parsed::Malformed(error))
        }
    }
}

/// Encodes a final answer in RESP.
pub fn resp_answer(answer: Answer) -> Vec<u8> {
    match answer {
        Answer::Value(value) => {
            let mut out = Vec::new();
            resp::put_bulk(&mut out, &value);
            out
        }
        Answer::Absent => resp::NULL.to_vec(),
        Answer::Busy(Some(after)) if after >= 1000 => resp_error(&format!("BUSY {}", after / 1000)),
        Answer::Busy(_) => resp_error("BUSY"),
        Answer::Failed | Answer::Late => resp_error("ERR failed"),
        Answer::DuplicateId => resp_error("ERR the id of an open request"),
        Answer::RepeatedId => resp_error("ERR the id of a request that may have run"),
    }
}

/// Encodes an error line.
pub(crate) fn resp_error(text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    resp::put_error(&mut out, text);
    out
}
