//! The core on a made-up clock: what depends on time, and what sockets cannot be made to do at will.

use martenweir::codec::discovery::{Cluster, Listed};
use martenweir::core::*;
use martenweir::interface::*;
use std::rc::Rc;

const MS: Micros = 1_000;
const NODE: ServerId = ServerId(1);
/// By then a connection that has answered may carry another job, in steps of a tick.
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

    /// Lets time pass in steps of a tick.
    fn pass(&mut self, span: Micros) -> Vec<Effect> {
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

/// Guards the rule on drains: a send that waited for its connection does not go to a node that drains by now.
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

/// A stream that may not be called harmless is failed; the core says whether that was for want of time.
#[test]
fn a_stream_that_ran_out_of_time_is_told_from_one_that_failed() {
    let answer = |effects: Vec<Effect>| {
        effects.into_iter().find_map(|e| match e {
            Effect::Answer { answer, .. } => Some(answer),
            _ => None,
        })
    };
    let mut p = Proxy::with(Repeat::Fragile);
    let c = dialled(&p.ask(100 * MS)).expect("a dial");
    assert!(written(&p.input(Input::Connected(c))));
    assert_eq!(answer(p.pass(100 * MS)), Some(Answer::Late));
    let mut p = Proxy::with(Repeat::Fragile);
    let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
    assert!(written(&p.input(Input::Connected(c))));
    assert_eq!(answer(p.input(Input::Broken(c, Stage::Reading))), Some(Answer::Failed));
}

/// With nobody listening nothing is handed out; a listener gets one record for each stream, however it ended.
#[test]
fn a_stream_ends_with_one_record_if_somebody_listens() {
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
        p.pass(20 * MS);
        let told = records(p.input(Input::Replied(c, Reply { note: 1, ..served() })));
        assert_eq!(told.len(), usize::from(observed));
        for r in &told {
            assert_eq!((r.ended, r.read(), r.time), (StreamOutcome::Served, Some("hit"), 20 * MS));
            assert_eq!((r.node.as_deref(), r.at), (Some("s-1"), p.now));
        }
        p.ask(1_000 * MS);
        let told = records(p.input(Input::DownstreamClosed(DownstreamId(1))));
        assert_eq!(told.iter().map(|r| r.ended).collect::<Vec<_>>(), [StreamOutcome::Left; 1][..told.len()]);
        assert_eq!(told.len(), usize::from(observed));
    }
}

/// Guards against a first byte after the downstream has given up, and a stream without an answer.
#[test]
fn a_request_that_waits_past_its_time_is_answered_and_never_written() {
    let mut p = Proxy::new();
    let c = dialled(&p.ask(100 * MS)).expect("a dial");
    assert_eq!(answered(&p.pass(100 * MS)), 1);
    assert!(!written(&p.input(Input::Connected(c))));
    assert_eq!(answered(&p.pass(500 * MS)), 0, "one final answer");
}

/// Guards against descriptors of dials that never come up: the time-out closes them.
#[test]
fn a_dial_that_never_comes_up_is_closed_at_the_dial_time_out() {
    let mut p = Proxy::new();
    let c = dialled(&p.ask(1_900 * MS)).expect("a dial");
    let effects = p.pass(300 * MS);
    assert!(has(&effects, |e| matches!(e, Effect::Close { connection } if *connection == c)));
    assert_eq!(p.core.counters.unconnected, 1);
}

/// Guards against handshakes for nothing: an attempt given up leaves its connection, which is used again once
/// the late answer is thrown away, and closed if none comes.
#[test]
fn a_connection_lingers_for_its_late_answer() {
    let mut p = Proxy::new();
    let c = dialled(&p.ask(100 * MS)).expect("a dial");
    p.now += 20 * MS;
    assert!(written(&p.input(Input::Connected(c))));
    let effects = p.pass(100 * MS);
    assert_eq!(answered(&effects), 1);
    assert!(!has(&effects, |e| matches!(e, Effect::Close { .. })));
    assert_eq!(answered(&p.input(Input::Replied(c, served()))), 0);
    // The module thinks the node full for a while; then the connection is used again.
    p.pass(9_000 * MS);
    assert_eq!(p.core.open_connections(), 1);
    let effects = p.ask(100 * MS);
    assert!(written(&effects) && dialled(&effects).is_none());
    let effects = p.pass(2_000 * MS);
    assert!(has(&effects, |e| matches!(e, Effect::Close { connection } if *connection == c)));
}

