//! Approximate request counts per key in a table of fixed size (a count-min sketch).
//!
//! Use it to order queued requests by how much their keys are in demand. Don't use it for exact counts:
//! keys share cells, so a count may be too high, never too low.
//!
//! - At the start, and after a long time: all counts are 0.
//! - Equal calls give equal results; there is no clock, the owner decides when and how much to decay.
//!
//! Source: Cormode and Muthukrishnan, "An improved data stream summary: the count-min sketch and its
//! applications", Journal of Algorithms 55 (2005).

/// Rows, and cells per row. With 1,000 recently requested keys, all four cells of a key are shared by
/// chance for about one key in six.
const ROWS: usize = 4;
const CELLS: usize = 1024;

/// Decaying request counts per key; see the module documentation.
#[derive(Clone, Debug)]
pub struct PopularityCounter {
    /// Cell values are multiplied by `scale`, so that decay costs nothing.
    cells: Vec<f32>,
    scale: f64,
}

impl Default for PopularityCounter {
    fn default() -> Self {
        PopularityCounter { cells: vec![0.0; ROWS * CELLS], scale: 1.0 }
    }
}

impl PopularityCounter {
    /// Counts a request for the key with this hash, whose bits must be well mixed.
    pub fn record(&mut self, hash: u64) {
        let increment = (1.0 / self.scale) as f32;
        for cell in cell_indices(hash) {
            self.cells[cell] += increment;
        }
    }

    /// Approximate decayed number of requests for that key.
    pub fn count(&self, hash: u64) -> f64 {
        let min = cell_indices(hash).map(|cell| self.cells[cell]).fold(f32::INFINITY, f32::min);
        f64::from(min) * self.scale
    }

    /// Multiplies all counts by `keep`, above 0 and up to 1.
    pub fn decay(&mut self, keep: f64) {
        self.scale *= if keep > 0.0 { keep.min(1.0) } else { 1.0 };
        if self.scale < 1e-12 {
            // Rare: folds the scale into the cells before an f32 runs out of range.
            self.cells.iter_mut().for_each(|c| *c *= self.scale as f32);
            self.scale = 1.0;
        }
    }
}

fn cell_indices(hash: u64) -> impl Iterator<Item = usize> {
    // 10 bits for each row, taken from the upper 40 bits.
    (0..ROWS).map(move |row| row * CELLS + (hash >> (24 + 10 * row)) as usize % CELLS)
}
