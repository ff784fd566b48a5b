//! Log filter in the syntax of `RUST_LOG` known from env_logger. Directives are separated by commas: `LEVEL`
//! applies to all modules, `MODULE=LEVEL` to a module and its submodules, and `MODULE` enables all levels of
//! a module. The longest matching module prefix wins; of two directives for the same module, the last one
//! wins. An empty filter enables errors only. Levels are `off`, `error`, `warn`, `info`, `debug` and `trace`,
//! case-insensitive.

use tracing::level_filters::LevelFilter;
use tracing::Level;

/// A directive that could not be parsed and is ignored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InvalidDirective(pub String);

/// Directives, sorted by descending length of the module name.
#[derive(Clone, Debug)]
pub struct Filter {
    directives: Vec<(String, LevelFilter)>,
}

/// Parses a level name. `tracing` also accepts numbers, but numbers them differently than `log` does, so they
/// are rejected.
fn level(text: &str) -> Option<LevelFilter> {
    text.parse().ok().filter(|_| text.bytes().all(|b| b.is_ascii_alphabetic()) && !text.is_empty())
}

impl Filter {
    /// Parses a list of directives and returns those that could not be parsed beside the filter.
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
            // A module name is neither a path nor a pattern. env_logger reads the part after a slash as a
            // text to search for, which is not supported here.
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

    /// Whether a record of this module and level is logged.
    pub fn admits(&self, module: &str, level: &Level) -> bool {
        let matching = self.directives.iter().find(|(prefix, _)| module.starts_with(prefix.as_str()));
        matching.is_some_and(|(_, max)| level <= max)
    }

    /// The most verbose level that is enabled for any module.
    pub fn max_level(&self) -> LevelFilter {
        self.directives.iter().map(|(_, level)| *level).max().unwrap_or(LevelFilter::OFF)
    }
}
