//! Exhaustive test of the rules on repeats and copies in small cases: each kind of repeat, group and
//! window of a class, second copies on and off, and each sequence of ends of a request's attempts,
//! through the core on a simulated clock. The checker only sees what is written and closed, and
//! knows nothing of the decision module.

use martenweir::codec::discovery::{Cluster, Listed};
use martenweir::core::*;
use martenweir::interface::*;
use std::rc::Rc;

const MS: Micros = 1_000;

/// How an attempt ends.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AttemptEnd {
    Error,
    Full,
    Reset,
    /// The connection breaks before the last byte of the request is written.
    Cut,
    Refused,
    /// The connection is established just before the connect time-out and then reset.
    Late,
    /// The connection is never established, or nothing is received on it.
    NoConnection,
    Silent,
}

const ATTEMPT_ENDS: [AttemptEnd; 8] = [
    AttemptEnd::Error,
    AttemptEnd::Full,
    AttemptEnd::Reset,
    AttemptEnd::Cut,
    AttemptEnd::Refused,
    AttemptEnd::Late,
    AttemptEnd::NoConnection,
    AttemptEnd::Silent,
];

#[derive(Clone, Debug)]
struct Rules {
    repeat: Repeat,
    group: Group,
    window: Micros,
    copies: bool,
}

struct Attempt {
    connection: ConnectionId,
    member: Member,
    sent: Micros,
    may_have_run: bool,
    out: bool,
}

fn members() -> Vec<Member> {
    let member = |n: u64| Member {
        zone: ZoneId((n / 5) as u16),
        cell: CellId((n as u16 - 1) / 2),
        ..Member::ready(ServerId(n))
    };
    (1..=6).map(member).collect()
}

/// Whether an attempt may be written now, given what is known of the previous ones.
fn may_write(rules: &Rules, before: &[Attempt], to: &Member, now: Micros) -> Result<(), String> {
    if !rules.copies && before.iter().any(|a| a.out) {
        return Err("two attempts out".into());
    }
    for a in before.iter().filter(|a| a.may_have_run) {
        let same = match rules.group {
            Group::All => true,
            Group::Zone => a.member.zone == to.zone,
            Group::Cell => a.member.cell == to.cell,
        };
        match rules.repeat {
            Repeat::Retryable => {}
            Repeat::Fragile => return Err("sent again what must never run twice".into()),
            Repeat::Dedup if !same => return Err("outside the group".into()),
            Repeat::Dedup if now > a.sent + rules.window => return Err("past the window".into()),
            Repeat::Dedup => {}
        }
    }
    Ok(())
}

/// Runs one case and returns the number of attempts written. `configured` is what the core is told,
/// `rules` what it is checked against.
fn run_case(configured: &Rules, rules: &Rules, ends: &[AttemptEnd]) -> Result<usize, String> {
    let class = Class {
        target_latency: 400 * MS,
        limit: 800 * MS,
        repeat: configured.repeat,
        group: configured.group,
        window: configured.window,
        ..Class::default()
    };
    let settings = Settings {
        classes: vec![class],
        may_copy: configured.copies,
        max_attempts: 4,
        period: 5 * MS,
        ..Settings::default()
    };
    let listed = |m: Member| {
        let address = format!("127.0.0.1:{}", m.server.0).parse().expect("an address");
        Listed { name: format!("s-{}", m.server.0).into(), address, member: m }
    };
    let nodes = members().into_iter().map(listed).collect();
    let mut now = 1_000_000 * MS;
    let mut core = Core::new(now, settings, 1, 100, Cluster { revision: 1, complete: true, nodes });
    core.take_effects();
    let (downstream, class, tenant) = (DownstreamId(1), ClassId(0), TenantId(0));
    let message = Rc::new(Message::default());
    let (place, repeat, hint, key, patience) = (0, false, None, Key(7), 800 * MS);
    let ask = NewStream { downstream, place, class, tenant, key, repeat, patience, hint, message };
    core.input(now, Input::Stream(ask));
    let end = now + 900 * MS;
    let mut dials: Vec<(ConnectionId, Member, AttemptEnd)> = Vec::new();
    let (mut attempts, mut answers): (Vec<Attempt>, _) = (Vec::new(), 0);
    let mut due: Vec<(Micros, Input)> = Vec::new();
    let reply = |verdict| Reply {
        verdict,
        value: Vec::new(),
        note: 0,
        report: Vec::new(),
        keep: true,
        no_place: false,
    };
    while now < end {
        for effect in core.take_effects() {
            match effect {
                Effect::Dial { connection: c, address, .. } => {
                    let member = members().remove(usize::from(address.port()) - 1);
                    // Each attempt goes to another node, so each has its own dial.
                    let attempt_end = ends.get(dials.len()).copied().unwrap_or(AttemptEnd::Error);
                    dials.push((c, member, attempt_end));
                    match attempt_end {
                        AttemptEnd::Refused => due.push((now, Input::Broken(c, Stage::Idle))),
                        AttemptEnd::Late => due.push((now + 245 * MS, Input::Connected(c))),
                        AttemptEnd::NoConnection => {}
                        // Connected after the send: when the attempt is given up, its connection may wait
                        // for the late answer.
                        AttemptEnd::Silent => due.push((now + 5 * MS, Input::Connected(c))),
                        _ => due.push((now, Input::Connected(c))),
                    }
                }
                Effect::Write { connection: c, .. } => {
                    let (_, member, attempt_end) = dials.iter().find(|d| d.0 == c).cloned().expect("dialled");
                    may_write(rules, &attempts, &member, now)?;
                    attempts.push(Attempt {
                        connection: c,
                        member,
                        sent: now,
                        may_have_run: true,
                        out: true,
                    });
                    let then = match attempt_end {
                        AttemptEnd::Error => Input::Replied(c, reply(Verdict::Error)),
                        AttemptEnd::Full => Input::Replied(c, reply(Verdict::Full)),
                        AttemptEnd::Reset | AttemptEnd::Late => Input::Broken(c, Stage::Reading),
                        AttemptEnd::Cut => Input::Broken(c, Stage::Writing),
                        _ => continue,
                    };
                    due.push((now + 20 * MS, then));
                }
                Effect::Close { connection: c } => {
                    attempts.iter_mut().filter(|a| a.connection == c).for_each(|a| a.out = false);
                }
                Effect::Answer { answer, .. } => {
                    answers += 1;
                    let harmless = match rules.repeat {
                        Repeat::Retryable => true,
                        Repeat::Dedup if rules.group == Group::All => true,
                        _ => !attempts.iter().any(|a| a.may_have_run),
                    };
                    if matches!(answer, Answer::Busy(_)) && !harmless {
                        return Err("refused what may have run".into());
                    }
                }
                _ => {}
            }
        }
        if let Some(at) = due.iter().position(|(at, _)| *at <= now) {
            let (_, input) = due.remove(at);
            let (c, ran, over) = match &input {
                Input::Replied(c, r) => (*c, r.verdict != Verdict::Full, true),
                Input::Broken(c, stage) => (*c, *stage == Stage::Reading, true),
                Input::Connected(c) => (*c, true, false),
                _ => continue,
            };
            for a in attempts.iter_mut().filter(|a| over && a.connection == c) {
                (a.may_have_run, a.out) = (ran, false);
            }
            core.input(now, input);
        } else {
            now += 5 * MS;
            core.tick(now);
        }
    }
    match (answers, attempts.len()) {
        (1, n @ 0..=4) => Ok(n),
        (answers, n) => Err(format!("{answers} answers after {n} attempts")),
    }
}

