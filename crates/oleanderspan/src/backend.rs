//! Backend servers: their state, their slots, and the queue before them.

pub mod cold;
pub mod listing;
pub mod memory;
pub mod pool;
pub mod recollection;
pub mod server;
pub mod sign;
pub mod warmth;

pub use listing::Listing;
pub use memory::{Object, Recall};
pub use pool::{Pool, Waiter};
pub use recollection::Recollection;
pub use server::Server;
pub use sign::Signs;
pub use warmth::Warmth;

checked_name! {
    /// The name of a backend server.
    pub struct Name;
}
