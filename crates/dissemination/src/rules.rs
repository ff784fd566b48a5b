//! Times, rates and bounds of both machines, in one place. All control machines and followers need the same.
//!
//! Use the defaults. Tests take shorter times; [`Rules::check`] says what must hold between them.

use crate::{bounds, ControlId, Micros, SECOND};

const MS: Micros = 1000;

/// A fault that tests plant to show that a property can break. It acts only under the feature `planted`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Planted {
    /// A store acknowledges what it alone holds.
    AckAlone,
    /// A control machine passes on what no majority holds.
    Uncommitted,
    /// A store that begins with nothing numbers on and counts without asking what the others hold.
    NoRecovery,
    /// A control machine is fresh by the answer of one store.
    PollOfOne,
    /// A control machine is fresh as of the answer to a poll, not as of its start.
    FreshAtAnswer,
    /// A follower is fresh as of a beat's coming, not as of the challenge that it echoes.
    FreshAtBeat,
    /// A follower is fresh by a beat without holding what the beat shows.
    FreshUncovered,
    /// A follower stays in service whatever its lease.
    NoLease,
    /// A follower applies what it has applied before.
    Twice,
    /// A follower applies over a gap.
    Gaps,
    /// A follower takes a piece whatever its digest.
    NoDigest,
    /// A count names followers as having what they were sent, not what they confirmed.
    CountsSent,
}

/// What rules of this process have planted from now on, unless they say otherwise: for hosts that start whole
/// programs.
#[cfg(feature = "planted")]
static PLANTED: std::sync::OnceLock<Planted> = std::sync::OnceLock::new();

/// Plants a fault in all rules that this process makes from now on; once.
#[cfg(feature = "planted")]
pub fn plant(fault: Planted) {
    let _ = PLANTED.set(fault);
}

/// What is planted in rules that say nothing of it.
fn planted() -> Option<Planted> {
    #[cfg(feature = "planted")]
    return PLANTED.get().copied();
    #[cfg(not(feature = "planted"))]
    return None;
}

/// What the changes of a topic mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TopicKind {
    /// Marks that may be set again: a purge. Any number of them may be replaced by "all is stale".
    Set,
    /// The last value per key: configuration.
    Register,
}

/// See the file's comment.
#[derive(Clone, Debug, Hash)]
pub struct Rules {
    /// Raised by the operators when stores are restored from an old copy.
    pub epoch: u32,
    /// Control machines on the list.
    pub controls: u8,
    /// How many of them, the first ones, are stores.
    pub stores: u8,
    /// What topics there are.
    pub topics: Vec<TopicKind>,
    /// Time between two beats to a follower, and two batches.
    pub beat: Micros,
    /// Time between two polls of the stores.
    pub poll: Micros,
    /// Time between two acks of a follower that has nothing to confirm.
    pub ack: Micros,
    /// How long a follower serves without knowing that it holds everything.
    pub lease: Micros,
    /// Time without a beat after which a follower leaves a control machine.
    pub silence: Micros,
    /// Time without progress after which what lacks is asked for.
    pub gap: Micros,
    /// Time without a word after which a control machine closes a follower's connection, or another's.
    pub gone: Micros,
    /// First and longest wait before a control machine is dialled again.
    pub dial: Micros,
    /// See [`Rules::dial`].
    pub dial_most: Micros,
    /// Bytes a second that a primary sends to a follower, that a secondary does, and that a follower sends in all;
    /// of frames, without the headers of TCP and IP.
    pub primary_rate: u32,
    /// See [`Rules::primary_rate`].
    pub secondary_rate: u32,
    /// See [`Rules::primary_rate`].
    pub own_rate: u32,
    /// Of the primary's rate, the part in 1,000 that the stores together fill with changes; the rest is for beats
    /// and the heads of pieces.
    pub fill: u32,
    /// What can be sent to a follower in this time is a backlog that is carried; a set's greater one is replaced
    /// by a mark. Stores take in advance what is carried in this time.
    pub behind: Micros,
    /// The largest change, in bytes.
    pub change: usize,
    /// Changes of a stream that a control machine holds, and bytes of their bodies; a register's last values stay.
    pub retained: usize,
    /// See [`Rules::retained`].
    pub retained_bytes: usize,
    /// Keys of a register.
    pub keys: usize,
    /// Connections of followers that a control machine takes, of clients, and of any that have not yet said who
    /// they are.
    pub followers: usize,
    /// See [`Rules::followers`].
    pub clients: usize,
    /// See [`Rules::followers`].
    pub strangers: usize,
    /// Submissions of one store that wait for a majority.
    pub pending: usize,
    /// Questions of status that wait for counts.
    pub questions: usize,
    /// How long one does.
    pub count: Micros,
    /// Messages a second that a control machine hears of a follower or a client on the mean; past that it floods.
    pub messages: u32,
    /// For tests.
    #[doc(hidden)]
    pub planted: Option<Planted>,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            epoch: 1,
            controls: 24,
            stores: 5,
            topics: vec![TopicKind::Set, TopicKind::Register],
            beat: 250 * MS,
            poll: 250 * MS,
            ack: 500 * MS,
            lease: 7 * SECOND,
            silence: SECOND,
            gap: 500 * MS,
            gone: 5 * SECOND,
            dial: SECOND,
            dial_most: 16 * SECOND,
            primary_rate: 2800,
            secondary_rate: 600,
            own_rate: 400,
            fill: 800,
            behind: 2 * SECOND,
            change: bounds::BODY,
            retained: 16 * 1024,
            retained_bytes: 4 << 20,
            keys: 16 * 1024,
            followers: 2048,
            clients: 256,
            strangers: 2048,
            pending: 1024,
            questions: 64,
            count: SECOND,
            messages: 40,
            planted: planted(),
        }
    }
}

