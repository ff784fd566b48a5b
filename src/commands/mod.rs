//! The command line. Each subcommand has its own file; without a subcommand the proxy serves ([`serve`]).
//!
//! [`main`] is the whole program, for `src/main.rs` and for programs that run the proxy in a child process.
//! It installs signal handlers and the log, so it must not run beside other work in the same process.
//!
//! Names, messages and exit statuses are an interface for operators and scripts and must not change. A usage
//! error is reported like any other error: as one message on standard error, with exit status 1. Requested
//! help goes to standard output, with exit status 0. clap generates it from the doc comments of the options,
//! each of which is one line.

mod change;
mod checkaddr;
mod control;
mod figurestest;
mod mget;
mod plan;
mod planner;
mod serve;
mod snmp;
mod tap;

use clap::error::{ContextKind, ContextValue, ErrorKind};
use clap::{Parser, Subcommand};
use std::ffi::OsString;
use std::io::{self, Write};
use std::process::ExitCode;

const USAGE: &str = "martenweir [--check] [--conf FILE] [--log-format text|json] [CONFIG]
       martenweir mget ADDRESS CACHE.GET KEY ID PROPERTIES [CACHE.GET ...]
       martenweir tap ADDRESS [class=NAME] [tenant=NAME]
       martenweir checkaddr FILE ADDRESS
       martenweir figurestest [FILE]
       martenweir planner --conf FILE [CONFIG]
       martenweir plan show ADDRESS [--json] [--config CONFIG]
       martenweir control --conf FILE [CONFIG]
       martenweir change submit WHAT ADDRESS...
       martenweir change status|wait CHANGE ADDRESS...
       martenweir snmp get|walk [WHO] ADDRESS [NAME ...]
       martenweir snmp listen [WHO] ADDRESS";
/// Explanation that follows the usage in usage errors.
const DESCRIPTION: &str = "CONFIG is a JSON file; without it NODE_CONFIG names it. FILE enables features, docs/features.md lists its
settings. --check validates both files and exits. --log-format defaults to text.
mget: sends all these reads to the multi-get port at ADDRESS as one command; fails unless each returns a value.
tap: prints a line for each sampled request that matches, as received from the tap port at ADDRESS.
checkaddr: prints whether the lists of FILE allow or deny a client at ADDRESS.
figurestest: sends one sample of each figure to the target named in FILE, or to standard error.
planner: publishes plans computed from the reports of all proxies, on the plannerport of FILE; see docs/planners.md.
plan show: prints the current plan of the planner at ADDRESS.
control: distributes changes to proxies, on the controlport of FILE; see docs/dissemination.md.
change: submits a change to the control machines at ADDRESS..., or shows which proxies have it. WHAT is --purge KEY ... or
--setting LINE ... or --reset NAME; CHANGE is as printed by submit.
snmp: queries the agent at ADDRESS, or prints notifications that are sent to ADDRESS. WHO is --community NAME,
or --user NAME with --conf FILE or --auth sha256 --auth-pass WORDS [--priv-pass WORDS].";
/// Template of all help texts, with the usage in the same form as in usage errors.
const HELP: &str = "usage: {usage}\n\n{about-with-newline}\n{all-args}";

/// A subcommand is only recognised as the first argument, so that a configuration file may be called `tap`.
#[derive(Debug, Parser)]
#[command(
    name = "martenweir",
    version,
    about = "The proxy; with a subcommand a tool for it, whose options `martenweir SUBCOMMAND --help` lists",
    override_usage = USAGE,
    help_template = HELP,
    propagate_version = true,
    no_binary_name = true,
    args_conflicts_with_subcommands = true,
    args_override_self = true,
    disable_help_subcommand = true
)]
struct CommandLine {
    #[command(flatten)]
    serve: serve::Options,
    #[command(subcommand)]
    command: Option<Command>,
}

#[derive(Debug, Subcommand)]
enum Command {
    Mget(mget::Options),
    Tap(tap::Options),
    Checkaddr(checkaddr::Options),
    Figurestest(figurestest::Options),
    Planner(planner::Options),
    #[command(disable_help_subcommand = true)]
    Plan(plan::Options),
    Control(control::Options),
    #[command(disable_help_subcommand = true)]
    Change(change::Options),
    Snmp(snmp::Options),
}

