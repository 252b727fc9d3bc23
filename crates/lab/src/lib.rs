//! Small stand-ins for what surrounds oleanderspan, a load tool and measures.
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
