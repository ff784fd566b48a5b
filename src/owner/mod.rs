//! The event loop: the single task that owns the core and, through it, the decision module. It receives
//! events from the sockets, carries out the core's effects, and holds the task of every connection. Each of
//! these tasks is dropped in exactly one place.
//!
//! Each submodule handles one concern: the [`ports`] it listens on, [`downstreams`] and [`upstreams`], the
//! address and watch of [`discovery`], the optional features ([`side`]), the connections to [`planners`] and
//! control machines ([`controls`]), and the figures it logs ([`report`]). The submodules do not depend on
//! each other except for shared types; this file connects them.
//!
//! No decision about a request is made here: that is the module's. Who may connect, which connection is
//! closed to make room and how a planned shutdown proceeds is decided by the [`door`].
//!
//! [`door`]: crate::admission

mod controls;
mod discovery;
mod downstreams;
mod input_waits;
mod planners;
mod ports;
mod report;
mod side;
mod upstreams;

use crate::admission::drain::Drain;
use crate::admission::{
    Admission, CloseReason, Counts, HeldMemory, InputMemory, Limits, MemoryAction, Reservation,
    ReservationBudget,
};
use crate::clock::Clock;
use crate::codec::discovery::hash_id;
use crate::config::Config;
use crate::core::{Core, DownstreamId, Effect, Input};
use crate::features::figures::Gauges;
use crate::features::file::Features;
use crate::features::follower::{applier::StagingApplier, FollowerDriver};
use crate::features::forwarder::ForwarderDriver;
use crate::features::snmp::{self, snapshot_builder::OwnerStatus, Identity};
use crate::interface::Micros;
use crate::log::writer::Writer;
use crate::net::accept::Socket;
use crate::net::command::CommandParser;
use crate::net::downstream::{TaskMessage, MAX_ANSWER};
use crate::net::memcached::stats::PublishedStats;
use crate::net::upstream::RESERVED_REPLY;
use crate::net::{Caller, EventSender, NetEvent, PortIndex};
use crate::settings::Site;
use crate::signals::{SignalRequest, Signals};
use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Timer;
use controls::Controls;
use discovery::Discovery;
use downstreams::{Downstreams, NewDownstream};
use futures_lite::future;
use input_waits::InputWaits;
use planners::Planners;
use ports::Ports;
use report::Report;
use side::Side;
use std::rc::Rc;
use std::time::Instant;
use tracing::field::display;
use tracing::{info, warn};
use upstreams::Upstreams;

/// The capacity of the event queue, and the number of events handled before timers are checked.
const QUEUE_CAPACITY: usize = 1024;
const MAX_EVENTS_PER_TURN: usize = 256;
/// How often periodic work such as publishing figures is done.
const SWEEP_INTERVAL: Micros = 250_000;
/// How often the progress of a planned shutdown is checked.
const SHUTDOWN_CHECK_INTERVAL: Micros = 20_000;
/// With a known list, the proxy reports ready this long after the start even if discovery has not answered.
const READY_AFTER: Micros = 1_000_000;
/// The share of the memory limit that replies may take while they arrive from nodes.
const ARRIVING_REPLIES_DIVISOR: usize = 8;

struct EventLoop {
    clock: Clock,
    core: Core,
    /// Reused buffer for the core's effects; empty between uses.
    effects: Vec<Effect>,
    /// The room of replies that were passed on to the tasks of their downstreams, until these have run.
    passed_on: Vec<Reservation>,
    executor: Rc<LocalExecutor<'static>>,
    queue: EventSender,
    site: Rc<Site>,
    vocabulary: Rc<CommandParser>,
    ports: Ports,
    door: Admission,
    downstreams: Downstreams,
    upstreams: Upstreams,
    discovery: Discovery,
    side: Side,
    planners: Option<Planners>,
    controls: Option<Controls>,
    report: Report,
    input_waits: InputWaits,
    /// The memory held for all connections.
    held: Rc<HeldMemory>,
    /// The room for what clients send.
    input_memory: Rc<InputMemory>,
    /// The door's counters when the figures were last flushed.
    flushed: Counts,
    started: Micros,
    swept: Micros,
    shutdown: Option<Drain>,
}

