//! Tests of the core on a simulated clock: time-dependent behaviour, and cases that sockets cannot be made to
//! produce at will.

use martenweir::codec::discovery::{Cluster, Listed};
use martenweir::core::*;
use martenweir::interface::*;
use std::rc::Rc;

const MS: Micros = 1_000;
const NODE: ServerId = ServerId(1);
/// The time after which a connection that has answered may carry another job, in whole ticks.
const SETTLED: Micros = 10 * MS;

struct Proxy {
    core: Core,
    now: Micros,
}

fn list(phase: Phase, revision: u64) -> Cluster {
    let member = Member { phase, ..Member::ready(NODE) };
    let address = "127.0.0.1:1".parse().expect("an address");
    Cluster { revision, complete: true, nodes: vec![Listed { member, address, name: "s-1".into() }] }
}

impl Proxy {
    fn new() -> Proxy {
        Proxy::with(Repeat::Retryable)
    }

    fn with(repeat: Repeat) -> Proxy {
        Proxy::of_fleet(1, repeat)
    }

    fn of_fleet(routers: u32, repeat: Repeat) -> Proxy {
        let class = Class { limit: 2_000 * MS, repeat, ..Class::default() };
        Proxy::of(Settings {
            routers,
            classes: vec![class],
            may_copy: true,
            period: 5 * MS,
            max_attempts: 4,
            ..Settings::default()
        })
    }

    fn of(settings: Settings) -> Proxy {
        let now = 1_000_000 * MS;
        let mut p = Proxy { core: Core::new(now, settings, 1, 100, list(Phase::Ready, 1)), now };
        p.core.take_effects();
        p
    }

    fn input(&mut self, input: Input) -> Vec<Effect> {
        self.core.input(self.now, input);
        self.core.take_effects()
    }

    fn ask(&mut self, patience: Micros) -> Vec<Effect> {
        self.ask_for(Key(7), patience)
    }

    fn ask_for(&mut self, key: Key, patience: Micros) -> Vec<Effect> {
        self.ask_from(DownstreamId(1), key, patience)
    }

    fn ask_from(&mut self, downstream: DownstreamId, key: Key, patience: Micros) -> Vec<Effect> {
        self.ask_as(ClassId(0), downstream, key, patience)
    }

    fn ask_as(
        &mut self,
        class: ClassId,
        downstream: DownstreamId,
        key: Key,
        patience: Micros,
    ) -> Vec<Effect> {
        let tenant = TenantId(0);
        let message = Rc::new(Message::default());
        let (place, repeat, hint) = (0, false, None);
        self.input(Input::Stream(NewStream {
            downstream,
            place,
            class,
            tenant,
            key,
            repeat,
            patience,
            hint,
            message,
        }))
    }

    /// Advances the clock in steps of one tick.
    fn advance(&mut self, span: Micros) -> Vec<Effect> {
        let until = self.now + span;
        let mut effects = Vec::new();
        while self.now < until {
            self.now += 5 * MS;
            self.core.tick(self.now);
            effects.extend(self.core.take_effects());
        }
        effects
    }
}

fn dialled(effects: &[Effect]) -> Option<ConnectionId> {
    effects.iter().find_map(|e| match e {
        Effect::Dial { connection, .. } => Some(*connection),
        _ => None,
    })
}

fn has(effects: &[Effect], what: impl Fn(&Effect) -> bool) -> bool {
    effects.iter().any(what)
}

fn written(effects: &[Effect]) -> bool {
    has(effects, |e| matches!(e, Effect::Write { .. }))
}

fn answered(effects: &[Effect]) -> usize {
    effects.iter().filter(|e| matches!(e, Effect::Answer { .. })).count()
}

fn served() -> Reply {
    Reply {
        verdict: Verdict::Served,
        value: b"x".to_vec(),
        note: 0,
        report: Vec::new(),
        keep: true,
        no_place: false,
    }
}

/// The drain rule: a request that waited for its connection must not be sent to a node that has begun to
/// drain.
#[test]
fn nothing_is_written_to_a_node_that_drained_during_the_dial() {
    let mut p = Proxy::new();
    let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
    p.input(Input::Cluster(Some(list(Phase::Draining, 2))));
    let effects = p.input(Input::Connected(c));
    assert!(!written(&effects));
    assert_eq!(answered(&effects), 1, "with no other node it is refused at once");
    assert!(has(&effects, |e| matches!(e, Effect::Close { connection } if *connection == c)));
}

/// A stream whose request may have run is failed; the core reports whether that was for lack of time.
#[test]
fn a_stream_that_ran_out_of_time_is_distinguished_from_one_that_failed() {
    let answer = |effects: Vec<Effect>| {
        effects.into_iter().find_map(|e| match e {
            Effect::Answer { answer, .. } => Some(answer),
            _ => None,
        })
    };
    let mut p = Proxy::with(Repeat::Fragile);
    let c = dialled(&p.ask(100 * MS)).expect("a dial");
    assert!(written(&p.input(Input::Connected(c))));
    assert_eq!(answer(p.advance(100 * MS)), Some(Answer::Late));
    let mut p = Proxy::with(Repeat::Fragile);
    let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
    assert!(written(&p.input(Input::Connected(c))));
    assert_eq!(answer(p.input(Input::Broken(c, Stage::Reading))), Some(Answer::Failed));
}

/// No records are emitted unless wanted; otherwise there is one record per stream, however it ended.
#[test]
fn a_stream_ends_with_one_record_if_records_are_wanted() {
    let records = |effects: Vec<Effect>| -> Vec<Record> {
        let record = |e| match e {
            Effect::StreamEnded(record) => Some(record),
            _ => None,
        };
        effects.into_iter().filter_map(record).collect()
    };
    for observed in [false, true] {
        let mut p = Proxy::new();
        p.core.wants_records = observed;
        let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
        p.input(Input::Connected(c));
        p.advance(20 * MS);
        let seen_records = records(p.input(Input::Replied(c, Reply { note: 1, ..served() })));
        assert_eq!(seen_records.len(), usize::from(observed));
        for r in &seen_records {
            assert_eq!((r.ended, r.read(), r.time), (StreamOutcome::Served, Some("hit"), 20 * MS));
            assert_eq!((r.node.as_deref(), r.at), (Some("s-1"), p.now));
        }
        p.ask(1_000 * MS);
        let seen_records = records(p.input(Input::DownstreamClosed(DownstreamId(1))));
        assert_eq!(
            seen_records.iter().map(|r| r.ended).collect::<Vec<_>>(),
            [StreamOutcome::Left; 1][..seen_records.len()]
        );
        assert_eq!(seen_records.len(), usize::from(observed));
    }
}

