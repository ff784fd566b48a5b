//! Steps that say what is asked and answered and leave open in which protocol, and steps of the memcached
//! protocol alone. In what is not played in both, clients and nodes speak RESP.
//!
//! - `wait MS MS`: how long clients wait for a read and a write, in all of an exchange; else a minute.
//! - `c1 reads KEY`, `c1 writes KEY VALUE TOKEN`, `c1 pings`: a client asks.
//! - `c1 is served VALUE`, `c1 has written RECEIPT`, `c1 is alive`: it is answered, or else it
//!   `is refused`, `has failed`, `is late`, `finds nothing`.
//! - `a1 is read KEY`: a node is asked; it `serves VALUE`, `misses`, `refuses` or `fails`.
//! - `o1 is read KEY`, `o1 is written KEY VALUE`: so is the origin, which also `lacks` a key. A write's
//!   idempotency key has to be new, or with `is repeated KEY VALUE` the one before.
//! - `k1 sends OPCODE OPAQUE key=K value=V cas=HEX extras=HEX [&& …]`: frames as they are, in one piece;
//!   `300*GET` is three hundred with a number each, as the opaque and for `{n}`.
//! - `k1 gets OPCODE OPAQUE STATUS …`: expects a frame; a `#` in a value stands for digits, `*` for any
//!   value.
//! - `a1 is asked OPCODE KEY`, `a1 answers OPCODE OFFSET STATUS value=V`: a node that speaks it, and a frame
//!   whose opaque is that much off.
//! - `a1 hangs up`: closes, and waits till the program's system knows of it.
//! - `k1 drowns OPCODE`: sends it again and again, reads nothing, and expects to be closed; `peak KB`: the
//!   program never had more memory.
//! - `mark`, `passed MS`: at least so long since; a slow machine only makes it longer.
//! - `secrets LINE`: a line of a file that nobody else may read, `{dir}/secrets`; `j1` is a front at the
//!   port.

use super::{matches, unescape, Play};
use memcached::{frame, header, Header, Limits, Opcode, Request, Response, Status, Step};
use std::collections::BTreeMap;
use std::io::{ErrorKind, Read, Write};
use std::os::unix::fs::OpenOptionsExt;
use std::path::Path;
use std::time::{Duration, Instant};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Tongue {
    Resp,
    Memcached,
}

/// What is spoken on both sides, and what has been said.
pub struct Spoken {
    /// It is an exchange for both protocols.
    either: bool,
    pub front: Tongue,
    pub nodes: Tongue,
    wait: [String; 2],
    asked: u32,
    mark: Instant,
    /// The token of a client's write that is open, by its connection.
    tokens: BTreeMap<String, u64>,
    /// The opaque of the request that a node's connection carries.
    carried: BTreeMap<String, u32>,
    /// The idempotency keys that the origin has seen.
    keys: Vec<String>,
}

/// Written so that nobody else may read it.
pub fn secret_file(path: &Path, text: &str) {
    let mut options = std::fs::OpenOptions::new();
    let mut file = options.write(true).create(true).truncate(true).mode(0o600).open(path).expect("a file");
    file.write_all(text.as_bytes()).expect("written");
}

impl Spoken {
    /// For an exchange that says byte by byte what it means.
    pub fn plain() -> Self {
        Spoken { either: false, ..Spoken::either(Tongue::Resp, Tongue::Resp) }
    }

    pub fn either(front: Tongue, nodes: Tongue) -> Self {
        let wait = ["60000".to_owned(), "60000".to_owned()];
        let (tokens, carried, keys) = Default::default();
        Spoken { either: true, front, nodes, wait, asked: 0, mark: Instant::now(), tokens, carried, keys }
    }

