//! `martenweir tap ADDRESS [class=NAME] [tenant=NAME]`: sends the filter to a tap port and prints the lines
//! until the proxy closes the connection. Fails if the proxy refuses the filter or cuts off the connection.

use crate::features::tap::{CUT, REFUSED};
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

pub(super) const USAGE: &str = "martenweir tap ADDRESS [class=NAME] [tenant=NAME]";
/// Longer than any line that the proxy sends.
const MAX_LINE: u64 = 64 * 1024;

/// Prints a line for each sampled request that matches, as received from the tap port at ADDRESS
#[derive(Debug, clap::Args)]
#[command(override_usage = USAGE, help_template = super::HELP)]
pub(super) struct Options {
    /// Host and port of the tap port
    #[arg(allow_hyphen_values = true)]
    address: String,
    // Sent to the proxy unchanged, which parses them.
    /// class=NAME, tenant=NAME or both [default: all that is sampled]
    #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
    filter: Vec<String>,
}

pub(super) fn run(options: &Options) -> Result<(), String> {
    let address = &options.address;
    let failed = |e: io::Error| format!("tap: {address}: {e}");
    let mut socket = TcpStream::connect(address).map_err(failed)?;
    writeln!(socket, "{}", options.filter.join(" ")).map_err(failed)?;
    let mut from = BufReader::new(socket);
    loop {
        let mut line = Vec::new();
        (&mut from).take(MAX_LINE).read_until(b'\n', &mut line).map_err(failed)?;
        if line.is_empty() {
            return Ok(());
        }
        if let Some(why) = line.strip_prefix(REFUSED.as_bytes()) {
            return Err(format!("tap: refused: {}", String::from_utf8_lossy(why).trim_end()));
        }
        let mut out = io::stdout().lock();
        if out.write_all(&line).and_then(|()| out.flush()).is_err() {
            // Standard output is closed, which is no error.
            return Ok(());
        }
        if line == CUT {
            return Err("tap: cut off by the proxy".into());
        }
    }
}
