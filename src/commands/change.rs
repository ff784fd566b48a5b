//! `martenweir change submit|status|wait`: submits changes to control machines and shows which proxies have
//! applied them.
//!
//! Exit statuses: 0 on success (submit: all changes are acknowledged; status and wait: every proxy in service
//! has the change), 2 if it is not complete yet (submit: refused because the stores are full, retry after the
//! printed time; status and wait: not every proxy is known to have it), 1 on any other error, such as an
//! invalid argument, no answer or no reachable control machine.

use super::{fail, print};
use crate::codec::discovery;
use crate::features::control::settings;
use crate::features::file;
use crate::features::follower::applier;
use dissemination::frame::{self, Reader};
use dissemination::message::StatusReport;
use dissemination::{ControlId, FollowerId, Message, StreamId};
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub(super) const USAGE: &str =
    "martenweir change submit --purge KEY ...|--setting LINE ...|--reset NAME ADDRESS..., \
     martenweir change status|wait CHANGE ADDRESS...";
const SUBMIT: &str = "martenweir change submit --purge KEY ...|--setting LINE ...|--reset NAME ADDRESS...";
const STATUS: &str = "martenweir change status [--followers FILE] CHANGE ADDRESS...";
const WAIT: &str = "martenweir change wait [--for SECONDS] [--followers FILE] CHANGE ADDRESS...";
/// Time without an answer after which the next control machine is asked. A store answers once a majority of
/// stores has the change; the answer to a status query is collected for a second at most.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(3);
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval between two status queries of `wait`.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Indexes of the topics in [`dissemination::Rules::topics`].
const PURGES: u8 = 0;
const SETTINGS: u8 = 1;
/// Length of the hashed key of a purged object. With 110 million objects, a purge also hits another object by
/// collision in 4 of 10 million cases.
const PURGE_KEY_BYTES: usize = 6;
/// Number of proxy names that are printed per line.
const NAMES_PER_LINE: usize = 20;
/// Exit status for "not complete yet", see the module documentation.
const NOT_YET: u8 = 2;

/// Submits changes to control machines, and shows which proxies have them
#[derive(Debug, clap::Args)]
#[command(override_usage = USAGE, help_template = super::HELP)]
pub(super) struct Options {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, clap::Subcommand)]
enum Command {
    /// Submits changes to stores; prints each one once a majority of the stores has it
    #[command(override_usage = SUBMIT, help_template = super::HELP)]
    Submit {
        /// Key of an object whose copies on nodes are stale; may be repeated
        #[arg(long, value_name = "KEY", allow_hyphen_values = true)]
        purge: Vec<String>,
        /// A line of the feature file; several lines, all of the same setting, make one change
        #[arg(long, value_name = "LINE", conflicts_with = "purge")]
        setting: Vec<String>,
        /// A setting for which each proxy is to use the lines of its own file again
        #[arg(long, value_name = "NAME", conflicts_with_all = ["purge", "setting"])]
        reset: Option<String>,
        /// IP addresses and ports of the control machines
        #[arg(required = true)]
        addresses: Vec<String>,
    },
    /// Prints how many proxies have a change, and which ones are not known to have it
    #[command(override_usage = STATUS, help_template = super::HELP)]
    Status {
        /// The list of proxies' names [default: names as 16 hexadecimal digits]
        #[arg(long, value_name = "FILE")]
        followers: Option<String>,
        /// The change, as printed by submit
        change: String,
        /// IP addresses and ports of control machines; the first answer is used
        #[arg(required = true)]
        addresses: Vec<String>,
    },
    /// Waits until every proxy in service has a change
    #[command(override_usage = WAIT, help_template = super::HELP)]
    Wait {
        /// Maximum time to wait
        #[arg(long = "for", value_name = "SECONDS", default_value = "10")]
        timeout: f64,
        /// The list of proxies' names [default: names as 16 hexadecimal digits]
        #[arg(long, value_name = "FILE")]
        followers: Option<String>,
        /// The change, as printed by submit
        change: String,
        /// IP addresses and ports of control machines; the first answer is used
        #[arg(required = true)]
        addresses: Vec<String>,
    },
}

