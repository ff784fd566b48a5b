//! Steps that name a request or an outcome independently of the protocol, and steps for the memcached
//! protocol alone. In exchanges that are not run with both protocols, clients and nodes use RESP.
//!
//! - `wait MS MS`: the clients' time limits for a read and a write, for the whole exchange; a minute by
//!   default.
//! - `c1 reads KEY`, `c1 writes KEY VALUE TOKEN`, `c1 pings`: a client sends a request.
//! - `c1 is served VALUE`, `c1 has written RECEIPT`, `c1 is alive`: expects a successful response; `is
//!   refused`, `has failed`, `is late`, `finds nothing` expect the other outcomes.
//! - `a1 is read KEY`: expects a read at a node, which then `serves VALUE`, `misses`, `refuses` or `fails`.
//! - `o1 is read KEY`, `o1 is written KEY VALUE`: the same for the origin, which may also answer that it
//!   `lacks` a key. A write's idempotency key must be new, or with `is repeated KEY VALUE` equal to the
//!   previous one.
//! - `k1 sends OPCODE OPAQUE key=K value=V cas=HEX extras=HEX [&& …]`: sends frames in one write; `300*GET`
//!   stands for three hundred of them, with consecutive numbers as the opaque and for `{n}`.
//! - `k1 gets OPCODE OPAQUE STATUS …`: expects a frame; a `#` in a value matches digits, `*` any value.
//! - `a1 is asked OPCODE KEY`, `a1 answers OPCODE OFFSET STATUS value=V`: expects a request at a node that
//!   uses this protocol, and responds with a frame whose opaque differs from the request's by the offset.
//! - `a1 hangs up`: closes, and waits until the program's side of the connection has seen it.
//! - `k1 drowns OPCODE`: sends the request repeatedly without reading, and expects to be closed; `peak KB`:
//!   the program's peak memory is at most this.
//! - `mark`, `passed MS`: asserts that at least this much time has passed since `mark`; a slow machine cannot
//!   fail it.
//! - `secrets LINE`: a line of the file `{dir}/secrets`, readable by its owner only; `j1` is a front at the
//!   memcached port.

use super::{matches, unescape, Runner};
use memcached::{frame, header, Header, Limits, Opcode, Request, Response, Status, Step};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Protocol {
    Resp,
    Memcached,
}

/// The protocols of both sides, and the state of requests in progress.
pub struct Protocols {
    /// Whether the exchange is independent of the protocol.
    protocol_independent: bool,
    pub clients: Protocol,
    pub nodes: Protocol,
    wait: [String; 2],
    request_count: u32,
    mark: Instant,
    /// Token of the pending write of each client connection; 0 for a read.
    write_tokens: BTreeMap<String, u64>,
    /// Opaque of the last request on each node connection.
    request_opaques: BTreeMap<String, u32>,
    /// Idempotency keys that the origin has received, oldest first.
    idempotency_keys: Vec<String>,
}

/// Writes a file that only its owner can read.
pub fn write_private_file(path: &Path, text: &str) {
    let mut options = std::fs::OpenOptions::new();
    let mut file =
        options.write(true).create(true).truncate(true).mode(0o600).open(path).expect("create the file");
    file.write_all(text.as_bytes()).expect("write the file");
}

impl Protocols {
    /// For an exchange whose steps spell out the bytes; both sides use RESP.
    pub fn resp_only() -> Self {
        Protocols { protocol_independent: false, ..Protocols::both(Protocol::Resp, Protocol::Resp) }
    }

    pub fn both(clients: Protocol, nodes: Protocol) -> Self {
        let wait = ["60000".to_owned(), "60000".to_owned()];
        let (write_tokens, request_opaques, idempotency_keys) = Default::default();
        Protocols {
            protocol_independent: true,
            clients,
            nodes,
            wait,
            request_count: 0,
            mark: Instant::now(),
            write_tokens,
            request_opaques,
            idempotency_keys,
        }
    }

