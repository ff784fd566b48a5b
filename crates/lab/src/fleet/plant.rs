//! Faults that a lab built with the feature `planted` can plant in its own guarded proxies, to show that what must hold
//! can break and that a search finds it. The program `martenweir` has none of this: the guard plants before it becomes
//! the proxy.

#[cfg(feature = "planted")]
use plan::rules::Planted;

/// Faults by name, and what they do.
#[cfg(feature = "planted")]
const FAULTS: [(&str, Planted); 3] = [
    // What a planner that has just started does not say counts as its word that nodes live: it takes a node that is
    // silent and planners that start anew meanwhile.
    ("empty_counts", Planted::EmptyCounts),
    ("no_stay", Planted::NoStay),
    ("one_witness", Planted::OneWitness),
];

/// Whether there is a fault of this name here; else what is wanted.
///
/// # Errors
///
/// There is none.
#[cfg(feature = "planted")]
pub fn known(name: &str) -> Result<(), String> {
    let names: Vec<&str> = FAULTS.iter().map(|(n, _)| *n).collect();
    if names.contains(&name) {
        return Ok(());
    }
    Err(format!("no planted fault '{name}', there are {}", names.join(", ")))
}

/// See the other.
///
/// # Errors
///
/// This lab was built without any.
#[cfg(not(feature = "planted"))]
pub fn known(name: &str) -> Result<(), String> {
    Err(format!("no planted fault '{name}': this lab was built without the feature 'planted'"))
}

/// Plants in this process what the lab that started it names in [`super::play::PLANT`]. Nothing without the feature.
pub fn plant() {
    #[cfg(feature = "planted")]
    if let Some(name) = std::env::var(super::play::PLANT).ok().filter(|n| !n.is_empty()) {
        if let Some((_, fault)) = FAULTS.iter().find(|(n, _)| *n == name) {
            plan::rules::plant(*fault);
        }
    }
}
