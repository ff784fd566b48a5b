//! The dissemination of changes at the users' size, in virtual time: the real machines of `dissemination`, a drawn
//! geography, faults, and judges that look from outside.
//!
//! | file | owns |
//! | --- | --- |
//! | [`network`] | connections in virtual time, and clocks that are off |
//! | [`scenario`] | what befalls the fleet |
//! | [`places`] | who stands where, and which part of the fleet a fault means |
//! | [`judge`] | the rules, and what is counted |
//! | [`clients`] | submissions, and questions of status |
//! | [`engine`] | the loop: moves messages and time |
//! | [`figures`] | what a run comes to |
//! | [`baseline`] | the same faults for what stands today: planners and forwarders |
//!
//! One seed, one run: equal settings give equal counts. Processor time is the exception.

pub mod baseline;
pub mod clients;
pub mod engine;
pub mod figures;
pub mod judge;
pub mod network;
pub mod places;
pub mod scenario;

/// A machine of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    /// By its place in the control list.
    Control(u8),
    /// By its number.
    Proxy(u32),
    /// Somebody who submits, or asks for the status.
    Client(u16),
}

use cost::counting;
use engine::{Setting, World};
use scenario::Scenario;
use serde::{Deserialize, Serialize};
use std::time::Instant;

/// A scenario played for the dissemination, and for what stands today.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Measured {
    pub dissemination: figures::Report,
    pub baseline: Option<baseline::Report>,
}

/// Plays a scenario. Heaps are measured where the program's allocator is [`counting::CountingAllocator`].
/// It fails on rules that do not fit.
pub fn measure(setting: Setting, scenario: Scenario, baseline: bool) -> Result<Measured, &'static str> {
    let baseline = if baseline { Some(baseline::play(&setting, scenario.clone())?) } else { None };
    let from = Instant::now();
    let mut world = World::new(setting, scenario)?;
    world.play();
    let took = from.elapsed().as_secs_f64();
    let freed = |work: &mut dyn FnMut()| {
        let before = counting::bytes_held();
        work();
        u64::try_from(before - counting::bytes_held()).ok().filter(|b| *b > 0)
    };
    Ok(Measured { dissemination: figures::report(world, took, &freed), baseline })
}
