//! Receives numbered changes from control machines and reports back which of them are applied. This module
//! owns the [`dissemination::Follower`] of this proxy and the target of the changes ([`applier`]). It has no
//! sockets and no clock, so that it also runs in virtual time. It is only used if the feature file has
//! `control` lines.
//!
//! Nothing is persisted, since the state that changes apply to is not persistent either: after a restart a
//! proxy receives all changes again.
//!
//! Pass it the messages and state changes of connections, call [`FollowerDriver::tick`] at
//! [`FollowerDriver::next`], and execute the returned [`HostAction`]s.

pub mod applier;

use super::control::{settings, stream_name, ControlList};
use crate::interface::Micros;
use applier::{Applier, Refusal};
use dissemination::follower::Output;
use dissemination::frame::CloseReason;
use dissemination::{order, ControlId, Follower, Message, Piece, StreamId, TopicKind};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::field::display;
use tracing::{info, warn};

/// Interval between figures in the log, and maximum number of log lines about changes within it.
const FIGURES_INTERVAL: Micros = 10_000_000;
const MAX_LINES: u64 = 20;

#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    pub controls: ControlList,
    /// Region, zone and site of this proxy.
    pub place: Option<[String; 3]>,
    /// The text of the feature file, which received settings override.
    pub text: Rc<str>,
}

/// An action for the host to execute.
#[derive(Debug)]
pub enum HostAction {
    /// Connect to a control machine.
    Dial(ControlId),
    Send(ControlId, Message),
    /// Send the reason and close the connection, also if it is not established yet.
    Close(ControlId, CloseReason),
}

/// Drives the follower, see the module documentation.
#[derive(Debug)]
pub struct FollowerDriver {
    follower: Follower,
    topics: Vec<TopicKind>,
    addresses: Vec<SocketAddr>,
    applier: Box<dyn Applier>,
    out: Vec<Output>,
    /// Control machines whose failure has been logged.
    unreachable: BTreeSet<ControlId>,
    logged_lines: u64,
    last_figures: Micros,
    in_service: bool,
    /// Number of changes since the start that could not be applied.
    refused: u64,
}

impl FollowerDriver {
    /// Creates the driver for the proxy with this name. The error names the settings that contradict each
    /// other.
    pub fn new(
        now: Micros,
        settings: &Settings,
        name: &str,
        applier: Box<dyn Applier>,
    ) -> Result<Self, String> {
        let rules = settings.controls.rules()?;
        let (me, topics) = (settings::follower(name), rules.topics.clone());
        let (places, place) = settings.controls.places(settings.place.as_ref());
        let order = order::preference_order(me, place, &places);
        let (controls, first) = (order.len(), order.first().map_or(0, |c| c.0));
        let id = me.0;
        info!(
            event = "follower",
            controls, first, "follower {id:016x} of {controls} control machines, the first is {first}"
        );
        Ok(FollowerDriver {
            follower: Follower::new(now, rules, me, order, None, now.unsigned_abs())?,
            topics,
            addresses: settings.controls.listed.iter().map(|l| l.address).collect(),
            applier,
            out: Vec::new(),
            unreachable: BTreeSet::new(),
            logged_lines: 0,
            last_figures: now,
            in_service: false,
            refused: 0,
        })
    }

    /// The address of a control machine.
    pub fn address(&self, control: ControlId) -> Option<SocketAddr> {
        self.addresses.get(usize::from(control.0)).copied()
    }

    /// A connection is established.
    pub fn up(&mut self, now: Micros, control: ControlId) {
        self.follower.up(now, control, &mut self.out);
    }

    /// A connection is closed or could not be established. Only the first of consecutive failures is logged.
    pub fn down(&mut self, now: Micros, control: ControlId, why: &str) {
        self.log_trouble(control, why);
        self.follower.down(now, control, &mut self.out);
    }

    fn log_trouble(&mut self, control: ControlId, why: &str) {
        if self.unreachable.insert(control) {
            let (number, address) = (control.0, self.address(control).map(display));
            warn!(event = "control_down", number, control = address, why, "control machine {number}: {why}");
        }
    }

    /// Handles a message from a control machine.
    pub fn handle_message(&mut self, now: Micros, control: ControlId, message: &Message) {
        let welcome = matches!(message, Message::Welcome { .. });
        match self.follower.handle_message(now, control, message, &mut self.out) {
            Err(why) => {
                self.log_trouble(control, &why.to_string());
                self.out.push(Output::Close(control, why));
            }
            Ok(()) if welcome && self.unreachable.remove(&control) => {
                let (number, address) = (control.0, self.address(control).map(display));
                info!(
                    event = "control_up",
                    number,
                    control = address,
                    "control machine {number} is reachable again"
                );
            }
            Ok(()) => {}
        }
    }

    /// When [`FollowerDriver::tick`] must be called next.
    pub fn next(&self) -> Micros {
        self.follower.next_tick()
    }

    /// Whether all changes that were acknowledged a lease ago have been applied.
    pub fn in_service(&self) -> bool {
        self.in_service
    }

