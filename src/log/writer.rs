//! The one writer of standard error. Whoever has something for it hands it over and goes on: a thread of its
//! own does the writing, so that a reader who does not read stalls nobody, and whole pieces are written one
//! after the other, so that none tears another. What is held is bounded; lines beyond that are lost, counted,
//! and told of.
//!
//! For lines and batches of lines. It is no way to write a file: errors are ignored, since there is nobody
//! left to tell them to.

use async_channel::Sender;
use std::collections::VecDeque;
use std::io::{self, ErrorKind, Write};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

/// Bytes of lines that may wait.
const MAX_PENDING: usize = 64 * 1024;
/// A target that says "not now" is asked again after this.
const RETRY_DELAY: Duration = Duration::from_millis(10);
/// Enough for the thread's few frames.
const STACK_BYTES: usize = 128 * 1024;

/// What waits to be written, and whom to tell that it is.
struct Piece {
    bytes: Vec<u8>,
    written: Option<Sender<()>>,
}

#[derive(Default)]
struct State {
    pieces: VecDeque<Piece>,
    /// Bytes of the lines among them. A batch waits by leave of who handed it over.
    held: usize,
    /// Lines lost and not told of.
    lost: u64,
    /// The thread is at it.
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
    /// Held for a few instructions and never over a write, so that waiting for it is no blocking. Nothing
    /// that is done under it can leave the state half changed.
    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A handle to the writer; all clones are the same one.
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
    /// Starts the thread that writes to `to`; `lost` makes the line that tells of so many lost ones.
    pub fn start(
        to: impl Write + Send + 'static,
        lost: impl Fn(u64) -> Vec<u8> + Send + 'static,
    ) -> io::Result<Writer> {
        let shared = Arc::new(Shared::default());
        let worker_shared = shared.clone();
        let thread = thread::Builder::new().name("stderr".into()).stack_size(STACK_BYTES);
        // It ends with `finish` or with the process.
        thread.spawn(move || run(&worker_shared, to, lost))?;
        Ok(Writer { shared })
    }

    /// Hands over a whole line; it is counted as lost where no more may wait.
    pub fn push(&self, line: Vec<u8>) {
        self.enqueue(Piece { bytes: line, written: None });
    }

    /// Writes a batch of whole lines behind what waits, and comes back once it is out. Whoever gives up
    /// waiting leaves the batch to be written all the same, so it is for one batch at a time.
    pub async fn write(&self, bytes: Vec<u8>) {
        let (written, completion) = async_channel::bounded(1);
        self.enqueue(Piece { bytes, written: Some(written) });
        // An end without a word: it is dropped, since nothing is taken any more.
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

    /// Takes no more, and waits this long at the most for what is still to be written; whether all of it was.
    /// It blocks its thread, so it is for the end of the program.
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
        // They were lost because all of these waited.
        if n > 0 {
            write_whole(&mut to, &lost(n));
        }
        state = shared.lock();
        state.writing = false;
    }
}

/// Writes all of it, whoever else has made the target one that does not wait. A closed one gets nothing.
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
