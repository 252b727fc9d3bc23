//! Content hashes, which identify documents and their parts.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Length of a content hash in bytes.
pub const BYTES: usize = 32;

key! {
    /// A content hash; text formats hold it as hexadecimal digits, binary formats as bytes.
    pub struct Hash([u8; BYTES]);
}

impl Hash {
    /// Wraps a digest computed elsewhere.
    pub const fn from_bytes(bytes: [u8; BYTES]) -> Hash {
        Hash(bytes)
    }
}

impl TryFrom<&str> for Hash {
    type Error = Error;

    fn try_from(raw: &str) -> Result<Hash, Error> {
        if raw.len() != 2 * BYTES {
            return Err(Error { length: raw.len() });
        }
        let mut bytes = [0; BYTES];
        for (byte, digits) in bytes.iter_mut().zip(raw.as_bytes().chunks(2)) {
            let digits = std::str::from_utf8(digits).unwrap_or("");
            *byte = u8::from_str_radix(digits, 16).map_err(|_| Error { length: raw.len() })?;
        }
        Ok(Hash(bytes))
    }
}

impl fmt::Display for Hash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl Serialize for Hash {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        if serializer.is_human_readable() {
            return serializer.collect_str(self);
        }
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Hash {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Hash, D::Error> {
        if deserializer.is_human_readable() {
            return deserializer.deserialize_str(Visitor);
        }
        deserializer.deserialize_bytes(Visitor)
    }
}

struct Visitor;

impl de::Visitor<'_> for Visitor {
    type Value = Hash;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a content hash of {BYTES} bytes")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Hash, E> {
        Hash::try_from(text).map_err(E::custom)
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Hash, E> {
        let length = || E::invalid_length(bytes.len(), &self);
        <[u8; BYTES]>::try_from(bytes).map(Hash).map_err(|_| length())
    }
}

value! {
    /// The text is not a hexadecimal content hash: wrong length, or a character that is no digit.
    pub struct Error {
        /// The length of the text in bytes.
        pub length: usize,
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "invalid content hash: expected {} hexadecimal digits, got {} bytes",
            2 * BYTES,
            self.length
        )
    }
}

impl std::error::Error for Error {}
