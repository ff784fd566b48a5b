//! A proxy that answers by a rule: for tests of what stands in front of proxies, such as the load generator.

use super::{Peer, Surprise};
use crate::loopback::socket::wire::{self, Command};
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::sync::Arc;
use std::thread;

/// Accepts connections and answers their commands on one thread for each. Accepted connections outlive it
/// until the clients close them.
#[derive(Debug)]
pub struct Answering {
    address: SocketAddr,
}

impl Answering {
    /// `rule` receives a key and an id, may block, and returns the value to answer, or `None` for an error.
    pub fn start(
        rule: impl Fn(&[u8], &[u8]) -> Option<Vec<u8>> + Send + Sync + 'static,
    ) -> Result<Self, Surprise> {
        let failed = |source| Surprise::Io { what: "cannot open a port".into(), source };
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let rule = Arc::new(rule);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let rule = rule.clone();
                thread::spawn(move || {
                    let Ok(mut peer) = Peer::accepted(stream) else { return };
                    while let Ok(command) = peer.expect_command() {
                        let answered = match command {
                            Command::Keyed { key, id, .. } => match rule(&key, &id) {
                                Some(value) => peer.value(&value),
                                None => peer.error(),
                            },
                            Command::Ping => peer.write(b"+PONG\r\n"),
                            _ => peer.error(),
                        };
                        if answered.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        Ok(Answering { address })
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// The value that a node would have returned for this request.
    pub fn made(key: &[u8], id: &[u8]) -> Vec<u8> {
        wire::value(key, id, 0)
    }
}
