//! Generated pages are committed and up to date.
//!
//! `INSTA_UPDATE=always cargo test --locked -p oleanderspan-node --test document_pages` writes
//! them again.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::{env, fs, path::Path};

use oleanderspan_node::{control::operator, schema};

fn assert_committed(file: &str, value: &impl serde::Serialize) {
    let file = Path::new("../../docs").join(file);
    let text = serde_json::to_string_pretty(value).unwrap() + "\n";
    if env::var("INSTA_UPDATE").is_ok_and(|update| update == "always") {
        fs::write(&file, &text).unwrap();
    }
    assert_eq!(fs::read_to_string(&file).unwrap(), text, "{}", file.display());
}

#[test]
fn the_schemas_are_up_to_date() {
    assert_committed("schema/document.json", &schema::of_documents());
    assert_committed("schema/settings.json", &schema::of_settings());
}

#[test]
fn the_description_of_the_operator_interface_is_up_to_date() {
    let api = operator::api().unwrap();
    let page = api.openapi("oleanderspan operator interface", "1.0.0".parse().unwrap());
    assert_committed("openapi.json", &page.json().unwrap());
}
