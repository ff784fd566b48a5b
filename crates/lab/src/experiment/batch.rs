//! Many runs of one host: every variant of a scenario with every seed.

use super::parallel;
use crate::host::{Host, HostError, Silent};
use std::num::NonZeroUsize;
use world::outcome::Run;
use world::scenario::Scenario;

/// Plays each variant with each seed and keeps `digest` of every run: for each variant a list by seed. The runs
/// of a host that wants the machine to itself go one at a time. `done` hears of each run that is over.
///
/// # Errors
///
/// The first in the order of variants and seeds; the other runs are played none the less.
pub fn play<R: Send>(
    host: &dyn Host,
    threads: NonZeroUsize,
    variants: &[Scenario],
    seeds: &[u64],
    digest: impl Fn(&Run) -> R + Sync,
    done: &(dyn Fn() + Sync),
) -> Result<Vec<Vec<R>>, HostError> {
    let threads = if host.needs_exclusive_machine() { NonZeroUsize::MIN } else { threads };
    let jobs: Vec<(&Scenario, u64)> =
        variants.iter().flat_map(|variant| seeds.iter().map(move |seed| (variant, *seed))).collect();
    let played = parallel::map(threads, &jobs, |_, (scenario, seed)| {
        let run = host.run(scenario, *seed, &Silent);
        done();
        run.map(|run| digest(&run))
    });
    let mut played = played.into_iter();
    variants.iter().map(|_| played.by_ref().take(seeds.len()).collect()).collect()
}

/// So many seeds from the first on.
pub fn seeds(first: u64, count: u64) -> Vec<u64> {
    (0..count).map(|i| first.wrapping_add(i)).collect()
}

#[cfg(test)]
mod tests;
