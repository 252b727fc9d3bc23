//! Encoding and decoding: MessagePack between the processes of oleanderspan; JSON for operators,
//! settings and the store.

use std::fmt;

use oleanderspan::document::Hash;
use serde::{Serialize, de::DeserializeOwned};

/// Maximum depth of a MessagePack value, above that of all messages and saved values. A deeper one,
/// also in a field that is not used, would overflow the stack and end the process.
const MAX_WIRE_DEPTH: usize = 32;

/// Encodes a value as MessagePack with named fields, so that later versions can add fields.
pub fn to_wire<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    rmp_serde::to_vec_named(value).map_err(|error| Error::Encode(error.to_string()))
}

/// Decodes a value from MessagePack. The error path is empty.
pub fn from_wire<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let mut reader = rmp_serde::Deserializer::from_read_ref(bytes);
    reader.set_max_depth(MAX_WIRE_DEPTH);
    T::deserialize(&mut reader)
        .map_err(|error| Error::Decode { path: String::new(), reason: error.to_string() })
}

/// Encodes a value as JSON.
pub fn to_json<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(value).map_err(|error| Error::Encode(error.to_string()))
}

/// Decodes a value from JSON; an error has the path of the invalid field. Trailing data is an
/// error.
pub fn from_json<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let mut reader = serde_json::Deserializer::from_slice(bytes);
    let value = serde_path_to_error::deserialize(&mut reader).map_err(|error| Error::Decode {
        path: error.path().to_string(),
        reason: error.inner().to_string(),
    })?;
    reader
        .end()
        .map_err(|error| Error::Decode { path: ".".to_owned(), reason: error.to_string() })?;
    Ok(value)
}

/// BLAKE3 hash of bytes.
pub fn content_hash(bytes: &[u8]) -> Hash {
    Hash::from_bytes(*blake3::hash(bytes).as_bytes())
}

/// BLAKE3 hash of bytes, in hexadecimal.
pub fn content_hash_hex(bytes: &[u8]) -> String {
    content_hash(bytes).to_string()
}

/// Error of encoding or decoding.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// The value cannot be represented in the format.
    Encode(String),
    /// The bytes are not a valid value of the expected type.
    Decode {
        /// Path of the invalid field, such as `hosts[2].name`; `.` for the whole value, empty if
        /// unknown.
        path: String,
        /// What was expected and what was found.
        reason: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Encode(reason) => write!(f, "encoding failed: {reason}"),
            Error::Decode { path, reason } if path.is_empty() => f.write_str(reason),
            Error::Decode { path, reason } => write!(f, "{path}: {reason}"),
        }
    }
}

impl std::error::Error for Error {}
