//! The frames between control machines, followers and whoever submits changes ([`dissemination::frame`]).

use super::{Allowance, Framed};
use dissemination::frame::{self, Reader, Refused};
use dissemination::{bounds, Message};
use std::time::Instant;

/// A store passes on each change by itself: some hundreds of messages a second go between two of them. Machines hold
/// followers and clients to much less themselves.
const MESSAGES_A_SECOND: f64 = 1000.0;

impl Framed for Message {
    type Reader = Reader;
    type Refused = Refused;
    /// The largest frame fits four times.
    const WAITING: usize = 4 * bounds::FRAME;

    fn read(reader: &mut Reader, bytes: &mut &[u8]) -> Result<Option<Self>, Refused> {
        reader.read(bytes)
    }

    fn refusal(why: &Refused) -> Vec<u8> {
        frame::refusal(why)
    }

    fn is_by_peer(why: &Refused) -> bool {
        matches!(why, Refused::ByPeer(_))
    }

    fn flood() -> Refused {
        Refused::Flood
    }

    fn unexpected(what: &'static str) -> Refused {
        Refused::Unexpected(what)
    }

    fn admits(allowance: &mut Allowance, now: Instant) -> bool {
        allowance.take_part(now, plan::bounds::MESSAGES_PER_SECOND / MESSAGES_A_SECOND)
    }
}
