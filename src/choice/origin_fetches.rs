//! Origin fetches for requests that missed at the caches, where the router makes them (cache-aside).
//! Requests for a key are coalesced: one fetch, made by the leader, serves all requests that wait for
//! it. Fetches beyond the origin's limit are queued or refused.

use super::*;

impl Balancer {
    /// Sends the requests that waited for a finished request's fetch to the cache that now holds its
    /// answer.
    pub(super) fn share_fetch(&mut self, now: Micros, id: RequestId, o: &OpenRequest, out: &mut Vec<Action>) {
        let Some(waiting) = self.fetches.get_mut(&o.request.key).filter(|_| !o.request.write) else { return };
        if waiting.front() != Some(&id) {
            return waiting.retain(|w| *w != id);
        }
        let waiting = self.fetches.remove(&o.request.key).unwrap_or_default();
        let stored = o.attempts.last().is_some_and(|a| a.verdict == Some(Verdict::Served));
        let holder = o.missed_server().filter(|_| stored);
        for w in waiting.into_iter().skip(1) {
            // The cache that should hold the key by now, if another attempt is left for the origin
            // after it.
            let cache = self.open.get(&w).zip(holder.and_then(|k| self.servers.get(&k)));
            match cache
                .filter(|(o, s)| self.attempts_left(o) > 1 && self.permitted(now, o, s, None))
                .and(holder)
            {
                Some(server) => self.send(now, w, server, out),
                None => self.advance(now, w, out),
            }
        }
    }

    /// Handles the timer of a waiting request: its key's pause is over, or its deadline has come.
    pub(super) fn on_wait_timer(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(o) = self.open.get(&id).filter(|o| o.queued) else { return };
        let left = o.request.deadline - now;
        if left <= self.settings.period {
            return self.finish(now, id, out);
        }
        let waits = self.fetches.get(&o.request.key).is_some_and(|w| w.contains(&id));
        if waits || self.origin_queue.contains(&id) {
            return out.push(Action::Timer { after: left, token: Token(id.0) });
        }
        self.advance(now, id, out);
    }

    /// Fetches a read within quota that caches refused, once, if the origin has spare room and
    /// nothing is queued for it. Otherwise finishes the request with a refusal or a failure.
    pub(super) fn overload_fetch_or_finish(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let (origin, idle) = (self.settings.origin_kind.is_some(), self.origin_queue.is_empty());
        let spare = origin && idle && self.origin.has_spare_capacity(now, self.origin_attempts());
        let tried_origin = |a: &Attempt| self.servers.get(&a.server).is_some_and(|s| s.origin);
        let not_eligible = |o: &OpenRequest| {
            o.request.write
                || o.over_quota
                || self.attempts_left(o) == 0
                || o.attempts.iter().any(tried_origin)
        };
        match spare
            && self.open.get(&id).is_some_and(|o| !not_eligible(o))
            && self.overload_fetches.take(Extra::Retry)
        {
            true => self.fetch(now, id, out),
            false => self.finish(now, id, out),
        }
    }

    /// Sends a request to the origin, or queues it for the same key's fetch or for room at the
    /// origin.
    pub(super) fn fetch(&mut self, now: Micros, id: RequestId, out: &mut Vec<Action>) {
        let Some(o) = self.open.get_mut(&id) else { return };
        o.queued = true;
        let (key, write, left) = (o.request.key, o.request.write, o.request.deadline - now);
        out.push(Action::Timer { after: (left - self.settings.period).max(0), token: Token(id.0) });
        if !write && key != Key(0) {
            // A miss follows a fetch of its key that is already in flight, as the origin can take
            // few. Until the fetch is sent, the waiter with the latest deadline leads, because a
            // fetch whose request has ended is not cached.
            let waiting = self.fetches.entry(key).or_default();
            waiting.retain(|w| *w != id);
            let leader = waiting.front().map_or(id, |w| *w);
            let l = &self.open[&leader];
            if l.queued && l.request.deadline <= now + left {
                self.origin_queue.retain(|q| *q != leader);
                waiting.push_front(id);
                self.origin_queue.push(id);
            } else {
                waiting.push_back(id);
                // After a failed fetch the next waiter is the leader and has to be queued itself.
                let queued = !l.queued || self.origin_queue.contains(&leader);
                self.origin_queue.extend((!queued).then_some(leader));
            }
        } else {
            self.origin_queue.push(id);
        }
        self.drain_origin(now, out);
    }

    /// Gives up queued requests with less than half of the origin's usual response time left: their
    /// fetch would be in vain.
    pub(super) fn drop_late_waiters(&mut self, now: Micros, out: &mut Vec<Action>) {
        let cutoff =
            now + self.origin.mean_latency().map_or(0, |mean_latency| (mean_latency / 2.0) as Micros);
        let late =
            |id: &RequestId| self.open.get(id).is_none_or(|o| !o.queued || o.request.deadline <= cutoff);
        let (late, queue) = std::mem::take(&mut self.origin_queue).into_iter().partition(late);
        self.origin_queue = queue;
        late.into_iter().for_each(|id: RequestId| self.finish(now, id, out));
    }

    /// Sends queued requests to the origin while it has room: first those with twice the usual
    /// response time left, and among them the most valuable. The value of a write is that of its
    /// class; the value of a read is the number of requests waiting for its key plus a fraction of
    /// those expected. Requests over quota are scaled by `over_quota_value`.
    pub(super) fn drain_origin(&mut self, now: Micros, out: &mut Vec<Action>) {
        let takes = |m: &Self, count| m.origin.allows(now, count) && m.plan.allows_fetch(count);
        while !self.origin_queue.is_empty() && takes(self, self.origin_attempts()) {
            self.origin_queue
                .retain(|id| self.open.get(id).is_some_and(|o| o.queued && o.request.deadline > now));
            let comfortable_deadline = now + (2.0 * self.origin_time.mean()) as Micros;
            let priority = |id: &RequestId| {
                let (r, o) = (&self.open[id].request, &self.open[id]);
                let part = if o.over_quota { self.settings.over_quota_value } else { 1.0 };
                let waiting = self.fetches.get(&r.key).map_or(0, VecDeque::len).max(1) as f64;
                let value = if r.write { o.class.value } else { waiting } * part;
                let recent_requests = if r.write { 0.0 } else { self.popularity.count(mix(r.key.0)) };
                (r.deadline > comfortable_deadline, value + POPULARITY_VALUE * recent_requests)
            };
            let all = self.origin_queue.iter().map(priority).enumerate();
            let best = all.max_by(|(_, a), (_, b)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1)));
            let Some((best, _)) = best else { return };
            let id = self.origin_queue.remove(best);
            let o = &self.open[&id];
            let origins = self.servers.origins().filter(|s| self.permitted(now, o, s, None));
            match origins.min_by_key(|s| (s.evicted_until > now, s.limiter.out())).map(|s| s.member.server) {
                Some(server) => self.send(now, id, server, out),
                None => self.finish(now, id, out),
            }
        }
    }
}
