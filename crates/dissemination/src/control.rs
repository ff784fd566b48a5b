//! A control machine.

use crate::frame::Refused;
use crate::message::Message;
use crate::{ControlId, FollowerId, Head, Micros, PeerId, Position, Record, Rules, StreamId};
use std::rc::Rc;

/// Who a connection is with, as the host knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Who {
    /// A control machine that we dialled.
    Control(ControlId),
    /// Somebody who dialled us. What it is, its first message says.
    Accepted,
}

/// What the host is to do, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Open a connection to another control machine. If it fails, nothing need be said: it is asked for again.
    Dial(ControlId),
    /// Send. Batches to several followers are the same `Rc`: encode it once.
    Send(PeerId, Rc<Message>),
    /// Write these down, so that they last (append, then fdatasync), before any output that follows is done. Only
    /// stores say so.
    Persist(Vec<Record>),
    /// Say why, as [`frame::refusal`](crate::frame::refusal), and close. No [`Control::down`] need follow.
    Close(PeerId, Refused),
}

/// Figures for logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shown {
    /// What is held, and what of it a majority of the stores is known to hold.
    pub held: Position,
    /// See [`Shown::held`].
    pub committed: Position,
    /// Everything acknowledged before this instant is held; none if no majority was heard since the start.
    pub fresh: Option<Micros>,
    /// Whether this is a store and takes submissions.
    pub takes: bool,
    /// Connections: other control machines, followers whose primary this is, whose secondary, clients, and such
    /// that have not said who they are.
    pub controls: usize,
    /// See [`Shown::controls`].
    pub primaries: usize,
    /// See [`Shown::controls`].
    pub secondaries: usize,
    /// See [`Shown::controls`].
    pub clients: usize,
    /// See [`Shown::controls`].
    pub strangers: usize,
    /// Submissions that wait for a majority.
    pub pending: usize,
    /// Since the start: submissions taken, refused, acknowledged.
    pub taken: u64,
    /// See [`Shown::taken`].
    pub busy: u64,
    /// See [`Shown::taken`].
    pub acknowledged: u64,
    /// Since the start: bytes of frames to followers, marks sent to them, parts of large changes.
    pub bytes: u64,
    /// See [`Shown::bytes`].
    pub marks: u64,
    /// See [`Shown::bytes`].
    pub parts: u64,
    /// Since the start: followers closed for silence, refused for room, and whose history differed.
    pub silent: u64,
    /// See [`Shown::silent`].
    pub room: u64,
    /// See [`Shown::silent`].
    pub differs: u64,
    /// Streams of which another control machine sent what does not fit here. It wants an operator.
    pub conflicts: Vec<StreamId>,
    /// Changes that a follower could not put in force, and how many named each; the latest ones.
    pub refused: Vec<(StreamId, u64, u32)>,
}

/// See the file's comment.
#[derive(Clone, Debug)]
pub struct Control {
    rules: Rules,
    me: ControlId,
}

impl Control {
    /// One that begins. `roster` names the followers that there are; `restored` is what it had written down, in
    /// order. It fails on rules or records that do not fit.
    pub fn new(
        now: Micros,
        rules: Rules,
        me: ControlId,
        roster: Vec<FollowerId>,
        restored: Vec<Record>,
    ) -> Result<Self, &'static str> {
        rules.check()?;
        let _ = (now, roster, restored);
        Ok(Control { rules, me })
    }

    /// A connection is up.
    pub fn up(&mut self, now: Micros, peer: PeerId, who: Who, out: &mut Vec<Output>) {
        let _ = (now, peer, who, out, &self.rules, self.me);
    }

    /// A connection is gone.
    pub fn down(&mut self, now: Micros, peer: PeerId, out: &mut Vec<Output>) {
        let _ = (now, peer, out);
    }

    /// A message came. On an error the host says why and closes; no [`Control::down`] need follow.
    pub fn message(
        &mut self,
        now: Micros,
        peer: PeerId,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Result<(), Refused> {
        let _ = (now, peer, message, out);
        Ok(())
    }

    /// Time passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        let _ = (now, out);
    }

    /// When [`Control::tick`] is due.
    pub fn next(&self) -> Micros {
        Micros::MAX
    }

    /// The list of followers has changed.
    pub fn roster(&mut self, roster: Vec<FollowerId>) {
        let _ = roster;
    }

    /// Who it is.
    pub fn id(&self) -> ControlId {
        self.me
    }

    /// What is held, as records: what a store's file need hold, for a host that writes it anew.
    pub fn records(&self) -> Vec<Record> {
        Vec::new()
    }

    /// How far a stream is held.
    pub fn head(&self, stream: StreamId) -> Head {
        let _ = stream;
        Head::default()
    }

    /// Figures for logs.
    pub fn shown(&self, now: Micros) -> Shown {
        let _ = now;
        Shown::default()
    }
}
