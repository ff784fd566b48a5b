use super::super::view::Change;
use super::*;
use world::fleet::fault::{Fault, Kind};
use world::fleet::schedule::Schedule;

const S: Micros = 1_000_000;

/// Observations of a fleet of three forwarders and a planner, in which one node hung from the 1st to the 9th
/// second.
struct Seen {
    schedule: Schedule,
    tracks: BTreeMap<String, Track>,
    met: Vec<ClientEvent>,
}

impl Seen {
    fn right() -> Seen {
        let hang = Fault { who: "s0".parse().ok(), ..Fault::new(Kind::Hang, 1.0, 8.0) };
        let mut schedule = Schedule { faults: vec![hang], ..Schedule::default() };
        (schedule.fleet.planners, schedule.fleet.forwarders) = (1, 3);
        let mut seen = Seen { schedule, tracks: BTreeMap::new(), met: Vec::new() };
        for name in ["p0", "f0", "f1", "f2"] {
            seen.tracks.insert(name.into(), Track::default());
            seen.say(name, -9 * S, What::Started);
        }
        for name in ["f0", "f1", "f2"] {
            seen.say(name, -8 * S, What::Connected("p0".into()));
            seen.say(name, 2 * S, What::Avoids("s0".into()));
            seen.say(name, 11 * S, What::Returns("s0".into()));
        }
        seen.met = vec![
            ClientEvent::Asked { id: 0, at: S, forwarder: 0 },
            ClientEvent::Ended { id: 0, at: S + 5_000, end: End::Value },
        ];
        seen
    }

    fn say(&mut self, name: &str, at: Micros, what: What) {
        let changes = &mut self.tracks.get_mut(name).expect("the process is known").changes;
        changes.push(Change { at, life: 1, what });
        changes.sort_by_key(|c| c.at);
    }

    fn broken(&self) -> Vec<Rule> {
        let (plan, rules) = (self.schedule.plan(1), plan::Rules::default());
        let (expect, tracks, met) = (&self.schedule.expect, &self.tracks, &self.met[..]);
        let case = Case { plan: &plan, expect, tracks, met, until: 60 * S, rules: &rules };
        let mut broken: Vec<Rule> = judge(&case).1.into_iter().map(|b| b.rule).collect();
        broken.dedup();
        broken
    }
}

#[test]
fn a_correct_run_breaks_no_rule_and_is_measured() {
    let seen = Seen::right();
    assert_eq!(seen.broken(), []);
    let (plan, rules) = (seen.schedule.plan(1), plan::Rules::default());
    let expect = &seen.schedule.expect;
    let case =
        Case { plan: &plan, expect, tracks: &seen.tracks, met: &seen.met, until: 60 * S, rules: &rules };
    let (figures, _) = judge(&case);
    assert_eq!((figures.avoided_s, figures.changes, figures.wrong), (vec![1.0; 3], 6, 0));
    assert_eq!((figures.converged_s, figures.values), (Some(2.0), 1));
}

#[test]
fn each_rule_detects_its_violation() {
    let mut lost = Seen::right();
    lost.met[1] = ClientEvent::Ended { id: 0, at: 3 * S, end: End::Late };
    assert_eq!(lost.broken(), [Rule::OneOutcome]);
    lost.say("f0", 2 * S, What::Stopped);
    lost.say("f0", 2 * S + 1, What::Resumed);
    assert_eq!(lost.broken(), [], "the forwarder was stopped meanwhile");

    let mut twice = Seen::right();
    twice.met.push(ClientEvent::Stray { id: 0, at: 2 * S });
    assert_eq!(twice.broken(), [Rule::OneOutcome]);

    let mut deaf = Seen::right();
    deaf.say("f1", 12 * S, What::Disconnected("p0".into()));
    assert_eq!(deaf.broken(), [Rule::Converged]);

    let mut flaps = Seen::right();
    for n in 0..8 {
        flaps.say("f2", 20 * S + n * S / 5, What::Avoids("s1".into()));
        flaps.say("f2", 20 * S + n * S / 5 + 1, What::Returns("s1".into()));
    }
    assert_eq!(flaps.broken(), [Rule::NoFlapping]);

    let mut wrong = Seen::right();
    for name in ["f0", "f1"] {
        wrong.say(name, 20 * S, What::Avoids("s3".into()));
        wrong.say(name, 30 * S, What::Returns("s3".into()));
    }
    assert_eq!(wrong.broken(), [Rule::NoWrongAvoidance]);

    let mut leaves = Seen::right();
    leaves.say("f1", 6 * S, What::Returns("s0".into()));
    assert_eq!(leaves.broken(), [Rule::Kept]);

    let mut slow = Seen::right();
    slow.schedule.expect.avoid_s = Some(0.5);
    assert_eq!(slow.broken(), [Rule::Avoided]);

    let mut poor = Seen::right();
    poor.schedule.expect.lost = Some(0.1);
    poor.met[1] = ClientEvent::Ended { id: 0, at: S + 5_000, end: End::Refused };
    assert_eq!(poor.broken(), [Rule::Served]);
}
