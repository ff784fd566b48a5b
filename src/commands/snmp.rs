//! `martenweir snmp get|walk|listen`: a minimal SNMP manager for tests, demonstrations and operators without
//! another one. Names and values are printed as the MIB defines them.

use crate::features::file;
use crate::features::snmp::boots;
use snmp::access::{Access, Community, Reader, View};
use snmp::listener::Listener;
use snmp::manager::{Credentials, Received, Session, Walk, WalkError};
use snmp::message::{Kind, Pdu};
use snmp::mib::{Mib, TEXT};
use snmp::reader::MAX_DATAGRAM;
use snmp::tree::ENTERPRISE;
use snmp::usm::{Auth, Engine, User};
use snmp::{Micros, Oid, Value};
use std::io::{self, Write};
use std::net::{IpAddr, Ipv4Addr, Ipv6Addr, SocketAddr, UdpSocket};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub(super) const USAGE: &str =
    "martenweir snmp get|walk [WHO] ADDRESS [NAME ...], martenweir snmp listen [WHO] ADDRESS";
/// Timeout of a request, and the number of times it is sent.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_TRIES: usize = 4;
/// Maximum number of extra rounds for learning the agent's engine ID, boots and time.
const MAX_SYNCS: usize = 4;
/// Maximum number of instances per request of a walk (max-repetitions).
const MAX_REPETITIONS: u32 = 30;

/// Queries the agent at ADDRESS, or prints notifications that are sent to ADDRESS
#[derive(Debug, clap::Args)]
#[command(override_usage = USAGE, help_template = super::HELP)]
pub(super) struct Options {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, clap::Subcommand)]
enum Command {
    /// Gets the objects with these names; fails unless all of them exist
    #[command(override_usage = USAGE, help_template = super::HELP)]
    Get(Query),
    /// Walks all objects below these names, or the whole MIB
    #[command(override_usage = USAGE, help_template = super::HELP)]
    Walk(Query),
    /// Prints a line for each notification received, and acknowledges informs
    #[command(override_usage = USAGE, help_template = super::HELP)]
    Listen(Listen),
}

// Credentials. Command line arguments are visible to all users of the machine, the content of a file is not.
#[derive(Debug, clap::Args)]
struct Identity {
    /// The community for SNMPv2c (WHO) [default: public]
    #[arg(long, value_name = "NAME")]
    community: Option<String>,
    /// The user for SNMPv3 (WHO), instead of a community
    #[arg(long, value_name = "NAME", conflicts_with = "community")]
    user: Option<String>,
    /// The feature file whose snmpuser line has the user's passphrases, which keeps them off the command line
    #[arg(long, value_name = "FILE")]
    conf: Option<String>,
    /// Authentication protocol of the user: sha224, sha256, sha384 or sha512
    #[arg(long, value_name = "HOW", default_value = "sha256")]
    auth: String,
    /// The user's passphrase for authentication, 8 bytes or more [default: none, no authentication]
    #[arg(long, value_name = "WORDS", allow_hyphen_values = true)]
    auth_pass: Option<String>,
    /// The user's passphrase for privacy, 8 bytes or more [default: none, no privacy]
    #[arg(long, value_name = "WORDS", allow_hyphen_values = true)]
    priv_pass: Option<String>,
    /// The enterprise number under which the agent serves the MIB
    #[arg(long, value_name = "NUMBER", default_value_t = ENTERPRISE)]
    enterprise: u32,
    /// Prints names as numbers
    #[arg(long)]
    numeric: bool,
}

#[derive(Debug, clap::Args)]
struct Query {
    #[command(flatten)]
    who: Identity,
    /// IP address and UDP port of the agent
    address: SocketAddr,
    /// Names from the MIB or numbers, like mwReady or 1.3.6.1.2.1.1.3.0 [default for walk: mwObjects]
    names: Vec<String>,
}

#[derive(Debug, clap::Args)]
struct Listen {
    #[command(flatten)]
    who: Identity,
    /// IP address and UDP port to listen on
    address: SocketAddr,
    /// Exits after this number of notifications [default: none, runs until it is stopped]
    #[arg(long, value_name = "NUMBER")]
    count: Option<u64>,
}

pub(super) fn run(options: &Options) -> Result<(), String> {
    match &options.command {
        Command::Get(ask) => get(ask),
        Command::Walk(ask) => walk(ask),
        Command::Listen(options) => listen(options),
    }
}

impl Identity {
    fn credentials(&self) -> Result<Credentials, String> {
        let Some(name) = &self.user else {
            return Ok(Credentials::Community(
                self.community.as_deref().unwrap_or("public").as_bytes().to_vec(),
            ));
        };
        if let Some(conf) = &self.conf {
            let settings = file::load(conf)?.snmp.ok_or_else(|| format!("{conf}: no snmpport"))?;
            let reader = settings.access.reader(name.as_bytes()).map(|(_, r)| r.user.clone());
            return Ok(Credentials::User(
                reader.ok_or_else(|| format!("{conf}: no snmpuser is called {name:?}"))?,
            ));
        }
        let auth = Auth::named(&self.auth).ok_or("--auth wants sha224, sha256, sha384 or sha512")?;
        let auth = self.auth_pass.as_deref().map(|words| (auth, words));
        User::new(name, auth, self.priv_pass.as_deref()).map(Credentials::User).map_err(str::to_owned)
    }

