//! Claims of idempotency keys, so that a request runs at most once over all hosts.
//!
//! A claim is one row of the platform's table. It never expires: a host that is paused for any
//! time and wakes is still the only one that may run the request. What a host does after each
//! answer of the table, or after none, is decided by an [`Attempt`] and a [`Settlement`], which
//! know neither sockets nor clocks; [`table::Table`] is how they reach the row.

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

/// The largest body of an answer that is kept for repetitions, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 64 << 10;

/// An idempotency key that a caller chose, of 1 to 255 visible ASCII characters.
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
    /// Why a key was refused.
    pub enum KeyError {
        /// The key has no characters.
        Empty,
        /// The key is longer than [`MAX_KEY_BYTES`].
        TooLong {
            /// Its length.
            bytes: usize,
        },
        /// The key has a space, a control character or a character outside ASCII.
        Character,
    }

    /// Who holds a key, and what has become of the request.
    pub struct Claim {
        /// The operation that inserted the claim; one for each arrival of a request.
        pub operation: Box<str>,
        /// A digest of method, path and body, to detect a key that is used twice.
        pub digest: Box<str>,
        /// How far the request has come.
        pub state: State,
    }

    /// How far a claimed request has come.
    pub enum State {
        /// Claimed, and perhaps dispatched.
        Held,
        /// The request provably did not run; the key may be claimed again.
        Released,
        /// The request ran, and this was its answer.
        Done(Answer),
    }

    /// The answer of a claimed request, kept so that a repetition gets the same one.
    pub struct Answer {
        /// The status code.
        pub status: u16,
        /// The `Content-Type`, if it had one.
        pub content_type: Option<Box<str>>,
        /// The body, or `None` if it was too large to keep.
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
