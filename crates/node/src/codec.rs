//! Bytes to raw types and back: MessagePack between our processes, JSON for people.

use std::fmt;

use oleanderspan::document::Hash;
use serde::{Serialize, de::DeserializeOwned};

/// Writes a value as MessagePack with named fields, so that fields can be added later.
pub fn to_wire<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    rmp_serde::to_vec_named(value).map_err(|error| Error::Encode(error.to_string()))
}

/// Reads a value from MessagePack.
pub fn from_wire<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    rmp_serde::from_slice(bytes)
        .map_err(|error| Error::Decode { path: String::new(), reason: error.to_string() })
}

/// Writes a value as JSON.
pub fn to_json<T: Serialize>(value: &T) -> Result<Vec<u8>, Error> {
    serde_json::to_vec(value).map_err(|error| Error::Encode(error.to_string()))
}

/// Reads a value from JSON; an error names the place.
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

/// The content hash of bytes.
pub fn content_hash(bytes: &[u8]) -> Hash {
    Hash::from_bytes(*blake3::hash(bytes).as_bytes())
}

/// The content hash of bytes, in hexadecimal.
pub fn content_hash_hex(bytes: &[u8]) -> String {
    content_hash(bytes).to_string()
}

/// Why bytes could not be read or written.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Error {
    /// A value has no form in the codec.
    Encode(String),
    /// The bytes are not such a value.
    Decode {
        /// Where, as a path of fields.
        path: String,
        /// What was found and wanted.
        reason: String,
    },
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Encode(reason) => write!(f, "cannot encode: {reason}"),
            Error::Decode { path, reason } if path.is_empty() => f.write_str(reason),
            Error::Decode { path, reason } => write!(f, "{path}: {reason}"),
        }
    }
}

impl std::error::Error for Error {}
