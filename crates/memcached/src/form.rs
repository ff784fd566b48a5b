//! Validation of requests ("MUST have", "MAY have" and "MUST NOT have" of the protocol's description) and of
//! the responses to them.

use crate::{Opcode, Request, Response, Status};

/// Whether a part of a request is required, optional or forbidden.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Presence {
    Required,
    Optional,
    Forbidden,
}

impl Presence {
    fn permits(self, part: &[u8]) -> bool {
        match self {
            Presence::Required => !part.is_empty(),
            Presence::Optional => true,
            Presence::Forbidden => part.is_empty(),
        }
    }
}

struct Rules {
    /// Permitted lengths of the extras.
    extras: &'static [usize],
    key: Presence,
    value: Presence,
    /// Whether a nonzero CAS is permitted.
    cas: bool,
}

/// Rules for a command; `None` for commands whose parts servers do not agree on (range, vbucket and TAP
/// commands) and for unknown ones.
fn rules(opcode: Opcode) -> Option<Rules> {
    use Presence::{Forbidden, Optional, Required};
    let (extras, key, value, cas): (&'static [usize], Presence, Presence, bool) = match opcode.non_quiet() {
        Opcode::GET | Opcode::GETK => (&[0], Required, Forbidden, false),
        Opcode::SET | Opcode::ADD | Opcode::REPLACE => (&[8], Required, Optional, true),
        Opcode::DELETE => (&[0], Required, Forbidden, true),
        Opcode::INCREMENT | Opcode::DECREMENT => (&[20], Required, Forbidden, true),
        Opcode::APPEND | Opcode::PREPEND => (&[0], Required, Optional, true),
        Opcode::TOUCH | Opcode::GAT | Opcode::GATK => (&[4], Required, Forbidden, false),
        Opcode::QUIT | Opcode::NOOP | Opcode::VERSION | Opcode::SASL_LIST => {
            (&[0], Forbidden, Forbidden, false)
        }
        Opcode::FLUSH => (&[0, 4], Forbidden, Forbidden, false),
        Opcode::VERBOSITY => (&[4], Forbidden, Forbidden, false),
        Opcode::STAT => (&[0], Optional, Forbidden, false),
        Opcode::SASL_AUTH | Opcode::SASL_STEP => (&[0], Required, Optional, false),
        _ => return None,
    };
    Some(Rules { extras, key, value, cas })
}

impl Request<'_> {
    /// Checks that the request carries the parts its command requires and no others. The error describes the
    /// first violation found.
    pub fn check(&self) -> Result<(), &'static str> {
        let Some(rules) = rules(self.opcode) else { return Ok(()) };
        match () {
            _ if !rules.extras.contains(&self.extras.len()) => Err("extras of the wrong length"),
            _ if !rules.key.permits(self.key) => Err("a key that is missing or not wanted"),
            _ if !rules.value.permits(self.value) => Err("a value that is not wanted"),
            _ if self.cas != 0 && !rules.cas => Err("a CAS that is not wanted"),
            _ => Ok(()),
        }
    }
}

impl Response<'_> {
    /// Checks that this can be the response to a request with this opcode, opaque and key. If not, requests
    /// and responses on the connection are no longer aligned, and nothing received on it can be trusted.
    pub fn answers(&self, request: &Request) -> Result<(), &'static str> {
        let success = self.status == Status::OK;
        let extras = match request.opcode.non_quiet() {
            Opcode::GET | Opcode::GETK | Opcode::GAT | Opcode::GATK if success => 4,
            _ => 0,
        };
        let key: &[u8] = if success && request.opcode.returns_key() { request.key } else { &[] };
        match () {
            _ if self.opcode != request.opcode => Err("an answer to another command"),
            _ if self.opaque != request.opaque => Err("an answer to another request"),
            // Each response to STAT carries the name of a statistic, and a miss of GETK and some errors carry
            // the key.
            _ if request.opcode == Opcode::STAT => Ok(()),
            _ if success && self.extras.len() != extras => Err("extras of the wrong length"),
            _ if success && self.key != key => Err("a key that was not asked for"),
            _ => Ok(()),
        }
    }
}
