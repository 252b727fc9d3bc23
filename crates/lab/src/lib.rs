//! Fakes of the platform and of backend servers, a load generator and benchmarks.
//!
//! For tests and benchmarks only; nothing in this crate runs in production.

pub mod cost;
pub mod deployment;
pub mod fleet;
pub mod load;
pub mod measure;
pub mod platform;
pub mod sample;
pub mod scale;
