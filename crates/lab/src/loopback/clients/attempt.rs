//! Sends one try when it is due and waits for its answer or its timeout.

use super::pool::Pool;
use super::{ClientEvent, ScheduledTry, TryOutcome};
use crate::loopback::clock::Clock;
use crate::loopback::socket::wire;
use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::{future, AsyncReadExt, AsyncWriteExt};
use martenweir::codec::resp::{self, Reply};
use std::cell::RefCell;
use std::io;
use std::net::{SocketAddr, TcpStream};
use world::facts::Final;
use world::Micros;

/// If a reused connection ends this soon after a command was written, before a byte of an answer, the proxy
/// closed it as idle while the command was on its way. The protocol has the client send it again on a new
/// connection.
const CROSSED_CLOSE_WINDOW: Micros = 20_000;
/// Longest answer: a value with its framing.
const MAX_ANSWER_BYTES: usize = resp::MAX_VALUE + 4096;

#[derive(Debug)]
pub(super) struct TrySender {
    proxies: Vec<SocketAddr>,
    pools: Vec<RefCell<Pool>>,
    clock: Clock,
    events: Sender<ClientEvent>,
}

/// Why an exchange on a connection gave no answer.
enum ExchangeError {
    /// The connection failed before the whole command was written.
    Unsent,
    /// The connection failed after that; tells whether a byte of an answer had come.
    Unanswered { answer_started: bool },
}

impl TrySender {
    pub fn new(proxies: Vec<SocketAddr>, clock: Clock, events: Sender<ClientEvent>) -> Self {
        let pools = proxies.iter().map(|_| RefCell::default()).collect();
        TrySender { proxies, pools, clock, events }
    }

    pub async fn run(&self, scheduled_try: ScheduledTry) {
        Timer::at(self.clock.instant(scheduled_try.due)).await;
        let exchange = async {
            let outcome = self.send_until_answered(&scheduled_try).await;
            (self.clock.now(), outcome)
        };
        let timeout = async {
            Timer::at(self.clock.instant(scheduled_try.closes)).await;
            (self.clock.now(), TryOutcome::TimedOut)
        };
        // Ending the try drops its connection.
        let (at, outcome) = future::or(exchange, timeout).await;
        let _ = self.events.send(ClientEvent::Ended { of: scheduled_try.of, at, outcome }).await;
    }

    async fn send_until_answered(&self, scheduled_try: &ScheduledTry) -> TryOutcome {
        let index = scheduled_try.proxy.0 as usize;
        let (Some(pool), Some(address)) = (self.pools.get(index), self.proxies.get(index)) else {
            return TryOutcome::Unreached;
        };
        let mut crossed = false;
        loop {
            let pooled = if crossed { None } else { pool.borrow_mut().take() };
            let fresh = pooled.is_none();
            let socket = match pooled {
                Some(socket) => socket,
                None => match Async::<TcpStream>::connect(*address).await {
                    Ok(socket) => socket,
                    Err(e) => {
                        if !is_peer_failure(e.kind()) {
                            let _ = self.events.send(ClientEvent::LocalFailure(e.kind())).await;
                        }
                        return TryOutcome::Unreached;
                    }
                },
            };
            let _ = socket.get_ref().set_nodelay(true);
            let sent = self.clock.now();
            // A try that is sent again is late because of the proxy, not of this machine.
            let due = if crossed { sent } else { scheduled_try.due };
            match self.exchange(&socket, scheduled_try, due).await {
                Ok(reply) => {
                    let reusable = !matches!(reply, None | Some(Reply::Simple(_)));
                    let outcome = reply.map_or(TryOutcome::Answered(Final::Failed, None), |r| {
                        parse_reply(r, &scheduled_try.key)
                    });
                    if reusable {
                        pool.borrow_mut().put(socket);
                    }
                    return outcome;
                }
                // The pooled connection was closed before the command was written, so the proxy never
                // received it.
                Err(ExchangeError::Unsent) if !fresh => {}
                Err(ExchangeError::Unsent) => return TryOutcome::Unreached,
                Err(ExchangeError::Unanswered { answer_started: false })
                    if !fresh && self.clock.now() - sent <= CROSSED_CLOSE_WINDOW =>
                {
                    crossed = true;
                    let _ = self
                        .events
                        .send(ClientEvent::Crossed { of: scheduled_try.of, at: self.clock.now() })
                        .await;
                }
                Err(ExchangeError::Unanswered { .. }) => return TryOutcome::Dropped,
            }
        }
    }

    /// Writes the command and reads the answer; `None` if the answer is malformed.
    async fn exchange(
        &self,
        socket: &Async<TcpStream>,
        scheduled_try: &ScheduledTry,
        due: Micros,
    ) -> Result<Option<Reply>, ExchangeError> {
        let mut stream = socket;
        stream.write_all(&scheduled_try.command).await.map_err(|_| ExchangeError::Unsent)?;
        let at = self.clock.now();
        let _ = self.events.send(ClientEvent::Sent { of: scheduled_try.of, at, late: at - due }).await;
        let (mut input, mut bytes) = (Vec::new(), [0; 4096]);
        loop {
            match stream.read(&mut bytes).await {
                Ok(n) if n > 0 => input.extend_from_slice(&bytes[..n]),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                _ => return Err(ExchangeError::Unanswered { answer_started: !input.is_empty() }),
            }
            match resp::reply(&input) {
                Ok(Some((reply, taken))) if taken == input.len() => return Ok(Some(reply)),
                Ok(None) if input.len() <= MAX_ANSWER_BYTES => {}
                _ => return Ok(None),
            }
        }
    }
}

/// Whether a connection attempt failed because of the peer and not for lack of local descriptors or ports.
fn is_peer_failure(kind: io::ErrorKind) -> bool {
    use io::ErrorKind::{ConnectionAborted, ConnectionRefused, ConnectionReset, TimedOut};
    matches!(kind, ConnectionRefused | ConnectionReset | ConnectionAborted | TimedOut)
}

/// Reads an answer as the protocol defines it: a value, or an array that begins with one; `-BUSY` or `-BUSY
/// MS`; or an error.
fn parse_reply(reply: Reply, key: &str) -> TryOutcome {
    let value = match reply {
        Reply::Bulk(value) => value,
        Reply::Array(items) => items.into_iter().next().flatten(),
        Reply::Error(text) => {
            let text = String::from_utf8_lossy(&text);
            let mut words = text.split(' ');
            if words.next() != Some("BUSY") {
                return TryOutcome::Answered(Final::Failed, None);
            }
            let retry_after =
                words.next().and_then(|ms| ms.parse::<f64>().ok()).filter(|ms| (0.0..1e9).contains(ms));
            return TryOutcome::Answered(Final::Refused, retry_after.map(|ms| (ms * 1e3) as Micros));
        }
        Reply::Simple(_) => None,
    };
    let Some(value) = value else { return TryOutcome::Answered(Final::Failed, None) };
    let made = wire::made_for(&value).filter(|(of, _)| *of == key.as_bytes());
    TryOutcome::Answered(Final::Served { made_for: made.map(|(_, of)| of) }, None)
}

#[cfg(test)]
mod tests;
