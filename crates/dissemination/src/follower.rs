//! A proxy's side.

use crate::change::{Kept, Piece, Position};
use crate::frame::Refused;
use crate::message::Message;
use crate::{ControlId, FollowerId, Micros, Rules, StreamId};

/// What the host is to do, in order.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Output {
    /// Open a connection to a control machine. [`Follower::down`] says that it failed.
    Dial(ControlId),
    /// Send.
    Send(ControlId, Message),
    /// Say why, as [`frame::refusal`](crate::frame::refusal), and close, also one that is only being opened. No
    /// [`Follower::down`] need follow.
    Close(ControlId, Refused),
    /// Apply this: changes in order, or a mark: whatever is held of the topic from before now is stale.
    Apply(Piece),
    /// What is held of a stream is not what was said by the stores. Of a set's topic, whatever is held from before
    /// now is stale; of a register, the stream's values are void. All of it comes anew.
    Stale(StreamId),
    /// The lease has run out: serve nothing that a change could have touched.
    OutOfService,
    /// Everything acknowledged until lately is held again.
    InService,
}

/// Figures for logs.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Shown {
    /// Who pushes changes, and who stands by; whether each is up.
    pub primary: Option<(ControlId, bool)>,
    /// See [`Shown::primary`].
    pub secondary: Option<(ControlId, bool)>,
    /// Age of the instant as of which everything acknowledged is held.
    pub age: Option<Micros>,
    /// Since the start: changes applied, marks, changes asked for from the secondary, promotions of it, pieces that
    /// did not fit, streams begun anew.
    pub applied: u64,
    /// See [`Shown::applied`].
    pub marks: u64,
    /// See [`Shown::applied`].
    pub pulls: u64,
    /// See [`Shown::applied`].
    pub promotions: u64,
    /// See [`Shown::applied`].
    pub misfits: u64,
    /// See [`Shown::applied`].
    pub stale: u64,
    /// Since the start: bytes of frames that came, and that went.
    pub bytes_in: u64,
    /// See [`Shown::bytes_in`].
    pub bytes_out: u64,
}

/// See the file's comment.
#[derive(Clone, Debug)]
pub struct Follower {
    rules: Rules,
    position: Position,
}

impl Follower {
    /// One that begins. `order` is as [`order::order`](crate::order::order) gives it; `life` differs from one start
    /// to the next.
    pub fn new(
        now: Micros,
        rules: Rules,
        me: FollowerId,
        order: Vec<ControlId>,
        kept: Option<Kept>,
        life: u64,
    ) -> Result<Self, &'static str> {
        rules.check()?;
        let _ = (now, me, order, kept, life);
        Ok(Follower { rules, position: Position::default() })
    }

    /// A connection that was asked for is up.
    pub fn up(&mut self, now: Micros, control: ControlId, out: &mut Vec<Output>) {
        let _ = (now, control, out, &self.rules);
    }

    /// A connection is gone, or could not be opened.
    pub fn down(&mut self, now: Micros, control: ControlId, out: &mut Vec<Output>) {
        let _ = (now, control, out);
    }

    /// A message came. On an error the host says why and closes; no [`Follower::down`] need follow.
    pub fn message(
        &mut self,
        now: Micros,
        control: ControlId,
        message: &Message,
        out: &mut Vec<Output>,
    ) -> Result<(), Refused> {
        let _ = (now, control, message, out);
        Ok(())
    }

    /// The host could not put a change in force. It counts as applied, and control machines are told.
    pub fn refused(&mut self, stream: StreamId, number: u64) {
        let _ = (stream, number);
    }

    /// Time passed.
    pub fn tick(&mut self, now: Micros, out: &mut Vec<Output>) {
        let _ = (now, out);
    }

    /// When [`Follower::tick`] is due.
    pub fn next(&self) -> Micros {
        Micros::MAX
    }

    /// Whether it may serve: everything acknowledged a lease ago is applied.
    pub fn in_service(&self, now: Micros) -> bool {
        let _ = now;
        false
    }

    /// What is applied.
    pub fn position(&self) -> &Position {
        &self.position
    }

    /// Everything acknowledged before this instant is applied.
    pub fn fresh(&self) -> Option<Micros> {
        None
    }

    /// What it holds, for its next start.
    pub fn kept(&self) -> Kept {
        Kept::default()
    }

    /// Figures for logs.
    pub fn shown(&self, now: Micros) -> Shown {
        let _ = now;
        Shown::default()
    }
}
