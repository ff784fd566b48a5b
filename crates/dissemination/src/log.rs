//! The changes that a control machine holds.
