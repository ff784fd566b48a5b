//! Discovery: one watch on the list of nodes. The core decides when and where to watch.

use super::{read, send_event, write_all, EventSender, LogEntry, NetEvent, WatchEvent};
use crate::codec::discovery::{self, ObjectSplitter, WatchItem};
use crate::codec::http;
use crate::settings::Site;
use async_io::Async;
use std::net::{SocketAddr, TcpStream};

const PATH: &str = "/registry/instances";

/// Runs one watch until the connection ends or the response is malformed. Reports each list and each sign of
/// life under the number of the watch.
pub async fn watch(
    number: u64,
    address: SocketAddr,
    after: Option<u64>,
    queue: EventSender,
    site: std::rc::Rc<Site>,
) {
    let event = |event| NetEvent::Discovery(number, event);
    if let Err(why) = read_watch(address, after, &queue, &site, &event).await {
        let entry = LogEntry::new("watch_ended", format!("watch on discovery ended: {why}")).why(why);
        send_event(&queue, entry).await;
    }
    send_event(&queue, event(WatchEvent::Ended)).await;
}

async fn read_watch(
    address: SocketAddr,
    after: Option<u64>,
    queue: &EventSender,
    site: &Site,
    event: impl Fn(WatchEvent) -> NetEvent,
) -> Result<(), String> {
    let failed = |e: std::io::Error| e.to_string();
    let malformed = |m: crate::codec::Malformed| m.0.to_owned();
    let socket = Async::<TcpStream>::connect(address).await.map_err(failed)?;
    let mut out = Vec::new();
    let after = after.map_or_else(String::new, |revision| format!("&after={revision}"));
    let path = format!("{PATH}?watch=1{after}");
    http::put_request(&mut out, "GET", path.as_bytes(), &address.to_string(), &[], None);
    write_all(&socket, &out).await.map_err(failed)?;
    let (mut input, mut body) = (Vec::new(), ObjectSplitter::default());
    let mut head_read = false;
    loop {
        if read(&socket, &mut input).await.map_err(failed)? == 0 {
            return Err("closed".into());
        }
        if !head_read {
            let Some((head, taken)) = http::head(&input, discovery::LINE).map_err(malformed)? else {
                continue;
            };
            if head.status != 200 || head.framing != http::Framing::Chunked {
                return Err(format!("status {}, {:?}", head.status, head.framing));
            }
            input.drain(..taken);
            head_read = true;
            send_event(queue, event(WatchEvent::Answered)).await;
        }
        while let Some((piece, taken)) = http::chunk(&input, discovery::LINE).map_err(malformed)? {
            input.drain(..taken);
            if piece.is_empty() {
                return Err("ended".into());
            }
            body.feed(&piece);
        }
        while let Some(piece) = body.next_item()? {
            let list = match piece {
                WatchItem::Blank => None,
                WatchItem::Object(text) => {
                    let (list, odd) = discovery::parse_list(&text, site)?;
                    if let Some(odd) = odd {
                        send_event(
                            queue,
                            LogEntry::new("odd_entry", format!("discovery lists {odd}")).why(odd),
                        )
                        .await;
                    }
                    Some(list)
                }
            };
            send_event(queue, event(WatchEvent::Update(list))).await;
        }
    }
}
