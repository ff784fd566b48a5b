//! Faults that a lab built with the feature `planted` can inject into its own guarded proxies, to show that
//! the rules can be violated and that a search finds the violation. The program `martenweir` contains none of
//! this: the guard plants the fault before it becomes the proxy.

#[cfg(feature = "planted")]
use plan::rules::Planted;

/// Plantable faults by name.
#[cfg(feature = "planted")]
const FAULTS: [(&str, Planted); 3] = [
    // The silence of a planner that has just started counts as a statement that nodes are alive. To show, it
    // needs a silent node and planners that restart meanwhile.
    ("empty_counts", Planted::EmptyCounts),
    ("no_stay", Planted::NoStay),
    ("one_witness", Planted::OneWitness),
];

/// Checks that a fault of this name exists.
///
/// # Errors
///
/// There is no such fault; the message lists the known ones.
#[cfg(feature = "planted")]
pub fn known(name: &str) -> Result<(), String> {
    let names: Vec<&str> = FAULTS.iter().map(|(n, _)| *n).collect();
    if names.contains(&name) {
        return Ok(());
    }
    Err(format!("no planted fault '{name}', there are {}", names.join(", ")))
}

/// Always fails: faults exist only with the feature `planted`.
///
/// # Errors
///
/// This lab was built without the feature.
#[cfg(not(feature = "planted"))]
pub fn known(name: &str) -> Result<(), String> {
    Err(format!("no planted fault '{name}': this lab was built without the feature 'planted'"))
}

/// Plants the fault named by the variable [`super::play::PLANT`] in this process. Does nothing without the
/// feature.
pub fn plant() {
    #[cfg(feature = "planted")]
    if let Some(name) = std::env::var(super::play::PLANT).ok().filter(|n| !n.is_empty()) {
        if let Some((_, fault)) = FAULTS.iter().find(|(n, _)| *n == name) {
            plan::rules::plant(*fault);
        }
    }
}