/// Guards against handshakes for nothing too: a connection that lingers, is used again and lingers anew has its whole time
/// for the second one, whatever was left of the first.
#[test]
fn a_connection_that_lingers_anew_has_its_whole_time() {
    let mut p = Proxy::new();
    let c = dialled(&p.ask(1_900 * MS)).expect("a dial");
    p.input(Input::Connected(c));
    let up: Vec<_> = (8..10).map(|k| dialled(&p.ask_for(Key(k), 1_900 * MS)).expect("a dial")).collect();
    up.iter().for_each(|c| drop(p.input(Input::Connected(*c))));
    p.input(Input::Replied(c, served()));
    // Twice in a row its request runs out of time while others are answered, and its late answer comes.
    let lingers = |p: &mut Proxy, c| {
        p.pass(SETTLED);
        assert!(written(&p.ask(100 * MS)));
        p.pass(50 * MS);
        p.input(Input::Replied(c, served()));
        !has(&p.pass(50 * MS), |e| matches!(e, Effect::Close { .. }))
    };
    assert!(lingers(&mut p, up[0]));
    p.pass(900 * MS);
    p.input(Input::Replied(c, served()));
    assert!(lingers(&mut p, up[1]));
    // The first 1.5 s are over now, the second are not.
    let closes =
        |effects: &[Effect]| has(effects, |e| matches!(e, Effect::Close { connection } if *connection == c));
    assert!(!closes(&p.pass(1_000 * MS)));
    assert!(closes(&p.pass(500 * MS)));
}

/// Guards against a node's idle limit: it would close under a request.
#[test]
fn idle_connections_are_closed_in_time() {
    let mut p = Proxy::new();
    let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
    p.input(Input::Connected(c));
    assert_eq!(answered(&p.input(Input::Replied(c, served()))), 1);
    p.pass(15_000 * MS);
    assert_eq!(p.core.open_connections(), 0);
}

/// Guards against tables filled by what a hundred proxies keep for their next peak: beside the connection used last,
/// one idles for a part of the time that a few proxies keep it.
#[test]
fn what_idles_beside_another_makes_room_soon_in_a_large_fleet() {
    for (routers, after_two, after_six) in [(3, 3, 3), (16, 3, 3), (100, 1, 1), (200, 1, 1)] {
        let mut p = Proxy::of_fleet(routers, Repeat::Retryable);
        let up: Vec<_> = (0..3).map(|_| dialled(&p.ask(1_000 * MS)).expect("a dial")).collect();
        up.iter().for_each(|c| drop(p.input(Input::Connected(*c))));
        up.iter().for_each(|c| drop(p.input(Input::Replied(*c, served()))));
        p.pass(2_000 * MS);
        assert_eq!(p.core.open_connections(), after_two, "{routers} proxies");
        p.pass(4_000 * MS);
        assert_eq!(p.core.open_connections(), after_six, "{routers} proxies");
    }
}

/// Guards against a handshake at a busy node for each request that finds its connection busy, a hundred proxies at once:
/// it waits for that connection a while, and is dialled for only then. A few proxies dial at once.
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
        assert_eq!(dialled(&p.pass(waits - 5 * MS)), None, "{routers} proxies");
        assert!(dialled(&p.pass(5 * MS)).is_some(), "{routers} proxies");

        let mut p = Proxy::of_fleet(routers, Repeat::Retryable);
        let first = dialled(&p.ask(1_000 * MS)).expect("a dial");
        p.input(Input::Connected(first));
        p.ask(1_000 * MS);
        p.input(Input::Replied(first, served()));
        assert!(written(&p.pass(SETTLED)), "it goes out on the connection that got free");
        assert_eq!(dialled(&p.pass(waits)), None, "and nothing is dialled for it");
        p.ask(1_000 * MS);
        p.input(Input::Cluster(Some(list(Phase::Draining, 2))));
        let effects = p.pass(waits);
        assert_eq!((dialled(&effects), answered(&effects)), (None, 1), "nor at a node that drains by now");
    }
}

/// Guards against a request that is written where its node was: the node drained and came back under the same id at
/// another address, while a connection was dialled, or while one was busy.
#[test]
fn nothing_is_written_to_the_address_that_a_node_had_before() {
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
    // It is busy as the node goes back; another request waits for it.
    let effects = p.ask(1_000 * MS);
    assert!(!written(&effects));
    p.input(Input::Cluster(Some(list(Phase::Ready, 4))));
    let effects = p.input(Input::Replied(new, served()));
    assert!(!written(&effects) && closed(&effects, new));
}

/// Guards against the last words of a watch that is given up: they hold, but are no news of the present one.
#[test]
fn what_the_watch_before_tells_holds_and_leaves_the_present_call_as_it_is() {
    let mut p = Proxy::new();
    let watched = |e: &Effect| matches!(e, Effect::Watch { after: None });
    assert!(has(&p.input(Input::DiscoveryMoved), watched));
    let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
    p.input(Input::PreviousWatch(list(Phase::Draining, 41)));
    assert!(!written(&p.input(Input::Connected(c))), "the node drains");
    let effects = p.pass(1_250 * MS);
    assert!(has(&effects, watched), "the call has no answer still, and asks for the whole list again");
    assert!(!has(&effects, |e| matches!(e, Effect::Watch { after: Some(_) })), "a revision is another's");
}