/// A request must not be started after its downstream has stopped waiting, and the stream must still be
/// answered.
#[test]
fn a_request_that_waits_past_its_time_is_answered_and_never_written() {
    let mut p = Proxy::new();
    let c = dialled(&p.ask(100 * MS)).expect("a dial");
    assert_eq!(answered(&p.advance(100 * MS)), 1);
    assert!(!written(&p.input(Input::Connected(c))));
    assert_eq!(answered(&p.advance(500 * MS)), 0, "one final answer");
}

/// A dial that never completes must not hold its descriptor: the dial timeout closes it.
#[test]
fn a_dial_that_never_completes_is_closed_at_the_dial_timeout() {
    let mut p = Proxy::new();
    let c = dialled(&p.ask(1_900 * MS)).expect("a dial");
    let effects = p.advance(300 * MS);
    assert!(has(&effects, |e| matches!(e, Effect::Close { connection } if *connection == c)));
    assert_eq!(p.core.counters.unconnected, 1);
}

/// Needless handshakes: an abandoned attempt keeps its connection, which is used again once the late answer
/// has been discarded, and is closed if none arrives.
#[test]
fn a_connection_lingers_for_its_late_answer() {
    let mut p = Proxy::new();
    let c = dialled(&p.ask(100 * MS)).expect("a dial");
    p.now += 20 * MS;
    assert!(written(&p.input(Input::Connected(c))));
    let effects = p.advance(100 * MS);
    assert_eq!(answered(&effects), 1);
    assert!(!has(&effects, |e| matches!(e, Effect::Close { .. })));
    assert_eq!(answered(&p.input(Input::Replied(c, served()))), 0);
    // The module takes the node to be full for a while; then the connection is used again.
    p.advance(9_000 * MS);
    assert_eq!(p.core.open_connections(), 1);
    let effects = p.ask(100 * MS);
    assert!(written(&effects) && dialled(&effects).is_none());
    let effects = p.advance(2_000 * MS);
    assert!(has(&effects, |e| matches!(e, Effect::Close { connection } if *connection == c)));
}

/// Needless handshakes: a connection that lingers, is used again and lingers anew has its full time for the
/// second linger, whatever was left of the first.
#[test]
fn a_connection_that_lingers_again_has_its_full_time() {
    let mut p = Proxy::new();
    let c = dialled(&p.ask(1_900 * MS)).expect("a dial");
    p.input(Input::Connected(c));
    let up: Vec<_> = (8..10).map(|k| dialled(&p.ask_for(Key(k), 1_900 * MS)).expect("a dial")).collect();
    up.iter().for_each(|c| drop(p.input(Input::Connected(*c))));
    p.input(Input::Replied(c, served()));
    // Twice in a row its request times out while others are answered, and the late answer arrives.
    let lingers = |p: &mut Proxy, c| {
        p.advance(SETTLED);
        assert!(written(&p.ask(100 * MS)));
        p.advance(50 * MS);
        p.input(Input::Replied(c, served()));
        !has(&p.advance(50 * MS), |e| matches!(e, Effect::Close { .. }))
    };
    assert!(lingers(&mut p, up[0]));
    p.advance(900 * MS);
    p.input(Input::Replied(c, served()));
    assert!(lingers(&mut p, up[1]));
    // The first 1.5 s are over, the second are not.
    let closes =
        |effects: &[Effect]| has(effects, |e| matches!(e, Effect::Close { connection } if *connection == c));
    assert!(!closes(&p.advance(1_000 * MS)));
    assert!(closes(&p.advance(500 * MS)));
}

/// Idle connections are closed before the node's idle limit: otherwise the node could close one during a
/// request.
#[test]
fn idle_connections_are_closed_in_time() {
    let mut p = Proxy::new();
    let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
    p.input(Input::Connected(c));
    assert_eq!(answered(&p.input(Input::Replied(c, served()))), 1);
    p.advance(15_000 * MS);
    assert_eq!(p.core.open_connections(), 0);
}

/// A hundred proxies must not fill a node's connection table with spare connections: in large fleets, idle
/// connections beside the one used last are kept for a fraction of the time that a few proxies keep them.
#[test]
fn spare_idle_connections_are_closed_sooner_in_a_large_fleet() {
    for (routers, after_two, after_six) in [(3, 3, 3), (16, 3, 3), (100, 1, 1), (200, 1, 1)] {
        let mut p = Proxy::of_fleet(routers, Repeat::Retryable);
        let up: Vec<_> = (0..3).map(|_| dialled(&p.ask(1_000 * MS)).expect("a dial")).collect();
        up.iter().for_each(|c| drop(p.input(Input::Connected(*c))));
        up.iter().for_each(|c| drop(p.input(Input::Replied(*c, served()))));
        p.advance(2_000 * MS);
        assert_eq!(p.core.open_connections(), after_two, "{routers} proxies");
        p.advance(4_000 * MS);
        assert_eq!(p.core.open_connections(), after_six, "{routers} proxies");
    }
}

/// With a hundred proxies, a busy node must not get a handshake for each request that finds its connection
/// busy: the request waits for that connection for a while before another is dialled. A few proxies dial at
/// once.
#[test]
fn a_request_waits_for_a_busy_connection_before_another_is_dialled() {
    for routers in [1, 3] {
        let mut p = Proxy::of_fleet(routers, Repeat::Retryable);
        let first = dialled(&p.ask(1_000 * MS)).expect("a dial");
        p.input(Input::Connected(first));
        assert!(dialled(&p.ask(1_000 * MS)).is_some(), "{routers} proxies");
    }
    for (routers, waits) in [(16, 20 * MS), (100, 120 * MS), (200, 125 * MS)] {
        let mut p = Proxy::of_fleet(routers, Repeat::Retryable);
        let first = dialled(&p.ask(1_000 * MS)).expect("nothing is up yet: a dial at once");
        p.input(Input::Connected(first));
        assert_eq!(dialled(&p.ask(1_000 * MS)), None, "{routers} proxies");
        assert_eq!(dialled(&p.advance(waits - 5 * MS)), None, "{routers} proxies");
        assert!(dialled(&p.advance(5 * MS)).is_some(), "{routers} proxies");

        let mut p = Proxy::of_fleet(routers, Repeat::Retryable);
        let first = dialled(&p.ask(1_000 * MS)).expect("a dial");
        p.input(Input::Connected(first));
        p.ask(1_000 * MS);
        p.input(Input::Replied(first, served()));
        assert!(written(&p.advance(SETTLED)), "it goes out on the connection that got free");
        assert_eq!(dialled(&p.advance(waits)), None, "and nothing is dialled for it");
        p.ask(1_000 * MS);
        p.input(Input::Cluster(Some(list(Phase::Draining, 2))));
        let effects = p.advance(waits);
        assert_eq!(
            (dialled(&effects), answered(&effects)),
            (None, 1),
            "nor at a node that has begun to drain"
        );
    }
}