    /// Runs due timers and returns the actions to execute.
    pub fn tick(&mut self, now: Micros, actions: &mut Vec<HostAction>) {
        if self.follower.next_tick() <= now {
            self.follower.tick(now, &mut self.out);
        }
        for output in std::mem::take(&mut self.out) {
            match output {
                Output::Dial(control) => actions.push(HostAction::Dial(control)),
                Output::Send(control, message) => actions.push(HostAction::Send(control, message)),
                Output::Close(control, why) => {
                    if !matches!(why, CloseReason::NoLongerNeeded) {
                        self.log_trouble(control, &why.to_string());
                    }
                    actions.push(HostAction::Close(control, why));
                }
                Output::Apply(piece) => self.apply(&piece),
                Output::Stale(of) => self.reset_stream(of),
                Output::OutOfService => {
                    self.in_service = false;
                    let lease = "no control machine has confirmed within the lease that no change is missing";
                    warn!(event = "out_of_service", "out of service: {lease}");
                }
                Output::InService => {
                    self.in_service = true;
                    info!(event = "in_service", "in service: all acknowledged changes have been received");
                }
            }
        }
        if now - self.last_figures >= FIGURES_INTERVAL {
            self.last_figures = now;
            self.figures(now);
        }
    }

    fn apply(&mut self, piece: &Piece) {
        let of = piece.stream;
        match self.topics.get(usize::from(of.topic)) {
            Some(TopicKind::Set) if piece.is_mark() => {
                self.applier.mark_all_stale();
                let (name, upto) = (stream_name(of), piece.upto());
                self.log_limited(|| {
                    info!(
                        event = "mark",
                        stream = name,
                        upto,
                        "{name}: everything up to change {upto} is treated as stale"
                    );
                });
            }
            Some(TopicKind::Set) => piece.changes().for_each(|(_, _, body)| self.applier.mark_stale(body)),
            Some(TopicKind::Register) => {
                for (number, key, body) in piece.changes() {
                    let result = self.applier.configure(of, key, body);
                    self.configured(of, number, result);
                }
            }
            // The follower only delivers topics that are in its rules.
            None => {}
        }
    }

    fn configured(&mut self, of: StreamId, number: u64, result: Result<String, Refusal>) {
        let name = stream_name(of);
        match result {
            Ok(setting) => self.log_limited(|| {
                info!(
                    event = "configured",
                    stream = name,
                    number,
                    setting,
                    "change {name}.{number}: {setting} is stored, it does not take effect yet"
                );
            }),
            Err(Refusal(why)) => {
                self.refused += 1;
                self.follower.report_refused(of, number);
                self.log_limited(|| {
                    warn!(
                        event = "change_refused",
                        stream = name,
                        number,
                        why,
                        "change {name}.{number} is refused, keeping the last valid settings: {why}"
                    );
                });
            }
        }
    }

    fn reset_stream(&mut self, of: StreamId) {
        match self.topics.get(usize::from(of.topic)) {
            Some(TopicKind::Set) => self.applier.mark_all_stale(),
            Some(TopicKind::Register) => self.applier.void_stream(of),
            None => {}
        }
        let name = stream_name(of);
        self.log_limited(|| {
            warn!(
                event = "begun_anew",
                stream = name,
                "{name}: state discarded, it will be received again from the start"
            )
        });
    }

    /// Logs a line of a kind that can be frequent, up to [`MAX_LINES`] per interval.
    fn log_limited(&mut self, log: impl FnOnce()) {
        self.logged_lines += 1;
        if self.logged_lines <= MAX_LINES {
            log();
        }
    }

    fn figures(&mut self, now: Micros) {
        let s = self.follower.stats(now);
        let number = |of: Option<(ControlId, bool)>| of.filter(|(_, up)| *up).map(|(c, _)| c.0);
        let (primary, secondary) = (number(s.primary), number(s.secondary));
        let held: u64 = self.follower.position().iter().map(|(_, number)| number).sum();
        let (age_ms, refused) = (s.age.map(|age| age / 1000), self.refused);
        let shown = |n: Option<u8>| n.map_or("none".to_owned(), |n| n.to_string());
        let age = age_ms.map_or("never".to_owned(), |ms| format!("{ms} ms ago"));
        let (in_service, applied) = (self.in_service, self.applier.counts());
        info!(
            event = "following",
            in_service,
            primary,
            secondary,
            age_ms,
            held,
            applied = s.applied,
            marks = s.marks,
            refused,
            stale = applied.stale,
            stale_floor = applied.all_stale,
            settings = applied.settings,
            pulls = s.pulls,
            promotions = s.promotions,
            misfits = s.misfits,
            bytes_in = s.bytes_in,
            bytes_out = s.bytes_out,
            "following: in service {in_service}, primary {} secondary {}, all known {age}; held {held} applied {} \
             marks {} refused {refused} settings {}; pulls {} promotions {} misfits {}; bytes in {} out {}",
            shown(primary),
            shown(secondary),
            s.applied,
            s.marks,
            applied.settings,
            s.pulls,
            s.promotions,
            s.misfits,
            s.bytes_in,
            s.bytes_out,
        );
        let left = std::mem::take(&mut self.logged_lines).saturating_sub(MAX_LINES);
        if left > 0 {
            warn!(event = "left_out", lines = left, "{left} more log lines about changes suppressed");
        }
    }
}