/// Guards against a silent discovery: the watch is opened anew from the last revision.
#[test]
fn a_silent_watch_is_opened_anew() {
    let mut p = Proxy::new();
    p.input(Input::Cluster(Some(list(Phase::Ready, 9))));
    assert!(!has(&p.pass(3_000 * MS), |e| matches!(e, Effect::Watch { .. })), "a beat may come late");
    // What a silent watch misses counts as told 6 s after its last word.
    assert!(has(&p.pass(3_000 * MS), |e| matches!(e, Effect::Watch { after: Some(9) })));
}

/// Guards the rule on drains, with lists that an agent has: when the watch is reset, or a call swallowed, the agent may
/// hear of a drain in that moment, and what it has counts. The next call goes out well inside the grace.
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
        let watched = |e: &Effect| matches!(e, Effect::Watch { .. });
        // The first call of a new process is swallowed: what the agent has counts from its first moment.
        for call in 0..40 {
            assert!(
                has(&p.pass((grace * 3 / 4).max(170) * MS), watched),
                "{grace} ms: call {call} has no answer"
            );
        }
        // One that is answered stands, though nothing has changed.
        p.input(Input::Cluster(None));
        assert!(!has(&p.pass(2_500 * MS), watched), "{grace} ms");
        p.input(Input::Cluster(None));
        p.input(Input::WatchEnded);
        assert!(has(&p.pass(grace * MS / 4 + 5 * MS), watched), "{grace} ms: the watch is reset");
    }
}

/// Guards the term on what counts as told where one service is asked: whatever failed before, a change counts 6 s after
/// discovery had it and could be reached, which may be right after a call of which nothing came. A large fleet's calls
/// were put off by up to 24 s after the third failure, a lone proxy's by 8 s.
#[test]
fn discovery_is_called_again_within_what_counts_as_told_however_many_calls_have_failed() {
    let watched = |e: &Effect| matches!(e, Effect::Watch { .. });
    for (routers, swallowed) in [1, 16, 100, 300].into_iter().flat_map(|n| [(n, 0), (n, 1), (n, 2)]) {
        let settings = Settings { classes: vec![Class::default()], routers, ..Settings::default() };
        let settings = Settings { must_subscribe: true, drain_grace: 500 * MS, period: 5 * MS, ..settings };
        let mut p = Proxy::of(settings);
        let mut called = p.now;
        for call in 0..12 {
            // None is swallowed, each, or every second one; the others are refused at once.
            if swallowed == 0 || swallowed == 2 && call % 2 == 0 {
                p.pass(5 * MS);
                p.input(Input::WatchEnded);
            }
            while !has(&p.pass(5 * MS), watched) {
                let since = p.now - called;
                assert!(since < 5_700 * MS, "{routers} proxies: call {call}, none for {since} us");
            }
            called = p.now;
        }
        // It answers at last: the drain of that moment is kept within what counts as told and the grace.
        p.input(Input::Cluster(Some(list(Phase::Draining, 2))));
        let effects = p.ask(1_000 * MS);
        assert!(!written(&effects) && dialled(&effects).is_none());
    }
}

/// Guards against a watch that speaks again after it was given up, and falls silent once more.
#[test]
fn a_watch_that_speaks_again_as_it_is_given_up_is_watched_over_as_before() {
    let mut p = Proxy::new();
    let watched = |e: &Effect| matches!(e, Effect::Watch { .. });
    p.input(Input::Cluster(None));
    let effects = p.pass(3_000 * MS);
    assert!(
        has(&effects, |e| matches!(e, Effect::Note(n) if n.contains("silent"))) && !has(&effects, watched)
    );
    p.input(Input::Cluster(None));
    assert!(!has(&p.pass(2_995 * MS), watched), "the late word took the call's place");
    assert!(has(&p.pass(640 * MS), watched), "and was its last");
}

/// Guards against a node that is cut off: its idle connections stay open and swallow request after request.
#[test]
fn the_connections_of_a_silent_node_are_closed_at_a_time_out() {
    let mut p = Proxy::new();
    let (one, two) =
        (dialled(&p.ask(1_000 * MS)).expect("a dial"), dialled(&p.ask(1_000 * MS)).expect("a dial"));
    p.input(Input::Connected(one));
    // The second request does not wait for its own dial: the first connection that is free takes it.
    p.input(Input::Replied(one, served()));
    assert!(written(&p.pass(SETTLED)));
    p.input(Input::Replied(one, served()));
    p.input(Input::Connected(two));
    assert_eq!(p.core.open_connections(), 2);
    p.now += MS;
    assert!(written(&p.ask(100 * MS)));
    p.pass(200 * MS);
    assert_eq!(p.core.open_connections(), 0);
}

