//! Keeps a child process from outliving the lab. This code runs in the child itself, before it executes the
//! proxy.
//!
//! Linux kills the child when the thread that started it ends (PR_SET_PDEATHSIG of prctl(2), preserved across
//! execve(2)). The thread that starts children must therefore live as long as they should.
//!
//! A process with a file size limit ignores SIGXFSZ, which would otherwise kill it (setrlimit(2)); an ignored
//! signal stays ignored across execve(2). Ignoring a signal requires unsafe code, so a shell does it before
//! it executes the program.

use super::Limits;
use crate::fleet::plant::plant;
use async_signal::{Signal as AsyncSignal, Signals};
use rustix::process::{getppid, getrlimit, set_parent_process_death_signal, setrlimit};
use rustix::process::{Resource, Rlimit, Signal};
use std::ffi::OsString;
use std::io::{self, Write};
use std::os::unix::process::CommandExt;
use std::process::{Command, ExitCode};
use std::sync::OnceLock;

/// Hidden subcommands of the lab that start a child: the proxy built into the lab binary, or another program.
/// Each is followed by the parent's process id and the limits ([`limits_argument`]).
pub const PROXY: &str = "guarded-proxy";
pub const PROGRAM: &str = "guarded-program";

/// Environment variables that pass the guard's arguments to a test binary: this one holds their number, and
/// one with each index as a suffix holds an argument.
const ARGUMENTS_VARIABLE: &str = "LAB_GUARD_WORDS";

/// Shell script that ignores SIGXFSZ and then executes the program.
const IGNORE_SIGXFSZ_SCRIPT: &str = "trap '' XFSZ; exec \"$0\" \"$@\"";

