//! The thread of the relays.
#[derive(Debug)]
pub enum Order {}
#[derive(Debug)]
pub enum Answer {}
