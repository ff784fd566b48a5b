//! `lab replay`: a failure again, from its token.

use super::output::{say, Out};
use super::worlds::{virtual_host, PlantName};
use super::{run, CommandError, Finding};
use crate::report::result::World;
use crate::search::token::Token;
use clap::ValueEnum;

#[derive(Debug, clap::Args)]
pub struct Replay {
    /// As a search has printed it
    #[arg(value_name = "TOKEN")]
    token: String,
    /// Print the scenario as a file instead of playing it
    #[arg(long)]
    show: bool,
    #[command(flatten)]
    out: Out,
}

impl Replay {
    pub fn carry_out(self) -> Result<Finding, CommandError> {
        let token = Token::read(&self.token)?;
        if self.show {
            say(&super::search::as_file(&token)?);
            return Ok(Finding::Good);
        }
        let plant = token.plant.as_deref().map(|name| {
            PlantName::from_str(name, false)
                .map_err(|_| CommandError::Usage(format!("no planted fault '{name}' here")))
        });
        let host = virtual_host(plant.transpose()?);
        run::play(&*host, World::Virtual, &token.scenario, token.seed, &[], &self.out)
    }
}
