//! Frames between control machines, followers and clients that submit changes ([`dissemination::frame`]).

use super::{Allowance, Framed};
use dissemination::frame::{self, CloseReason, Reader};
use dissemination::{bounds, Message};
use std::time::Instant;

/// A store passes on each change by itself, which makes some hundreds of messages a second between two of
/// them. Control machines hold followers and clients to much less themselves.
const CHANGE_MESSAGES_PER_SECOND: f64 = 1000.0;

impl Framed for Message {
    type Reader = Reader;
    type Refused = CloseReason;
    /// The largest frame fits four times.
    const MAX_WAITING_BYTES: usize = 4 * bounds::MAX_FRAME_BYTES;

    fn read(reader: &mut Reader, bytes: &mut &[u8]) -> Result<Option<Self>, CloseReason> {
        reader.read(bytes)
    }

    fn refusal(why: &CloseReason) -> Vec<u8> {
        frame::refusal(why)
    }

    fn is_by_peer(why: &CloseReason) -> bool {
        matches!(why, CloseReason::ByPeer(_))
    }

    fn flood() -> CloseReason {
        CloseReason::TooManyMessages
    }

    fn unexpected(what: &'static str) -> CloseReason {
        CloseReason::Unexpected(what)
    }

    fn admits(allowance: &mut Allowance, now: Instant) -> bool {
        allowance.take_fraction(now, plan::bounds::MESSAGES_PER_SECOND / CHANGE_MESSAGES_PER_SECOND)
    }
}
