//! The door under random histories and before the crowds of the hard cases, with a host that does as it says.

use super::*;
use proptest::prelude::*;
use rstest::rstest;
use std::collections::BTreeMap;

const MS: Micros = 1_000;

/// What holds the connections: as many as the door lets in, closed as it says, in virtual time.
struct Host {
    door: Admission,
    now: Micros,
    descriptors: usize,
    nodes: usize,
    last: u64,
    open: BTreeMap<DownstreamId, Activity>,
    /// Whose socket has bytes that its task has not read.
    speaking: BTreeSet<DownstreamId>,
    paused: BTreeSet<DownstreamId>,
    closed: Vec<(DownstreamId, CloseReason)>,
}

impl Host {
    fn new(descriptors: usize, memory: usize) -> Host {
        let door = Admission::new(&Settings::default(), Limits { descriptors, memory, side_ports: 1 });
        let (open, speaking, paused, closed) = Default::default();
        Host { door, now: 0, descriptors, nodes: 0, last: 0, open, speaking, paused, closed }
    }

    fn accept(&mut self, side: PortKind, ip: IpAddr) -> Option<DownstreamId> {
        if self.door.open[side as usize] >= self.door.limit(side) {
            return None;
        }
        self.last += 1;
        let id = DownstreamId(self.last);
        self.open.insert(id, Activity::default());
        self.door.accepted(self.now, id, side, ip, WaitingFor::Command);
        Some(id)
    }

    fn show(&mut self, id: DownstreamId, change: impl FnOnce(&mut Activity)) {
        if let Some(shown) = self.open.get_mut(&id) {
            change(shown);
            self.door.update(self.now, id, *shown);
        }
    }

    fn ask(&mut self, id: DownstreamId) {
        self.speaking.remove(&id);
        self.show(id, |s| {
            (s.waiting_for, s.streams, s.steps, s.partial_bytes) =
                (WaitingFor::Answer, s.streams + 1, s.steps + 1, 0)
        });
    }

    fn answer(&mut self, id: DownstreamId) {
        self.show(id, |s| (s.waiting_for, s.steps, s.held_bytes) = (WaitingFor::Nothing, s.steps + 1, 0));
    }

    fn close(&mut self, id: DownstreamId, why: CloseReason) {
        self.open.remove(&id);
        self.paused.remove(&id);
        self.door.closed(id, why);
        self.closed.push((id, why));
    }

    /// One turn of the owner. Fails if the door closes what it must not.
    fn turn(&mut self) {
        while let Some((id, why)) = self.door.next_timeout(self.now) {
            self.close(id, why);
        }
        while let Some((id, why)) = self.door.next_eviction(self.now, false) {
            let one = &self.door.all[&id];
            assert!(
                !matches!(one.shown.waiting_for, WaitingFor::Answer | WaitingFor::Peer),
                "{id:?} is busy"
            );
            if self.speaking.remove(&id) {
                self.door.spare(id);
                continue;
            }
            if Rank::of(&one.shown) == Some(Rank::Usual) {
                let silent = self.door.idle[one.side as usize].of(Rank::Silent);
                assert_eq!(silent, 0, "{id:?} is a usual client's and goes while silent ones stay");
            }
            self.close(id, why);
        }
        while let Some(feed) = self.door.next_memory_action() {
            match feed {
                MemoryAction::Pause(id) => assert!(self.paused.insert(id), "{id:?} is paused twice"),
                MemoryAction::Resume(id) => assert!(self.paused.remove(&id), "{id:?} was not paused"),
                MemoryAction::Close(id) => {
                    assert_eq!(self.open[&id].waiting_for, WaitingFor::Peer);
                    self.close(id, CloseReason::Bytes);
                }
            }
        }
        assert!(self.door.len() + self.nodes + RESERVE <= self.descriptors);
    }

    fn pass(&mut self, time: Micros) {
        self.now += time;
        self.turn();
    }
}

#[derive(Clone, Debug)]
enum Step {
    Accept(PortKind, u8),
    Ask(usize),
    Answer(usize),
    Ping(usize),
    Part(usize, usize),
    Deaf(usize, usize),
    Speaks(usize),
    Farewell(usize),
    Leave(usize),
    Fronted(usize, u8),
    Nodes(usize),
    Pass(Micros),
}

