//! Requests: admission, memory of bodies, at-most-once claims, stored jobs, outcomes and retry budgets.

pub mod admission;
pub mod body_budget;
pub mod claim;
pub mod job;
pub mod outcome;
pub mod retry;

pub use claim::{Claim, Key};
pub use job::Job;
pub use outcome::{Outcome, Refusal};

value! {
    /// Matches idempotent requests of a service by method and path prefix.
    pub struct Pattern {
        /// The method, in upper case.
        pub method: Box<str>,
        /// The path prefix, matched at segment boundaries.
        pub path: Box<str>,
    }
}

impl Pattern {
    /// Whether a request matches. The prefix must end at a `/` or at the end of the path; the
    /// query string is ignored.
    pub fn matches(&self, method: &str, path: &str) -> bool {
        if &*self.method != method {
            return false;
        }
        let path = path.split_once('?').map_or(path, |(path, _query)| path);
        match path.strip_prefix(&*self.path) {
            Some(rest) => rest.is_empty() || rest.starts_with('/') || self.path.ends_with('/'),
            None => false,
        }
    }
}

/// Whether a request may be sent more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// Running it again has no further effect, so it may be retried and hedged.
    Idempotent,
    /// It must run at most once.
    Forbidden,
}

/// Metadata that the sending host passes on with a relayed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hop<'a> {
    /// The request ID, unchanged across hops and in log events.
    pub id: &'a str,
    /// Whether the request may be repeated.
    pub repeat: Repeat,
}
