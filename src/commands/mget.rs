//! `martenweir mget ADDRESS CACHE.GET KEY ID PROPERTIES [CACHE.GET ...]`: sends a multi-get and prints a line
//! for each element of the answer. Fails if the answer is not COMPLETE.

use crate::codec::{length, resp};
use std::io::{self, BufRead, BufReader, ErrorKind, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

pub(super) const USAGE: &str = "martenweir mget ADDRESS CACHE.GET KEY ID PROPERTIES [CACHE.GET ...]";
/// Read timeout, added to the longest deadline (`d`) of the reads.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_DEADLINE: Duration = Duration::from_secs(3600);
/// Maximum length of an answer line that is not a value.
const MAX_LINE: u64 = 4096;

/// Sends all these reads to the multi-get port at ADDRESS as one command; fails unless each returns a value
#[derive(Debug, clap::Args)]
#[command(override_usage = USAGE, help_template = super::HELP)]
pub(super) struct Options {
    /// Host and port of the multi-get port
    #[arg(allow_hyphen_values = true)]
    address: String,
    /// The reads, each CACHE.GET KEY ID PROPERTIES, sent unchanged; the property d=MS is a read's deadline
    #[arg(required = true, trailing_var_arg = true, allow_hyphen_values = true)]
    reads: Vec<String>,
}

pub(super) fn run(options: &Options) -> Result<(), String> {
    let address = &options.address;
    // Each read extends up to the next command name.
    let mut commands: Vec<Vec<&[u8]>> = Vec::new();
    for word in &options.reads {
        match commands.last_mut() {
            Some(command) if !word.to_ascii_uppercase().starts_with("CACHE.") => {
                command.push(word.as_bytes())
            }
            _ => commands.push(vec![word.as_bytes()]),
        }
    }
    let n = commands.len().to_string();
    let has_header =
        commands.first().and_then(|c| c.first()).is_some_and(|w| w.eq_ignore_ascii_case(b"CACHE.MGET"));
    if !has_header {
        commands.insert(0, vec![b"CACHE.MGET", n.as_bytes()]);
    }
    let mut out = Vec::new();
    commands.iter().for_each(|c| resp::put_command(&mut out, c));
    let max_deadline =
        options.reads.iter().flat_map(|w| w.split(',')).filter_map(|p| p.strip_prefix("d=")?.parse().ok());
    let max_deadline = max_deadline.max().map_or(Duration::ZERO, Duration::from_millis);
    let exchange = || -> io::Result<bool> {
        let mut socket = TcpStream::connect(address)?;
        socket.set_read_timeout(Some(ANSWER_TIMEOUT + max_deadline.min(MAX_DEADLINE)))?;
        socket.write_all(&out)?;
        let mut from = BufReader::new(socket);
        let head = line(&mut from)?;
        let Some(elements) = head.strip_prefix('*').and_then(|n| n.parse::<usize>().ok()) else {
            println(&head)?;
            return Ok(false);
        };
        let mut complete = true;
        for i in 0..elements {
            let text = element(&mut from)?;
            complete &= i > 0 || text == "COMPLETE";
            println(&text)?;
        }
        Ok(complete)
    };
    match exchange() {
        Ok(true) => Ok(()),
        Ok(false) => Err("mget: not complete".into()),
        Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
            Err(format!("mget: no answer from {address}"))
        }
        Err(e) => Err(format!("mget: {address}: {e}")),
    }
}

/// Prints a line. Values are arbitrary bytes, so control characters are escaped.
fn println(text: &str) -> io::Result<()> {
    let shown: String = text
        .chars()
        .flat_map(|c| if c.is_control() { c.escape_default().collect() } else { vec![c] })
        .collect();
    writeln!(io::stdout(), "{shown}")
}

fn line(from: &mut impl BufRead) -> io::Result<String> {
    let mut bytes = Vec::new();
    from.by_ref().take(MAX_LINE).read_until(b'\n', &mut bytes)?;
    match bytes.strip_suffix(b"\r\n") {
        Some(text) => Ok(String::from_utf8_lossy(text).into_owned()),
        None => Err(io::Error::new(ErrorKind::UnexpectedEof, "closed before the answer was complete")),
    }
}

fn element(from: &mut impl BufRead) -> io::Result<String> {
    let head = line(from)?;
    let Some(digits) = head.strip_prefix('$') else { return Ok(head) };
    let invalid = || io::Error::new(ErrorKind::InvalidData, "not an answer to a multi-get");
    let n = length(digits.as_bytes(), resp::MAX_VALUE).ok_or_else(invalid)?;
    let mut value = vec![0; n + 2];
    from.read_exact(&mut value)?;
    Ok(String::from_utf8_lossy(&value[..n]).into_owned())
}
