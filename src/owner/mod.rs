//! The one task that owns the core, and with it the module: takes news from the sockets, carries out effects,
//! and holds the task of every connection, each of which is dropped in one place.
//!
//! A file for each thing that it looks after: the [`ports`] it listens on, [`downstreams`] and [`upstreams`],
//! where [`discovery`] is, the features at work ([`side`]), the [`planners`], the [`controls`] and what it tells
//! ([`report`]). None of them knows another but for their words; how they meet is here.
//!
//! A decision about a request has no place here: it is the module's. Who may connect, who makes room and how
//! a planned end goes is the [`door`]'s.
//!
//! [`door`]: crate::admission

mod controls;
mod discovery;
mod downstreams;
mod planners;
mod ports;
mod report;
mod side;
mod upstreams;

use crate::admission::drain::Drain;
use crate::admission::{Admission, CloseReason, Counts, Limits, MemoryAction};
use crate::clock::Clock;
use crate::codec::discovery::hash_id;
use crate::config::Config;
use crate::core::{Core, DownstreamId, Effect, Input};
use crate::features::figures::Gauges;
use crate::features::file::Features;
use crate::features::follower::{applier::Carried, Following};
use crate::features::forwarder::Forwarding;
use crate::features::snmp::{self, sight::Owned, Identity};
use crate::interface::Micros;
use crate::log::writer::Writer;
use crate::net::accept::Socket;
use crate::net::command::CommandParser;
use crate::net::downstream::TaskMessage;
use crate::net::memcached::stats::PublishedStats;
use crate::net::{Caller, EventSender, NetEvent, PortIndex};
use crate::settings::Site;
use crate::signals::{SignalRequest, Signals};
use async_channel::Receiver;
use async_executor::LocalExecutor;
use async_io::Timer;
use controls::Connections;
use discovery::Discovery;
use downstreams::{Downstreams, New};
use futures_lite::future;
use planners::Planners;
use ports::Ports;
use report::Report;
use side::Side;
use std::rc::Rc;
use std::time::Instant;
use tracing::field::display;
use tracing::{info, warn};
use upstreams::Upstreams;

/// NetEvent that may wait for the owner, and news taken before it looks at its timers.
const QUEUE: usize = 1024;
const AT_ONCE: usize = 256;
/// How often what changes slowly is looked at.
const SWEEP: Micros = 250_000;
/// How often a planned end is looked at.
const ENDING: Micros = 20_000;
/// Ready without discovery's word this long after the start, if a list was known.
const PATIENCE: Micros = 1_000_000;

struct Owner {
    clock: Clock,
    core: Core,
    /// Room for what the core wants done; empty between.
    effects: Vec<Effect>,
    executor: Rc<LocalExecutor<'static>>,
    queue: EventSender,
    site: Rc<Site>,
    words: Rc<CommandParser>,
    ports: Ports,
    door: Admission,
    downstreams: Downstreams,
    upstreams: Upstreams,
    discovery: Discovery,
    side: Side,
    planners: Option<Planners>,
    controls: Option<Connections>,
    report: Report,
    /// What the door had counted when figures were flushed last.
    flushed: Counts,
    started: Micros,
    swept: Micros,
    ending: Option<Drain>,
}

