//! One direction of a link between two processes: what befalls it ([`Condition`]) and the model that draws what
//! becomes of each message ([`Line`]).
//!
//! It owns the rules of loss, delay, order and rate, for datagrams and for the bytes of a TCP connection, and a
//! generator from a seed. It holds no bytes and knows no sockets: hosts hold what is on its way, and carry out what
//! is told. Not for delays between halls as scenarios have them, which are in [`crate::network`].

use crate::random::{chance, stream, within, Random};
use crate::scenario::Spread;
use crate::Micros;
use rand::RngExt;
use serde::{Deserialize, Serialize};

/// What a segment that is lost costs a connection at first; twice as much each time that it is lost again (the least
/// retransmission time-out of Linux, `TCP_RTO_MIN`; RFC 6298 asks for a second).
pub const RETRANSMISSION_US: Micros = 200_000;
/// Times in a row that a segment is lost at most: 200 ms * (2^6 - 1) is 12.6 s.
const RETRANSMISSIONS: u32 = 6;
/// Bytes of a segment, as over an Ethernet of 1500 bytes.
pub const SEGMENT_BYTES: usize = 1448;
/// How long a datagram that others are to overtake is held back beyond its time.
pub const REORDER_DELAY_US: Micros = 20_000;
/// A datagram that would wait longer than this for a limited line is lost: the queue before it is full.
pub const MAX_QUEUE_DELAY_US: Micros = 1_000_000;
/// How long a chunk of a connection takes over a limited line at most, so that bytes trickle.
const TRICKLE_PER_S: u64 = 50;
/// Coefficient of variation of the heavy tail.
const TAIL_CV: f64 = 2.0;
/// No delay is set beyond an hour.
const MAX_DELAY_MS: f64 = 3_600_000.0;

/// What a message of one direction is delayed by. Milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Delay {
    /// Each message.
    pub fixed_ms: f64,
    /// Beyond that, evenly between 0 and this.
    pub jitter_ms: f64,
    /// One message in so many, drawn, is delayed by the tail too; 0 for none.
    pub tail_one_in: u32,
    /// The mean of the tail, which is a Pareto one and ends at 40 times its mean.
    pub tail_ms: f64,
}

impl Delay {
    pub fn fixed(ms: f64) -> Self {
        Delay { fixed_ms: ms, ..Delay::default() }
    }

    fn draw(&self, rng: &mut Random) -> Micros {
        let mut ms = self.fixed_ms;
        if self.jitter_ms > 0.0 {
            ms += within([0.0, self.jitter_ms], rng);
        }
        if self.tail_one_in > 0 && chance(1.0 / f64::from(self.tail_one_in), rng) {
            ms += self.tail_ms * Spread::Pareto.draw(TAIL_CV, rng);
        }
        crate::random::ms(ms)
    }
}

/// What befalls one direction of a link. The default is a whole link.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Condition {
    /// Nothing passes. Datagrams are lost; bytes of a connection are held back and come once it is over, in order.
    /// No connection comes up across it, in whichever direction it lies.
    pub cut: bool,
    /// The part of messages that is lost. A connection loses none of its bytes: a lost segment comes later by
    /// [`RETRANSMISSION_US`], doubled each time that it is lost again. 1 is a cut.
    pub lose: f64,
    pub delay: Delay,
    /// The part of datagrams that comes twice.
    pub duplicate: f64,
    /// The part of datagrams that later ones overtake; never two in a row.
    pub reorder: f64,
    /// What the line carries: all connections and datagrams of the direction together.
    pub bytes_per_s: Option<u64>,
    /// Connections stay up and nothing moves on them. Datagrams are lost.
    pub stall: bool,
    /// New connections from the sender of this direction to its receiver are refused; those that are up stay up.
    pub refuse: bool,
    /// The part of datagrams, and of chunks of a connection as a host reads them, in which one byte is changed.
    pub garble: f64,
}

