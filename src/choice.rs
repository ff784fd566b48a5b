//! The decisions of a router: which cache server a request goes to, and when it is queued, refused
//! or retried. The interface (settings, events, actions) is in `src/interface.rs`; `docs/design.md`
//! lists which parts of the paper's mechanism are kept, what departs from it and when each departure
//! applies.

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

/// Candidate servers over which a key is spread (d). With d = 2 the split by Eq. 7 depends the most
/// on the difference in load.
pub const CANDIDATES: usize = 2;
/// Candidates ranked per request: leaves room to overflow past the first d and to skip servers
/// already tried.
const MAX_RANKED: usize = 6 * CANDIDATES;
/// Congestion index from which a server counts as busy: the mean wait equals the mean service time
/// (the paper's "approaches 1").
pub const CONGESTED: f64 = 1.0;
/// Congestion index from which a server's keys are spread, while the origin has headroom for the
/// extra misses: at this index a server with several cores has a wait near its service time. The index
/// is scaled by the squared headroom, so the effective threshold rises as the headroom falls.
const SPREAD_THRESHOLD: f64 = 8.0;
/// Weight factor of servers in other zones while the origin has headroom for a second copy of a key.
const REMOTE_WEIGHT: f64 = 0.05;
/// Lower bound of the squared origin headroom by which the index is scaled.
const MIN_HEADROOM: f64 = 1e-3;
/// Upper bound of utilisation, so that 1 - rho is never zero.
const RHO_MAX: f64 = 0.98;
/// Utilisation from which a candidate counts as saturated and gets no more overflow.
const RHO_SATURATED: f64 = 0.95;
/// Interval at which the per-server terms are recalculated, in us: several times a second, and far
/// above the cost of a request.
const REFRESH_INTERVAL: Micros = 200_000;
/// Number of samples that weigh as much as the pooled moments: about as many as a variance estimate
/// needs.
const PRIOR_SAMPLES: f64 = 8.0;
/// Prior of every squared coefficient of variation: Poisson arrivals, exponential service.
const PRIOR_SCV: f64 = 1.0;
/// Duration of a server's first eviction and the longest one, in us.
const MIN_EVICTION: Micros = 500_000;
const MAX_EVICTION: Micros = 8_000_000;
/// Consecutive failures after which a server is evicted; one that shows a dead process counts as
/// this many.
const FAILURES_TO_EVICT: u32 = 3;
/// Retries and trial requests to evicted servers, as fractions of all requests, and the burst
/// allowed for both.
const RETRY_RATIO: f64 = 0.2;
const TRIAL_RATIO: f64 = 0.1;
const RETRY_BURST: f64 = 10.0;
/// Reads fetched from the origin because caches are full, as a fraction of the misses: at most twice
/// the usual fetches.
const OVERLOAD_FETCH_RATIO: f64 = 1.0;
/// Fraction of attempts with a refused connection at which every connection is closed after use, and
/// the number of attempts averaged over.
const REFUSED_CONNECTIONS_HIGH: f64 = 0.1;
const CONNECT_MEMORY: f64 = 20.0;
/// Upper bound of the cost of probes, as a fraction of the service time, and the age in us at which a
/// load report is probed for again.
const PROBE_COST_RATIO: f64 = 0.004;
const PROBE_INTERVAL: Micros = 5 * REFRESH_INTERVAL;
/// Time without an answer, with two or more attempts in flight, after which a server counts as hung,
/// in us; also the lower bound for a zone. Longer than the pauses of a busy server.
const HANG_SILENCE: Micros = 300_000;
/// Averaging time of key popularity, in us, and the value of a recent request for a key relative to
/// one that is waiting for it.
const POPULARITY_MEMORY: f64 = 10e6;
const POPULARITY_VALUE: f64 = 0.3;
/// Requests for a key within `POPULARITY_MEMORY` that may be chance and don't make it popular.
const POPULARITY_NOISE: f64 = 2.0;
/// First back-off after a failed discovery call, in us.
const DISCOVERY_BACKOFF: Micros = 500_000;
/// Averaging time of tenants' usage, in us, and the burst that a tenant may send to a quiet router
/// without exceeding its quota.
const QUOTA_MEMORY: f64 = 10e6;
const QUOTA_BURST: f64 = 5.0;
/// Fraction of the demand for caches that is not answered in time at which load shedding starts.
const SHED_THRESHOLD: f64 = 0.5;
/// Requests sent per request answered in time while shedding: enough above 1 to find capacity that
/// has returned.
const SEND_MARGIN: f64 = 1.2;
/// Upper bound of the fraction that is shed: a fault that shedding does not cure must not starve
/// what still works.
const MAX_SHED: f64 = 0.95;
/// Failure rate of caches from which the cause is assumed to be a shared dependency, such as the
/// origin, and not single servers; and the number of outcomes averaged over.
const FLEET_FAILURE_RATE: f64 = 0.3;
const FAILURE_MEMORY: f64 = 50.0;
/// Interval of trial requests to a server for keys that planners exclude from it, in us: an answer
/// from a server reported as unresponsive clears the report for all routers.
const EXCLUDED_TRIAL_INTERVAL: Micros = 2_000_000;
const REFRESH_TIMER: Token = Token(1 << 62);
const SUBSCRIBE_TIMER: Token = Token(1 << 61);