/// Serves until a planned end, SIGTERM or SIGINT. `path` is where the configuration came from, which SIGHUP
/// reads again; `stderr` is where figures go that are meant for it. All tasks are spawned on `executor`,
/// whose thread this has to be. An error says why it cannot serve.
pub async fn run(
    config: Config,
    path: String,
    features: Features,
    stderr: Writer,
    executor: Rc<LocalExecutor<'static>>,
) -> Result<(), String> {
    // Before it is known to listen: who hears of that may send one.
    let signals = Signals::new().map_err(|e| format!("signals: {e}"))?;
    let bound = ports::bind(config.listen, &features, &config.name, config.known.nodes.len())?;
    let agent = features.snmp.as_ref().map(|agent| snmp::bind(config.listen.ip(), agent)).transpose()?;
    if let Some(odd) = &config.odd {
        warn!(event = "odd_entry", why = odd, "the known list holds {odd}");
    }
    let (queue, news) = async_channel::bounded(QUEUE);
    let clock = Clock::new();
    let now = clock.now();
    let site = Rc::new(config.site);
    // Ids that are made here must differ between proxies, also where no seed is configured.
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
            let made = Forwarding::new(now, settings, &config.name, &site.settings, known, seed);
            Some(Planners::new(made.map_err(|e| format!("planners: {e}"))?))
        }
    };
    let controls = match features.follower.clone() {
        None => None,
        Some(settings) => {
            let carried = Box::new(Carried::new(settings.text.clone(), site.clone()));
            Some(Connections::new(Following::new(now, &settings, &config.name, carried)?))
        }
    };
    let side = Side::new(now, features, Identity { name: &config.name, site: site.clone(), seed })?;
    let ports = bound.open(&executor, &queue, side.admits());
    let writer = side.figures().map(|figures| executor.spawn(figures.write(stderr)));
    let snmp = side.snmp().zip(agent).map(|(snmp, bound)| {
        let answers = executor.spawn(snmp.clone().answer(bound, move || clock.now()));
        (answers, executor.spawn(snmp.notify(move || clock.now())))
    });
    let door = Admission::new(&door, limits);
    let mut owner = Owner {
        clock,
        core: Core::new(
            now,
            site.settings.clone(),
            config.seed,
            door.node_connection_limit([0; 2]),
            config.known,
        ),
        effects: Vec::new(),
        executor: executor.clone(),
        queue: queue.clone(),
        words: Rc::new(CommandParser { site: site.clone(), ready: false.into() }),
        ports,
        door,
        downstreams: Downstreams::new(queue.clone()),
        upstreams: Upstreams::new(site.columns.clone()),
        discovery: Discovery::new(path, config.discovery),
        side,
        planners,
        controls,
        report: Report::new(now),
        flushed: Counts::default(),
        started: now,
        swept: now,
        ending: None,
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
    owner.work(&news).await;
    drop(snmp);
    if let Some(planners) = &mut owner.planners {
        planners.bye(owner.clock.now()).await;
    }
    if let Some((figures, writer)) = owner.side.figures().zip(writer) {
        figures.end(owner.gauges(), writer).await;
    }
    Ok(())
}

impl Owner {
    async fn work(&mut self, news: &Receiver<NetEvent>) {
        let mut timer = Timer::at(Instant::now());
        loop {
            // All that has happened comes before the timers: an answer that is here is no time-out.
            let now = self.clock.now();
            self.core.wants_records = self.side.listens() || self.planners.is_some();
            self.core.wants_node_events = self.planners.is_some();
            self.core.limit_connections(self.door.node_connection_limit(self.ports.open()));
            for _ in 0..AT_ONCE {
                let Ok(one) = news.try_recv() else { break };
                self.hear(now, one);
            }
            self.core.tick(now);
            self.carry_out();
            self.look_ready(now);
            self.keep_door(now);
            self.plan(now);
            if let Some(controls) = &mut self.controls {
                controls.tick(now, &self.executor, &self.queue);
            }
            if now - self.swept >= SWEEP {
                self.sweep(now);
            }
            if self.ended(now) {
                return;
            }
            // Downstreams that the door has closed give back what they had.
            self.carry_out();
            self.ports.allow(&self.door);
            if !news.is_empty() {
                future::yield_now().await;
                continue;
            }
            let soon = now + if self.ending.is_some() { ENDING } else { SWEEP };
            let soon = self.door.next_deadline(now).map_or(soon, |at| soon.min(at));
            let soon = self.planners.as_ref().map_or(soon, |p| soon.min(p.forwarding.next(now)));
            let soon = self.controls.as_ref().map_or(soon, |c| soon.min(c.following.next()));
            timer.set_at(self.clock.instant(self.core.next().min(soon)));
            let tick = async {
                (&mut timer).await;
                None
            };
            let one = future::or(async { news.recv().await.ok() }, tick).await;
            if let Some(one) = one {
                self.hear(self.clock.now(), one);
                self.carry_out();
            }
        }
    }

