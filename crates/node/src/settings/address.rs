//! Description of addresses in the JSON Schema of the settings.

use schemars::{JsonSchema, r#gen::SchemaGenerator, schema::Schema};
use serde_json::json;

/// An IPv4 or bracketed IPv6 address with a port; host names are not resolved.
const PATTERN: &str = r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.]+\]):\d{1,5}$";

/// JSON Schema of an IP address with a port.
#[derive(Debug)]
pub struct Text;

impl JsonSchema for Text {
    fn schema_name() -> String {
        "Address".to_owned()
    }

    fn json_schema(_: &mut SchemaGenerator) -> Schema {
        let schema = json!({
            "type": "string",
            "description": "An IP address with a port, as in 10.0.0.1:7000 or [fd00::1]:7000.",
            "pattern": PATTERN,
        });
        serde_json::from_value(schema).unwrap_or(Schema::Bool(true))
    }
}
