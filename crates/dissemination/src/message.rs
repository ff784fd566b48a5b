//! The words between control machines, followers and clients. A message that comes from outside is checked once,
//! here; what passed needs no more care than its numbers say.
//!
//! A connection carries them in order or breaks. So numbers that grow are said as gains over what was said
//! before on the same connection; the first over nothing, except where a follower's hello said its heads.
//! Spans are in ms; no side knows the other's clock.

use crate::change::{Head, Piece, Position};
use crate::{bounds, ControlId, FollowerId, StreamId};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// A follower's first message, and again when it starts anew.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hello {
    /// The epoch of what it holds.
    pub epoch: u32,
    /// Who.
    pub id: FollowerId,
    /// Its start. Only equality has a meaning.
    pub life: u64,
    /// Whether changes are to be pushed; else beats alone.
    pub primary: bool,
    /// See [`Ack::challenge`].
    pub challenge: u32,
    /// What it holds.
    pub heads: Vec<(StreamId, Head)>,
}

/// A follower's word of what it has applied.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ack {
    /// See [`Hello::primary`]; it may change, both ways.
    pub primary: bool,
    /// Comes back as [`Beat::echo`].
    pub challenge: u32,
    /// What it holds more than it said before on this connection. Only to the primary.
    pub gains: Vec<(StreamId, u64)>,
    /// Changes that it could not put in force, though it holds them.
    pub refused: Vec<(StreamId, u64)>,
}

/// A control machine's sign of life to a follower: who holds all that it showed on this connection is as fresh as
/// the challenge less the age.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Beat {
    /// The last challenge that came.
    pub echo: u32,
    /// How old is what the control machine knows to be all, in ms, rounded up; none if it knows of no such time.
    pub age: Option<u32>,
    /// What it shows more than before; a batch shows what it carries.
    pub gains: Vec<(StreamId, u64)>,
}

/// A majority's word on how far a change has come.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StatusReport {
    /// The question's.
    pub token: u32,
    /// Whether a majority of the stores is known to hold it.
    pub committed: bool,
    /// For how long that has been known here, in ms.
    pub since: u32,
    /// Followers on the list, and of them those known to have it.
    pub followers: u32,
    /// See [`StatusReport::followers`].
    pub have: u32,
    /// Whether those not known to have it are out of service: the lease has passed since it was committed.
    pub lapsed: bool,
    /// Those on the list not known to have it, in order, from the one that was asked for; the first ones.
    pub missing: Vec<FollowerId>,
    /// Those that have it and could not put it in force; the first ones.
    pub refused: Vec<FollowerId>,
    /// Control machines that did not answer in time.
    pub unheard: Vec<ControlId>,
}

impl StatusReport {
    /// Whether every follower on the list is known to have it.
    pub fn all(&self) -> bool {
        self.committed && self.have == self.followers
    }
}

/// One message, one frame.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Control machine to follower: changes, or what stands for them. Between control machines as well.
    Batch(Vec<Piece>),
    /// Control machine to follower, four times a second.
    Beat(Beat),
    /// Follower to control machine, a few times a second.
    Ack(Ack),
    /// Follower to control machine, first.
    Hello(Hello),
    /// Control machine to follower, the answer to each hello.
    Welcome {
        /// The epoch here. A follower with a lower one starts anew and says hello again; one with a higher leaves.
        epoch: u32,
        /// Who.
        control: ControlId,
    },
    /// Follower to its secondary, or between control machines: what comes after this?
    Pull {
        /// Of which stream.
        stream: StreamId,
        /// After which number.
        after: u64,
    },
    /// Control machine to follower: what you hold of this stream is not what was said here.
    Differs {
        /// Which.
        stream: StreamId,
        /// What the follower said that it holds.
        number: u64,
    },
    /// Between control machines, first, from both sides.
    Control {
        /// See [`Message::Welcome`].
        epoch: u32,
        /// Who.
        id: ControlId,
    },
    /// Between control machines, four times a second: what do you hold?
    Poll {
        /// Comes back.
        token: u32,
    },
    /// The answer: what has been persisted, at a store.
    Polled {
        /// The question's.
        token: u32,
        /// Whether it counts for a majority: not until a store that began with nothing holds what others hold.
        counts: bool,
        /// What is held.
        position: Position,
    },
    /// Store to the store that numbered it: persisted up to here.
    Holds {
        /// Which stream.
        stream: StreamId,
        /// Up to where.
        number: u64,
    },
    /// Between control machines: which of your followers have this?
    Count {
        /// Comes back.
        token: u32,
        /// The change.
        stream: StreamId,
        /// See `stream`.
        number: u64,
    },
    /// The answer, in one or more messages.
    Counted {
        /// The question's.
        token: u32,
        /// Those whose primary is here and that have it.
        have: Vec<FollowerId>,
        /// Of them, those that could not put it in force.
        refused: Vec<FollowerId>,
        /// Whether it is the last message of the answer.
        last: bool,
    },
    /// Client to store: take this.
    Submit {
        /// Comes back. Only equality has a meaning.
        token: u32,
        /// Position in the list of topics.
        topic: u8,
        /// See [`Change::key`](crate::Change::key).
        key: u32,
        /// At most [`bounds::MAX_BODY_BYTES`] bytes.
        body: Rc<[u8]>,
    },
    /// Taken and held by a majority of the stores.
    Submitted {
        /// The submission's.
        token: u32,
        /// Its stream and number.
        stream: StreamId,
        /// See `stream`.
        number: u64,
    },
    /// Not taken. Another store may have room now.
    Busy {
        /// The submission's.
        token: u32,
        /// When this store has room, in ms from now.
        after: u32,
    },
    /// Client to any control machine: who has this?
    Status {
        /// Comes back.
        token: u32,
        /// The change.
        stream: StreamId,
        /// See `stream`.
        number: u64,
        /// Names from here on, where more are missing than one answer holds.
        from: FollowerId,
    },
    /// The answer.
    Told(StatusReport),
}

