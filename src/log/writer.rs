//! The only writer of standard error. Callers queue their data and continue; a separate thread writes it, so
//! that a reader that has stopped reading blocks no caller. Queued pieces are written whole and one after the
//! other, so they never interleave. The queue is bounded: lines beyond the bound are dropped, counted and
//! reported.
//!
//! For lines and batches of lines only, not for files: write errors are ignored, since there is nowhere left
//! to report them.

use async_channel::Sender;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Maximum number of bytes of queued lines.
const MAX_PENDING: usize = 64 * 1024;
/// Delay before a write is retried after `WouldBlock`.
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// Stack size of the writer thread, which has a shallow call stack.
const STACK_BYTES: usize = 128 * 1024;

/// A queued piece of output, and the channel that is notified once it has been written.
struct Piece {
    bytes: Vec<u8>,
    written: Option<Sender<()>>,
}

#[derive(Default)]
struct State {
    pieces: VecDeque<Piece>,
    /// Bytes of the queued lines. Batches are not counted: their callers wait for the write and hold only one
    /// at a time.
    held: usize,
    /// Number of lost lines that have not been reported yet.
    lost: u64,
    /// Whether the writer thread is writing.
    writing: bool,
    closed: bool,
}

impl State {
    fn idle(&self) -> bool {
        self.pieces.is_empty() && self.lost == 0 && !self.writing
    }
}

#[derive(Default)]
struct Shared {
    state: Mutex<State>,
    work_available: Condvar,
    idle: Condvar,
}

impl Shared {
    /// The lock is held for a few instructions only and never during a write, so waiting for it does not
    /// block in practice. No operation under the lock can leave the state inconsistent, so a poisoned lock
    /// is still usable.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A handle to the writer; all clones share the same queue.
#[derive(Clone)]
pub struct Writer {
    shared: Arc<Shared>,
}

impl std::fmt::Debug for Writer {
    fn fmt(&self, f: &mut std::fmt::Formatter) -> std::fmt::Result {
        let state = self.shared.lock();
        f.debug_struct("Writer").field("held", &state.held).field("lost", &state.lost).finish_non_exhaustive()
    }
}

impl Writer {
    /// Starts the thread that writes to `to`. `lost` formats the line that reports the given number of lost
    /// lines.
    pub fn start(
        to: impl Write + Send + 'static,
        lost: impl Fn(u64) -> Vec<u8> + Send + 'static,
    ) -> io::Result<Writer> {
        let shared = Arc::new(Shared::default());
        let worker_shared = shared.clone();
        let thread = thread::Builder::new().name("stderr".into()).stack_size(STACK_BYTES);
        // The thread ends after `finish`, or with the process.
        thread.spawn(move || run(&worker_shared, to, lost))?;
        Ok(Writer { shared })
    }

    /// Queues a complete line, or counts it as lost if the queue is full.
    pub fn push(&self, line: Vec<u8>) {
        self.enqueue(Piece { bytes: line, written: None });
    }

    /// Writes a batch of complete lines after what is already queued and returns once it has been written. If
    /// the caller is cancelled, the batch is written nevertheless, so a caller must not have more than one
    /// batch in flight.
    pub async fn write(&self, bytes: Vec<u8>) {
        let (written, completion) = async_channel::bounded(1);
        self.enqueue(Piece { bytes, written: Some(written) });
        // An error means that the writer has been closed and the batch was dropped.
        let _ = completion.recv().await;
    }

    fn enqueue(&self, piece: Piece) {
        let mut state = self.shared.lock();
        if state.closed {
            return;
        }
        if piece.written.is_none() {
            if state.held + piece.bytes.len() > MAX_PENDING {
                state.lost += 1;
                return;
            }
            state.held += piece.bytes.len();
        }
        state.pieces.push_back(piece);
        drop(state);
        self.shared.work_available.notify_one();
    }

    /// Closes the queue and waits up to `timeout` for the rest to be written; returns whether everything was.
    /// It blocks its thread and is meant for the end of the program.
    pub fn finish(&self, timeout: Duration) -> bool {
        let mut state = self.shared.lock();
        state.closed = true;
        self.shared.work_available.notify_one();
        let waited = self.shared.idle.wait_timeout_while(state, timeout, |state| !state.idle());
        let (state, _) = waited.unwrap_or_else(PoisonError::into_inner);
        state.idle()
    }
}

fn run(shared: &Shared, mut to: impl Write, lost: impl Fn(u64) -> Vec<u8>) {
    let mut state = shared.lock();
    loop {
        while state.idle() {
            shared.idle.notify_all();
            if state.closed {
                return;
            }
            state = shared.work_available.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        let pieces = std::mem::take(&mut state.pieces);
        let n = std::mem::take(&mut state.lost);
        (state.held, state.writing) = (0, true);
        drop(state);
        for piece in pieces {
            write_whole(&mut to, &piece.bytes);
            if let Some(written) = piece.written {
                let _ = written.try_send(());
            }
        }
        // Reported after these pieces, because they filled the queue when the lines were lost.
        if n > 0 {
            write_whole(&mut to, &lost(n));
        }
        state = shared.lock();
        state.writing = false;
    }
}

/// Writes all bytes, also if another process has set the target to non-blocking mode. Stops on other errors,
/// such as a closed target.
fn write_whole(to: &mut impl Write, mut bytes: &[u8]) {
    while !bytes.is_empty() {
        match to.write(bytes) {
            Ok(0) => return,
            Ok(n) => bytes = &bytes[n..],
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) if e.kind() == ErrorKind::WouldBlock => thread::sleep(RETRY_DELAY),
            Err(_) => return,
        }
    }
}
