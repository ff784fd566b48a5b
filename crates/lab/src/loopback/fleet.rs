//! The proxy processes of a run: one for each proxy, started, checked, terminated and restarted as the world
//! demands.

use super::children::{Child, HealthCheck, Limits, Program, Usage};
use super::event_loop::{Notice, ProcessCommand};
use super::settings::name;
use crate::host::HostError;
use async_channel::Sender;
use async_executor::LocalExecutor;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};
use world::facts::ProxyNo;
use world::world::ProxyChange;

/// Time within which a starting proxy must answer `PING` with `+PONG`.
pub const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// A ready proxy that does not answer `PING` for this long is hung.
const PING_TIMEOUT: Duration = Duration::from_secs(6);
/// Descriptors that a proxy may hold at the end beyond those at the start: some are being opened or closed at
/// either moment.
const DESCRIPTOR_TOLERANCE: u64 = 6;
/// Time for a proxy to close its descriptors once the run has closed all connections to it.
const DESCRIPTOR_CLOSE_TIMEOUT: Duration = Duration::from_secs(3);

/// A running proxy process.
#[derive(Debug)]
struct Running {
    child: Child,
    health: Option<HealthCheck>,
    /// Open descriptors when it became ready.
    at_start: Option<u64>,
    /// Usage at the last check, and the time it waited for a CPU between the check before that and the last.
    usage: Usage,
    cpu_wait: Duration,
    terminating: bool,
}

#[derive(Debug)]
struct Slot {
    proxy: ProxyNo,
    address: SocketAddr,
    running: Option<Running>,
    /// CPU time and peak memory of earlier processes.
    ended_cpu: Duration,
    memory_kb: u64,
}

#[derive(Debug)]
pub struct Fleet<'a> {
    program: &'a Program,
    limits: Limits,
    dir: PathBuf,
    slots: Vec<Slot>,
    notices: Sender<Notice>,
    /// Longest time that a process waited for a CPU over two consecutive checks.
    max_cpu_wait: Duration,
}

impl<'a> Fleet<'a> {
    pub fn new(
        program: &'a Program,
        limits: Limits,
        dir: &Path,
        addresses: &[SocketAddr],
        notices: Sender<Notice>,
    ) -> Self {
        let slot = |(i, address): (usize, &SocketAddr)| Slot {
            proxy: ProxyNo(i as u32),
            address: *address,
            running: None,
            ended_cpu: Duration::ZERO,
            memory_kb: 0,
        };
        let slots = addresses.iter().enumerate().map(slot).collect();
        Fleet { program, limits, dir: dir.to_owned(), slots, notices, max_cpu_wait: Duration::ZERO }
    }

    /// Starts a proxy; a process that still runs in its slot is killed first.
    pub fn start(
        &mut self,
        proxy: ProxyNo,
        configuration: &str,
        executor: &LocalExecutor<'_>,
    ) -> Result<(), HostError> {
        let Some(slot) = self.slots.get_mut(proxy.0 as usize) else { return Ok(()) };
        let name = name(proxy);
        let system =
            |source| HostError::Io { what: format!("cannot write the configuration of {name}"), source };
        let dir = self.dir.join(&name);
        std::fs::create_dir_all(&dir).map_err(system)?;
        let path = dir.join("config.json");
        std::fs::write(&path, configuration).map_err(system)?;
        let discovery = serde_json::from_str::<serde_json::Value>(configuration).ok();
        let discovery = discovery.as_ref().and_then(|c| c["discovery"].as_str()).unwrap_or_default();
        let variables = [
            ("NODE_NAME", name.clone()),
            ("NODE_LISTEN", slot.address.to_string()),
            ("NODE_DISCOVERY", discovery.to_owned()),
            ("NODE_CONFIG", path.display().to_string()),
        ];
        slot.end();
        let child = Child::start(&name, self.program, self.limits, &dir, &variables, &[])?;
        let health = Some(HealthCheck::watch(slot.address, executor));
        slot.running = Some(Running {
            child,
            health,
            at_start: None,
            usage: Usage::default(),
            cpu_wait: Duration::ZERO,
            terminating: false,
        });
        Ok(())
    }

    pub fn is_ready(&self) -> bool {
        let ready = |r: &Running| r.health.as_ref().is_some_and(HealthCheck::is_ready);
        self.slots.iter().all(|s| s.running.as_ref().is_some_and(ready))
    }

