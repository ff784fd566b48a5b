//! When to call discovery: one chain of calls a proxy, with exponential backoff and jitter.
//!
//! It owns the time of the next call and how many have failed in a row. It opens nothing and reads no clock. All
//! proxies of a fleet lose discovery in the same moment, and it answers a fixed number of calls a second: what
//! they may ask of it together is divided by how many they are.

use crate::interface::Micros;
use crate::state::{mix, unit};
use limits::backoff;

/// A watch that stands says something every 2 s; this long a silence means that it is dead.
const SILENCE: Micros = 3_000_000;
/// A call may wait its turn at discovery; with no answer for this long it is dead too.
const UNANSWERED: Micros = 4_500_000;
/// What a dead watch misses counts as told this long after its last word (the protocol's figure). By then discovery is
/// called again, so that the rule's time for a drain is left for the answer, and for one more call.
const KNOWN: Micros = 6_000_000;
/// Where lists are pushed, what the agent beside the proxy has counts as told at once, whether or not a watch stands: it is
/// called again within this, well under the time that the rule leaves. A call there costs nobody else anything.
const PROMPT: Micros = 2_000_000;
/// The least time from the end of a watch to the next call, in us.
const LEAST: Micros = 300_000;
/// What the first calls after a common end are spread over, for each proxy of the fleet, in us: together they
/// call discovery fifty times a second, whatever their number.
const SPREAD: Micros = 20_000;
/// The most that the doublings make of it, in us, for fleets up to a hundred; for larger ones four times the first.
const LONGEST: Micros = 8_000_000;

#[derive(Debug)]
pub(super) struct Watch {
    /// The spread of this fleet's first calls.
    spread: Micros,
    /// Lists are pushed to an agent beside the proxy; else one service for the whole fleet is asked for them.
    pushed: bool,
    rng: u64,
    failed: u32,
    heard: Micros,
    /// The call was answered: a watch stands.
    stands: bool,
    /// When to call next; `None` while a call or a watch is open.
    due: Option<Micros>,
}

impl Watch {
    /// A call is made at once, by whoever makes this.
    pub fn new(now: Micros, routers: u32, pushed: bool, seed: u64) -> Self {
        let spread = (SPREAD * Micros::from(routers)).max(LEAST);
        let rng = mix(seed ^ 0x77a7_c4e5);
        Watch { spread, pushed, rng, failed: 0, heard: now, stands: false, due: None }
    }

    /// Discovery has said something.
    pub fn heard(&mut self, now: Micros) {
        (self.heard, self.stands, self.failed, self.due) = (now, true, 0, None);
    }

    /// The call or the watch has ended, or is silent: when to call again. One that was given up for silent ends once
    /// more.
    pub fn ended(&mut self, now: Micros) -> Micros {
        if let Some(at) = self.due {
            return at;
        }
        let over = backoff(self.spread, self.failed, LONGEST.max(4 * self.spread));
        let known = if self.stands { self.heard + KNOWN - now } else { Micros::MAX };
        let most = if self.pushed { known.min(PROMPT) } else { known };
        let over = over.min((most - LEAST).max(LEAST));
        self.failed += 1;
        self.rng = mix(self.rng.wrapping_add(1));
        let at = now + LEAST + (over as f64 * unit(self.rng)) as Micros;
        self.due = Some(at);
        at
    }

    /// Whether the watch has been silent for so long that it is dead.
    pub fn is_silent(&self, now: Micros) -> bool {
        let most = if self.stands { SILENCE } else { UNANSWERED };
        self.due.is_none() && now - self.heard > most
    }

    /// Whether the call that was put off till now is to be made. One that was taken over by news, or by a call
    /// elsewhere, is not.
    pub fn due(&mut self, now: Micros) -> bool {
        let due = self.due.is_some_and(|at| at <= now);
        if due {
            self.called(now);
        }
        due
    }

