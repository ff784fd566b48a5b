//! Exhaustive exploration of small simulations: three control machines that are all stores, two followers,
//! three changes, and any possible fault at any step.
//!
//! Without faults, messages are delivered connection by connection in each step. At each step of a window any
//! [`Fault`] may occur: one direction of a connection is delayed, so that its messages arrive after those of
//! the others; a connection breaks, with messages in transit lost or received by one end only; a machine
//! stops and restarts with or without its persisted records; one hangs, drops incoming or outgoing messages,
//! or corrupts bytes. The search is depth-first, with one fault at every step and with pairs of faults. A
//! state already visited with at least as many faults left is skipped. After the window each simulation
//! continues until leases have expired.
//!
//! [`Violation`] lists the properties. For each, a test injects a fault that violates it.

mod world;

use dissemination::rules::InjectedFault;
use dissemination::{ControlId, StreamId};
use rstest::rstest;
use std::collections::HashMap;
use world::{rules, Endpoint, Violation, World, STEP};

/// Steps before the first change, in the window of faults, and after it: two leases.
const WARM_UP: usize = 12;
const WINDOW: usize = 14;
const SETTLE: usize = 70;
/// For pairs of faults, the steps in the window between those at which one may occur.
const PAIR_EVERY: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum Fault {
    /// Delays one direction of a connection. Connections are numbered in the order in which they were opened.
    Late(usize, usize),
    /// Breaks a connection; messages in transit are lost, or delivered if true.
    Breaks(usize, bool),
    /// A connection carries nothing from now on, in one direction or both.
    Hangs(usize, [bool; 2]),
    /// A control machine stops and restarts with its persisted records some steps later.
    Crashes(usize),
    /// A control machine restarts at once without its records.
    Wiped(usize),
    Freezes(usize),
    Deaf(usize),
    Mute(usize),
    Lies(usize),
    /// Its messages to other control machines are delayed.
    Slow(usize),
    /// A follower restarts, with its saved state or without.
    Restarts(usize, bool),
    /// No connection of a follower works any more.
    CutOff(usize),
}

const CONTROLS: usize = 3;
const FOLLOWERS: usize = 2;
/// Steps for which a direction is delayed, and for which a control machine is stopped.
const DELAY: u8 = 7;
const DOWNTIME: usize = 8;

