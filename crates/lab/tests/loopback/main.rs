//! Whole runs on loopback: the real program as child processes, the stand-ins and the clients; and scripted
//! peers.

mod children;
mod clients;
mod cost;
mod demo;
mod scripted;
mod slow_start;
mod whole;

use lab::loopback::children::Program;
use lab::loopback::Proxies;
use std::path::Path;

/// The real proxy, as the lab itself starts it.
fn program() -> Program {
    Program::of_lab(Path::new(env!("CARGO_BIN_EXE_lab"))).expect("the lab's program")
}

fn proxies() -> Proxies {
    Proxies::Program(program())
}