impl Rules {
    /// Whether the rules fit together; else what does not.
    pub fn check(&self) -> Result<(), &'static str> {
        let rule = |holds: bool, what| if holds { Ok(()) } else { Err(what) };
        rule((1..=bounds::CONTROLS).contains(&self.controls), "control machines: 1 to 64")?;
        rule((1..=self.controls).contains(&self.stores), "stores: 1 to as many as control machines")?;
        rule((1..=usize::from(bounds::TOPICS)).contains(&self.topics.len()), "topics: 1 to 4")?;
        rule(self.beat > 0 && self.poll > 0 && self.ack > 0, "times between words: above 0")?;
        rule(self.silence > self.beat, "silence: longer than the time between beats")?;
        rule(self.gap >= self.beat, "gap: at least the time between beats")?;
        rule(
            self.gone > self.ack && self.gone > self.poll,
            "gone: longer than the time between acks and polls",
        )?;
        rule(self.lease > self.silence + self.poll + self.ack, "lease: longer than silence, poll and ack")?;
        rule((1..=self.dial_most).contains(&self.dial), "dial: above 0, at most the longest wait")?;
        rule((1..=1000).contains(&self.fill), "fill: 1 to 1000")?;
        rule((1..=bounds::BODY).contains(&self.change), "change: 1 to 4096 bytes")?;
        rule(self.retained >= 1 && self.keys >= 1, "changes and keys held: at least 1")?;
        rule(self.retained_bytes >= self.change, "bytes held: at least one change")?;
        let one = self.primary_rate >= 256 && self.secondary_rate >= 256 && self.own_rate >= 64;
        rule(one, "rates: at least 256 bytes a second, 64 of a follower's own")
    }

    /// How many stores are a majority.
    pub fn majority(&self) -> usize {
        usize::from(self.stores) / 2 + 1
    }

    /// Whether a control machine is a store.
    pub fn is_store(&self, control: ControlId) -> bool {
        control.0 < self.stores
    }

    /// A topic's kind.
    pub fn kind(&self, topic: u8) -> Option<TopicKind> {
        self.topics.get(usize::from(topic)).copied()
    }

    /// Whether a fault is planted.
    pub(crate) fn is(&self, fault: Planted) -> bool {
        cfg!(feature = "planted") && self.planted == Some(fault)
    }
}