/// `true` if the operation is complete, `false` if it is not complete yet.
type Completed = Result<bool, String>;

pub(super) fn run(options: &Options) -> ExitCode {
    let done = match &options.command {
        Command::Submit { purge, setting, reset, addresses } => {
            changes(purge, setting, reset.as_deref()).and_then(|changes| submit(&changes, addresses))
        }
        Command::Status { followers, change, addresses } => status(followers.as_deref(), change, addresses),
        Command::Wait { timeout, followers, change, addresses } => {
            wait(*timeout, followers.as_deref(), change, addresses)
        }
    };
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(NOT_YET),
        Err(what) => fail(&format!("change: {what}")),
    }
}

/// A change to submit.
#[derive(Debug)]
struct NewChange {
    topic: u8,
    key: u32,
    body: Rc<[u8]>,
}

fn changes(purge: &[String], setting: &[String], reset: Option<&str>) -> Result<Vec<NewChange>, String> {
    let lines = match reset {
        Some(name) => name.trim().to_owned(),
        None => setting.join("\n"),
    };
    if !lines.is_empty() {
        let name = file::setting_name(&lines).ok_or("the lines are not about one setting")?;
        // Conflicts are resolved by the greatest version, so the last writer wins, by the clock of the
        // submitting machine.
        let version = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_micros() as u64;
        let body = applier::body(version, &lines).into();
        return Ok(vec![NewChange { topic: SETTINGS, key: applier::key(name), body }]);
    }
    if purge.is_empty() {
        return Err("nothing to submit: --purge, --setting or --reset".into());
    }
    let key = |name: &String| discovery::hash_id(name.as_bytes()).to_be_bytes();
    let change = |name| NewChange {
        topic: PURGES,
        key: 0,
        body: key(name).iter().take(PURGE_KEY_BYTES).copied().collect(),
    };
    Ok(purge.iter().map(change).collect())
}

/// A client of one control machine, which connects on first use.
struct ControlClient {
    address: SocketAddr,
    connection: Option<(TcpStream, Reader)>,
}

impl ControlClient {
    fn all(addresses: &[String]) -> Result<Vec<ControlClient>, String> {
        let one = |text: &String| match text.parse() {
            Ok(address) => Ok(ControlClient { address, connection: None }),
            Err(_) => Err(format!("{text}: not an address like 127.0.0.1:7500")),
        };
        addresses.iter().map(one).collect()
    }

    /// Sends a message and waits for the answer, which is the first message that `accept` accepts.
    fn ask<T>(&mut self, message: &Message, accept: impl Fn(Message) -> Option<T>) -> Result<T, String> {
        let answer = self.try_ask(message, accept);
        if answer.is_err() {
            self.connection = None;
        }
        answer.map_err(|why| format!("{}: {why}", self.address))
    }

    fn try_ask<T>(&mut self, message: &Message, accept: impl Fn(Message) -> Option<T>) -> Result<T, String> {
        let failed = |e: io::Error| e.to_string();
        let (socket, reader) = match &mut self.connection {
            Some(open) => open,
            closed => {
                let socket = TcpStream::connect_timeout(&self.address, CONNECT_TIMEOUT).map_err(failed)?;
                socket.set_nodelay(true).map_err(failed)?;
                closed.insert((socket, Reader::default()))
            }
        };
        socket.write_all(&frame::encode(message).map_err(|e| e.to_string())?).map_err(failed)?;
        let (mut bytes, until) = ([0; 16 * 1024], Instant::now() + ANSWER_TIMEOUT);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Err("no answer".into());
            }
            socket.set_read_timeout(Some(left)).map_err(failed)?;
            let n = match socket.read(&mut bytes) {
                Ok(0) => return Err("closed without an answer".into()),
                Ok(n) => n,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => continue,
                Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                    return Err("no answer".into())
                }
                Err(e) => return Err(e.to_string()),
            };
            let mut input = bytes.get(..n).unwrap_or_default();
            while let Some(message) = reader.read(&mut input).map_err(|e| e.to_string())? {
                if let Some(answer) = accept(message) {
                    return Ok(answer);
                }
            }
        }
    }
}

