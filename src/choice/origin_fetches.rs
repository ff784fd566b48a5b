//! Fetches from the origin for requests that missed at the caches, where the router makes them: one fetch for
//! a key serves all that wait for it, and what the origin has no room for is queued or goes without.

use super::*;

impl Balancer {
    /// Those who waited for a finished request's fetch go to where its answer is kept.
    pub(super) fn share_fetch(&mut self, now: Micros, id: RequestId, o: &Open, out: &mut Vec<Action>) {
        let Some(waiting) = self.fetches.get_mut(&o.request.key).filter(|_| !o.request.write) else { return };
        if waiting.front() != Some(&id) {
            return waiting.retain(|w| *w != id);
        }
        let waiting = self.fetches.remove(&o.request.key).unwrap_or_default();
        let stored = o.attempts.last().is_some_and(|a| a.verdict == Some(Verdict::Served));
        let keeper = o.missed_at().filter(|_| stored);
        for w in waiting.into_iter().skip(1) {
            // The cache that should hold the key by now, if an attempt is left after it for the origin.
            let cache = self.open.get(&w).zip(keeper.and_then(|k| self.servers.get(&k)));
            match cache.filter(|(o, s)| self.left(o) > 1 && self.permitted(now, o, s, None)).and(keeper) {
                Some(server) => self.send(now, w, server, out),
                None => self.advance(now, w, out),
            }
        }
    }

    /// A parked request's timer: its key has rested, or its time is up.
    pub(super) fn parked_long(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(o) = self.open.get(&id).filter(|o| o.parked) else { return };
        let left = o.request.deadline - now;
        if left <= self.settings.period {
            return self.finish(now, id, out);
        }
        let waits = self.fetches.get(&o.request.key).is_some_and(|w| w.contains(&id));
        if waits || self.queue.contains(&id) {
            return out.push(Action::Timer { after: left, token: Token(id.0) });
        }
        self.advance(now, id, out);
    }

    /// A read within quota that caches turn away is fetched all the same, once, where the origin has room to
    /// spare and nothing waits for it. Else its answer is due.
    pub(super) fn spill(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let (origin, idle) = (self.settings.origin_kind.is_some(), self.queue.is_empty());
        let spare = origin && idle && self.origin.has_spare_capacity(now, self.fetching());
        let asked = |a: &Attempt| self.servers.get(&a.server).is_some_and(|s| s.origin);
        let no = |o: &Open| o.request.write || o.over || self.left(o) == 0 || o.attempts.iter().any(asked);
        match spare && self.open.get(&id).is_some_and(|o| !no(o)) && self.spills.take(Extra::Retry) {
            true => self.fetch(now, id, out),
            false => self.finish(now, id, out),
        }
    }

    /// Takes a request to the origin, or lets it wait for the same key's fetch or for a place.
    pub(super) fn fetch(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(o) = self.open.get_mut(&id) else { return };
        o.parked = true;
        let (key, write, left) = (o.request.key, o.request.write, o.request.deadline - now);
        out.push(Action::Timer { after: (left - self.settings.period).max(0), token: Token(id.0) });
        if !write && key != Key(0) {
            // A miss joins the fetch of its key that is out: the origin takes few. Till then who has most
            // time left leads: what is fetched for a request that is over by then is kept nowhere.
            let waiting = self.fetches.entry(key).or_default();
            waiting.retain(|w| *w != id);
            let leader = waiting.front().map_or(id, |w| *w);
            let l = &self.open[&leader];
            if l.parked && l.request.deadline <= now + left {
                self.queue.retain(|q| *q != leader);
                waiting.push_front(id);
                self.queue.push(id);
            } else {
                waiting.push_back(id);
                // Who waited behind a fetch that failed leads now, and waits for a place itself.
                let queued = !l.parked || self.queue.contains(&leader);
                self.queue.extend((!queued).then_some(leader));
            }
        } else {
            self.queue.push(id);
        }
        self.drain_origin(now, out);
    }

    /// Gives up what waits for the origin without half the time left that it takes: asked in vain.
    pub(super) fn give_up(&mut self, now: Micros, out: &mut Vec<Action>) {
        let least = now + self.origin.mean_latency().map_or(0, |pace| (pace / 2.0) as Micros);
        let late =
            |id: &RequestId| self.open.get(id).is_none_or(|o| !o.parked || o.request.deadline <= least);
        let (late, queue) = std::mem::take(&mut self.queue).into_iter().partition(late);
        self.queue = queue;
        late.into_iter().for_each(|id: RequestId| self.finish(now, id, out));
    }

    /// Sends what waits for the origin while it takes more: first what has twice its usual time left, of that
    /// what is worth most. A write is worth its class, a read all that wait for its key, and a part of those
    /// that will ask for it; over quota it is worth as little as the site says.
    pub(super) fn drain_origin(&mut self, now: Micros, out: &mut Vec<Action>) {
        let takes = |m: &Self, out| m.origin.allows(now, out) && m.plan.fetches(out);
        while !self.queue.is_empty() && takes(self, self.fetching()) {
            self.queue.retain(|id| self.open.get(id).is_some_and(|o| o.parked && o.request.deadline > now));
            let twice = now + (2.0 * self.origin_time.mean()) as Micros;
            let worth = |id: &RequestId| {
                let (r, o) = (&self.open[id].request, &self.open[id]);
                let part = if o.over { self.settings.over_quota_value } else { 1.0 };
                let waiting = self.fetches.get(&r.key).map_or(0, VecDeque::len).max(1) as f64;
                let worth = if r.write { o.class.value } else { waiting } * part;
                let asked = if r.write { 0.0 } else { self.asked.count(mix(r.key.0)) };
                (r.deadline > twice, worth + ASKED_WORTH * asked)
            };
            let all = self.queue.iter().map(worth).enumerate();
            let best = all.max_by(|(_, a), (_, b)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            let Some((best, _)) = best else { return };
            let id = self.queue.remove(best);
            let o = &self.open[&id];
            let origins = self.servers.origins().filter(|s| self.permitted(now, o, s, None));
            match origins.min_by_key(|s| (s.evicted_until > now, s.gate.out())).map(|s| s.member.server) {
                Some(server) => self.send(now, id, server, out),
                None => self.finish(now, id, out),
            }
        }
    }
}