/// Why a guarded process cannot start.
#[derive(Debug, thiserror::Error)]
enum GuardError {
    #[error("usage: PARENT DESCRIPTORS[,FILE_BYTES] [PROGRAM...]")]
    Usage,
    #[error("the parent lab process has ended")]
    Orphan,
    #[error("{0}: {1}")]
    System(&'static str, io::Error),
}

/// The argument that passes the limits to a guard: the number of descriptors, then after a comma the file
/// size in bytes.
pub(super) fn limits_argument(limits: Limits) -> OsString {
    let files = limits.file_bytes.map(|bytes| format!(",{bytes}")).unwrap_or_default();
    format!("{}{files}", limits.descriptors).into()
}

/// The file size limit for `bytes`; `u64::MAX` means no limit.
pub(super) fn file_limit(bytes: u64) -> Rlimit {
    // The hard limit stays that of the lab, which its children inherit, so that the lab can raise the soft
    // limit again.
    let maximum = getrlimit(Resource::Fsize).maximum;
    let bytes = bytes.min(maximum.unwrap_or(u64::MAX));
    Rlimit { current: Some(bytes).filter(|b| *b < u64::MAX), maximum }
}

/// Ties this process to its parent and sets the limits given by the first two arguments. Returns whether
/// files are limited, and the remaining arguments.
fn apply(arguments: impl IntoIterator<Item = OsString>) -> Result<(bool, Vec<OsString>), GuardError> {
    let mut arguments = arguments.into_iter();
    let mut argument = || arguments.next()?.into_string().ok();
    let (parent, limits) = (argument().ok_or(GuardError::Usage)?, argument().ok_or(GuardError::Usage)?);
    let (descriptors, files) = match limits.split_once(',') {
        Some((descriptors, files)) => (descriptors, Some(files)),
        None => (&*limits, None),
    };
    let number = |text: &str| text.parse::<u64>().map_err(|_| GuardError::Usage);
    let (parent, descriptors) = (number(&parent)?, number(descriptors)?);
    let files = files.map(number).transpose()?;
    set_parent_process_death_signal(Some(Signal::KILL)).map_err(|e| GuardError::System("prctl", e.into()))?;
    // The parent may have exited before the prctl(2) call.
    if getppid().is_none_or(|p| p.as_raw_pid() as u64 != parent) {
        return Err(GuardError::Orphan);
    }
    let set = |what, limit| setrlimit(what, limit).map_err(|e| GuardError::System("setrlimit", e.into()));
    set(Resource::Nofile, Rlimit { current: Some(descriptors), maximum: Some(descriptors) })?;
    files.map_or(Ok(()), |bytes| set(Resource::Fsize, file_limit(bytes)))?;
    Ok((files.is_some(), arguments.collect()))
}

/// Makes this process ignore SIGXFSZ, by registering a handler that is never read, until it exits.
fn ignore_sigxfsz() -> Result<(), GuardError> {
    static SIGNALS: OnceLock<Signals> = OnceLock::new();
    let signals =
        Signals::new([AsyncSignal::Xfsz]).map_err(|e| GuardError::System("cannot handle SIGXFSZ", e))?;
    let _ = SIGNALS.set(signals);
    Ok(())
}

/// Runs this process as a child of the lab if its first argument says so. Must be called before anything
/// else.
pub fn run_if_child() -> Option<ExitCode> {
    let mut arguments = std::env::args_os().skip(1);
    let error = match arguments.next()?.to_str()? {
        PROXY => match prepare_proxy(arguments) {
            // The environment names the configuration, as on the platform.
            Ok(arguments) => {
                plant();
                return Some(martenweir::commands::main(arguments));
            }
            Err(error) => error,
        },
        PROGRAM => exec_program(arguments),
        _ => return None,
    };
    let _ = writeln!(io::stderr(), "lab: {error}");
    Some(ExitCode::FAILURE)
}

fn prepare_proxy(arguments: impl IntoIterator<Item = OsString>) -> Result<Vec<OsString>, GuardError> {
    let (files, arguments) = apply(arguments)?;
    if files {
        ignore_sigxfsz()?;
    }
    Ok(arguments)
}

/// Executes the program named after the first two arguments. Returns only on failure.
fn exec_program(arguments: impl IntoIterator<Item = OsString>) -> GuardError {
    let (files, arguments) = match apply(arguments) {
        Ok(applied) => applied,
        Err(error) => return error,
    };
    let Some((program, rest)) = arguments.split_first() else { return GuardError::Usage };
    let mut command = match files {
        true => Command::new("/bin/sh"),
        false => Command::new(program),
    };
    if files {
        command.args(["-c", IGNORE_SIGXFSZ_SCRIPT]).arg(program);
    }
    // The variables that pass the guard's arguments to a test binary are not meant for the program.
    for (name, _) in
        std::env::vars_os().filter(|(name, _)| name.to_string_lossy().starts_with(ARGUMENTS_VARIABLE))
    {
        command.env_remove(name);
    }
    GuardError::System("cannot execute the proxy", command.args(rest).exec())
}

/// Passes the guard's arguments to a test binary; [`run_in_test`] reads them.
pub(super) fn pass_arguments(command: &mut Command, arguments: &[OsString]) {
    command.env(ARGUMENTS_VARIABLE, arguments.len().to_string());
    for (at, argument) in arguments.iter().enumerate() {
        command.env(format!("{ARGUMENTS_VARIABLE}_{at}"), argument);
    }
}

/// The guard for tests of another package, which cannot use the lab binary: an ignored test that only calls
/// this function. [`super::Program::of_test`] starts the package's children as that test. Does nothing if the
/// test was not started that way.
pub fn run_in_test() {
    let Some(arguments) = std::env::var(ARGUMENTS_VARIABLE).ok().and_then(|n| n.parse::<usize>().ok()) else {
        return;
    };
    let arguments = (0..arguments).map_while(|at| std::env::var_os(format!("{ARGUMENTS_VARIABLE}_{at}")));
    let error = exec_program(arguments);
    // The test harness captures `eprintln!`; this writes to the child's real standard error.
    let _ = writeln!(io::stderr(), "lab: {error}");
    std::process::exit(1);
}
