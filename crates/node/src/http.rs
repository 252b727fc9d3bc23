//! HTTP by `hyper-util`: the server, the client and the bodies of both.

pub mod body;
pub mod client;
pub mod head;
pub mod header;
pub mod meter;
pub mod server;

pub use body::Body;
pub use meter::Meter;