fn step() -> impl Strategy<Value = Step> {
    let who = 0usize..200;
    let side = prop_oneof![8 => Just(PortKind::Main), 1 => Just(PortKind::Side)];
    prop_oneof![
        12 => (side, 0u8..6).prop_map(|(side, ip)| Step::Accept(side, ip)),
        4 => who.clone().prop_map(Step::Ask),
        4 => who.clone().prop_map(Step::Answer),
        2 => who.clone().prop_map(Step::Ping),
        2 => (who.clone(), 1usize..90_000).prop_map(|(who, n)| Step::Part(who, n)),
        2 => (who.clone(), 1usize..1_000_000).prop_map(|(who, n)| Step::Deaf(who, n)),
        2 => who.clone().prop_map(Step::Speaks),
        1 => who.clone().prop_map(Step::Farewell),
        2 => who.clone().prop_map(Step::Leave),
        1 => (who, 0u8..6).prop_map(|(who, ip)| Step::Fronted(who, ip)),
        1 => (0usize..200).prop_map(Step::Nodes),
        6 => (0i64..60_000).prop_map(Step::Pass),
    ]
}

proptest! {
    #[test]
    fn under_any_history_budgets_hold_and_nobody_busy_makes_room(
        descriptors in 64usize..200,
        steps in proptest::collection::vec(step(), 1..600),
    ) {
        let mut host = Host::new(descriptors, 8 << 20);
        for step in steps {
            let ids: Vec<_> = host.open.keys().copied().collect();
            let who = |n: usize| ids.get(n % ids.len().max(1)).copied().unwrap_or(DownstreamId(0));
            match step {
                Step::Accept(side, ip) => drop(host.accept(side, [10, 0, ip / 2, ip].into())),
                Step::Ask(n) => host.ask(who(n)),
                Step::Answer(n) => host.answer(who(n)),
                Step::Ping(n) => host.show(who(n), |s| {
                    (s.steps, s.local_replies) = (s.steps + 2, s.local_replies + 1);
                    s.waiting_for = if s.waiting_for == WaitingFor::Command { WaitingFor::Nothing } else { s.waiting_for };
                }),
                Step::Part(n, bytes) => host.show(who(n), |s| (s.partial_bytes, s.held_bytes) = (bytes, bytes)),
                Step::Deaf(n, bytes) => host.show(who(n), |s| (s.waiting_for, s.held_bytes) = (WaitingFor::Peer, bytes)),
                Step::Speaks(n) => drop(host.speaking.insert(who(n))),
                Step::Farewell(n) => host.show(who(n), |s| s.waiting_for = WaitingFor::Close),
                Step::Leave(n) => {
                    let id = who(n);
                    host.open.remove(&id);
                    host.paused.remove(&id);
                    host.door.left(id);
                }
                Step::Fronted(n, ip) => host.door.set_client_ip(who(n), [192, 0, 2, ip].into()),
                Step::Nodes(n) => {
                    host.nodes = n.min(host.door.node_connection_limit(host.door.open));
                    host.door.set_node_connections(host.nodes);
                }
                Step::Pass(time) => host.now += time,
            }
            host.turn();
            // Past its budget of bytes there is nobody left who does not read; short of half nobody waits.
            let (held, paused) = host.door.bytes();
            prop_assert_eq!(held, host.open.values().map(|s| s.held_bytes).sum::<usize>());
            prop_assert!(held <= 2 << 20 || host.open.values().all(|s| s.waiting_for != WaitingFor::Peer));
            prop_assert_eq!(paused, host.paused.len());
            prop_assert!(held >= 1 << 20 || paused == 0, "{held} bytes, {paused} paused");
            prop_assert!(host.door.next_deadline(host.now).is_none_or(|at| at > host.now));
            prop_assert_eq!(host.door.close_order().len(), host.open.len());
        }
        // Everything is given back.
        for id in host.open.keys() {
            host.door.left(*id);
        }
        let door = &host.door;
        prop_assert!(door.is_empty() && door.all.is_empty() && door.due.is_empty());
        prop_assert!(door.sources.is_empty());
        prop_assert_eq!((door.bytes(), door.idle[0].len(), door.idle[1].len()), ((0, 0), 0, 0));
    }
}

