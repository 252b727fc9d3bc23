//! JSON Schemas of documents and settings, and validation that reports every fault at once.

use std::fmt::Write;

use jsonschema::{ValidationError, error::ValidationErrorKind, paths::LocationSegment};
use oleanderspan::document::{self, Fault, ValidatedDocument, raw};
use schemars::{JsonSchema, schema::RootSchema, schema_for};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::{codec, settings};

/// Longer reasons are truncated, as they may contain the whole invalid value.
const MAX_REASON_CHARS: usize = 200;

/// JSON Schema of a document, as in `docs/schema/document.json`.
pub fn document_schema() -> RootSchema {
    schema_for!(raw::Document)
}

/// JSON Schema of the settings file, as in `docs/schema/settings.json`.
pub fn settings_schema() -> RootSchema {
    schema_for!(settings::Raw)
}

/// Decodes and validates a document; the error lists every fault.
pub fn read_document(bytes: &[u8]) -> Result<raw::Document, document::Error> {
    let raw = read(bytes, document_schema())?;
    ValidatedDocument::try_from(&raw)?;
    Ok(raw)
}

/// Decodes a value; the error lists every path at which it violates the schema.
pub fn read<T: DeserializeOwned + JsonSchema>(
    bytes: &[u8],
    schema: RootSchema,
) -> Result<T, document::Error> {
    let value: Value = codec::from_json(bytes).map_err(single_fault)?;
    let faults = schema_faults(&value, schema);
    if !faults.is_empty() {
        return Err(document::Error { faults });
    }
    codec::from_json(bytes).map_err(single_fault)
}

fn single_fault(error: codec::Error) -> document::Error {
    let fault = match error {
        codec::Error::Decode { path, reason } => Fault { path, reason },
        codec::Error::Encode(reason) => Fault { path: ".".to_owned(), reason },
    };
    document::Error { faults: vec![fault] }
}

fn schema_faults(value: &Value, schema: RootSchema) -> Vec<Fault> {
    let schema = serde_json::to_value(schema).unwrap_or_default();
    let validator = match jsonschema::validator_for(&schema) {
        Ok(validator) => validator,
        Err(error) => return vec![Fault { path: ".".to_owned(), reason: error.to_string() }],
    };
    let mut faults: Vec<Fault> = validator.iter_errors(value).flat_map(|e| faults_of(&e)).collect();
    faults.sort_by(|a, b| a.path.cmp(&b.path));
    faults
}

/// Converts a schema error into faults: one per unknown or missing key, otherwise a single one.
fn faults_of(error: &ValidationError<'_>) -> Vec<Fault> {
    let mut path = String::new();
    for segment in error.instance_path() {
        match segment {
            LocationSegment::Property(name) => push_key(&mut path, &name),
            LocationSegment::Index(i) => {
                let _ = write!(path, "[{i}]");
            }
        }
    }
    let fault_at = |key: &str, reason: &str| {
        let mut path = path.clone();
        push_key(&mut path, key);
        Fault { path, reason: reason.to_owned() }
    };
    match error.kind() {
        ValidationErrorKind::AdditionalProperties { unexpected } => {
            unexpected.iter().map(|key| fault_at(key, "unknown key")).collect()
        }
        ValidationErrorKind::Required { property } => {
            vec![fault_at(property.as_str().unwrap_or_default(), "missing")]
        }
        // Addresses are the only strings whose schema has a pattern.
        ValidationErrorKind::Pattern { .. } => {
            let reason = format!("wanted an IP address with a port, found {}", error.instance());
            vec![Fault { path, reason }]
        }
        _ => {
            let reason: String = error.to_string().chars().take(MAX_REASON_CHARS).collect();
            vec![Fault { path: if path.is_empty() { ".".to_owned() } else { path }, reason }]
        }
    }
}

/// Appends a key to a path; in brackets if it contains characters not allowed in names.
fn push_key(path: &mut String, key: &str) {
    let is_plain = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '-';
    if !key.chars().all(is_plain) {
        let _ = write!(path, "[{key:?}]");
        return;
    }
    if !path.is_empty() {
        path.push('.');
    }
    path.push_str(key);
}