/// A request must not be written to a node's former address: the node drained and came back under the same id
/// at another address while a connection was being dialled or was busy.
#[test]
fn nothing_is_written_to_the_former_address_of_a_node() {
    let elsewhere = |revision| {
        let mut list = list(Phase::Ready, revision);
        list.nodes[0].address = "127.0.0.1:2".parse().expect("an address");
        list
    };
    let address = |effects: &[Effect]| {
        effects.iter().find_map(|e| match e {
            Effect::Dial { address, .. } => Some(address.port()),
            _ => None,
        })
    };
    let closed = |effects: &[Effect], c| {
        has(effects, |e| matches!(e, Effect::Close { connection } if *connection == c))
    };
    let mut p = Proxy::new();
    let old = dialled(&p.ask(1_000 * MS)).expect("a dial");
    p.input(Input::Cluster(Some(list(Phase::Draining, 2))));
    p.input(Input::Cluster(Some(elsewhere(3))));
    let effects = p.input(Input::Connected(old));
    assert!(!written(&effects) && closed(&effects, old) && address(&effects) == Some(2));
    let new = dialled(&effects).expect("a dial");
    assert!(written(&p.input(Input::Connected(new))));
    // The connection is busy when the node returns to its former address; another request waits for it.
    let effects = p.ask(1_000 * MS);
    assert!(!written(&effects));
    p.input(Input::Cluster(Some(list(Phase::Ready, 4))));
    let effects = p.input(Input::Replied(new, served()));
    assert!(!written(&effects) && closed(&effects, new));
}

/// The last messages of a watch that is given up are applied, but do not count as news of the present watch.
#[test]
fn lists_of_the_previous_watch_are_applied_and_leave_the_present_call_unchanged() {
    let mut p = Proxy::new();
    let opens_watch = |e: &Effect| matches!(e, Effect::Watch { after: None });
    assert!(has(&p.input(Input::DiscoveryMoved), opens_watch));
    let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
    p.input(Input::PreviousWatch(list(Phase::Draining, 41)));
    assert!(!written(&p.input(Input::Connected(c))), "the node drains");
    let effects = p.advance(1_250 * MS);
    assert!(has(&effects, opens_watch), "the call has no answer still, and asks for the whole list again");
    assert!(
        !has(&effects, |e| matches!(e, Effect::Watch { after: Some(_) })),
        "the revision belongs to another discovery service"
    );
}

/// When discovery falls silent, a new watch is opened from the last revision.
#[test]
fn a_silent_watch_is_reopened() {
    let mut p = Proxy::new();
    p.input(Input::Cluster(Some(list(Phase::Ready, 9))));
    assert!(!has(&p.advance(3_000 * MS), |e| matches!(e, Effect::Watch { .. })), "a keep-alive may be late");
    // Changes missed by a silent watch count as delivered 6 s after its last message.
    assert!(has(&p.advance(3_000 * MS), |e| matches!(e, Effect::Watch { after: Some(9) })));
}

/// The drain rule with lists held by a local agent: the agent may learn of a drain just as the watch is reset
/// or a call goes unanswered, and the drain counts from then. The next call must be made well within the
/// grace period.
#[test]
fn the_agent_is_called_again_within_the_grace_of_the_settings() {
    for grace in [200, 500, 2_500, 5_000] {
        let settings =
            Settings { classes: vec![Class::default()], drain_grace: grace * MS, ..Settings::default() };
        let settings = Settings { routers: 300, period: 5 * MS, ..settings };
        let now = 1_000_000 * MS;
        let core = Core::new(now, settings, 1, 100, list(Phase::Ready, 1));
        let mut p = Proxy { core, now };
        assert!(has(&p.core.take_effects(), |e| matches!(e, Effect::Watch { after: Some(1) })));
        let opens_watch = |e: &Effect| matches!(e, Effect::Watch { .. });
        // The first call of a new process goes unanswered: what the agent has counts from the start.
        for call in 0..40 {
            assert!(
                has(&p.advance((grace * 3 / 4).max(170) * MS), opens_watch),
                "{grace} ms: call {call} has no answer"
            );
        }
        // An answered call keeps its watch, even if nothing has changed.
        p.input(Input::Cluster(None));
        assert!(!has(&p.advance(2_500 * MS), opens_watch), "{grace} ms");
        p.input(Input::Cluster(None));
        p.input(Input::WatchEnded);
        assert!(has(&p.advance(grace * MS / 4 + 5 * MS), opens_watch), "{grace} ms: the watch is reset");
    }
}

/// The delivery deadline with one discovery service: whatever failed before, a change counts as delivered 6 s
/// after discovery had it and was reachable, which may be right after a failed call. Calls of a large fleet
/// used to be put off by up to 24 s after the third failure, those of a lone proxy by 8 s.
#[test]
fn discovery_is_called_again_before_changes_count_as_delivered_however_many_calls_failed() {
    let opens_watch = |e: &Effect| matches!(e, Effect::Watch { .. });
    for (routers, swallowed) in [1, 16, 100, 300].into_iter().flat_map(|n| [(n, 0), (n, 1), (n, 2)]) {
        let settings = Settings { classes: vec![Class::default()], routers, ..Settings::default() };
        let settings = Settings { must_subscribe: true, drain_grace: 500 * MS, period: 5 * MS, ..settings };
        let mut p = Proxy::of(settings);
        let mut called = p.now;
        for call in 0..12 {
            // No call, every call, or every second one goes unanswered; the others are refused at once.
            if swallowed == 0 || swallowed == 2 && call % 2 == 0 {
                p.advance(5 * MS);
                p.input(Input::WatchEnded);
            }
            while !has(&p.advance(5 * MS), opens_watch) {
                let since = p.now - called;
                assert!(since < 5_700 * MS, "{routers} proxies: call {call}, none for {since} us");
            }
            called = p.now;
        }
        // Discovery answers at last: a drain from that moment is obeyed within the delivery deadline and the
        // grace period.
        p.input(Input::Cluster(Some(list(Phase::Draining, 2))));
        let effects = p.ask(1_000 * MS);
        assert!(!written(&effects) && dialled(&effects).is_none());
    }
}

/// A watch that sends something after it was given up, and falls silent again, must be timed out again.
#[test]
fn a_watch_that_sends_again_after_it_was_given_up_is_timed_out_again() {
    let mut p = Proxy::new();
    let opens_watch = |e: &Effect| matches!(e, Effect::Watch { .. });
    p.input(Input::Cluster(None));
    let effects = p.advance(3_000 * MS);
    assert!(
        has(&effects, |e| matches!(e, Effect::Note(n) if n.contains("silent")))
            && !has(&effects, opens_watch)
    );
    p.input(Input::Cluster(None));
    assert!(!has(&p.advance(2_995 * MS), opens_watch), "the late message replaced the scheduled call");
    assert!(has(&p.advance(640 * MS), opens_watch), "and the watch was silent after it");
}

