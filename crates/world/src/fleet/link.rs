//! One direction of a link between two processes: its current impairments ([`Condition`]) and the random
//! model that decides the fate of each message ([`Line`]).
//!
//! The model covers loss, delay, reordering and rate limits, for datagrams and for the bytes of a TCP
//! connection, and has its own seeded generator. It stores no payload and uses no sockets: the host holds the
//! data in flight and applies the decisions. The delays between halls in scenarios are in [`crate::network`].

use crate::random::{chance, stream, within, Random};
use crate::scenario::Spread;
use crate::Micros;
use rand::RngExt;
use serde::{Deserialize, Serialize};

/// Delay of a connection for the first loss of a segment, doubled for each further loss. This is the minimum
/// retransmission timeout of Linux, `TCP_RTO_MIN`; RFC 6298 asks for a second.
pub const RETRANSMISSION_US: Micros = 200_000;
/// Maximum consecutive losses of a segment: 200 ms * (2^6 - 1) is 12.6 s.
const RETRANSMISSIONS: u32 = 6;
/// Payload of a TCP segment on Ethernet with an MTU of 1500 bytes.
pub const SEGMENT_BYTES: usize = 1448;
/// Additional delay of a datagram that later ones are to overtake.
pub const REORDER_DELAY_US: Micros = 20_000;
/// Maximum queueing delay on a rate-limited link. A datagram that would wait longer is lost, as with a full
/// queue.
pub const MAX_QUEUE_DELAY_US: Micros = 1_000_000;
/// Chunks per second into which a rate-limited connection is split at least, so that bytes arrive gradually.
const TRICKLE_PER_S: u64 = 50;
/// Coefficient of variation of the heavy tail.
const TAIL_CV: f64 = 2.0;
/// Maximum configurable delay: one hour.
const MAX_DELAY_MS: f64 = 3_600_000.0;

/// Delay of the messages of one direction, in milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Delay {
    /// Applied to every message.
    pub fixed_ms: f64,
    /// Additional delay, uniformly distributed between 0 and this.
    pub jitter_ms: f64,
    /// One message in this many, chosen at random, is also delayed by the tail; 0 for none.
    pub tail_one_in: u32,
    /// Mean of the tail, which is Pareto-distributed and truncated at 40 times its mean.
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

/// Impairments of one direction of a link. The default has none.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Condition {
    /// Nothing passes. Datagrams are lost; bytes of a connection are held back and delivered in order once
    /// the cut is over. No connection can be established across it, whichever side initiates it.
    pub cut: bool,
    /// Fraction of messages lost. A connection loses no bytes: a lost segment is delayed by
    /// [`RETRANSMISSION_US`], doubled for each further loss. 1 is equivalent to a cut.
    pub lose: f64,
    pub delay: Delay,
    /// Fraction of datagrams delivered twice.
    pub duplicate: f64,
    /// Fraction of datagrams overtaken by later ones; never two in a row.
    pub reorder: f64,
    /// Bandwidth shared by all connections and datagrams of the direction.
    pub bytes_per_s: Option<u64>,
    /// Connections stay open but transfer nothing. Datagrams are lost.
    pub stall: bool,
    /// New connections from the sender of this direction to its receiver are refused; open ones stay open.
    pub refuse: bool,
    /// Fraction of datagrams, and of connection chunks as read by the host, in which one byte is changed.
    pub garble: f64,
}

