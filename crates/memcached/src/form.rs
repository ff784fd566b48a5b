//! Validation of requests ("MUST have", "MAY have" and "MUST NOT have" of the protocol's description) and of
//! the responses to them.

use crate::{Opcode, Request, Response, Status};

/// Whether a part of a request is required, optional or forbidden.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Part {
    Must,
    May,
    Not,
}

impl Part {
    fn admits(self, part: &[u8]) -> bool {
        match self {
            Part::Must => !part.is_empty(),
            Part::May => true,
            Part::Not => part.is_empty(),
        }
    }
}

struct Form {
    /// Permitted lengths of the extras.
    extras: &'static [usize],
    key: Part,
    value: Part,
    /// Whether a nonzero CAS is permitted.
    cas: bool,
}

/// Rules for a command; `None` for commands whose parts servers do not agree on (range, vbucket and TAP
/// commands) and for unknown ones.
fn form(opcode: Opcode) -> Option<Form> {
    use Part::{May, Must, Not};
    let (extras, key, value, cas): (&'static [usize], Part, Part, bool) = match opcode.non_quiet() {
        Opcode::GET | Opcode::GETK => (&[0], Must, Not, false),
        Opcode::SET | Opcode::ADD | Opcode::REPLACE => (&[8], Must, May, true),
        Opcode::DELETE => (&[0], Must, Not, true),
        Opcode::INCREMENT | Opcode::DECREMENT => (&[20], Must, Not, true),
        Opcode::APPEND | Opcode::PREPEND => (&[0], Must, May, true),
        Opcode::TOUCH | Opcode::GAT | Opcode::GATK => (&[4], Must, Not, false),
        Opcode::QUIT | Opcode::NOOP | Opcode::VERSION | Opcode::SASL_LIST => (&[0], Not, Not, false),
        Opcode::FLUSH => (&[0, 4], Not, Not, false),
        Opcode::VERBOSITY => (&[4], Not, Not, false),
        Opcode::STAT => (&[0], May, Not, false),
        Opcode::SASL_AUTH | Opcode::SASL_STEP => (&[0], Must, May, false),
        _ => return None,
    };
    Some(Form { extras, key, value, cas })
}

impl Request<'_> {
    /// Checks that the request carries the parts its command requires and no others. The error describes the
    /// first violation found.
    pub fn check(&self) -> Result<(), &'static str> {
        let Some(form) = form(self.opcode) else { return Ok(()) };
        match () {
            _ if !form.extras.contains(&self.extras.len()) => Err("extras of the wrong length"),
            _ if !form.key.admits(self.key) => Err("a key that is missing or not wanted"),
            _ if !form.value.admits(self.value) => Err("a value that is not wanted"),
            _ if self.cas != 0 && !form.cas => Err("a CAS that is not wanted"),
            _ => Ok(()),
        }
    }
}

impl Response<'_> {
    /// Checks that this can be the response to a request with this opcode, opaque and key. If not, requests
    /// and responses on the connection are no longer aligned, and nothing received on it can be trusted.
    pub fn answers(&self, request: &Request) -> Result<(), &'static str> {
        let found = self.status == Status::OK;
        let extras = match request.opcode.non_quiet() {
            Opcode::GET | Opcode::GETK | Opcode::GAT | Opcode::GATK if found => 4,
            _ => 0,
        };
        let key: &[u8] = if found && request.opcode.returns_key() { request.key } else { &[] };
        match () {
            _ if self.opcode != request.opcode => Err("an answer to another command"),
            _ if self.opaque != request.opaque => Err("an answer to another request"),
            // Each response to STAT carries the name of a statistic, and a miss of GETK and some errors carry
            // the key.
            _ if request.opcode == Opcode::STAT => Ok(()),
            _ if found && self.extras.len() != extras => Err("extras of the wrong length"),
            _ if found && self.key != key => Err("a key that was not asked for"),
            _ => Ok(()),
        }
    }
}