    /// The lines of our own file that an exchange wants to be played like this.
    pub fn features(&self, script: &str) -> String {
        let wait = script.lines().find_map(|l| l.strip_prefix("wait ")?.split_once(' '));
        let (read, write) = wait.unwrap_or((&self.wait[0], &self.wait[1]));
        if !self.either {
            return String::new();
        }
        // Far from any time that a step takes: nothing goes to a second node because the first takes its
        // time.
        let mut lines = String::from("\n");
        for class in 0..2 {
            lines += &format!("set /settings/classes/{class}/onTimeMs 60000.0\n");
        }
        if self.front == Tongue::Memcached {
            lines += "feature memcacheport 0\nfeature memcachetenant nordurbanki\n";
            lines += &format!("feature memcachereadwait {read} ms\nfeature memcachewritewait {write} ms\n");
        }
        if self.nodes == Tongue::Memcached {
            lines += "feature memcachenodes kind half-node\n";
        }
        lines
    }
}

impl Play {
    /// Takes a step if it is one of these.
    pub fn speak(&mut self, name: &str, verb: &str, text: &str) -> bool {
        let words: Vec<&str> = text.split(' ').collect();
        let node = self.listeners.contains_key(super::base(name)) && super::base(name) != "o";
        match (name, verb, words.as_slice()) {
            ("wait", read, [write]) => self.spoken.wait = [read.to_owned(), (*write).to_owned()],
            (_, "hangs", ["up"]) => {
                let port = self.connection(name).peer_addr().expect("a peer").port();
                self.connections.remove(name);
                // The program's system knows of the close once the connection is no longer established (01).
                let open = |l: &str| l.contains(&format!(":{port:04X} ")) && l.contains(" 01 ");
                while std::fs::read_to_string("/proc/net/tcp").expect("the table").lines().any(open) {
                    std::thread::sleep(Duration::from_millis(2));
                }
            }
            ("mark", ..) => self.spoken.mark = Instant::now(),
            ("passed", ms, _) => {
                let least = Duration::from_millis(ms.parse().expect("a time"));
                assert!(self.spoken.mark.elapsed() >= least, "it came too soon");
            }
            (_, "reads", [key]) => self.ask(name, key, None),
            (_, "writes", [key, value, token]) => self.ask(name, key, Some((value, token))),
            (_, "pings", _) => match self.spoken.front {
                Tongue::Resp => self.step(&format!("{name} >> PING")),
                Tongue::Memcached => self.send(name, &[Request::new(Opcode::NOOP)]),
            },
            (_, "is", ["alive"]) => match self.spoken.front {
                Tongue::Resp => self.step(&format!("{name} < +PONG\\r\\n")),
                Tongue::Memcached => self.hear(name, Opcode::NOOP, Status::OK, b""),
            },
            (_, "is", ["served", value]) => match self.spoken.front {
                Tongue::Resp => self.bulk(name, value),
                Tongue::Memcached => self.hear(name, Opcode::GET, Status::OK, value.as_bytes()),
            },
            (_, "has", ["written", receipt]) => match self.spoken.front {
                Tongue::Resp => self.bulk(name, receipt),
                // The protocol has no place for a receipt.
                Tongue::Memcached => self.hear(name, Opcode::SET, Status::OK, b""),
            },
            (_, "is", ["refused"]) => match self.spoken.front {
                Tongue::Resp => self.step(&format!("{name} busy")),
                Tongue::Memcached => self.hear_busy(name),
            },
            (_, "has", ["failed"]) => self.outcome(name, "ERR failed", Status::INTERNAL, "failed"),
            (_, "is", ["late"]) => self.outcome(name, "ERR failed", Status::TEMPORARY, "out of time"),
            (_, "finds", ["nothing"]) => match self.spoken.front {
                Tongue::Resp => self.step(&format!("{name} < $-1\\r\\n")),
                Tongue::Memcached => self.hear(name, Opcode::GET, Status::KEY_NOT_FOUND, b"not found"),
            },
            (_, "is", ["asked", opcode, key]) => self.node_is_asked(name, self::opcode(opcode), key),
            (_, "is", ["read", key]) if node => self.node_is_read(name, key),
            (_, "serves", [value]) if node => {
                let array = format!("*3\\r\\n${}\\r\\n{value}\\r\\n$-1\\r\\n$-1\\r\\n", value.len());
                self.node_says(name, &array, Status::OK, value);
            }
            (_, "misses", _) => {
                self.node_says(
                    name,
                    "*3\\r\\n$-1\\r\\n$-1\\r\\n$-1\\r\\n",
                    Status::KEY_NOT_FOUND,
                    "not found",
                );
            }
            (_, "refuses", _) if node => self.node_says(name, "-BUSY queue full\\r\\n", Status::BUSY, "busy"),
            (_, "fails", _) if node => self.node_says(name, "-ERR failed\\r\\n", Status::INTERNAL, "failed"),
            (_, "is", ["read", key]) => {
                let (head, _) = self.http(name);
                assert!(head.starts_with(&format!("GET /{key} HTTP/1.1\r\n")), "{name}: {head}");
                assert!(head.contains("\r\nX-Props: c=lookup,t=nordurbanki,d="), "{name}: {head}");
            }
            (_, "is", [how @ ("written" | "repeated"), key, value]) => {
                let (head, body) = self.http(name);
                assert!(head.starts_with(&format!("PUT /{key} HTTP/1.1\r\n")), "{name}: {head}");
                assert_eq!(body, value.as_bytes(), "{name}");
                let props = head.split("\r\nX-Props: c=instruct,t=nordurbanki,").nth(1).expect("properties");
                // A class that must never run twice has no use for one.
                let k = props.split("\r\n").next().and_then(|p| p.split("k=").nth(1));
                let last = self.spoken.keys.last().map(String::as_str);
                assert_eq!(k.is_some() && last == k, *how == "repeated", "{name}: {k:?} after {last:?}");
                self.spoken.keys.extend(k.map(str::to_owned));
            }
            (_, "serves", [value]) => {
                self.step(&format!(
                    "{name} > HTTP/1.1 200 OK\\r\\nContent-Length: {}\\r\\n\\r\\n{value}",
                    value.len()
                ));
            }
            (_, "lacks", _) => {
                self.step(&format!("{name} > HTTP/1.1 404 Not Found\\r\\nContent-Length: 0\\r\\n\\r\\n"))
            }
            (_, "fails", _) => {
                self.step(&format!("{name} > HTTP/1.1 500 Failed\\r\\nContent-Length: 0\\r\\n\\r\\n"))
            }
            (_, "refuses", _) => self.step(&format!(
                "{name} > HTTP/1.1 503 Busy\\r\\nX-Never-Ran: 1\\r\\nContent-Length: 0\\r\\n\\r\\n"
            )),
            (_, "sends", _) => self.frames(name, text),
            (_, "gets", _) => self.gets(name, text),
            (_, "drowns", [opcode]) => {
                let mut one = Vec::new();
                Request::new(self::opcode(opcode)).put(&mut one).expect("it fits");
                let piece = one.repeat(4096);
                let socket = self.connection(name);
                socket.set_write_timeout(Some(super::PATIENCE)).expect("a time-out");
                let end = (0..4096).find_map(|_| socket.write_all(&piece).err()).expect("it is closed");
                assert!(!matches!(end.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut), "{name}: {end}");
            }
            ("peak", most, _) => {
                let path = format!("/proc/{}/status", self.program.id());
                let text = std::fs::read_to_string(path).expect("its status");
                let peak = text.lines().find_map(|l| l.strip_prefix("VmHWM:")).expect("its peak");
                let kb: u64 = peak.trim().trim_end_matches(" kB").parse().expect("a size");
                assert!(kb <= most.parse().expect("a size"), "{kb} KB");
            }
            (_, "answers", [opcode, off, status, rest @ ..]) => {
                let opaque = self.spoken.carried[name].wrapping_add(off.parse().expect("a number"));
                let value = field(rest, "value=").map(unescape).unwrap_or_default();
                let (opcode, status) = (self::opcode(opcode), self::status(status));
                let extras: &[u8] = if status == Status::OK && opcode == Opcode::GET { &[0; 4] } else { &[] };
                self.say(name, Response { status, extras, value: &value, ..Response::new(opcode, opaque) });
            }
            _ => return false,
        }
        true
    }

