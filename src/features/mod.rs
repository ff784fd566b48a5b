//! Features that the feature file enables, one module each. Without any of them the proxy behaves as without
//! the file. Routing decisions always stay in the decision module.

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
