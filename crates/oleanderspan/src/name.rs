//! Validation of names, shared by all aggregates.

use std::fmt;

use crate::prelude::*;

/// Maximum length of a name in bytes, that of a DNS label.
pub const MAX_BYTES: usize = 63;

/// A name of 1 to 63 lower-case letters, digits and hyphens that starts with a letter or digit.
///
/// It is reference-counted because names are copied into events and snapshots.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Label(Arc<str>);

impl Label {
    /// The validated name as a string slice.
    pub fn as_str(&self) -> &str {
        &self.0
    }
}

impl TryFrom<&str> for Label {
    type Error = Error;

    fn try_from(raw: &str) -> Result<Label, Error> {
        if raw.is_empty() {
            return Err(Error::Empty);
        }
        if raw.len() > MAX_BYTES {
            return Err(Error::TooLong { bytes: raw.len() });
        }
        if let Some(found) = raw.chars().find(|c| !is_allowed(*c)) {
            return Err(Error::Character { found });
        }
        if raw.starts_with('-') {
            return Err(Error::Character { found: '-' });
        }
        Ok(Label(raw.into()))
    }
}

fn is_allowed(c: char) -> bool {
    c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-'
}

value! {
    /// Why a name is invalid.
    pub enum Error {
        /// The name is the empty string.
        Empty,
        /// The name is longer than [`MAX_BYTES`].
        TooLong {
            /// The length found, in bytes.
            bytes: usize,
        },
        /// The name contains a character other than `a-z`, `0-9` and `-`, or starts with a hyphen.
        Character {
            /// The first invalid character, or `-` for a leading hyphen.
            found: char,
        },
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Empty => f.write_str("the name is empty"),
            Error::TooLong { bytes } => {
                write!(f, "the name is {bytes} bytes long, the maximum is {MAX_BYTES}")
            }
            Error::Character { found } => {
                write!(f, "the name contains {found:?}; allowed: a-z, 0-9 and non-leading '-'")
            }
        }
    }
}

impl std::error::Error for Error {}