/// A store's answer to a submission.
enum Answer {
    Taken(StreamId, u64),
    Busy(u32),
}

/// Submits each change to the next store of the list, and on failure or a full store to the others in turn. A
/// submission without an answer may have been accepted all the same; submitting the same change twice does no
/// harm.
fn submit(changes: &[NewChange], addresses: &[String]) -> Completed {
    let mut clients = ControlClient::all(addresses)?;
    let count = clients.len();
    // A random start, so that runs with a single change do not always go to the first store.
    let start =
        SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().subsec_nanos() as usize / 1000;
    for (i, new) in changes.iter().enumerate() {
        let message = |token| {
            let NewChange { topic, key, body } = new;
            Message::Submit { token, topic: *topic, key: *key, body: body.clone() }
        };
        let (mut busy, mut why, mut taken) = (None::<u32>, String::new(), None);
        for turn in 0..count {
            let token = i as u32;
            let Some(client) = clients.get_mut((start + i + turn) % count) else { continue };
            let answer = client.ask(&message(token), |answer| match answer {
                Message::Submitted { token: of, stream, number } if of == token => {
                    Some(Answer::Taken(stream, number))
                }
                Message::Busy { token: of, after } if of == token => Some(Answer::Busy(after)),
                _ => None,
            });
            match answer {
                Ok(Answer::Taken(stream, number)) => {
                    taken = Some((stream, number));
                    break;
                }
                Ok(Answer::Busy(after)) => busy = Some(busy.map_or(after, |before| before.min(after))),
                Err(what) => why = what,
            }
        }
        match (taken, busy) {
            (Some((stream, number)), _) => {
                print(&format!(
                    "{}.{}.{number} acknowledged: a majority of the stores has it on disk",
                    stream.topic, stream.store.0
                ))?;
            }
            (None, Some(after)) => {
                let left = changes.len() - i;
                print(&format!(
                    "refused: no store has room now, try again after {after} ms; {left} not taken"
                ))?;
                return Ok(false);
            }
            (None, None) => return Err(format!("{why}; {} not acknowledged", changes.len() - i)),
        }
    }
    print("acknowledged changes are not lost while a majority of the stores lives, and reach every proxy; one that \
         does not have them within the lease of 7 s knows so and goes out of service")?;
    Ok(true)
}

/// Parses a change as printed by `submit`: topic, store and number.
fn parse_change(change: &str) -> Result<(StreamId, u64), String> {
    let wrong = || format!("{change}: a change like 0.2.17 is wanted, as submit prints it");
    let mut parts = change.split('.');
    let mut part = || parts.next().and_then(|p| p.parse::<u64>().ok()).ok_or_else(wrong);
    let (topic, store, number) = (part()?, part()?, part()?);
    let fits = topic < u64::from(dissemination::bounds::MAX_TOPICS) && store < settings::MAX_CONTROLS as u64;
    if parts.next().is_some() || !fits || !(1..=dissemination::bounds::MAX_NUMBER).contains(&number) {
        return Err(wrong());
    }
    Ok((StreamId { topic: topic as u8, store: ControlId(store as u8) }, number))
}

