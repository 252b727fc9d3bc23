//! `diff`: previews the changes and traffic shifts of a document before it is proposed.

use std::{collections::BTreeSet, net::SocketAddr, path::PathBuf};

use argh::FromArgs;
use oleanderspan::document::{self, raw};
use serde_json::Value;

use super::{Failure, active_document, load_document};

/// Show the changes and traffic shifts between the document in force, or another file, and a
/// document.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "diff")]
pub(super) struct Diff {
    /// compare with the document in force; address of the operator interface of any host
    #[argh(option)]
    control: Option<SocketAddr>,
    /// file of the document
    #[argh(positional)]
    file: PathBuf,
    /// file of the document to compare with
    #[argh(positional)]
    other: Option<PathBuf>,
}

impl Diff {
    pub(super) async fn run(&self) -> Result<(), Failure> {
        let after = load_document(&self.file)?;
        let before = match (self.control, &self.other) {
            (Some(control), None) => {
                let active = active_document(control, &after.environment).await?;
                println!("against version {}", active.version);
                active.document
            }
            (None, Some(other)) => load_document(other)?,
            _ => return Err(Failure::Usage("pass either --control or a second file".to_owned())),
        };
        let lines = diff_lines(before, after);
        if lines.is_empty() {
            println!("no change");
        }
        lines.iter().for_each(|line| println!("{line}"));
        Ok(())
    }
}

fn diff_lines(mut before: raw::Document, mut after: raw::Document) -> Vec<String> {
    let diff = document::Diff::between(&before, &after);
    // Routes and address blocks have summary lines of their own, so they are left out of the
    // comparison by key.
    for document in [&mut before, &mut after] {
        document.blocks.clear();
        document.services.values_mut().for_each(|service| service.routes.clear());
    }
    let mut lines: Vec<String> = diff.shifts.iter().map(ToString::to_string).collect();
    let (before, after) = (serde_json::to_value(before), serde_json::to_value(after));
    diff_values("", &before.unwrap_or_default(), &after.unwrap_or_default(), &mut lines);
    if !diff.blocks.is_empty() {
        lines.push(diff.blocks.to_string());
    }
    lines
}

fn diff_values(path: &str, before: &Value, after: &Value, lines: &mut Vec<String>) {
    match (before, after) {
        (Value::Object(before), Value::Object(after)) => {
            let keys: BTreeSet<&String> = before.keys().chain(after.keys()).collect();
            for key in keys {
                let path = if path.is_empty() { key.clone() } else { format!("{path}.{key}") };
                match (before.get(key), after.get(key)) {
                    (Some(before), Some(after)) => diff_values(&path, before, after, lines),
                    (Some(_), None) => lines.push(format!("{path}: removed")),
                    _ => lines.push(format!("{path}: added")),
                }
            }
        }
        (Value::Array(before), Value::Array(after)) => diff_arrays(path, before, after, lines),
        _ if before != after => lines.push(format!("{path}: {before} -> {after}")),
        _ => {}
    }
}

/// Compares arrays as sets: in documents they list names or small records whose order has no
/// meaning.
fn diff_arrays(path: &str, before: &[Value], after: &[Value], lines: &mut Vec<String>) {
    let added = after.iter().filter(|value| !before.contains(value));
    lines.extend(added.map(|value| format!("{path}: {value} added")));
    let removed = before.iter().filter(|value| !after.contains(value));
    lines.extend(removed.map(|value| format!("{path}: {value} removed")));
}