fn rule_sets() -> Vec<Rules> {
    let mut all = Vec::new();
    for copies in [false, true] {
        let rules = |repeat, group, window| Rules { repeat, group, window, copies };
        all.push(rules(Repeat::Retryable, Group::All, 0));
        all.push(rules(Repeat::Fragile, Group::All, 0));
        for group in [Group::All, Group::Zone, Group::Cell] {
            all.extend([150, 260, 4_000].map(|window| rules(Repeat::Dedup, group, window * MS)));
        }
    }
    all
}

/// All sequences of ends that violate a rule, and the total number of attempts written.
fn violations(configured: &Rules, rules: &Rules) -> (Vec<String>, usize) {
    let (mut violating, mut written) = (Vec::new(), 0);
    for n in 0..ATTEMPT_ENDS.len().pow(3) {
        let ends = [ATTEMPT_ENDS[n % 8], ATTEMPT_ENDS[n / 8 % 8], ATTEMPT_ENDS[n / 64]];
        match run_case(configured, rules, &ends) {
            Ok(n) => written += n,
            Err(why) => violating.push(format!("{rules:?} {ends:?}: {why}")),
        }
    }
    (violating, written)
}

#[test]
fn no_case_violates_a_rule_on_repeats() {
    for rules in rule_sets() {
        let (violating, written) = violations(&rules, &rules);
        assert!(violating.is_empty(), "{} cases: {}", violating.len(), violating[0]);
        // Makes sure that repeats happened: 512 cases, and most have more than one attempt.
        assert!(written > 512, "{rules:?}: {written} attempts");
    }
}

/// Tests the checker itself: a core that is configured with weaker rules than it is checked against
/// violates each of them.
#[test]
fn the_checker_detects_a_violation_of_each_rule() {
    let configured = Rules { repeat: Repeat::Dedup, group: Group::All, window: 4_000 * MS, copies: true };
    let breaks = |rules: Rules, why: &str| {
        let (violating, _) = violations(&configured, &rules);
        assert!(violating.iter().any(|b| b.contains(why)), "{why}: {} cases", violating.len());
    };
    breaks(Rules { repeat: Repeat::Fragile, ..configured.clone() }, "never run twice");
    breaks(Rules { repeat: Repeat::Fragile, ..configured.clone() }, "refused what may have run");
    breaks(Rules { group: Group::Zone, ..configured.clone() }, "outside the group");
    breaks(Rules { group: Group::Cell, ..configured.clone() }, "outside the group");
    breaks(Rules { window: 150 * MS, ..configured.clone() }, "past the window");
    // None of these cases makes a second copy: the module has seen no answers and waits for each
    // attempt.
    let to = members().remove(0);
    let (connection, member) = (ConnectionId(1), to.clone());
    let out = Attempt { connection, member, sent: 0, may_have_run: true, out: true };
    let rules = Rules { copies: false, repeat: Repeat::Retryable, ..configured };
    assert_eq!(may_write(&rules, &[out], &to, 0), Err("two attempts out".into()));
}