#[derive(Default)]
pub struct Balancer {
    settings: Settings,
    rng: u64,
    pub(crate) servers: Servers,
    pub(crate) open: BTreeMap<RequestId, OpenRequest>,
    /// Quotas: one token bucket per tenant, and the fraction of each quota that this router may use.
    pub(crate) tenants: Vec<Bucket>,
    quota_fraction: f64,
    /// Recent work hints of requests.
    hint_moments: Moments,
    slow_start: SlowStart,
    /// Observed capacity of the warm caches of all zones.
    capacity: ObservedCapacity,
    /// Recent demand within quota for caches, and the part that caches answered within the target
    /// latency.
    cache_demand: f64,
    answered_in_time: f64,
    /// Recent fraction of cache outcomes that were errors or time-outs.
    failure_rate: f64,
    retries: Budget,
    overload_fetches: Budget,
    trial_budget: f64,
    probe_budget: f64,
    /// The latency that few cache answers exceed, and the shortest target latency of any class.
    long_latency: Micros,
    min_target_latency: Micros,
    /// Recent fraction of attempts whose connection was refused by a live server.
    refused_connection_rate: f64,
    pub(crate) zones: BTreeMap<ZoneId, Zone>,
    /// Cache-aside, where this router fetches from the origin on a miss: the requests that share each
    /// key's fetch, with the request that makes it (the leader) in front.
    pub(crate) fetches: BTreeMap<Key, VecDeque<RequestId>>,
    /// Requests queued for the origin.
    pub(crate) origin_queue: Vec<RequestId>,
    /// The queue of each key with ordered requests.
    pub(crate) key_queues: BTreeMap<Key, KeyQueue>,
    /// Finished requests of ordered keys with an attempt still in flight.
    pub(crate) finished_in_flight: BTreeMap<RequestId, OpenRequest>,
    /// The limit on attempts in flight at the origin.
    pub(crate) origin: OriginLimit,
    /// Recent response times of origins, and how often each key is requested.
    origin_time: Moments,
    popularity: PopularityCounter,
    discovery_failures: u32,
    /// The latest information from planners about this router's shares.
    plan: Plan,
}

impl Balancer {
    pub fn new(settings: Settings, seed: u64) -> Self {
        let tenants = vec![Bucket { tokens: QUOTA_BURST, ..Bucket::default() }; settings.quotas.len()];
        let quota_fraction = 1.0 / f64::from(settings.routers.max(1));
        let min_target_latency = settings.classes.iter().map(|c| c.target_latency).min().unwrap_or(0);
        Balancer {
            rng: seed,
            tenants,
            quota_fraction,
            min_target_latency,
            retries: Budget::new(RETRY_RATIO, RETRY_BURST),
            overload_fetches: Budget::new(OVERLOAD_FETCH_RATIO, cold::burst(settings.routers)),
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
            Event::Members { form, entries } => self.on_members(now, form, entries, out),
            Event::Request(r) => self.on_request(now, r, out),
            Event::First { request, .. } => self.open.get_mut(&request).map_or((), |o| o.answering = true),
            Event::Outcome(o) => self.on_outcome(now, o, out),
            Event::ClientLeft(id) => self.close_request(now, id, out),
            Event::Sooner(id, at) => {
                self.open.entry(id).and_modify(|o| o.request.deadline = o.request.deadline.min(at));
                self.on_wait_timer(now, id, out);
            }
            Event::Timer(REFRESH_TIMER) => {
                self.refresh(now);
                self.drop_late_waiters(now, out);
                self.drain_origin(now, out);
                out.push(Action::Timer { after: REFRESH_INTERVAL, token: REFRESH_TIMER });
            }
            Event::Plan(plan) => self.plan = self.servers.apply_plan(plan),
            Event::Timer(SUBSCRIBE_TIMER) => out.push(Action::Subscribe),
            Event::Timer(Token(id)) => self.on_wait_timer(now, RequestId(id), out),
            Event::Probed { server, verdict, report, .. } => {
                self.record_report(now, server, &report);
                self.mark_busy(now, server, verdict);
                self.close_idle(server, out);
            }
        }
    }

