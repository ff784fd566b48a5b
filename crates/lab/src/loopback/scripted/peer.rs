//! One end of a scripted connection, and a listener that accepts such connections.

use super::{Surprise, PATIENCE};
use crate::loopback::socket::wire::{self, Command, Dialect};
use martenweir::codec::resp::{self, Reply};
use socket2::SockRef;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// Stands in for a cache node, the origin or discovery.
#[derive(Debug)]
pub struct Listener {
    listener: TcpListener,
    address: SocketAddr,
    dialect: Dialect,
}

fn failed(what: &str) -> impl Fn(io::Error) -> Surprise + '_ {
    move |source| Surprise::Io { what: what.to_owned(), source }
}

impl Listener {
    /// Listens as a cache node.
    pub fn cache() -> Result<Self, Surprise> {
        Listener::new(Dialect::Cache)
    }

    pub fn ledger() -> Result<Self, Surprise> {
        Listener::new(Dialect::Origin)
    }

    pub fn discovery() -> Result<Self, Surprise> {
        Listener::new(Dialect::Discovery)
    }

    fn new(dialect: Dialect) -> Result<Self, Surprise> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(failed("cannot open a port"))?;
        listener.set_nonblocking(true).map_err(failed("cannot open a port"))?;
        let address = listener.local_addr().map_err(failed("cannot open a port"))?;
        Ok(Listener { listener, address, dialect })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts the next connection.
    pub fn accept(&self) -> Result<Peer, Surprise> {
        let until = Instant::now() + PATIENCE;
        loop {
            match self.listener.accept() {
                Ok((stream, _)) => return Peer::new(stream, self.dialect),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(failed("cannot accept a connection")(e)),
            }
            if Instant::now() >= until {
                return Err(Surprise::Nothing { wanted: format!("a connection to {}", self.address) });
            }
            std::thread::sleep(Duration::from_millis(1));
        }
    }

    /// Accepts a connection and returns its first keyed command. Skips probes, and connections that end
    /// without a command, because a proxy opens those at any time. Answers each probe with `load`
    /// (`util=0.1,eps=0`).
    pub fn accept_asked(&self, load: &str) -> Result<(Peer, Asked), Surprise> {
        loop {
            let mut peer = self.accept()?;
            loop {
                match peer.expect_command() {
                    Ok(Command::Load | Command::Ping) => peer.load(load)?,
                    Ok(command) => {
                        let asked = Asked::of(command)?;
                        return Ok((peer, asked));
                    }
                    Err(Surprise::Closed { .. }) => break,
                    Err(other) => return Err(other),
                }
            }
        }
    }
}

/// A received read or write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asked {
    pub key: String,
    pub id: String,
    pub properties: String,
    /// The value of a write.
    pub value: Option<Vec<u8>>,
}

impl Asked {
    fn of(command: Command) -> Result<Self, Surprise> {
        let text = |bytes: Vec<u8>| String::from_utf8_lossy(&bytes).into_owned();
        match command {
            Command::Keyed { key, id, properties, value } => {
                Ok(Asked { key: text(key), id: text(id), properties: text(properties), value })
            }
            other => Err(Surprise::Other { wanted: "a read or a write".into(), got: format!("{other:?}") }),
        }
    }
}

/// One end of a connection. Dropping it closes the connection.
#[derive(Debug)]
pub struct Peer {
    stream: TcpStream,
    dialect: Dialect,
    input: Vec<u8>,
}

impl Peer {
    /// Connects as a client.
    pub fn connect(address: SocketAddr) -> Result<Self, Surprise> {
        let stream = TcpStream::connect_timeout(&address, PATIENCE);
        Peer::new(stream.map_err(failed("cannot open a connection"))?, Dialect::Cache)
    }

    /// A connection accepted from a client by a stand-in for a proxy.
    pub(super) fn accepted(stream: TcpStream) -> Result<Self, Surprise> {
        Peer::new(stream, Dialect::Cache)
    }