/// When a node becomes unreachable, its idle connections stay open and would swallow one request after
/// another.
#[test]
fn the_connections_of_a_silent_node_are_closed_at_a_timeout() {
    let mut p = Proxy::new();
    let (first, second) =
        (dialled(&p.ask(1_000 * MS)).expect("a dial"), dialled(&p.ask(1_000 * MS)).expect("a dial"));
    p.input(Input::Connected(first));
    // The second request does not wait for its own dial: it takes the first connection that is free.
    p.input(Input::Replied(first, served()));
    assert!(written(&p.advance(SETTLED)));
    p.input(Input::Replied(first, served()));
    p.input(Input::Connected(second));
    assert_eq!(p.core.open_connections(), 2);
    p.now += MS;
    assert!(written(&p.ask(100 * MS)));
    p.advance(200 * MS);
    assert_eq!(p.core.open_connections(), 0);
}

/// Work that nobody waits for: a downstream closes while its stream waits for a connection, whether being
/// dialled, in a full pool, or after one closed before the first byte. The connection goes to the next
/// stream.
#[test]
fn nothing_is_written_for_a_downstream_that_closed_while_waiting() {
    let left = |p: &mut Proxy| p.input(Input::DownstreamClosed(DownstreamId(1)));
    let mut p = Proxy::new();
    let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
    left(&mut p);
    assert_eq!((p.core.counters.left_unsent, p.core.counters.moot), (1, 1));
    let effects = p.input(Input::Connected(c));
    assert!(!written(&effects), "the dial completed, but nobody waits for it");
    let effects = p.ask(1_000 * MS);
    assert!(
        written(&effects) && dialled(&effects).is_none(),
        "the connection dialled for the closed downstream serves the next"
    );

    p.core.limit_connections(1);
    let waits = p.ask_from(DownstreamId(2), Key(8), 1_000 * MS);
    assert!(!written(&waits) && dialled(&waits).is_none(), "the pool is full");
    p.input(Input::DownstreamClosed(DownstreamId(2)));
    assert_eq!((p.core.counters.left_unsent, p.core.counters.moot), (2, 2));
    let effects = p.input(Input::Replied(c, served()));
    assert_eq!(
        (answered(&effects), written(&effects)),
        (1, false),
        "the connection became free, but nobody waits for it"
    );

    p.advance(SETTLED);
    assert!(written(&p.ask(1_000 * MS)));
    left(&mut p);
    assert_eq!(p.core.counters.left_unsent, 2, "the job had been handed over");
    let effects = p.input(Input::Broken(c, Stage::Idle));
    assert!(!written(&effects) && dialled(&effects).is_none(), "no other connection for it");
    assert_eq!(p.core.counters.moot, 3);
}

/// A job whose downstream has closed, or that has timed out, is withdrawn unless its last byte is written, so
/// that no more is written in vain. A job not yet started leaves a reusable connection; a partly written one
/// does not.
#[test]
fn a_job_that_nobody_waits_for_is_withdrawn_before_its_last_byte() {
    let withdraws = |effects: &[Effect], c| {
        has(effects, |e| matches!(e, Effect::Withdraw { connection } if *connection == c))
    };
    let closes = |effects: &[Effect], c| {
        has(effects, |e| matches!(e, Effect::Close { connection } if *connection == c))
    };
    let mut p = Proxy::new();
    let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
    assert!(written(&p.input(Input::Connected(c))));
    assert!(withdraws(&p.input(Input::DownstreamClosed(DownstreamId(1))), c));
    let effects = p.input(Input::Withdrawn(c, Stage::Idle));
    assert!(!closes(&effects, c) && !written(&effects));
    let counted = p.core.counters;
    assert_eq!((counted.moot, counted.left_unsent, counted.resets, counted.unconnected), (1, 1, 0, 0));
    assert!(written(&p.ask(1_000 * MS)), "no byte was written: the connection is used again");
    p.input(Input::DownstreamClosed(DownstreamId(1)));
    assert!(closes(&p.input(Input::Withdrawn(c, Stage::Writing)), c));
    assert_eq!((p.core.counters.left_unsent, p.core.open_connections()), (2, 0));
    // An answered connection is left alone; on a lingering one nothing more is written.
    let c = dialled(&p.ask(100 * MS)).expect("a dial");
    p.now += MS;
    p.input(Input::Connected(c));
    assert!(!withdraws(&p.input(Input::Replied(c, served())), c));
    p.advance(SETTLED);
    assert!(written(&p.ask(100 * MS)));
    let other = p.ask_from(DownstreamId(2), Key(8), 1_000 * MS);
    let other = dialled(&other).expect("a dial");
    p.now += MS;
    p.input(Input::Connected(other));
    let effects = p.advance(100 * MS);
    assert!(withdraws(&effects, c), "it has timed out, and the node is still sending");
    assert!(closes(&p.input(Input::Withdrawn(c, Stage::Writing)), c));
}

/// A later request may rely on a dial made for a request that is gone: if that dial is given up, another must
/// be made. But none is made for a request whose own dial has failed.
#[test]
fn a_dial_made_for_a_closed_downstream_is_repeated_for_a_later_one() {
    let mut p = Proxy::new();
    let first = dialled(&p.ask(1_000 * MS)).expect("a dial");
    p.input(Input::DownstreamClosed(DownstreamId(1)));
    p.advance(200 * MS);
    assert!(dialled(&p.ask(1_000 * MS)).is_none(), "the dial in progress is enough");
    let effects = p.advance(50 * MS);
    assert!(has(&effects, |e| matches!(e, Effect::Close { connection } if *connection == first)));
    let second = dialled(&effects).expect("another dial");
    assert!(written(&p.input(Input::Connected(second))));
    let mut p = Proxy::new();
    dialled(&p.ask(1_000 * MS)).expect("a dial");
    assert!(dialled(&p.advance(250 * MS)).is_none(), "it has waited for the dial time-out");
}

