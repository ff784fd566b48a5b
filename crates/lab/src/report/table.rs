//! Tables of text, for the terminal.

/// Rows under a head, columns as wide as their widest cell. The first column stands left, the others right.
#[derive(Clone, Debug)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    pub fn new(head: &[&str]) -> Self {
        Table { rows: vec![head.iter().map(|h| (*h).to_owned()).collect()] }
    }

    pub fn row(&mut self, cells: impl IntoIterator<Item = String>) {
        self.rows.push(cells.into_iter().collect());
    }

    /// The rows, head first, for other forms of the same table.
    pub fn rows(&self) -> &[Vec<String>] {
        &self.rows
    }
}

impl std::fmt::Display for Table {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let columns = self.rows.iter().map(Vec::len).max().unwrap_or(0);
        let width = |i: usize| self.rows.iter().filter_map(|r| r.get(i)).map(|c| c.chars().count()).max();
        let widths: Vec<usize> = (0..columns).map(|i| width(i).unwrap_or(0)).collect();
        for row in &self.rows {
            let mut line = String::new();
            for (i, (cell, width)) in row.iter().zip(&widths).enumerate() {
                let gap = width - cell.chars().count();
                if i > 0 {
                    line.push_str("  ");
                    line.extend(std::iter::repeat_n(' ', gap));
                    line.push_str(cell);
                } else {
                    line.push_str(cell);
                    line.extend(std::iter::repeat_n(' ', gap));
                }
            }
            writeln!(f, "{}", line.trim_end())?;
        }
        Ok(())
    }
}

#[cfg(test)]
mod tests;
