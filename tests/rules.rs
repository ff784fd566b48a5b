//! Long random but legal event sequences under varied settings: the four rules as far as one router can see
//! them, and the same actions for the same events.

use martenweir::choice::Balancer;
use martenweir::interface::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::{BTreeMap, BTreeSet, VecDeque};

const MS: Micros = 1_000;
const ORIGIN: KindId = KindId(9);

/// Random numbers of the sequence itself.
struct Dice(u64);

impl Dice {
    fn roll(&mut self, n: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let x = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        ((x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb) >> 33) % n
    }
}

struct Sent {
    server: ServerId,
    zone: ZoneId,
    cell: CellId,
    at: Micros,
    verdict: Option<Verdict>,
}

struct Known {
    request: Request,
    sent: Vec<Sent>,
    over: bool,
}

struct World {
    settings: Settings,
    dice: Dice,
    now: Micros,
    balancer: Balancer,
    requests: BTreeMap<RequestId, Known>,
    members: BTreeMap<ServerId, Member>,
    ever: u64,
    timers: BTreeSet<(Micros, u64, Token)>,
    cold_sends: BTreeMap<ServerId, VecDeque<Micros>>,
    answers: VecDeque<Micros>,
    most_answers: usize,
    log: Vec<Action>,
    /// Rule 5: the requests of each key in order, as taken, and until when the key rests.
    turns: BTreeMap<Key, (Vec<RequestId>, Micros)>,
    /// Rule 7: draining servers whose idle connections are not closed since the notice or the last outcome.
    unclosed: BTreeSet<ServerId>,
}

fn settings(variant: u64) -> Settings {
    let bit = |n: u64| variant >> n & 1 == 1;
    let class = |repeat, group, limit: Micros| Class {
        target_latency: limit / 2,
        limit,
        repeat,
        group,
        window: 300 * MS,
        ..Class::default()
    };
    Settings {
        routers: if bit(0) { 1 } else { 5 },
        classes: vec![
            class(Repeat::Retryable, Group::All, 800 * MS),
            class(Repeat::Fragile, Group::All, 500 * MS),
            class(Repeat::Dedup, if bit(1) { Group::Zone } else { Group::Cell }, 600 * MS),
            Class { keep_order: bit(10), ..class(Repeat::Dedup, Group::All, 400 * MS) },
            Class {
                keep_order: bit(10),
                zones: Some(vec![ZoneId(1)]),
                ..class(Repeat::Retryable, Group::All, 900 * MS)
            },
            Class { kinds: Some(vec![KindId(1)]), ..class(Repeat::Retryable, Group::All, 700 * MS) },
        ],
        drain_close: Some(200 * MS).filter(|_| bit(11)),
        order_settle: if bit(12) { 50 * MS } else { 0 },
        quotas: if bit(2) { vec![] } else { vec![50.0, 20.0] },
        must_subscribe: bit(3),
        origin_kind: Some(ORIGIN).filter(|_| bit(4)),
        columns: if bit(5) { vec![Column::Errors, Column::Utilisation] } else { vec![] },
        may_cancel: bit(6),
        may_copy: bit(7),
        max_attempts: 2 + (variant >> 8 & 3) as u32,
        max_retry_after: Some(700 * MS).filter(|_| bit(1)),
        period: 2 * MS,
        answer_grace: 8 * MS,
        slow_start_from: 0.2,
        slow_start_duration: 3_000 * MS,
        overload_window: 1_000 * MS,
        ..Settings::default()
    }
}

impl World {
    fn new(seed: u64, variant: u64) -> Self {
        let settings = settings(variant);
        let mut w = World {
            balancer: Balancer::new(settings.clone(), seed),
            settings,
            dice: Dice(seed),
            now: 1_000_000 * MS,
            requests: BTreeMap::new(),
            members: BTreeMap::new(),
            ever: 0,
            timers: BTreeSet::new(),
            cold_sends: BTreeMap::new(),
            answers: VecDeque::new(),
            most_answers: 0,
            log: vec![],
            turns: BTreeMap::new(),
            unclosed: BTreeSet::new(),
        };
        let mut entries: Vec<_> = (0..5).map(|_| w.member()).collect();
        if w.settings.origin_kind.is_some() {
            entries[0].kind = ORIGIN;
        }
        w.list(ListForm::Cached, entries);
        w
    }

