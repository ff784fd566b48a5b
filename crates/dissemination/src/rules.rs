//! Times, rates and bounds of both machines, in one place. All control machines and followers need the same.
//!
//! Use the defaults. Tests take shorter times; [`Rules::check`] says what must hold between them.

use crate::{bounds, ControlId, Micros, SECOND};

const MS: Micros = 1000;

/// A fault that tests plant to show that a property can break. It acts only under the feature `planted`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedFault {
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
static PROCESS_FAULT: std::sync::OnceLock<InjectedFault> = std::sync::OnceLock::new();

/// Plants a fault in all rules that this process makes from now on; once.
#[cfg(feature = "planted")]
pub fn inject_fault(fault: InjectedFault) {
    let _ = PROCESS_FAULT.set(fault);
}

/// What is planted in rules that say nothing of it.
fn process_fault() -> Option<InjectedFault> {
    #[cfg(feature = "planted")]
    return PROCESS_FAULT.get().copied();
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
    pub beat_interval: Micros,
    /// Time between two polls of the stores.
    pub poll_interval: Micros,
    /// Time between two acks of a follower that has nothing to confirm.
    pub ack_interval: Micros,
    /// How long a follower serves without knowing that it holds everything.
    pub lease: Micros,
    /// Time without a beat after which a follower leaves a control machine.
    pub silence_timeout: Micros,
    /// Time without progress after which what lacks is asked for: longer than TCP needs to send a lost segment again.
    pub gap_timeout: Micros,
    /// Time without a word after which a control machine closes a follower's connection, or another's.
    pub idle_timeout: Micros,
    /// First and longest wait before a control machine is dialled again.
    pub min_redial_delay: Micros,
    /// See [`Rules::min_redial_delay`].
    pub max_redial_delay: Micros,
    /// Bytes a second that a primary sends to a follower, that a secondary does, and that a follower sends in all;
    /// of frames, without the headers of TCP and IP.
    pub primary_rate: u32,
    /// See [`Rules::primary_rate`].
    pub secondary_rate: u32,
    /// See [`Rules::primary_rate`].
    pub follower_rate: u32,
    /// Of the primary's rate, the part in 1,000 that the stores together fill with changes; the rest is for beats
    /// and the heads of pieces.
    pub change_share: u32,
    /// What can be sent to a follower in this time is a backlog that is carried; a set's greater one is replaced
    /// by a mark. Stores take in advance what is carried in this time.
    pub max_backlog: Micros,
    /// The largest change, in bytes.
    pub max_change_bytes: usize,
    /// Changes of a stream that a control machine holds, and bytes of their bodies; a register's last values stay.
    pub retained_changes: usize,
    /// See [`Rules::retained_changes`].
    pub retained_bytes: usize,
    /// Keys of a register.
    pub max_keys: usize,
    /// Connections of followers that a control machine takes, of clients, and of any that have not yet said who
    /// they are.
    pub max_followers: usize,
    /// See [`Rules::max_followers`].
    pub max_clients: usize,
    /// See [`Rules::max_followers`].
    pub max_unidentified: usize,
    /// Submissions of one store that wait for a majority.
    pub max_pending: usize,
    /// Questions of status that wait for counts.
    pub max_status_queries: usize,
    /// How long one does.
    pub count_timeout: Micros,
    /// Messages a second that a control machine hears of a follower or a client on the mean; past that it floods.
    pub message_rate: u32,
    /// For tests.
    #[doc(hidden)]
    pub injected_fault: Option<InjectedFault>,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            epoch: 1,
            controls: 24,
            stores: 5,
            topics: vec![TopicKind::Set, TopicKind::Register],
            beat_interval: 250 * MS,
            poll_interval: 250 * MS,
            ack_interval: 500 * MS,
            lease: 7 * SECOND,
            silence_timeout: SECOND,
            gap_timeout: SECOND,
            idle_timeout: 5 * SECOND,
            min_redial_delay: SECOND,
            max_redial_delay: 16 * SECOND,
            primary_rate: 2800,
            secondary_rate: 600,
            follower_rate: 400,
            change_share: 800,
            max_backlog: 2 * SECOND,
            max_change_bytes: bounds::MAX_BODY_BYTES,
            retained_changes: 16 * 1024,
            retained_bytes: 4 << 20,
            max_keys: 16 * 1024,
            max_followers: 2048,
            max_clients: 256,
            max_unidentified: 2048,
            max_pending: 1024,
            max_status_queries: 64,
            count_timeout: SECOND,
            message_rate: 40,
            injected_fault: process_fault(),
        }
    }
}

impl Rules {
    /// Whether the rules fit together; else what does not.
    pub fn check(&self) -> Result<(), &'static str> {
        let rule = |holds: bool, what| if holds { Ok(()) } else { Err(what) };
        rule((1..=bounds::MAX_CONTROLS).contains(&self.controls), "control machines: 1 to 64")?;
        rule((1..=self.controls).contains(&self.stores), "stores: 1 to as many as control machines")?;
        rule((1..=usize::from(bounds::MAX_TOPICS)).contains(&self.topics.len()), "topics: 1 to 4")?;
        rule(
            self.beat_interval > 0 && self.poll_interval > 0 && self.ack_interval > 0,
            "times between words: above 0",
        )?;
        rule(self.silence_timeout > self.beat_interval, "silence: longer than the time between beats")?;
        rule(self.gap_timeout >= self.beat_interval, "gap: at least the time between beats")?;
        rule(
            self.idle_timeout > self.ack_interval && self.idle_timeout > self.poll_interval,
            "gone: longer than the time between acks and polls",
        )?;
        rule(
            self.lease > self.silence_timeout + self.poll_interval + self.ack_interval,
            "lease: longer than silence, poll and ack",
        )?;
        rule(
            (1..=self.max_redial_delay).contains(&self.min_redial_delay),
            "dial: above 0, at most the longest wait",
        )?;
        rule((1..=1000).contains(&self.change_share), "fill: 1 to 1000")?;
        rule((1..=bounds::MAX_BODY_BYTES).contains(&self.max_change_bytes), "change: 1 to 4096 bytes")?;
        rule(self.retained_changes >= 1 && self.max_keys >= 1, "changes and keys held: at least 1")?;
        rule(self.retained_bytes >= self.max_change_bytes, "bytes held: at least one change")?;
        let one = self.primary_rate >= 256 && self.secondary_rate >= 256 && self.follower_rate >= 64;
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
    pub(crate) fn is(&self, fault: InjectedFault) -> bool {
        cfg!(feature = "planted") && self.injected_fault == Some(fault)
    }
}
