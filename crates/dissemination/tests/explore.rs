//! Small worlds explored whole: three control machines that are all stores, two followers, three changes, and
//! whatever can go wrong at any hop.
//!
//! Without faults the order of words is that of the connections, hop by hop. At each hop of a window anything of
//! [`Fault`] may happen: one connection's direction is late, so that what it carries comes after all that the
//! others carry; a connection breaks, with what is on the way lost or heard by one end alone; a machine ends and
//! starts again with what it had written down, or without; one hangs, hears nothing, is not heard, or carries
//! wrong bytes. Depth first, with one fault at every hop and with pairs of them; a state that was met before with
//! no fewer faults left is left out. After the window the world goes on until leases have passed.
//!
//! The properties are named in [`Broken`]; each is shown to break by a planted fault.

mod world;

use dissemination::rules::InjectedFault;
use dissemination::{ControlId, StreamId};
use rstest::rstest;
use std::collections::HashMap;
use world::{rules, Broken, End, World, HOP};

/// Hops before the first change; the window of faults; hops after it: two leases.
const START: usize = 12;
const WINDOW: usize = 14;
const AFTER: usize = 70;
/// Of the window, hops between those at which a pair of faults may begin.
const PAIR_EVERY: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    /// A direction of a connection, in the order of their beginnings, is late by some words' time.
    Late(usize, usize),
    /// Breaks; what is on the way is lost, or comes.
    Breaks(usize, bool),
    /// Carries nothing from now on, one way or both.
    Hangs(usize, [bool; 2]),
    /// Ends, and starts again with what it wrote down some hops later.
    Crashes(usize),
    /// Ends, and starts again at once with nothing.
    Wiped(usize),
    Freezes(usize),
    Deaf(usize),
    Mute(usize),
    Lies(usize),
    /// What it says to other control machines is late.
    Slow(usize),
    /// A follower starts again, with what it has kept or with nothing.
    Restarts(usize, bool),
    /// No connection of a follower works any more.
    CutOff(usize),
}

const CONTROLS: usize = 3;
const FOLLOWERS: usize = 2;
/// Hops for which a direction is late, and for which a control machine is away.
const LATE: u8 = 7;
const AWAY: usize = 8;

impl Fault {
    /// All that can happen now.
    fn all(world: &World, pairs: bool) -> Vec<Fault> {
        let mut all = vec![];
        let wires = world.wires.values().filter(|w| !w.ends.contains(&End::Client)).count();
        for w in 0..wires {
            all.extend([Fault::Late(w, 0), Fault::Late(w, 1), Fault::Hangs(w, [true, true])]);
            if !pairs {
                all.extend([Fault::Breaks(w, false), Fault::Breaks(w, true)]);
                all.extend([Fault::Hangs(w, [true, false]), Fault::Hangs(w, [false, true])]);
            }
        }
        for c in 0..CONTROLS {
            all.extend([Fault::Crashes(c), Fault::Slow(c)]);
            if !pairs {
                all.extend([Fault::Freezes(c), Fault::Deaf(c), Fault::Mute(c), Fault::Lies(c)]);
            }
            // Two lost disks among three stores are more than is claimed.
            if !world.wiped {
                all.push(Fault::Wiped(c));
            }
        }
        for f in 0..FOLLOWERS {
            all.extend([Fault::Restarts(f, true), Fault::CutOff(f)]);
            if !pairs {
                all.push(Fault::Restarts(f, false));
            }
        }
        all
    }

    fn happens(self, run: &mut Run) {
        let world = &mut run.world;
        let wire = |w: usize| {
            world.wires.iter().filter(|(_, x)| !x.ends.contains(&End::Client)).nth(w).map(|(id, _)| *id)
        };
        match self {
            Fault::Late(w, dir) => {
                let id = wire(w);
                if let Some(wire) = id.and_then(|id| world.wires.get_mut(&id)) {
                    wire.late[dir] = LATE;
                }
            }
            Fault::Breaks(w, comes) => {
                if let Some(id) = wire(w) {
                    world.break_wire(id, comes);
                }
            }
            Fault::Hangs(w, dirs) => {
                let id = wire(w);
                if let Some(wire) = id.and_then(|id| world.wires.get_mut(&id)) {
                    wire.hung = [wire.hung[0] | dirs[0], wire.hung[1] | dirs[1]];
                }
            }
            Fault::Crashes(c) => {
                world.kill_control(c);
                run.away.push((world.hops + AWAY, c));
            }
            Fault::Wiped(c) => {
                world.kill_control(c);
                world.disks[c].clear();
                world.wiped = true;
                world.start_control(c);
            }
            Fault::Slow(c) => {
                let (from, links) = (End::Control(c), |e: &End| matches!(e, End::Control(_)));
                for wire in world.wires.values_mut().filter(|w| w.ends.iter().all(links)) {
                    if let Some(dir) = wire.ends.iter().position(|e| *e == from) {
                        wire.late[dir] = LATE;
                    }
                }
            }
            Fault::Freezes(c) => world.ills[c].frozen = true,
            Fault::Deaf(c) => world.ills[c].deaf = true,
            Fault::Mute(c) => world.ills[c].mute = true,
            Fault::Lies(c) => (world.ills[c].lies, world.liars) = (true, true),
            Fault::Restarts(f, keeps) => {
                if world.followers[f].is_some() {
                    let kept = world.kill_follower(f);
                    world.start_follower(f, Some(kept).filter(|_| keeps));
                }
            }
            Fault::CutOff(f) => {
                world.cut_off[f] = true;
                for wire in world.wires.values_mut().filter(|w| w.ends.contains(&End::Follower(f))) {
                    wire.hung = [true; 2];
                }
            }
        }
    }
}

