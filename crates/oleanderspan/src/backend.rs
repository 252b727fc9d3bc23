//! Backend servers: their state, their slots, and the queue before them.

pub mod cold;
pub mod listing;
pub mod pool;
pub mod server;
pub mod sign;

pub use listing::Listing;
pub use pool::{Pool, Waiter};
pub use server::Server;
pub use sign::Signs;

checked_name! {
    /// The name of a backend server.
    pub struct Name;
}
