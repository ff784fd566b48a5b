//! Every decision of a router: which cache server a request goes to, and when it is held, refused or
//! tried again. The interface (settings, events, actions) is `src/interface.rs`; `docs/design.md` says
//! what is kept of the paper's mechanism, what departs from it and when each departure acts.

mod estimates;
mod origin_fetches;

use crate::interface::*;
use crate::servers::Servers;
use crate::slow_start::{Allowance, Demand, SlowStart};
pub use crate::state::shares;
use crate::state::*;
use limits::capacity::ObservedCapacity;
use limits::{backoff, cold, Bucket, Budget, Extra, Limit, OriginLimit, PopularityCounter, Sample};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// Candidates a key is spread over (d); 2 makes the shares of Eq. 7 as sharp as they get.
pub const CANDIDATES: usize = 2;
/// Candidates ranked a request: room for overflow past d and for servers already tried.
const RANKED: usize = 6 * CANDIDATES;
/// Congestion index from which a server counts as busy: the paper's "approaches 1".
pub const CONGESTED: f64 = 1.0;
/// And from which its keys are spread, while the origin has room for misses elsewhere: by then a server of
/// several cores has a wait near its service time. It rises with the square of what room is lacking.
const SPREAD: f64 = 8.0;
/// What a server of another zone counts for in the ranking while the origin has room for a second copy.
const FAR: f64 = 0.05;
/// The least room that counts.
const ROOM_LEAST: f64 = 1e-3;
/// Utilisation is clamped here, so that 1 - rho never vanishes.
const RHO_MAX: f64 = 0.98;
/// Utilisation from which a candidate counts as saturated: nothing more fits.
const RHO_FULL: f64 = 0.95;
/// Re-solve period of the per-server terms, in us: several times a second, far above a request's cost.
const REFRESH: Micros = 200_000;
/// Samples that weigh as much as the pooled moments; about what a variance needs to mean anything.
const PRIOR_SAMPLES: f64 = 8.0;
/// Prior of every squared coefficient of variation: Poisson arrivals, exponential service.
const PRIOR_SCV: f64 = 1.0;
/// First stay of an evicted server outside, in us, and the longest.
const EVICT: Micros = 500_000;
const EVICT_LONGEST: Micros = 8_000_000;
/// Failures in a row that evict; one that shows a dead process counts as this many.
const FAILURES: u32 = 3;
/// Further attempts and trials of evicted servers, as parts of the requests, and the burst of them.
const RETRY_PART: f64 = 0.2;
const TRIAL_PART: f64 = 0.1;
const RETRY_BURST: f64 = 10.0;
/// Reads fetched past full caches, as a part of those that missed: twice the usual fetches at most.
const SPILL_PART: f64 = 1.0;
/// Part of the attempts refused a connection at which all are closed after use, and how many are looked at.
const SCARCE: f64 = 0.1;
const CONNECT_MEMORY: f64 = 20.0;
/// What probes may cost of the service, and the age in us from which a report is asked anew.
const PROBE_WORTH: f64 = 0.004;
const PROBE_AGAIN: Micros = 5 * REFRESH;
/// Silence with two or more out that tells of a hang, in us: longer than a busy server's pauses.
const SILENT: Micros = 300_000;
/// Memory of how often keys are asked for, in us, and what each ask lately is worth beside one that waits.
const ASKED_MEMORY: f64 = 10e6;
const ASKED_WORTH: f64 = 0.3;
/// Asks for a key within that memory that say nothing of how popular it is.
const ASKED_BY_CHANCE: f64 = 2.0;
/// First back-off after a failed discovery call, in us.
const ASK_AGAIN: Micros = 500_000;
/// Memory of the tenants' use, in us, and requests a tenant may bunch at a quiet router without being over.
const QUOTA_MEMORY: f64 = 10e6;
const QUOTA_BURST: f64 = 5.0;
/// Part of what wants a cache going without an answer in time from which the rest is refused early.
const UNANSWERED: f64 = 0.5;
/// Sent for each answer in time while refusing: enough above 1 to find capacity that came back.
const SURPLUS: f64 = 1.2;
/// Part refused at most: a fault that no refusal cures must not starve what still works.
const MOST_REFUSED: f64 = 0.95;
/// Part of the outcomes failing from which the fault lies behind the fleet, and how many are looked at.
const FAILING: f64 = 0.3;
const FAILING_MEMORY: f64 = 50.0;
/// A server that planners have found silent is tried after this long, in us: its answer ends it for all.
const TRY_MARKED: Micros = 2_000_000;
const TICK: Token = Token(1 << 62);
const ASK: Token = Token(1 << 61);

