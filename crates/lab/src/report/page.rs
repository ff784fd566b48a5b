//! The page `docs/CAPACITY.md`: every number on it is a figure of the files in `docs/capacity`.
//!
//! A figure stands behind its name in a comment that readers of the page don't see, as in
//! `<!--planner.bytes_in_per_s.share-->26.2 MB/s`; a table that is made of a file stands between
//! `<!-- table KIND -->` and `<!-- end -->`. A number elsewhere is a fault, except in code such as `page.rs` (with a
//! letter in it), in a link's target and in comments. Names and files are told in [`figures`], the rounding in
//! [`shown`], the tables in [`tables`].

pub mod figures;
pub mod shown;
pub mod tables;

use figures::Figures;

/// What is wrong at a line of the page, which counts from 1.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// A number without a figure.
    #[error("line {line}: {number:?} has no figure")]
    Loose {
        /// Line of the page.
        line: usize,
        /// From the digit on, some characters.
        number: String,
    },
    /// No file has this figure, or it can't be worked out.
    #[error("line {line}: {reason}")]
    Unknown {
        /// Line of the page.
        line: usize,
        /// Which, and why.
        reason: String,
    },
    /// The page says something else than the files.
    #[error("line {line}: {name} is {is:?} in the files, and the page says {says:?}")]
    Differs {
        /// Line of the page.
        line: usize,
        /// The figure, or the table.
        name: String,
        /// As the files have it.
        is: String,
        /// As the page has it.
        says: String,
    },
    /// A comment, a table or a piece of code without an end.
    #[error("line {line}: {what} has no end")]
    Open {
        /// Line of the page.
        line: usize,
        /// What it is.
        what: &'static str,
    },
}

/// What stands at a place of the page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Piece<'a> {
    /// Kept as it is; numbers in it are no figures.
    Free(&'a str),
    /// Text in which a number is a fault.
    Text(&'a str),
    /// A figure: its comment, its name and what stands behind.
    Figure { comment: &'a str, name: &'a str, says: &'a str },
    /// A table that is made: its comment, its kind and its lines.
    Table { comment: &'a str, kind: &'a str, says: &'a str },
}

const TABLE: &str = "table ";
const END: &str = "<!-- end -->";

/// The page in pieces, with the line of each; put together they are the page again.
fn pieces(page: &str) -> Result<Vec<(usize, Piece<'_>)>, Fault> {
    let (mut all, mut at) = (vec![], 0);
    let (mut line, mut counted) = (1, 0);
    while at < page.len() {
        let rest = &page[at..];
        line += page[counted..at].matches('\n').count();
        counted = at;
        let open = |what| Fault::Open { line, what };
        if rest.starts_with("<!--") {
            let end = rest.find("-->").ok_or(open("a comment"))? + 3;
            let (comment, inside) = (&rest[..end], rest[4..end - 3].trim());
            if let Some(kind) = inside.strip_prefix(TABLE) {
                let length = rest[end..].find(END).ok_or(open("a table"))?;
                all.push((line, Piece::Table { comment, kind, says: &rest[end..end + length] }));
                all.push((line, Piece::Free(END)));
                at += end + length + END.len();
            } else if inside.contains(char::is_whitespace) {
                all.push((line, Piece::Free(comment)));
                at += end;
            } else {
                let says = shown::extent(&rest[end..]);
                all.push((line, Piece::Figure { comment, name: inside, says }));
                at += end + says.len();
            }
        } else if let Some(code) = rest.strip_prefix('`') {
            let length = code.find('`').ok_or(open("a piece of code"))?;
            let whole = &rest[..length + 2];
            let named = code[..length].contains(char::is_alphabetic);
            all.push((line, if named { Piece::Free(whole) } else { Piece::Text(whole) }));
            at += whole.len();
        } else if rest.starts_with("](") {
            let end = rest.find(')').ok_or(open("a link"))? + 1;
            all.push((line, Piece::Free(&rest[..end])));
            at += end;
        } else {
            let first = rest.chars().next().map_or(1, char::len_utf8);
            let more = ["<!--", "`", "]("].iter().filter_map(|m| rest[first..].find(m)).min();
            let end = more.map_or(rest.len(), |m| m + first);
            all.push((line, Piece::Text(&rest[..end])));
            at += end;
        }
    }
    Ok(all)
}

/// What the files have for a piece that is made of them.
fn made(line: usize, piece: Piece<'_>, figures: &Figures) -> Result<Option<String>, Fault> {
    let unknown = |reason| Fault::Unknown { line, reason };
    match piece {
        Piece::Figure { name, .. } => figures.get(name).map(|f| Some(f.shown())).map_err(unknown),
        Piece::Table { kind, .. } => {
            tables::table(kind, figures).map(|t| Some(format!("\n{t}"))).map_err(unknown)
        }
        Piece::Free(_) | Piece::Text(_) => Ok(None),
    }
}

/// All that is wrong with the page; none where each number on it is the files'.
pub fn check(page: &str, figures: &Figures) -> Vec<Fault> {
    let all = match pieces(page) {
        Ok(all) => all,
        Err(fault) => return vec![fault],
    };
    let mut faults = vec![];
    for (line, piece) in all {
        match (piece, made(line, piece, figures)) {
            (_, Err(fault)) => faults.push(fault),
            (Piece::Figure { name, says, .. } | Piece::Table { kind: name, says, .. }, Ok(Some(is))) => {
                if says != is {
                    faults.push(Fault::Differs { line, name: name.to_owned(), is, says: says.to_owned() });
                }
            }
            (Piece::Text(text), _) => {
                for (at, _) in text.char_indices().filter(|(_, c)| c.is_numeric()) {
                    // One fault a number, at its first digit.
                    if !text[..at].ends_with(char::is_numeric) {
                        let line = line + text[..at].matches('\n').count();
                        faults.push(Fault::Loose { line, number: text[at..].chars().take(20).collect() });
                    }
                }
            }
            (_, Ok(_)) => {}
        }
    }
    faults
}

/// The page with the files' figures and tables in the place of its own. Numbers without a figure stay: [`check`] tells.
///
/// # Errors
/// What has no figure in the files, and what has no end.
pub fn fill(page: &str, figures: &Figures) -> Result<String, Vec<Fault>> {
    let (mut filled, mut faults) = (String::new(), vec![]);
    for (line, piece) in pieces(page).map_err(|fault| vec![fault])? {
        match (piece, made(line, piece, figures)) {
            (_, Err(fault)) => faults.push(fault),
            (Piece::Figure { comment, .. } | Piece::Table { comment, .. }, Ok(is)) => {
                filled.push_str(comment);
                filled.push_str(&is.unwrap_or_default());
            }
            (Piece::Free(text) | Piece::Text(text), _) => filled.push_str(text),
        }
    }
    if faults.is_empty() {
        Ok(filled)
    } else {
        Err(faults)
    }
}
