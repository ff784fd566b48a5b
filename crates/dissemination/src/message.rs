//! The messages between control machines, followers and clients. A message from outside is validated once, by
//! [`Message::check`]; after that its fields are known to be within bounds.
//!
//! A connection delivers messages in order or breaks. Growing numbers are therefore sent as increments over
//! what was sent before on the same connection. The first increment is over zero, or over the heads in the
//! follower's hello. Durations are in ms, because no side knows the other's clock.

use crate::change::{Head, Piece, Position};
use crate::{bounds, ControlId, FollowerId, StreamId};
use serde::{Deserialize, Serialize};
use std::rc::Rc;

/// A follower's first message, sent again when it discards its state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Hello {
    /// The epoch of the held streams.
    pub epoch: u32,
    /// The sender.
    pub id: FollowerId,
    /// Identifies this start of the process. Only compared for equality.
    pub life: u64,
    /// Whether to push changes; if not, only beats are sent.
    pub primary: bool,
    /// See [`Ack::challenge`].
    pub challenge: u32,
    /// The head of each held stream.
    pub heads: Vec<(StreamId, Head)>,
}

/// Tells a control machine what the follower has applied.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Ack {
    /// See [`Hello::primary`]; it may change in either direction.
    pub primary: bool,
    /// Returned in [`Beat::echo`].
    pub challenge: u32,
    /// The increase of the held position since the last message on this connection. Sent to the primary only.
    pub gains: Vec<(StreamId, u64)>,
    /// Changes that the follower holds but could not put into effect.
    pub refused: Vec<(StreamId, u64)>,
}

/// A heartbeat from a control machine to a follower. A follower that holds everything announced on this
/// connection is up to date as of the time of the challenge minus `age`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Beat {
    /// The last challenge received.
    pub echo: u32,
    /// Age in ms, rounded up, of the moment as of which the control machine is known to be up to date; none
    /// if there is no such moment.
    pub age: Option<u32>,
    /// The increase of the announced position. A batch announces the changes that it carries.
    pub gains: Vec<(StreamId, u64)>,
}

/// The answer to a status query: how far a change has been replicated.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StatusReport {
    /// The token of the query.
    pub token: u32,
    /// Whether a majority of the stores is known to hold the change.
    pub committed: bool,
    /// For how long it has been known to be committed here, in ms.
    pub since: u32,
    /// Number of followers in the roster, and how many of them are known to have the change.
    pub followers: u32,
    /// See [`StatusReport::followers`].
    pub have: u32,
    /// Whether every follower not known to have the change is out of service, because the lease has expired
    /// since the change was committed.
    pub lapsed: bool,
    /// The first followers in the roster not known to have the change, in order, starting at the one that the
    /// query named.
    pub missing: Vec<FollowerId>,
    /// The first followers that have the change but could not put it into effect.
    pub refused: Vec<FollowerId>,
    /// Control machines that did not answer in time.
    pub unheard: Vec<ControlId>,
}

impl StatusReport {
    /// Whether every follower in the roster is known to have the change.
    pub fn all(&self) -> bool {
        self.committed && self.have == self.followers
    }
}