    fn member(&mut self) -> Member {
        self.ever += 1;
        let fresh = self.dice.roll(3) == 0;
        Member {
            server: ServerId(self.ever),
            zone: ZoneId(self.dice.roll(2) as u16),
            cell: CellId(self.dice.roll(3) as u16),
            kind: KindId(self.dice.roll(2) as u16),
            weight: 1.0,
            started: Some(self.now).filter(|_| fresh),
            ..Member::default()
        }
    }

    fn list(&mut self, form: ListForm, entries: Vec<Member>) {
        if matches!(form, ListForm::Full | ListForm::Cached) {
            self.members.clear();
        }
        for m in &entries {
            self.members.insert(m.server, m.clone());
            if m.phase == Phase::Draining && self.settings.drain_close.is_some() {
                self.unclosed.insert(m.server);
            }
        }
        self.event(Event::Members { form, entries });
    }

    fn event(&mut self, e: Event) {
        let mut out = Vec::new();
        self.balancer.handle(self.now, e, &mut out);
        for a in &out {
            self.check(a);
        }
        self.log.extend(out);
        // Closed in the batch of the notice or outcome: well within any time a rule states.
        assert!(self.unclosed.is_empty(), "rule 7: idle connections to {:?} stay open", self.unclosed);
    }

    fn check(&mut self, a: &Action) {
        match a {
            Action::Timer { after, token } => {
                assert!(*after >= 0);
                // Never in the batch now being answered.
                let at = (self.now + after).max(self.now + 1);
                self.timers.insert((at, self.log.len() as u64, *token));
            }
            Action::Send { request, server, .. } => self.check_send(*request, *server),
            Action::Refuse { request, retry_after } => {
                assert!(retry_after.is_none() || self.settings.max_retry_after.is_some());
                let k = self.requests.get_mut(request).expect("known");
                assert!(!k.over, "rule 1: a second final answer");
                k.over = true;
                let class = &self.settings.classes[usize::from(k.request.class.0)];
                let ran = k.sent.iter().any(|s| !s.verdict.is_some_and(Verdict::never_ran));
                let harmless = match class.repeat {
                    Repeat::Retryable => true,
                    Repeat::Dedup => !ran || class.group == Group::All,
                    Repeat::Fragile => !ran,
                };
                assert!(harmless, "rule 2: refused what may have run");
            }
            Action::Fail { request } => {
                let k = self.requests.get_mut(request).expect("known");
                assert!(!k.over, "rule 1: a second final answer");
                k.over = true;
            }
            Action::Cancel { .. } => assert!(self.settings.may_cancel),
            Action::Probe { .. } => assert!(self.settings.may_probe),
            Action::Subscribe => assert!(self.settings.must_subscribe),
            Action::Release { server } => {
                self.unclosed.remove(server);
            }
            Action::List => {}
        }
    }

