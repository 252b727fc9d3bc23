//! Customers as written by the operator, before validation.

use std::fmt;

/// One customer.
#[derive(Clone, PartialEq, Eq)]
pub struct Customer {
    /// The path of the customer in the operator's document, for errors.
    pub at: String,
    /// The name, unique in the document.
    pub name: String,
    /// The keys that identify the customer; each belongs to one customer only.
    pub keys: Vec<String>,
    /// The priority of its requests; `None` to use that of their routes. Values above 255 count as
    /// 255.
    pub priority: Option<u64>,
    /// The request rate over all hosts, in requests per 1,000 seconds; 0 for no limit.
    pub per_1000_s: u64,
    /// Requests beyond the rate that may come at once.
    pub burst: u64,
    /// The regions that may serve the customer; empty if all of them may.
    pub homes: Vec<String>,
}

/// Leaves out the keys, which are secret.
impl fmt::Debug for Customer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Customer")
            .field("at", &self.at)
            .field("name", &self.name)
            .field("keys", &self.keys.len())
            .field("priority", &self.priority)
            .field("per_1000_s", &self.per_1000_s)
            .field("burst", &self.burst)
            .field("homes", &self.homes)
            .finish()
    }
}

value! {
    /// The customers of a document.
    #[derive(Default)]
    pub struct Directory {
        /// The customers that could be read.
        pub customers: Vec<Customer>,
        /// Whether there are others that could not be read, whose keys are therefore not known.
        pub is_partial: bool,
    }
}
