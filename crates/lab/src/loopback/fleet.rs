//! The proxies of a run: one process for each, started, watched, ended and started again as the world has it.

use super::children::{Child, Limits, Program, Pulse, Usage};
use super::event_loop::{Directive, Notice};
use super::settings::name;
use crate::host::HostError;
use async_channel::Sender;
use async_executor::LocalExecutor;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use world::facts::ProxyNo;
use world::world::ProxyChange;

/// A proxy that has not answered `PING` with `+PONG` by then is not going to be ready.
pub const READY: Duration = Duration::from_secs(30);
/// One that was ready and does not answer for this long hangs.
const HUNG: Duration = Duration::from_secs(6);
/// Its descriptors may be this many more at the end than at the start: some are on their way at either moment.
const LEAKED: u64 = 6;
/// How long it has to give back what the end of the run has closed.
const GIVES_BACK: Duration = Duration::from_secs(3);

/// A process in its place.
#[derive(Debug)]
struct Running {
    child: Child,
    pulse: Option<Pulse>,
    /// Descriptors once it was ready.
    at_start: Option<u64>,
    /// As it was last seen, and how long it had waited for a core since the look before that.
    usage: Usage,
    waited: Duration,
    told_to_end: bool,
}

#[derive(Debug)]
struct Seat {
    proxy: ProxyNo,
    address: SocketAddr,
    running: Option<Running>,
    /// Of processes that are gone.
    spent: Duration,
    memory_kb: u64,
}

#[derive(Debug)]
pub struct Fleet<'a> {
    program: &'a Program,
    limits: Limits,
    dir: PathBuf,
    seats: Vec<Seat>,
    notices: Sender<Notice>,
    /// The longest that a process has waited for a core within two looks.
    starved: Duration,
}

impl<'a> Fleet<'a> {
    pub fn new(
        program: &'a Program,
        limits: Limits,
        dir: &Path,
        addresses: &[SocketAddr],
        notices: Sender<Notice>,
    ) -> Self {
        let seat = |(i, address): (usize, &SocketAddr)| Seat {
            proxy: ProxyNo(i as u32),
            address: *address,
            running: None,
            spent: Duration::ZERO,
            memory_kb: 0,
        };
        let seats = addresses.iter().enumerate().map(seat).collect();
        Fleet { program, limits, dir: dir.to_owned(), seats, notices, starved: Duration::ZERO }
    }

    /// Starts a proxy; whoever is still in its place is ended first.
    pub fn start(
        &mut self,
        proxy: ProxyNo,
        configuration: &str,
        executor: &LocalExecutor<'_>,
    ) -> Result<(), HostError> {
        let Some(seat) = self.seats.get_mut(proxy.0 as usize) else { return Ok(()) };
        let name = name(proxy);
        let system = |source| HostError::Io { what: format!("the configuration of {name}"), source };
        let dir = self.dir.join(&name);
        std::fs::create_dir_all(&dir).map_err(system)?;
        let path = dir.join("config.json");
        std::fs::write(&path, configuration).map_err(system)?;
        let discovery = serde_json::from_str::<serde_json::Value>(configuration).ok();
        let discovery = discovery.as_ref().and_then(|c| c["discovery"].as_str()).unwrap_or_default();
        let variables = [
            ("NODE_NAME", name.clone()),
            ("NODE_LISTEN", seat.address.to_string()),
            ("NODE_DISCOVERY", discovery.to_owned()),
            ("NODE_CONFIG", path.display().to_string()),
        ];
        seat.end();
        let child = Child::start(&name, self.program, self.limits, &dir, &variables, &[])?;
        let pulse = Some(Pulse::watch(seat.address, executor));
        seat.running = Some(Running {
            child,
            pulse,
            at_start: None,
            usage: Usage::default(),
            waited: Duration::ZERO,
            told_to_end: false,
        });
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let ready = |r: &Running| r.pulse.as_ref().is_some_and(Pulse::is_ready);
        self.seats.iter().all(|s| s.running.as_ref().is_some_and(ready))
    }