/// Guards against work for nobody: a downstream leaves while its stream waits for a connection, be it dialled, one of a
/// full pool, or another for one that closed before the first byte. The connection is the next stream's.
#[test]
fn nothing_is_written_for_a_downstream_that_left_while_it_waited() {
    let left = |p: &mut Proxy| p.input(Input::DownstreamClosed(DownstreamId(1)));
    let mut p = Proxy::new();
    let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
    left(&mut p);
    assert_eq!((p.core.counters.left_unsent, p.core.counters.moot), (1, 1));
    let effects = p.input(Input::Connected(c));
    assert!(!written(&effects), "the dial came up for nobody");
    let effects = p.ask(1_000 * MS);
    assert!(
        written(&effects) && dialled(&effects).is_none(),
        "what it was dialled for nobody takes the next"
    );

    p.core.limit_connections(1);
    let waits = p.ask_from(DownstreamId(2), Key(8), 1_000 * MS);
    assert!(!written(&waits) && dialled(&waits).is_none(), "the pool is full");
    p.input(Input::DownstreamClosed(DownstreamId(2)));
    assert_eq!((p.core.counters.left_unsent, p.core.counters.moot), (2, 2));
    let effects = p.input(Input::Replied(c, served()));
    assert_eq!((answered(&effects), written(&effects)), (1, false), "the place got free for nobody");

    p.pass(SETTLED);
    assert!(written(&p.ask(1_000 * MS)));
    left(&mut p);
    assert_eq!(p.core.counters.left_unsent, 2, "it was out");
    let effects = p.input(Input::Broken(c, Stage::Idle));
    assert!(!written(&effects) && dialled(&effects).is_none(), "no other connection for it");
    assert_eq!(p.core.counters.moot, 3);
}

/// A job whose downstream left, or that ran out of time, is taken back unless its last byte is out: guards against one
/// written on for nobody. What was whole in hand leaves a connection for the next; half a job does not.
#[test]
fn a_job_that_nobody_waits_for_is_taken_back_before_its_last_byte() {
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
    assert!(written(&p.ask(1_000 * MS)), "no byte was out: it is used again");
    p.input(Input::DownstreamClosed(DownstreamId(1)));
    assert!(closes(&p.input(Input::Withdrawn(c, Stage::Writing)), c));
    assert_eq!((p.core.counters.left_unsent, p.core.open_connections()), (2, 0));
    // One that answered in time is left alone; one that is lingered for is not written on.
    let c = dialled(&p.ask(100 * MS)).expect("a dial");
    p.now += MS;
    p.input(Input::Connected(c));
    assert!(!withdraws(&p.input(Input::Replied(c, served())), c));
    p.pass(SETTLED);
    assert!(written(&p.ask(100 * MS)));
    let other = p.ask_from(DownstreamId(2), Key(8), 1_000 * MS);
    let other = dialled(&other).expect("a dial");
    p.now += MS;
    p.input(Input::Connected(other));
    let effects = p.pass(100 * MS);
    assert!(withdraws(&effects, c), "its time is up, and the node still speaks");
    assert!(closes(&p.input(Input::Withdrawn(c, Stage::Writing)), c));
}

/// Guards against a request that relies on a dial made for one that is gone: where that one is given up, another is
/// made. And against one made for a request whose own dial was in vain.
#[test]
fn a_dial_made_for_a_downstream_that_left_is_made_anew_for_who_came_later() {
    let mut p = Proxy::new();
    let first = dialled(&p.ask(1_000 * MS)).expect("a dial");
    p.input(Input::DownstreamClosed(DownstreamId(1)));
    p.pass(200 * MS);
    assert!(dialled(&p.ask(1_000 * MS)).is_none(), "the dial under way is enough");
    let effects = p.pass(50 * MS);
    assert!(has(&effects, |e| matches!(e, Effect::Close { connection } if *connection == first)));
    let second = dialled(&effects).expect("one of its own");
    assert!(written(&p.input(Input::Connected(second))));
    let mut p = Proxy::new();
    dialled(&p.ask(1_000 * MS)).expect("a dial");
    assert!(dialled(&p.pass(250 * MS)).is_none(), "it has waited for the dial time-out");
}

/// Guards against work for nobody where a stream waits in the module: for its key's turn, and for the key to rest after
/// an attempt that may still run, which a timer ends.
#[test]
fn nothing_is_sent_for_a_downstream_that_left_while_it_waited_for_its_turn() {
    let class = Class { limit: 2_000 * MS, keep_order: true, ..Class::default() };
    let settings = Settings { classes: vec![class], order_settle: 100 * MS, ..Settings::default() };
    let now = 1_000_000 * MS;
    let mut p = Proxy { core: Core::new(now, settings, 1, 100, list(Phase::Ready, 1)), now };
    p.core.take_effects();
    let sent = |effects: &[Effect]| written(effects) || dialled(effects).is_some();
    let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
    assert!(written(&p.input(Input::Connected(c))));
    assert!(!sent(&p.ask_from(DownstreamId(2), Key(7), 1_000 * MS)), "it is not its turn");
    assert!(!sent(&p.ask_from(DownstreamId(3), Key(7), 1_000 * MS)), "nor that one's");
    p.input(Input::DownstreamClosed(DownstreamId(2)));
    let effects = p.input(Input::Broken(c, Stage::Reading));
    assert_eq!((answered(&effects), sent(&effects)), (1, false), "the key rests");
    p.input(Input::DownstreamClosed(DownstreamId(3)));
    assert!(!sent(&p.pass(500 * MS)), "it has rested, for nobody");
    assert_eq!(p.core.counters.left_unsent, 2);
    assert!(sent(&p.ask(1_000 * MS)), "the next one's turn");
}

