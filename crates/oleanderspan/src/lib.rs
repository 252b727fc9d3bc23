//! Domain logic of oleanderspan: request routing, admission and the document in force.
//!
//! Each aggregate has its own module folder. The crate performs no I/O, takes the time as an
//! argument and depends on no wire format, so that other front ends can reuse it; see
//! `docs/DESIGN.md`.

#[macro_use]
mod derive;

pub mod availability;
pub mod backend;
pub mod caller;
pub mod clock;
pub mod customer;
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
