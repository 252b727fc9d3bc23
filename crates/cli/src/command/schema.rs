//! `schema`: prints the JSON Schemas of the files that operators write.

use argh::FromArgs;
use oleanderspan_node::schema;

use super::Failure;

/// Print the JSON Schema of documents or of settings.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "schema")]
pub(super) struct Schema {
    /// which schema to print: document or settings
    #[argh(positional)]
    of: String,
}

impl Schema {
    pub(super) fn run(&self) -> Result<(), Failure> {
        let schema = match self.of.as_str() {
            "document" => schema::document_schema(),
            "settings" => schema::settings_schema(),
            other => {
                return Err(Failure::Usage(format!(
                    "unknown schema {other:?}: expected document or settings"
                )));
            }
        };
        let text = serde_json::to_string_pretty(&schema);
        println!("{}", text.map_err(|error| Failure::Usage(error.to_string()))?);
        Ok(())
    }
}
