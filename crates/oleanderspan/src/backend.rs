//! Backend servers: their state, their slots, and the queues of requests that wait for them.

pub mod cache_model;
pub mod cache_state;
pub mod cold;
pub mod listing;
pub mod notice;
pub mod pool;
pub mod recent_objects;
pub mod server;
pub mod sign;

pub use cache_model::CacheModel;
pub use cache_state::CacheState;
pub use listing::Listing;
pub use notice::{Notice, Notices, Sender};
pub use pool::{Pool, Waiter};
pub use recent_objects::{Object, ReuseDistance};
pub use server::Server;
pub use sign::Signs;

checked_name! {
    /// The name of a backend server; a restarted server may reuse it.
    pub struct Name;
}