    /// Returns the `set` and `feature` lines that select the protocols and time limits.
    pub fn feature_lines(&self, script: &str) -> String {
        let wait = script.lines().find_map(|l| l.strip_prefix("wait ")?.split_once(' '));
        let (read, write) = wait.unwrap_or((&self.wait[0], &self.wait[1]));
        if !self.protocol_independent {
            return String::new();
        }
        // Far above the time of any step, so that a slow step does not cause a second attempt at another
        // node.
        let mut lines = String::from("\n");
        for class in 0..2 {
            lines += &format!("set /settings/classes/{class}/onTimeMs 60000.0\n");
        }
        if self.clients == Protocol::Memcached {
            lines += "feature memcacheport 0\nfeature memcachetenant nordurbanki\n";
            lines += &format!("feature memcachereadwait {read} ms\nfeature memcachewritewait {write} ms\n");
        }
        if self.nodes == Protocol::Memcached {
            lines += "feature memcachenodes kind half-node\n";
        }
        lines
    }
}

impl Runner {
    /// Runs the step if it is one of this module, and returns whether it was.
    pub fn run_protocol_step(&mut self, name: &str, verb: &str, text: &str) -> bool {
        let words: Vec<&str> = text.split(' ').collect();
        let is_node = self.listeners.contains_key(super::peer_name(name)) && super::peer_name(name) != "o";
        match (name, verb, words.as_slice()) {
            ("wait", read, [write]) => self.protocols.wait = [read.to_owned(), (*write).to_owned()],
            (_, "hangs", ["up"]) => {
                let port = self.connection(name).peer_addr().expect("the peer's address").port();
                self.connections.remove(name);
                // The close has arrived once the program's socket is no longer in state 01, ESTABLISHED.
                let open = |l: &str| l.contains(&format!(":{port:04X} ")) && l.contains(" 01 ");
                while std::fs::read_to_string("/proc/net/tcp").expect("read /proc/net/tcp").lines().any(open)
                {
                    std::thread::sleep(Duration::from_millis(2));
                }
            }
            ("mark", ..) => self.protocols.mark = Instant::now(),
            ("passed", ms, _) => {
                let least = Duration::from_millis(ms.parse().expect("a number of ms"));
                assert!(
                    self.protocols.mark.elapsed() >= least,
                    "less than {least:?} has passed since the mark"
                );
            }
            (_, "reads", [key]) => self.send_request(name, key, None),
            (_, "writes", [key, value, token]) => self.send_request(name, key, Some((value, token))),
            (_, "pings", _) => match self.protocols.clients {
                Protocol::Resp => self.run_step(&format!("{name} >> PING")),
                Protocol::Memcached => self.send_requests(name, &[Request::new(Opcode::NOOP)]),
            },
            (_, "is", ["alive"]) => match self.protocols.clients {
                Protocol::Resp => self.run_step(&format!("{name} < +PONG\\r\\n")),
                Protocol::Memcached => self.expect_response(name, Opcode::NOOP, Status::OK, b""),
            },
            (_, "is", ["served", value]) => match self.protocols.clients {
                Protocol::Resp => self.expect_bulk_string(name, value),
                Protocol::Memcached => self.expect_response(name, Opcode::GET, Status::OK, value.as_bytes()),
            },
            (_, "has", ["written", receipt]) => match self.protocols.clients {
                Protocol::Resp => self.expect_bulk_string(name, receipt),
                // The protocol has no place for a receipt.
                Protocol::Memcached => self.expect_response(name, Opcode::SET, Status::OK, b""),
            },
            (_, "is", ["refused"]) => match self.protocols.clients {
                Protocol::Resp => self.run_step(&format!("{name} busy")),
                Protocol::Memcached => self.expect_busy(name),
            },
            (_, "has", ["failed"]) => self.expect_outcome(name, "ERR failed", Status::INTERNAL, "failed"),
            (_, "is", ["late"]) => self.expect_outcome(name, "ERR failed", Status::TEMPORARY, "out of time"),
            (_, "finds", ["nothing"]) => match self.protocols.clients {
                Protocol::Resp => self.run_step(&format!("{name} < $-1\\r\\n")),
                Protocol::Memcached => {
                    self.expect_response(name, Opcode::GET, Status::KEY_NOT_FOUND, b"not found")
                }
            },
            (_, "is", ["asked", opcode, key]) => self.expect_node_request(name, self::opcode(opcode), key),
            (_, "is", ["read", key]) if is_node => self.expect_node_read(name, key),
            (_, "serves", [value]) if is_node => {
                let array = format!("*3\\r\\n${}\\r\\n{value}\\r\\n$-1\\r\\n$-1\\r\\n", value.len());
                self.send_node_response(name, &array, Status::OK, value);
            }
            (_, "misses", _) => {
                self.send_node_response(
                    name,
                    "*3\\r\\n$-1\\r\\n$-1\\r\\n$-1\\r\\n",
                    Status::KEY_NOT_FOUND,
                    "not found",
                );
            }
            (_, "refuses", _) if is_node => {
                self.send_node_response(name, "-BUSY queue full\\r\\n", Status::BUSY, "busy")
            }
            (_, "fails", _) if is_node => {
                self.send_node_response(name, "-ERR failed\\r\\n", Status::INTERNAL, "failed")
            }
            (_, "is", ["read", key]) => {
                let (head, _) = self.read_http_request(name);
                assert!(head.starts_with(&format!("GET /{key} HTTP/1.1\r\n")), "{name}: {head}");
                assert!(head.contains("\r\nX-Props: c=lookup,t=nordurbanki,d="), "{name}: {head}");
            }
            (_, "is", [how @ ("written" | "repeated"), key, value]) => {
                let (head, body) = self.read_http_request(name);
                assert!(head.starts_with(&format!("PUT /{key} HTTP/1.1\r\n")), "{name}: {head}");
                assert_eq!(body, value.as_bytes(), "{name}");
                let props = head.split("\r\nX-Props: c=instruct,t=nordurbanki,").nth(1).expect("properties");
                // A class that must never run twice sends no idempotency key.
                let k = props.split("\r\n").next().and_then(|p| p.split("k=").nth(1));
                let last = self.protocols.idempotency_keys.last().map(String::as_str);
                assert_eq!(k.is_some() && last == k, *how == "repeated", "{name}: {k:?} after {last:?}");
                self.protocols.idempotency_keys.extend(k.map(str::to_owned));
            }
            (_, "serves", [value]) => {
                self.run_step(&format!(
                    "{name} > HTTP/1.1 200 OK\\r\\nContent-Length: {}\\r\\n\\r\\n{value}",
                    value.len()
                ));
            }
            (_, "lacks", _) => {
                self.run_step(&format!("{name} > HTTP/1.1 404 Not Found\\r\\nContent-Length: 0\\r\\n\\r\\n"))
            }
            (_, "fails", _) => {
                self.run_step(&format!("{name} > HTTP/1.1 500 Failed\\r\\nContent-Length: 0\\r\\n\\r\\n"))
            }
            (_, "refuses", _) => self.run_step(&format!(
                "{name} > HTTP/1.1 503 Busy\\r\\nX-Never-Ran: 1\\r\\nContent-Length: 0\\r\\n\\r\\n"
            )),
            (_, "sends", _) => self.send_frames(name, text),
            (_, "gets", _) => self.expect_frame(name, text),
            (_, "drowns", [opcode]) => {
                let mut one = Vec::new();
                Request::new(self::opcode(opcode)).put(&mut one).expect("encode the frame");
                let piece = one.repeat(4096);
                let socket = self.connection(name);
                socket.set_write_timeout(Some(super::STEP_TIMEOUT)).expect("set the write timeout");
                let end = (0..4096)
                    .find_map(|_| socket.write_all(&piece).err())
                    .expect("the program closes the connection");
                assert!(!matches!(end.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut), "{name}: {end}");
            }
            ("peak", most, _) => {
                let path = format!("/proc/{}/status", self.program.id());
                let text = std::fs::read_to_string(path).expect("read the program's /proc status");
                let peak = text.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("a VmHWM line");
                let kb: u64 = peak.trim().trim_end_matches(" kB").parse().expect("a size");
                assert!(kb <= most.parse().expect("a size"), "peak memory of {kb} KB");
            }
            (_, "answers", [opcode, off, status, rest @ ..]) => {
                let opaque =
                    self.protocols.request_opaques[name].wrapping_add(off.parse().expect("a number"));
                let value = field(rest, "value=").map(unescape).unwrap_or_default();
                let (opcode, status) = (self::opcode(opcode), self::status(status));
                let extras: &[u8] = if status == Status::OK && opcode == Opcode::GET { &[0; 4] } else { &[] };
                self.send_response(
                    name,
                    Response { status, extras, value: &value, ..Response::new(opcode, opaque) },
                );
            }
            _ => return false,
        }
        true
    }