/// Serves until a planned shutdown (SIGTERM or SIGINT) is complete. `path` is the configuration file, read
/// again on SIGHUP; `stderr` receives the figures meant for standard error. All tasks are spawned on
/// `executor`, which must run on the calling thread. The error says why the proxy cannot serve.
pub async fn run(
    config: Config,
    path: String,
    features: Features,
    stderr: Writer,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<(), String> {
    // Install the handlers before announcing the port: whoever reads the announcement may send a signal.
    let signals = Signals::new().map_err(|e| format!("signals: {e}"))?;
    let bound = ports::bind(config.listen, &features, &config.name, config.known.nodes.len())?;
    let agent = features.snmp.as_ref().map(|agent| snmp::bind(config.listen.ip(), agent)).transpose()?;
    if let Some(odd) = &config.known_error {
        warn!(event = "odd_entry", why = odd, "the known list holds {odd}");
    }
    let (queue, news) = async_channel::bounded(QUEUE_CAPACITY);
    let clock = Clock::new();
    let now = clock.now();
    let site = Rc::new(config.site);
    // Ids generated here must differ between proxies even where no seed is configured.
    let seed = config.seed ^ hash_id(config.name.as_bytes()) ^ now as u64;
    let limits =
        Limits { descriptors: config.sockets, memory: config.memory, side_ports: bound.side_ports() };
    let door = features.door.clone();
    let planners = match features.forwarder.clone() {
        None => None,
        Some(settings) => {
            let nodes = config.known.nodes.iter().map(|l| (l.member.clone(), l.name.clone())).collect();
            let known = (config.known.revision, nodes);
            let seed = config.seed ^ now.unsigned_abs();
            let made = ForwarderDriver::new(now, settings, &config.name, &site.settings, known, seed);
            Some(Planners::new(made.map_err(|e| format!("planners: {e}"))?))
        }
    };
    let controls = match features.follower.clone() {
        None => None,
        Some(settings) => {
            let carried = Box::new(StagingApplier::new(settings.text.clone(), site.clone()));
            Some(Controls::new(FollowerDriver::new(now, &settings, &config.name, carried)?))
        }
    };
    let side = Side::new(now, features, Identity { name: &config.name, site: site.clone(), seed })?;
    let ports = bound.open(&executor, &queue, side.admits());
    let writer = side.figures().map(|figures| executor.spawn(figures.write(stderr)));
    let snmp = side.snmp().zip(agent).map(|(snmp, bound)| {
        let answers = executor.spawn(snmp.clone().answer(bound, move || clock.now()));
        (answers, executor.spawn(snmp.notify(move || clock.now())))
    });
    let answers = ReservationBudget::new(door.waiting_answers_limit(limits.memory), MAX_ANSWER);
    let replies = ReservationBudget::new(
        (limits.memory / ARRIVING_REPLIES_DIVISOR).max(RESERVED_REPLY),
        RESERVED_REPLY,
    );
    let input_memory = InputMemory::new(door.held_limit(limits.memory));
    let door = Admission::new(&door, limits);
    let held = Rc::new(HeldMemory::default());
    let mut event_loop = EventLoop {
        clock,
        core: Core::new(
            now,
            site.settings.clone(),
            config.seed,
            door.node_connection_limit([0; 2]),
            config.known,
        ),
        effects: Vec::new(),
        passed_on: Vec::new(),
        executor: executor.clone(),
        queue: queue.clone(),
        vocabulary: Rc::new(CommandParser { site: site.clone(), ready: false.into() }),
        ports,
        door,
        downstreams: Downstreams::new(queue.clone(), held.clone(), answers, input_memory.clone()),
        upstreams: Upstreams::new(site.columns.clone(), held.clone(), replies),
        discovery: Discovery::new(path, config.discovery),
        side,
        planners,
        controls,
        report: Report::new(now, config.memory),
        input_waits: InputWaits::default(),
        held,
        input_memory,
        flushed: Counts::default(),
        started: now,
        swept: now,
        shutdown: None,
        site,
    };
    let _signals = executor.spawn(async move {
        loop {
            let news = match signals.next().await {
                SignalRequest::Reload => NetEvent::Reload,
                SignalRequest::End => NetEvent::Drain,
            };
            let _ = queue.send(news).await;
        }
    });
    event_loop.run_loop(&news).await;
    drop(snmp);
    if let Some(planners) = &mut event_loop.planners {
        planners.send_farewell(event_loop.clock.now()).await;
    }
    if let Some((figures, writer)) = event_loop.side.figures().zip(writer) {
        figures.end(event_loop.gauges(), writer).await;
    }
    Ok(())
}

impl EventLoop {
    async fn run_loop(&mut self, news: &Receiver<NetEvent>) {
        let mut timer = Timer::at(Instant::now());
        loop {
            // Handle queued events before timers: an answer that has arrived must not be treated as a
            // timeout.
            let now = self.clock.now();
            self.core.wants_records = self.side.listens() || self.planners.is_some();
            self.core.wants_node_events = self.planners.is_some();
            self.core.limit_connections(self.door.node_connection_limit(self.ports.open()));
            for _ in 0..MAX_EVENTS_PER_TURN {
                let Ok(event) = news.try_recv() else { break };
                self.handle(now, event);
            }
            self.core.tick(now);
            self.apply_effects();
            self.update_ready(now);
            self.apply_door(now);
            self.run_planners(now);
            if let Some(controls) = &mut self.controls {
                controls.tick(now, &self.executor, &self.queue);
            }
            if now - self.swept >= SWEEP_INTERVAL {
                self.sweep(now);
            }
            if self.advance_shutdown(now) {
                return;
            }
            // Apply the effects of downstreams the door has closed.
            self.apply_effects();
            self.ports.allow(&self.door);
            if !news.is_empty() {
                future::yield_now().await;
                self.passed_on.clear();
                continue;
            }
            let wake_at =
                now + if self.shutdown.is_some() { SHUTDOWN_CHECK_INTERVAL } else { SWEEP_INTERVAL };
            let wake_at = self.door.next_deadline(now).map_or(wake_at, |at| wake_at.min(at));
            let wake_at = self.planners.as_ref().map_or(wake_at, |p| wake_at.min(p.forwarding.next(now)));
            let wake_at = self.controls.as_ref().map_or(wake_at, |c| wake_at.min(c.following.next()));
            timer.set_at(self.clock.instant(self.core.next().min(wake_at)));
            let tick = async {
                (&mut timer).await;
                None
            };
            let event = future::or(async { news.recv().await.ok() }, tick).await;
            self.passed_on.clear();
            if let Some(event) = event {
                self.handle(self.clock.now(), event);
                self.apply_effects();
            }
        }
    }

    /// Runs due work for the planner connections, and passes a new plan to the module.
    fn run_planners(&mut self, now: Micros) {
        let Some(planners) = &mut self.planners else { return };
        if let Some(plan) = planners.tick(now, &self.executor, &self.queue) {
            self.core.input(now, Input::Plan(plan));
            self.apply_effects();
        }
    }

    fn handle(&mut self, now: Micros, news: NetEvent) {
        match news {
            NetEvent::Core(input) => {
                if let Input::DownstreamClosed(id) = input {
                    if let Some(shown) = self.downstreams.remove(id) {
                        self.door.update(now, id, shown);
                        self.door.left(id);
                    }
                }
                // The door closed the downstream while its command was queued: there is nobody to answer.
                let gone = matches!(&input, Input::Stream(ask) if !self.downstreams.has(ask.downstream));
                if !gone {
                    self.core.input(now, input);
                }
            }
            NetEvent::Reserved(input, reservation) => {
                self.passed_on.push(reservation);
                self.core.input(now, input);
            }
            NetEvent::Accepted(socket, peer, port) => {
                self.accepted(now, socket, Caller { client: peer, via: None }, port)
            }
            // Progress of downstreams is read in every iteration of the loop; this event only wakes it.
            NetEvent::DownstreamsChanged => {}
            NetEvent::ProxyHeader(id, caller) => {
                self.door.set_client_ip(id, caller.client.ip());
                let (client, via) = (display(caller.client), caller.via.map(display));
                info!(event = "fronted", client, via, "{caller}: client address taken from a PROXY header");
            }
            NetEvent::Discovery(number, heard) => {
                if let Some(input) = self.discovery.handle(number, heard) {
                    self.core.input(now, input);
                }
            }
            NetEvent::Planner(slot, number, word) => {
                if let Some(planners) = &mut self.planners {
                    planners.handle(now, slot, number, word);
                }
            }
            NetEvent::Control(control, number, word) => {
                if let Some(controls) = &mut self.controls {
                    controls.handle(now, control, number, word);
                }
            }
            NetEvent::OutOfDescriptors => {
                self.report_to_door(now);
                self.make_room(now, true);
            }
            NetEvent::Log(note) => self.report.note(*note),
            NetEvent::Reload => {
                if self.discovery.reload() {
                    if let Some(snmp) = self.side.snmp() {
                        snmp.reloaded();
                    }
                    self.core.input(now, Input::DiscoveryMoved);
                }
            }
            NetEvent::Drain if self.shutdown.is_some() => {}
            NetEvent::Drain => {
                let streams = self.core.open_streams();
                info!(event = "told_to_end", streams, "told to end: {streams} streams open");
                let longest = self.site.settings.classes.iter().map(|class| class.limit).max();
                let ending = Drain::new(now, longest);
                self.core.input(now, Input::ShutdownBy(ending.answer_deadline()));
                self.shutdown = Some(ending);
            }
        }
    }

    /// Marks the proxy ready once it has a list; from then on `PING` is answered `+PONG`.
    fn update_ready(&mut self, now: Micros) {
        let waited = now - self.started >= READY_AFTER && self.core.serving() > 0;
        if !self.vocabulary.ready.get() && (self.core.has_list() || waited) {
            self.vocabulary.ready.set(true);
            info!(event = "ready", "ready");
        }
    }

    fn accepted(&mut self, now: Micros, socket: Socket, caller: Caller, port: PortIndex) {
        let service = self.ports.service(port);
        let protocol = self.side.protocol(service, &self.vocabulary);
        let (streams, waits) = (protocol.max_streams(), self.side.first(caller.client));
        let ip = caller.client.ip();
        let new = NewDownstream { socket, caller, service, streams, waits };
        let serve = |link| self.side.serve(service, link, protocol);
        let id = self.downstreams.add(new, &self.executor, &self.queue, serve);
        self.door.accepted(now, id, service.side(), ip, waits);
        if let Some(ending) = &mut self.shutdown {
            ending.accepted(now, id);
        }
    }

    /// Reports changes of downstream and upstream connections to the door.
    fn report_to_door(&mut self, now: Micros) {
        for (id, shown) in self.downstreams.changed(self.door.is_under_pressure()) {
            self.door.update(now, id, shown);
        }
        self.door.set_node_connections(self.core.open_connections());
    }

    /// Closes, pauses and resumes downstreams as the door decides.
    fn apply_door(&mut self, now: Micros) {
        self.report_to_door(now);
        while let Some((id, why)) = self.door.next_timeout(now) {
            if self.downstreams.finish_unsubscribed(id) {
                self.door.extend_timeout(now, id);
            } else if matches!(why, CloseReason::Speechless | CloseReason::Idle)
                && self.downstreams.reads_next(id)
            {
                // A command has arrived and is read next.
                self.door.retry_timeout(now, id);
            } else {
                self.close(id, why);
            }
        }
        self.make_room(now, false);
        for _ in 0..MAX_EVENTS_PER_TURN {
            match self.door.next_memory_action() {
                Some(MemoryAction::Pause(id)) => self.downstreams.pause(id, true),
                Some(MemoryAction::Resume(id)) => self.downstreams.pause(id, false),
                Some(MemoryAction::Close(id)) => self.close(id, CloseReason::Bytes),
                None => break,
            }
        }
    }

    /// Closes the downstreams the door selects to make room; exactly one if a descriptor is missing. Unread
    /// bytes in a socket are a command on its way, so a downstream that has sent some stays.
    fn make_room(&mut self, now: Micros, mut missing: bool) {
        while let Some((id, why)) = self.door.next_eviction(now, missing) {
            if why.spares_unread() && self.downstreams.may_have_unread_command(id) {
                self.door.spare(id);
                continue;
            }
            self.close(id, why);
            missing = false;
        }
    }

    fn close(&mut self, id: DownstreamId, why: CloseReason) {
        if let Some((service, input)) = self.downstreams.input(id).filter(|_| why == CloseReason::Speechless)
        {
            self.input_waits.closed(service, input);
        }
        self.door.closed(id, why);
        self.core.counters.unanswered += self.core.open_streams_of(id) as u64;
        self.drop_downstream(id);
    }

    fn drop_downstream(&mut self, id: DownstreamId) {
        let now = self.clock.now();
        self.handle(now, NetEvent::Core(Input::DownstreamClosed(id)));
    }

    fn apply_effects(&mut self) {
        let (mut effects, mut rerun) = (std::mem::take(&mut self.effects), false);
        self.core.swap_effects(&mut effects);
        for effect in effects.drain(..) {
            match effect {
                Effect::Answer { downstream, place, answer } => {
                    self.downstreams.order(downstream, TaskMessage::Answer(place, answer));
                }
                Effect::Dial { connection, address, origin } => {
                    let dialect = self.side.dialect(origin, self.core.node(connection));
                    self.upstreams.dial(connection, address, dialect, &self.executor, &self.queue);
                }
                Effect::Write { connection, job } => self.upstreams.write(connection, job),
                Effect::Close { connection } => self.upstreams.close(connection),
                Effect::Withdraw { connection } => {
                    if let Some(stage) = self.upstreams.withdraw(connection) {
                        self.core.input(self.clock.now(), Input::Withdrawn(connection, stage));
                        rerun = true;
                    }
                }
                Effect::Watch { after } => {
                    self.discovery.watch(after, &self.executor, &self.queue, &self.site);
                }
                Effect::Note(text) => info!(event = "core", "{text}"),
                Effect::StreamEnded(record) => {
                    self.side.record(&record);
                    if let Some(planners) = &mut self.planners {
                        planners.forwarding.record(&record);
                    }
                }
                Effect::NodeEvent(seen) => {
                    let now = self.clock.now();
                    if let Some(planners) = &mut self.planners {
                        planners.forwarding.handle_node_event(now, seen);
                    }
                }
            }
        }
        self.effects = effects;
        // A withdrawn job has freed a connection for the next request.
        if rerun {
            self.apply_effects();
        }
    }

    fn sweep(&mut self, now: Micros) {
        self.swept = now;
        self.ports.wake();
        self.side.log_refused(now, false);
        self.side.log_logins(now, false);
        self.side.publish(|| PublishedStats {
            counters: self.core.counters,
            uptime: ((now - self.started) / 1_000_000).max(0) as u64,
            downstreams: self.door.len(),
            streams: self.core.open_streams(),
            connections: self.core.open_connections(),
            serving: self.core.serving(),
        });
        if let Some(figures) = self.side.due(now) {
            let gauges = self.gauges();
            figures.flush(gauges);
        }
        self.publish(now);
        if self.report.tick(now, &self.core, &self.door, &self.input_memory) {
            self.input_waits.log(self.downstreams.input_waits());
        }
        self.report.memory(now, &self.held);
    }

    /// Publishes a snapshot to the SNMP agent, if there is one and an update is due.
    fn publish(&self, now: Micros) {
        let Some(snmp) = self.side.snmp().filter(|snmp| snmp.due(now)) else { return };
        let counts = self.door.counts();
        let process_state = OwnerStatus {
            ready: self.vocabulary.ready.get(),
            downstreams: self.door.len(),
            downstreams_limit: self.door.total_limit(),
            downstreams_refused: self.side.refused(),
            downstreams_silent: counts.timed_out(),
            downstreams_made_room: counts.made_room(),
            upstreams: self.core.open_connections(),
            upstreams_limit: self.door.node_connection_limit(self.ports.open()),
            streams: self.core.open_streams(),
            counters: self.core.counters,
        };
        snmp.publish(now, self.core.status(now), process_state);
    }

    /// The numbers of open connections, and the closings since the last call.
    fn gauges(&mut self) -> Gauges {
        let counts = self.door.counts();
        let closed = counts.since(&std::mem::replace(&mut self.flushed, counts)).collect();
        let (downstreams, upstreams) = (self.door.len(), self.core.open_connections());
        let controlled = self.controls.as_ref().map(|c| c.following.in_service());
        Gauges { downstreams, upstreams, serving: self.core.serving(), closed, controlled }
    }

    /// Continues a planned shutdown if one is in progress; returns whether it is complete.
    fn advance_shutdown(&mut self, now: Micros) -> bool {
        let Some(ending) = &mut self.shutdown else { return false };
        // Connections are counted from accept on, so accepted ones not yet reported to the event loop are
        // included.
        let none_open = self.ports.open() == [0; 2];
        if !ending.accepts(now, none_open) {
            self.ports.close();
        }
        let step = ending.step(now, || self.door.close_order());
        step.finish.into_iter().for_each(|id| self.downstreams.finish(id));
        if step.all {
            self.downstreams.leave();
        }
        let over = ending.is_over(now, none_open && self.ports.are_closed());
        if over {
            let streams = self.core.open_streams();
            self.core.counters.unanswered += streams as u64;
            self.side.log_refused(now, true);
            self.side.log_logins(now, true);
            report::figures(&self.core, &self.door, &self.input_memory);
            self.input_waits.log(self.downstreams.input_waits());
            info!(event = "ended", streams, "ended with {streams} streams open");
        }
        over
    }
}
