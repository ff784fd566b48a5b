//! `lab cost`: what a request through the proxy costs, beside one straight to a node.

use super::output::{complain, say};
use super::worlds::proxy_program;
use super::{CommandError, Finding};
use crate::loopback::cost::{direct, through, Measured, Plan};
use crate::report::table::Table;
use std::path::PathBuf;

#[derive(Debug, clap::Args)]
pub struct Cost {
    /// How long to measure each way
    #[arg(long, value_name = "N", default_value_t = 5.0, value_parser = seconds)]
    seconds: f64,
    /// Connections of clients, each with one request at a time
    #[arg(long, value_name = "N", default_value_t = 32, value_parser = clap::value_parser!(u16).range(1..=500))]
    connections: u16,
    /// Size of a value
    #[arg(long, value_name = "N", default_value_t = 1024, value_parser = clap::value_parser!(u32).range(1..=65_536))]
    value_bytes: u32,
    /// The program to start as the proxy, in place of the workspace's own
    #[arg(long, value_name = "PROGRAM")]
    proxy: Option<PathBuf>,
}

fn seconds(text: &str) -> Result<f64, String> {
    let seconds = text.parse::<f64>().ok().filter(|s| (0.1..=600.0).contains(s));
    seconds.ok_or_else(|| "0.1 to 600 seconds are wanted".into())
}

impl Cost {
    pub fn carry_out(self) -> Result<Finding, CommandError> {
        let program = proxy_program(self.proxy.as_deref())?;
        let (connections, value_bytes) = (self.connections.into(), self.value_bytes as usize);
        let plan = Plan { seconds: self.seconds, connections, value_bytes };
        complain("straight to a node");
        let straight = direct(plan)?;
        complain("through the proxy");
        let proxied = through(plan, &program)?;
        say(&table(&straight, &proxied));
        Ok(Finding::good_if(straight.served > 0 && proxied.served > 0))
    }
}

fn table(straight: &Measured, proxied: &Measured) -> String {
    let mut table = Table::new(&["", "straight", "through the proxy"]);
    let mut row = |name: &str, of: &dyn Fn(&Measured) -> String| {
        table.row([name.to_owned(), of(straight), of(proxied)]);
    };
    let ms =
        |m: &Measured, q| m.latency.quantile(q).map_or("-".into(), |us| format!("{:.3}", us as f64 / 1e3));
    row("requests a second", &|m| format!("{:.0}", m.per_second()));
    row("not served", &|m| m.failed.to_string());
    row("p50 ms", &|m| ms(m, 0.5));
    row("p99 ms", &|m| ms(m, 0.99));
    row("proxy's CPU, us a request", &|m| m.proxy_us().map_or("-".into(), |us| format!("{us:.1}")));
    row("clients' and nodes' CPU, us a request", &|m| format!("{:.1}", m.own_us()));
    row("proxy's memory, MB", &|m| {
        m.proxy_memory_kb.map_or("-".into(), |kb| format!("{:.1}", kb as f64 / 1024.0))
    });
    let share = 100.0 * proxied.per_second() / straight.per_second().max(1.0);
    format!("{table}throughput is {share:.1} % of a direct connection's\n")
}
