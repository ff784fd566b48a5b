//! Where a value of a TOML text stands: from a path such as `nodes.0.speed` to a line, and back.

use std::ops::Range;
use toml::de::{DeTable, DeValue};

/// The places of all keys and list elements of a text.
pub struct Places<'a> {
    text: &'a str,
    /// Path, and the bytes of its key and value; of a table with a header, those of the header. What holds
    /// something comes before it.
    found: Vec<(String, Range<usize>)>,
}

impl<'a> Places<'a> {
    /// The places of `text`; none where it is not TOML.
    pub fn of(text: &'a str) -> Self {
        let mut found = Vec::new();
        if let Ok(root) = DeTable::parse(text) {
            table("", root.get_ref(), &mut found);
        }
        Places { text, found }
    }

    /// The line (from 1) on which this byte stands.
    pub fn line_at(&self, byte: usize) -> usize {
        let end = byte.min(self.text.len());
        1 + self.text.as_bytes().iter().take(end).filter(|b| **b == b'\n').count()
    }

    /// The line on which a path stands, or else the longest beginning of it that the text has; a path of
    /// which nothing stands there belongs to line 1.
    pub fn line_of(&self, path: &str) -> usize {
        let mut rest = path;
        loop {
            if let Some((_, place)) = self.found.iter().find(|(p, _)| p == rest) {
                return self.line_at(place.start);
            }
            match rest.rsplit_once('.') {
                Some((shorter, _)) => rest = shorter,
                None => return 1,
            }
        }
    }

    /// Whether the text has nothing at this path.
    pub fn is_absent(&self, path: &str) -> bool {
        self.found.iter().all(|(p, _)| p != path)
    }

    /// The innermost path whose key or value holds this byte; empty where none does.
    pub fn path_at(&self, byte: usize) -> &str {
        let holding = self.found.iter().filter(|(_, place)| place.contains(&byte));
        // Of those alike the last, which is the innermost: a table's bytes are those of its header.
        holding.rev().min_by_key(|(_, place)| place.len()).map_or("", |(path, _)| path)
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

fn table(path: &str, table: &DeTable<'_>, found: &mut Vec<(String, Range<usize>)>) {
    for (key, v) in table.iter() {
        let path = join(path, key.get_ref());
        let (key, span) = (key.span(), v.span());
        found.push((path.clone(), key.start.min(span.start)..key.end.max(span.end)));
        value(&path, v.get_ref(), found);
    }
}

fn value(path: &str, v: &DeValue<'_>, found: &mut Vec<(String, Range<usize>)>) {
    match v {
        DeValue::Table(inner) => table(path, inner, found),
        DeValue::Array(inner) => {
            for (i, element) in inner.iter().enumerate() {
                let path = join(path, &i.to_string());
                found.push((path.clone(), element.span()));
                value(&path, element.get_ref(), found);
            }
        }
        _ => {}
    }
}

#[cfg(test)]
mod tests;