    /// Does what the world wants done about a process.
    pub fn obey(&mut self, directive: &Directive, executor: &LocalExecutor<'_>) -> Result<(), HostError> {
        let Directive { proxy, change, configuration } = directive;
        let Some(seat) = self.seats.get_mut(proxy.0 as usize) else { return Ok(()) };
        match change {
            ProxyChange::End => {
                if let Some(running) = &mut seat.running {
                    running.told_to_end = true;
                    running.pulse = None;
                    running.child.terminate();
                }
                Ok(())
            }
            ProxyChange::Die => {
                seat.end();
                Ok(())
            }
            ProxyChange::Start => {
                if seat.running.is_some() {
                    // What has not ended by now is killed, with all that it had.
                    seat.end();
                    let _ = self.notices.try_send(Notice::Ended { proxy: *proxy, planned: true });
                }
                self.start(*proxy, configuration, executor)
            }
        }
    }

    /// Looks after every process: its end, its limits, its pulse.
    pub fn look(&mut self) -> Result<(), HostError> {
        for seat in &mut self.seats {
            let Some(running) = &mut seat.running else { continue };
            if let Some(status) = running.child.ended() {
                if !running.told_to_end || status.code().is_none() {
                    return Err(running.child.error(&format!("died ({status})")));
                }
                let _ = self.notices.try_send(Notice::Ended { proxy: seat.proxy, planned: true });
                seat.end();
                continue;
            }
            let usage = running.child.usage().unwrap_or(running.usage);
            if running.at_start.is_some() {
                let waited = usage.waited.saturating_sub(running.usage.waited);
                // Two looks in a row: a wait may lie across the border.
                self.starved = self.starved.max(waited + running.waited);
                running.waited = waited;
            }
            running.usage = usage;
            if let Some(breach) = running.child.breach(self.limits, running.usage) {
                return Err(breach);
            }
            let Some(pulse) = &running.pulse else { continue };
            if pulse.is_ready() && running.at_start.is_none() {
                running.at_start = Some(running.usage.descriptors);
            }
            let (silent, most) = (pulse.silent_for(), if pulse.is_ready() { HUNG } else { READY });
            if silent > most {
                let silent = silent.as_secs();
                let what = match pulse.is_ready() {
                    true => format!("hangs: it has not answered PING for {silent} s"),
                    false => format!("not ready after {silent} s"),
                };
                return Err(running.child.error(&what));
            }
        }
        Ok(())
    }

    /// Once all that was connected to the proxies is gone: whether they have given their descriptors back.
    pub fn look_for_leaks(&mut self) -> Result<(), HostError> {
        let until = Instant::now() + GIVES_BACK;
        for seat in &mut self.seats {
            let Some(running) = &mut seat.running else { continue };
            running.pulse = None;
            let Some(at_start) = running.at_start.filter(|_| !running.told_to_end) else { continue };
            while let Some(now) = running.child.usage().map(|u| u.descriptors) {
                if now <= at_start + LEAKED {
                    break;
                }
                if Instant::now() >= until {
                    let what = format!(
                        "leaks descriptors: {now} are open though nobody is connected, {at_start} were at its start"
                    );
                    return Err(running.child.error(&what));
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(())
    }

    /// The longest that a proxy has waited for a core within two looks: what it did late then is not its fault.
    pub fn starved(&self) -> Duration {
        self.starved
    }

    /// What each proxy has used so far, all its processes together; descriptors are those of now.
    pub fn usage(&self) -> Vec<Usage> {
        let one = |s: &Seat| {
            let now = s.running.as_ref().map(|r| r.child.usage().unwrap_or(r.usage)).unwrap_or_default();
            Usage { cpu: now.cpu + s.spent, memory_kb: now.memory_kb.max(s.memory_kb), ..now }
        };
        self.seats.iter().map(one).collect()
    }
}

impl Seat {
    /// The one place where a process is given back.
    fn end(&mut self) {
        if let Some(running) = self.running.take() {
            let usage = running.child.usage().unwrap_or(running.usage);
            self.spent += usage.cpu;
            self.memory_kb = self.memory_kb.max(usage.memory_kb);
        }
    }
}

#[cfg(test)]
mod tests;
