//! How often keys were asked for lately, in a table of fixed size.
//!
//! Use it to order what waits by how many will ask for it again. Do not use it to count: keys share cells, so
//! a figure may be too high, never too low.
//!
//! - At the start, and after a long time: nothing was asked for.
//! - Equal calls give equal results; a clock does not come in, its owner says what to keep.
//!
//! Source: Cormode and Muthukrishnan, "An improved data stream summary: the count-min sketch and its
//! applications", Journal of Algorithms 55 (2005).

/// Rows, and cells in a row. With 1,000 keys asked for lately four cells at once are shared by chance for
/// about one key in six.
const ROWS: usize = 4;
const CELLS: usize = 1024;

/// See the file's comment.
#[derive(Clone, Debug)]
pub struct PopularityCounter {
    /// What is in a cell is to be multiplied with `scale`, so that fading costs nothing.
    cells: Vec<f32>,
    scale: f64,
}

impl Default for PopularityCounter {
    fn default() -> Self {
        PopularityCounter { cells: vec![0.0; ROWS * CELLS], scale: 1.0 }
    }
}

impl PopularityCounter {
    /// Counts a request for the key with this hash. Its bits must be well mixed.
    pub fn record(&mut self, hash: u64) {
        let one = (1.0 / self.scale) as f32;
        for at in places(hash) {
            self.cells[at] += one;
        }
    }

    /// About how often that key was asked for lately.
    pub fn count(&self, hash: u64) -> f64 {
        let least = places(hash).map(|at| self.cells[at]).fold(f32::INFINITY, f32::min);
        f64::from(least) * self.scale
    }

    /// Leaves this part of all that was counted, above 0 and up to 1.
    pub fn decay(&mut self, keep: f64) {
        self.scale *= if keep > 0.0 { keep.min(1.0) } else { 1.0 };
        if self.scale < 1e-12 {
            // Seldom: the cells take over what the scale has gathered, before an f32 runs out of range.
            self.cells.iter_mut().for_each(|c| *c *= self.scale as f32);
            self.scale = 1.0;
        }
    }
}

fn places(hash: u64) -> impl Iterator<Item = usize> {
    // 10 bits a row, from the upper 40 down.
    (0..ROWS).map(move |row| row * CELLS + (hash >> (24 + 10 * row)) as usize % CELLS)
}
