//! What a downstream shows, and how it ranks among those that may have to go.

use crate::core::NewStream;

/// What a downstream is up to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Waits {
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
pub struct Shown {
    pub waits: Waits,
    /// Whole commands taken and writes done: a drip of bytes is no step.
    pub steps: u64,
    /// Commands that became streams.
    pub asks: u64,
    /// Local replies to whole commands: PING, errors.
    pub local: u64,
    /// Bytes received that are no whole command yet.
    pub part: usize,
    /// Bytes held for it: input, answers and output that it has not read.
    pub bytes: usize,
    /// It has sent what cannot be read; nothing more of it is.
    pub malformed: bool,
    /// The tenant that it asked for last.
    pub tenant: Option<u32>,
}

impl Shown {
    /// A command became a stream, or several.
    pub fn asked(&mut self, ask: &NewStream) {
        self.asks += 1;
        self.tenant = Some(ask.tenant.0);
        self.waits = Waits::Answer;
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
    pub fn of(shown: &Shown) -> Option<Rank> {
        match shown.waits {
            Waits::Answer | Waits::Peer => None,
            Waits::Close => Some(Rank::Leaving),
            _ if shown.part > 0 => Some(Rank::Stalled),
            _ => Some(match (shown.asks, shown.local) {
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
pub enum Why {
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

impl Why {
    /// All there are, in the order of [`Why::index`].
    pub const ALL: [Why; 14] = [
        Why::Room(Rank::Leaving),
        Why::Room(Rank::Silent),
        Why::Room(Rank::Stalled),
        Why::Room(Rank::Pinging),
        Why::Room(Rank::Held),
        Why::Room(Rank::Usual),
        Why::Young,
        Why::Source,
        Why::Speechless,
        Why::Unread,
        Why::Idle,
        Why::Lingering,
        Why::Bytes,
        Why::Malformed,
    ];

    pub(super) fn index(self) -> usize {
        match self {
            Why::Room(rank) => rank as usize,
            Why::Young => 6,
            Why::Source => 7,
            Why::Speechless => 8,
            Why::Unread => 9,
            Why::Idle => 10,
            Why::Lingering => 11,
            Why::Bytes => 12,
            Why::Malformed => 13,
        }
    }

    /// As figures and the log name it.
    pub fn name(self) -> &'static str {
        match self {
            Why::Room(Rank::Leaving) => "leaving",
            Why::Room(Rank::Silent) => "silent",
            Why::Room(Rank::Stalled) => "stalled",
            Why::Room(Rank::Pinging) => "pinging",
            Why::Room(Rank::Held) => "held",
            Why::Room(Rank::Usual) => "usual",
            Why::Young => "young",
            Why::Source => "source",
            Why::Speechless => "speechless",
            Why::Unread => "unread",
            Why::Idle => "idle",
            Why::Lingering => "lingering",
            Why::Bytes => "bytes",
            Why::Malformed => "malformed",
        }
    }

    /// It went so that another could come.
    pub fn makes_room(self) -> bool {
        matches!(self, Why::Room(_) | Why::Young | Why::Source)
    }
}
