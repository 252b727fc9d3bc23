//! Claims of idempotency keys, which make a request run at most once across all hosts.
//!
//! A claim is one row of the platform's table. It never expires, so a host that is paused for any
//! length of time is still the only one that may run the request when it resumes.
//!
//! [`Attempt`] and [`Settlement`] are state machines without I/O or clocks: they decide the next
//! step after each reply of the table, or after a missing one. [`table::Table`] performs the steps.

pub mod attempt;
pub mod settlement;
pub mod table;

use std::fmt;

use crate::prelude::*;

pub use attempt::{Attempt, Decision};
pub use settlement::Settlement;
pub use table::{Expect, Reply, Row, Step, Table, Write};

/// The longest idempotency key accepted, in bytes.
pub const MAX_KEY_BYTES: usize = 255;

/// The largest answer body that is stored for repeated requests, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 64 << 10;

/// An idempotency key chosen by the caller: 1 to 255 visible ASCII characters.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Key(Arc<str>);

impl Key {
    /// Borrows the key as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for Key {
    type Error = KeyError;

    fn try_from(raw: &str) -> Result<Key, KeyError> {
        match raw.len() {
            0 => Err(KeyError::Empty),
            bytes if bytes > MAX_KEY_BYTES => Err(KeyError::TooLong { bytes }),
            _ if !raw.bytes().all(|b| b.is_ascii_graphic()) => Err(KeyError::Character),
            _ => Ok(Key(raw.into())),
        }
    }
}

value! {
    /// Why a text is not a valid idempotency key.
    pub enum KeyError {
        /// The key has no characters.
        Empty,
        /// The key is longer than [`MAX_KEY_BYTES`].
        TooLong {
            /// The length of the rejected key.
            bytes: usize,
        },
        /// The key contains a space, a control character or a non-ASCII character.
        Character,
    }

    /// Who holds a key, and the state of its request.
    pub struct Claim {
        /// The ID of the operation that wrote the claim, unique to one arrival of a request.
        pub operation: Box<str>,
        /// A digest of method, path and body, to detect a key reused for another request.
        pub digest: Box<str>,
        /// The state of the request.
        pub state: State,
    }

    /// The state of a claimed request.
    pub enum State {
        /// Claimed and possibly dispatched.
        Held,
        /// The request is known not to have run; the key may be claimed again.
        Released,
        /// The request ran and got this answer.
        Done(Answer),
    }

    /// The answer of a claimed request, stored so that a repeated request gets the same one.
    pub struct Answer {
        /// The HTTP status code; zero where a job stands in for a claim.
        pub status: u16,
        /// The `Content-Type` header, if the answer had one.
        pub content_type: Option<Box<str>>,
        /// The body, or `None` if it exceeded [`MAX_STORED_BODY_BYTES`].
        pub body: Option<Vec<u8>>,
    }
}

impl fmt::Display for KeyError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            KeyError::Empty => f.write_str("the key is empty"),
            KeyError::TooLong { bytes } => {
                write!(f, "the key has {bytes} bytes, over the limit of {MAX_KEY_BYTES}")
            }
            KeyError::Character => f.write_str("the key has a character that is not visible ASCII"),
        }
    }
}

impl std::error::Error for KeyError {}
