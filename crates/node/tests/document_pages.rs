//! The committed JSON Schemas and the OpenAPI description match the code.
//!
//! `INSTA_UPDATE=always cargo test --locked -p oleanderspan-node --test document_pages` regenerates
//! them.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{env, fs, path::Path};

use oleanderspan_node::{control::operator, schema};

fn assert_page_is_current(file: &str, value: &impl serde::Serialize) {
    let file = Path::new("../../docs").join(file);
    let text = serde_json::to_string_pretty(value).unwrap() + "\n";
    if env::var("INSTA_UPDATE").is_ok_and(|update| update == "always") {
        fs::write(&file, &text).unwrap();
    }
    assert_eq!(fs::read_to_string(&file).unwrap(), text, "{}", file.display());
}

#[test]
fn schemas_are_up_to_date() {
    assert_page_is_current("schema/document.json", &schema::document_schema());
    assert_page_is_current("schema/settings.json", &schema::settings_schema());
}

#[test]
fn operator_openapi_is_up_to_date() {
    let api = operator::api().unwrap();
    let page = api.openapi("oleanderspan operator interface", "1.0.0".parse().unwrap());
    assert_page_is_current("openapi.json", &page.json().unwrap());
}