#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    rng: u64,
    pub(crate) servers: Servers,
    pub(crate) open: BTreeMap<RequestId, Open>,
    /// Quotas: a bucket a tenant, and the part of the quotas that is this router's.
    pub(crate) tenants: Vec<Bucket>,
    part: f64,
    /// Hints lately.
    hints: Moments,
    slow_start: SlowStart,
    /// What warm caches of all zones were seen to do.
    capacity: ObservedCapacity,
    /// Requests within quota that wanted a cache lately, and those a cache answered within the aim.
    wanted: f64,
    answered: f64,
    /// Part of the caches' outcomes that were errors or time-outs, lately.
    failing: f64,
    retries: Budget,
    spills: Budget,
    trials: f64,
    probes: f64,
    /// The time that few answers of the caches exceed, and the shortest aim of a class.
    long: Micros,
    aim: Micros,
    /// Part of the attempts that got no connection, lately.
    unconnected: f64,
    pub(crate) zones: BTreeMap<ZoneId, Zone>,
    /// Aside mode: the requests that wait for each key's fetch, its leader first; the queue for the origin,
    /// and how much may be out there.
    pub(crate) fetches: BTreeMap<Key, VecDeque<RequestId>>,
    pub(crate) queue: Vec<RequestId>,
    /// Keys in order: whose turn it is, and requests that are over while an attempt of theirs is out.
    pub(crate) turns: BTreeMap<Key, Turns>,
    pub(crate) lingering: BTreeMap<RequestId, Open>,
    pub(crate) origin: OriginLimit,
    /// The time that origins take, and how often keys are asked for, lately.
    origin_time: Moments,
    asked: PopularityCounter,
    failed_calls: u32,
    /// What planners say of this router's parts.
    plan: Plan,
}