    // ---- membership and discovery

    fn on_members(&mut self, now: Micros, form: ListForm, entries: Vec<Member>, out: &mut Vec<Action>) {
        if form == ListForm::Failed {
            // Discovery is one small service for all routers, so the retries back off and are spread
            // by the seed.
            let span =
                backoff(DISCOVERY_BACKOFF, self.discovery_failures, self.settings.discovery_retry_limit);
            let after = (span as f64 * (0.5 + self.random())) as Micros;
            self.discovery_failures += 1;
            return out.extend(
                self.settings.must_subscribe.then_some(Action::Timer { after, token: SUBSCRIBE_TIMER }),
            );
        }
        self.discovery_failures = 0;
        if form != ListForm::Delta {
            let listed: BTreeSet<ServerId> = entries.iter().map(|m| m.server).collect();
            self.servers.retain(|id, _| listed.contains(id));
        }
        for member in entries {
            let (id, allowance) = (member.server, Allowance::new(self.random()));
            // A restart under the same id is a new, cold process: nothing known about the old one
            // applies.
            if self.servers.get(&id).is_none_or(|s| s.member.started != member.started) {
                self.servers.insert(id, Server { allowance, ..Server::default() });
            }
            self.servers.get_mut(&id).into_iter().for_each(|s| s.member = member.clone());
            self.close_idle(id, out);
        }
        self.servers.retain(|_, s| s.member.phase != Phase::Gone);
        self.refresh_terms(now);
        if form == ListForm::Cached {
            // Routers that start together must not call discovery or recalculate at the same
            // moments.
            out.push(Action::Timer {
                after: (self.random() * REFRESH_INTERVAL as f64) as Micros,
                token: REFRESH_TIMER,
            });
            if self.settings.must_subscribe {
                let after = (self.random() * self.settings.discovery_retry_limit as f64 / 4.0) as Micros;
                out.push(Action::Timer { after, token: SUBSCRIBE_TIMER });
            }
        }
    }

    /// Closes idle connections to draining servers, when the notice arrives and after each later
    /// outcome there. Also closes a fraction of them where connections are refused: idle
    /// connections use up the server's connection limit, so that other routers cannot connect and
    /// cannot reach the keys that it caches. A reconnect costs a handshake, which is cheaper than an
    /// origin fetch.
    fn close_idle(&mut self, server: ServerId, out: &mut Vec<Action>) {
        let connection_limited = self.refused_connection_rate > 0.0
            && self.random() < self.refused_connection_rate / REFUSED_CONNECTIONS_HIGH;
        let ready = self.servers.get(&server).filter(|s| s.member.phase == Phase::Ready);
        let drained = self.settings.drain_close.is_some() && ready.is_none();
        let connection_limited = connection_limited && ready.is_some_and(|s| s.limiter.out() == 0);
        out.extend((drained || connection_limited).then_some(Action::Release { server }));
    }

    // ---- requests

    fn on_request(&mut self, now: Micros, request: Request, out: &mut Vec<Action>) {
        let class = self.settings.classes[usize::from(request.class.0)].clone();
        self.retries.request(now);
        if request.repeat {
            // A client's own retry adds to the load as a router's retry does, so it uses the same
            // budget.
            self.retries.take(Extra::ClientRetry);
        }
        self.trial_budget = (self.trial_budget + TRIAL_RATIO).min(RETRY_BURST);
        self.probe_budget =
            (self.probe_budget + PROBE_COST_RATIO / self.settings.probe_price).min(RETRY_BURST);
        if !request.write {
            self.popularity.record(mix(request.key.0));
        }
        if !(request.write && self.settings.origin_kind.is_some()) {
            self.slow_start.request();
        }
        request.hint.into_iter().for_each(|h| self.hint_moments.add(h));
        let (id, at) = (request.id, request.tenant.0 as usize);
        let part = self.plan.quota_fraction(at, self.quota_fraction);
        let bucket = self.tenants.get_mut(at).zip(self.settings.quotas.get(at));
        let over_quota = bucket.is_some_and(|(b, q)| q.is_finite() && !b.take(now, q * part, QUOTA_BURST));
        let o = OpenRequest {
            request,
            class,
            taken: now,
            over_quota,
            attempts: Vec::new(),
            queued: false,
            answering: false,
        };
        if let Some(key) = o.ordered_key() {
            self.key_queues.entry(key).or_default().queue.push_back(id);
        }
        self.open.insert(id, o);
        self.advance(now, id, out);
    }