    /// The MIB, with the agent's enterprise number.
    fn mib(&self) -> Mib {
        Mib::read(
            &TEXT.replace(&format!("enterprises {ENTERPRISE}"), &format!("enterprises {}", self.enterprise)),
        )
    }

    fn show(&self, mib: &Mib, name: &Oid, value: &Value) -> String {
        match self.numeric {
            true => format!("{name} = {}", mib.show_value(name, value)),
            false => format!("{} = {}", mib.show(name), mib.show_value(name, value)),
        }
    }
}

fn unix_micros() -> Micros {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |t| t.as_micros() as Micros)
}

/// Prints a line; returns `false` if standard output is closed.
fn println(line: &str) -> bool {
    let mut out = io::stdout().lock();
    writeln!(out, "{line}").and_then(|()| out.flush()).is_ok()
}

/// A connection to an agent: the socket and the session state.
struct AgentConnection {
    socket: UdpSocket,
    address: SocketAddr,
    session: Session,
    request: i32,
    since: Instant,
}

impl AgentConnection {
    fn new(ask: &Query) -> Result<AgentConnection, String> {
        let any = match ask.address {
            SocketAddr::V4(_) => IpAddr::V4(Ipv4Addr::UNSPECIFIED),
            SocketAddr::V6(_) => IpAddr::V6(Ipv6Addr::UNSPECIFIED),
        };
        let failed = |e: io::Error| format!("snmp: {}: {e}", ask.address);
        let socket = UdpSocket::bind((any, 0)).map_err(failed)?;
        socket.connect(ask.address).map_err(failed)?;
        // Several managers on one machine cannot receive each other's responses, since their ports differ.
        let seed = (unix_micros() as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let session = Session::new(ask.who.credentials()?, None, seed);
        let request = (seed >> 40) as i32;
        Ok(AgentConnection { socket, address: ask.address, session, request, since: Instant::now() })
    }

    fn now(&self) -> Micros {
        self.since.elapsed().as_micros() as Micros
    }

    /// Sends a request until it is answered, refused, or all tries have timed out.
    fn ask(&mut self, pdu: impl Fn(i32) -> Pdu) -> Result<Pdu, String> {
        self.request = self.request.wrapping_add(1) & i32::MAX;
        let pdu = pdu(self.request);
        let (mut tries, mut syncs) = (0, 0);
        let mut buffer = vec![0; MAX_DATAGRAM + 1];
        while tries < MAX_TRIES && syncs <= MAX_SYNCS {
            let out = self.session.request(self.now(), &pdu);
            // An unreachable agent is reported as an error of a later send or receive; it is ignored, and the
            // tries run out.
            let _ = self.socket.send(&out);
            let until = Instant::now() + ANSWER_TIMEOUT;
            let synchronized = loop {
                let left = until.saturating_duration_since(Instant::now());
                if left.is_zero() {
                    break false;
                }
                self.socket.set_read_timeout(Some(left)).map_err(|e| e.to_string())?;
                let Ok(n) = self.socket.recv(&mut buffer) else { break false };
                let now = self.now();
                match self.session.receive(now, pdu.request, &buffer[..n]) {
                    Received::Response(answer) => return Ok(answer),
                    Received::Retry => break true,
                    Received::Refused(counter) => {
                        return Err(format!("snmp: {}: refused: {}", self.address, reason(&counter)));
                    }
                    Received::Ignored => {}
                }
            };
            (tries, syncs) = (tries + usize::from(!synchronized), syncs + usize::from(synchronized));
        }
        Err(format!("snmp: no answer from {}", self.address))
    }
}

/// The meaning of the counter in a report PDU.
fn reason(counter: &Oid) -> String {
    let known = [
        ("1.3.6.1.6.3.15.1.1.1.0", "the user has another security level"),
        ("1.3.6.1.6.3.15.1.1.2.0", "not within the time window"),
        ("1.3.6.1.6.3.15.1.1.3.0", "no such user"),
        ("1.3.6.1.6.3.15.1.1.4.0", "unknown engine ID"),
        ("1.3.6.1.6.3.15.1.1.5.0", "wrong digest, check the passphrase and the authentication protocol"),
        ("1.3.6.1.6.3.15.1.1.6.0", "decryption failed, check the privacy passphrase"),
    ];
    let counter = counter.to_string();
    known.iter().find(|(oid, _)| *oid == counter).map_or(counter, |(_, why)| (*why).to_owned())
}

fn get(ask: &Query) -> Result<(), String> {
    let mib = ask.who.mib();
    let names = ask.names.iter().map(|name| {
        let oid = mib.resolve(name).ok_or_else(|| format!("snmp: no object is called {name:?}"))?;
        // The name of a scalar stands for its only instance.
        let scalar = mib.of(&oid).is_some_and(|o| o.oid == oid && o.kind == snmp::mib::ObjectKind::Scalar);
        Ok((if scalar { oid.child(&[0]) } else { oid }, Value::Unspecified))
    });
    let bindings: Vec<(Oid, Value)> = names.collect::<Result<_, String>>()?;
    if bindings.is_empty() {
        return Err(format!("usage: {USAGE}"));
    }
    let pdu = |request| Pdu { kind: Kind::Get, request, status: 0, index: 0, bindings: bindings.clone() };
    let answer = AgentConnection::new(ask)?.ask(pdu)?;
    if answer.status != 0 {
        return Err(format!("snmp: error {} from {}", answer.status, ask.address));
    }
    let mut missing = false;
    for (name, value) in &answer.bindings {
        missing |= matches!(value, Value::NoSuchObject | Value::NoSuchInstance);
        if !println(&ask.who.show(&mib, name, value)) {
            return Ok(());
        }
    }
    match missing {
        true => Err("snmp: not all of them are there".into()),
        false => Ok(()),
    }
}

fn walk(ask: &Query) -> Result<(), String> {
    let mib = ask.who.mib();
    let names: Vec<&str> = match ask.names.is_empty() {
        true => vec!["mwObjects"],
        false => ask.names.iter().map(String::as_str).collect(),
    };
    let mut agent = AgentConnection::new(ask)?;
    for name in names {
        let root = mib.resolve(name).ok_or_else(|| format!("snmp: no object is called {name:?}"))?;
        let mut walk = Walk::new(root, MAX_REPETITIONS);
        while walk.next(0).is_some() {
            let answer = agent.ask(|request| walk.next(request).unwrap_or_else(|| empty_request(request)))?;
            let part = walk.take(answer).map_err(|broken| match broken {
                WalkError::Status(status) => format!("snmp: error {status} from {}", ask.address),
                WalkError::OutOfOrder(name) => format!("snmp: {} returned {name} out of order", ask.address),
            })?;
            for (name, value) in &part {
                if !println(&ask.who.show(&mib, name, value)) {
                    return Ok(());
                }
            }
        }
    }
    Ok(())
}

fn empty_request(request: i32) -> Pdu {
    Pdu { kind: Kind::GetNext, request, status: 0, index: 0, bindings: Vec::new() }
}

fn listen(options: &Listen) -> Result<(), String> {
    let mib = options.who.mib();
    let failed = |e: io::Error| format!("snmp: {}: {e}", options.address);
    let socket = UdpSocket::bind(options.address).map_err(failed)?;
    let address = socket.local_addr().map_err(failed)?;
    let mut access = Access::default();
    let any = ["0.0.0.0/0", "::/0"].into_iter().filter_map(|range| range.parse().ok());
    match options.who.credentials()? {
        Credentials::Community(name) => {
            access.communities =
                any.map(|from| Community { name: name.clone(), from, view: View::all() }).collect();
        }
        Credentials::User(user) => access.readers = vec![Reader { user, view: View::all() }],
    }
    let (now, since) = (unix_micros(), Instant::now());
    let boots = boots::count(None, now / 1_000_000, 0).0.boots;
    let engine = Engine::new(Engine::id_of(options.who.enterprise, &address.to_string()), boots, 0);
    let mut listener = Listener::new(0, engine, access, now as u64);
    println(&format!("listening on {address}"));
    let (mut buffer, mut received) = (vec![0; MAX_DATAGRAM + 1], 0);
    while options.count.is_none_or(|count| received < count) {
        let Ok((n, from)) = socket.recv_from(&mut buffer) else { continue };
        let now = since.elapsed().as_micros() as Micros;
        let (back, pdu) = listener.receive(now, from, &buffer[..n]);
        if let Some(back) = back {
            let _ = socket.send_to(&back, from);
        }
        let Some(pdu) = pdu else { continue };
        received += 1;
        if !println(&line(&options.who, &mib, from, &pdu)) {
            return Ok(());
        }
    }
    Ok(())
}

/// Formats a notification as one line: time, source address, kind, name and variable bindings.
fn line(who: &Identity, mib: &Mib, from: SocketAddr, pdu: &Pdu) -> String {
    let how = if pdu.kind == Kind::Inform { "inform" } else { "trap" };
    let name = pdu.bindings.iter().find_map(|(_, value)| match value {
        Value::Oid(oid) => Some(mib.show(oid)),
        _ => None,
    });
    // The first two bindings are sysUpTime and the notification's name (RFC 3416, 4.2.6).
    let carried = pdu.bindings.iter().skip(2).map(|(name, value)| who.show(mib, name, value));
    let carried: Vec<String> = carried.collect();
    let name = name.unwrap_or_else(|| "nameless".to_owned());
    format!("{} {} {how} {name} {}", unix_micros() / 1000, from.ip(), carried.join(" ")).trim_end().to_owned()
}
