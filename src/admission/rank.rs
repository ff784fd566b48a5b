//! The activity of a downstream, its rank in the eviction order, and the reasons for closing it.

use super::reservations::Priority;
use crate::core::NewStream;

/// How many errors a downstream gets, and nothing else, before it counts as abusive.
const ABUSIVE_ERRORS: u64 = 3;

/// What a downstream is waiting for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WaitingFor {
    /// The PROXY header of a front.
    Header,
    /// Its first whole command, or the rest of one.
    #[default]
    Command,
    /// The peer to read its answers.
    Peer,
    /// The peer to close its side.
    Close,
    /// The answer to a stream.
    Answer,
    /// Nothing: it may send another command.
    Nothing,
}

/// The activity of a downstream as its task reports it. Counters start at accept.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Activity {
    pub waiting_for: WaitingFor,
    /// Whole commands parsed and writes completed. Single bytes that trickle in are no step.
    pub steps: u64,
    /// Commands that became streams.
    pub streams: u64,
    /// Local replies to whole commands, such as PING and errors.
    pub local_replies: u64,
    /// Those of them that are errors.
    pub error_replies: u64,
    /// Bytes received that do not form a whole command yet.
    pub partial_bytes: usize,
    /// At least how many bytes its command lacks; fewer unread ones cannot complete it.
    pub missing_bytes: usize,
    /// Bytes of output held for it.
    pub held_bytes: usize,
    /// It has sent malformed bytes and is not read any more.
    pub malformed: bool,
    /// The tenant named by its last request.
    pub tenant: Option<u32>,
}

impl Activity {
    /// Whether it has sent nothing but commands that were answered with errors, and several of them.
    fn is_abusive(&self) -> bool {
        self.streams == 0 && self.error_replies >= ABUSIVE_ERRORS
    }

    /// Its place among others that wait for what is scarce.
    pub fn priority(&self) -> Priority {
        match self.streams {
            1.. => Priority::Preferred,
            0 if self.is_abusive() => Priority::Deferred,
            0 => Priority::Usual,
        }
    }

    /// Records a command that became one or several streams.
    pub fn add_stream(&mut self, ask: &NewStream) {
        self.streams += 1;
        self.tenant = Some(ask.tenant.0);
        self.waiting_for = WaitingFor::Answer;
    }
}

/// Idle downstreams in the order in which they are evicted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rank {
    /// Was told that nothing more is read, and has not closed.
    Leaving,
    /// Has sent nothing but commands that were answered with errors, and several of them.
    Abusive,
    /// Has sent nothing.
    Silent,
    /// Has sent a part of a command and then nothing.
    Stalled,
    /// Got only local replies.
    Pinging,
    /// Made one request, was answered and keeps the connection open.
    Held,
    /// Has made more than one request.
    Usual,
}

impl Rank {
    pub const ALL: [Rank; 7] =
        [Rank::Leaving, Rank::Abusive, Rank::Silent, Rank::Stalled, Rank::Pinging, Rank::Held, Rank::Usual];

    /// `None` while something is in progress, so that the downstream cannot be evicted.
    pub fn of(shown: &Activity) -> Option<Rank> {
        match shown.waiting_for {
            WaitingFor::Answer | WaitingFor::Peer | WaitingFor::Command | WaitingFor::Nothing
                if shown.is_abusive() =>
            {
                Some(Rank::Abusive)
            }
            WaitingFor::Answer | WaitingFor::Peer => None,
            WaitingFor::Close => Some(Rank::Leaving),
            _ if shown.partial_bytes > 0 => Some(Rank::Stalled),
            _ => Some(match (shown.streams, shown.local_replies) {
                (0, 0) => Rank::Silent,
                (0, _) => Rank::Pinging,
                (1, _) => Rank::Held,
                _ => Rank::Usual,
            }),
        }
    }
}

/// Why a downstream was closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CloseReason {
    /// Evicted, by its rank.
    Room(Rank),
    /// Evicted although it had been there for only a short time.
    Young,
    /// Evicted while in regular use, because its source is over its limit.
    Source,
    /// It sent no PROXY header or no whole command in time.
    Speechless,
    /// It did not read its answers.
    Unread,
    /// It had nothing to do for a minute.
    Idle,
    /// It was told that nothing more is read, and did not close.
    Lingering,
    /// The byte budget was exceeded and it did not read its answers.
    Bytes,
    /// It sent malformed bytes and was told so.
    Malformed,
}

impl CloseReason {
    /// All reasons, in the order of [`CloseReason::index`].
    pub const ALL: [CloseReason; 15] = [
        CloseReason::Room(Rank::Leaving),
        CloseReason::Room(Rank::Abusive),
        CloseReason::Room(Rank::Silent),
        CloseReason::Room(Rank::Stalled),
        CloseReason::Room(Rank::Pinging),
        CloseReason::Room(Rank::Held),
        CloseReason::Room(Rank::Usual),
        CloseReason::Young,
        CloseReason::Source,
        CloseReason::Speechless,
        CloseReason::Unread,
        CloseReason::Idle,
        CloseReason::Lingering,
        CloseReason::Bytes,
        CloseReason::Malformed,
    ];

    pub(super) fn index(self) -> usize {
        match self {
            CloseReason::Room(rank) => rank as usize,
            CloseReason::Young => 7,
            CloseReason::Source => 8,
            CloseReason::Speechless => 9,
            CloseReason::Unread => 10,
            CloseReason::Idle => 11,
            CloseReason::Lingering => 12,
            CloseReason::Bytes => 13,
            CloseReason::Malformed => 14,
        }
    }

    /// The name in metrics and in the log.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::Room(Rank::Leaving) => "leaving",
            CloseReason::Room(Rank::Abusive) => "abusive",
            CloseReason::Room(Rank::Silent) => "silent",
            CloseReason::Room(Rank::Stalled) => "stalled",
            CloseReason::Room(Rank::Pinging) => "pinging",
            CloseReason::Room(Rank::Held) => "held",
            CloseReason::Room(Rank::Usual) => "usual",
            CloseReason::Young => "young",
            CloseReason::Source => "source",
            CloseReason::Speechless => "speechless",
            CloseReason::Unread => "unread",
            CloseReason::Idle => "idle",
            CloseReason::Lingering => "lingering",
            CloseReason::Bytes => "bytes",
            CloseReason::Malformed => "malformed",
        }
    }

    /// Whether bytes that it has sent and that are unread may be a request, which must not be lost.
    pub fn spares_unread(self) -> bool {
        self != CloseReason::Room(Rank::Abusive)
    }

    /// Whether it was closed so that another connection could be accepted.
    pub fn makes_room(self) -> bool {
        matches!(self, CloseReason::Room(_) | CloseReason::Young | CloseReason::Source)
    }
}
