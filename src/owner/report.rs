//! Rate-limited log lines about peers, and the periodic figures.

use crate::admission::{Admission, Counts, HeldKind, HeldMemory, InputMemory};
use crate::core::Core;
use crate::interface::Micros;
use crate::net::LogEntry;
use tracing::field::display;
use tracing::{info, warn};

/// The maximum number of lines about misbehaving peers between two figures lines.
const MAX_NOTES: u64 = 20;
/// How often the figures are logged.
const FIGURES_INTERVAL: Micros = 10_000_000;
/// How often the memory held for connections is logged, while it is more than this fraction of the limit.
const MEMORY_INTERVAL: Micros = 1_000_000;
const MEMORY_LOG_DIVISOR: usize = 8;

#[derive(Debug)]
pub(super) struct Report {
    /// Lines about peers since the last figures line.
    notes: u64,
    last_figures: Micros,
    last_memory: Micros,
    /// Bytes held for connections above which they are logged.
    memory_log_threshold: usize,
}

impl Report {
    /// `memory` is what the process may use, in bytes.
    pub(super) fn new(now: Micros, memory: usize) -> Self {
        Report {
            notes: 0,
            last_figures: now,
            last_memory: now,
            memory_log_threshold: memory / MEMORY_LOG_DIVISOR,
        }
    }

    /// Logs a warning about a peer, up to the limit.
    pub(super) fn note(&mut self, note: LogEntry) {
        self.notes += 1;
        if self.notes <= MAX_NOTES {
            let LogEntry { event, text, caller, node, why } = note;
            let client = caller.as_ref().map(|c| display(c.client));
            let via = caller.as_ref().and_then(|c| c.via).map(display);
            warn!(event, client, via, node = node.map(display), why, "{text}");
        }
    }

    /// Logs the figures if due, and how many lines about peers were suppressed since. Returns whether they
    /// were due.
    pub(super) fn tick(&mut self, now: Micros, core: &Core, door: &Admission, input: &InputMemory) -> bool {
        if now - self.last_figures < FIGURES_INTERVAL {
            return false;
        }
        self.last_figures = now;
        figures(core, door, input);
        let lines = std::mem::take(&mut self.notes).saturating_sub(MAX_NOTES);
        if lines > 0 {
            warn!(event = "left_out", lines, "{lines} further lines about peers suppressed");
        }
        true
    }

    /// Logs what is held in memory for connections, if it was much since the last time.
    pub(super) fn memory(&mut self, now: Micros, held: &HeldMemory) {
        if now - self.last_memory < MEMORY_INTERVAL {
            return;
        }
        self.last_memory = now;
        let peak = held.take_peak();
        if peak.total() < self.memory_log_threshold {
            return;
        }
        let (bytes, resident) = (peak.total(), resident_bytes());
        let [input, commands, waiting_answers, unread_output, replies] =
            HeldKind::ALL.map(|kind| peak.of(kind));
        info!(
            event = "memory",
            bytes,
            input,
            commands,
            waiting_answers,
            unread_output,
            replies,
            resident,
            "memory: at most {bytes} bytes held for connections: input {input} commands {commands} waiting \
             answers {waiting_answers} unread output {unread_output} replies {replies}; resident {resident}"
        );
    }
}

/// The memory of this process that is no file's, in bytes (`RssAnon` and `RssShmem`, see proc(5)); 0 if it
/// cannot be read.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let fields = status.lines().filter_map(|line| line.split_once(':'));
    let resident = fields.filter(|(name, _)| matches!(*name, "RssAnon" | "RssShmem"));
    let kilobytes = resident.filter_map(|(_, size)| size.trim().strip_suffix(" kB")?.parse::<u64>().ok());
    kilobytes.sum::<u64>() * 1024
}

/// Logs the counters since the start and what is open now.
pub(super) fn figures(core: &Core, door: &Admission, input: &InputMemory) {
    let (c, counts) = (core.counters, door.counts());
    let (downstreams, silent) = (door.len(), counts.timed_out());
    let (streams, connections) = (core.open_streams(), core.open_connections());
    info!(
        event = "figures",
        taken = c.taken,
        served = c.served,
        refused = c.refused,
        failed = c.failed,
        left = c.left,
        left_unsent = c.left_unsent,
        overdue = c.overdue,
        upstream = c.upstream,
        probes = c.probes,
        dials = c.dials,
        timeouts = c.timeouts,
        unconnected = c.unconnected,
        resets = c.resets,
        silent,
        downstreams,
        streams,
        connections,
        "taken {} served {} refused {} failed {} left {} given up {} overdue {}; upstream {} probes {} dials {} \
         timeouts {} unconnected {} resets {} silent {silent}; open: downstreams {downstreams} \
         streams {streams} connections {connections}",
        c.taken,
        c.served,
        c.refused,
        c.failed,
        c.left,
        c.left_unsent,
        c.overdue,
        c.upstream,
        c.probes,
        c.dials,
        c.timeouts,
        c.unconnected,
        c.resets,
    );
    upstream(core);
    closed(door, input.refused());
}

/// Logs counters since the start that are meant to be summed over a whole fleet: node outcomes, requests to
/// cold nodes, the origin and discovery, reasons for refusals, and how often all streams were refused or went
/// unanswered.
fn upstream(core: &Core) {
    let c = core.counters;
    info!(
        event = "upstream",
        missed = c.missed,
        turned_away = c.turned_away,
        errors = c.errors,
        moot = c.moot,
        cold = c.cold,
        fetched = c.fetched,
        spilled = c.spilled,
        refused_unsent = c.refused_unsent,
        refused_attempts = c.refused_attempts,
        refused_origin = c.refused_origin,
        refused_full = c.refused_full,
        refused_all = c.refused_all,
        repeated_ids = c.repeated_ids,
        unanswered = c.unanswered,
        discovery_calls = c.calls,
        discovery_ended = c.watches_ended,
        discovery_lists = c.lists,
        "upstream: missed {} turned away {} errors {} moot {}; to cold nodes {}; fetched {}, past full nodes {}; \
         refused: unsent {} attempts {} origin {} full {}, all for 4 s {}; unanswered {}; \
         repeated ids {}; discovery: calls {} ended {} lists {}",
        c.missed,
        c.turned_away,
        c.errors,
        c.moot,
        c.cold,
        c.fetched,
        c.spilled,
        c.refused_unsent,
        c.refused_attempts,
        c.refused_origin,
        c.refused_full,
        c.refused_all,
        c.unanswered,
        c.repeated_ids,
        c.calls,
        c.watches_ended,
        c.lists,
    );
}

/// Logs why downstreams were closed since the start, and how many commands were refused for want of room, if
/// any was.
fn closed(door: &Admission, without_room: u64) {
    let (counts, (bytes, paused)) = (door.counts(), door.bytes());
    let closed = counts.since(&Counts::default()).map(|(name, n)| format!("{name} {n}"));
    let closed: Vec<String> = closed.collect();
    if closed.is_empty() && counts.paused + counts.unasked + without_room == 0 {
        return;
    }
    let (accepted, made_room, spared) = (counts.accepted, counts.made_room(), counts.spared);
    let (unasked, full, pauses) = (counts.unasked, counts.full, counts.paused);
    let closed = closed.join(" ");
    info!(
        event = "door",
        accepted,
        made_room,
        closed,
        unasked,
        spared,
        full,
        pauses,
        without_room,
        bytes,
        paused,
        "door: accepted {accepted} made room {made_room}; closed: {closed}; unasked {unasked} \
         spared {spared} full {full} pauses {pauses} without room {without_room}; held: {bytes} bytes, {paused} paused"
    );
}