/// A message. Each is sent as one frame.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Control machine to follower, or between control machines: changes, or a substitute for them.
    Batch(Vec<Piece>),
    /// Control machine to follower, four times a second.
    Beat(Beat),
    /// Follower to control machine, a few times a second.
    Ack(Ack),
    /// Follower to control machine, as the first message.
    Hello(Hello),
    /// Control machine to follower: the answer to each hello.
    Welcome {
        /// The control machine's epoch. A follower with a lower epoch discards its state and sends another
        /// hello; one with a higher epoch disconnects.
        epoch: u32,
        /// The sender.
        control: ControlId,
    },
    /// Follower to its secondary, or between control machines: requests the changes after a number.
    Pull {
        /// The stream.
        stream: StreamId,
        /// The last number that the sender holds.
        after: u64,
    },
    /// Control machine to follower: the follower's history of this stream differs from the one here.
    Differs {
        /// The stream.
        stream: StreamId,
        /// The last number that the follower reported.
        number: u64,
    },
    /// Between control machines: the first message in both directions.
    Control {
        /// The sender's epoch; see [`Message::Welcome`].
        epoch: u32,
        /// The sender.
        id: ControlId,
    },
    /// Between control machines, four times a second: asks what the other holds.
    Poll {
        /// Returned in the answer.
        token: u32,
    },
    /// The answer to a poll. A store reports what it has persisted.
    Polled {
        /// The token of the poll.
        token: u32,
        /// Whether the answer counts towards a majority. False for a store that started empty, until it holds
        /// what the others hold.
        counts: bool,
        /// The held position.
        position: Position,
    },
    /// Store to the store that numbered the change: persisted up to this number.
    Holds {
        /// The stream.
        stream: StreamId,
        /// The last persisted number.
        number: u64,
    },
    /// Between control machines: asks which connected followers have a change.
    Count {
        /// Returned in the answer.
        token: u32,
        /// The stream of the change.
        stream: StreamId,
        /// The number of the change.
        number: u64,
    },
    /// The answer to a count, in one or more messages.
    Counted {
        /// The token of the count.
        token: u32,
        /// Followers whose primary is the sender and that have the change.
        have: Vec<FollowerId>,
        /// Those among them that could not put it into effect.
        refused: Vec<FollowerId>,
        /// Whether this is the last message of the answer.
        last: bool,
    },
    /// Client to store: submits a change.
    Submit {
        /// Returned in the answer. Only compared for equality.
        token: u32,
        /// Index in the list of topics.
        topic: u8,
        /// See [`Change::key`](crate::Change::key).
        key: u32,
        /// The payload, at most [`bounds::MAX_BODY_BYTES`] bytes.
        body: Rc<[u8]>,
    },
    /// The submission was accepted and a majority of the stores holds it.
    Submitted {
        /// The token of the submission.
        token: u32,
        /// The stream of the change.
        stream: StreamId,
        /// The number of the change.
        number: u64,
    },
    /// The submission or status query was rejected. Another store may have capacity now.
    Busy {
        /// The token of the submission or query.
        token: u32,
        /// Time in ms after which to try again.
        after: u32,
    },
    /// Client to any control machine: asks which followers have a change.
    Status {
        /// Returned in the answer.
        token: u32,
        /// The stream of the change.
        stream: StreamId,
        /// The number of the change.
        number: u64,
        /// Lists missing followers from this one on, for when more are missing than fit into one answer.
        from: FollowerId,
    },
    /// The answer to a status query.
    Told(StatusReport),
}

impl Message {
    /// The kind of message, for refusal reasons and logs.
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

    /// Checks that all counts and numbers are within bounds; the error names the violated rule.
    pub fn check(&self) -> Result<(), &'static str> {
        let number = |n: u64| require(n <= bounds::MAX_NUMBER, "a number beyond reason");
        let control = |c: ControlId| require(c.0 < bounds::MAX_CONTROLS, "a control machine beyond the most");
        let names = |n: &[FollowerId]| require(n.len() <= bounds::MAX_NAMES, "too many names");
        match self {
            Message::Batch(pieces) => {
                require(pieces.len() <= bounds::MAX_PIECES, "too many pieces")?;
                pieces.iter().try_for_each(Piece::check)
            }
            Message::Beat(b) => require(b.gains.len() <= bounds::MAX_STREAMS, "too many streams"),
            Message::Ack(a) => {
                require(a.gains.len() <= bounds::MAX_STREAMS, "too many streams")?;
                require(a.refused.len() <= bounds::MAX_REFUSED, "too many refused changes")
            }
            Message::Hello(h) => {
                require(h.heads.len() <= bounds::MAX_STREAMS, "too many streams")?;
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
                require(*topic < bounds::MAX_TOPICS, "a topic beyond the most")?;
                require(body.len() <= bounds::MAX_BODY_BYTES, "a change too large")
            }
            Message::Told(t) => {
                names(&t.missing)?;
                names(&t.refused)?;
                require(t.unheard.len() <= usize::from(bounds::MAX_CONTROLS), "too many control machines")
            }
            Message::Poll { .. } | Message::Busy { .. } => Ok(()),
        }
    }
}

fn require(holds: bool, violation: &'static str) -> Result<(), &'static str> {
    if holds {
        Ok(())
    } else {
        Err(violation)
    }
}
