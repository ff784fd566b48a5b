//! Where commands write to: the terminal, the folder of `--out`, and progress bars.

use super::CommandError;
use crate::host::Progress;
use indicatif::{ProgressBar, ProgressStyle};
use std::io::Write;
use std::path::{Path, PathBuf};

/// Writes to standard output. Where the reader has gone away (`lab run … | head`), the work and its files still matter.
pub fn say(text: &str) {
    let mut out = std::io::stdout().lock();
    let _ = out.write_all(text.as_bytes()).and_then(|()| out.flush());
}

/// Writes a line to standard error; there is nothing to be done where that fails.
pub fn complain(line: &str) {
    let _ = writeln!(std::io::stderr(), "{line}");
}

/// The folder that results go to.
#[derive(Clone, Debug, clap::Args)]
pub struct Out {
    /// Write result.json and report.html into this folder
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
}

impl Out {
    /// This folder, whatever the command line says.
    pub fn into(folder: PathBuf) -> Self {
        Out { out: Some(folder) }
    }

    /// The folder, where there is one.
    pub fn folder(&self) -> Option<&Path> {
        self.out.as_deref()
    }

    /// Writes the files, each a name with its text. `files` is called only where a folder was named.
    pub fn write<E>(
        &self,
        files: impl FnOnce() -> Result<Vec<(String, String)>, E>,
    ) -> Result<(), CommandError>
    where
        CommandError: From<E>,
    {
        let Some(folder) = &self.out else { return Ok(()) };
        let failed = |path: &Path, source| CommandError::Io { what: path.display().to_string(), source };
        std::fs::create_dir_all(folder).map_err(|e| failed(folder, e))?;
        for (name, text) in files()? {
            let path = folder.join(name);
            std::fs::write(&path, text).map_err(|e| failed(&path, e))?;
            complain(&format!("wrote {}", path.display()));
        }
        Ok(())
    }
}

/// A bar on standard error; nothing where that is no terminal.
pub struct Bar(ProgressBar);

const WHOLE: u64 = 1_000;

impl Bar {
    /// For one run.
    pub fn of_a_run(what: &str) -> Self {
        Bar::with(WHOLE, what, "{msg} [{bar:40}] {percent:>3} % {elapsed}")
    }

    /// For so many runs.
    pub fn of_runs(runs: u64, what: &str) -> Self {
        Bar::with(runs, what, "{msg} [{bar:40}] {pos}/{len} {elapsed}, {eta} left")
    }

    fn with(length: u64, what: &str, template: &str) -> Self {
        let bar = ProgressBar::new(length);
        let style = ProgressStyle::default_bar().progress_chars("=> ");
        // A template that does not parse would leave the plain bar.
        bar.set_style(style.clone().template(template).unwrap_or(style));
        bar.set_message(what.to_owned());
        Bar(bar)
    }

    /// What runs now.
    pub fn name(&self, what: &str) {
        self.0.set_message(what.to_owned());
    }

    /// One more run is over.
    pub fn one_more(&self) {
        self.0.inc(1);
    }

    /// One more run is over; after the last of them comes something else.
    pub fn one_more_before(&self, next: &str) {
        self.one_more();
        if self.0.length().is_none_or(|length| self.0.position() >= length) {
            self.phase(next);
        }
    }
}

impl Progress for Bar {
    fn set_fraction(&self, done: f64) {
        self.0.set_position((done.clamp(0.0, 1.0) * WHOLE as f64) as u64);
    }

    fn phase(&self, what: &str) {
        self.0.set_message(what.to_owned());
    }
}

/// Leaves no trace on the terminal, also where a run ends with an error.
impl Drop for Bar {
    fn drop(&mut self) {
        self.0.finish_and_clear();
    }
}