impl Message {
    /// A word for the kind, for reasons and logs.
    pub fn name(&self) -> &'static str {
        match self {
            Message::Batch(_) => "a batch",
            Message::Beat(_) => "a beat",
            Message::Ack(_) => "an ack",
            Message::Hello(_) => "a hello",
            Message::Welcome { .. } => "a welcome",
            Message::Pull { .. } => "a pull",
            Message::Differs { .. } => "a word on histories",
            Message::Control { .. } => "a control machine's hello",
            Message::Poll { .. } => "a poll",
            Message::Polled { .. } => "a poll's answer",
            Message::Holds { .. } => "a store's word",
            Message::Count { .. } => "a count",
            Message::Counted { .. } => "a count's answer",
            Message::Submit { .. } => "a submission",
            Message::Submitted { .. } => "a submission's answer",
            Message::Busy { .. } => "a refusal",
            Message::Status { .. } => "a question of status",
            Message::Told(_) => "a status",
        }
    }

    /// Whether every count and figure is within its bounds; else what is not.
    pub fn check(&self) -> Result<(), &'static str> {
        let number = |n: u64| rule(n <= bounds::MAX_NUMBER, "a number beyond reason");
        let control = |c: ControlId| rule(c.0 < bounds::MAX_CONTROLS, "a control machine beyond the most");
        let names = |n: &[FollowerId]| rule(n.len() <= bounds::MAX_NAMES, "too many names");
        match self {
            Message::Batch(pieces) => {
                rule(pieces.len() <= bounds::MAX_PIECES, "too many pieces")?;
                pieces.iter().try_for_each(Piece::check)
            }
            Message::Beat(b) => rule(b.gains.len() <= bounds::MAX_STREAMS, "too many streams"),
            Message::Ack(a) => {
                rule(a.gains.len() <= bounds::MAX_STREAMS, "too many streams")?;
                rule(a.refused.len() <= bounds::MAX_REFUSED, "too many refused changes")
            }
            Message::Hello(h) => {
                rule(h.heads.len() <= bounds::MAX_STREAMS, "too many streams")?;
                h.heads.iter().try_for_each(|(_, head)| number(head.number))
            }
            Message::Welcome { control: id, .. } | Message::Control { id, .. } => control(*id),
            Message::Pull { after, .. } => number(*after),
            Message::Differs { number: n, .. } | Message::Holds { number: n, .. } => number(*n),
            Message::Count { number: n, .. } | Message::Submitted { number: n, .. } => number(*n),
            Message::Status { number: n, .. } => number(*n),
            Message::Polled { position, .. } => position.iter().try_for_each(|(_, n)| number(n)),
            Message::Counted { have, refused, .. } => names(have).and_then(|()| names(refused)),
            Message::Submit { topic, body, .. } => {
                rule(*topic < bounds::MAX_TOPICS, "a topic beyond the most")?;
                rule(body.len() <= bounds::MAX_BODY_BYTES, "a change too large")
            }
            Message::Told(t) => {
                names(&t.missing)?;
                names(&t.refused)?;
                rule(t.unheard.len() <= usize::from(bounds::MAX_CONTROLS), "too many control machines")
            }
            Message::Poll { .. } | Message::Busy { .. } => Ok(()),
        }
    }
}

fn rule(holds: bool, else_what: &'static str) -> Result<(), &'static str> {
    if holds {
        Ok(())
    } else {
        Err(else_what)
    }
}
