//! The input of one connection: bytes that have arrived and are not taken as commands, and the room for them.
//!
//! No I/O: the task of the connection reads. It reads no more than there is room for, and where there is none
//! for too long it reads past commands without holding them; each is then refused.

use super::READ;
use crate::admission::{ArrivalGuard, InputMemory, Priority, QueueTicket, Reservation, UNRESERVED_INPUT};
use crate::codec::resp::{CommandSkipper, MAX_COMMAND};
use crate::codec::Malformed;
use std::rc::Rc;
use std::time::Instant;

/// Bytes of commands that are read ahead of those that may be taken: behind them the client's close may be
/// waiting.
pub(super) const READ_AHEAD: usize = 512 * 1024;

/// What the bytes at the beginning of the input are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Front {
    /// A command that may be whole, or nothing.
    Unknown,
    /// An incomplete command that will have this many bytes at least.
    Partial(usize),
}

/// Reading past commands that are not held.
#[derive(Debug)]
enum Skipping {
    /// One command that has no room.
    Command(CommandSkipper),
    /// All that follows the commands that are held. Holds the number of commands read past.
    Everything(CommandSkipper, usize),
}

#[derive(Debug)]
pub(super) struct InputBuffer {
    bytes: Vec<u8>,
    front: Front,
    memory: Rc<InputMemory>,
    reservation: Reservation,
    /// While a command waits for room.
    ticket: Option<QueueTicket>,
    /// While a command that has room is arriving.
    arrival: Option<ArrivalGuard>,
    skipping: Option<Skipping>,
    /// Since when nothing is read for want of room, and no command is taken.
    blocked_since: Option<Instant>,
}

impl InputBuffer {
    /// Begins with bytes that have been received.
    pub fn new(bytes: Vec<u8>, memory: Rc<InputMemory>) -> Self {
        let mut reservation = memory.budget().empty();
        reservation.grow(bytes.len().saturating_sub(UNRESERVED_INPUT));
        InputBuffer {
            bytes,
            front: Front::Unknown,
            memory,
            reservation,
            ticket: None,
            arrival: None,
            skipping: None,
            blocked_since: None,
        }
    }

    pub fn bytes(&self) -> &[u8] {
        &self.bytes
    }

    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// The memory that is allocated.
    pub fn allocated(&self) -> usize {
        self.bytes.capacity()
    }