/// A crowd of silent ones for two seconds, so many a millisecond, beside clients that use one connection
/// again and again, and others that connect every 10 ms and ask after a time. How many of the latter asked in
/// vain.
fn in_vain(crowd: usize, ahead: Micros, ips: impl Fn(u64) -> IpAddr) -> usize {
    let mut host = Host::new(384, 192 << 20);
    let front: IpAddr = [10, 0, 0, 1].into();
    let usual: Vec<_> = (0..20).filter_map(|_| host.accept(PortKind::Main, front)).collect();
    for id in usual.iter().chain(&usual) {
        host.ask(*id);
        host.answer(*id);
    }
    let mut newcomers: Vec<(Micros, Option<DownstreamId>)> = Vec::new();
    let mut vain = 0;
    for ms in 0..2_000 {
        host.pass(MS);
        let uses = usual[ms % usual.len()];
        assert!(host.open.contains_key(&uses), "a usual client's connection is gone after {ms} ms");
        host.ask(uses);
        host.answer(uses);
        for n in 0..crowd {
            host.accept(PortKind::Main, ips((ms * crowd + n) as u64));
            host.turn();
        }
        if ms % 10 == 0 {
            newcomers.push((host.now + ahead, host.accept(PortKind::Main, front)));
        }
        for (_, id) in newcomers.extract_if(.., |(at, _)| *at <= host.now).collect::<Vec<_>>() {
            match id.filter(|id| host.open.contains_key(id)) {
                Some(id) => {
                    host.ask(id);
                    host.answer(id);
                }
                None => vain += 1,
            }
        }
    }
    vain
}

fn one_address(_: u64) -> IpAddr {
    [192, 0, 2, 1].into()
}

fn thousand_addresses(n: u64) -> IpAddr {
    [172, 16, (n % 1000 / 250) as u8, (n % 250) as u8].into()
}

fn the_same_address(_: u64) -> IpAddr {
    [10, 0, 0, 1].into()
}

#[rstest]
fn before_a_thousand_silent_a_second_who_asks_soon_is_served_and_usual_ones_stay(
    #[values(one_address, thousand_addresses, the_same_address)] ips: fn(u64) -> IpAddr,
) {
    assert_eq!(in_vain(1, 2 * MS, ips), 0);
}

#[rstest]
fn before_ten_thousand_silent_a_second_who_asks_at_once_is_served(
    #[values(one_address, thousand_addresses, the_same_address)] ips: fn(u64) -> IpAddr,
) {
    assert_eq!(in_vain(10, MS, ips), 0);
}

#[rstest]
fn who_connects_ahead_and_asks_200_ms_later_is_served_beside_a_crowd_that_looks_the_same(
    #[values(one_address, thousand_addresses)] ips: fn(u64) -> IpAddr,
) {
    assert_eq!(in_vain(1, 200 * MS, ips), 0);
}

#[test]
fn all_that_reconnect_at_once_are_kept_until_they_ask_and_have_their_answers() {
    let mut host = Host::new(384, 192 << 20);
    for _ in 0..190 {
        host.accept(PortKind::Main, [10, 0, 0, 1].into()).expect("there is room");
    }
    host.pass(15 * MS);
    let ids: Vec<_> = host.open.keys().copied().collect();
    ids.iter().for_each(|id| host.ask(*id));
    host.pass(500 * MS);
    assert_eq!(host.closed, []);
    // Those that hold on make room once they are not wanted, down to what is ample.
    ids.iter().for_each(|id| host.answer(*id));
    host.pass(100 * MS);
    assert!((60..=76).contains(&host.door.len()), "{}", host.door.len());
    assert!(host.closed.iter().all(|(_, why)| *why == CloseReason::Room(Rank::Held)));
}

#[test]
fn where_all_are_busy_newcomers_wait_in_the_backlog() {
    let mut host = Host::new(64, 192 << 20);
    while let Some(id) = host.accept(PortKind::Main, [10, 0, 0, 1].into()) {
        host.ask(id);
    }
    host.pass(30_000 * MS);
    assert_eq!((host.closed.len(), host.accept(PortKind::Main, [10, 0, 0, 2].into())), (0, None));
    host.answer(DownstreamId(1));
    host.pass(5 * MS);
    assert_eq!(host.closed, [(DownstreamId(1), CloseReason::Young)]);
    assert!(host.accept(PortKind::Main, [10, 0, 0, 2].into()).is_some());
}

