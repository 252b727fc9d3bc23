//! How addresses are described in the JSON Schema of settings.

use schemars::{JsonSchema, r#gen::SchemaGenerator, schema::Schema};
use serde_json::json;

/// An IP number with a port; names are not looked up.
const PATTERN: &str = r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:.]+\]):\d{1,5}$";

/// The schema of an address with a port.
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
