use super::*;
use crate::host::Progress;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Tells of each run its scenario and seed, and how many ran at once.
struct Echo {
    alone: bool,
    now: AtomicUsize,
    most: AtomicUsize,
}

impl Host for Echo {
    fn run(&self, scenario: &Scenario, seed: u64, _: &dyn Progress) -> Result<Run, HostError> {
        let now = self.now.fetch_add(1, Ordering::SeqCst) + 1;
        self.most.fetch_max(now, Ordering::SeqCst);
        std::thread::yield_now();
        self.now.fetch_sub(1, Ordering::SeqCst);
        if seed == 13 {
            return Err(HostError::Unplayable(format!("{} 13", scenario.name)));
        }
        Ok(Run { scenario: scenario.name.clone(), seed, ..Run::default() })
    }

    fn needs_exclusive_machine(&self) -> bool {
        self.alone
    }
}

fn echo(alone: bool) -> Echo {
    Echo { alone, now: AtomicUsize::new(0), most: AtomicUsize::new(0) }
}

fn variants() -> Vec<Scenario> {
    ["x", "y", "z"].map(|name| Scenario { name: name.into(), ..Scenario::default() }).to_vec()
}

#[test]
fn each_variant_has_a_result_for_each_seed_in_order() {
    let threads = NonZeroUsize::new(4).unwrap();
    let count = AtomicUsize::new(0);
    let done = || {
        count.fetch_add(1, Ordering::SeqCst);
    };
    let digest = |run: &Run| format!("{}{}", run.scenario, run.seed);
    let got = play(&echo(false), threads, &variants(), &seeds(7, 2), digest, &done).unwrap();
    assert_eq!(got, [["x7", "x8"], ["y7", "y8"], ["z7", "z8"]]);
    assert_eq!(count.into_inner(), 6);
}

#[test]
fn a_host_that_wants_the_machine_to_itself_plays_one_run_at_a_time() {
    let host = echo(true);
    let threads = NonZeroUsize::new(8).unwrap();
    play(&host, threads, &variants(), &seeds(0, 12), |_| (), &|| ()).unwrap();
    assert_eq!(host.most.into_inner(), 1);
}

#[test]
fn the_error_of_the_first_run_that_has_one_is_told() {
    let threads = NonZeroUsize::new(8).unwrap();
    let error = play(&echo(false), threads, &variants(), &seeds(10, 6), |_| (), &|| ()).unwrap_err();
    assert_eq!(error.to_string(), "the scenario cannot be played here: x 13");
}
