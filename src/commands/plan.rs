//! `martenweir plan show ADDRESS [--json] [--config CONFIG]`: prints the current plan of the planner at
//! ADDRESS and the evidence for it. Ids are printed as 16 hexadecimal digits, or as names if the list in
//! CONFIG has them.

use super::print;
use crate::codec::discovery;
use crate::config;
use plan::frame::{self, Reader};
use plan::ids::{Node, ZoneSet};
use plan::message::Shown;
use plan::{Message, Zone};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{Read, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

pub(super) const USAGE: &str = "martenweir plan show ADDRESS [--json] [--config CONFIG]";
/// Timeout for connecting and for the answer.
const TIMEOUT: Duration = Duration::from_secs(5);

/// Asks a planner for its plan
#[derive(Debug, clap::Args)]
#[command(override_usage = USAGE, help_template = super::HELP)]
pub(super) struct Options {
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, clap::Subcommand)]
enum Command {
    /// Prints the current plan of the planner at ADDRESS, and the evidence for it
    #[command(override_usage = USAGE, help_template = super::HELP)]
    Show {
        /// IP address and port of the planner
        address: String,
        /// Prints the plan as JSON instead of a table
        #[arg(long)]
        json: bool,
        /// A configuration whose list gives the names of nodes [default: ids as 16 hexadecimal digits]
        #[arg(long, value_name = "CONFIG")]
        config: Option<String>,
    },
}

pub(super) fn run(options: &Options) -> Result<(), String> {
    let Command::Show { address, json, config } = &options.command;
    let names = match config {
        None => BTreeMap::new(),
        Some(path) => {
            let known = config::load(path)?.known.nodes;
            known.iter().map(|l| (discovery::hash_id(l.name.as_bytes()), l.name.to_string())).collect()
        }
    };
    let shown = ask(address).map_err(|e| format!("plan: {address}: {e}"))?;
    let names = Names(names);
    let text = if *json { format!("{:#}", names.json(&shown)) } else { names.table(&shown) };
    print(text.trim_end()).map_err(|e| format!("plan: {e}"))
}

fn ask(address: &str) -> Result<Shown, String> {
    let failed = |e: std::io::Error| e.to_string();
    let to: SocketAddr = address.parse().map_err(|_| "not an address like 127.0.0.1:7400".to_owned())?;
    let mut socket = TcpStream::connect_timeout(&to, TIMEOUT).map_err(failed)?;
    socket.set_read_timeout(Some(TIMEOUT)).map_err(failed)?;
    socket.write_all(&frame::encode(&Message::Show).map_err(|e| e.to_string())?).map_err(failed)?;
    let (mut reader, mut bytes, until) = (Reader::default(), [0; 16 * 1024], Instant::now() + TIMEOUT);
    while Instant::now() < until {
        let n = socket.read(&mut bytes).map_err(failed)?;
        if n == 0 {
            return Err("closed without an answer".into());
        }
        let mut input = bytes.get(..n).unwrap_or_default();
        match reader.read(&mut input).map_err(|e| e.to_string())? {
            Some(Message::Shown(shown)) => return Ok(shown),
            Some(_) => return Err("the answer is not a plan".into()),
            None => {}
        }
    }
    Err("no answer".into())
}

/// Names of nodes by id; ids without a name are printed in hexadecimal.
struct Names(BTreeMap<u64, String>);

fn zone_numbers(of: ZoneSet) -> Option<Vec<u8>> {
    (of != ZoneSet::ALL).then(|| (0..ZoneSet::MOST).filter(|h| of.has(Zone(*h))).collect())
}

fn seconds(us: u32) -> f64 {
    f64::from(us / 1000) / 1000.0
}

impl Names {
    fn of(&self, node: Node) -> String {
        self.0.get(&node.id).cloned().unwrap_or_else(|| format!("{:016x}", node.id))
    }

