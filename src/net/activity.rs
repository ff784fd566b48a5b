//! The activity of downstreams as their tasks share it with the owner: written by the task of a connection,
//! read by the owner, who is woken for it only when that matters.

use super::{EventSender, NetEvent};
use crate::admission::{Activity, Priority, WaitingFor};
use crate::core::DownstreamId;
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// The number of bytes held from which on the owner is woken for every change.
const LARGE_HOLDING: usize = 16 * 1024;

/// What the input of a downstream waits for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum InputWait {
    /// More bytes of the client: its next command, or the rest of one.
    #[default]
    Bytes,
    /// Room of a memory budget, for the command or for its answer.
    Room,
    /// The turn of its connection.
    Turn,
    /// The answers ahead of its command.
    Answer,
}

impl InputWait {
    /// All of them, in the order of their discriminants.
    pub const ALL: [InputWait; 4] = [InputWait::Bytes, InputWait::Room, InputWait::Turn, InputWait::Answer];

    /// The name in the log.
    pub fn name(self) -> &'static str {
        match self {
            InputWait::Bytes => "bytes",
            InputWait::Room => "room",
            InputWait::Turn => "turn",
            InputWait::Answer => "answer",
        }
    }
}

/// The input of a downstream, as the log shows it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct InputState {
    pub wait: InputWait,
    /// Bytes that have arrived and are not taken as commands.
    pub held: usize,
    /// At least how many bytes the first command lacks.
    pub missing: usize,
}

/// Downstreams whose activity has changed since the owner last looked, each listed once.
#[derive(Debug)]
pub struct ChangedDownstreams {
    ids: RefCell<Vec<DownstreamId>>,
    /// Whether the owner wants to be woken for every change.
    eager: Cell<bool>,
    /// Whether the owner has been woken and has not looked yet.
    woken: Cell<bool>,
    queue: EventSender,
}

impl ChangedDownstreams {
    pub fn new(queue: EventSender) -> Self {
        ChangedDownstreams {
            ids: RefCell::default(),
            eager: Cell::new(false),
            woken: Cell::new(false),
            queue,
        }
    }

    /// Takes the changed downstreams. While `eager` is set, the next change wakes the owner.
    pub fn take(&self, eager: bool) -> Vec<DownstreamId> {
        self.eager.set(eager);
        self.woken.set(false);
        self.ids.take()
    }

    /// Unless `eager` is set or much is held, the owner looks when it has something else to do. If its queue
    /// is full it will run anyway.
    fn wake(&self, bytes: usize) {
        if (self.eager.get() || bytes >= LARGE_HOLDING) && !self.woken.replace(true) {
            let _ = self.queue.try_send(NetEvent::DownstreamsChanged);
        }
    }
}

/// The activity of a downstream, written by its task and read by the owner.
#[derive(Debug)]
pub struct SharedActivity {
    id: DownstreamId,
    activity: Cell<Activity>,
    /// Not a part of the activity: the owner need not be woken for it.
    input: Cell<InputState>,
    /// Whether it is listed among the changed downstreams.
    reported: Cell<bool>,
    changed: Rc<ChangedDownstreams>,
    /// Whether reading is paused.
    paused: Cell<bool>,
    /// Whether a [`super::downstream::TaskMessage::Refresh`] is on its way to the task.
    refresh_pending: Cell<bool>,
}

impl SharedActivity {
    /// `waiting_for` is what the downstream has to send first.
    pub fn new(id: DownstreamId, waiting_for: WaitingFor, changed: Rc<ChangedDownstreams>) -> Self {
        let activity = Cell::new(Activity { waiting_for, ..Activity::default() });
        SharedActivity {
            id,
            activity,
            input: Cell::default(),
            changed,
            reported: Cell::default(),
            paused: Cell::default(),
            refresh_pending: Cell::default(),
        }
    }

    /// Returns the activity to the owner and marks it as seen.
    pub fn snapshot(&self) -> Activity {
        self.reported.set(false);
        self.activity.get()
    }

    pub fn waiting_for(&self) -> WaitingFor {
        self.activity.get().waiting_for
    }

    /// What its input waits for.
    pub fn input(&self) -> InputState {
        self.input.get()
    }

    pub(super) fn set_input(&self, input: InputState) {
        self.input.set(input);
    }

    /// At least how many bytes its command lacks.
    pub fn missing_bytes(&self) -> usize {
        self.activity.get().missing_bytes
    }

    /// The place of the downstream among others that wait for what is scarce.
    pub(super) fn priority(&self) -> Priority {
        self.activity.get().priority()
    }

    pub(crate) fn set_waiting_for(&self, waiting_for: WaitingFor) {
        self.update(|activity| activity.waiting_for = waiting_for);
    }

    pub(crate) fn update(&self, change: impl FnOnce(&mut Activity)) {
        let mut activity = self.activity.get();
        change(&mut activity);
        if self.activity.replace(activity) != activity {
            if !self.reported.replace(true) {
                self.changed.ids.borrow_mut().push(self.id);
            }
            self.changed.wake(activity.held_bytes);
        }
    }

    pub(super) fn step(&self) {
        self.update(|activity| activity.steps += 1);
    }

    /// Pauses or resumes reading. If this returns true, the caller has to send [`super::downstream::TaskMessage::Refresh`]; at
    /// most one is on its way.
    pub fn pause(&self, paused: bool) -> bool {
        self.paused.set(paused);
        !self.refresh_pending.replace(true)
    }

    /// Whether reading is paused.
    pub fn is_paused(&self) -> bool {
        self.paused.get()
    }

    /// Marks the [`super::downstream::TaskMessage::Refresh`] as received.
    pub(crate) fn refreshed(&self) {
        self.refresh_pending.set(false);
    }
}