    fn update_quota_fraction(&mut self, keep: f64) {
        let even = 1.0 / f64::from(self.settings.routers.max(1));
        let memory_seconds = keep * REFRESH_INTERVAL as f64 / 1e6 / (1.0 - keep);
        self.quota_fraction =
            median_quota_use(&mut self.tenants, &self.settings.quotas, memory_seconds, keep).max(even);
    }

    /// Whether a server may receive a request now: it is listed as ready, the rules on repeats allow
    /// it and slow start admits it. Checked right before each send, because a request may have
    /// waited. `home` is the server to which its key belongs.
    fn permitted(&self, now: Micros, o: &OpenRequest, s: &Server, home: Option<ServerId>) -> bool {
        let allowed = o.may_repeat_on(now + self.settings.period, s) && o.placed_on(s);
        let open = allowed && s.weight > 0.0 && now < o.request.deadline && self.attempts_left(o) > 0;
        open && (!s.in_slow_start || self.slow_start_admits(now, o, s, home))
    }

    /// Whether slow start admits a request to a server.
    fn slow_start_admits(&self, now: Micros, o: &OpenRequest, s: &Server, home: Option<ServerId>) -> bool {
        let first = o.attempts.is_empty() && home == Some(s.member.server);
        let popularity = (self.popularity.count(mix(o.request.key.0)) - POPULARITY_NOISE).max(0.0) * 1e6
            / POPULARITY_MEMORY;
        let weight = s.weight * self.zone_factor(s, self.remote_weight());
        let demand = match first {
            true => self.slow_start.demand(weight, self.slow_start_rate(s), popularity),
            false => Demand::Excess,
        };
        s.allowance.admits(now, demand, self.slow_start.window())
    }

    /// The server to which a key belongs by the list alone, whatever its state; only computed while
    /// a server is in slow start.
    fn home_server(&self, o: &OpenRequest, key: u64) -> Option<ServerId> {
        if !self.slow_start.is_active() {
            return None;
        }
        let far = self.remote_weight();
        let weight =
            |s: &Server| (s.weight > 0.0 && o.placed_on(s)).then(|| s.weight * self.zone_factor(s, far));
        let best = self.servers.best(key, 1, self.weight_scales(far), weight);
        best.first().map(|s| s.member.server)
    }

    /// Weight factor of servers in other zones: rises as the origin has less headroom for the fetches
    /// of a second copy.
    fn remote_weight(&self) -> f64 {
        REMOTE_WEIGHT.powf(self.origin.headroom())
    }

    fn zone_factor(&self, s: &Server, far: f64) -> f64 {
        if s.member.zone == self.settings.zone {
            1.0
        } else {
            far
        }
    }

    /// Upper bounds of a server's weight relative to its listed weight, for the local and for remote
    /// zones.
    fn weight_scales(&self, far: f64) -> [f64; 2] {
        let warmest = self.settings.slow_start_from.max(1.0);
        [warmest, warmest * far]
    }

    fn attempts_left(&self, o: &OpenRequest) -> usize {
        (self.settings.max_attempts as usize).saturating_sub(o.attempts.len())
    }

    /// The next step of a request without an attempt in flight: another attempt, a wait for a fetch, or
    /// the final answer.
    fn advance(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(o) = self.open.get(&id) else { return };
        // Ordered keys: the first attempt waits until earlier requests are finished and the key's
        // pause is over.
        let key_queue =
            o.ordered_key().filter(|_| o.attempts.is_empty()).and_then(|k| self.key_queues.get(&k));
        let start =
            key_queue.map_or(0, |q| if q.queue.front() == Some(&id) { q.paused_until } else { Micros::MAX });
        if start > now {
            let after = (start.min(o.request.deadline - self.settings.period) - now).max(0);
            self.open.entry(id).and_modify(|o| o.queued = true);
            return out.push(Action::Timer { after, token: Token(id.0) });
        }
        let fetch = self.settings.origin_kind.is_some() && (o.request.write || o.missed_server().is_some());
        if fetch && self.attempts_left(o) > 0 {
            return self.fetch(now, id, out);
        }
        match self.choose_server(now, id) {
            Some(server) => self.send(now, id, server, out),
            None => {
                self.count_cache_demand(id, 0);
                self.overload_fetch_or_finish(now, id, out);
            }
        }
    }

