//! Discovery: a watch on the list of nodes. When and from where to watch is the core's.

use super::{read, tell, write_all, Heard, News, Note, Queue};
use crate::codec::discovery::{self, ObjectSplitter, WatchItem};
use crate::codec::http;
use crate::settings::Site;
use async_io::Async;
use std::net::{SocketAddr, TcpStream};

const PATH: &str = "/registry/instances";

/// Watches until the connection ends or says something malformed; tells each object and each sign of life, under the
/// number of the watch.
pub async fn watch(
    number: u64,
    address: SocketAddr,
    after: Option<u64>,
    queue: Queue,
    site: std::rc::Rc<Site>,
) {
    let heard = |heard| News::Discovery(number, heard);
    if let Err(why) = follow(address, after, &queue, &site, &heard).await {
        let note = Note::new("watch_ended", format!("watch on discovery ended: {why}")).why(why);
        tell(&queue, note).await;
    }
    tell(&queue, heard(Heard::Ended)).await;
}

async fn follow(
    address: SocketAddr,
    after: Option<u64>,
    queue: &Queue,
    site: &Site,
    heard: impl Fn(Heard) -> News,
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
    let mut begun = false;
    loop {
        if read(&socket, &mut input).await.map_err(failed)? == 0 {
            return Err("closed".into());
        }
        if !begun {
            let Some((head, taken)) = http::head(&input, discovery::LINE).map_err(malformed)? else {
                continue;
            };
            if head.status != 200 || head.framing != http::Framing::Chunked {
                return Err(format!("status {}, {:?}", head.status, head.framing));
            }
            input.drain(..taken);
            begun = true;
            tell(queue, heard(Heard::Answered)).await;
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
                        tell(queue, Note::new("odd_entry", format!("discovery lists {odd}")).why(odd)).await;
                    }
                    Some(list)
                }
            };
            tell(queue, heard(Heard::Told(list))).await;
        }
    }
}
