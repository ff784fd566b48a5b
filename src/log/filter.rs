//! Which lines are told: what `RUST_LOG` says, in the form that env_logger's users know. Directives are
//! separated by commas: `LEVEL` for everything, `MODULE=LEVEL` for what is in a module, `MODULE` for all
//! levels of it. The longest module that matches decides, the last one of two alike; without any directive
//! only errors are told. Levels are `off`, `error`, `warn`, `info`, `debug` and `trace`, in any case.

use tracing::level_filters::LevelFilter;
use tracing::Level;

/// A directive that was left out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidDirective(pub String);

/// Directives, those of longer modules first.
#[derive(Clone, Debug)]
pub struct Filter {
    directives: Vec<(String, LevelFilter)>,
}

/// A level by its name. `tracing` would take numbers for levels too, and count them otherwise than `log` did.
fn level(text: &str) -> Option<LevelFilter> {
    text.parse().ok().filter(|_| text.bytes().all(|b| b.is_ascii_alphabetic()) && !text.is_empty())
}

impl Filter {
    /// Reads directives; what cannot be read is left out and comes back.
    pub fn new(text: &str) -> (Filter, Vec<InvalidDirective>) {
        let (mut directives, mut invalid) = (Vec::<(String, LevelFilter)>::new(), Vec::new());
        for directive in text.split(',').map(str::trim).filter(|d| !d.is_empty()) {
            let parsed = match directive.split_once('=') {
                None => match level(directive) {
                    Some(level) => Some(("", level)),
                    None => Some((directive, LevelFilter::TRACE)),
                },
                Some((module, "")) => Some((module, LevelFilter::TRACE)),
                Some((module, name)) => level(name.trim()).map(|level| (module, level)),
            };
            // A module's name is no path and no pattern: env_logger took a text to look for behind a slash.
            let valid_name = |m: &str| m.bytes().all(|b| b.is_ascii_alphanumeric() || b"_:-".contains(&b));
            match parsed
                .map(|(module, level)| (module.trim(), level))
                .filter(|(module, _)| valid_name(module))
            {
                Some((module, level)) => {
                    directives.retain(|(other, _)| other != module);
                    directives.push((module.to_owned(), level));
                }
                None => invalid.push(InvalidDirective(directive.chars().take(80).collect())),
            }
        }
        if directives.is_empty() {
            directives.push((String::new(), LevelFilter::ERROR));
        }
        directives.sort_by_key(|(module, _)| std::cmp::Reverse(module.len()));
        (Filter { directives }, invalid)
    }

    /// Whether a line of a module is told.
    pub fn admits(&self, module: &str, level: &Level) -> bool {
        let matching = self.directives.iter().find(|(prefix, _)| module.starts_with(prefix.as_str()));
        matching.is_some_and(|(_, max)| level <= max)
    }

    /// The most verbose level that any module is told at.
    pub fn max_level(&self) -> LevelFilter {
        self.directives.iter().map(|(_, level)| *level).max().unwrap_or(LevelFilter::OFF)
    }
}
