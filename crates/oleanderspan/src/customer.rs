//! Customers: who sends a request, and what the operator allows them; see `docs/CUSTOMERS.md`.

pub mod directory;
pub mod quota;
pub mod raw;
pub mod share;

use std::fmt;

pub use directory::Directory;
pub use share::Shares;

use crate::region;

checked_name! {
    /// The name of a customer, unique in its route document.
    pub struct Name;
}

/// Allows a table to be searched for a name in a message without copying it.
impl std::borrow::Borrow<str> for Name {
    fn borrow(&self) -> &str {
        self.as_str()
    }
}

value! {
    /// A customer and its terms.
    pub struct Customer {
        /// The name that backend servers are told.
        pub name: Name,
        /// The priority of its requests, which precedes that of their routes; `None` to use the
        /// latter.
        pub priority: Option<u8>,
        /// The limit of its requests over all hosts together; `None` if they are not limited.
        pub quota: Option<Quota>,
        /// The regions that may serve it; empty if all of them may.
        pub homes: Box<[region::Name]>,
    }
}

key! {
    /// A request rate and the burst that may exceed it, as of a token bucket.
    pub struct Quota {
        /// Requests in 1,000 seconds; above 0.
        pub per_1000_s: u64,
        /// Requests beyond the rate that may come at once.
        pub burst: u32,
    }
}

/// The secret that identifies a customer. It is never printed, so that it gets into no log.
#[derive(Clone, PartialEq, Eq, Hash)]
pub struct Key(Box<[u8]>);

impl TryFrom<&str> for Key {
    type Error = EmptyKey;

    fn try_from(raw: &str) -> Result<Key, EmptyKey> {
        if raw.is_empty() { Err(EmptyKey) } else { Ok(Key(raw.as_bytes().into())) }
    }
}

impl std::borrow::Borrow<[u8]> for Key {
    fn borrow(&self) -> &[u8] {
        &self.0
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}

key! {
    /// A key without any text, which would identify the requests that have none.
    pub struct EmptyKey;
}

impl fmt::Display for EmptyKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the key is empty")
    }
}

impl std::error::Error for EmptyKey {}
