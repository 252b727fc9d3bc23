//! The daemons of oleanderspan: settings, codecs, HTTP, the store client and the run loops.
//!
//! Decisions live in the `oleanderspan` library; this crate turns bytes into its checked types
//! and its answers into bytes. See `docs/DESIGN.md`.

pub mod arguments;
pub mod clock;
pub mod codec;
pub mod control;
pub mod daemon;
pub mod entry;
pub mod gateway;
pub mod http;
pub mod log;
pub mod metrics;
pub mod schema;
pub mod settings;
pub mod store;
pub mod wire;
