//! The answers owed on one connection, in the order of its commands, and the output they become. No I/O: the
//! task of the connection writes the output.
//!
//! The answer to a quick read behind a slow write is held until the write is answered. Room for such an
//! answer is reserved before its command is taken, in a budget that all connections share. A command without
//! room stays unparsed in the input of its connection. It is taken at the latest once everything ahead of it
//! is written: it then needs no room, since its answer waits behind none.

use super::protocol::Protocol;
use crate::admission::{HeldBytes, HeldKind, Priority, QueueTicket, Reservation, ReservationBudget};
use crate::codec::resp::MAX_VALUE;
use std::collections::VecDeque;
use std::rc::Rc;

/// Answers are appended to the last chunk of output up to this size in bytes, so that small ones are written
/// together. A larger answer is a chunk of its own and is not copied.
const CHUNK: usize = 16 * 1024;
/// The size of the largest encoded answer in bytes: a value and what a protocol adds to it.
pub const MAX_ANSWER: usize = MAX_VALUE + 1024;

enum Answer {
    /// Not known yet; the command has this many bytes.
    Pending(usize),
    Ready(Vec<u8>),
}

/// The place of one answer.
struct Slot {
    answer: Answer,
    /// The room for an answer that may have to wait. The next answer to be written needs none.
    reservation: Option<Reservation>,
}

/// The answers owed on one connection and its unwritten output.
pub(super) struct AnswerQueue {
    /// Answers in order; the first has the place `first`.
    slots: VecDeque<Slot>,
    first: u64,
    /// How many of the answers belong to one command; 0 if each stands alone.
    batch: usize,
    output: VecDeque<Vec<u8>>,
    /// Bytes of the output, and bytes of its first chunk that are written.
    output_bytes: usize,
    written: usize,
    /// The room for answers that are in the output.
    output_reservation: Option<Reservation>,
    budget: Rc<ReservationBudget>,
    /// Set while a command waits for room.
    ticket: Option<QueueTicket>,
}

impl AnswerQueue {
    pub fn new(budget: Rc<ReservationBudget>) -> Self {
        AnswerQueue {
            slots: VecDeque::new(),
            first: 0,
            batch: 0,
            output: VecDeque::new(),
            output_bytes: 0,
            written: 0,
            output_reservation: None,
            budget,
            ticket: None,
        }
    }

    /// The number of answers owed.
    pub fn len(&self) -> usize {
        self.slots.len()
    }

    /// The place of the next answer.
    pub fn next_place(&self) -> u64 {
        self.first + self.slots.len() as u64
    }

    /// The bytes of output that are not written.
    pub fn unwritten(&self) -> usize {
        self.output_bytes - self.written
    }

    /// Whether no answer is owed and all output is written.
    pub fn is_idle(&self) -> bool {
        self.slots.is_empty() && self.output.is_empty()
    }

    /// Whether there is room for the answer to one more command. Nothing waits in front of the answer of an
    /// idle connection, so that it needs none. If this returns false, the connection has joined the queue for
    /// room until it returns true.
    pub fn has_room(&mut self) -> bool {
        if self.is_idle() || self.budget.has_room() {
            self.ticket = None;
            return true;
        }
        let budget = &self.budget;
        self.ticket.get_or_insert_with(|| budget.join_queue(Priority::Usual));
        false
    }

    /// The place in the queue for room, while a command waits for it.
    pub fn ticket(&self) -> Option<&QueueTicket> {
        self.ticket.as_ref()
    }

    /// No command waits for room any more.
    pub fn leave_queue(&mut self) {
        self.ticket = None;
    }

    /// Adds the answer to a command of this many bytes, which is not known yet.
    pub fn push_pending(&mut self, command: usize) {
        let reservation = if self.is_idle() { None } else { self.budget.reserve_item() };
        self.slots.push_back(Slot { answer: Answer::Pending(command), reservation });
    }

    /// Adds answers that belong to one command, which occupies the connection alone.
    pub fn push_batch(&mut self, command: usize, answers: usize) {
        self.batch = answers;
        let slot = || Slot { answer: Answer::Pending(command), reservation: None };
        self.slots.extend(std::iter::repeat_with(slot).take(answers));
    }

    /// Adds an answer that is known at once.
    pub fn push_ready(&mut self, answer: Vec<u8>) {
        let reservation = self.budget.reserve(answer.len());
        self.slots.push_back(Slot { answer: Answer::Ready(answer), reservation });
    }

    /// Fills in an answer that was pending.
    pub fn complete(&mut self, place: u64, answer: Vec<u8>) {
        let Some(slot) = self.slots.get_mut(place.wrapping_sub(self.first) as usize) else { return };
        if let Some(reservation) = &mut slot.reservation {
            reservation.shrink_to(answer.len());
        }
        slot.answer = Answer::Ready(answer);
    }

    /// Moves finished answers to the output in their order; those of one command go together.
    pub fn flush(&mut self, protocol: &mut dyn Protocol) {
        let ready = self.slots.iter().take_while(|slot| matches!(slot.answer, Answer::Ready(_))).count();
        if ready < self.batch {
            return;
        }
        self.first += ready as u64;
        protocol.answers_taken(ready);
        let mut batch = Vec::new();
        for _ in 0..ready {
            let Some(Slot { answer: Answer::Ready(answer), reservation }) = self.slots.pop_front() else {
                continue;
            };
            if let Some(reservation) = reservation {
                self.keep_reserved(reservation);
            }
            match self.batch {
                0 => self.append(answer),
                _ => batch.push(answer),
            }
        }
        if std::mem::take(&mut self.batch) > 0 {
            let mut combined = Vec::new();
            protocol.combine(&mut combined, batch);
            self.append(combined);
        }
    }

    /// Whether all output of a command whose answers belong together, or of all commands, is written.
    pub fn is_flushed(&self) -> bool {
        self.output.is_empty() && self.batch == 0
    }

    /// The next bytes to write; empty if there are none.
    pub fn unwritten_chunk(&self) -> &[u8] {
        self.output.front().map_or(&[], |chunk| &chunk[self.written..])
    }

    /// The next `bytes` of the output are written.
    pub fn wrote(&mut self, bytes: usize) {
        self.written += bytes;
        if self.output.front().is_some_and(|chunk| self.written >= chunk.len()) {
            self.output_bytes -= self.written;
            self.written = 0;
            self.output.pop_front();
        }
        let unwritten = self.unwritten();
        if let Some(reservation) = &mut self.output_reservation {
            reservation.shrink_to(unwritten);
        }
    }

    /// What is held for the answers.
    pub fn held(&self) -> HeldBytes {
        let (mut commands, mut waiting) = (0, 0);
        for slot in &self.slots {
            match &slot.answer {
                Answer::Pending(command) => commands += command,
                Answer::Ready(answer) => waiting += answer.len(),
            }
        }
        HeldBytes::default()
            .with(HeldKind::Commands, commands)
            .with(HeldKind::WaitingAnswers, waiting)
            .with(HeldKind::UnreadOutput, self.unwritten())
    }

    /// Keeps the room for an answer that moves to the output.
    fn keep_reserved(&mut self, reservation: Reservation) {
        match &mut self.output_reservation {
            Some(reserved) => reserved.absorb(reservation),
            None => self.output_reservation = Some(reservation),
        }
    }

    fn append(&mut self, answer: Vec<u8>) {
        if answer.is_empty() {
            return;
        }
        self.output_bytes += answer.len();
        match self.output.back_mut().filter(|last| last.len() + answer.len() <= CHUNK) {
            Some(last) => last.extend(answer),
            None => self.output.push_back(answer),
        }
    }
}