/// Work that nobody waits for, with a stream that waits in the module: for its turn on the key, or for the
/// key to settle after an attempt that may still be running, which a timer ends.
#[test]
fn nothing_is_sent_for_a_downstream_that_closed_while_waiting_for_its_turn() {
    let class = Class { limit: 2_000 * MS, keep_order: true, ..Class::default() };
    let settings = Settings { classes: vec![class], order_settle: 100 * MS, ..Settings::default() };
    let now = 1_000_000 * MS;
    let mut p = Proxy { core: Core::new(now, settings, 1, 100, list(Phase::Ready, 1)), now };
    p.core.take_effects();
    let sent = |effects: &[Effect]| written(effects) || dialled(effects).is_some();
    let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
    assert!(written(&p.input(Input::Connected(c))));
    assert!(!sent(&p.ask_from(DownstreamId(2), Key(7), 1_000 * MS)), "it is not its turn");
    assert!(!sent(&p.ask_from(DownstreamId(3), Key(7), 1_000 * MS)), "nor the other one's turn");
    p.input(Input::DownstreamClosed(DownstreamId(2)));
    let effects = p.input(Input::Broken(c, Stage::Reading));
    assert_eq!((answered(&effects), sent(&effects)), (1, false), "the key settles");
    p.input(Input::DownstreamClosed(DownstreamId(3)));
    assert!(!sent(&p.advance(500 * MS)), "the key has settled, but nobody waits for it");
    assert_eq!(p.core.counters.left_unsent, 2);
    assert!(sent(&p.ask(1_000 * MS)), "the next one's turn");
}

/// A downstream closes with two streams, the second of which waits for the first one's fetch. The module
/// sends the second one on before it learns that it is gone too; an ordered key must not keep its turn
/// forever.
#[test]
fn a_downstream_that_closes_with_several_streams_keeps_no_turn() {
    let class = |keep_order| Class { limit: 2_000 * MS, keep_order, ..Class::default() };
    let settings = Settings {
        classes: vec![class(false), class(true)],
        origin_kind: Some(KindId(2)),
        period: 5 * MS,
        max_attempts: 4,
        ..Settings::default()
    };
    let mut known = list(Phase::Ready, 1);
    let address = known.nodes[0].address;
    let member = Member { kind: KindId(2), ..Member::ready(ServerId(2)) };
    known.nodes.push(Listed { member, address, name: "o".into() });
    let now = 1_000_000 * MS;
    let mut p = Proxy { core: Core::new(now, settings, 1, 100, known), now };
    p.core.take_effects();
    let miss = || Reply { verdict: Verdict::Miss, ..served() };
    let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
    p.input(Input::Connected(c));
    let o = dialled(&p.input(Input::Replied(c, miss()))).expect("a dial to the origin");
    assert!(written(&p.input(Input::Connected(o))));
    p.advance(SETTLED);
    assert!(written(&p.ask_as(ClassId(1), DownstreamId(1), Key(7), 1_000 * MS)));
    let effects = p.input(Input::Replied(c, miss()));
    assert!(!written(&effects) && dialled(&effects).is_none(), "it waits for the fetch of its key");
    let effects = p.input(Input::DownstreamClosed(DownstreamId(1)));
    assert!(!written(&effects) && dialled(&effects).is_none(), "nobody waits for it any more");
    assert_eq!((p.core.counters.left, p.core.counters.left_unsent), (2, 1));
    p.advance(SETTLED);
    let effects = p.ask_as(ClassId(1), DownstreamId(2), Key(7), 1_000 * MS);
    assert!(written(&effects), "the key's turn is free");
}

/// No dial is made for requests that have ended: one that ended while it waited is no longer counted.
#[test]
fn a_request_that_ended_while_waiting_causes_no_dial() {
    let mut p = Proxy::new();
    let c = dialled(&p.ask(100 * MS)).expect("a dial");
    assert_eq!(answered(&p.advance(120 * MS)), 1);
    assert!(dialled(&p.ask(1_000 * MS)).is_none(), "the dial in progress is enough");
    assert!(written(&p.input(Input::Connected(c))));
}

/// A node may close a connection right after an answer, or send more than belongs to it: the connection that
/// answered last is not used for a moment while another one is idle.
#[test]
fn a_connection_settles_before_it_is_used_again() {
    let mut p = Proxy::new();
    let (first, second) =
        (dialled(&p.ask(1_000 * MS)).expect("a dial"), dialled(&p.ask(1_000 * MS)).expect("a dial"));
    for c in [first, second] {
        p.input(Input::Connected(c));
    }
    p.input(Input::Replied(first, served()));
    p.now += 20 * MS;
    p.input(Input::Replied(second, served()));
    assert!(writes_on(&p.ask(1_000 * MS), first));
    p.now += 20 * MS;
    p.input(Input::Replied(first, served()));
    p.now += 20 * MS;
    assert!(writes_on(&p.ask(1_000 * MS), first), "otherwise the one used last");
}

fn writes_on(effects: &[Effect], c: ConnectionId) -> bool {
    has(effects, |e| matches!(e, Effect::Write { connection, .. } if *connection == c))
}

fn closes(effects: &[Effect], c: ConnectionId) -> bool {
    has(effects, |e| matches!(e, Effect::Close { connection } if *connection == c))
}

/// A request must not get an answer made for another one: a duplicate answer some milliseconds after the
/// first would be taken for the answer to the next job, so no job is written by then, neither a queued nor a
/// new one. Such requests wait for the connection rather than a dial; if a duplicate answer does arrive, for
/// a dial.
#[test]
fn a_connection_carries_nothing_while_a_duplicate_answer_may_arrive() {
    for (routers, second) in [(1, false), (1, true), (100, false), (100, true)] {
        let mut p = Proxy::of_fleet(routers, Repeat::Retryable);
        let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
        p.input(Input::Connected(c));
        p.now += 20 * MS;
        if routers > 1 {
            // This request waits for the open connection.
            assert!(dialled(&p.ask(1_000 * MS)).is_none());
        }
        assert!(!written(&p.input(Input::Replied(c, served()))), "a second answer may come");
        if routers == 1 {
            p.now += 2 * MS;
            let effects = p.ask(1_000 * MS);
            assert!(
                !written(&effects) && dialled(&effects).is_none(),
                "it waits for the settling connection"
            );
        }
        let effects = p.advance(5 * MS);
        assert!(!written(&effects) && dialled(&effects).is_none());
        // Input that belongs to no job ends the connection.
        let mut effects = if second { p.input(Input::Broken(c, Stage::Idle)) } else { Vec::new() };
        effects.extend(p.advance(150 * MS));
        assert_eq!((writes_on(&effects, c), closes(&effects, c)), (!second, second));
        assert_eq!(p.core.counters.dials, 1 + u64::from(second), "{routers} proxies");
    }
}

