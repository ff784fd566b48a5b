//! Measures how long it takes to check histories of a correct register, and of registers with planted faults
//! such as stale reads.

#[path = "../tests/simulated/mod.rs"]
mod simulated;

use history::register::{check, Effort};
use history::Verdict;
use simulated::{Planted, Shape};
use std::time::Instant;

fn main() {
    println!("operations clients keys unknown% planted  verdict      states  core  ms");
    for (operations, clients, keys, unknown) in [
        (10_000, 8, 1, 0),
        (10_000, 8, 1, 5),
        (10_000, 16, 1, 5),
        (10_000, 32, 1, 5),
        (10_000, 16, 100, 5),
        (100_000, 16, 100, 5),
        (100_000, 16, 1, 5),
    ] {
        for planted in [None, Some(Planted::Stale), Some(Planted::Forgets)] {
            let shape = Shape { clients, operations, keys, values: 0, refused: 2, unknown, planted };
            let history = simulated::history(shape, 7);
            let start = Instant::now();
            let verdict = check(&history, &Effort::default());
            let ms = start.elapsed().as_millis();
            let (result, states, core) = match &verdict {
                Verdict::Held(held) => ("held", held.states, 0),
                Verdict::Broken(found) => ("broken", 0, found.first[0].core.len()),
                Verdict::NotDecided(_) => ("not decided", 0, 0),
            };
            let planted = planted.map_or("none".into(), |p| format!("{p:?}"));
            println!("{operations:10} {clients:7} {keys:4} {unknown:8} {planted:8} {result:12} {states:7} {core:5} {ms:5}");
        }
    }
}