    /// Counts a request within quota as demand for a cache if it has made exactly `attempts_made`
    /// attempts: 1 when an attempt at a cache ends, so that the first one has had time to be answered;
    /// 0 when no server could be chosen. The end of an attempt at an origin passes 0 and is not counted.
    fn count_cache_demand(&mut self, id: RequestId, attempts_made: usize) {
        let first = self.open.get(&id).is_some_and(|o| !o.over_quota && o.attempts.len() == attempts_made);
        self.cache_demand += f64::from(u8::from(first));
    }

    /// The ready candidates of a key by weighted rendezvous hashing, best first. All routers of a
    /// zone with the same list get the same order, and a list change moves only the keys that it
    /// must. While the origin has headroom for a copy in each zone, servers in other zones weigh
    /// little; as the headroom falls, the weights converge and all zones use the same server for a key.
    fn ranked(&self, now: Micros, key: u64, want: usize, usable: impl Fn(&Server) -> bool) -> Vec<&Server> {
        // Only a fraction of the requests try evicted servers: where most servers refuse connections
        // or are dead, a router uses those that it can reach. If none is reachable the fault lies
        // elsewhere and all are candidates.
        let reachable = |s: &Server| {
            let avoided = s.avoids(key);
            let due = !avoided || s.last_send.is_none_or(|t| t + EXCLUDED_TRIAL_INTERVAL <= now);
            let on_trial = due && s.evicted_until <= now && self.trial_budget >= 1.0;
            let in_reach = self
                .zones
                .get(&s.member.zone)
                .is_none_or(|z| z.reachability.allows(now, self.silence_limit()));
            in_reach && !self.is_hung(now, s) && (on_trial || (s.evictions == 0 && !avoided))
        };
        let far = self.remote_weight();
        let weight = |s: &Server| (s.weight > 0.0 && usable(s)).then(|| s.weight * self.zone_factor(s, far));
        let scales = self.weight_scales(far);
        let in_reach = self.servers.best(key, want, scales, |s| weight(s).filter(|_| reachable(s)));
        match in_reach.is_empty() {
            true => self.servers.best(key, want, scales, weight),
            false => in_reach,
        }
    }

    /// Time without an answer after which a zone counts as unreachable; `is_hung` has the shorter limit
    /// for a server.
    fn silence_limit(&self) -> Micros {
        HANG_SILENCE.max(self.long_latency)
    }

    /// Whether a server accepts requests and does not answer. Detected long before the first request
    /// times out.
    pub(crate) fn is_hung(&self, now: Micros, s: &Server) -> bool {
        s.limiter.out() > 1 && s.limiter.silence(now) > HANG_SILENCE.max(self.long_latency / 2)
    }

    fn choose_server(&mut self, now: Micros, id: RequestId) -> Option<ServerId> {
        let (draw, refuse) = (self.random(), self.random());
        let o = self.open.get(&id)?;
        let key = if o.request.key == Key(0) { id.0 } else { o.request.key.0 };
        let home = self.home_server(o, mix(key));
        let usable = |s: &Server| {
            let takes = s.limiter.allows(now, s.limiter.out());
            takes
                && self.permitted(now, o, s, home)
                && !o.attempts.iter().any(|a| a.server == s.member.server)
        };
        let first = *self.ranked(now, mix(key), 1, usable).first()?;
        // Under overload a router sends slightly more than its caches recently answered in time and
        // sheds the rest early: requests queued beyond the target latency serve nobody, and a cache
        // that waits for an overloaded origin looks idle by its CPU. Requests over quota are shed
        // first.
        let (index, shed_fraction) = (first.terms.congestion_index(), self.excess_demand());
        let shed = o.attempts.is_empty()
            && shed_fraction >= SHED_THRESHOLD
            && (o.over_quota || refuse < shed_fraction);
        if shed && (index >= CONGESTED || self.failure_rate >= FLEET_FAILURE_RATE) {
            return None;
        }
        // A copy on another server costs one more fetch: if the origin has no headroom for it, the
        // key stays with its first candidate.
        let headroom = self.origin.headroom() * (1.0 - self.origin.failure_ratio());
        let scaled_index = index * headroom.powi(2).max(MIN_HEADROOM);
        // Requests with little expected work stay on the first candidate. The limit is the mean hint at
        // the threshold and falls as congestion grows past it.
        let small =
            o.request.hint.is_some_and(|h| h < self.hint_moments.mean() * SPREAD_THRESHOLD / scaled_index);
        if scaled_index < SPREAD_THRESHOLD || small {
            return Some(first.member.server);
        }
        // Overflow: a hot key can saturate its d candidates; the next d in rank order then take
        // over.
        let ranked = self.ranked(now, mix(key), MAX_RANKED, usable);
        let all_saturated = |w: &&[&Server]| w.iter().all(|s| s.terms.rho >= RHO_SATURATED);
        let group = ranked.chunks(CANDIDATES).find(|w| !all_saturated(w));
        let group = group.unwrap_or(&ranked[..ranked.len().min(CANDIDATES)]);
        let terms: Vec<Terms> = group.iter().map(|s| s.terms).collect();
        let mut remaining = draw;
        let drawn = group.iter().zip(shares(&terms)).find(|(_, share)| {
            remaining -= share;
            remaining < 0.0
        });
        drawn.map(|(s, _)| s).or(group.last()).map(|s| s.member.server)
    }

