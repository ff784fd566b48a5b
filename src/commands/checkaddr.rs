//! `martenweir checkaddr FILE ADDRESS`: whether the file's address lists let a caller in. It says so and is
//! content either way; it fails where the file or the address cannot be read.

use super::print;
use crate::features::file;
use std::net::IpAddr;

pub(super) const USAGE: &str = "martenweir checkaddr FILE ADDRESS";

/// Prints allow or deny, as FILE has it for a caller at ADDRESS
#[derive(Debug, clap::Args)]
#[command(override_usage = USAGE, help_template = super::HELP)]
pub(super) struct Options {
    /// The file of features with the lists: allow, deny
    #[arg(allow_hyphen_values = true)]
    file: String,
    /// The caller's IP address, without a port
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