    /// A call is made, for whatever reason.
    pub fn called(&mut self, now: Micros) {
        (self.heard, self.stands, self.due) = (now, false, None);
    }

    /// Discovery is to be found elsewhere: what failed before says nothing of it.
    pub fn moved(&mut self, now: Micros) {
        self.failed = 0;
        self.called(now);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// The times at which 100 proxies call, all cut off at once, while discovery turns every call away at once.
    fn calls(routers: u32, until: Micros) -> Vec<Micros> {
        let mut all = Vec::new();
        for seed in 0..u64::from(routers) {
            let mut watch = Watch::new(0, routers, false, seed);
            let mut at = watch.ended(0);
            while at <= until {
                assert!(watch.due(at), "what was put off is made");
                assert!(!watch.due(at), "and made once");
                all.push(at);
                at = watch.ended(at);
            }
        }
        all
    }

    #[test]
    fn a_fleet_that_lost_discovery_at_once_calls_it_a_bounded_number_of_times_a_second() {
        for routers in [16, 100, 200] {
            let all = calls(routers, 20_000_000);
            let most = (0..20).map(|s| all.iter().filter(|at| **at / 1_000_000 == s).count()).max();
            assert!(most <= Some(75), "{routers} proxies: {most:?} calls in a second");
            let late = all.iter().filter(|at| **at >= 10_000_000).count() / 10;
            assert!(late <= 40, "{routers} proxies: {late} a second later on");
        }
    }

    #[test]
    fn a_lone_proxy_calls_again_soon() {
        let mut watch = Watch::new(0, 1, false, 7);
        assert!((LEAST..=2 * LEAST).contains(&watch.ended(0)));
    }

    #[test]
    fn silence_while_a_call_is_put_off_adds_no_second_chain() {
        let mut watch = Watch::new(0, 1_000, false, 7);
        let at = watch.ended(0);
        assert!(!watch.is_silent(at.max(60_000_000)), "it is known to be gone");
        assert!(watch.due(at));
        assert!(watch.is_silent(at + UNANSWERED + 1));
        watch.heard(at + UNANSWERED + 2);
        assert!(!watch.is_silent(at + UNANSWERED + 3) && !watch.due(Micros::MAX), "news ends the chain");
    }

    /// When a proxy whose watch said its last word at 0 calls again, looked at every half second as the core does.
    fn calls_again(mut watch: Watch) -> Micros {
        watch.heard(0);
        let noticed = (0..).map(|n| n * 500_000).find(|at| watch.is_silent(*at));
        watch.ended(noticed.unwrap_or(Micros::MAX))
    }

    #[test]
    fn a_fleet_whose_watches_fall_silent_at_once_calls_again_before_what_it_missed_counts_as_told() {
        for (routers, pushed) in
            [(1, true), (100, false), (273, true), (321, false), (1_000, true), (1_000, false)]
        {
            let all = (0..u64::from(routers)).map(|seed| calls_again(Watch::new(0, routers, pushed, seed)));
            let all: Vec<Micros> = all.collect();
            assert!(
                all.iter().all(|at| (SILENCE..=KNOWN).contains(at)),
                "{routers} proxies: {:?}",
                all.iter().max()
            );
            // Nor all in one moment.
            let most = (0..12).map(|n| all.iter().filter(|at| **at / 500_000 == n).count()).max();
            assert!(
                routers < 100 || most <= Some(routers as usize / 3),
                "{routers} proxies: {most:?} in 0.5 s"
            );
        }
    }

    #[test]
    fn a_proxy_with_an_agent_beside_it_never_stays_away_for_longer_than_the_rule_leaves() {
        let mut watch = Watch::new(0, 300, true, 7);
        watch.heard(10);
        let mut now = 20;
        for call in 0..20 {
            let at = watch.ended(now);
            assert!((now + LEAST..=now + PROMPT).contains(&at), "call {call}: {} us later", at - now);
            assert!(watch.due(at));
            now = at;
        }
    }
}