    fn send(&mut self, now: Micros, id: RequestId, server: ServerId, out: &mut Vec<Action>) {
        let (excess, silent, draw) =
            (self.excess_demand(), self.silence_limit(), unit(mix(self.rng ^ now as u64)));
        let (Some(o), Some(s)) = (self.open.get_mut(&id), self.servers.get_mut(&server)) else { return };
        if let Some(last) = s.last_send.replace(now) {
            s.inter_arrivals.add((now - last) as f64);
        }
        s.limiter.sent(now, s.limiter.out() + 1);
        if !s.origin {
            self.zones.entry(s.member.zone).or_default().reachability.sent(now, server.0, silent, draw);
        }
        self.trial_budget -=
            f64::from(u8::from(s.evictions > 0 || s.avoided_fraction > 0.0)).min(self.trial_budget);
        // A request with far more than the mean work uses correspondingly more of a server's
        // allowance.
        if s.in_slow_start {
            s.allowance
                .spend(o.request.hint.map_or(1.0, |h| (h / self.hint_moments.mean().max(1.0)).max(1.0)));
        }
        o.queued = false;
        let begin_by = o.repeat_deadline();
        o.attempts.push(Attempt::sent(now, &s.member));
        // While much is shed, an answer after the target latency takes the place of another request:
        // cut the attempt off at the target unless a late answer is worth more.
        let prefer_in_time = self.answered_in_time >= o.class.late_value * self.cache_demand
            && o.class.repeat == Repeat::Retryable;
        let cap = prefer_in_time && excess >= SHED_THRESHOLD && !s.origin;
        let target = cap.then_some((o.taken + o.class.target_latency - now).max(o.class.target_latency / 2));
        let timeout = target.or(self.attempt_timeout(now, id, server));
        out.push(Action::Send { request: id, server, timeout, begin_by });
        self.probe(now, server, out);
    }

    /// Early time-out after which an attempt is given up for a retry, if any. Where answers usually
    /// come well within the target latency, an attempt that takes half of it is on a dead connection or
    /// at a hung server. A second origin fetch needs an origin with headroom, and a request that must
    /// not run twice needs a server to which it may still be sent by then.
    fn attempt_timeout(&self, now: Micros, id: RequestId, server: ServerId) -> Option<Micros> {
        let (o, s) = (self.open.get(&id)?, self.servers.get(&server)?);
        let half = o.class.target_latency / 2;
        let is_other = |x: &&Server| x.origin == s.origin && (s.origin || x.member.server != server);
        let has_other_server =
            || self.servers.values().filter(is_other).any(|x| self.permitted(now + half, o, x, None));
        let may_resend = o.class.repeat == Repeat::Retryable || has_other_server();
        let retry_allowed = self.settings.may_copy && o.ordered_key().is_none() && may_resend;
        let origin = long_time(self.origin_time.shrunk(PRIOR_SAMPLES, half as f64 / 4.0, PRIOR_SCV));
        let usual = if s.origin { origin } else { self.long_latency };
        let usually_fast =
            usual <= half && !self.overloaded() && (!s.origin || self.origin.headroom() >= 1.0);
        (retry_allowed && usually_fast && self.attempts_left(o) > 0 && self.retries.left() >= 1.0)
            .then_some(half)
    }

    /// Fraction of the demand for caches beyond what they answer in time, which is shed under
    /// overload.
    fn excess_demand(&self) -> f64 {
        ((self.cache_demand - SEND_MARGIN * self.answered_in_time - 1.0) / self.cache_demand).min(MAX_SHED)
    }

    /// Whether caches fail across the fleet or answer less than the demand: further attempts would
    /// add to it.
    fn overloaded(&self) -> bool {
        self.failure_rate >= FLEET_FAILURE_RATE || self.excess_demand() >= SHED_THRESHOLD
    }

