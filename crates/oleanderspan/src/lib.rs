//! The decisions of oleanderspan: where a request goes, who may take it and what is in force.
//!
//! One folder an aggregate. Nothing here opens a socket, reads a clock of its own or names a
//! codec, so that another front end can use the same code; see `docs/DESIGN.md`.

#[macro_use]
mod derive;

pub mod availability;
pub mod backend;
pub mod caller;
pub mod clock;
pub mod document;
pub mod entry;
pub mod event;
pub mod name;
pub mod prelude;
pub mod region;
pub mod request;
pub mod route;
pub mod service;
pub mod shift;
pub mod snapshot;