    // ---- clients

    fn send_request(&mut self, name: &str, key: &str, write: Option<(&str, &str)>) {
        self.protocols.request_count += 1;
        let (opaque, [read_wait, write_wait]) = (self.protocols.request_count, self.protocols.wait.clone());
        let token = write.map_or(0, |(_, token)| u64::from_str_radix(token, 16).expect("a token"));
        self.protocols.write_tokens.insert(name.to_owned(), token);
        let (read, write_of) = ("c=lookup,t=nordurbanki", "c=instruct,t=nordurbanki");
        match (self.protocols.clients, write) {
            (Protocol::Resp, None) => {
                self.run_step(&format!("{name} >> CACHE.GET {key} id{opaque} {read},d={read_wait}"))
            }
            (Protocol::Resp, Some((value, token))) => self.run_step(&format!(
                "{name} >> CACHE.SET {key} id{opaque} {write_of},d={write_wait},k={token} {value}"
            )),
            (Protocol::Memcached, None) => {
                self.send_requests(
                    name,
                    &[Request { opaque, key: key.as_bytes(), ..Request::new(Opcode::GET) }],
                );
            }
            (Protocol::Memcached, Some((value, _))) => self.send_requests(
                name,
                &[Request {
                    opaque,
                    cas: token,
                    extras: &[0; 8],
                    key: key.as_bytes(),
                    value: value.as_bytes(),
                    ..Request::new(Opcode::SET)
                }],
            ),
        }
    }