/// A condition that makes no sense.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidCondition {
    #[error("{0} is a part: from 0 to 1")]
    Part(&'static str),
    #[error("{0} is in milliseconds: from 0 to 3600000")]
    Span(&'static str),
    #[error("bytes_per_s must be at least 1")]
    Rate,
}

impl Condition {
    /// Nothing passes.
    pub fn cut() -> Self {
        Condition { cut: true, ..Condition::default() }
    }

    /// Connections stay up and nothing moves.
    pub fn stall() -> Self {
        Condition { stall: true, ..Condition::default() }
    }

    pub fn delayed(ms: f64) -> Self {
        Condition { delay: Delay::fixed(ms), ..Condition::default() }
    }

    pub fn is_unimpaired(&self) -> bool {
        *self == Condition::default()
    }

    /// Whether nothing at all passes, for as long as this lasts.
    pub fn blocks_all(&self) -> bool {
        self.cut || self.stall || self.lose >= 1.0
    }

    /// # Errors
    ///
    /// The first field that is out of its range.
    pub fn check(&self) -> Result<(), InvalidCondition> {
        let parts = [
            ("lose", self.lose),
            ("duplicate", self.duplicate),
            ("reorder", self.reorder),
            ("garble", self.garble),
        ];
        if let Some((name, _)) = parts.iter().find(|(_, x)| !(0.0..=1.0).contains(x)) {
            return Err(InvalidCondition::Part(name));
        }
        let spans = [
            ("fixed_ms", self.delay.fixed_ms),
            ("jitter_ms", self.delay.jitter_ms),
            ("tail_ms", self.delay.tail_ms),
        ];
        if let Some((name, _)) = spans.iter().find(|(_, x)| !(0.0..=MAX_DELAY_MS).contains(x)) {
            return Err(InvalidCondition::Span(name));
        }
        if self.bytes_per_s == Some(0) {
            return Err(InvalidCondition::Rate);
        }
        Ok(())
    }

    /// Both at once, as where two faults overlap: parts as if drawn apart, delays one after the other (the rarer of
    /// two tails goes), the lower rate.
    pub fn with(&self, other: &Condition) -> Condition {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        let (a, b) = (&self.delay, &other.delay);
        let rare = |d: &Delay| if d.tail_one_in == 0 { u32::MAX } else { d.tail_one_in };
        let tail = if rare(a) <= rare(b) { a } else { b };
        Condition {
            cut: self.cut || other.cut,
            lose: either(self.lose, other.lose),
            delay: Delay {
                fixed_ms: a.fixed_ms + b.fixed_ms,
                jitter_ms: a.jitter_ms + b.jitter_ms,
                tail_one_in: tail.tail_one_in,
                tail_ms: tail.tail_ms,
            },
            duplicate: either(self.duplicate, other.duplicate),
            reorder: either(self.reorder, other.reorder),
            bytes_per_s: match (self.bytes_per_s, other.bytes_per_s) {
                (Some(a), Some(b)) => Some(a.min(b)),
                (a, b) => a.or(b),
            },
            stall: self.stall || other.stall,
            refuse: self.refuse || other.refuse,
            garble: either(self.garble, other.garble),
        }
    }

    /// Bytes of a connection that a host should hand to [`Line::chunk`] at once, at most: so that a limited line
    /// trickles.
    pub fn max_chunk_len(&self, most: usize) -> usize {
        match self.bytes_per_s {
            Some(rate) => usize::try_from(rate / TRICKLE_PER_S).unwrap_or(most).clamp(1, most.max(1)),
            None => most,
        }
    }
}

/// A datagram that arrives.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// When; not before the moment that was told.
    pub at_us: Micros,
    /// Which of its bytes is changed, by [`garble`].
    pub garbled: Option<usize>,
}

/// What becomes of a datagram: it arrives never, once or twice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Deliveries {
    pub first: Option<Delivery>,
    pub again: Option<Delivery>,
}

impl Deliveries {
    pub fn iter(&self) -> impl Iterator<Item = Delivery> {
        self.first.into_iter().chain(self.again)
    }

    pub fn is_lost(&self) -> bool {
        self.first.is_none()
    }
}