    // ---- clients

    fn ask(&mut self, name: &str, key: &str, write: Option<(&str, &str)>) {
        self.spoken.asked += 1;
        let (opaque, [read_wait, write_wait]) = (self.spoken.asked, self.spoken.wait.clone());
        let token = write.map_or(0, |(_, token)| u64::from_str_radix(token, 16).expect("a token"));
        self.spoken.tokens.insert(name.to_owned(), token);
        let (read, write_of) = ("c=lookup,t=nordurbanki", "c=instruct,t=nordurbanki");
        match (self.spoken.front, write) {
            (Tongue::Resp, None) => {
                self.step(&format!("{name} >> CACHE.GET {key} id{opaque} {read},d={read_wait}"))
            }
            (Tongue::Resp, Some((value, token))) => self.step(&format!(
                "{name} >> CACHE.SET {key} id{opaque} {write_of},d={write_wait},k={token} {value}"
            )),
            (Tongue::Memcached, None) => {
                self.send(name, &[Request { opaque, key: key.as_bytes(), ..Request::new(Opcode::GET) }]);
            }
            (Tongue::Memcached, Some((value, _))) => self.send(
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

    fn bulk(&mut self, name: &str, value: &str) {
        self.step(&format!("{name} < ${}\\r\\n{value}\\r\\n", value.len()));
    }

    /// An outcome without a value, as each protocol tells it.
    fn outcome(&mut self, name: &str, line: &str, status: Status, text: &str) {
        if self.spoken.front == Tongue::Resp {
            return self.step(&format!("{name} < -{line}\\r\\n"));
        }
        let opcode = self.asked_for(name);
        let doubt = if opcode == Opcode::SET { ", it may have run" } else { "" };
        self.hear(name, opcode, status, format!("{text}{doubt}").as_bytes());
    }

    /// The command of a client that waits for its answer.
    fn asked_for(&self, name: &str) -> Opcode {
        match self.spoken.tokens.get(name) {
            Some(1..) => Opcode::SET,
            _ => Opcode::GET,
        }
    }

    /// Expects a refusal, with a time to stay away of between a quarter and three quarters of the longest advice.
    fn hear_busy(&mut self, name: &str) {
        let (header, body) = self.frame(name, 0x81);
        let got = (Opcode(header.opcode), Status(header.vbucket_or_status), header.extras, header.key);
        assert_eq!(got, (self.asked_for(name), Status::BUSY, 0, 0), "{name}");
        let text = String::from_utf8(body).expect("text");
        let after = text.strip_prefix("busy, come again in ").and_then(|text| text.strip_suffix(" ms"));
        let after = after.and_then(|ms| ms.parse::<u32>().ok());
        assert!(after.is_some_and(|ms| (250..=750).contains(&ms)), "{name}: {text:?}");
    }

    /// Expects a frame; a write that went well has its token back.
    fn hear(&mut self, name: &str, opcode: Opcode, status: Status, value: &[u8]) {
        let (header, body) = self.frame(name, 0x81);
        let (extras, key) = (usize::from(header.extras), usize::from(header.key));
        let got = (Opcode(header.opcode), Status(header.vbucket_or_status), &body[extras + key..]);
        assert_eq!(got, (opcode, status, value), "{name}");
        let wrote = opcode == Opcode::SET && status == Status::OK;
        assert_eq!(header.cas, if wrote { self.spoken.tokens[name] } else { 0 }, "{name}: its CAS");
    }

    // ---- nodes

    fn node_is_read(&mut self, name: &str, key: &str) {
        if self.spoken.nodes == Tongue::Memcached {
            return self.node_is_asked(name, Opcode::GET, key);
        }
        let words = self.any_words(name);
        let words: Vec<&str> = words.split(' ').collect();
        assert_eq!((words.len(), words[0], words[1]), (4, "CACHE.GET", key), "{name}: {words:?}");
        assert!(matches("c=lookup,t=nordurbanki,d=#", words[3]), "{name}: {words:?}");
    }

    fn node_is_asked(&mut self, name: &str, opcode: Opcode, key: &str) {
        let (header, body) = self.frame(name, 0x80);
        assert_eq!((Opcode(header.opcode), body.as_slice()), (opcode, key.as_bytes()), "{name}");
        self.spoken.carried.insert(name.to_owned(), header.opaque);
    }

    fn node_says(&mut self, name: &str, line: &str, status: Status, value: &str) {
        if self.spoken.nodes == Tongue::Resp {
            return self.step(&format!("{name} > {line}"));
        }
        let extras: &[u8] = if status == Status::OK { &[0; 4] } else { &[] };
        let opaque = self.spoken.carried[name];
        let value = value.as_bytes();
        self.say(name, Response { status, extras, value, ..Response::new(Opcode::GET, opaque) });
    }

    /// A request of HTTP: its head, and a body of the length that it tells.
    fn http(&mut self, name: &str) -> (String, Vec<u8>) {
        let head = self.until(name, b"\r\n\r\n");
        let length = head.split("\r\nContent-Length: ").nth(1).and_then(|l| l.split("\r\n").next());
        let mut body = vec![0; length.map_or(0, |l| l.parse().expect("a length"))];
        self.connection(name).read_exact(&mut body).expect("a body");
        (head + "\r\n", body)
    }

    // ---- frames

    fn send(&mut self, name: &str, requests: &[Request]) {
        let mut out = Vec::new();
        requests.iter().for_each(|r| r.put(&mut out).expect("it fits"));
        self.connection(name).write_all(&out).expect("sent");
    }

    fn say(&mut self, name: &str, response: Response) {
        let mut out = Vec::new();
        response.put(&mut out).expect("it fits");
        self.connection(name).write_all(&out).expect("sent");
    }

    /// A frame of either direction, which its magic byte tells; the codec reads it as well.
    fn frame(&mut self, name: &str, magic: u8) -> (Header, Vec<u8>) {
        let mut bytes = vec![0; header::LEN];
        self.connection(name).read_exact(&mut bytes).expect("a header");
        let (byte, header) = Header::read(&bytes).expect("a header");
        assert_eq!(byte, magic, "{name}");
        let mut body = vec![0; header.body as usize];
        self.connection(name).read_exact(&mut body).expect("a body");
        bytes.extend_from_slice(&body);
        let limits = Limits::default();
        let whole = match magic {
            0x80 => matches!(frame::request(&bytes, &limits), Ok(Step::Complete(r, _)) if r.check().is_ok()),
            _ => matches!(frame::response(&bytes, &limits), Ok(Step::Complete(..))),
        };
        assert!(whole, "{name}: {header:?}");
        (header, body)
    }

    fn frames(&mut self, name: &str, text: &str) {
        let mut out = Vec::new();
        for one in text.split(" && ") {
            let words: Vec<&str> = one.split(' ').collect();
            let (times, word) = words[0].split_once('*').unwrap_or(("1", words[0]));
            let opcode = self::opcode(word);
            let first: u32 = words[1].parse().expect("an opaque");
            for n in 0..times.parse().expect("a count") {
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
                Request { opaque: first + n, ..request }.put(&mut out).expect("it fits");
            }
        }
        self.connection(name).write_all(&out).expect("sent");
    }

    fn gets(&mut self, name: &str, text: &str) {
        let words: Vec<&str> = text.split(' ').collect();
        let (header, body) = self.frame(name, 0x81);
        let (extras, key) = (usize::from(header.extras), usize::from(header.key));
        let key_of = |body: &[u8]| String::from_utf8_lossy(&body[extras..extras + key]).into_owned();
        let value = String::from_utf8_lossy(&body[extras + key..]).into_owned();
        let got = (Opcode(header.opcode), header.opaque, Status(header.vbucket_or_status), key_of(&body));
        let opaque: u32 = words[1].parse().expect("an opaque");
        let key = field(&words, "key=").unwrap_or_default().to_owned();
        // One of several, where which one is a matter of time.
        let status = words[2].split('|').map(status).find(|s| *s == got.2).unwrap_or(status(&words[2][..1]));
        assert_eq!(got, (opcode(words[0]), opaque, status, key), "{name}: {value:?}");
        // A value may hold spaces: it comes last.
        let wanted = text.split_once(" value=").map(|(_, value)| value).unwrap_or_default();
        let wanted = String::from_utf8(unescape(wanted)).expect("text");
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
