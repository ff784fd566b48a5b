//! Reads past commands without holding them, for a reader that has no room for more.

use super::{line, word_length, words_of, Malformed, MAX_HEAD, MIN_WORD};

/// What the next bytes belong to.
#[derive(Debug, Default)]
enum State {
    #[default]
    Command,
    /// The line of a word; this many words are left, including this one.
    Word(usize),
    /// The bytes of a word and its line end, of which this many are left, and the number of words behind it.
    Body(usize, usize),
}

/// An incremental reader of commands that keeps nothing but the beginning of a line.
#[derive(Debug, Default)]
pub struct CommandSkipper {
    state: State,
    /// The bytes of an incomplete line.
    head: Vec<u8>,
}

impl CommandSkipper {
    /// Whether a part of a command was read.
    pub fn is_mid_command(&self) -> bool {
        !matches!(self.state, State::Command) || !self.head.is_empty()
    }

    /// How many bytes the rest of the command has at least.
    pub fn least_left(&self) -> usize {
        match self.state {
            State::Command => 0,
            State::Word(words) => words * MIN_WORD - self.head.len().min(MIN_WORD),
            State::Body(left, words) => left + words * MIN_WORD,
        }
    }

    /// Reads past all `bytes`; returns how many commands were completed.
    ///
    /// # Errors
    ///
    /// The bytes are not those of commands.
    pub fn skip(&mut self, mut bytes: &[u8]) -> Result<usize, Malformed> {
        let mut commands = 0;
        while !bytes.is_empty() {
            let passed = self.skip_one(bytes)?;
            bytes = &bytes[passed..];
            commands += usize::from(!self.is_mid_command());
        }
        Ok(commands)
    }

    /// Reads past bytes up to the end of the command that they begin or continue; returns how many. Afterwards
    /// [`CommandSkipper::is_mid_command`] tells whether the command goes on.
    ///
    /// # Errors
    ///
    /// The bytes are not those of a command.
    pub fn skip_one(&mut self, bytes: &[u8]) -> Result<usize, Malformed> {
        let mut rest = bytes;
        while !rest.is_empty() {
            self.state = match self.state {
                State::Body(left, words) => {
                    let passed = left.min(rest.len());
                    check_line_end(&rest[..passed], left)?;
                    rest = &rest[passed..];
                    match left - passed {
                        0 => State::Word(words),
                        left => State::Body(left, words),
                    }
                }
                State::Command => match self.next_line(&mut rest, words_of)? {
                    Some(words) => State::Word(words),
                    None => break,
                },
                State::Word(words) => {
                    match self.next_line(&mut rest, |head| word_length(head, words == 1))? {
                        Some(length) => State::Body(length + 2, words - 1),
                        None => break,
                    }
                }
            };
            if matches!(self.state, State::Word(0)) {
                self.state = State::Command;
                break;
            }
        }
        Ok(bytes.len() - rest.len())
    }

    /// Takes bytes up to the end of a line; returns what `parse` makes of the line once it is complete.
    fn next_line(
        &mut self,
        bytes: &mut &[u8],
        parse: impl FnOnce(&[u8]) -> Result<usize, Malformed>,
    ) -> Result<Option<usize>, Malformed> {
        if self.head.is_empty() {
            if let Some((head, taken)) = line(bytes, MAX_HEAD)? {
                *bytes = &bytes[taken..];
                return parse(head).map(Some);
            }
        }
        // One byte more than the longest line, so that a longer one is recognised.
        let wanted = (MAX_HEAD + 2).saturating_sub(self.head.len());
        let end = bytes.iter().position(|b| *b == b'\n').map_or(bytes.len(), |at| at + 1);
        let taken = end.min(wanted);
        self.head.extend_from_slice(&bytes[..taken]);
        *bytes = &bytes[taken..];
        let Some((head, _)) = line(&self.head, MAX_HEAD)? else { return Ok(None) };
        let parsed = parse(head)?;
        self.head.clear();
        Ok(Some(parsed))
    }
}

/// Checks the line end of a word of which `left` bytes were missing and these have arrived.
fn check_line_end(bytes: &[u8], left: usize) -> Result<(), Malformed> {
    let text_left = left.saturating_sub(2);
    let expected = &b"\r\n"[2 - left.min(2)..];
    let arrived = bytes.get(text_left..).unwrap_or_default();
    match expected.starts_with(arrived) {
        true => Ok(()),
        false => Err(Malformed("a bulk string does not end in CRLF")),
    }
}

#[cfg(test)]
mod tests;
