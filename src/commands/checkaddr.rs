//! `martenweir checkaddr FILE ADDRESS`: prints whether the address lists of the file admit a client. The exit
//! status is 0 for both results; it is an error if the file or the address cannot be parsed.

use super::print;
use crate::features::file;
use std::net::IpAddr;

pub(super) const USAGE: &str = "martenweir checkaddr FILE ADDRESS";

/// Prints whether the lists of FILE allow or deny a client at ADDRESS
#[derive(Debug, clap::Args)]
#[command(override_usage = USAGE, help_template = super::HELP)]
pub(super) struct Options {
    /// The feature file with the address lists: allow, deny
    #[arg(allow_hyphen_values = true)]
    file: String,
    /// The client's IP address, without a port
    #[arg(allow_hyphen_values = true)]
    address: String,
}

pub(super) fn run(options: &Options) -> Result<(), String> {
    let features = file::load(&options.file)?;
    let address = &options.address;
    let ip: IpAddr = address.parse().map_err(|_| format!("checkaddr: not an address: {address}"))?;
    let admitted = features.addresses.unwrap_or_default().admits(ip);
    print(if admitted { "allow" } else { "deny" }).map_err(|e| format!("checkaddr: {e}"))
}
