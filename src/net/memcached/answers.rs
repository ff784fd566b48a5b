//! Encodes the outcomes of requests. A missing key, a refusal, a failure and an expired deadline have four
//! different statuses, so that a gateway never has to guess whether its request may have run.
//!
//! | outcome | status | may it have run? |
//! | --- | --- | --- |
//! | nobody has the key | 0x01 key not found | yes, and that is the answer |
//! | refused | 0x85 busy | a retry is harmless, for a write with the same token |
//! | failed | 0x84 internal error | a write may have |
//! | deadline expired | 0x86 temporary failure | a write may have, and may yet |
//!
//! A quiet read that finds nothing and a quiet write that succeeds send no answer; every other outcome of a
//! quiet command is answered.

use crate::core::Answer;
use memcached::{Opcode, Response, Status};

/// A command that became a stream, as far as its answer needs it.
#[derive(Clone, Debug)]
pub(super) struct PendingCommand {
    pub opcode: Opcode,
    pub opaque: u32,
    pub cas: u64,
    /// The key, if the answer contains it.
    pub key: Vec<u8>,
}

impl PendingCommand {
    pub(super) fn is_write(&self) -> bool {
        self.opcode.non_quiet() == Opcode::SET
    }

    /// Encodes the final answer; empty if the protocol sends none.
    pub(super) fn encode(&self, answer: Answer) -> Vec<u8> {
        let write = self.is_write();
        let (status, text) = match answer {
            Answer::Value(_) | Answer::Absent if self.is_silent(&answer) => return Vec::new(),
            Answer::Value(value) => {
                let ok = Response::new(self.opcode, self.opaque);
                // The answer to a write has no body, so a receipt has no place in it. The answer to a read
                // has no CAS: as the token of a write it would be the same for two writes.
                return match write {
                    true => encode_response(Response { cas: self.cas, ..ok }),
                    false => {
                        encode_response(Response { extras: &[0; 4], key: &self.key, value: &value, ..ok })
                    }
                };
            }
            Answer::Absent => (Status::KEY_NOT_FOUND, "not found".to_owned()),
            Answer::Busy(after) => {
                let after = after.filter(|after| *after >= 1000).map(|after| after / 1000);
                let text =
                    after.map_or_else(|| "busy".to_owned(), |ms| format!("busy, come again in {ms} ms"));
                (Status::BUSY, text)
            }
            Answer::Late if write => (Status::TEMPORARY, "out of time, it may have run".to_owned()),
            Answer::Late => (Status::TEMPORARY, "out of time".to_owned()),
            Answer::Failed | Answer::DuplicateId | Answer::RepeatedId if write => {
                (Status::INTERNAL, "failed, it may have run".to_owned())
            }
            Answer::Failed | Answer::DuplicateId | Answer::RepeatedId => {
                (Status::INTERNAL, "failed".to_owned())
            }
        };
        encode_error(self.opcode, self.opaque, status, &text)
    }

    /// Whether the protocol omits the answer for this outcome.
    fn is_silent(&self, answer: &Answer) -> bool {
        self.opcode.is_quiet() && self.is_write() == matches!(answer, Answer::Value(_))
    }
}

/// Encodes a response. One that is too long cannot occur, because values are bounded.
pub(super) fn encode_response(response: Response) -> Vec<u8> {
    let mut out = Vec::with_capacity(memcached::header::LEN + response.value.len() + response.key.len() + 4);
    if response.put(&mut out).is_err() {
        out = encode_error(response.opcode, response.opaque, Status::TOO_LARGE, "the answer is too large");
    }
    out
}

/// Encodes an error with its status and text.
pub(super) fn encode_error(opcode: Opcode, opaque: u32, status: Status, text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    // The texts are short constants, so encoding cannot fail.
    let _ = Response { status, value: text.as_bytes(), ..Response::new(opcode, opaque) }.put(&mut out);
    out
}