#[derive(Clone)]
struct Run {
    world: World,
    faults: Vec<(usize, Fault)>,
    away: Vec<(usize, usize)>,
}

impl Run {
    /// One hop of the story: three changes in the window, one after it, and questions of status.
    fn hop(&mut self) {
        let due = |a: &(usize, usize)| a.0 <= self.world.hops;
        let back: Vec<usize> = self.away.iter().filter(|a| due(a)).map(|a| a.1).collect();
        self.away.retain(|a| a.0 > self.world.hops);
        for c in back {
            if self.world.controls[c].is_none() {
                self.world.start_control(c);
            }
        }
        self.world.hop();
        let set = StreamId { topic: 0, store: ControlId(0) };
        match self.world.hops {
            h if h == START + 1 => self.world.submit(0, 0, 0, 1),
            h if h == START + 4 => self.world.submit(1, 1, 3, 2),
            h if h == START + 8 => self.world.submit(0, 0, 0, 3),
            h if h == START + 20 => self.world.submit(0, 0, 0, 4),
            h if h > START + 8 && h % 9 == 0 => self.world.ask(h % CONTROLS, set, 1, h as u32),
            _ => {}
        }
    }
}

struct Explored {
    states: usize,
    worlds: usize,
    found: HashMap<Broken, Vec<(usize, Fault)>>,
    acknowledged: usize,
}

struct Search {
    pairs: bool,
    until: Option<Broken>,
    met: HashMap<(u64, Vec<(usize, usize)>), usize>,
    explored: Explored,
}

impl Search {
    fn go(&mut self, mut run: Run, left: usize) {
        loop {
            if self.until.is_some_and(|b| self.explored.found.contains_key(&b)) {
                return;
            }
            self.explored.states += 1;
            if let Err(what) = run.world.verdict {
                self.explored.found.entry(what).or_insert(run.faults);
                return;
            }
            let hops = run.world.hops;
            if (START..START + WINDOW).contains(&hops) && left > 0 {
                let here = !self.pairs || hops % PAIR_EVERY == 0;
                for fault in Fault::all(&run.world, self.pairs).into_iter().filter(|_| here) {
                    let mut other = run.clone();
                    other.faults.push((hops, fault));
                    fault.happens(&mut other);
                    other.hop();
                    self.go(other, left - 1);
                }
            }
            if hops >= START + WINDOW + AFTER {
                break;
            }
            run.hop();
            // The world's own count of hops is a part of its state, through its clock.
            let state = (run.world.hash(), run.away.clone());
            if self.met.get(&state).is_some_and(|before| *before >= left) {
                return;
            }
            self.met.insert(state, left);
        }
        self.explored.worlds += 1;
        self.explored.acknowledged += run.world.acknowledged.len();
        if run.faults.len() <= 1 {
            run.world.judge_whole();
        } else {
            run.world.judge_held();
        }
        if let Err(what) = run.world.verdict {
            self.explored.found.entry(what).or_insert(run.faults);
        }
    }
}

fn explore(faults: usize, planted: Option<InjectedFault>, until: Option<Broken>) -> Explored {
    let world = World::new(rules(CONTROLS as u8, CONTROLS as u8, planted), FOLLOWERS);
    let mut run = Run { world, faults: vec![], away: vec![] };
    while run.world.hops < START {
        run.hop();
    }
    let explored = Explored { states: 0, worlds: 0, found: HashMap::new(), acknowledged: 0 };
    let mut search = Search { pairs: faults > 1, until, met: HashMap::new(), explored };
    search.go(run, faults);
    search.explored
}

fn holds(faults: usize, states: usize) {
    let explored = explore(faults, None, None);
    println!(
        "{} states, {} worlds to the end, {} changes acknowledged in them, {} us each",
        explored.states, explored.worlds, explored.acknowledged, HOP
    );
    assert_eq!(explored.found, HashMap::new());
    assert!(explored.states >= states, "{} states", explored.states);
    assert!(explored.acknowledged >= explored.worlds, "{} acknowledged", explored.acknowledged);
}

#[test]
fn every_property_holds_with_any_single_fault() {
    holds(1, 30_000);
}

#[test]
fn every_property_holds_with_any_two_faults() {
    holds(2, 300_000);
}

/// The search ends at the first that it finds; the fault is planted in every machine.
#[rstest]
#[case::ack_alone(InjectedFault::AckAlone, 1, Broken::Fresh)]
#[case::uncommitted(InjectedFault::Uncommitted, 2, Broken::Lost)]
#[case::no_recovery(InjectedFault::NoRecovery, 1, Broken::Lost)]
#[case::poll_of_one(InjectedFault::PollOfOne, 1, Broken::Fresh)]
#[case::fresh_at_answer(InjectedFault::FreshAtAnswer, 2, Broken::Fresh)]
#[case::fresh_at_beat(InjectedFault::FreshAtBeat, 1, Broken::Fresh)]
#[case::fresh_uncovered(InjectedFault::FreshUncovered, 1, Broken::Fresh)]
#[case::no_lease(InjectedFault::NoLease, 1, Broken::Lease)]
#[case::twice(InjectedFault::Twice, 1, Broken::Twice)]
#[case::no_digest(InjectedFault::NoDigest, 1, Broken::Bytes)]
#[case::counts_sent(InjectedFault::CountsSent, 1, Broken::Count)]
fn each_guard_is_missed_when_it_is_gone(
    #[case] planted: InjectedFault,
    #[case] faults: usize,
    #[case] what: Broken,
) {
    let explored = explore(faults, Some(planted), Some(what));
    let way = explored.found.get(&what);
    println!("{planted:?}: {what:?} after {} states by {way:?}", explored.states);
    assert!(way.is_some(), "{planted:?} is not found; {:?}", explored.found);
}