/// Runs the program with the given arguments, without the program name.
pub fn main(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let arguments = escape_port_words(arguments.into_iter().collect());
    let result = match CommandLine::try_parse_from(&arguments) {
        Ok(CommandLine { command: None, serve }) => return serve::run(serve),
        Ok(CommandLine { command: Some(command), .. }) => match command {
            Command::Mget(options) => mget::run(&options),
            Command::Tap(options) => tap::run(&options),
            Command::Checkaddr(options) => checkaddr::run(&options),
            Command::Figurestest(options) => figurestest::run(&options),
            Command::Plan(options) => plan::run(&options),
            Command::Planner(options) => return planner::run(&options),
            Command::Control(options) => return control::run(&options),
            Command::Change(options) => return change::run(&options),
            Command::Snmp(options) => snmp::run(&options),
        },
        Err(error) => match error.kind() {
            ErrorKind::DisplayHelp => print(error.render().to_string().trim_end()),
            ErrorKind::DisplayVersion => print(&format!("martenweir {}", env!("CARGO_PKG_VERSION"))),
            _ => Err(usage_error(&arguments, &error)),
        },
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(what) => fail(&what),
    }
}

/// Inserts `--` after the address of `mget` and `tap` if a help option follows it: all further arguments are
/// sent to the port, also those that are options of this program.
fn escape_port_words(mut arguments: Vec<OsString>) -> Vec<OsString> {
    let port = arguments.first().is_some_and(|word| word == "mget" || word == "tap");
    let help = ["-h", "--help", "-V", "--version"].map(OsString::from);
    let (address, next) = (arguments.get(1), arguments.get(2));
    if port
        && address.is_some_and(|word| !help.contains(word))
        && next.is_some_and(|word| help.contains(word))
    {
        arguments.insert(2, "--".into());
    }
    arguments
}

/// Formats a clap error in the style of this program.
fn usage_error(arguments: &[OsString], error: &clap::Error) -> String {
    let usage = match arguments.first().and_then(|word| word.to_str()) {
        Some("mget") => mget::USAGE,
        Some("tap") => tap::USAGE,
        Some("checkaddr") => checkaddr::USAGE,
        Some("figurestest") => figurestest::USAGE,
        Some("planner") => planner::USAGE,
        Some("plan") => plan::USAGE,
        Some("control") => control::USAGE,
        Some("change") => change::USAGE,
        Some("snmp") => snmp::USAGE,
        _ => "",
    };
    if !usage.is_empty() {
        return format!("usage: {usage}");
    }
    let context = |kind| match error.get(kind) {
        Some(ContextValue::String(text)) => text.as_str(),
        _ => "",
    };
    let (option, value) = (context(ContextKind::InvalidArg), context(ContextKind::InvalidValue));
    let unknown = |option: &str| format!("unknown option {option}\nusage: {USAGE}\n{DESCRIPTION}");
    match error.kind() {
        ErrorKind::UnknownArgument => unknown(option),
        // clap reports the option with its value name: `--conf <FILE>`.
        ErrorKind::InvalidValue | ErrorKind::ValueValidation => match option.split(' ').next() {
            Some("--conf") => "--conf wants a file".into(),
            Some("--log-format") => "--log-format wants text or json".into(),
            _ => unknown(value),
        },
        ErrorKind::TooManyValues => unknown(&format!("{option}={value}")),
        ErrorKind::InvalidUtf8 => "an argument is not valid UTF-8".into(),
        // No other kind of error can occur with this command line.
        _ => format!("usage: {USAGE}\n{DESCRIPTION}"),
    }
}

/// Prints a line to standard output.
fn print(text: &str) -> Result<(), String> {
    writeln!(io::stdout(), "{text}").map_err(|e| e.to_string())
}

/// Prints an error. Failures to write are ignored, since standard error may be closed.
fn fail(what: &str) -> ExitCode {
    let _ = writeln!(io::stderr(), "martenweir: {what}");
    ExitCode::FAILURE
}