/// The cost of settling: a hundred requests a second for two seconds, at a node that takes 20 ms for each,
/// need few more connections than the two in use at once.
#[test]
fn settling_costs_few_dials() {
    let mut p = Proxy::new();
    let (mut out, mut answers): (Vec<(Micros, ConnectionId)>, _) = (Vec::new(), 0);
    for tick in 0..400 {
        let mut effects = if tick % 2 == 0 { p.ask(1_000 * MS) } else { Vec::new() };
        effects.extend(p.advance(5 * MS));
        let (due, later) = out.into_iter().partition(|(at, _)| *at <= p.now);
        out = later;
        due.iter().for_each(|(_, c)| effects.extend(p.input(Input::Replied(*c, served()))));
        let mut at = 0;
        while let Some(effect) = effects.get(at) {
            match *effect {
                Effect::Dial { connection, .. } => effects.extend(p.input(Input::Connected(connection))),
                Effect::Write { connection, .. } => out.push((p.now + 20 * MS, connection)),
                Effect::Answer { .. } => answers += 1,
                _ => {}
            }
            at += 1;
        }
    }
    assert!(answers >= 195, "{answers} of 200 are answered by the end");
    assert!(p.core.counters.dials <= 4, "{} dials", p.core.counters.dials);
}

/// A short idle limit of a node: the sweep comes too late for it, as does a proxy that was stopped for a
/// while. A connection past its idle time carries no job, whenever it was last checked.
#[test]
fn a_connection_past_its_idle_time_carries_nothing() {
    let settings = || Settings {
        classes: vec![Class { limit: 2_000 * MS, ..Class::default() }],
        keep_alive: 1_000 * MS,
        period: 5 * MS,
        ..Settings::default()
    };
    for idle in [700 * MS, 745 * MS, 5_000 * MS] {
        let mut p = Proxy::of(settings());
        let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
        p.input(Input::Connected(c));
        p.input(Input::Replied(c, served()));
        p.now += idle;
        let effects = p.ask(1_000 * MS);
        let young = idle == 700 * MS;
        assert_eq!((writes_on(&effects, c), closes(&effects, c)), (young, !young), "after {idle} us");
        assert_eq!(dialled(&effects).is_some(), !young);
    }
    // If the node's limit is over before the connection has settled, the connection carries only one job.
    let mut p = Proxy::of(Settings { keep_alive: 25 * MS, ..settings() });
    let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
    p.input(Input::Connected(c));
    assert!(closes(&p.input(Input::Replied(c, served())), c));
}

/// The same limit for a request that took the connection and ran out of time before its first byte: the node
/// has received nothing, so its idle time continues.
#[test]
fn a_request_that_never_started_does_not_extend_the_idle_time() {
    let class = Class { limit: 2_000 * MS, ..Class::default() };
    let mut p = Proxy::of(Settings {
        classes: vec![class],
        keep_alive: 1_000 * MS,
        period: 5 * MS,
        ..Settings::default()
    });
    let (first, second) =
        (dialled(&p.ask(1_000 * MS)).expect("a dial"), dialled(&p.ask(1_000 * MS)).expect("a dial"));
    for c in [first, second] {
        p.input(Input::Connected(c));
    }
    p.input(Input::Replied(first, served()));
    p.advance(20 * MS);
    p.input(Input::Replied(second, served()));
    p.advance(380 * MS);
    assert!(writes_on(&p.ask(50 * MS), second));
    // The job that found its connection closed is past its time and is not sent on another one.
    p.now += 60 * MS;
    assert!(!written(&p.input(Input::Broken(second, Stage::Idle))));
    p.now += 290 * MS;
    assert!(closes(&p.ask(1_000 * MS), first), "750 ms after its answer");
}

/// The rule on keyed repeats with a window shorter than the wait for a connection: a repeat decided within
/// the window is not written after it, and the stream is answered then.
#[test]
fn a_keyed_repeat_that_waits_past_its_window_is_never_written() {
    for (window, wait, is_sent) in [(300, 100, true), (300, 190, true), (300, 200, false), (150, 60, false)] {
        let class = Class {
            limit: 2_000 * MS,
            repeat: Repeat::Dedup,
            window: window * MS,
            target_latency: 2_000 * MS,
            ..Class::default()
        };
        let mut known = list(Phase::Ready, 1);
        let address = known.nodes[0].address;
        known.nodes.push(Listed { member: Member::ready(ServerId(2)), address, name: "s-2".into() });
        let settings = Settings {
            classes: vec![class],
            may_copy: true,
            period: 5 * MS,
            max_attempts: 4,
            ..Settings::default()
        };
        let now = 1_000_000 * MS;
        let mut p = Proxy { core: Core::new(now, settings, 1, 100, known), now };
        p.core.take_effects();
        let first = dialled(&p.ask(1_900 * MS)).expect("a dial");
        assert!(written(&p.input(Input::Connected(first))));
        p.advance(100 * MS);
        let second = dialled(&p.input(Input::Broken(first, Stage::Reading))).expect("a dial to the other");
        let ended = p.advance(wait * MS);
        assert_eq!(written(&p.input(Input::Connected(second))), is_sent, "window {window}, waited {wait}");
        let ended = answered(&ended) + answered(&p.advance(5 * MS));
        assert_eq!(ended, usize::from(!is_sent), "it is answered as its window ends");
        assert_eq!(p.core.counters.unconnected, 0, "and no failure is counted against the node");
    }
}

/// Runs must be reproducible: the iteration order of the maps differs between cores and must not show in the
/// effects.
#[test]
fn the_same_inputs_give_the_same_effects_in_the_same_order() {
    let closed = || {
        let mut p = Proxy::new();
        let nodes = |phase| {
            let listed = |n: u64| Listed {
                member: Member { phase, ..Member::ready(ServerId(n)) },
                address: "127.0.0.1:1".parse().expect("an address"),
                name: format!("s-{n}").into(),
            };
            Cluster { revision: 2, complete: true, nodes: (1..=40).map(listed).collect() }
        };
        p.input(Input::Cluster(Some(nodes(Phase::Ready))));
        let mut dialled = Vec::new();
        for key in 0..200 {
            let message = Rc::new(Message { id: vec![key], ..Message::default() });
            let stream = NewStream {
                downstream: DownstreamId(u64::from(key)),
                place: 0,
                class: ClassId(0),
                tenant: TenantId(0),
                key: Key(u64::from(key) + 1),
                repeat: false,
                patience: 1_000 * MS,
                hint: None,
                message,
            };
            dialled.extend(p.input(Input::Stream(stream)).into_iter().filter_map(|e| match e {
                Effect::Dial { connection, .. } => Some(connection),
                _ => None,
            }));
        }
        for c in dialled {
            p.input(Input::Connected(c));
            p.input(Input::Replied(c, served()));
        }
        let mut effects = p.input(Input::Cluster(Some(nodes(Phase::Draining))));
        effects.retain(|e| matches!(e, Effect::Close { .. }));
        assert!(effects.len() > 20, "idle connections to many nodes are closed: {}", effects.len());
        format!("{effects:?}")
    };
    assert_eq!(closed(), closed());
}

