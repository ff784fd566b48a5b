//! Accounting of the memory held for connections: how many bytes of each kind there are now, and how many
//! there were at most. It decides nothing; the budgets that bound these bytes are in this folder too.

use std::cell::Cell;
use std::rc::Rc;

/// What bytes are held for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeldKind {
    /// Received from clients and not taken as commands.
    Input,
    /// Commands of clients that are not answered.
    Commands,
    /// Answers that wait for the answer ahead of them on their connection.
    WaitingAnswers,
    /// Output that clients have not read.
    UnreadOutput,
    /// Replies of nodes that are still arriving.
    Replies,
}

impl HeldKind {
    pub const ALL: [HeldKind; 5] = [
        HeldKind::Input,
        HeldKind::Commands,
        HeldKind::WaitingAnswers,
        HeldKind::UnreadOutput,
        HeldKind::Replies,
    ];
}

/// Bytes of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldBytes([usize; HeldKind::ALL.len()]);

impl HeldBytes {
    pub fn of(&self, kind: HeldKind) -> usize {
        self.0[kind as usize]
    }

    #[must_use]
    pub fn with(mut self, kind: HeldKind, bytes: usize) -> Self {
        self.0[kind as usize] = bytes;
        self
    }

    pub fn total(&self) -> usize {
        self.0.iter().sum()
    }
}

/// The bytes held for all connections.
#[derive(Debug, Default)]
pub struct HeldMemory {
    now: Cell<HeldBytes>,
    /// What was held when the total was at its highest since [`HeldMemory::take_peak`].
    peak: Cell<HeldBytes>,
}

impl HeldMemory {
    pub fn now(&self) -> HeldBytes {
        self.now.get()
    }

    /// What was held when the total was at its highest since the last call.
    pub fn take_peak(&self) -> HeldBytes {
        self.peak.replace(self.now.get())
    }

    fn change(&self, from: HeldBytes, to: HeldBytes) {
        let mut now = self.now.get();
        for ((now, from), to) in now.0.iter_mut().zip(from.0).zip(to.0) {
            *now = *now - from + to;
        }
        self.now.set(now);
        if now.total() > self.peak.get().total() {
            self.peak.set(now);
        }
    }
}

/// The part of [`HeldMemory`] that belongs to one connection; it ends with this value.
#[derive(Debug)]
pub struct HeldShare {
    memory: Rc<HeldMemory>,
    bytes: HeldBytes,
}

impl HeldShare {
    pub fn new(memory: Rc<HeldMemory>) -> Self {
        HeldShare { memory, bytes: HeldBytes::default() }
    }

    pub fn set(&mut self, bytes: HeldBytes) {
        self.memory.change(self.bytes, bytes);
        self.bytes = bytes;
    }
}

impl Drop for HeldShare {
    fn drop(&mut self) {
        self.set(HeldBytes::default());
    }
}

#[cfg(test)]
mod tests;
