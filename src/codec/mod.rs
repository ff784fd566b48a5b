//! The project's own parsers and encoders: pure, incremental and bounded in size.
//!
//! A parser is given all bytes received so far. It returns `Ok(None)` until a whole message is there, then
//! the message and the number of bytes it took; `Err` means that no further bytes can make the input valid.

pub mod discovery;
pub mod http;
pub mod proxy;
pub mod resp;

/// Why the input is malformed: for the log and for a downstream's `-ERR`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub &'static str);

pub type Parsed<T> = Result<Option<(T, usize)>, Malformed>;

/// The first line in `bytes` (without its CRLF) and its length in bytes, if it is complete and no longer than
/// `most`.
pub(crate) fn line(bytes: &[u8], most: usize) -> Parsed<&[u8]> {
    match bytes.iter().take(most + 2).position(|b| *b == b'\n') {
        Some(at) if at > 0 && bytes[at - 1] == b'\r' => Ok(Some((&bytes[..at - 1], at + 1))),
        Some(_) => Err(Malformed("a line does not end in CRLF")),
        None if bytes.len() > most + 1 => Err(Malformed("a line is too long")),
        None => Ok(None),
    }
}

/// Parses a decimal length of at most `most`.
pub(crate) fn length(digits: &[u8], most: usize) -> Option<usize> {
    let ok = !digits.is_empty() && digits.len() <= 10 && digits.iter().all(u8::is_ascii_digit);
    let n = digits.iter().filter(|_| ok).fold(0usize, |n, d| n * 10 + usize::from(d - b'0'));
    Some(n).filter(|n| ok && *n <= most)
}

/// Parses a load report (`inflight=7,util=0.61`) into the values of `columns`, NaN where one is absent.
/// Returns an empty list if the text contains no known column, or if a value is not a finite, non-negative
/// number.
pub fn report(text: &[u8], columns: &[String]) -> Vec<f32> {
    let text = std::str::from_utf8(text).unwrap_or("");
    let mut values = vec![f32::NAN; columns.len()];
    for (name, value) in text.split([',', ' ']).filter_map(|pair| pair.split_once('=')) {
        let at = columns.iter().position(|c| c == name.trim());
        let Some(at) = at else { continue };
        match value.trim().parse::<f32>() {
            Ok(x) if x.is_finite() && x >= 0.0 => values[at] = x,
            _ => return Vec::new(),
        }
    }
    if values.iter().all(|x| x.is_nan()) {
        Vec::new()
    } else {
        values
    }
}