/// A proxy with a cache node and an origin.
fn with_origin(now: Micros) -> Proxy {
    let class = Class { limit: 2_000 * MS, ..Class::default() };
    let origin_kind = Some(KindId(1));
    let settings = Settings {
        classes: vec![class],
        period: 5 * MS,
        max_attempts: 4,
        origin_kind,
        ..Settings::default()
    };
    let mut known = list(Phase::Ready, 1);
    let member = Member { kind: KindId(1), ..Member::ready(ServerId(2)) };
    known.nodes.push(Listed { member, address: known.nodes[0].address, name: "s-2".into() });
    let mut p = Proxy { core: Core::new(now, settings, 1, 100, known), now };
    p.core.wants_records = true;
    p.core.take_effects();
    p
}

/// What SNMP counts as joined: a read that missed and was then served by a cache node that another fetch had
/// filled.
#[test]
fn a_read_served_by_the_fetch_of_another_is_recorded_as_joined_and_counted() {
    let mut p = with_origin(1_000_000 * MS);
    let miss = || Reply { verdict: Verdict::Miss, value: Vec::new(), ..served() };
    let joined = |effects: &[Effect]| {
        effects.iter().find_map(|e| match e {
            Effect::StreamEnded(record) => Some(record.details.joined),
            _ => None,
        })
    };
    let cache = dialled(&p.ask(1_000 * MS)).expect("a dial");
    p.input(Input::Connected(cache));
    let origin = dialled(&p.input(Input::Replied(cache, miss()))).expect("a dial to the origin");
    p.input(Input::Connected(origin));
    // The second read of the key misses as well, and waits.
    p.advance(10 * MS);
    assert!(written(&p.ask(1_000 * MS)));
    let waits = p.input(Input::Replied(cache, miss()));
    assert!(!written(&waits) && dialled(&waits).is_none());
    p.advance(SETTLED);
    let effects = p.input(Input::Replied(origin, served()));
    assert!(written(&effects), "the second goes to the cache again");
    assert_eq!(joined(&effects), Some(false));
    assert_eq!(joined(&p.input(Input::Replied(cache, served()))), Some(true));
    let nodes = p.core.status(p.now).nodes;
    let shutdown_at: Vec<_> =
        nodes.iter().map(|n| (&*n.name, n.origin, n.outcomes.served, n.outcomes.missed)).collect();
    assert_eq!(shutdown_at, [("s-1", false, 1, 2), ("s-2", true, 1, 0)]);
}

/// Counters that are summed over the fleet's logs. A full node's read is fetched; the next one, of a key
/// whose node is full too while a fetch is in progress and nothing is known of the origin, is refused after
/// its attempt.
#[test]
fn requests_rejected_by_full_nodes_are_counted_with_their_destination() {
    let mut p = with_origin(1_000_000 * MS);
    let full = || Reply { verdict: Verdict::Full, value: Vec::new(), ..served() };
    let cache = dialled(&p.ask(1_000 * MS)).expect("a dial");
    p.input(Input::Connected(cache));
    let origin = dialled(&p.input(Input::Replied(cache, full()))).expect("a dial to the origin");
    p.input(Input::Connected(origin));
    p.advance(10 * MS);
    assert!(written(&p.ask_for(Key(8), 1_000 * MS)));
    assert_eq!(answered(&p.input(Input::Replied(cache, full()))), 1);
    assert_eq!(answered(&p.input(Input::Replied(origin, served()))), 1);
    let c = p.core.counters;
    assert_eq!((c.turned_away, c.fetched, c.spilled), (2, 1, 1));
    assert_eq!((c.refused, c.refused_attempts, c.refused_origin, c.refused_unsent), (1, 1, 0, 0));
    assert_eq!((c.calls, c.cold, c.missed, c.errors), (1, 0, 0, 0));
}

/// A node's row is kept for ten minutes after the node has left: if it returns by then its counters continue,
/// later they start anew.
#[test]
fn a_row_is_kept_for_a_node_that_returns_soon() {
    let mut p = Proxy::new();
    let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
    p.input(Input::Connected(c));
    p.input(Input::Replied(c, served()));
    let row = |p: &Proxy| {
        let nodes = p.core.status(p.now).nodes;
        nodes.first().map(|n| (n.phase, n.server_status.is_some(), n.outcomes.served, n.since))
    };
    let began = p.now;
    let none = |revision| Cluster { revision, complete: true, nodes: Vec::new() };
    p.input(Input::Cluster(Some(none(2))));
    assert_eq!(row(&p), Some((Phase::Gone, false, 1, began)));
    p.advance(599_000 * MS);
    p.input(Input::Cluster(Some(list(Phase::Ready, 3))));
    assert_eq!(row(&p), Some((Phase::Ready, true, 1, began)));
    p.input(Input::Cluster(Some(none(4))));
    p.advance(601_000 * MS);
    assert_eq!(row(&p), None);
    p.input(Input::Cluster(Some(list(Phase::Ready, 5))));
    assert_eq!(row(&p), Some((Phase::Ready, true, 0, p.now)));
}

/// Open streams must not be lost at a planned shutdown: whether a stream waits for a node, a connection or
/// another stream's fetch, it is answered by the deadline, and streams that come later have no more time
/// either.
#[test]
fn streams_open_at_shutdown_are_answered_by_the_deadline() {
    let mut p = with_origin(1_000_000 * MS);
    let cache = dialled(&p.ask_for(Key(7), 60_000 * MS)).expect("a dial");
    p.input(Input::Connected(cache));
    let origin = dialled(&p.input(Input::Replied(cache, miss()))).expect("a dial to the origin");
    p.input(Input::Connected(origin));
    p.advance(10 * MS);
    // The second stream waits for the first one's fetch, the third is at the cache node, the fourth waits for
    // its connection.
    p.ask_for(Key(7), 60_000 * MS);
    p.input(Input::Replied(cache, miss()));
    p.advance(10 * MS);
    assert!(written(&p.ask_for(Key(8), 60_000 * MS)));
    assert!(dialled(&p.ask_for(Key(9), 60_000 * MS)).is_some());
    assert_eq!(p.core.open_streams(), 4);
    let shutdown_at = p.now + 200 * MS;
    p.input(Input::ShutdownBy(shutdown_at));
    // The fifth stream comes after that, with a timeout of an hour.
    p.ask_for(Key(10), 3_600_000 * MS);
    let effects = p.advance(200 * MS);
    assert_eq!((answered(&effects), p.core.open_streams()), (5, 0));
    assert_eq!(p.core.counters.overdue, 0, "the module has an answer to each");
}