    fn table(&self, shown: &Shown) -> String {
        let (plan, mut out) = (&shown.plan, String::new());
        let e = &plan.evidence;
        let warm = if e.warm { "warm" } else { "not warm yet: it has no opinions" };
        let mut line = |text: String| {
            // Writing to a string cannot fail.
            let _ = writeln!(out, "{text}");
        };
        line(format!("plan {}.{}, {warm}, list {}", plan.number.epoch, plan.number.count, plan.list));
        line(format!(
            "rests on {} forwarders heard lately, {} of which hear a node",
            e.forwarders, e.witnesses
        ));
        line(format!("\n{:<18} {:<10} {:>9} {:>9}", "silent", "for halls", "since s", "witnesses"));
        for m in &plan.silent {
            let halls = zone_numbers(m.zones).map_or("all".into(), |h| format!("{h:?}"));
            line(format!("{:<18} {halls:<10} {:>9.1} {:>9}", self.of(m.node), seconds(m.since), m.witnesses));
        }
        for v in &plan.lives {
            let halls = zone_numbers(v.zones).map_or("all".into(), |h| format!("{h:?}"));
            line(format!("{:<18} {halls:<10} lives after all", self.of(v.node)));
        }
        for c in &plan.cuts {
            line(format!("hall {} hears nothing of hall {}", c.from.0, c.to.0));
        }
        line(format!(
            "\n{:<18} {:>6} {:>9} {:>7} {:>7} {:>7}",
            "node", "rho", "E(S) ms", "C_A^2", "C_S^2", "share"
        ));
        for t in &shown.terms {
            let ms = t.service / 1000.0;
            line(format!(
                "{:<18} {:>6.3} {ms:>9.2} {:>7.2} {:>7.2} {:>7.4}",
                self.of(t.node),
                t.rho,
                t.arrival_scv,
                t.service_scv,
                t.share
            ));
        }
        line(format!(
            "\n{:<18} {:>4} {:>9} {:>8} {:>7} {:>7}",
            "forwarder", "hall", "heard s", "holds", "ledger", "cold"
        ));
        for f in &shown.forwarders {
            let (id, heard) = (format!("{:016x}", f.forwarder.0), seconds(f.heard));
            line(format!(
                "{id:<18} {:>4} {heard:>9.2} {:>8} {:>7.4} {:>7.4}",
                f.zone.0, f.holds.count, f.origin, f.cold
            ));
        }
        out
    }

    fn json(&self, shown: &Shown) -> Value {
        let plan = &shown.plan;
        let node =
            |n: Node| json!({ "id": format!("{:016x}", n.id), "name": self.0.get(&n.id), "life": n.life });
        let number = |n: plan::PlanNumber| json!({ "epoch": n.epoch, "count": n.count });
        let silent = plan.silent.iter().map(|m| {
            json!({ "node": node(m.node), "halls": zone_numbers(m.zones), "sinceS": seconds(m.since),
                "witnesses": m.witnesses })
        });
        let lives =
            plan.lives.iter().map(|v| json!({ "node": node(v.node), "halls": zone_numbers(v.zones) }));
        let cuts = plan.cuts.iter().map(|c| json!({ "from": c.from.0, "to": c.to.0 }));
        let terms = shown.terms.iter().map(|t| {
            json!({ "node": node(t.node), "rho": t.rho, "serviceUs": t.service, "arrivalScv": t.arrival_scv,
                "serviceScv": t.service_scv, "share": t.share })
        });
        let forwarders = shown.forwarders.iter().map(|f| {
            json!({ "id": format!("{:016x}", f.forwarder.0), "hall": f.zone.0, "heardS": seconds(f.heard),
                "holds": number(f.holds), "ledger": f.origin, "cold": f.cold })
        });
        json!({
            "number": number(plan.number),
            "list": plan.list,
            "warm": plan.evidence.warm,
            "evidence": { "forwarders": plan.evidence.forwarders, "witnesses": plan.evidence.witnesses },
            "silent": silent.collect::<Vec<_>>(),
            "lives": lives.collect::<Vec<_>>(),
            "cuts": cuts.collect::<Vec<_>>(),
            "terms": terms.collect::<Vec<_>>(),
            "forwarders": forwarders.collect::<Vec<_>>(),
        })
    }
}