    fn new(stream: TcpStream, dialect: Dialect) -> Result<Self, Surprise> {
        let set = |stream: &TcpStream| {
            stream.set_nonblocking(false)?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(PATIENCE))?;
            stream.set_write_timeout(Some(PATIENCE))
        };
        set(&stream).map_err(failed("cannot open a connection"))?;
        Ok(Peer { stream, dialect, input: Vec::new() })
    }

    // ---- receiving

    /// Reads more bytes.
    fn read(&mut self, wanted: &str) -> Result<(), Surprise> {
        let mut bytes = [0; 4096];
        match self.stream.read(&mut bytes) {
            Ok(0) => Err(Surprise::Closed { wanted: wanted.into() }),
            Ok(n) => {
                self.input.extend_from_slice(&bytes[..n]);
                Ok(())
            }
            Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                Err(Surprise::Nothing { wanted: wanted.into() })
            }
            Err(e) if e.kind() == io::ErrorKind::ConnectionReset => {
                Err(Surprise::Closed { wanted: wanted.into() })
            }
            Err(e) => Err(failed(wanted)(e)),
        }
    }

    /// Waits for the next command of any kind.
    pub fn expect_command(&mut self) -> Result<Command, Surprise> {
        loop {
            if !self.input.is_empty() {
                if let Some((command, taken)) = self.dialect.command(&self.input) {
                    self.input.drain(..taken);
                    return Ok(command);
                }
            }
            self.read("a command")?;
        }
    }

    fn expect_asked(&mut self, key: &str, write: bool) -> Result<Asked, Surprise> {
        let asked = Asked::of(self.expect_command()?)?;
        if asked.key != key || asked.value.is_some() != write {
            let kind = if write { "write" } else { "read" };
            return Err(Surprise::Other { wanted: format!("a {kind} of {key}"), got: format!("{asked:?}") });
        }
        Ok(asked)
    }

    pub fn expect_read(&mut self, key: &str) -> Result<Asked, Surprise> {
        self.expect_asked(key, false)
    }

    pub fn expect_write(&mut self, key: &str) -> Result<Asked, Surprise> {
        self.expect_asked(key, true)
    }

    /// Waits for a load probe.
    pub fn expect_probe(&mut self) -> Result<(), Surprise> {
        match self.expect_command()? {
            Command::Load => Ok(()),
            other => Err(Surprise::Other { wanted: "a probe".into(), got: format!("{other:?}") }),
        }
    }

    /// Waits for a watch on discovery's list; returns the revision it starts after, if it names one.
    pub fn expect_watch(&mut self) -> Result<Option<u64>, Surprise> {
        match self.expect_command()? {
            Command::Watch { after } => Ok(after),
            other => Err(Surprise::Other { wanted: "a watch".into(), got: format!("{other:?}") }),
        }
    }

    /// Waits until the other side closes or resets the connection without sending anything more.
    pub fn expect_end(&mut self) -> Result<(), Surprise> {
        let wanted = "the end of the connection";
        while self.input.is_empty() {
            match self.read(wanted) {
                Err(Surprise::Closed { .. }) => return Ok(()),
                other => other?,
            }
        }
        let got = format!("{:?}", String::from_utf8_lossy(&self.input));
        Err(Surprise::Other { wanted: wanted.into(), got })
    }

    /// Reads an answer as a client, in RESP.
    pub fn expect_reply(&mut self) -> Result<Reply, Surprise> {
        loop {
            match resp::reply(&self.input) {
                Ok(Some((reply, taken))) => {
                    self.input.drain(..taken);
                    return Ok(reply);
                }
                Ok(None) => self.read("an answer")?,
                Err(malformed) => {
                    let got = format!("{:?} ({})", String::from_utf8_lossy(&self.input), malformed.0);
                    return Err(Surprise::Other { wanted: "an answer".into(), got });
                }
            }
        }
    }

    /// Reads an answer as a client, which must be a value.
    pub fn expect_value(&mut self) -> Result<Vec<u8>, Surprise> {
        match self.expect_reply()? {
            Reply::Bulk(Some(value)) => Ok(value),
            Reply::Array(items) if matches!(items.first(), Some(Some(_))) => {
                Ok(items.into_iter().next().flatten().unwrap_or_default())
            }
            other => Err(Surprise::Other { wanted: "a value".into(), got: format!("{other:?}") }),
        }
    }

    /// Reads a line, without its CRLF.
    pub fn expect_line(&mut self) -> Result<String, Surprise> {
        loop {
            if let Some(end) = self.input.windows(2).position(|pair| pair == b"\r\n") {
                let line: Vec<u8> = self.input.drain(..end + 2).take(end).collect();
                return Ok(String::from_utf8_lossy(&line).into_owned());
            }
            self.read("a line")?;
        }
    }

    // ---- sending

    pub fn write(&mut self, bytes: &[u8]) -> Result<(), Surprise> {
        self.stream.write_all(bytes).map_err(failed("cannot write"))
    }

    /// Sends a command as a client.
    pub fn send(&mut self, words: &[&str]) -> Result<(), Surprise> {
        let words: Vec<&[u8]> = words.iter().map(|w| w.as_bytes()).collect();
        let mut out = Vec::new();
        resp::put_command(&mut out, &words);
        self.write(&out)
    }

    /// Answers with the value, or acknowledges a write.
    pub fn value(&mut self, value: &[u8]) -> Result<(), Surprise> {
        let mut out = Vec::new();
        match self.dialect {
            Dialect::Cache => wire::put_array(&mut out, [Some(value), Some(b"hit"), None]),
            _ => wire::put_response(&mut out, 200, &[], value),
        }
        self.write(&out)
    }

    /// Answers as a cache node that does not have the key.
    pub fn miss(&mut self) -> Result<(), Surprise> {
        let mut out = Vec::new();
        wire::put_array(&mut out, [None, Some(b"miss"), None]);
        self.write(&out)
    }

    /// Refuses the request; it did not run.
    pub fn busy(&mut self) -> Result<(), Surprise> {
        let mut out = Vec::new();
        match self.dialect {
            Dialect::Cache => resp::put_error(&mut out, "BUSY"),
            _ => wire::put_response(&mut out, 503, &[("X-Never-Ran", "1")], b""),
        }
        self.write(&out)
    }

    /// Answers with an error; the request may have run.
    pub fn error(&mut self) -> Result<(), Surprise> {
        let mut out = Vec::new();
        match self.dialect {
            Dialect::Cache => resp::put_error(&mut out, "ERR failed"),
            _ => wire::put_response(&mut out, 500, &[], b""),
        }
        self.write(&out)
    }

    /// Answers a probe.
    pub fn load(&mut self, report: &str) -> Result<(), Surprise> {
        let mut out = Vec::new();
        match self.dialect {
            Dialect::Cache => resp::put_bulk(&mut out, report.as_bytes()),
            _ => wire::put_response(&mut out, 200, &[("Endpoint-Load-Metrics", report)], b""),
        }
        self.write(&out)
    }

    /// Begins the answer to a watch.
    pub fn begin_watch(&mut self) -> Result<(), Surprise> {
        let mut out = Vec::new();
        wire::put_stream(&mut out);
        self.write(&out)
    }

    /// Sends a line of a watch; an empty one is a heartbeat.
    pub fn tell(&mut self, line: &str) -> Result<(), Surprise> {
        let mut out = Vec::new();
        wire::put_chunk(&mut out, format!("{line}\n").as_bytes());
        self.write(&out)
    }

    /// Resets the connection, as the kernel does when a process dies.
    pub fn reset(self) {
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}