/// The timeout passed to the node with the job written now.
fn patience_written(effects: &[Effect]) -> Option<Micros> {
    effects.iter().find_map(|e| match e {
        Effect::Write { job: Job::Stream { patience, .. }, .. } => Some(*patience),
        _ => None,
    })
}

fn miss() -> Reply {
    Reply { verdict: Verdict::Miss, value: Vec::new(), ..served() }
}

/// The timeout passed to nodes at a planned shutdown: if the client's own timeout is longer than the time
/// left after the signal, an attempt that was waiting for its connection, or is made later, passes the
/// shorter one.
#[test]
fn attempts_started_after_the_signal_pass_the_shorter_timeout() {
    let mut p = with_origin(1_000_000 * MS);
    let cache = dialled(&p.ask(60_000 * MS)).expect("a dial");
    p.advance(20 * MS);
    let shutdown_at = p.now + 300 * MS;
    p.input(Input::ShutdownBy(shutdown_at));
    p.advance(30 * MS);
    let first = patience_written(&p.input(Input::Connected(cache))).expect("it waited for the connection");
    assert_eq!(first, shutdown_at - 5 * MS - p.now, "a tick less than what is left");
    p.advance(50 * MS);
    let origin = dialled(&p.input(Input::Replied(cache, miss()))).expect("a dial to the origin");
    p.advance(20 * MS);
    assert_eq!(
        patience_written(&p.input(Input::Connected(origin))),
        Some(shutdown_at - 5 * MS - p.now),
        "a further one"
    );
    // A stream that comes after the signal, with a timeout of an hour.
    p.advance(20 * MS);
    let asked = p.ask_for(Key(8), 3_600_000 * MS);
    assert_eq!(patience_written(&asked), Some(shutdown_at - 5 * MS - p.now));
    assert!(patience_written(&asked) < Some(first));
}

/// No attempt at the origin may be made that cannot be answered: a node answers with a miss at the last
/// moment of the request, which is then refused, whether or not a connection to the origin is open.
#[test]
fn a_miss_at_the_last_moment_leads_to_no_attempt_at_the_origin() {
    // With a timeout of a second the deadline is one tick before its end.
    for (after, is_sent) in [(900, true), (990, true), (991, false), (994, false), (995, false), (999, false)]
    {
        for up in [false, true] {
            let mut p = with_origin(1_000_000 * MS);
            let cache = dialled(&p.ask(1_000 * MS)).expect("a dial");
            p.input(Input::Connected(cache));
            if up {
                let origin = dialled(&p.input(Input::Replied(cache, miss()))).expect("a dial to the origin");
                p.input(Input::Connected(origin));
                p.input(Input::Replied(origin, served()));
                p.advance(SETTLED);
                assert!(written(&p.ask_for(Key(8), 1_000 * MS)));
            }
            p.now += after * MS;
            let effects = p.input(Input::Replied(cache, miss()));
            let begins = written(&effects) || dialled(&effects).is_some();
            assert_eq!(begins, is_sent, "{after} ms, up: {up}");
            if !is_sent {
                // Within the tick left to the client.
                assert_eq!(answered(&effects) + answered(&p.advance(5 * MS)), 1, "{after} ms, up: {up}");
            }
            if is_sent && up {
                assert_eq!(patience_written(&effects), Some((995 - after) * MS));
            }
            assert_eq!(p.core.counters.unconnected, 0, "and no failure is counted against a node");
        }
    }
}

/// When the connection to the origin is established late, the timeout passed on is what is left by then.
#[test]
fn an_origin_dialled_late_is_passed_the_time_left_by_then() {
    for late in [0, 100, 240] {
        let mut p = with_origin(1_000_000 * MS);
        let cache = dialled(&p.ask(1_000 * MS)).expect("a dial");
        p.input(Input::Connected(cache));
        p.advance(100 * MS);
        let origin = dialled(&p.input(Input::Replied(cache, miss()))).expect("a dial to the origin");
        p.advance(late * MS);
        assert_eq!(
            patience_written(&p.input(Input::Connected(origin))),
            Some((895 - late) * MS),
            "{late} ms late"
        );
    }
}

/// When a downstream is closed by the proxy, its own open streams are counted as unanswered, and nobody
/// else's.
#[test]
fn the_open_streams_of_a_downstream_are_counted_until_answered() {
    let mut p = Proxy::new();
    let open = |p: &Proxy| [1, 2, 3].map(|id| p.core.open_streams_of(DownstreamId(id)));
    let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
    p.ask_from(DownstreamId(2), Key(8), 1_000 * MS);
    p.ask_from(DownstreamId(2), Key(9), 1_000 * MS);
    assert_eq!(open(&p), [1, 2, 0]);
    p.input(Input::Connected(c));
    p.input(Input::Replied(c, served()));
    assert_eq!(open(&p), [0, 2, 0]);
    p.input(Input::DownstreamClosed(DownstreamId(2)));
    assert_eq!(open(&p), [0, 0, 0]);
}

/// Counted the same way as in the continuous test: a proxy that rejects every stream, 15 at the least, for 4
/// s in a row with no attempt in between; each such period once.
#[test]
fn a_period_in_which_every_stream_is_rejected_is_counted_once() {
    let refusal_periods = |streams: u64, span: Micros, attempt: bool| {
        let mut p = Proxy::new();
        for _ in 0..2 {
            p.input(Input::Cluster(Some(list(Phase::Draining, 2))));
            for n in 0..streams {
                p.advance(span / (streams as Micros - 1) / (5 * MS) * (5 * MS));
                assert_eq!(answered(&p.ask(1_000 * MS)), 1, "no node: it is refused at once");
                if attempt && n == streams / 2 {
                    p.input(Input::Cluster(Some(list(Phase::Ready, 3))));
                    let c = dialled(&p.ask_for(Key(8), 1_000 * MS)).expect("a dial");
                    assert!(written(&p.input(Input::Connected(c))));
                    p.input(Input::Replied(c, served()));
                    p.input(Input::Cluster(Some(list(Phase::Draining, 4))));
                }
            }
            // An attempt ends the period.
            p.input(Input::Cluster(Some(list(Phase::Ready, 5))));
            let c = dialled(&p.ask_for(Key(9), 1_000 * MS)).expect("a dial");
            assert!(written(&p.input(Input::Connected(c))));
            p.input(Input::Replied(c, served()));
        }
        p.core.counters.refused_all
    };
    assert_eq!(refusal_periods(15, 4_200 * MS, false), 2);
    assert_eq!(refusal_periods(60, 30_000 * MS, false), 2, "one period, however long");
    assert_eq!(refusal_periods(14, 6_500 * MS, false), 0, "too few");
    assert_eq!(refusal_periods(60, 3_900 * MS, false), 0, "too short");
    assert_eq!(refusal_periods(30, 6_000 * MS, true), 0, "with an attempt in between");
}
