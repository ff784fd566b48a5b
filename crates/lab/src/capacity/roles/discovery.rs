//! Discovery and its agent, as the proxies load them: lists and changes, their bytes and what it takes to read them.

use super::super::meter::{counted, counts, held, Taken};
use super::super::result::Mechanism;
use super::super::{Axis, Fault, Kind, Level, Measured, Quantity, Role, Series, Size};
use super::{halves, lists, users};
use martenweir::codec::discovery::{parse_list, Cluster, ObjectSplitter, WatchItem, LINE};
use martenweir::codec::http;
use martenweir::settings::Site;

/// How often a list is read for its time; the least is told, since nothing makes a reading faster than it is.
const READINGS: usize = 9;

pub struct Discovery;

impl Role for Discovery {
    fn name(&self) -> &'static str {
        "discovery"
    }

    fn about(&self) -> &'static str {
        "Lists of discovery: their bytes, and what a proxy takes to read one; entries as the lab's stand-in writes them"
    }

    fn mechanism(&self) -> Option<Mechanism> {
        let files = vec!["src/net/cluster.rs", "src/codec/discovery.rs", "src/codec/http.rs"];
        Some(Mechanism { name: "watch on discovery", files })
    }

    fn bounds(&self) -> Vec<String> {
        vec![format!("an object of a list has {LINE} bytes at most (codec::discovery::LINE)")]
    }

    fn series(&self) -> Vec<Series> {
        let quantity = Quantity::new;
        let level = Level::Virtual;
        let nodes = halves().to_vec();
        let whole = vec![
            quantity("list_bytes", "A whole list in its chunk", "B", Kind::Count),
            quantity("parse_allocations", "Allocations while a whole list is read", "1", Kind::Count),
            quantity("parsed_bytes", "Bytes that a list holds once it is read", "B", Kind::Count),
            quantity("parse_s", "Processor time to read a whole list, least of nine", "s", Kind::Time),
        ];
        let changes =
            vec![quantity("delta_bytes", "A change of so many nodes, in its chunk", "B", Kind::Count)];
        let all = "Answers with a whole list to all proxies together, from the first byte on";
        let at_once = vec![quantity("lists_at_once_bytes", all, "B", Kind::Count)];
        let series = |axes, quantities, targets, run| {
            let more = Vec::new();
            Series { level, axes, more, quantities, targets, run }
        };
        vec![
            series(vec![(Axis::Nodes, nodes.clone())], whole, vec![users([Axis::Nodes])], read_whole),
            series(
                vec![(Axis::Changes, vec![1, 4, 16, 64])],
                changes,
                vec![users([Axis::Changes])],
                write_change,
            ),
            series(
                vec![(Axis::Proxies, vec![500, 1000, 4000, 11_000]), (Axis::Nodes, nodes)],
                at_once,
                vec![users([Axis::Proxies, Axis::Nodes])],
                answer_all,
            ),
        ]
    }
}

/// Reads a chunk as a watch does.
pub fn read(chunk: &[u8], site: &Site) -> Result<Cluster, Fault> {
    let (piece, _) = http::chunk(chunk, LINE)
        .map_err(|m| Fault::broken(m.0))?
        .ok_or_else(|| Fault::broken("half a chunk"))?;
    let mut objects = ObjectSplitter::default();
    objects.feed(&piece);
    match objects.next_item().map_err(Fault::broken)? {
        Some(WatchItem::Object(text)) => {
            let (list, odd) = parse_list(&text, site).map_err(Fault::broken)?;
            odd.map_or(Ok(list), |odd| Err(Fault::broken(odd)))
        }
        _ => Err(Fault::broken("no list")),
    }
}

fn read_whole(size: &Size, _: u64) -> Result<Measured, Fault> {
    let nodes = size.along(Axis::Nodes);
    let (site, chunk) = (lists::site()?, lists::told(&lists::whole(nodes)));
    let (before, mut first) = (held(), Taken::default());
    let list = first.by(|| read(&chunk, &site))?;
    let holds = held() - before;
    if list.nodes.len() as u64 != nodes {
        return Err(Fault::broken(format!("{} of {nodes} nodes were read", list.nodes.len())));
    }
    drop(list);
    let mut least = first.cpu;
    for _ in 1..READINGS {
        let mut taken = Taken::default();
        drop(taken.by(|| read(&chunk, &site))?);
        least = least.min(taken.cpu);
    }
    let made = counts().then_some(first.made as f64);
    Ok(Measured::from(vec![Some(chunk.len() as f64), made, counted(holds as f64), Some(least.as_secs_f64())]))
}

fn write_change(size: &Size, _: u64) -> Result<Measured, Fault> {
    let changes = size.along(Axis::Changes);
    let chunk = lists::told(&lists::change(changes));
    let read = read(&chunk, &lists::site()?)?;
    if read.complete || read.nodes.len() as u64 != changes {
        return Err(Fault::broken(format!("{changes} changes were read as {} nodes", read.nodes.len())));
    }
    Ok(Measured::from(vec![Some(chunk.len() as f64)]))
}

fn answer_all(size: &Size, _: u64) -> Result<Measured, Fault> {
    let text = lists::whole(size.along(Axis::Nodes));
    // Each answer is the same bytes: discovery knows nothing of who watches.
    let answer = lists::answered(&text).len() as u64;
    Ok(Measured::from(vec![Some((answer * size.along(Axis::Proxies)) as f64)]))
}