/// A downstream leaves with two streams, the second of which waits for the first one's fetch. The module sends the
/// second one on before it hears that it is gone too: guards against a key in order whose turn never ends.
#[test]
fn a_downstream_that_leaves_with_all_its_streams_takes_no_turn_along() {
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
    p.pass(SETTLED);
    assert!(written(&p.ask_as(ClassId(1), DownstreamId(1), Key(7), 1_000 * MS)));
    let effects = p.input(Input::Replied(c, miss()));
    assert!(!written(&effects) && dialled(&effects).is_none(), "it waits for the fetch of its key");
    let effects = p.input(Input::DownstreamClosed(DownstreamId(1)));
    assert!(!written(&effects) && dialled(&effects).is_none(), "nobody waits any more");
    assert_eq!((p.core.counters.left, p.core.counters.left_unsent), (2, 1));
    p.pass(SETTLED);
    let effects = p.ask_as(ClassId(1), DownstreamId(2), Key(7), 1_000 * MS);
    assert!(written(&effects), "the key's turn is free");
}

/// Guards against dials for requests that are over: one that ended while it waited is no longer counted.
#[test]
fn a_request_that_ended_while_it_waited_asks_for_no_dial() {
    let mut p = Proxy::new();
    let c = dialled(&p.ask(100 * MS)).expect("a dial");
    assert_eq!(answered(&p.pass(120 * MS)), 1);
    assert!(dialled(&p.ask(1_000 * MS)).is_none(), "the dial under way is enough");
    assert!(written(&p.input(Input::Connected(c))));
}

/// Guards against a node that closes right after an answer, or sends more than belongs to it: the connection that
/// answered last is left alone for a moment while another is idle.
#[test]
fn a_connection_settles_before_it_is_used_again() {
    let mut p = Proxy::new();
    let (one, two) =
        (dialled(&p.ask(1_000 * MS)).expect("a dial"), dialled(&p.ask(1_000 * MS)).expect("a dial"));
    for c in [one, two] {
        p.input(Input::Connected(c));
    }
    p.input(Input::Replied(one, served()));
    p.now += 20 * MS;
    p.input(Input::Replied(two, served()));
    assert!(on(&p.ask(1_000 * MS), one));
    p.now += 20 * MS;
    p.input(Input::Replied(one, served()));
    p.now += 20 * MS;
    assert!(on(&p.ask(1_000 * MS), one), "else the one used last");
}

fn on(effects: &[Effect], c: ConnectionId) -> bool {
    has(effects, |e| matches!(e, Effect::Write { connection, .. } if *connection == c))
}

fn closes(effects: &[Effect], c: ConnectionId) -> bool {
    has(effects, |e| matches!(e, Effect::Close { connection } if *connection == c))
}

/// Guards the rule against answers that no node made for a request: a second answer some milliseconds behind the first
/// would be taken for that of the next job, so there is none by then, neither for one that waits nor for one that
/// comes. They wait for the connection rather than for a dial; if the second answer does come, for a dial.
#[test]
fn a_connection_that_answered_carries_nothing_while_a_second_answer_may_come() {
    for (routers, second) in [(1, false), (1, true), (100, false), (100, true)] {
        let mut p = Proxy::of_fleet(routers, Repeat::Retryable);
        let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
        p.input(Input::Connected(c));
        p.now += 20 * MS;
        if routers > 1 {
            // This one waits for the connection that is up.
            assert!(dialled(&p.ask(1_000 * MS)).is_none());
        }
        assert!(!written(&p.input(Input::Replied(c, served()))), "a second answer may come");
        if routers == 1 {
            p.now += 2 * MS;
            let effects = p.ask(1_000 * MS);
            assert!(!written(&effects) && dialled(&effects).is_none(), "it waits for the one that settles");
        }
        let effects = p.pass(5 * MS);
        assert!(!written(&effects) && dialled(&effects).is_none());
        // What belongs to no job ends the connection.
        let mut effects = if second { p.input(Input::Broken(c, Stage::Idle)) } else { Vec::new() };
        effects.extend(p.pass(150 * MS));
        assert_eq!((on(&effects, c), closes(&effects, c)), (!second, second));
        assert_eq!(p.core.counters.dials, 1 + u64::from(second), "{routers} proxies");
    }
}