    /// Applies a change that the world demands to a process.
    pub fn apply(
        &mut self,
        process_command: &ProcessCommand,
        executor: &LocalExecutor<'_>,
    ) -> Result<(), HostError> {
        let ProcessCommand { proxy, change, configuration } = process_command;
        let Some(slot) = self.slots.get_mut(proxy.0 as usize) else { return Ok(()) };
        match change {
            ProxyChange::End => {
                if let Some(running) = &mut slot.running {
                    running.terminating = true;
                    running.health = None;
                    running.child.terminate();
                }
                Ok(())
            }
            ProxyChange::Die => {
                slot.end();
                Ok(())
            }
            ProxyChange::Start => {
                if slot.running.is_some() {
                    // A process that has not exited by now is killed, with its process group.
                    slot.end();
                    let _ = self.notices.try_send(Notice::Ended { proxy: *proxy, planned: true });
                }
                self.start(*proxy, configuration, executor)
            }
        }
    }

    /// Checks every process: its exit status, its limits, its health.
    pub fn check(&mut self) -> Result<(), HostError> {
        for slot in &mut self.slots {
            let Some(running) = &mut slot.running else { continue };
            if let Some(status) = running.child.ended() {
                if !running.terminating || status.code().is_none() {
                    return Err(running.child.error(&format!("died ({status})")));
                }
                let _ = self.notices.try_send(Notice::Ended { proxy: slot.proxy, planned: true });
                slot.end();
                continue;
            }
            let usage = running.child.usage().unwrap_or(running.usage);
            if running.at_start.is_some() {
                let waited = usage.waited.saturating_sub(running.usage.waited);
                // Two checks in a row, because a wait may span the time of a check.
                self.max_cpu_wait = self.max_cpu_wait.max(waited + running.cpu_wait);
                running.cpu_wait = waited;
            }
            running.usage = usage;
            if let Some(error) = running.child.limit_error(self.limits, running.usage) {
                return Err(error);
            }
            let Some(health) = &running.health else { continue };
            if health.is_ready() && running.at_start.is_none() {
                running.at_start = Some(running.usage.descriptors);
            }
            let (silent, most) =
                (health.silent_for(), if health.is_ready() { PING_TIMEOUT } else { READY_TIMEOUT });
            if silent > most {
                let silent = silent.as_secs();
                let what = match health.is_ready() {
                    true => format!("hangs: it has not answered PING for {silent} s"),
                    false => format!("not ready after {silent} s"),
                };
                return Err(running.child.error(&what));
            }
        }
        Ok(())
    }

    /// Reports proxies that have not closed their descriptors once everything connected to them is gone.
    pub fn check_for_leaks(&mut self) -> Result<(), HostError> {
        let until = Instant::now() + DESCRIPTOR_CLOSE_TIMEOUT;
        for slot in &mut self.slots {
            let Some(running) = &mut slot.running else { continue };
            running.health = None;
            let Some(at_start) = running.at_start.filter(|_| !running.terminating) else { continue };
            while let Some(now) = running.child.usage().map(|u| u.descriptors) {
                if now <= at_start + DESCRIPTOR_TOLERANCE {
                    break;
                }
                if Instant::now() >= until {
                    let what = format!(
                        "leaks descriptors: {now} are open without connections, {at_start} at its start"
                    );
                    return Err(running.child.error(&what));
                }
                std::thread::sleep(Duration::from_millis(20));
            }
        }
        Ok(())
    }

    /// Longest time that a proxy waited for a CPU over two consecutive checks; lateness of this size is not
    /// its fault.
    pub fn max_cpu_wait(&self) -> Duration {
        self.max_cpu_wait
    }

    /// Resource usage of each proxy, over all its processes; descriptors are the current ones.
    pub fn usage(&self) -> Vec<Usage> {
        let one = |s: &Slot| {
            let now = s.running.as_ref().map(|r| r.child.usage().unwrap_or(r.usage)).unwrap_or_default();
            Usage { cpu: now.cpu + s.ended_cpu, memory_kb: now.memory_kb.max(s.memory_kb), ..now }
        };
        self.slots.iter().map(one).collect()
    }
}

impl Slot {
    /// Releases a process; no other code does.
    fn end(&mut self) {
        if let Some(running) = self.running.take() {
            let usage = running.child.usage().unwrap_or(running.usage);
            self.ended_cpu += usage.cpu;
            self.memory_kb = self.memory_kb.max(usage.memory_kb);
        }
    }
}

#[cfg(test)]
mod tests;
