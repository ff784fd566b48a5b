//! Clients as the protocol page describes them, and what each of their requests came to.

use crate::wire::*;
use crate::world::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// What a request came to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    Answered(Answer),
    /// The proxy ended the connection without an answer.
    Closed(String),
    /// The client waited for half a second beyond its time and longer.
    Never,
    /// The client had closed its connection.
    Left,
}

#[derive(Clone, Debug)]
pub struct Asked {
    pub id: String,
    pub class: &'static str,
    pub write: bool,
    pub patience: Duration,
    /// When its last byte was written, and when nothing was owed ahead of it any more.
    pub sent: Duration,
    pub ended: Duration,
    pub end: End,
}

#[derive(Default)]
pub struct Ledger(pub Mutex<Vec<Asked>>);

static LAST_ID: AtomicU64 = AtomicU64::new(1);

pub fn new_id() -> String {
    // Spread over all digits: ids tell nothing.
    let n = LAST_ID.fetch_add(1, Ordering::Relaxed);
    format!("{:016x}", n.wrapping_mul(0x9e37_79b9_7f4a_7c15))
}

/// A request as a client sends it.
pub struct Request {
    pub id: String,
    pub class: &'static str,
    pub write: bool,
    pub patience: Duration,
    pub bytes: Vec<u8>,
}

pub fn request(key: u64, class: &'static str, write: bool, patience_ms: u64, size: usize) -> Request {
    let id = new_id();
    let key = format!("{:016x}", key.wrapping_mul(0xd6e8_feb8_6659_fd93));
    let mut properties = format!("c={class},t=nordurbanki,d={patience_ms}");
    let bytes = match write {
        true => {
            properties.push_str(&format!(",k=k{id}"));
            put_command(&[
                b"CACHE.SET",
                key.as_bytes(),
                id.as_bytes(),
                properties.as_bytes(),
                &vec![b'x'; size],
            ])
        }
        false => put_command(&[b"CACHE.GET", key.as_bytes(), id.as_bytes(), properties.as_bytes()]),
    };
    Request { id, class, write, patience: Duration::from_millis(patience_ms), bytes }
}

/// How long a client waits beyond its time before it takes an answer for missing.
pub const BEYOND: Duration = Duration::from_millis(1500);

/// A connection of a client.
pub struct Client {
    pub reader: Reader,
    pub journal: Arc<Journal>,
    pub ledger: Arc<Ledger>,
}

impl Client {
    pub fn connect(
        address: SocketAddr,
        journal: &Arc<Journal>,
        ledger: &Arc<Ledger>,
    ) -> std::io::Result<Client> {
        let stream = TcpStream::connect(address)?;
        let _ = stream.set_nodelay(true);
        Ok(Client { reader: Reader::new(stream), journal: journal.clone(), ledger: ledger.clone() })
    }

    /// Sends requests at once, and waits for their answers in order. Returns whether the connection can go on.
    pub fn ask(&mut self, requests: &[Request]) -> bool {
        let bytes: Vec<u8> = requests.iter().flat_map(|r| r.bytes.clone()).collect();
        if self.reader.stream.write_all(&bytes).is_err() {
            // The connection was closed while nothing was owed on it: the client would send these again.
            return false;
        }
        let mut sent = self.journal.now();
        for r in requests {
            self.journal.note(format!(
                "client sent {} id={} class={} d={}",
                if r.write { "SET" } else { "GET" },
                r.id,
                r.class,
                r.patience.as_millis()
            ));
        }
        for (n, r) in requests.iter().enumerate() {
            let _ = self.reader.stream.set_read_timeout(Some(r.patience + BEYOND));
            let answer = self.reader.answer();
            let ended = self.journal.now();
            let end = match answer {
                Ok(answer) => End::Answered(answer),
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
                {
                    End::Never
                }
                Err(e) => End::Closed(e.to_string()),
            };
            self.journal.note(format!("client got id={} {}", r.id, short(&end)));
            let over = !matches!(end, End::Answered(_));
            self.book(r, sent, ended, end.clone());
            if over {
                for r in &requests[n + 1..] {
                    self.book(r, sent, ended, end.clone());
                }
                return false;
            }
            sent = sent.max(ended);
        }
        true
    }

    pub fn book(&self, r: &Request, sent: Duration, ended: Duration, end: End) {
        self.ledger.0.lock().unwrap().push(Asked {
            id: r.id.clone(),
            class: r.class,
            write: r.write,
            patience: r.patience,
            sent,
            ended,
            end,
        });
    }
}

pub fn short(end: &End) -> String {
    match end {
        End::Answered(Answer::Served(value)) => {
            format!("served {:?}", String::from_utf8_lossy(&value[..value.len().min(40)]))
        }
        other => format!("{other:?}"),
    }
}
