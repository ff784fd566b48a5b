//! The dissemination of changes at a size, under one fault or all of them, in virtual time.
//!
//! `cargo run --release -p lab --example dissemination -- --proxies 11000 --out DIR [SCENARIO...]`
//!
//! For each scenario it writes `DIR/PROXIES-SCENARIO-SEED.json` and says a line. It ends with status 1 if a rule was
//! broken.

use clap::Parser;
use lab::dissemination::engine::Setting;
use lab::dissemination::{measure, scenario, Measured};
use lab::experiment::parallel;
use std::num::NonZeroUsize;
use std::path::PathBuf;
use std::process::ExitCode;

#[global_allocator]
static ALLOCATOR: cost::counting::CountingAllocator = cost::counting::CountingAllocator;

#[derive(Parser)]
struct Arguments {
    #[arg(long, default_value_t = 100)]
    proxies: u32,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Runs at once
    #[arg(long, default_value_t = NonZeroUsize::MIN)]
    threads: NonZeroUsize,
    /// Leave the baseline out
    #[arg(long)]
    alone: bool,
    #[arg(long)]
    out: Option<PathBuf>,
    /// All of them if none is named
    scenarios: Vec<String>,
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let known = scenario::all(arguments.proxies as usize);
    if let Some(name) = arguments.scenarios.iter().find(|n| known.iter().all(|s| s.name != **n)) {
        let names: Vec<&str> = known.iter().map(|s| s.name).collect();
        eprintln!("no scenario {name}; there are {}", names.join(", "));
        return ExitCode::from(2);
    }
    let wanted = |name: &str| arguments.scenarios.is_empty() || arguments.scenarios.iter().any(|n| n == name);
    let jobs: Vec<_> = known.into_iter().filter(|s| wanted(s.name)).collect();
    let results = parallel::map(arguments.threads, &jobs, |_, scenario| {
        let setting = Setting::new(arguments.proxies, arguments.seed);
        let measured = measure(setting, scenario.clone(), !arguments.alone)?;
        say(&measured);
        Ok::<Measured, &'static str>(measured)
    });
    let mut good = true;
    for measured in results {
        match measured {
            Ok(measured) => {
                good &= measured.dissemination.broken.is_empty();
                if let Some(dir) = &arguments.out {
                    let d = &measured.dissemination;
                    let path = dir.join(format!("{}-{}-{}.json", d.proxies, d.scenario, d.seed));
                    let written = serde_json::to_string_pretty(&measured).map_err(|e| e.to_string());
                    let written =
                        written.and_then(|text| std::fs::write(&path, text).map_err(|e| e.to_string()));
                    if let Err(why) = written {
                        eprintln!("{}: {why}", path.display());
                        return ExitCode::from(2);
                    }
                }
            }
            Err(why) => {
                eprintln!("{why}");
                return ExitCode::from(2);
            }
        }
    }
    ExitCode::from(u8::from(!good))
}

fn say(measured: &Measured) {
    let d = &measured.dissemination;
    println!(
        "{:>6} {:<18} acked {:>6} everywhere {:.2}/{:.2}/{:.2} s known {:.2}/{:.2} s of {} ({} not) proxy {:.0} B/s \
         window {} carried {} out {:.1} s of {} ({} at end) marks {} busy {} refused {} cpu {:.5} {:.4} heap {:?} {:?} \
         {:.0} s wall {:.1} M events",
        d.proxies,
        d.scenario,
        d.acknowledged,
        d.everywhere.median,
        d.everywhere.p999,
        d.everywhere.worst,
        d.known.median,
        d.known.worst,
        d.known.of,
        d.not_known,
        d.proxy_bytes_per_s,
        d.proxy_window_worst,
        d.proxy_carried_worst,
        d.out_s,
        d.were_out,
        d.out_at_end,
        d.marks,
        d.busy,
        d.refused,
        d.proxy_cpu,
        d.control_cpu,
        d.proxy_heap,
        d.control_heap,
        d.wall_s,
        d.events as f64 / 1e6,
    );
    println!("       slowest {}; closed {:?}", d.slowest, d.closed);
    for shown in &d.out_shown {
        println!("       out at the end: {shown}");
    }
    if let Some(b) = &measured.baseline {
        println!(
            "       today: age {:.2}/{:.2} s oldest {:.2}/{:.2} s without {} proxy {:.0} B/s",
            b.age.median, b.age.worst, b.oldest.median, b.oldest.worst, b.without, b.proxy_bytes_per_s
        );
    }
    for (rule, n) in &d.broken {
        println!("       BROKEN {rule} {n} times");
    }
    for text in &d.told {
        println!("       {text}");
    }
}
