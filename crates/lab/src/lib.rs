//! Test doubles for the systems around oleanderspan, a load generator and load measures.
//!
//! For tests and benchmarks only; nothing here runs in production.

pub mod cost;
pub mod deployment;
pub mod fleet;
pub mod load;
pub mod measure;
pub mod platform;
pub mod sample;
pub mod scale;
