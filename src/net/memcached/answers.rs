//! How outcomes are told. What the whole system does not have, a refusal, a failure and time that has run out
//! are four statuses, so that a gateway never has to guess whether its request may have run.
//!
//! | outcome | status | may it have run? |
//! | --- | --- | --- |
//! | nobody has the key | 0x01 key not found | yes, and that is the answer |
//! | refused | 0x85 busy | trying again is harmless, a write with the same token |
//! | failed | 0x84 internal error | a write may have |
//! | out of time | 0x86 temporary failure | a write may have, and may yet |
//!
//! A quiet read that finds nothing and a quiet write that succeeded say nothing; whatever else became of a
//! quiet command is said.

use crate::core::Answer;
use memcached::{Opcode, Response, Status};

/// A stream's command, as far as its answer needs it.
#[derive(Clone, Debug)]
pub(super) struct Asked {
    pub opcode: Opcode,
    pub opaque: u32,
    pub cas: u64,
    /// The key, where the answer bears it.
    pub key: Vec<u8>,
}

impl Asked {
    pub(super) fn write(&self) -> bool {
        self.opcode.non_quiet() == Opcode::SET
    }

    /// Its final answer; empty where the protocol wants it unsaid.
    pub(super) fn answer(&self, answer: Answer) -> Vec<u8> {
        let write = self.write();
        let (status, text) = match answer {
            Answer::Value(_) | Answer::Absent if self.silent(&answer) => return Vec::new(),
            Answer::Value(value) => {
                let ok = Response::new(self.opcode, self.opaque);
                // A write's answer has no body by the protocol, and the receipt has no place in it. A read's
                // has no CAS: as a write's token it would be the same for two writes.
                return match write {
                    true => put(Response { cas: self.cas, ..ok }),
                    false => put(Response { extras: &[0; 4], key: &self.key, value: &value, ..ok }),
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
            Answer::Failed | Answer::DuplicateId if write => {
                (Status::INTERNAL, "failed, it may have run".to_owned())
            }
            Answer::Failed | Answer::DuplicateId => (Status::INTERNAL, "failed".to_owned()),
        };
        error(self.opcode, self.opaque, status, &text)
    }

    /// Whether the protocol wants this outcome unsaid.
    fn silent(&self, answer: &Answer) -> bool {
        self.opcode.is_quiet() && self.write() == matches!(answer, Answer::Value(_))
    }
}

/// A response as bytes. One that is too long to be written down cannot come about: values are bounded.
pub(super) fn put(response: Response) -> Vec<u8> {
    let mut out = Vec::with_capacity(memcached::header::LEN + response.value.len() + response.key.len() + 4);
    if response.put(&mut out).is_err() {
        out = error(response.opcode, response.opaque, Status::TOO_LARGE, "the answer is too large");
    }
    out
}

/// What is wrong, in the status and in words.
pub(super) fn error(opcode: Opcode, opaque: u32, status: Status, text: &str) -> Vec<u8> {
    let mut out = Vec::new();
    // Texts are ours and short.
    let _ = Response { status, value: text.as_bytes(), ..Response::new(opcode, opaque) }.put(&mut out);
    out
}
