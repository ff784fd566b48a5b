//! Source positions in a TOML text: maps a path such as `nodes.0.speed` to a line, and a position to a path.

use std::ops::Range;
use toml::de::{DeTable, DeValue};

/// The positions of all keys and list elements of a text.
pub struct Places<'a> {
    text: &'a str,
    /// Path and byte range of its key and value, or of the header for a table that has one. Parents come
    /// before their children.
    found: Vec<(String, Range<usize>)>,
}

impl<'a> Places<'a> {
    /// Returns the positions in `text`; empty if it is not TOML.
    pub fn of(text: &'a str) -> Self {
        let mut found = Vec::new();
        if let Ok(root) = DeTable::parse(text) {
            collect_table("", root.get_ref(), &mut found);
        }
        Places { text, found }
    }

    /// The line (from 1) that contains a byte.
    pub fn line_at(&self, byte: usize) -> usize {
        let end = byte.min(self.text.len());
        1 + self.text.as_bytes().iter().take(end).filter(|b| **b == b'\n').count()
    }

    /// The line of a path, or of its longest prefix that occurs in the text; line 1 if no prefix does.
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

    /// Whether the path does not occur in the text.
    pub fn is_absent(&self, path: &str) -> bool {
        self.found.iter().all(|(p, _)| p != path)
    }

    /// The innermost path whose key or value contains this byte; empty if there is none.
    pub fn path_at(&self, byte: usize) -> &str {
        let containing = self.found.iter().filter(|(_, place)| place.contains(&byte));
        // Among equal ranges take the last, which is the innermost: the range of a table is that of its
        // header.
        containing.rev().min_by_key(|(_, place)| place.len()).map_or("", |(path, _)| path)
    }
}

fn join(path: &str, key: &str) -> String {
    if path.is_empty() {
        key.to_owned()
    } else {
        format!("{path}.{key}")
    }
}

fn collect_table(path: &str, table: &DeTable<'_>, found: &mut Vec<(String, Range<usize>)>) {
    for (key, v) in table.iter() {
        let path = join(path, key.get_ref());
        let (key, span) = (key.span(), v.span());
        found.push((path.clone(), key.start.min(span.start)..key.end.max(span.end)));
        collect_value(&path, v.get_ref(), found);
    }
}

fn collect_value(path: &str, v: &DeValue<'_>, found: &mut Vec<(String, Range<usize>)>) {
    match v {
        DeValue::Table(inner) => collect_table(path, inner, found),
        DeValue::Array(inner) => {
            for (i, element) in inner.iter().enumerate() {
                let path = join(path, &i.to_string());
                found.push((path.clone(), element.span()));
                collect_value(&path, element.get_ref(), found);
            }
        }
        _ => {}
    }
}

#[cfg(test)]
mod tests;
