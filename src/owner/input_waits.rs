//! What the input of the connections at each port waits for, and what it was waiting for where a connection
//! was closed for want of a whole command. It decides nothing.

use super::ports::Service;
use crate::net::downstream::{InputState, InputWait};
use tracing::{debug, info};

/// A number for each [`InputWait`].
type WaitCounts = [u64; InputWait::ALL.len()];

/// The waits of one port.
#[derive(Clone, Copy, Debug, Default)]
struct PortWaits {
    /// The connections that wait now.
    open: WaitCounts,
    /// The connections closed since the start because no whole command had come in time.
    closed: WaitCounts,
    /// The input of the last one of them.
    last_closed: InputState,
}

/// The waits of all ports.
#[derive(Debug, Default)]
pub(super) struct InputWaits([PortWaits; Service::ALL.len()]);

impl InputWaits {
    /// A connection is closed because no whole command has come in time.
    pub(super) fn closed(&mut self, service: Service, input: InputState) {
        let port = &mut self.0[service as usize];
        port.closed[input.wait as usize] += 1;
        port.last_closed = input;
        let (port, wait, held, missing) = (service.name(), input.wait.name(), input.held, input.missing);
        debug!(
            event = "no_command",
            port,
            wait,
            held,
            missing,
            "{port}: no whole command in time; waited for {wait}, {held} bytes held, {missing} missing"
        );
    }

    /// Logs the waits of each port where any connection was closed for want of a whole command; `open` has
    /// the waits of all that are open.
    pub(super) fn log(&mut self, open: impl Iterator<Item = (Service, InputWait)>) {
        for port in &mut self.0 {
            port.open = WaitCounts::default();
        }
        for (service, wait) in open {
            self.0[service as usize].open[wait as usize] += 1;
        }
        for (service, waits) in Service::ALL.into_iter().zip(&self.0) {
            if waits.closed.iter().sum::<u64>() > 0 {
                log_port(service.name(), waits);
            }
        }
    }
}

fn log_port(port: &str, waits: &PortWaits) {
    let [bytes, room, turn, answer] = waits.open;
    let [closed_bytes, closed_room, closed_turn, closed_answer] = waits.closed;
    let InputState { held, missing, .. } = waits.last_closed;
    info!(
        event = "input_waits",
        port,
        bytes,
        room,
        turn,
        answer,
        closed_bytes,
        closed_room,
        closed_turn,
        closed_answer,
        held,
        missing,
        "input at {port}: waiting for bytes {bytes} room {room} turn {turn} answer {answer}; closed while waiting \
         for bytes {closed_bytes} room {closed_room} turn {closed_turn} answer {closed_answer}, the last with \
         {held} bytes held and {missing} missing"
    );
}