impl Balancer {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let tenants = vec![Bucket { tokens: QUOTA_BURST, ..Bucket::default() }; settings.quotas.len()];
        let part = 1.0 / f64::from(settings.routers.max(1));
        let aim = settings.classes.iter().map(|c| c.target_latency).min().unwrap_or(0);
        Balancer {
            rng: seed,
            tenants,
            part,
            aim,
            retries: Budget::new(RETRY_PART, RETRY_BURST),
            spills: Budget::new(SPILL_PART, cold::burst(settings.routers)),
            origin: OriginLimit::for_fleet(settings.routers),
            slow_start: SlowStart::new(&settings),
            settings,
            ..Balancer::default()
        }
    }

    fn random(&mut self) -> f64 {
        self.rng = self.rng.wrapping_add(0x9e37_79b9_7f4a_7c15);
        unit(mix(self.rng))
    }

    pub fn handle(&mut self, now: Micros, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::Members { form, entries } => self.members(now, form, entries, out),
            Event::Request(r) => self.request(now, r, out),
            Event::First { request, .. } => self.open.get_mut(&request).map_or((), |o| o.begun = true),
            Event::Outcome(o) => self.outcome(now, o, out),
            Event::ClientLeft(id) => self.forget(now, id, out),
            Event::Sooner(id, at) => {
                self.open.entry(id).and_modify(|o| o.request.deadline = o.request.deadline.min(at));
                self.parked_long(now, id, out);
            }
            Event::Timer(TICK) => {
                self.refresh(now);
                self.give_up(now, out);
                self.drain_origin(now, out);
                out.push(Action::Timer { after: REFRESH, token: TICK });
            }
            Event::Plan(plan) => self.plan = self.servers.apply_plan(plan),
            Event::Timer(ASK) => out.push(Action::Subscribe),
            Event::Timer(Token(id)) => self.parked_long(now, RequestId(id), out),
            Event::Probed { server, verdict, report, .. } => {
                self.report(now, server, &report);
                self.busy(now, server, verdict);
                self.close_idle(server, out);
            }
        }
    }

    // ---- membership and discovery

    fn members(&mut self, now: Micros, form: ListForm, entries: Vec<Member>, out: &mut Vec<Action>) {
        if form == ListForm::Failed {
            // Discovery is one small service for all routers: back off, spread by the seed.
            let span = backoff(ASK_AGAIN, self.failed_calls, self.settings.discovery_retry_limit);
            let after = (span as f64 * (0.5 + self.random())) as Micros;
            self.failed_calls += 1;
            return out.extend(self.settings.must_subscribe.then_some(Action::Timer { after, token: ASK }));
        }
        self.failed_calls = 0;
        if form != ListForm::Delta {
            let listed: BTreeSet<ServerId> = entries.iter().map(|m| m.server).collect();
            self.servers.retain(|id, _| listed.contains(id));
        }
        for member in entries {
            let (id, allowance) = (member.server, Allowance::new(self.random()));
            // A restart under the same id is a new, cold process: nothing known of the old one holds.
            if self.servers.get(&id).is_none_or(|s| s.member.started != member.started) {
                self.servers.insert(id, Server { allowance, ..Server::default() });
            }
            self.servers.get_mut(&id).into_iter().for_each(|s| s.member = member.clone());
            self.close_idle(id, out);
        }
        self.servers.retain(|_, s| s.member.phase != Phase::Gone);
        self.refresh_terms(now);
        if form == ListForm::Cached {
            // Routers that start together must not call, or re-solve, in step.
            out.push(Action::Timer { after: (self.random() * REFRESH as f64) as Micros, token: TICK });
            if self.settings.must_subscribe {
                let after = (self.random() * self.settings.discovery_retry_limit as f64 / 4.0) as Micros;
                out.push(Action::Timer { after, token: ASK });
            }
        }
    }

    /// Closing on drains: at the notice and at each later outcome there nothing idle stays connected. Nor,
    /// for a part, where connections are refused: what idles is another router's refusal, and a router with a
    /// few servers has few keys' copies. A new connection costs a handshake, a lost copy a fetch.
    fn close_idle(&mut self, server: ServerId, out: &mut Vec<Action>) {
        let scarce = self.unconnected > 0.0 && self.random() < self.unconnected / SCARCE;
        let ready = self.servers.get(&server).filter(|s| s.member.phase == Phase::Ready);
        let drained = self.settings.drain_close.is_some() && ready.is_none();
        let scarce = scarce && ready.is_some_and(|s| s.gate.out() == 0);
        out.extend((drained || scarce).then_some(Action::Release { server }));
    }

    // ---- requests

    fn request(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        let class = self.settings.classes[usize::from(request.class.0)].clone();
        self.retries.request(now);
        if request.repeat {
            // A client's own retry is work beside first attempts too: what it takes is not there for ours.
            self.retries.take(Extra::ClientRetry);
        }
        self.trials = (self.trials + TRIAL_PART).min(RETRY_BURST);
        self.probes = (self.probes + PROBE_WORTH / self.settings.probe_price).min(RETRY_BURST);
        if !request.write {
            self.asked.record(mix(request.key.0));
        }
        if !(request.write && self.settings.origin_kind.is_some()) {
            self.slow_start.request();
        }
        request.hint.into_iter().for_each(|h| self.hints.add(h));
        let (id, at) = (request.id, request.tenant.0 as usize);
        let part = self.plan.quota(at, self.part);
        let bucket = self.tenants.get_mut(at).zip(self.settings.quotas.get(at));
        let over = bucket.is_some_and(|(b, q)| q.is_finite() && !b.take(now, q * part, QUOTA_BURST));
        let o = Open { request, class, taken: now, over, attempts: Vec::new(), parked: false, begun: false };
        if let Some(key) = o.in_order() {
            self.turns.entry(key).or_default().queue.push_back(id);
        }
        self.open.insert(id, o);
        self.advance(now, id, out);
    }

    fn split_quotas(&mut self, keep: f64) {
        let even = 1.0 / f64::from(self.settings.routers.max(1));
        let second = keep * REFRESH as f64 / 1e6 / (1.0 - keep);
        self.part = middle_part(&mut self.tenants, &self.settings.quotas, second, keep).max(even);
    }

    /// Whether a server may be sent a request now: listed ready, what may run twice where, its slow start.
    /// Asked right before each send, since a request can have waited. `home` is where its key belongs.
    fn permitted(&self, now: Micros, o: &Open, s: &Server, home: Option<ServerId>) -> bool {
        let allowed = o.repeats_at(now + self.settings.period, s) && o.placed_at(s);
        let open = allowed && s.weight > 0.0 && now < o.request.deadline && self.left(o) > 0;
        open && (!s.cold || self.admitted(now, o, s, home))
    }

    /// Whether a server in slow start may be sent a request now.
    fn admitted(&self, now: Micros, o: &Open, s: &Server, home: Option<ServerId>) -> bool {
        let first = o.attempts.is_empty() && home == Some(s.member.server);
        let popularity =
            (self.asked.count(mix(o.request.key.0)) - ASKED_BY_CHANCE).max(0.0) * 1e6 / ASKED_MEMORY;
        let weight = s.weight * self.nearness(s, self.far());
        let demand = match first {
            true => self.slow_start.demand(weight, self.slow_start_rate(s), popularity),
            false => Demand::Excess,
        };
        s.allowance.admits(now, demand, self.slow_start.window())
    }

    /// Where a key belongs by the list alone, whatever is known of the servers, while any is in slow start.
    fn home(&self, o: &Open, key: u64) -> Option<ServerId> {
        if !self.slow_start.is_on() {
            return None;
        }
        let far = self.far();
        let weight =
            |s: &Server| (s.weight > 0.0 && o.placed_at(s)).then(|| s.weight * self.nearness(s, far));
        let best = self.servers.best(key, 1, self.scales(far), weight);
        best.first().map(|s| s.member.server)
    }

    /// What servers of other zones count for: more as the origin has less room for a second copy.
    fn far(&self) -> f64 {
        FAR.powf(self.origin.headroom())
    }

    fn nearness(&self, s: &Server, far: f64) -> f64 {
        if s.member.zone == self.settings.zone {
            1.0
        } else {
            far
        }
    }

    /// The most that a weight of either side may be over that listed.
    fn scales(&self, far: f64) -> [f64; 2] {
        let warmest = self.settings.slow_start_from.max(1.0);
        [warmest, warmest * far]
    }

    fn left(&self, o: &Open) -> usize {
        (self.settings.max_attempts as usize).saturating_sub(o.attempts.len())
    }

    /// The next step of a request that has nothing out: an attempt, a wait for a fetch, or its answer.
    fn advance(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(o) = self.open.get(&id) else { return };
        // Order: the first attempt waits until those taken before it are over and the key has rested.
        let turns = o.in_order().filter(|_| o.attempts.is_empty()).and_then(|k| self.turns.get(&k));
        let starts = turns.map_or(0, |t| if t.queue.front() == Some(&id) { t.rest } else { Micros::MAX });
        if starts > now {
            let after = (starts.min(o.request.deadline - self.settings.period) - now).max(0);
            self.open.entry(id).and_modify(|o| o.parked = true);
            return out.push(Action::Timer { after, token: Token(id.0) });
        }
        let fetch = self.settings.origin_kind.is_some() && (o.request.write || o.missed_at().is_some());
        if fetch && self.left(o) > 0 {
            return self.fetch(now, id, out);
        }
        match self.choose(now, id) {
            Some(server) => self.send(now, id, server, out),
            None => {
                self.want(id, 0);
                self.spill(now, id, out);
            }
        }
    }

    /// Counts a request that wants a cache, but not before its first attempt had the time to be answered.
    fn want(&mut self, id: RequestId, ended: usize) {
        let first = self.open.get(&id).is_some_and(|o| !o.over && o.attempts.len() == ended);
        self.wanted += f64::from(u8::from(first));
    }

    /// The ready candidates of a key by weighted rendezvous hashing, best first: the same on all routers of a
    /// zone with the same list, and a change of the list moves only keys it must. While the origin has room
    /// for a copy in each zone, servers of others count for little; as it has less, all zones share one copy,
    /// which is one of those that are there already.
    fn ranked(&self, now: Micros, key: u64, want: usize, usable: impl Fn(&Server) -> bool) -> Vec<&Server> {
        // Evicted servers are tried by a part of the requests: where most refuse to connect, or are dead, a
        // router keeps to those it reaches. With none within reach the fault is elsewhere.
        let within = |s: &Server| {
            let marked = s.avoids(key);
            let due = !marked || s.last_send.is_none_or(|t| t + TRY_MARKED <= now);
            let tried = due && s.evicted_until <= now && self.trials >= 1.0;
            let reached = self.zones.get(&s.member.zone).is_none_or(|z| z.reach.allows(now, self.silent()));
            reached && !self.hangs(now, s) && (tried || (s.evictions == 0 && !marked))
        };
        let far = self.far();
        let weight = |s: &Server| (s.weight > 0.0 && usable(s)).then(|| s.weight * self.nearness(s, far));
        let scales = self.scales(far);
        let reached = self.servers.best(key, want, scales, |s| weight(s).filter(|_| within(s)));
        match reached.is_empty() {
            true => self.servers.best(key, want, scales, weight),
            false => reached,
        }
    }

    /// Silence that tells of more than pauses.
    fn silent(&self) -> Micros {
        SILENT.max(self.long)
    }

    /// Whether a server takes requests and says nothing: known long before the first runs out of time.
    pub(crate) fn hangs(&self, now: Micros, s: &Server) -> bool {
        s.gate.out() > 1 && s.gate.silence(now) > SILENT.max(self.long / 2)
    }

    fn choose(&mut self, now: Micros, id: RequestId) -> Option<ServerId> {
        let (draw, refuse) = (self.random(), self.random());
        let o = self.open.get(&id)?;
        let key = if o.request.key == Key(0) { id.0 } else { o.request.key.0 };
        let home = self.home(o, mix(key));
        let usable = |s: &Server| {
            let takes = s.gate.allows(now, s.gate.out());
            takes
                && self.permitted(now, o, s, home)
                && !o.attempts.iter().any(|a| a.server == s.member.server)
        };
        let first = *self.ranked(now, mix(key), 1, usable).first()?;
        // Under strain a router sends a little more than its caches answered in time of late and refuses the
        // rest early: queues past the aim serve nobody, and a cache waiting for a swamped origin looks idle
        // by its cores. What is over quota goes first.
        let (index, surplus) = (first.terms.index(), self.surplus());
        let surplus = o.attempts.is_empty() && surplus >= UNANSWERED && (o.over || refuse < surplus);
        if surplus && (index >= CONGESTED || self.failing >= FAILING) {
            return None;
        }
        // A copy elsewhere is a fetch more: without room for it the key stays with its first candidate.
        let room = self.origin.headroom() * (1.0 - self.origin.failure_ratio());
        let index = index * room.powi(2).max(ROOM_LEAST);
        // The size cut falls from the mean hint as congestion grows past the threshold.
        let small = o.request.hint.is_some_and(|h| h < self.hints.mean() * SPREAD / index);
        if index < SPREAD || small {
            return Some(first.member.server);
        }
        // Overflow: a hot key can swamp its d candidates; the next d in rank order take over from them.
        let ranked = self.ranked(now, mix(key), RANKED, usable);
        let full = |w: &&[&Server]| w.iter().all(|s| s.terms.rho >= RHO_FULL);
        let window = ranked.chunks(CANDIDATES).find(|w| !full(w));
        let window = window.unwrap_or(&ranked[..ranked.len().min(CANDIDATES)]);
        let terms: Vec<Terms> = window.iter().map(|s| s.terms).collect();
        let mut left = draw;
        let drawn = window.iter().zip(shares(&terms)).find(|(_, share)| {
            left -= share;
            left < 0.0
        });
        drawn.map(|(s, _)| s).or(window.last()).map(|s| s.member.server)
    }

    fn send(&mut self, now: Micros, id: RequestId, server: ServerId, out: &mut Vec<Action>) {
        let (surplus, silent, draw) = (self.surplus(), self.silent(), unit(mix(self.rng ^ now as u64)));
        let (Some(o), Some(s)) = (self.open.get_mut(&id), self.servers.get_mut(&server)) else { return };
        if let Some(last) = s.last_send.replace(now) {
            s.gaps.add((now - last) as f64);
        }
        s.gate.sent(now, s.gate.out() + 1);
        if !s.origin {
            self.zones.entry(s.member.zone).or_default().reach.sent(now, server.0, silent, draw);
        }
        self.trials -= f64::from(u8::from(s.evictions > 0 || s.avoid > 0.0)).min(self.trials);
        // A request far above the mean work draws as much more of a server's allowance.
        if s.cold {
            s.allowance.spend(o.request.hint.map_or(1.0, |h| (h / self.hints.mean().max(1.0)).max(1.0)));
        }
        o.parked = false;
        let begin_by = o.repeats_until();
        o.attempts.push(Attempt::sent(now, &s.member));
        // While much is refused, an answer past the aim takes a place: called off unless worth more than it.
        let worth = self.answered >= o.class.late_value * self.wanted && o.class.repeat == Repeat::Retryable;
        let cap = worth && surplus >= UNANSWERED && !s.origin;
        let aim = cap.then_some((o.taken + o.class.target_latency - now).max(o.class.target_latency / 2));
        let timeout = aim.or(self.patience(now, id, server));
        out.push(Action::Send { request: id, server, timeout, begin_by });
        self.probe(now, server, out);
    }

    /// How long an attempt may take before another is made: where answers come well within the aim, one that
    /// takes half of it sits on a connection that fell silent, or at a hung server. A second fetch wants
    /// an origin with room; and what may run once has to have a place by then where it may go again.
    fn patience(&self, now: Micros, id: RequestId, server: ServerId) -> Option<Micros> {
        let (o, s) = (self.open.get(&id)?, self.servers.get(&server)?);
        let half = o.class.target_latency / 2;
        let other = |x: &&Server| x.origin == s.origin && (s.origin || x.member.server != server);
        let place = || self.servers.values().filter(other).any(|x| self.permitted(now + half, o, x, None));
        let more = o.class.repeat == Repeat::Retryable || place();
        let again = self.settings.may_copy && o.in_order().is_none() && more;
        let origin = long(self.origin_time.shrunk(PRIOR_SAMPLES, half as f64 / 4.0, PRIOR_SCV));
        let usual = if s.origin { origin } else { self.long };
        let quick = usual <= half && !self.strained() && (!s.origin || self.origin.headroom() >= 1.0);
        (again && quick && self.left(o) > 0 && self.retries.left() >= 1.0).then_some(half)
    }

    /// The part of what wants a cache beyond what caches answer in time, and so refused under strain.
    fn surplus(&self) -> f64 {
        ((self.wanted - SURPLUS * self.answered - 1.0) / self.wanted).min(MOST_REFUSED)
    }

    /// Whether caches fail all over the fleet, or answer less than is wanted: another attempt adds to it.
    fn strained(&self) -> bool {
        self.failing >= FAILING || self.surplus() >= UNANSWERED
    }

    fn outcome(&mut self, now: Micros, end: Outcome, out: &mut Vec<Action>) {
        let id = end.request;
        self.report(now, end.server, &end.report);
        let open = self.open.get_mut(&id).or_else(|| self.lingering.get_mut(&id));
        let key = open.as_ref().and_then(|o| o.in_order());
        let attempt = open.and_then(|o| o.attempts.get_mut(usize::from(end.attempt)));
        let sent = attempt.as_ref().map_or(now - end.elapsed, |a| a.sent);
        let mine = attempt.filter(|a| a.verdict.is_none()).map(|a| a.verdict = Some(end.verdict)).is_some();
        if let Some(turns) = key.and_then(|k| self.turns.get_mut(&k)).filter(|_| mine && end.may_still_run())
        {
            turns.rest = now + self.settings.order_settle;
        }
        self.judge(now, &end, sent);
        self.close_idle(end.server, out);
        if self.lingering.get(&id).is_some_and(|o| !o.is_out()) {
            self.lingering.remove(&id);
            self.next_turn(now, id, key, out);
        }
        let mine = mine && self.open.contains_key(&id);
        if mine && end.finished {
            self.forget(now, id, out);
        } else if mine && end.verdict == Verdict::Miss && self.settings.origin_kind.is_some() {
            self.spills.request(now);
            self.advance(now, id, out);
        } else if mine {
            match self.pays(now, id, &end) {
                true => self.advance(now, id, out),
                false => self.spill(now, id, out),
            }
        }
        self.drain_origin(now, out);
    }

    /// Whether another attempt is in the budget: a broken connection is no load and takes nothing; nothing is
    /// left to pay with where a time-out was all the time the request had, or no other may be made beside it.
    fn pays(&mut self, now: Micros, id: RequestId, end: &Outcome) -> bool {
        let Some(o) = self.open.get(&id) else { return false };
        let (left, strained) = (o.request.deadline - now, self.strained());
        match end.verdict {
            Verdict::Timeout | Verdict::Moot => {
                let more = left > 2 * self.settings.period && self.settings.may_copy && !strained;
                more && self.retries.take(Extra::Retry)
            }
            // Over quota it is served where there is room, and not tried elsewhere where there is none.
            Verdict::Full if o.over => false,
            _ if end.connection_failed() && !strained => true,
            _ => self.retries.take(Extra::Retry),
        }
    }

    /// Turned away or not answered in time: busy now, whatever the last report said.
    fn busy(&mut self, now: Micros, server: ServerId, verdict: Verdict) {
        let busy = matches!(verdict, Verdict::Full | Verdict::Timeout);
        if let Some(s) = self.servers.get_mut(&server).filter(|_| busy) {
            (s.rho, s.reported) = (RHO_MAX, Some(now));
        }
    }

    /// What an outcome says of its server's health and speed.
    fn judge(&mut self, now: Micros, end: &Outcome, sent: Micros) {
        let jitter = 0.5 + self.random();
        let (own, aim) = self.open.get(&end.request).map_or((0, 0), |o| (o.class.target_latency, o.counts()));
        let told = |s: &Server| (s.overtook(sent, end.verdict), usize::from(!s.origin));
        let (lone, first) = self.servers.get(&end.server).map_or((false, 0), told);
        if !lone && !end.no_place {
            self.busy(now, end.server, end.verdict);
        }
        self.want(end.request, first);
        // Later than twice the shortest aim nobody waits for it, unless its own class does.
        let (late, kept_waiting, silent) = ((self.aim * 2).max(own), !self.queue.is_empty(), self.silent());
        let Some(s) = self.servers.get_mut(&end.server) else { return };
        let ending = s.ending(end, sent, late);
        // A zone that is out of reach says nothing of the rest of the fleet, nor of its own servers.
        let zone = self.zones.entry(s.member.zone).or_default();
        zone.reach.ended(!s.origin && end.process_responded());
        let lost = !s.origin && zone.reach.is_lost(now, silent);
        // A server that refused connections and answers now has too few; one that says nothing more is gone.
        s.refused += u32::from(end.verdict == Verdict::ConnectFailed && !lost);
        let full = if end.process_responded() { std::mem::take(&mut s.refused) } else { 0 };
        self.unconnected += (f64::from(full.min(1)) - self.unconnected) / CONNECT_MEMORY;
        let sample = Sample { now, sent, ending, out_at_send: s.gate.out(), kept_waiting };
        s.gate.ended(&sample);
        let (good, lone) = (matches!(end.verdict, Verdict::Served | Verdict::Miss), lone || lost);
        let bad = matches!(end.verdict, Verdict::Error | Verdict::Timeout) && !lone;
        if matches!(end.verdict, Verdict::Served | Verdict::Timeout) && !lone {
            s.latency.add(end.elapsed.max(0) as f64);
        }
        // A process that answered a moment ago did not die: it was that connection.
        let alive = end.verdict == Verdict::Reset && s.answered + REFRESH > now;
        let broken = matches!(end.verdict, Verdict::ConnectFailed | Verdict::Reset) && !alive && !lost;
        // Errors and time-outs all over the fleet come from behind it, and moving keys would add misses.
        s.failures += u32::from(broken || (bad && self.failing < FAILING));
        if good {
            (s.failures, s.evictions, s.answered) = (0, 0, s.answered.max(sent));
        }
        if s.failures >= FAILURES {
            // Failing or vanished, with its last report and its keys: out for a while, tried, out for longer.
            s.failures = FAILURES - 1;
            s.evicted_until = now + (backoff(EVICT, s.evictions, EVICT_LONGEST) as f64 * jitter) as Micros;
            s.evictions += 1;
        }
        if s.origin {
            (end.verdict != Verdict::Moot).then(|| self.origin_time.add(end.elapsed as f64));
            self.origin.ended(&sample);
            self.spills.ended(&sample);
        } else if good || bad {
            self.failing += (f64::from(u8::from(bad)) - self.failing) / FAILING_MEMORY;
            self.retries.ended(&sample);
            self.answered += f64::from(u8::from(good && end.elapsed <= aim));
            // A miss takes a part of the work of a hit that a router cannot know: a server answers many more
            // of them than it can do requests of mean work, so none of them proves capacity.
            zone.served += f64::from(u8::from(end.verdict == Verdict::Served && !s.cold));
        }
    }

    /// The final answer to a request without one: a refusal where that promise is true.
    fn finish(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let draw = self.random();
        let Some(o) = self.open.get(&id) else { return };
        let dropped = o.class.repeat == Repeat::Dedup && o.class.group == Group::All;
        let harmless = o.ran().is_none() || o.class.repeat == Repeat::Retryable || dropped;
        // Over quota stays away longest: it would come back into the same overload. Others come back spread.
        let part = if o.over { 1.0 } else { 0.25 + 0.5 * draw };
        let retry_after = self.settings.max_retry_after.map(|t| (t as f64 * part) as Micros);
        out.push(if harmless && !o.begun {
            Action::Refuse { request: id, retry_after }
        } else {
            Action::Fail { request: id }
        });
        self.forget(now, id, out);
    }

    /// Drops a finished request; those who waited for its fetch go on, and so does its key's next in order.
    fn forget(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(o) = self.open.remove(&id) else { return };
        self.share_fetch(now, id, &o, out);
        let key = o.in_order();
        if key.is_some() && o.is_out() {
            self.lingering.insert(id, o);
        } else {
            self.next_turn(now, id, key, out);
        }
    }

    /// A request that is over, with nothing out, passes the turn of its key on.
    fn next_turn(&mut self, now: Micros, id: RequestId, key: Option<Key>, out: &mut Vec<Action>) {
        let Some(turns) = key.and_then(|k| self.turns.get_mut(&k)) else { return };
        let had_it = turns.queue.front() == Some(&id);
        turns.queue.retain(|w| *w != id);
        if let Some(next) = turns.queue.front().copied().filter(|_| had_it) {
            self.advance(now, next, out);
        }
    }
}