    fn expect_bulk_string(&mut self, name: &str, value: &str) {
        self.run_step(&format!("{name} < ${}\\r\\n{value}\\r\\n", value.len()));
    }

    /// Expects an outcome without a value, in the form of the client's protocol.
    fn expect_outcome(&mut self, name: &str, line: &str, status: Status, text: &str) {
        if self.protocols.clients == Protocol::Resp {
            return self.run_step(&format!("{name} < -{line}\\r\\n"));
        }
        let opcode = self.pending_opcode(name);
        let doubt = if opcode == Opcode::SET { ", it may have run" } else { "" };
        self.expect_response(name, opcode, status, format!("{text}{doubt}").as_bytes());
    }

    /// Returns the opcode of the pending request of a client connection.
    fn pending_opcode(&self, name: &str) -> Opcode {
        match self.protocols.write_tokens.get(name) {
            Some(1..) => Opcode::SET,
            _ => Opcode::GET,
        }
    }

    /// Expects a refusal whose retry advice is between a quarter and three quarters of the longest advice.
    fn expect_busy(&mut self, name: &str) {
        let (header, body) = self.read_frame(name, 0x81);
        let got = (Opcode(header.opcode), Status(header.vbucket_or_status), header.extras, header.key);
        assert_eq!(got, (self.pending_opcode(name), Status::BUSY, 0, 0), "{name}");
        let text = String::from_utf8(body).expect("valid UTF-8");
        let after = text.strip_prefix("busy, come again in ").and_then(|text| text.strip_suffix(" ms"));
        let after = after.and_then(|ms| ms.parse::<u32>().ok());
        assert!(after.is_some_and(|ms| (250..=750).contains(&ms)), "{name}: {text:?}");
    }

