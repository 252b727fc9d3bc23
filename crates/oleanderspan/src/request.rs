//! Requests: what they are, how they may end, and who may run them.

pub mod admission;
pub mod claim;
pub mod job;
pub mod outcome;
pub mod retry;

pub use claim::{Claim, Key};
pub use job::Job;
pub use outcome::{Outcome, Refusal};

value! {
    /// The requests of a service that may be repeated without harm: a method and a path prefix.
    pub struct Pattern {
        /// The method, in upper case.
        pub method: Box<str>,
        /// What the path starts with.
        pub path: Box<str>,
    }
}

impl Pattern {
    /// Whether a request matches; a path prefix ends only at a `/` or at the end of the path.
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

/// What a repetition of a request would do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    /// It may be repeated without harm, so it may be retried and hedged.
    Idempotent,
    /// It must run at most once.
    Forbidden,
}

/// What the sender of a request knows about it; a header of the relay between hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hop<'a> {
    /// The request's identity, equal on every hop and in every event.
    pub id: &'a str,
    /// Whether the request may be repeated.
    pub repeat: Repeat,
}