    /// Does what is due towards planners, and tells the module what they say.
    fn plan(&mut self, now: Micros) {
        let Some(planners) = &mut self.planners else { return };
        if let Some(plan) = planners.tick(now, &self.executor, &self.queue) {
            self.core.input(now, Input::Plan(plan));
            self.carry_out();
        }
    }

    fn hear(&mut self, now: Micros, news: NetEvent) {
        match news {
            NetEvent::Core(input) => {
                if let Input::DownstreamClosed(id) = input {
                    if let Some(shown) = self.downstreams.remove(id) {
                        self.door.update(now, id, shown);
                        self.door.left(id);
                    }
                }
                // Closed by the door while its command waited here: nobody is left to answer.
                let gone = matches!(&input, Input::Stream(ask) if !self.downstreams.has(ask.downstream));
                if !gone {
                    self.core.input(now, input);
                }
            }
            NetEvent::Accepted(socket, peer, port) => {
                self.accepted(now, socket, Caller { client: peer, via: None }, port)
            }
            // What they show is looked at in each turn.
            NetEvent::DownstreamsChanged => {}
            NetEvent::ProxyHeader(id, caller) => {
                self.door.set_client_ip(id, caller.client.ip());
                let (client, via) = (display(caller.client), caller.via.map(display));
                info!(event = "fronted", client, via, "{caller} taken from a front");
            }
            NetEvent::Discovery(number, heard) => {
                if let Some(input) = self.discovery.hear(number, heard) {
                    self.core.input(now, input);
                }
            }
            NetEvent::Planner(slot, number, word) => {
                if let Some(planners) = &mut self.planners {
                    planners.hear(now, slot, number, word);
                }
            }
            NetEvent::Control(control, number, word) => {
                if let Some(controls) = &mut self.controls {
                    controls.hear(now, control, number, word);
                }
            }
            NetEvent::OutOfDescriptors => {
                self.tell_door(now);
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
            NetEvent::Drain if self.ending.is_some() => {}
            NetEvent::Drain => {
                let streams = self.core.open_streams();
                info!(event = "told_to_end", streams, "told to end: {streams} streams open");
                let longest = self.site.settings.classes.iter().map(|class| class.limit).max();
                let ending = Drain::new(now, longest);
                self.core.input(now, Input::ShutdownBy(ending.answer_deadline()));
                self.ending = Some(ending);
            }
        }
    }

    /// `PING` is answered `+PONG` from the moment that there is a list.
    fn look_ready(&mut self, now: Micros) {
        let waited = now - self.started >= PATIENCE && self.core.serving() > 0;
        if !self.words.ready.get() && (self.core.has_list() || waited) {
            self.words.ready.set(true);
            info!(event = "ready", "ready");
        }
    }

    fn accepted(&mut self, now: Micros, socket: Socket, caller: Caller, port: PortIndex) {
        let service = self.ports.service(port);
        let protocol = self.side.protocol(service, &self.words);
        let (streams, waits) = (protocol.max_streams(), self.side.first(caller.client));
        let ip = caller.client.ip();
        let new = New { socket, caller, service, streams, waits };
        let serve = |link| self.side.serve(service, link, protocol);
        let id = self.downstreams.add(new, &self.executor, &self.queue, serve);
        self.door.accepted(now, id, service.side(), ip, waits);
        if let Some(ending) = &mut self.ending {
            ending.accepted(now, id);
        }
    }

    /// Tells the door what has changed.
    fn tell_door(&mut self, now: Micros) {
        for (id, shown) in self.downstreams.moved(self.door.is_under_pressure()) {
            self.door.update(now, id, shown);
        }
        self.door.set_node_connections(self.core.open_connections());
    }

    /// Does what the door says.
    fn keep_door(&mut self, now: Micros) {
        self.tell_door(now);
        while let Some((id, why)) = self.door.next_timeout(now) {
            if self.downstreams.told(id) {
                self.door.extend_timeout(now, id);
            } else if matches!(why, CloseReason::Speechless | CloseReason::Idle) && self.downstreams.reads(id)
            {
                // Its command has come and is read next.
                self.door.retry_timeout(now, id);
            } else {
                self.close(id, why);
            }
        }
        self.make_room(now, false);
        for _ in 0..AT_ONCE {
            match self.door.next_memory_action() {
                Some(MemoryAction::Pause(id)) => self.downstreams.pause(id, true),
                Some(MemoryAction::Resume(id)) => self.downstreams.pause(id, false),
                Some(MemoryAction::Close(id)) => self.close(id, CloseReason::Bytes),
                None => break,
            }
        }
    }

    /// Closes who has to go, as the door says; one, if a descriptor is missing. Bytes in a socket are a
    /// command on its way: whoever has sent them stays.
    fn make_room(&mut self, now: Micros, mut missing: bool) {
        while let Some((id, why)) = self.door.next_eviction(now, missing) {
            if self.downstreams.speaks(id) {
                self.door.spare(id);
                continue;
            }
            self.close(id, why);
            missing = false;
        }
    }

    fn close(&mut self, id: DownstreamId, why: CloseReason) {
        self.door.closed(id, why);
        self.core.counters.unanswered += self.core.open_streams_of(id) as u64;
        self.drop_downstream(id);
    }

    fn drop_downstream(&mut self, id: DownstreamId) {
        let now = self.clock.now();
        self.hear(now, NetEvent::Core(Input::DownstreamClosed(id)));
    }

    fn carry_out(&mut self) {
        let (mut effects, mut again) = (std::mem::take(&mut self.effects), false);
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
                        again = true;
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
                        planners.forwarding.seen(now, seen);
                    }
                }
            }
        }
        self.effects = effects;
        // What was taken back has freed a connection for the next.
        if again {
            self.carry_out();
        }
    }

    fn sweep(&mut self, now: Micros) {
        self.swept = now;
        self.ports.wake();
        self.side.tell_refused(now, false);
        self.side.tell_logins(now, false);
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
        self.report.tick(now, &self.core, &self.door);
    }

    /// Shows the agent, if there is one, what there is to see.
    fn publish(&self, now: Micros) {
        let Some(snmp) = self.side.snmp().filter(|snmp| snmp.due(now)) else { return };
        let counts = self.door.counts();
        let owned = Owned {
            ready: self.words.ready.get(),
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
        snmp.publish(now, self.core.status(now), owned);
    }

    /// What is open, and what has happened since this was asked last.
    fn gauges(&mut self) -> Gauges {
        let counts = self.door.counts();
        let closed = counts.since(&std::mem::replace(&mut self.flushed, counts)).collect();
        let (downstreams, upstreams) = (self.door.len(), self.core.open_connections());
        let controlled = self.controls.as_ref().map(|c| c.following.in_service());
        Gauges { downstreams, upstreams, serving: self.core.serving(), closed, controlled }
    }

    /// A planned end, if one is under way: goes on with it, and tells whether it is over.
    fn ended(&mut self, now: Micros) -> bool {
        let Some(ending) = &mut self.ending else { return false };
        // Counted from accept on: who is here and was not heard of yet is here.
        let none_open = self.ports.open() == [0; 2];
        if !ending.accepts(now, none_open) {
            self.ports.close();
        }
        let told = ending.step(now, || self.door.close_order());
        told.finish.into_iter().for_each(|id| self.downstreams.finish(id));
        if told.all {
            self.downstreams.leave();
        }
        let over = ending.is_over(now, none_open && self.ports.are_closed());
        if over {
            let streams = self.core.open_streams();
            self.core.counters.unanswered += streams as u64;
            self.side.tell_refused(now, true);
            self.side.tell_logins(now, true);
            report::figures(&self.core, &self.door);
            info!(event = "ended", streams, "ended with {streams} streams open");
        }
        over
    }
}
