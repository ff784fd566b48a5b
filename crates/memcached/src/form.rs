//! What each command must and must not carry ("MUST have", "MAY have" and "MUST NOT have" of the protocol's
//! description), and what an answer to it looks like.

use crate::{Opcode, Request, Response, Status};

/// Whether a part may be there.
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
    /// The lengths that extras may have.
    extras: &'static [usize],
    key: Part,
    value: Part,
    /// A data version may be given.
    cas: bool,
}

/// `None` for what has no form that servers agree on: range, vbucket and TAP commands, and unknown ones.
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
    /// Whether it carries what its command wants and nothing else; an error says what is wrong with it.
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
    /// Whether it can be the answer to a request with this command, opaque and key. If not, the connection is
    /// out of step, and nothing that comes on it can be trusted.
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
            // A STAT answers with a name in each, a miss of GETK and some errors with the key.
            _ if request.opcode == Opcode::STAT => Ok(()),
            _ if found && self.extras.len() != extras => Err("extras of the wrong length"),
            _ if found && self.key != key => Err("a key that was not asked for"),
            _ => Ok(()),
        }
    }
}