    /// Expects a response frame; a successful write returns its token as the CAS.
    fn expect_response(&mut self, name: &str, opcode: Opcode, status: Status, value: &[u8]) {
        let (header, body) = self.read_frame(name, 0x81);
        let (extras, key) = (usize::from(header.extras), usize::from(header.key));
        let got = (Opcode(header.opcode), Status(header.vbucket_or_status), &body[extras + key..]);
        assert_eq!(got, (opcode, status, value), "{name}");
        let wrote = opcode == Opcode::SET && status == Status::OK;
        assert_eq!(header.cas, if wrote { self.protocols.write_tokens[name] } else { 0 }, "{name}: its CAS");
    }

    // ---- nodes

    fn expect_node_read(&mut self, name: &str, key: &str) {
        if self.protocols.nodes == Protocol::Memcached {
            return self.expect_node_request(name, Opcode::GET, key);
        }
        let words = self.read_command(name);
        let words: Vec<&str> = words.split(' ').collect();
        assert_eq!((words.len(), words[0], words[1]), (4, "CACHE.GET", key), "{name}: {words:?}");
        assert!(matches("c=lookup,t=nordurbanki,d=#", words[3]), "{name}: {words:?}");
    }

    fn expect_node_request(&mut self, name: &str, opcode: Opcode, key: &str) {
        let (header, body) = self.read_frame(name, 0x80);
        assert_eq!((Opcode(header.opcode), body.as_slice()), (opcode, key.as_bytes()), "{name}");
        self.protocols.request_opaques.insert(name.to_owned(), header.opaque);
    }

    fn send_node_response(&mut self, name: &str, line: &str, status: Status, value: &str) {
        if self.protocols.nodes == Protocol::Resp {
            return self.run_step(&format!("{name} > {line}"));
        }
        let extras: &[u8] = if status == Status::OK { &[0; 4] } else { &[] };
        let opaque = self.protocols.request_opaques[name];
        let value = value.as_bytes();
        self.send_response(name, Response { status, extras, value, ..Response::new(Opcode::GET, opaque) });
    }

    /// Reads an HTTP request: its head, and a body of `Content-Length` bytes.
    fn read_http_request(&mut self, name: &str) -> (String, Vec<u8>) {
        let head = self.read_until(name, b"\r\n\r\n");
        let length = head.split("\r\nContent-Length: ").nth(1).and_then(|l| l.split("\r\n").next());
        let mut body = vec![0; length.map_or(0, |l| l.parse().expect("a length"))];
        self.connection(name).read_exact(&mut body).expect("read the body");
        (head + "\r\n", body)
    }

    // ---- frames

    fn send_requests(&mut self, name: &str, requests: &[Request]) {
        let mut out = Vec::new();
        requests.iter().for_each(|r| r.put(&mut out).expect("encode the frame"));
        self.connection(name).write_all(&out).expect("send");
    }

    fn send_response(&mut self, name: &str, response: Response) {
        let mut out = Vec::new();
        response.put(&mut out).expect("encode the frame");
        self.connection(name).write_all(&out).expect("send");
    }

