//! What a downstream shows, and how it ranks among those that may have to go.

use crate::core::NewStream;

/// What a downstream is up to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum WaitingFor {
    /// For the PROXY header of a front.
    Header,
    /// For its first whole command, or for the rest of one.
    #[default]
    Command,
    /// For the peer to read its answers.
    Peer,
    /// For the peer to close in its turn.
    Close,
    /// For the answer to a stream.
    Answer,
    /// For nothing: it may send another command.
    Nothing,
}

/// What a downstream has shown, as its task tells it. Counts are since it was accepted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Activity {
    pub waiting_for: WaitingFor,
    /// Whole commands taken and writes done: a drip of bytes is no step.
    pub steps: u64,
    /// Commands that became streams.
    pub streams: u64,
    /// Local replies to whole commands: PING, errors.
    pub local_replies: u64,
    /// Bytes received that are no whole command yet.
    pub partial_bytes: usize,
    /// Bytes held for it: input, answers and output that it has not read.
    pub held_bytes: usize,
    /// It has sent what cannot be read; nothing more of it is.
    pub malformed: bool,
    /// The tenant that it asked for last.
    pub tenant: Option<u32>,
}

impl Activity {
    /// A command became a stream, or several.
    pub fn add_stream(&mut self, ask: &NewStream) {
        self.streams += 1;
        self.tenant = Some(ask.tenant.0);
        self.waiting_for = WaitingFor::Answer;
    }
}

/// In the order in which they make room.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Rank {
    /// Was told that nothing more is read, and has not closed.
    Leaving,
    /// Has sent nothing.
    Silent,
    /// Has sent a part of a command and then nothing.
    Stalled,
    /// Got local replies alone.
    Pinging,
    /// Asked once, was answered and holds on.
    Held,
    /// Has asked more than once.
    Usual,
}

impl Rank {
    pub const ALL: [Rank; 6] =
        [Rank::Leaving, Rank::Silent, Rank::Stalled, Rank::Pinging, Rank::Held, Rank::Usual];

    /// `None`: something is under way, so it cannot make room.
    pub fn of(shown: &Activity) -> Option<Rank> {
        match shown.waiting_for {
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
    /// To make room, by its rank.
    Room(Rank),
    /// To make room, though it had not been there for long.
    Young,
    /// To make room, a usual one of a source that takes more than its part.
    Source,
    /// It sent no PROXY header, or no whole command, in time.
    Speechless,
    /// It did not read its answers.
    Unread,
    /// It had nothing to do for a minute.
    Idle,
    /// It was told that nothing more is read, and did not close.
    Lingering,
    /// Bytes ran short, and it did not read its answers.
    Bytes,
    /// It sent what cannot be read, and was told so.
    Malformed,
}

impl CloseReason {
    /// All there are, in the order of [`CloseReason::index`].
    pub const ALL: [CloseReason; 14] = [
        CloseReason::Room(Rank::Leaving),
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
            CloseReason::Young => 6,
            CloseReason::Source => 7,
            CloseReason::Speechless => 8,
            CloseReason::Unread => 9,
            CloseReason::Idle => 10,
            CloseReason::Lingering => 11,
            CloseReason::Bytes => 12,
            CloseReason::Malformed => 13,
        }
    }

    /// As figures and the log name it.
    pub fn name(self) -> &'static str {
        match self {
            CloseReason::Room(Rank::Leaving) => "leaving",
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

    /// It went so that another could come.
    pub fn makes_room(self) -> bool {
        matches!(self, CloseReason::Room(_) | CloseReason::Young | CloseReason::Source)
    }
}