    fn on_outcome(&mut self, now: Micros, end: Outcome, out: &mut Vec<Action>) {
        let id = end.request;
        self.record_report(now, end.server, &end.report);
        let open = self.open.get_mut(&id).or_else(|| self.finished_in_flight.get_mut(&id));
        let key = open.as_ref().and_then(|o| o.ordered_key());
        let attempt = open.and_then(|o| o.attempts.get_mut(usize::from(end.attempt)));
        let sent = attempt.as_ref().map_or(now - end.elapsed, |a| a.sent);
        let pending =
            attempt.filter(|a| a.verdict.is_none()).map(|a| a.verdict = Some(end.verdict)).is_some();
        if let Some(key_queue) =
            key.and_then(|k| self.key_queues.get_mut(&k)).filter(|_| pending && end.may_still_run())
        {
            key_queue.paused_until = now + self.settings.order_settle;
        }
        self.record_outcome(now, &end, sent);
        self.close_idle(end.server, out);
        if self.finished_in_flight.get(&id).is_some_and(|o| !o.has_attempt_in_flight()) {
            self.finished_in_flight.remove(&id);
            self.advance_key_queue(now, id, key, out);
        }
        let pending = pending && self.open.contains_key(&id);
        if pending && end.finished {
            self.close_request(now, id, out);
        } else if pending && end.verdict == Verdict::Miss && self.settings.origin_kind.is_some() {
            self.overload_fetches.request(now);
            self.advance(now, id, out);
        } else if pending {
            match self.may_try_again(now, id, &end) {
                true => self.advance(now, id, out),
                false => self.overload_fetch_or_finish(now, id, out),
            }
        }
        self.drain_origin(now, out);
    }

    /// Whether the budget allows another attempt. A broken connection adds no load and costs no
    /// budget. There is no further attempt where a time-out used all the time of the request, or
    /// where a second copy is not allowed.
    fn may_try_again(&mut self, now: Micros, id: RequestId, end: &Outcome) -> bool {
        let Some(o) = self.open.get(&id) else { return false };
        let (left, overloaded) = (o.request.deadline - now, self.overloaded());
        match end.verdict {
            Verdict::Timeout | Verdict::Moot => {
                let more = left > 2 * self.settings.period && self.settings.may_copy && !overloaded;
                more && self.retries.take(Extra::Retry)
            }
            // Requests over quota are served where there is room and not retried where there is
            // none.
            Verdict::Full if o.over_quota => false,
            _ if end.connection_failed() && !overloaded => true,
            _ => self.retries.take(Extra::Retry),
        }
    }

    /// Marks a server as busy after a refusal or a time-out, whatever its last report says.
    fn mark_busy(&mut self, now: Micros, server: ServerId, verdict: Verdict) {
        let busy = matches!(verdict, Verdict::Full | Verdict::Timeout);
        if let Some(s) = self.servers.get_mut(&server).filter(|_| busy) {
            (s.rho, s.reported) = (RHO_MAX, Some(now));
        }
    }

