//! Puts the figures of `docs/capacity` into `docs/CAPACITY.md`: `cargo run -p lab --example capacity_page`.
//!
//! Names stay, values and tables are written anew. The test `capacity_page` holds the page against the files.

use lab::report::page::{check, figures::Figures, fill};
use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let docs = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs");
    let page = docs.join("CAPACITY.md");
    let figures = match Figures::read(&docs.join("capacity")) {
        Ok(figures) => figures,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    let text = match std::fs::read_to_string(&page) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("{}: {error}", page.display());
            return ExitCode::FAILURE;
        }
    };
    let faults = match fill(&text, &figures) {
        Ok(filled) => {
            if let Err(error) = std::fs::write(&page, &filled) {
                eprintln!("{}: {error}", page.display());
                return ExitCode::FAILURE;
            }
            check(&filled, &figures)
        }
        Err(faults) => faults,
    };
    for fault in &faults {
        eprintln!("{}: {fault}", page.display());
    }
    if faults.is_empty() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