    /// Whether all that has arrived is taken and no part of a command was read past.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty() && !self.is_mid_skip() && self.skipped() == 0
    }

    /// Whether a part of a command was read past.
    pub fn is_mid_skip(&self) -> bool {
        match &self.skipping {
            Some(Skipping::Command(skipper) | Skipping::Everything(skipper, _)) => skipper.is_mid_command(),
            None => false,
        }
    }

    /// Whether commands are read past.
    pub fn is_skipping(&self) -> bool {
        self.skipping.is_some()
    }

    /// At least how many bytes the command that is arriving lacks.
    pub fn missing(&self) -> usize {
        match (&self.skipping, self.front) {
            (Some(Skipping::Command(skipper) | Skipping::Everything(skipper, _)), _) => skipper.least_left(),
            (None, Front::Partial(least)) => least.saturating_sub(self.bytes.len()),
            (None, Front::Unknown) => 0,
        }
    }

    /// The commands read past behind those that are held, which are to be refused after them.
    pub fn skipped(&self) -> usize {
        match self.skipping {
            Some(Skipping::Everything(_, commands)) => commands,
            _ => 0,
        }
    }

    /// One of the commands read past was refused.
    pub fn refused_one(&mut self) {
        if let Some(Skipping::Everything(skipper, commands)) = &mut self.skipping {
            *commands -= 1;
            if *commands == 0 && !skipper.is_mid_command() && self.bytes.is_empty() {
                self.skipping = None;
            }
        }
    }

    /// Whether the input begins with a command that waits for room.
    pub fn waits_for_command(&self) -> bool {
        self.ticket.is_some() && matches!(self.front, Front::Partial(_))
    }

    /// Since when nothing is read for want of room.
    pub fn blocked_since(&self) -> Option<Instant> {
        self.blocked_since
    }

    pub fn ticket(&self) -> Option<&QueueTicket> {
        self.ticket.as_ref()
    }

    /// Does not wait for room any more, because nothing is read for another reason.
    pub fn leave_queue(&mut self) {
        (self.ticket, self.blocked_since) = (None, None);
    }

    pub fn arrival(&self) -> Option<&ArrivalGuard> {
        self.arrival.as_ref()
    }

    /// How many bytes may be read now, having reserved room for them; 0 if there is none.
    pub fn reserve(&mut self, now: Instant, priority: Priority) -> usize {
        match &self.skipping {
            // What follows the command is kept, if there is any.
            Some(Skipping::Command(skipper)) => {
                return if skipper.least_left() >= READ { READ } else { UNRESERVED_INPUT }
            }
            Some(Skipping::Everything(..)) => return READ,
            None => {}
        }
        let granted = match self.front {
            Front::Partial(least) => self.reserve_command(least, now, priority),
            Front::Unknown => self.reserve_ahead(),
        };
        self.blocked_since = if granted { None } else { self.blocked_since.or(Some(now)) };
        self.limit().saturating_sub(self.bytes.len()).min(READ)
    }

    /// The bytes that may be held.
    fn limit(&self) -> usize {
        UNRESERVED_INPUT + self.reservation.bytes()
    }

    /// Reserves room for the whole of the first command, and returns whether anything may be read.
    fn reserve_command(&mut self, least: usize, now: Instant, priority: Priority) -> bool {
        let missing = least.saturating_sub(self.limit());
        if missing > 0 && !self.reservation.grow(missing) {
            let budget = self.memory.budget();
            self.ticket.get_or_insert_with(|| budget.join_queue(priority));
            return self.bytes.len() < self.limit();
        }
        self.ticket = None;
        if least > UNRESERVED_INPUT {
            self.arrival.get_or_insert_with(|| self.memory.arrives(now));
            self.bytes.reserve_exact(least.saturating_sub(self.bytes.len()));
        }
        true
    }

    /// Reserves room for another read behind commands that cannot be taken yet, as far as others do not need
    /// it, and returns whether anything may be read.
    fn reserve_ahead(&mut self) -> bool {
        let budget = self.memory.budget();
        let full = self.bytes.len() >= self.limit();
        if full && self.bytes.len() < READ_AHEAD && budget.is_half_free() && !budget.has_waiting() {
            return self.reservation.grow(READ);
        }
        !full
    }

    /// Adds bytes that have been read. Returns the number of commands that are to be refused at once.
    ///
    /// # Errors
    ///
    /// The bytes that were read past are not those of commands.
    pub fn received(&mut self, bytes: &[u8]) -> Result<usize, Malformed> {
        match &mut self.skipping {
            None => self.append(bytes),
            Some(Skipping::Everything(skipper, commands)) => *commands += skipper.skip(bytes)?,
            Some(Skipping::Command(skipper)) => {
                let taken = skipper.skip_one(bytes)?;
                if !skipper.is_mid_command() {
                    self.skipping = None;
                    self.append(&bytes[taken..]);
                    return Ok(1);
                }
            }
        }
        Ok(0)
    }

    fn append(&mut self, bytes: &[u8]) {
        // Growth by doubling would hold up to twice what is reserved.
        self.bytes.reserve_exact(bytes.len());
        self.bytes.extend_from_slice(bytes);
        if let Front::Partial(least) = self.front {
            if self.bytes.len() >= least {
                (self.front, self.arrival) = (Front::Unknown, None);
            }
        }
    }

    /// Whether the front may be a whole command.
    pub fn may_be_whole(&self) -> bool {
        !self.bytes.is_empty() && self.front == Front::Unknown
    }

    /// The first command is incomplete and will have this many bytes at least.
    pub fn set_partial(&mut self, least: usize) {
        debug_assert!(least > self.bytes.len() && least <= MAX_COMMAND, "{least} of {}", self.bytes.len());
        self.front = Front::Partial(least);
    }

    /// Whether the first command is known to be incomplete.
    pub fn is_partial(&self) -> bool {
        matches!(self.front, Front::Partial(_))
    }

    /// Splits off the room of a command of this many bytes, which is about to be taken.
    pub fn split_room(&mut self, command: usize) -> Option<Reservation> {
        self.arrival = None;
        if command <= UNRESERVED_INPUT {
            return None;
        }
        let mut room = self.reservation.split(command);
        // The part that was in the unreserved bytes, as far as there is room.
        room.grow(command - room.bytes());
        Some(room)
    }

    /// The first `n` bytes have been taken.
    pub fn consume(&mut self, n: usize) {
        self.bytes.drain(..n);
        if n > 0 {
            (self.front, self.ticket, self.blocked_since) = (Front::Unknown, None, None);
        }
        if self.bytes.is_empty() && self.skipped() == 0 && !self.is_mid_skip() {
            self.skipping = None;
        }
        self.shrink();
    }

    /// Drops all input, because nothing more is taken or it is refused.
    pub fn clear(&mut self) {
        (self.front, self.ticket, self.arrival, self.skipping) = (Front::Unknown, None, None, None);
        self.blocked_since = None;
        self.bytes = Vec::new();
        self.shrink();
    }

    /// Releases memory and room that are no longer needed.
    fn shrink(&mut self) {
        let large = self.bytes.capacity() > UNRESERVED_INPUT || self.is_skipping();
        if large && self.bytes.capacity() > 2 * self.bytes.len() {
            self.bytes.shrink_to_fit();
        }
        let needed = match self.front {
            Front::Partial(least) => least.max(self.bytes.len()),
            Front::Unknown => self.bytes.len(),
        };
        self.reservation.shrink_to(needed.saturating_sub(UNRESERVED_INPUT));
    }

    /// Begins to read past what has no room: the first command if it is incomplete, else everything behind the
    /// first `whole` bytes, which are commands that wait to be taken.
    ///
    /// # Errors
    ///
    /// The bytes behind those are not the beginning of a command.
    pub fn skip(&mut self, whole: usize) -> Result<(), Malformed> {
        let mut skipper = CommandSkipper::default();
        skipper.skip(&self.bytes[whole..])?;
        self.bytes.truncate(whole);
        self.skipping = Some(match whole {
            0 => Skipping::Command(skipper),
            _ => Skipping::Everything(skipper, 0),
        });
        (self.front, self.ticket, self.arrival) = (Front::Unknown, None, None);
        self.blocked_since = None;
        self.shrink();
        Ok(())
    }
}

#[cfg(test)]
mod tests;