/// Why a condition is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidCondition {
    #[error("{0} is a fraction and must be from 0 to 1")]
    Part(&'static str),
    #[error("{0} is in milliseconds and must be from 0 to 3600000")]
    Span(&'static str),
    #[error("bytes_per_s must be at least 1")]
    Rate,
}

impl Condition {
    /// A condition under which nothing passes.
    pub fn cut() -> Self {
        Condition { cut: true, ..Condition::default() }
    }

    /// A condition under which connections stay open but transfer nothing.
    pub fn stall() -> Self {
        Condition { stall: true, ..Condition::default() }
    }

    pub fn delayed(ms: f64) -> Self {
        Condition { delay: Delay::fixed(ms), ..Condition::default() }
    }

    pub fn is_unimpaired(&self) -> bool {
        *self == Condition::default()
    }

    /// Whether nothing passes while this condition lasts.
    pub fn blocks_all(&self) -> bool {
        self.cut || self.stall || self.lose >= 1.0
    }

    /// # Errors
    ///
    /// Returns the first field that is out of range.
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

    /// Combines two conditions that apply at once, as when faults overlap: fractions as independent
    /// probabilities, delays added (the more frequent of the two tails is kept), and the lower bandwidth.
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

    /// Maximum number of connection bytes that a host should pass to [`Line::chunk`] at once, so that data
    /// arrives gradually on a rate-limited link.
    pub fn max_chunk_len(&self, most: usize) -> usize {
        match self.bytes_per_s {
            Some(rate) => usize::try_from(rate / TRICKLE_PER_S).unwrap_or(most).clamp(1, most.max(1)),
            None => most,
        }
    }
}

/// The arrival of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// Arrival time; never before the send time passed in.
    pub at_us: Micros,
    /// Index of the byte to be changed with [`garble`], if any.
    pub garbled: Option<usize>,
}

/// Arrivals of a datagram: none, one or two.
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

/// The outcome for a chunk of a connection's bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChunkFate {
    /// The chunk waits while the condition lasts. Ask again under the next condition.
    Held,
    Due(Delivery),
}

/// Changes the byte at [`Delivery::garbled`]. Applying it twice restores the message.
pub fn garble(bytes: &mut [u8], at: usize) {
    if let Some(byte) = bytes.get_mut(at) {
        *byte ^= 0x55;
    }
}

/// State of one direction of a link. Times are supplied by the host and must not decrease.
#[derive(Clone, Debug)]
pub struct Line {
    rng: Random,
    /// When a rate-limited link has sent everything queued so far.
    free_us: Micros,
    /// Whether the previous datagram was held back.
    held_back: bool,
}

impl Line {
    /// Creates the link from one process to another; each has its own generator.
    pub fn new(seed: u64, from: &str, to: &str) -> Self {
        Line { rng: stream(seed, &format!("line {from} {to}"), 0), free_us: Micros::MIN, held_back: false }
    }

    /// Resets the queue when the condition changes: data waiting for the previous rate limit is forgotten.
    /// The host then asks again for each chunk that has not arrived.
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
        let sent = self.transmit(now_us, len, condition);
        self.held_back = !self.held_back && chance(condition.reorder, &mut self.rng);
        let back = if self.held_back { REORDER_DELAY_US } else { 0 };
        let first = self.deliver(sent + back, len, condition);
        let again = chance(condition.duplicate, &mut self.rng).then(|| self.deliver(sent, len, condition));
        Deliveries { first: Some(first), again }
    }

    /// `behind_us` is when the previous chunk on the same connection is due; this one does not overtake it. A
    /// length of 0 stands for a handshake or an end of stream, which travel as data does.
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
        let sent = self.transmit(now_us, len, condition);
        let mut delivery = self.deliver(sent, len, condition);
        let segments = len.div_ceil(SEGMENT_BYTES).max(1);
        // Segments travel in parallel and data behind a lost one waits for it, so the worst segment counts.
        let worst = (0..segments).map(|_| self.lost_in_a_row(condition.lose)).max().unwrap_or(0);
        delivery.at_us = (delivery.at_us + RETRANSMISSION_US * ((1 << worst) - 1)).max(behind_us);
        ChunkFate::Due(delivery)
    }

    fn lost_in_a_row(&mut self, lose: f64) -> u32 {
        (0..RETRANSMISSIONS).take_while(|_| chance(lose, &mut self.rng)).count() as u32
    }

    /// Returns when the link has sent the last of `len` bytes.
    fn transmit(&mut self, now_us: Micros, len: usize, condition: &Condition) -> Micros {
        let Some(rate) = condition.bytes_per_s else { return now_us };
        let duration = (len as f64 * 1e6 / rate.max(1) as f64).round() as Micros;
        self.free_us = self.free_us.max(now_us) + duration;
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
