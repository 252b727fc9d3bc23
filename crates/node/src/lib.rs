//! The daemons of oleanderspan: settings, codecs, HTTP, the store client and the run loops.
//!
//! The `oleanderspan` library makes the decisions; this crate decodes input into its validated
//! types and encodes its results. See `docs/DESIGN.md`.

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
