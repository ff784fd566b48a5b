//! What the cases share: the small deployment that each starts, and its verdict.

use crate::world::*;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

/// How a script ends.
pub const BROKEN: i32 = 1;
pub const HELD: i32 = 0;
pub const COULD_NOT_RUN: i32 = 2;

/// No case may run longer.
const TIME_LIMIT: Duration = Duration::from_secs(115);

/// A case while it runs.
pub struct Case {
    /// The folder for `record.txt`.
    pub folder: PathBuf,
    /// A temporary folder of its own.
    pub temporary: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
    pub journal: Arc<Journal>,
    broken: Vec<String>,
}

impl Case {
    pub fn new(folder: PathBuf) -> Case {
        let temporary = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&temporary).expect("a temporary folder");
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let case = Case { folder, temporary, trouble, journal: Journal::new(), broken: Vec::new() };
        case.journal.note(format!("trouble: {trouble}"));
        case
    }

    /// Starts four cache nodes, an origin and discovery, which lists them. A command takes `work`.
    pub fn start_platform(&self, site: Site, work: Duration) -> Discovery {
        const NODES: usize = 4;
        const VALUE_BYTES: usize = 100;
        let start = |number: usize| {
            let (name, origin, journal) = (format!("s-{number}"), number > NODES, self.journal.clone());
            let server = Server { name, origin, value_bytes: VALUE_BYTES, work, journal };
            Entry::new(site, number, origin, server.start())
        };
        let entries: Vec<Entry> = (1..=NODES + 1).map(start).collect();
        Discovery::start(&entries, &self.journal)
    }

    /// Writes down that the rule was broken.
    pub fn broken(&mut self, what: impl Into<String>) {
        let what = what.into();
        self.journal.note(format!("BROKEN {what}"));
        self.broken.push(what);
    }

    /// Ends the proxies, writes the record and exits with the verdict.
    pub fn end(self, proxies: Vec<Proxy>) -> ! {
        drop(proxies);
        let _ = std::fs::remove_dir_all(&self.temporary);
        let verdict = if self.broken.is_empty() { HELD } else { BROKEN };
        self.journal.note(format!("{} breaks of the rule", self.broken.len()));
        if std::fs::write(self.folder.join("record.txt"), self.journal.text()).is_err() {
            std::process::exit(COULD_NOT_RUN);
        }
        for what in self.broken.iter().take(5) {
            println!("broken: {what}");
        }
        println!("{} breaks of the rule; see record.txt", self.broken.len());
        std::process::exit(verdict);
    }

    /// Ends with the verdict that the case could not run.
    pub fn could_not_run(&self, why: &str) -> ! {
        end_processes();
        let _ = std::fs::remove_dir_all(&self.temporary);
        println!("the case could not run: {why}");
        std::process::exit(COULD_NOT_RUN);
    }
}

/// Ends the program, and the processes that it started, once its time is over.
pub fn limit_time() {
    std::thread::spawn(|| {
        std::thread::sleep(TIME_LIMIT);
        end_processes();
        println!("the case could not run: it took too long");
        std::process::exit(COULD_NOT_RUN);
    });
}
