//! Byte string that serde encodes as bytes and not as a sequence of numbers.

use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// Bytes encoded without transformation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Blob(pub Bytes);

impl Serialize for Blob {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Blob, D::Error> {
        deserializer.deserialize_byte_buf(Visitor)
    }
}

struct Visitor;

impl de::Visitor<'_> for Visitor {
    type Value = Blob;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E: de::Error>(self, bytes: &[u8]) -> Result<Blob, E> {
        Ok(Blob(Bytes::copy_from_slice(bytes)))
    }

    fn visit_byte_buf<E: de::Error>(self, bytes: Vec<u8>) -> Result<Blob, E> {
        Ok(Blob(bytes.into()))
    }
}
