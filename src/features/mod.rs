//! The features that our own file turns on, a unit each. With none of them the proxy is what it is without
//! the file; decisions stay in the module whatever is on.

pub mod addresses;
pub mod control;
pub mod figures;
pub mod file;
pub mod follower;
pub mod forwarder;
pub mod multiget;
pub mod planner;
pub mod snmp;
pub mod tap;