/// Asks the control machines for the status of a change, with the complete list of missing proxies; the first
/// answer is used.
fn query_status(
    clients: &mut [ControlClient],
    (stream, number): (StreamId, u64),
) -> Result<StatusReport, String> {
    let mut why = String::new();
    for client in clients {
        let mut ask = |from| {
            let question = Message::Status { token: 1, stream, number, from };
            let answer = client.ask(&question, |answer| match answer {
                Message::Told(report) => Some(Some(report)),
                Message::Busy { .. } => Some(None),
                _ => None,
            });
            answer?.ok_or_else(|| "too many status queries at once".to_owned())
        };
        let mut report = match ask(FollowerId(0)) {
            Ok(report) => report,
            Err(what) => {
                why = what;
                continue;
            }
        };
        // Fetches the rest if more proxies are missing than fit into one answer.
        while let Some(FollowerId(last)) = report
            .missing
            .last()
            .copied()
            .filter(|_| (report.missing.len() as u32) < report.followers - report.have)
        {
            let Some(from) = last.checked_add(1) else { break };
            match ask(FollowerId(from)) {
                Ok(more) if !more.missing.is_empty() => report.missing.extend(more.missing),
                _ => break,
            }
        }
        return Ok(report);
    }
    Err(why)
}

fn names(followers: Option<&str>) -> Result<BTreeMap<FollowerId, String>, String> {
    followers.map_or_else(|| Ok(BTreeMap::new()), |path| settings::roster(Path::new(path)))
}

fn format_names(of: &[FollowerId], names: &BTreeMap<FollowerId, String>) -> String {
    let name = |id: &FollowerId| names.get(id).cloned().unwrap_or_else(|| format!("{:016x}", id.0));
    of.chunks(NAMES_PER_LINE)
        .map(|some| some.iter().map(name).collect::<Vec<_>>().join(" "))
        .collect::<Vec<_>>()
        .join("\n  ")
}

/// Whether every proxy in service has the change.
fn is_complete(report: &StatusReport) -> bool {
    report.all() || (report.committed && report.lapsed)
}

fn show(change: &str, report: &StatusReport, names: &BTreeMap<FollowerId, String>) -> Result<(), String> {
    let StatusReport { committed, since, followers, have, .. } = report;
    match committed {
        true => print(&format!(
            "change {change}: a majority of the stores has it, known for {:.1} s",
            f64::from(*since) / 1000.0
        ))?,
        false => print(&format!("change {change}: no majority of the stores is known to have it"))?,
    }
    print(&format!("{have} of {followers} proxies are known to have it"))?;
    if !report.missing.is_empty() {
        print(&format!("not known to have it:\n  {}", format_names(&report.missing, names)))?;
    }
    if report.lapsed && have < followers {
        print("the lease has passed since: those not known to have it are out of service")?;
    }
    if !report.refused.is_empty() {
        print(&format!(
            "have it and could not put it in force:\n  {}",
            format_names(&report.refused, names)
        ))?;
    }
    if !report.unheard.is_empty() {
        let unheard: Vec<String> = report.unheard.iter().map(|c| c.0.to_string()).collect();
        print(&format!("control machines not heard: {}", unheard.join(" ")))?;
    }
    Ok(())
}

fn status(followers: Option<&str>, change: &str, addresses: &[String]) -> Completed {
    let (names, of) = (names(followers)?, parse_change(change)?);
    let report = query_status(&mut ControlClient::all(addresses)?, of)?;
    show(change, &report, &names)?;
    Ok(is_complete(&report))
}

fn wait(timeout: f64, followers: Option<&str>, change: &str, addresses: &[String]) -> Completed {
    let (names, of) = (names(followers)?, parse_change(change)?);
    let timeout = Duration::try_from_secs_f64(timeout).map_err(|_| "--for wants seconds".to_owned())?;
    let until = Instant::now().checked_add(timeout).ok_or("--for wants seconds")?;
    let mut clients = ControlClient::all(addresses)?;
    loop {
        // Errors are retried too: a control machine may be starting.
        let report = query_status(&mut clients, of);
        let expired = Instant::now() >= until;
        match report {
            Ok(report) if expired || is_complete(&report) => {
                show(change, &report, &names)?;
                return Ok(is_complete(&report));
            }
            Err(why) if expired => return Err(why),
            Ok(_) | Err(_) => {
                std::thread::sleep(POLL_INTERVAL.min(until.saturating_duration_since(Instant::now())))
            }
        }
    }
}