    fn check_send(&mut self, id: RequestId, server: ServerId) {
        let m = self.members.get(&server).expect("a listed server").clone();
        assert_eq!(m.phase, Phase::Ready, "rule 3: sent to what drains or is gone");
        let k = self.requests.get_mut(&id).expect("known");
        assert!(!k.over, "rule 1: sent after the end");
        assert!(k.sent.len() < self.settings.max_attempts as usize);
        let class = &self.settings.classes[usize::from(k.request.class.0)];
        let zone = class.zones.as_ref().is_none_or(|z| z.contains(&m.zone));
        let kind = class.kinds.as_ref().is_none_or(|k| k.contains(&m.kind));
        assert!(m.kind == ORIGIN || (zone && kind), "rule 6: sent where its class must not go");
        let out = k.sent.iter().any(|s| s.verdict.is_none());
        assert!(!out || self.settings.may_copy, "rule 2: overlapping attempts");
        if let Some(first) = k.sent.iter().find(|s| !s.verdict.is_some_and(Verdict::never_ran)) {
            match class.repeat {
                Repeat::Retryable => {}
                Repeat::Fragile => panic!("rule 2: sent again what must never run twice"),
                Repeat::Dedup => {
                    assert!(self.now <= first.at + class.window, "rule 2: past the window");
                    let same = match class.group {
                        Group::All => true,
                        Group::Zone => first.zone == m.zone,
                        Group::Cell => first.cell == m.cell,
                    };
                    assert!(same, "rule 2: outside the group");
                }
            }
        }
        let first_try = k.sent.is_empty();
        k.sent.push(Sent { server, zone: m.zone, cell: m.cell, at: self.now, verdict: None });
        self.check_turn(id, first_try);
        if m.started.is_some_and(|t| self.now < t + self.settings.slow_start_duration) && m.kind != ORIGIN {
            let window = self.settings.overload_window;
            let sends = self.cold_sends.entry(server).or_default();
            sends.push_back(self.now);
            while sends.front().is_some_and(|t| *t <= self.now - window) {
                sends.pop_front();
            }
            // All warm servers have weight 1: one of them answered at most what all did in the busiest window.
            let fair = self.most_answers as f64 * self.settings.overload_multiple;
            assert!(sends.len() as f64 <= fair + 1.0, "rule 4: {} sends to a cold server", sends.len());
        }
    }

    /// Rule 5: all taken earlier for this key are over, with no attempt out, and the key has rested.
    fn check_turn(&self, id: RequestId, first_try: bool) {
        let Some((taken, rest)) = self.turns.get(&self.requests[&id].request.key) else { return };
        let Some(at) = taken.iter().position(|t| *t == id) else { return };
        for earlier in taken[..at].iter().filter_map(|t| self.requests.get(t)) {
            let out = earlier.sent.iter().any(|s| s.verdict.is_none());
            assert!(earlier.over && !out, "rule 5: out of turn");
        }
        assert!(!first_try || *rest <= self.now, "rule 5: the key does not rest");
    }

    fn outcome(&mut self, id: RequestId, attempt: usize, verdict: Verdict) {
        let k = self.requests.get_mut(&id).expect("known");
        let s = &mut k.sent[attempt];
        s.verdict = Some(verdict);
        k.over |= verdict == Verdict::Served;
        if verdict == Verdict::Served {
            self.answers.push_back(self.now);
            while self.answers.front().is_some_and(|t| *t <= self.now - self.settings.overload_window) {
                self.answers.pop_front();
            }
            self.most_answers = self.most_answers.max(self.answers.len());
        }
        let server = s.server;
        let k = &self.requests[&id];
        if matches!(verdict, Verdict::Timeout | Verdict::Reset | Verdict::Cancelled)
            && self.settings.classes[usize::from(k.request.class.0)].keep_order
        {
            self.turns.entry(k.request.key).or_default().1 = self.now + self.settings.order_settle;
        }
        let draining = self.members.get(&server).is_some_and(|m| m.phase == Phase::Draining);
        if draining && self.settings.drain_close.is_some() {
            self.unclosed.insert(server);
        }
        let k = &self.requests[&id];
        let s = &k.sent[attempt];
        let report = match self.dice.roll(4) {
            0 => vec![],
            1 => vec![f32::NAN, f32::NAN],
            n => vec![0.0, n as f32 * 0.3],
        };
        let end = Outcome {
            no_place: false,
            request: id,
            attempt: attempt as u8,
            server: s.server,
            verdict,
            elapsed: self.now - s.at,
            finished: k.over,
            note: self.dice.roll(4) as u32,
            report,
        };
        self.event(Event::Outcome(end));
    }

    fn flying(&self) -> Vec<(RequestId, usize)> {
        let all = self.requests.iter().flat_map(|(id, k)| k.sent.iter().enumerate().map(move |s| (*id, s)));
        all.filter(|(_, (_, s))| s.verdict.is_none()).map(|(id, (n, _))| (id, n)).collect()
    }

