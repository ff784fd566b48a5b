//! Timeouts, rates and capacities of control machines and followers. All of them must use the same values.
//!
//! Use the defaults. Tests use shorter times; [`Rules::check`] enforces the relations that must hold between
//! them.

use crate::{bounds, ControlId, Micros, SECOND};

const MS: Micros = 1000;

/// A fault that tests inject to show that a property can be violated. Has an effect only with the feature
/// `planted`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum InjectedFault {
    /// A store acknowledges changes that only it holds.
    AckAlone,
    /// A control machine forwards changes that no majority holds.
    Uncommitted,
    /// A store that started empty assigns numbers, and counts towards majorities, before it has asked the
    /// other stores what they hold.
    NoRecovery,
    /// A control machine considers itself up to date after the answer of one store.
    PollOfOne,
    /// A control machine is fresh as of the answer to a poll instead of its start.
    FreshAtAnswer,
    /// A follower is fresh as of the arrival of a beat instead of the challenge that the beat echoes.
    FreshAtBeat,
    /// A follower is fresh after a beat even if it does not hold what the beat announces.
    FreshUncovered,
    /// A follower stays in service after its lease has expired.
    NoLease,
    /// A follower applies the same changes a second time.
    Twice,
    /// A follower applies changes across a gap.
    Gaps,
    /// A follower accepts a piece with a wrong digest.
    NoDigest,
    /// A count includes followers that were sent the change but have not confirmed it.
    CountsSent,
}

/// The fault that all rules of this process get by default, for hosts that start whole programs.
#[cfg(feature = "planted")]
static PROCESS_FAULT: std::sync::OnceLock<InjectedFault> = std::sync::OnceLock::new();

/// Injects a fault into all rules that this process creates from now on. Only the first call has an effect.
#[cfg(feature = "planted")]
pub fn inject_fault(fault: InjectedFault) {
    let _ = PROCESS_FAULT.set(fault);
}

/// The fault that newly created rules get.
fn process_fault() -> Option<InjectedFault> {
    #[cfg(feature = "planted")]
    return PROCESS_FAULT.get().copied();
    #[cfg(not(feature = "planted"))]
    return None;
}

/// What the changes of a topic mean.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TopicKind {
    /// Idempotent marks, such as purges. Any number of them may be replaced by "everything is stale".
    Set,
    /// The last value per key, such as configuration.
    Register,
}

