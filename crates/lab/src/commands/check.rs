//! `lab check`: reads scenarios; what is wrong is one line with file, line and what is wanted.

use super::{output, CommandError, Finding};
use crate::input::file;
use std::path::PathBuf;
use world::scenario::Scenario;

#[derive(Debug, clap::Args)]
pub struct Check {
    /// Scenario files
    #[arg(required = true, value_name = "FILE")]
    files: Vec<PathBuf>,
}

impl Check {
    /// Reads all of them; each file that is wrong has its line on standard error.
    pub fn carry_out(self) -> Result<Finding, CommandError> {
        let mut wrong = false;
        for path in &self.files {
            match file::read::<Scenario>(path) {
                Ok(s) => {
                    let nodes: u64 = s.nodes.iter().map(|group| u64::from(group.count)).sum();
                    output::say(&format!(
                        "{}: right: {} s, {}, {}, {} requests a second, {}\n",
                        path.display(),
                        s.seconds,
                        counted(s.proxies.count.into(), "proxy", "proxies"),
                        counted(nodes, "node", "nodes"),
                        s.clients.rate_per_s,
                        counted(s.faults.len() as u64, "fault", "faults")
                    ));
                }
                Err(error) => {
                    output::complain(&error.to_string());
                    wrong = true;
                }
            }
        }
        if wrong {
            return Err(CommandError::Said);
        }
        Ok(Finding::Good)
    }
}

fn counted(n: u64, one: &str, more: &str) -> String {
    format!("{n} {}", if n == 1 { one } else { more })
}
