//! The rules on repeats and copies over small worlds, all of them: each effect, group and window of a class, second
//! copies on and off, and each sequence of what becomes of a request's attempts, through the core on a made-up clock.
//! The checker sees what is written and closed, and knows nothing of the module.

use martenweir::codec::discovery::{Cluster, Listed};
use martenweir::core::*;
use martenweir::interface::*;
use std::rc::Rc;

const MS: Micros = 1_000;

/// What becomes of an attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    Error,
    Full,
    Reset,
    /// Broken before its last byte.
    Cut,
    Refused,
    /// Its connection comes up just before the dial time-out, and is reset under it.
    Late,
    /// Its connection never comes up, or nothing is said on it.
    Undialled,
    Silent,
}

const FATES: [Fate; 8] = [
    Fate::Error,
    Fate::Full,
    Fate::Reset,
    Fate::Cut,
    Fate::Refused,
    Fate::Late,
    Fate::Undialled,
    Fate::Silent,
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

/// Whether an attempt may be written now, with what is known of those before.
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

/// Plays one world; how many attempts were written. `held` is what the core is told, `rules` what it is judged by.
fn play(held: &Rules, rules: &Rules, fates: &[Fate]) -> Result<usize, String> {
    let class = Class {
        target_latency: 400 * MS,
        limit: 800 * MS,
        repeat: held.repeat,
        group: held.group,
        window: held.window,
        ..Class::default()
    };
    let settings = Settings {
        classes: vec![class],
        may_copy: held.copies,
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
    let mut dials: Vec<(ConnectionId, Member, Fate)> = Vec::new();
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
                    // Each attempt goes to another node, so each has a dial of its own.
                    let fate = fates.get(dials.len()).copied().unwrap_or(Fate::Error);
                    dials.push((c, member, fate));
                    match fate {
                        Fate::Refused => due.push((now, Input::Broken(c, Stage::Idle))),
                        Fate::Late => due.push((now + 245 * MS, Input::Connected(c))),
                        Fate::Undialled => {}
                        // Heard of since it was sent: given up, its connection may wait for the late answer.
                        Fate::Silent => due.push((now + 5 * MS, Input::Connected(c))),
                        _ => due.push((now, Input::Connected(c))),
                    }
                }
                Effect::Write { connection: c, .. } => {
                    let (_, member, fate) = dials.iter().find(|d| d.0 == c).cloned().expect("dialled");
                    may_write(rules, &attempts, &member, now)?;
                    attempts.push(Attempt {
                        connection: c,
                        member,
                        sent: now,
                        may_have_run: true,
                        out: true,
                    });
                    let then = match fate {
                        Fate::Error => Input::Replied(c, reply(Verdict::Error)),
                        Fate::Full => Input::Replied(c, reply(Verdict::Full)),
                        Fate::Reset | Fate::Late => Input::Broken(c, Stage::Reading),
                        Fate::Cut => Input::Broken(c, Stage::Writing),
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

fn worlds() -> Vec<Rules> {
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

/// All sequences for which a world breaks a rule, and how many attempts were written in all.
fn broken(held: &Rules, rules: &Rules) -> (Vec<String>, usize) {
    let (mut broken, mut written) = (Vec::new(), 0);
    for n in 0..FATES.len().pow(3) {
        let fates = [FATES[n % 8], FATES[n / 8 % 8], FATES[n / 64]];
        match play(held, rules, &fates) {
            Ok(n) => written += n,
            Err(why) => broken.push(format!("{rules:?} {fates:?}: {why}")),
        }
    }
    (broken, written)
}

#[test]
fn no_world_breaks_a_rule_on_repeats() {
    for rules in worlds() {
        let (broken, written) = broken(&rules, &rules);
        assert!(broken.is_empty(), "{} worlds: {}", broken.len(), broken[0]);
        // Not for want of repeats: 512 worlds, and most have more than one attempt.
        assert!(written > 512, "{rules:?}: {written} attempts");
    }
}

/// The checker itself: a core that is told less than the rules it is judged by breaks each of them.
#[test]
fn each_rule_is_seen_to_be_broken() {
    let held = Rules { repeat: Repeat::Dedup, group: Group::All, window: 4_000 * MS, copies: true };
    let breaks = |rules: Rules, why: &str| {
        let (broken, _) = broken(&held, &rules);
        assert!(broken.iter().any(|b| b.contains(why)), "{why}: {} worlds", broken.len());
    };
    breaks(Rules { repeat: Repeat::Fragile, ..held.clone() }, "never run twice");
    breaks(Rules { repeat: Repeat::Fragile, ..held.clone() }, "refused what may have run");
    breaks(Rules { group: Group::Zone, ..held.clone() }, "outside the group");
    breaks(Rules { group: Group::Cell, ..held.clone() }, "outside the group");
    breaks(Rules { window: 150 * MS, ..held.clone() }, "past the window");
    // None of these worlds makes a second copy: the module has seen no answers, and waits for each attempt.
    let to = members().remove(0);
    let (connection, member) = (ConnectionId(1), to.clone());
    let out = Attempt { connection, member, sent: 0, may_have_run: true, out: true };
    let rules = Rules { copies: false, repeat: Repeat::Retryable, ..held };
    assert_eq!(may_write(&rules, &[out], &to, 0), Err("two attempts out".into()));
}