/// What settling costs: a hundred requests a second for two seconds, at a node that takes 20 ms for each, need few more
/// connections than the two that are out at once.
#[test]
fn settling_costs_few_dials() {
    let mut p = Proxy::new();
    let (mut out, mut answers): (Vec<(Micros, ConnectionId)>, _) = (Vec::new(), 0);
    for tick in 0..400 {
        let mut effects = if tick % 2 == 0 { p.ask(1_000 * MS) } else { Vec::new() };
        effects.extend(p.pass(5 * MS));
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

/// Guards against a node's idle limit where it is short: the sweep comes too late for it, and so does a proxy that was
/// stopped for a while. What has idled for its time carries no job, whenever it was looked at last.
#[test]
fn a_connection_that_idled_for_its_time_carries_nothing() {
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
        assert_eq!((on(&effects, c), closes(&effects, c)), (young, !young), "after {idle} us");
        assert_eq!(dialled(&effects).is_some(), !young);
    }
    // A node's time that is over before the connection has settled: it carries one job.
    let mut p = Proxy::of(Settings { keep_alive: 25 * MS, ..settings() });
    let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
    p.input(Input::Connected(c));
    assert!(closes(&p.input(Input::Replied(c, served())), c));
}

/// Guards the same limit where a request took the connection and had run out of time before its first byte: the node
/// has heard nothing, and its time goes on.
#[test]
fn a_request_that_never_began_does_not_make_its_connection_younger() {
    let class = Class { limit: 2_000 * MS, ..Class::default() };
    let mut p = Proxy::of(Settings {
        classes: vec![class],
        keep_alive: 1_000 * MS,
        period: 5 * MS,
        ..Settings::default()
    });
    let (one, two) =
        (dialled(&p.ask(1_000 * MS)).expect("a dial"), dialled(&p.ask(1_000 * MS)).expect("a dial"));
    for c in [one, two] {
        p.input(Input::Connected(c));
    }
    p.input(Input::Replied(one, served()));
    p.pass(20 * MS);
    p.input(Input::Replied(two, served()));
    p.pass(380 * MS);
    assert!(on(&p.ask(50 * MS), two));
    // Late: the job that found its connection closed is over, and goes on no other.
    p.now += 60 * MS;
    assert!(!written(&p.input(Input::Broken(two, Stage::Idle))));
    p.now += 290 * MS;
    assert!(closes(&p.ask(1_000 * MS), one), "750 ms after its answer");
}

/// Guards the rule on keyed repeats where the window is shorter than the wait for a connection: one that was decided on
/// within the window is not written past it, and the stream has its answer then.
#[test]
fn a_keyed_repeat_that_waits_past_its_window_is_never_written() {
    for (window, wait, goes) in [(300, 100, true), (300, 190, true), (300, 200, false), (150, 60, false)] {
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
        p.pass(100 * MS);
        let second = dialled(&p.input(Input::Broken(first, Stage::Reading))).expect("a dial to the other");
        let ended = p.pass(wait * MS);
        assert_eq!(written(&p.input(Input::Connected(second))), goes, "window {window}, waited {wait}");
        let ended = answered(&ended) + answered(&p.pass(5 * MS));
        assert_eq!(ended, usize::from(!goes), "it is answered as its window ends");
        assert_eq!(p.core.counters.unconnected, 0, "and the node is not blamed");
    }
}

/// Guards replays of whole runs: the tables' order differs from one core to the next, and must not show.
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

/// A cache and an origin.
fn aside(now: Micros) -> Proxy {
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

/// What the agent counts as joined: a read that missed, and was served by a cache that another's fetch had filled.
#[test]
fn a_read_that_joins_the_fetch_of_another_is_told_so_and_rows_count_it() {
    let mut p = aside(1_000_000 * MS);
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
    p.pass(10 * MS);
    assert!(written(&p.ask(1_000 * MS)));
    let waits = p.input(Input::Replied(cache, miss()));
    assert!(!written(&waits) && dialled(&waits).is_none());
    p.pass(SETTLED);
    let effects = p.input(Input::Replied(origin, served()));
    assert!(written(&effects), "the second goes to the cache again");
    assert_eq!(joined(&effects), Some(false));
    assert_eq!(joined(&p.input(Input::Replied(cache, served()))), Some(true));
    let nodes = p.core.status(p.now).nodes;
    let ends: Vec<_> = nodes.iter().map(|n| (&*n.name, n.origin, n.ends.served, n.ends.missed)).collect();
    assert_eq!(ends, [("s-1", false, 1, 2), ("s-2", true, 1, 0)]);
}

/// What the fleet's lines of the log are added up for. A full node's read is fetched; the next one, of a key whose node
/// is full too while a fetch is out and nothing is known of the origin, is refused after its attempt.
#[test]
fn what_full_nodes_turn_away_is_counted_with_where_it_went() {
    let mut p = aside(1_000_000 * MS);
    let full = || Reply { verdict: Verdict::Full, value: Vec::new(), ..served() };
    let cache = dialled(&p.ask(1_000 * MS)).expect("a dial");
    p.input(Input::Connected(cache));
    let origin = dialled(&p.input(Input::Replied(cache, full()))).expect("a dial to the origin");
    p.input(Input::Connected(origin));
    p.pass(10 * MS);
    assert!(written(&p.ask_for(Key(8), 1_000 * MS)));
    assert_eq!(answered(&p.input(Input::Replied(cache, full()))), 1);
    assert_eq!(answered(&p.input(Input::Replied(origin, served()))), 1);
    let c = p.core.counters;
    assert_eq!((c.turned_away, c.fetched, c.spilled), (2, 1, 1));
    assert_eq!((c.refused, c.refused_attempts, c.refused_origin, c.refused_unsent), (1, 1, 0, 0));
    assert_eq!((c.calls, c.cold, c.missed, c.errors), (1, 0, 0, 0));
}

/// A node's row outlives the node for ten minutes: one that returns by then goes on counting, later it begins anew.
#[test]
fn a_row_is_kept_for_a_node_that_returns_soon() {
    let mut p = Proxy::new();
    let c = dialled(&p.ask(1_000 * MS)).expect("a dial");
    p.input(Input::Connected(c));
    p.input(Input::Replied(c, served()));
    let row = |p: &Proxy| {
        let nodes = p.core.status(p.now).nodes;
        nodes.first().map(|n| (n.phase, n.sight.is_some(), n.ends.served, n.since))
    };
    let began = p.now;
    let none = |revision| Cluster { revision, complete: true, nodes: Vec::new() };
    p.input(Input::Cluster(Some(none(2))));
    assert_eq!(row(&p), Some((Phase::Gone, false, 1, began)));
    p.pass(599_000 * MS);
    p.input(Input::Cluster(Some(list(Phase::Ready, 3))));
    assert_eq!(row(&p), Some((Phase::Ready, true, 1, began)));
    p.input(Input::Cluster(Some(none(4))));
    p.pass(601_000 * MS);
    assert_eq!(row(&p), None);
    p.input(Input::Cluster(Some(list(Phase::Ready, 5))));
    assert_eq!(row(&p), Some((Phase::Ready, true, 0, p.now)));
}

/// Guards against losing what is open at a planned end: whatever a stream waits for, be it a node, a connection or another's
/// fetch, its answer is there by then, and none that comes later has more time.
#[test]
fn whatever_is_open_when_the_proxy_ends_has_its_answer_by_then() {
    let mut p = aside(1_000_000 * MS);
    let cache = dialled(&p.ask_for(Key(7), 60_000 * MS)).expect("a dial");
    p.input(Input::Connected(cache));
    let origin = dialled(&p.input(Input::Replied(cache, miss()))).expect("a dial to the origin");
    p.input(Input::Connected(origin));
    p.pass(10 * MS);
    // The second waits for the first one's fetch, the third is at the cache, the fourth waits for its connection.
    p.ask_for(Key(7), 60_000 * MS);
    p.input(Input::Replied(cache, miss()));
    p.pass(10 * MS);
    assert!(written(&p.ask_for(Key(8), 60_000 * MS)));
    assert!(dialled(&p.ask_for(Key(9), 60_000 * MS)).is_some());
    assert_eq!(p.core.open_streams(), 4);
    let ends = p.now + 200 * MS;
    p.input(Input::ShutdownBy(ends));
    // The fifth comes after that, with an hour to wait.
    p.ask_for(Key(10), 3_600_000 * MS);
    let effects = p.pass(200 * MS);
    assert_eq!((answered(&effects), p.core.open_streams()), (5, 0));
    assert_eq!(p.core.counters.overdue, 0, "the module has an answer to each");
}

/// The time that the attempt written now tells its node.
fn told(effects: &[Effect]) -> Option<Micros> {
    effects.iter().find_map(|e| match e {
        Effect::Write { job: Job::Stream { patience, .. }, .. } => Some(*patience),
        _ => None,
    })
}

fn miss() -> Reply {
    Reply { verdict: Verdict::Miss, value: Vec::new(), ..served() }
}

/// Guards the term on the time told, at a planned end: the client's own time is longer than what the signal leaves, and an
/// attempt that waited for its connection then, or is made later, tells the shorter one.
#[test]
fn after_the_signal_what_begins_later_is_told_the_shorter_time() {
    let mut p = aside(1_000_000 * MS);
    let cache = dialled(&p.ask(60_000 * MS)).expect("a dial");
    p.pass(20 * MS);
    let ends = p.now + 300 * MS;
    p.input(Input::ShutdownBy(ends));
    p.pass(30 * MS);
    let first = told(&p.input(Input::Connected(cache))).expect("it waited for the connection");
    assert_eq!(first, ends - 5 * MS - p.now, "a tick less than what is left");
    p.pass(50 * MS);
    let origin = dialled(&p.input(Input::Replied(cache, miss()))).expect("a dial to the origin");
    p.pass(20 * MS);
    assert_eq!(told(&p.input(Input::Connected(origin))), Some(ends - 5 * MS - p.now), "a further one");
    // One that comes after the signal, with an hour to wait.
    p.pass(20 * MS);
    let asked = p.ask_for(Key(8), 3_600_000 * MS);
    assert_eq!(told(&asked), Some(ends - 5 * MS - p.now));
    assert!(told(&asked) < Some(first));
}

/// Guards against an attempt at the origin that could not be answered: a node answers the miss in the last moment of its
/// request, which is refused then, be a connection to the origin up or not.
#[test]
fn a_miss_in_the_last_moment_leads_to_no_attempt_at_the_origin() {
    // The deadline of a second's patience is a tick before its end.
    for (after, goes) in [(900, true), (990, true), (991, false), (994, false), (995, false), (999, false)] {
        for up in [false, true] {
            let mut p = aside(1_000_000 * MS);
            let cache = dialled(&p.ask(1_000 * MS)).expect("a dial");
            p.input(Input::Connected(cache));
            if up {
                let origin = dialled(&p.input(Input::Replied(cache, miss()))).expect("a dial to the origin");
                p.input(Input::Connected(origin));
                p.input(Input::Replied(origin, served()));
                p.pass(SETTLED);
                assert!(written(&p.ask_for(Key(8), 1_000 * MS)));
            }
            p.now += after * MS;
            let effects = p.input(Input::Replied(cache, miss()));
            let begins = written(&effects) || dialled(&effects).is_some();
            assert_eq!(begins, goes, "{after} ms, up: {up}");
            if !goes {
                // Within the tick that is the client's still.
                assert_eq!(answered(&effects) + answered(&p.pass(5 * MS)), 1, "{after} ms, up: {up}");
            }
            if goes && up {
                assert_eq!(told(&effects), Some((995 - after) * MS));
            }
            assert_eq!(p.core.counters.unconnected, 0, "and nobody is blamed");
        }
    }
}

/// An origin connection that comes up late: what is told is what is left then.
#[test]
fn an_origin_dialled_late_is_told_what_is_left_then() {
    for late in [0, 100, 240] {
        let mut p = aside(1_000_000 * MS);
        let cache = dialled(&p.ask(1_000 * MS)).expect("a dial");
        p.input(Input::Connected(cache));
        p.pass(100 * MS);
        let origin = dialled(&p.input(Input::Replied(cache, miss()))).expect("a dial to the origin");
        p.pass(late * MS);
        assert_eq!(told(&p.input(Input::Connected(origin))), Some((895 - late) * MS), "{late} ms late");
    }
}

/// What is counted as left with no answer when a downstream is closed here: its own open streams, and nobody else's.
#[test]
fn the_open_streams_of_a_downstream_are_counted_till_they_are_answered() {
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

/// What the log counts as the standing test does: a proxy that turns away all that it gets, 15 streams at the least, for 4 s
/// on end, with no attempt in between; each such spell once.
#[test]
fn a_spell_in_which_all_is_turned_away_is_counted_once() {
    let spells = |streams: u64, span: Micros, attempt: bool| {
        let mut p = Proxy::new();
        for _ in 0..2 {
            p.input(Input::Cluster(Some(list(Phase::Draining, 2))));
            for n in 0..streams {
                p.pass(span / (streams as Micros - 1) / (5 * MS) * (5 * MS));
                assert_eq!(answered(&p.ask(1_000 * MS)), 1, "no node: it is refused at once");
                if attempt && n == streams / 2 {
                    p.input(Input::Cluster(Some(list(Phase::Ready, 3))));
                    let c = dialled(&p.ask_for(Key(8), 1_000 * MS)).expect("a dial");
                    assert!(written(&p.input(Input::Connected(c))));
                    p.input(Input::Replied(c, served()));
                    p.input(Input::Cluster(Some(list(Phase::Draining, 4))));
                }
            }
            // An attempt ends the spell.
            p.input(Input::Cluster(Some(list(Phase::Ready, 5))));
            let c = dialled(&p.ask_for(Key(9), 1_000 * MS)).expect("a dial");
            assert!(written(&p.input(Input::Connected(c))));
            p.input(Input::Replied(c, served()));
        }
        p.core.counters.refused_all
    };
    assert_eq!(spells(15, 4_200 * MS, false), 2);
    assert_eq!(spells(60, 30_000 * MS, false), 2, "one spell, however long");
    assert_eq!(spells(14, 6_500 * MS, false), 0, "too few");
    assert_eq!(spells(60, 3_900 * MS, false), 0, "too short");
    assert_eq!(spells(30, 6_000 * MS, true), 0, "with an attempt in between");
}