    /// Updates the health and latency estimates of a server from an outcome.
    fn record_outcome(&mut self, now: Micros, end: &Outcome, sent: Micros) {
        let jitter = 0.5 + self.random();
        let (own, on_time) =
            self.open.get(&end.request).map_or((0, 0), |o| (o.class.target_latency, o.on_time_limit()));
        let assess = |s: &Server| (s.answered_later_send(sent, end.verdict), usize::from(!s.origin));
        let (connection_fault, expected_attempts) = self.servers.get(&end.server).map_or((false, 0), assess);
        if !connection_fault && !end.no_place {
            self.mark_busy(now, end.server, end.verdict);
        }
        self.count_cache_demand(end.request, expected_attempts);
        // An answer later than twice the shortest target latency counts as late, unless the target of
        // the request's own class is longer.
        let (late, kept_waiting, silent) =
            ((self.min_target_latency * 2).max(own), !self.origin_queue.is_empty(), self.silence_limit());
        let Some(s) = self.servers.get_mut(&end.server) else { return };
        let ending = s.ending(end, sent, late);
        // An unreachable zone says nothing about the rest of the fleet, nor about its own servers.
        let zone = self.zones.entry(s.member.zone).or_default();
        zone.reachability.ended(!s.origin && end.process_responded());
        let lost = !s.origin && zone.reachability.is_lost(now, silent);
        // A server that refused connections and still responds has run out of connections; one that
        // stays silent is gone.
        s.refused_connections += u32::from(end.verdict == Verdict::ConnectFailed && !lost);
        let refused_while_alive =
            if end.process_responded() { std::mem::take(&mut s.refused_connections) } else { 0 };
        self.refused_connection_rate +=
            (f64::from(refused_while_alive.min(1)) - self.refused_connection_rate) / CONNECT_MEMORY;
        let sample = Sample { now, sent, ending, out_at_send: s.limiter.out(), kept_waiting };
        s.limiter.ended(&sample);
        let (good, connection_fault) =
            (matches!(end.verdict, Verdict::Served | Verdict::Miss), connection_fault || lost);
        let bad = matches!(end.verdict, Verdict::Error | Verdict::Timeout) && !connection_fault;
        if matches!(end.verdict, Verdict::Served | Verdict::Timeout) && !connection_fault {
            s.latency.add(end.elapsed.max(0) as f64);
        }
        // A process that answered a moment ago is alive: only that connection was lost.
        let alive = end.verdict == Verdict::Reset && s.last_answered_send + REFRESH_INTERVAL > now;
        let broken = matches!(end.verdict, Verdict::ConnectFailed | Verdict::Reset) && !alive && !lost;
        // Errors and time-outs across the fleet point to a shared dependency such as the origin, and
        // moving keys would only add misses.
        s.failures += u32::from(broken || (bad && self.failure_rate < FLEET_FAILURE_RATE));
        if good {
            (s.failures, s.evictions, s.last_answered_send) = (0, 0, s.last_answered_send.max(sent));
        }
        if s.failures >= FAILURES_TO_EVICT {
            // Failing or gone, still with its last report and its keys: evicted for a while, tried
            // again, then evicted for longer.
            s.failures = FAILURES_TO_EVICT - 1;
            s.evicted_until =
                now + (backoff(MIN_EVICTION, s.evictions, MAX_EVICTION) as f64 * jitter) as Micros;
            s.evictions += 1;
        }
        if s.origin {
            (end.verdict != Verdict::Moot).then(|| self.origin_time.add(end.elapsed as f64));
            self.origin.ended(&sample);
            self.overload_fetches.ended(&sample);
        } else if good || bad {
            self.failure_rate += (f64::from(u8::from(bad)) - self.failure_rate) / FAILURE_MEMORY;
            self.retries.ended(&sample);
            self.answered_in_time += f64::from(u8::from(good && end.elapsed <= on_time));
            // A miss takes an unknown fraction of the work of a hit. A server answers many more
            // misses than requests of mean work, so misses are no evidence of capacity.
            zone.served += f64::from(u8::from(end.verdict == Verdict::Served && !s.in_slow_start));
        }
    }

    /// Sends the final answer of a request that has none: a refusal if a repeat is safe, otherwise a
    /// failure.
    fn finish(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let draw = self.random();
        let Some(o) = self.open.get(&id) else { return };
        let dropped = o.class.repeat == Repeat::Dedup && o.class.group == Group::All;
        let harmless = o.first_possibly_run().is_none() || o.class.repeat == Repeat::Retryable || dropped;
        // Requests over quota get the longest retry delay, as they would return into the same
        // overload. The others return spread over time.
        let part = if o.over_quota { 1.0 } else { 0.25 + 0.5 * draw };
        let retry_after = self.settings.max_retry_after.map(|t| (t as f64 * part) as Micros);
        out.push(if harmless && !o.answering {
            Action::Refuse { request: id, retry_after }
        } else {
            Action::Fail { request: id }
        });
        self.close_request(now, id, out);
    }

    /// Removes a finished request; requests waiting for its fetch continue, and so does the next
    /// request of its ordered key.
    fn close_request(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(o) = self.open.remove(&id) else { return };
        self.share_fetch(now, id, &o, out);
        let key = o.ordered_key();
        if key.is_some() && o.has_attempt_in_flight() {
            self.finished_in_flight.insert(id, o);
        } else {
            self.advance_key_queue(now, id, key, out);
        }
    }

    /// Starts the next request of an ordered key after a finished request that has no attempt in
    /// flight.
    fn advance_key_queue(&mut self, now: Micros, id: RequestId, key: Option<Key>, out: &mut Vec<Action>) {
        let Some(key_queue) = key.and_then(|k| self.key_queues.get_mut(&k)) else { return };
        let was_first = key_queue.queue.front() == Some(&id);
        key_queue.queue.retain(|w| *w != id);
        if let Some(next) = key_queue.queue.front().copied().filter(|_| was_first) {
            self.advance(now, next, out);
        }
    }
}