/// What becomes of a chunk of a connection's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkFate {
    /// It waits for as long as the condition lasts. Ask again under the next one.
    Held,
    Due(Delivery),
}

/// Changes a byte of a message, as [`Delivery::garbled`] says. Done twice, it is undone.
pub fn garble(bytes: &mut [u8], at: usize) {
    if let Some(byte) = bytes.get_mut(at) {
        *byte ^= 0x55;
    }
}

/// One direction of a link. Times are the host's and do not go back.
#[derive(Clone, Debug)]
pub struct Line {
    rng: Random,
    /// When a limited line has carried all that came before.
    free_us: Micros,
    /// Whether the datagram before this one was held back.
    held_back: bool,
}

impl Line {
    /// The line from one to another; each has a generator of its own.
    pub fn new(seed: u64, from: &str, to: &str) -> Self {
        Line { rng: stream(seed, &format!("line {from} {to}"), 0), free_us: Micros::MIN, held_back: false }
    }

    /// Another condition begins: what waits for the limit of the one before is forgotten. Hosts then ask again for
    /// each chunk that has not arrived.
    pub fn changed(&mut self) {
        self.free_us = Micros::MIN;
        self.held_back = false;
    }

    pub fn datagram(&mut self, now_us: Micros, len: usize, condition: &Condition) -> Deliveries {
        if condition.blocks_all() || chance(condition.lose, &mut self.rng) {
            return Deliveries::default();
        }
        let free = self.free_us.max(now_us);
        if condition.bytes_per_s.is_some() && free - now_us > MAX_QUEUE_DELAY_US {
            return Deliveries::default();
        }
        let sent = self.carry(now_us, len, condition);
        self.held_back = !self.held_back && chance(condition.reorder, &mut self.rng);
        let back = if self.held_back { REORDER_DELAY_US } else { 0 };
        let first = self.deliver(sent + back, len, condition);
        let again = chance(condition.duplicate, &mut self.rng).then(|| self.deliver(sent, len, condition));
        Deliveries { first: Some(first), again }
    }

    /// `behind_us` is when the chunk before it on the same connection is due: this one does not overtake it. A length
    /// of 0 is a handshake or an end, which take their way as data does.
    pub fn chunk(
        &mut self,
        now_us: Micros,
        len: usize,
        condition: &Condition,
        behind_us: Micros,
    ) -> ChunkFate {
        if condition.blocks_all() {
            return ChunkFate::Held;
        }
        let sent = self.carry(now_us, len, condition);
        let mut delivery = self.deliver(sent, len, condition);
        let segments = len.div_ceil(SEGMENT_BYTES).max(1);
        // Segments go side by side, and what comes behind a lost one waits for it: the worst of them counts.
        let worst = (0..segments).map(|_| self.lost_in_a_row(condition.lose)).max().unwrap_or(0);
        delivery.at_us = (delivery.at_us + RETRANSMISSION_US * ((1 << worst) - 1)).max(behind_us);
        ChunkFate::Due(delivery)
    }

    fn lost_in_a_row(&mut self, lose: f64) -> u32 {
        (0..RETRANSMISSIONS).take_while(|_| chance(lose, &mut self.rng)).count() as u32
    }

    /// When the line has sent the last of so many bytes.
    fn carry(&mut self, now_us: Micros, len: usize, condition: &Condition) -> Micros {
        let Some(rate) = condition.bytes_per_s else { return now_us };
        let takes = (len as f64 * 1e6 / rate.max(1) as f64).round() as Micros;
        self.free_us = self.free_us.max(now_us) + takes;
        self.free_us
    }

    fn deliver(&mut self, sent_us: Micros, len: usize, condition: &Condition) -> Delivery {
        let at_us = sent_us + condition.delay.draw(&mut self.rng);
        let garbled =
            (len > 0 && chance(condition.garble, &mut self.rng)).then(|| self.rng.random_range(0..len));
        Delivery { at_us, garbled }
    }
}

#[cfg(test)]
mod tests;
