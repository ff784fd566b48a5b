//! The command line of `lab`, a file a command.
//!
//! Each command reads its arguments, has the other parts do the work, and says what came of it. Exit statuses:
//! 0 all is well; 1 a run broke a rule, missed what its scenario expects or is void, a search found a failure, or the
//! proxy crashed, hung or leaked; 2 the command line, a file or the machine is at fault, said in one line on standard
//! error.

mod capacity;
mod check;
mod compare;
mod cost;
mod demo;
mod fleet;
mod output;
mod replay;
mod run;
mod search;
mod sweep;
mod worlds;

use crate::host::HostError;
use crate::input::file::FileError;
use crate::input::setting::SettingError;
use crate::report::plot::PlotError;
use crate::search::token::TokenError;
use clap::{Parser, Subcommand};
use std::process::ExitCode;

/// Experiments with the proxy in a world of its own.
#[derive(Debug, Parser)]
#[command(name = "lab", version, about, max_term_width = 110)]
struct Lab {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Play a short payday against the real proxy, with a hang and a slow ledger
    Demo(demo::Demo),
    /// Read scenarios and say what is wrong with them
    Check(check::Check),
    /// Play a scenario
    Run(run::Run),
    /// Play a scenario with several values of its settings, and several seeds
    Sweep(sweep::Sweep),
    /// Play two variants of a scenario on the same seeds and tell which is better
    Compare(compare::Compare),
    /// Draw faults and seeds until a rule is broken, and shrink what breaks it
    Search(search::Search),
    /// Play a failure again that a search has found
    Replay(replay::Replay),
    /// Play schedules of faults between real planners and forwarders on loopback
    Fleet(fleet::Fleet),
    /// Measure what a request through the real proxy costs, beside one straight to a node
    Cost(cost::Cost),
    /// Measure how each role of a fleet grows with its size
    Capacity(capacity::Capacity),
}

/// What a command found; an error is another matter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finding {
    Good,
    Bad,
}

impl Finding {
    fn good_if(good: bool) -> Self {
        if good {
            Finding::Good
        } else {
            Finding::Bad
        }
    }
}

/// Why a command could not do its work.
#[derive(Debug, thiserror::Error)]
enum CommandError {
    #[error(transparent)]
    File(#[from] FileError),
    #[error(transparent)]
    Setting(#[from] SettingError),
    #[error(transparent)]
    Host(#[from] HostError),
    #[error(transparent)]
    Token(#[from] TokenError),
    #[error(transparent)]
    Plot(#[from] PlotError),
    #[error("{what}: {source}")]
    Io { what: String, source: std::io::Error },
    #[error("{0}")]
    Usage(String),
    /// The messages are out already, one a line.
    #[error("")]
    Said,
}

impl From<CommandError> for ExitCode {
    fn from(error: CommandError) -> Self {
        match error {
            CommandError::Host(HostError::Crashed(_) | HostError::Child { .. }) => ExitCode::from(1),
            _ => ExitCode::from(2),
        }
    }
}

/// Runs the command line of this process.
pub fn main() -> ExitCode {
    let lab = Lab::parse();
    let found = match lab.command {
        Command::Check(command) => command.carry_out(),
        Command::Run(command) => command.carry_out(),
        Command::Sweep(command) => command.carry_out(),
        Command::Compare(command) => command.carry_out(),
        Command::Search(command) => command.carry_out(),
        Command::Replay(command) => command.carry_out(),
        Command::Demo(command) => command.carry_out(),
        Command::Cost(command) => command.carry_out(),
        Command::Capacity(command) => command.carry_out(),
        Command::Fleet(command) => command.carry_out(),
    };
    match found {
        Ok(Finding::Good) => ExitCode::SUCCESS,
        Ok(Finding::Bad) => ExitCode::from(1),
        Err(error) => {
            if !matches!(error, CommandError::Said) {
                output::complain(&error.to_string());
            }
            error.into()
        }
    }
}