/// Protocol parameters; see the module documentation.
#[derive(Clone, Debug, Hash)]
pub struct Rules {
    /// Raised by operators when stores are restored from an old copy.
    pub epoch: u32,
    /// Number of control machines.
    pub controls: u8,
    /// Number of stores; the first control machines of the list are the stores.
    pub stores: u8,
    /// The kind of each topic.
    pub topics: Vec<TopicKind>,
    /// Time between two beats, and between two batches, to a follower.
    pub beat_interval: Micros,
    /// Time between two polls of the stores.
    pub poll_interval: Micros,
    /// Time between two acks of a follower that has nothing new to confirm.
    pub ack_interval: Micros,
    /// How long a follower stays in service without knowing that it is up to date.
    pub lease: Micros,
    /// Time without a beat after which a follower leaves a control machine.
    pub silence_timeout: Micros,
    /// Time without progress after which missing changes are requested; longer than a TCP retransmission
    /// takes.
    pub gap_timeout: Micros,
    /// Time without a message after which a control machine closes a connection to a follower or another
    /// control machine.
    pub idle_timeout: Micros,
    /// Initial and maximum delay before a control machine is dialled again.
    pub min_redial_delay: Micros,
    /// See [`Rules::min_redial_delay`].
    pub max_redial_delay: Micros,
    /// Bytes per second that a primary sends to a follower, that a secondary sends to it, and that a follower
    /// sends in total. Counts frames, without TCP and IP headers.
    pub primary_rate: u32,
    /// See [`Rules::primary_rate`].
    pub secondary_rate: u32,
    /// See [`Rules::primary_rate`].
    pub follower_rate: u32,
    /// Thousandths (of 1,000) of the primary's rate that all stores together fill with changes. The rest is
    /// for beats and piece headers.
    pub change_share: u32,
    /// A backlog that can be sent to a follower within this time is sent in full; a larger backlog of a set
    /// is replaced by a mark. Stores admit bursts of up to what can be sent in this time.
    pub max_backlog: Micros,
    /// The largest change, in bytes.
    pub max_change_bytes: usize,
    /// Changes per stream that a control machine retains, and the total bytes of their bodies. The last
    /// values of a register are always retained.
    pub retained_changes: usize,
    /// See [`Rules::retained_changes`].
    pub retained_bytes: usize,
    /// Keys of a register.
    pub max_keys: usize,
    /// Connections that a control machine accepts: from followers, from clients, and from peers that have not
    /// identified themselves yet.
    pub max_followers: usize,
    /// See [`Rules::max_followers`].
    pub max_clients: usize,
    /// See [`Rules::max_followers`].
    pub max_unidentified: usize,
    /// Submissions at one store that wait for a majority.
    pub max_pending: usize,
    /// Status queries that wait for counts.
    pub max_status_queries: usize,
    /// How long a status query waits for counts.
    pub count_timeout: Micros,
    /// Mean messages per second that a control machine accepts from a follower or client; a peer that exceeds
    /// it is disconnected.
    pub message_rate: u32,
    /// Fault injected by tests.
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
    /// Checks that the values are consistent; the error names the violated rule.
    pub fn check(&self) -> Result<(), &'static str> {
        let require = |holds: bool, what| if holds { Ok(()) } else { Err(what) };
        require(
            (1..=bounds::MAX_CONTROLS).contains(&self.controls),
            "control machines: 1 to 64 are allowed",
        )?;
        require(
            (1..=self.controls).contains(&self.stores),
            "stores: at least 1, at most as many as control machines",
        )?;
        require(
            (1..=usize::from(bounds::MAX_TOPICS)).contains(&self.topics.len()),
            "topics: 1 to 4 are allowed",
        )?;
        require(
            self.beat_interval > 0 && self.poll_interval > 0 && self.ack_interval > 0,
            "beat_interval, poll_interval and ack_interval must be above 0",
        )?;
        require(self.silence_timeout > self.beat_interval, "silence_timeout must exceed beat_interval")?;
        require(self.gap_timeout >= self.beat_interval, "gap_timeout must be at least beat_interval")?;
        require(
            self.idle_timeout > self.ack_interval && self.idle_timeout > self.poll_interval,
            "idle_timeout must exceed ack_interval and poll_interval",
        )?;
        require(
            self.lease > self.silence_timeout + self.poll_interval + self.ack_interval,
            "lease must exceed silence_timeout, poll_interval and ack_interval together",
        )?;
        require(
            (1..=self.max_redial_delay).contains(&self.min_redial_delay),
            "min_redial_delay must be above 0 and at most max_redial_delay",
        )?;
        require((1..=1000).contains(&self.change_share), "change_share must be 1 to 1000")?;
        require(
            (1..=bounds::MAX_BODY_BYTES).contains(&self.max_change_bytes),
            "max_change_bytes must be 1 to 4096",
        )?;
        require(
            self.retained_changes >= 1 && self.max_keys >= 1,
            "retained_changes and max_keys must be at least 1",
        )?;
        require(
            self.retained_bytes >= self.max_change_bytes,
            "retained_bytes must be at least max_change_bytes",
        )?;
        let one = self.primary_rate >= 256 && self.secondary_rate >= 256 && self.follower_rate >= 64;
        require(one, "primary_rate and secondary_rate must be at least 256, follower_rate at least 64")
    }

    /// How many stores form a majority.
    pub fn majority(&self) -> usize {
        usize::from(self.stores) / 2 + 1
    }

    /// Whether a control machine is a store.
    pub fn is_store(&self, control: ControlId) -> bool {
        control.0 < self.stores
    }

    /// The kind of a topic, by its index.
    pub fn kind(&self, topic: u8) -> Option<TopicKind> {
        self.topics.get(usize::from(topic)).copied()
    }

    /// Whether a fault is injected.
    pub(crate) fn has_fault(&self, fault: InjectedFault) -> bool {
        cfg!(feature = "planted") && self.injected_fault == Some(fault)
    }
}
