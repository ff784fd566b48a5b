//! The stand-ins of the review's cases: clients, servers and the platform, with the standard library alone.
//!
//! `standin CASE FOLDER` plays a case, from the repository's root, and writes FOLDER/record.txt. The exit status
//! is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With `TROUBLE=0` in the
//! environment the case is played without its disruption.

#![forbid(unsafe_code)]

mod gone;
mod held_answers;
mod large_writes;
mod pipelines;
mod proxy;
mod record;
mod resp;
mod servers;
mod site;

use record::Record;
use std::path::Path;
use std::process::ExitCode;
use std::sync::Arc;

/// The result of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Held,
    Broken,
}

impl Verdict {
    pub fn broken_if(broken: bool) -> Self {
        if broken {
            Verdict::Broken
        } else {
            Verdict::Held
        }
    }
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let played = Record::create(Path::new(folder)).and_then(|record| {
        let record = Arc::new(record);
        let verdict = match case.as_str() {
            "memory" => held_answers::play(&record, held_answers::MEMORY, trouble),
            "answers" => held_answers::play(&record, held_answers::ANSWERS, trouble),
            "writes" => large_writes::play(&record, trouble),
            "gone" => gone::play(&record, trouble),
            other => Err(std::io::Error::other(format!("no such case: {other}"))),
        };
        record.line(&format!("{verdict:?}"));
        record.flush();
        verdict
    });
    match played {
        Ok(Verdict::Held) => ExitCode::SUCCESS,
        Ok(Verdict::Broken) => ExitCode::from(1),
        Err(why) => {
            eprintln!("standin: {why}");
            ExitCode::from(2)
        }
    }
}
