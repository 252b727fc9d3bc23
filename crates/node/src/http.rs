//! HTTP server, client and body types, based on `hyper-util`.

pub mod body;
pub mod client;
pub mod head;
pub mod header;
pub mod meter;
pub mod server;
pub mod socket;

pub use body::Body;
pub use meter::Meter;
pub use socket::Socket;