#[test]
fn ranks_go_in_their_order() {
    let mut host = Host::new(384, 192 << 20);
    let ids: Vec<_> = (0..77).filter_map(|_| host.accept(PortKind::Main, [10, 0, 0, 1].into())).collect();
    // All but five are busy.
    ids.iter().for_each(|id| host.ask(*id));
    for (id, shown) in [
        (ids[0], Activity { waiting_for: WaitingFor::Nothing, streams: 2, steps: 4, ..Activity::default() }),
        (ids[1], Activity { waiting_for: WaitingFor::Nothing, streams: 1, steps: 3, ..Activity::default() }),
        (
            ids[2],
            Activity { waiting_for: WaitingFor::Nothing, local_replies: 1, steps: 2, ..Activity::default() },
        ),
        (ids[3], Activity { partial_bytes: 10, ..Activity::default() }),
        (ids[4], Activity::default()),
    ] {
        host.show(id, |s| *s = shown);
    }
    let mut went = Vec::new();
    for ms in [260, 2_000] {
        while let Some((id, why)) = host.door.next_eviction(ms * MS, false) {
            host.close(id, why);
            went.push((ms, why.name()));
        }
    }
    let soon = ["silent", "stalled", "pinging", "held"].map(|name| (260, name));
    assert_eq!(went, [&soon[..], &[(2_000, "usual")]].concat());
}

#[rstest]
#[case::of_a_crowd(3, "silent")]
#[case::of_a_lone_source(0, "silent")]
fn a_source_with_more_than_its_part_goes_first_of_a_rank(#[case] others: usize, #[case] why: &str) {
    let mut host = Host::new(384, 192 << 20);
    // The others are older.
    for n in 0..others {
        host.accept(PortKind::Main, [172, 16, n as u8, 1].into());
    }
    host.now = MS;
    for _ in others..77 {
        host.accept(PortKind::Main, [192, 0, 2, 1].into());
    }
    host.now = 400 * MS;
    let (id, told) = host.door.next_eviction(host.now, false).expect("room is scarce");
    assert_eq!((id, told.name()), (DownstreamId(others as u64 + 1), why));
}

#[test]
fn a_front_whose_clients_connect_ahead_is_not_taken_for_the_crowd_from_everywhere() {
    let mut host = Host::new(384, 192 << 20);
    let crowd: Vec<_> = (0..99).filter_map(|n| host.accept(PortKind::Main, [172, 16, n, 1].into())).collect();
    host.now = 5 * MS;
    let front: Vec<_> = (0..100).filter_map(|_| host.accept(PortKind::Main, [10, 0, 0, 1].into())).collect();
    front[..55].iter().for_each(|id| host.ask(*id));
    host.now = 12 * MS;
    assert_eq!(host.door.next_eviction(host.now, false), Some((crowd[0], CloseReason::Young)));
}

#[test]
fn sixty_megabytes_announced_by_forty_peers_are_never_held() {
    let mut host = Host::new(384, 48 << 20);
    let ids: Vec<_> = (0..40).filter_map(|_| host.accept(PortKind::Main, [192, 0, 2, 1].into())).collect();
    // Each read brings 16 KB, as long as it is read.
    for _ in 0..4_000 {
        for id in &ids {
            if !host.paused.contains(id) {
                host.show(*id, |s| {
                    (s.partial_bytes, s.held_bytes) = (s.partial_bytes + 16_384, s.held_bytes + 16_384)
                });
                host.turn();
            }
        }
    }
    let (held, paused) = host.door.bytes();
    assert!(held <= 12 << 20 && paused > 0, "{held} bytes, {paused} paused");
    host.pass(2_100 * MS);
    assert!(host.door.is_empty() && host.closed.iter().all(|(_, why)| *why == CloseReason::Speechless));
}

#[test]
fn where_bytes_run_out_who_does_not_read_its_answers_goes() {
    let mut host = Host::new(384, 8 << 20);
    let ids: Vec<_> = (0..9).filter_map(|_| host.accept(PortKind::Main, [192, 0, 2, 1].into())).collect();
    for (n, id) in ids.iter().enumerate() {
        host.show(*id, |s| (s.waiting_for, s.held_bytes) = (WaitingFor::Peer, 200_000 + n));
    }
    host.turn();
    assert!(host.closed.is_empty() && host.paused.contains(&ids[8]));
    host.show(ids[0], |s| s.held_bytes = 600_000);
    host.turn();
    assert_eq!(host.closed, [(ids[0], CloseReason::Bytes)]);
}