    fn step(&mut self) {
        self.now += self.settings.period;
        while let Some(t) = self.timers.first().copied().filter(|t| t.0 <= self.now) {
            self.timers.remove(&t);
            self.event(Event::Timer(t.2));
        }
        for (id, n) in self.flying() {
            // An attempt runs until the client gives up.
            if self.requests[&id].request.deadline <= self.now {
                self.outcome(id, n, Verdict::Timeout);
            }
        }
        match self.dice.roll(12) {
            0..=4 => self.ask(),
            5..=8 => self.end_one(),
            9 if self.dice.roll(4) == 0 => self.change(),
            10 if self.dice.roll(6) == 0 => {
                let ids: Vec<_> = self.requests.iter().filter(|(_, k)| !k.over).map(|(id, _)| *id).collect();
                if !ids.is_empty() {
                    let id = ids[self.dice.roll(ids.len() as u64) as usize];
                    self.requests.get_mut(&id).expect("known").over = true;
                    self.event(Event::ClientLeft(id));
                }
            }
            11 if self.dice.roll(20) == 0 => {
                self.event(Event::Members { form: ListForm::Failed, entries: vec![] })
            }
            _ => {}
        }
        for (id, k) in &self.requests {
            let late = self.now > k.request.deadline + self.settings.answer_grace;
            assert!(k.over || !late, "rule 1: {id:?} has no answer in its time");
        }
        self.requests.retain(|_, k| !k.over || k.sent.iter().any(|s| s.verdict.is_none()));
    }

    fn ask(&mut self) {
        self.ever += 1;
        let class = self.dice.roll(self.settings.classes.len() as u64) as u16;
        let limit = self.settings.classes[usize::from(class)].limit;
        let request = Request {
            id: RequestId(self.ever),
            class: ClassId(class),
            tenant: TenantId(self.dice.roll(2) as u32),
            key: Key(self.dice.roll(12)),
            write: class > 0,
            repeat: false,
            deadline: self.now + limit * (3 + self.dice.roll(8) as Micros) / 10,
            hint: Some(1e4 + self.dice.roll(100_000) as f64).filter(|_| self.ever % 3 > 0),
        };
        if self.settings.classes[usize::from(class)].keep_order && request.key != Key(0) {
            self.turns.entry(request.key).or_default().0.push(request.id);
        }
        self.requests.insert(request.id, Known { request: request.clone(), sent: vec![], over: false });
        self.event(Event::Request(request));
    }

    fn end_one(&mut self) {
        let flying = self.flying();
        if flying.is_empty() {
            return;
        }
        let (id, n) = flying[self.dice.roll(flying.len() as u64) as usize];
        let verdict = match self.dice.roll(12) {
            0 => Verdict::Error,
            1 => Verdict::Full,
            2 => Verdict::ConnectFailed,
            3 => Verdict::Reset,
            4 | 5 if self.settings.origin_kind.is_some() => Verdict::Miss,
            _ => Verdict::Served,
        };
        self.outcome(id, n, verdict);
    }

    fn change(&mut self) {
        let ids: Vec<_> = self.members.keys().copied().collect();
        let pick = self.dice.roll(6);
        if pick < 2 || ids.is_empty() {
            let m = self.member();
            return self.list(ListForm::Delta, vec![m]);
        }
        let mut m = self.members[&ids[self.dice.roll(ids.len() as u64) as usize]].clone();
        match pick {
            2 => m.phase = Phase::Draining,
            3 => m.phase = Phase::Gone,
            4 => (m.phase, m.started) = (Phase::Ready, Some(self.now)),
            _ => {
                let mut all: Vec<_> = self.members.values().cloned().collect();
                all.retain(|e| e.server != m.server && e.phase != Phase::Gone);
                return self.list(ListForm::Full, all);
            }
        }
        self.cold_sends.remove(&m.server);
        self.list(ListForm::Delta, vec![m]);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        rng_seed: RngSeed::Fixed(20_261_128),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn the_rules_hold_and_the_same_events_give_the_same_actions(seed: u64, variant: u64) {
        let run = || {
            let mut w = World::new(seed, variant);
            for _ in 0..3_000 {
                w.step();
            }
            w.log
        };
        let log = run();
        let sends = log.iter().filter(|a| matches!(a, Action::Send { .. })).count();
        prop_assert!(sends > 30);
        prop_assert_eq!(log, run());
    }
}