    /// Reads a request or response frame, as given by its magic byte, and checks that the codec accepts it.
    fn read_frame(&mut self, name: &str, magic: u8) -> (Header, Vec<u8>) {
        let mut bytes = vec![0; header::LEN];
        self.connection(name).read_exact(&mut bytes).expect("a header");
        let (byte, header) = Header::read(&bytes).expect("a header");
        assert_eq!(byte, magic, "{name}");
        let mut body = vec![0; header.body as usize];
        self.connection(name).read_exact(&mut body).expect("read the body");
        bytes.extend_from_slice(&body);
        let limits = Limits::default();
        let whole = match magic {
            0x80 => matches!(frame::request(&bytes, &limits), Ok(Step::Complete(r, _)) if r.check().is_ok()),
            _ => matches!(frame::response(&bytes, &limits), Ok(Step::Complete(..))),
        };
        assert!(whole, "{name}: {header:?}");
        (header, body)
    }

    fn send_frames(&mut self, name: &str, text: &str) {
        let mut out = Vec::new();
        for one in text.split(" && ") {
            let words: Vec<&str> = one.split(' ').collect();
            let (times, word) = words[0].split_once('*').unwrap_or(("1", words[0]));
            let opcode = self::opcode(word);
            let first: u32 = words[1].parse().expect("an opaque");
            for n in 0..times.parse().expect("a number") {
                let part =
                    |name| unescape(&field(&words, name).unwrap_or_default().replace("{n}", &n.to_string()));
                let (key, value, extras) = (part("key="), part("value="), part("extras="));
                let extras = match (opcode.non_quiet(), field(&words, "extras=")) {
                    (Opcode::SET | Opcode::ADD, None) => vec![0; 8],
                    _ => extras,
                };
                let cas = field(&words, "cas=").map_or(0, |c| u64::from_str_radix(c, 16).expect("a CAS"));
                let request =
                    Request { cas, key: &key, value: &value, extras: &extras, ..Request::new(opcode) };
                Request { opaque: first + n, ..request }.put(&mut out).expect("encode the frame");
            }
        }
        self.connection(name).write_all(&out).expect("send");
    }

    fn expect_frame(&mut self, name: &str, text: &str) {
        let words: Vec<&str> = text.split(' ').collect();
        let (header, body) = self.read_frame(name, 0x81);
        let (extras, key) = (usize::from(header.extras), usize::from(header.key));
        let key_of = |body: &[u8]| String::from_utf8_lossy(&body[extras..extras + key]).into_owned();
        let value = String::from_utf8_lossy(&body[extras + key..]).into_owned();
        let got = (Opcode(header.opcode), header.opaque, Status(header.vbucket_or_status), key_of(&body));
        let opaque: u32 = words[1].parse().expect("an opaque");
        let key = field(&words, "key=").unwrap_or_default().to_owned();
        // `A|B` accepts any of several statuses, where timing decides.
        let status = words[2].split('|').map(status).find(|s| *s == got.2).unwrap_or(status(&words[2][..1]));
        assert_eq!(got, (opcode(words[0]), opaque, status, key), "{name}: {value:?}");
        // The value comes last because it may contain spaces.
        let wanted = text.split_once(" value=").map(|(_, value)| value).unwrap_or_default();
        let wanted = String::from_utf8(unescape(wanted)).expect("valid UTF-8");
        assert!(
            wanted == "*" || matches(&wanted, &value) || wanted == value,
            "{name}: expected {wanted:?}, got {value:?}"
        );
        let reads = matches!(got.0.non_quiet(), Opcode::GET | Opcode::GETK) && got.2 == Status::OK;
        assert_eq!(extras, if reads { 4 } else { 0 }, "{name}: its extras");
    }
}

fn field<'a>(words: &[&'a str], name: &str) -> Option<&'a str> {
    words.iter().find_map(|word| word.strip_prefix(name))
}

fn opcode(name: &str) -> Opcode {
    let known = Opcode::ALL.iter().find(|o| o.name() == Some(name)).copied();
    known.unwrap_or_else(|| Opcode(u8::from_str_radix(name, 16).expect("an opcode")))
}

fn status(number: &str) -> Status {
    Status(u16::from_str_radix(number, 16).expect("a status"))
}
