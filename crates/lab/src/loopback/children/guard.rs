//! How a process makes sure that it does not outlive the lab: said by the process itself before it becomes, or runs,
//! the proxy.
//!
//! Linux kills it when the thread that started it is gone (PR_SET_PDEATHSIG of prctl(2), kept across execve(2)).
//! So the thread that starts children must live as long as they are to.
//!
//! A process whose files may be limited ignores SIGXFSZ, which setrlimit(2) would have end it; a program inherits that
//! over execve(2). To ignore a signal takes a call that is not safe, so a shell makes it, on the way to the program.

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

/// The hidden subcommands of the lab that a child is started with: the proxy in the lab's own program, or another
/// program. Each is followed by the parent's process number and the limits ([`limits`]).
pub const PROXY: &str = "guarded-proxy";
pub const PROGRAM: &str = "guarded-program";

/// The variables that tell the guard in a test program its words: how many, and each behind its number.
const ARGUMENTS_VARIABLE: &str = "LAB_GUARD_WORDS";

/// What makes the shell become a program that does not hear SIGXFSZ.
const IGNORE_SIGXFSZ_SCRIPT: &str = "trap '' XFSZ; exec \"$0\" \"$@\"";

/// Why a guarded process cannot begin.
#[derive(Debug, thiserror::Error)]
enum GuardError {
    #[error("wanted: PARENT DESCRIPTORS[,FILE_BYTES] [PROGRAM...]")]
    Usage,
    #[error("the lab has ended")]
    Orphan,
    #[error("{0}: {1}")]
    System(&'static str, io::Error),
}

/// The word that tells a guard these limits: descriptors, and behind a comma the bytes of a file.
pub(super) fn limits_argument(limits: Limits) -> OsString {
    let files = limits.file_bytes.map(|bytes| format!(",{bytes}")).unwrap_or_default();
    format!("{}{files}", limits.descriptors).into()
}

/// `u64::MAX` is no limit.
pub(super) fn file_limit(bytes: u64) -> Rlimit {
    // The hard limit stays what the lab has, which its children inherit: so it can take this one back.
    let maximum = getrlimit(Resource::Fsize).maximum;
    let bytes = bytes.min(maximum.unwrap_or(u64::MAX));
    Rlimit { current: Some(bytes).filter(|b| *b < u64::MAX), maximum }
}

/// Binds this process to its parent and to the limits that its first two words tell; whether files are limited, and
/// the words that are left.
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
    // It may have ended before the line above.
    if getppid().is_none_or(|p| p.as_raw_pid() as u64 != parent) {
        return Err(GuardError::Orphan);
    }
    let set = |what, limit| setrlimit(what, limit).map_err(|e| GuardError::System("setrlimit", e.into()));
    set(Resource::Nofile, Rlimit { current: Some(descriptors), maximum: Some(descriptors) })?;
    files.map_or(Ok(()), |bytes| set(Resource::Fsize, file_limit(bytes)))?;
    Ok((files.is_some(), arguments.collect()))
}

/// Has the signal heard by nobody in this process, for as long as it lives.
fn ignore_sigxfsz() -> Result<(), GuardError> {
    static SIGNALS: OnceLock<Signals> = OnceLock::new();
    let signals = Signals::new([AsyncSignal::Xfsz]).map_err(|e| GuardError::System("SIGXFSZ", e))?;
    let _ = SIGNALS.set(signals);
    Ok(())
}

/// Runs as a child of the lab, if the first argument of this process says so. To be asked before anything else.
pub fn run_if_child() -> Option<ExitCode> {
    let mut arguments = std::env::args_os().skip(1);
    let error = match arguments.next()?.to_str()? {
        PROXY => match prepare_proxy(arguments) {
            // Its configuration is named in the environment, as on the platform.
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

/// Becomes the program that the words after the first two name. Returns only if it cannot.
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
    // A test's guard is told by variables, which are not for the program.
    for (name, _) in
        std::env::vars_os().filter(|(name, _)| name.to_string_lossy().starts_with(ARGUMENTS_VARIABLE))
    {
        command.env_remove(name);
    }
    GuardError::System("cannot start the proxy", command.args(rest).exec())
}

/// Tells a guard in a test program its words; [`run_in_test`] reads them.
pub(super) fn pass_arguments(command: &mut Command, arguments: &[OsString]) {
    command.env(ARGUMENTS_VARIABLE, arguments.len().to_string());
    for (at, argument) in arguments.iter().enumerate() {
        command.env(format!("{ARGUMENTS_VARIABLE}_{at}"), argument);
    }
}

/// The guard as a test of another package, whose tests have none of the lab's programs: an ignored test that does
/// nothing but call this. Such a package's children are started by [`super::Program::of_test`], as that test. It does
/// nothing where nobody has started it so.
pub fn run_in_test() {
    let Some(arguments) = std::env::var(ARGUMENTS_VARIABLE).ok().and_then(|n| n.parse::<usize>().ok()) else {
        return;
    };
    let arguments = (0..arguments).map_while(|at| std::env::var_os(format!("{ARGUMENTS_VARIABLE}_{at}")));
    let error = exec_program(arguments);
    // The test program's own standard error is captured; this is the child's.
    let _ = writeln!(io::stderr(), "lab: {error}");
    std::process::exit(1);
}