impl Fault {
    /// All faults that can occur now.
    fn all(world: &World, pairs: bool) -> Vec<Fault> {
        let mut all = vec![];
        let connections = world.connections.values().filter(|w| !w.ends.contains(&Endpoint::Client)).count();
        for w in 0..connections {
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
            // Losing two of three disks is outside of what the protocol tolerates.
            if !world.store_wiped {
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

    fn apply(self, run: &mut Run) {
        let world = &mut run.world;
        let connection = |w: usize| {
            world
                .connections
                .iter()
                .filter(|(_, x)| !x.ends.contains(&Endpoint::Client))
                .nth(w)
                .map(|(id, _)| *id)
        };
        match self {
            Fault::Late(w, dir) => {
                let id = connection(w);
                if let Some(connection) = id.and_then(|id| world.connections.get_mut(&id)) {
                    connection.late[dir] = DELAY;
                }
            }
            Fault::Breaks(w, comes) => {
                if let Some(id) = connection(w) {
                    world.break_connection(id, comes);
                }
            }
            Fault::Hangs(w, dirs) => {
                let id = connection(w);
                if let Some(connection) = id.and_then(|id| world.connections.get_mut(&id)) {
                    connection.stalled = [connection.stalled[0] | dirs[0], connection.stalled[1] | dirs[1]];
                }
            }
            Fault::Crashes(c) => {
                world.kill_control(c);
                run.restarts.push((world.steps + DOWNTIME, c));
            }
            Fault::Wiped(c) => {
                world.kill_control(c);
                world.disks[c].clear();
                world.store_wiped = true;
                world.start_control(c);
            }
            Fault::Slow(c) => {
                let (from, links) = (Endpoint::Control(c), |e: &Endpoint| matches!(e, Endpoint::Control(_)));
                for connection in world.connections.values_mut().filter(|w| w.ends.iter().all(links)) {
                    if let Some(dir) = connection.ends.iter().position(|e| *e == from) {
                        connection.late[dir] = DELAY;
                    }
                }
            }
            Fault::Freezes(c) => world.machine_faults[c].frozen = true,
            Fault::Deaf(c) => world.machine_faults[c].deaf = true,
            Fault::Mute(c) => world.machine_faults[c].mute = true,
            Fault::Lies(c) => (world.machine_faults[c].corrupts, world.corruption_expected) = (true, true),
            Fault::Restarts(f, keeps) => {
                if world.followers[f].is_some() {
                    let saved = world.kill_follower(f);
                    world.start_follower(f, Some(saved).filter(|_| keeps));
                }
            }
            Fault::CutOff(f) => {
                world.isolated[f] = true;
                for connection in
                    world.connections.values_mut().filter(|w| w.ends.contains(&Endpoint::Follower(f)))
                {
                    connection.stalled = [true; 2];
                }
            }
        }
    }
}

#[derive(Clone)]
struct Run {
    world: World,
    faults: Vec<(usize, Fault)>,
    restarts: Vec<(usize, usize)>,
}

impl Run {
    /// One step of the scenario: three changes in the window, one after it, and status queries.
    fn step(&mut self) {
        let due = |a: &(usize, usize)| a.0 <= self.world.steps;
        let back: Vec<usize> = self.restarts.iter().filter(|a| due(a)).map(|a| a.1).collect();
        self.restarts.retain(|a| a.0 > self.world.steps);
        for c in back {
            if self.world.controls[c].is_none() {
                self.world.start_control(c);
            }
        }
        self.world.step();
        let set = StreamId { topic: 0, store: ControlId(0) };
        match self.world.steps {
            h if h == WARM_UP + 1 => self.world.submit(0, 0, 0, 1),
            h if h == WARM_UP + 4 => self.world.submit(1, 1, 3, 2),
            h if h == WARM_UP + 8 => self.world.submit(0, 0, 0, 3),
            h if h == WARM_UP + 20 => self.world.submit(0, 0, 0, 4),
            h if h > WARM_UP + 8 && h % 9 == 0 => self.world.ask(h % CONTROLS, set, 1, h as u32),
            _ => {}
        }
    }
}

struct Explored {
    states: usize,
    completed: usize,
    found: HashMap<Violation, Vec<(usize, Fault)>>,
    acknowledged: usize,
}

struct Search {
    pairs: bool,
    stop_at: Option<Violation>,
    visited: HashMap<(u64, Vec<(usize, usize)>), usize>,
    explored: Explored,
}

impl Search {
    fn explore(&mut self, mut run: Run, left: usize) {
        loop {
            if self.stop_at.is_some_and(|b| self.explored.found.contains_key(&b)) {
                return;
            }
            self.explored.states += 1;
            if let Err(what) = run.world.result {
                self.explored.found.entry(what).or_insert(run.faults);
                return;
            }
            let steps = run.world.steps;
            if (WARM_UP..WARM_UP + WINDOW).contains(&steps) && left > 0 {
                let here = !self.pairs || steps % PAIR_EVERY == 0;
                for fault in Fault::all(&run.world, self.pairs).into_iter().filter(|_| here) {
                    let mut other = run.clone();
                    other.faults.push((steps, fault));
                    fault.apply(&mut other);
                    other.step();
                    self.explore(other, left - 1);
                }
            }
            if steps >= WARM_UP + WINDOW + SETTLE {
                break;
            }
            run.step();
            // The step count is part of the state through the clock.
            let state = (run.world.hash(), run.restarts.clone());
            if self.visited.get(&state).is_some_and(|before| *before >= left) {
                return;
            }
            self.visited.insert(state, left);
        }
        self.explored.completed += 1;
        self.explored.acknowledged += run.world.acknowledged.len();
        if run.faults.len() <= 1 {
            run.world.check_converged();
        } else {
            run.world.check_held();
        }
        if let Err(what) = run.world.result {
            self.explored.found.entry(what).or_insert(run.faults);
        }
    }
}

fn explore(faults: usize, fault: Option<InjectedFault>, stop_at: Option<Violation>) -> Explored {
    let world = World::new(rules(CONTROLS as u8, CONTROLS as u8, fault), FOLLOWERS);
    let mut run = Run { world, faults: vec![], restarts: vec![] };
    while run.world.steps < WARM_UP {
        run.step();
    }
    let explored = Explored { states: 0, completed: 0, found: HashMap::new(), acknowledged: 0 };
    let mut search = Search { pairs: faults > 1, stop_at, visited: HashMap::new(), explored };
    search.explore(run, faults);
    search.explored
}

fn assert_no_violation(faults: usize, states: usize) {
    let explored = explore(faults, None, None);
    println!(
        "{} states, {} completed simulations, {} changes acknowledged in them, {} us per step",
        explored.states, explored.completed, explored.acknowledged, STEP
    );
    assert_eq!(explored.found, HashMap::new());
    assert!(explored.states >= states, "{} states", explored.states);
    assert!(explored.acknowledged >= explored.completed, "{} acknowledged", explored.acknowledged);
}

#[test]
fn every_property_holds_with_any_single_fault() {
    assert_no_violation(1, 30_000);
}

#[test]
fn every_property_holds_with_any_two_faults() {
    assert_no_violation(2, 300_000);
}

/// The search stops at the first violation of the given kind. The fault is injected into every machine.
#[rstest]
#[case::ack_alone(InjectedFault::AckAlone, 1, Violation::Fresh)]
#[case::uncommitted(InjectedFault::Uncommitted, 2, Violation::Lost)]
#[case::no_recovery(InjectedFault::NoRecovery, 1, Violation::Lost)]
#[case::poll_of_one(InjectedFault::PollOfOne, 1, Violation::Fresh)]
#[case::fresh_at_answer(InjectedFault::FreshAtAnswer, 2, Violation::Fresh)]
#[case::fresh_at_beat(InjectedFault::FreshAtBeat, 1, Violation::Fresh)]
#[case::fresh_uncovered(InjectedFault::FreshUncovered, 1, Violation::Fresh)]
#[case::no_lease(InjectedFault::NoLease, 1, Violation::Lease)]
#[case::twice(InjectedFault::Twice, 1, Violation::Twice)]
#[case::no_digest(InjectedFault::NoDigest, 1, Violation::Bytes)]
#[case::counts_sent(InjectedFault::CountsSent, 1, Violation::Count)]
fn each_injected_fault_is_detected(
    #[case] fault: InjectedFault,
    #[case] faults: usize,
    #[case] what: Violation,
) {
    let explored = explore(faults, Some(fault), Some(what));
    let way = explored.found.get(&what);
    println!("{fault:?}: {what:?} after {} states by {way:?}", explored.states);
    assert!(way.is_some(), "{fault:?} was not detected; {:?}", explored.found);
}
