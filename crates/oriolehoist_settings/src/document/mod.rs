//! Parsing and validation of documents: syntax, schema, and rules across branches.

mod check;
mod node;
mod rules;
mod schema;

pub(crate) use {
    check::check_schema,
    node::{Node, parse_node},
    schema::{Field, Schema},
};

use crate::{Problem, Problems, Settings, tree};

/// Maximum size of a document, in bytes. The store takes values of up to one megabyte, and a stored
/// version adds its own fields and the escapes of a JSON document within a JSON string.
const MAX_DOCUMENT_BYTES: usize = 480 * 1024;

/// A valid document.
#[derive(Clone, Debug)]
pub struct CheckedDocument {
    /// The typed settings.
    pub settings: Settings,
    /// The document as plain JSON, without comments.
    pub json: serde_json::Value,
}

/// Parses and validates a document.
///
/// # Errors
///
/// Returns every problem that was found. Rules across branches are checked only if every value
/// matches the schema.
pub fn parse_settings(text: &str) -> Result<CheckedDocument, Problems> {
    parse_with_positions(text).map(|(_, checked)| checked)
}

/// Parses and validates a document, and returns the positions of its values as well.
fn parse_with_positions(text: &str) -> Result<(Node, CheckedDocument), Problems> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(too_large(text.len()).into());
    }
    let root = parse_node(text)?;
    check_schema(&root, &tree::SITE)?;
    let json = root.to_json();
    let settings: Settings =
        serde_json::from_value(json.clone()).map_err(|error| type_mismatch(&error))?;
    rules::check(&root, &settings)?;
    Ok((root, CheckedDocument { settings, json }))
}

/// Parses and validates a document that is to replace the settings in force.
///
/// # Errors
///
/// Returns every problem of the document itself. If there is none, returns every change that a
/// running service does not allow: settings that determine the shard of a key, or on which the
/// safety of ownership depends, are fixed.
pub fn parse_settings_update(text: &str, before: &Settings) -> Result<CheckedDocument, Problems> {
    let (root, checked) = parse_with_positions(text)?;
    rules::check_update(&root, before, &checked.settings)?;
    Ok(checked)
}

fn too_large(bytes: usize) -> Problem {
    Problem {
        position: Default::default(),
        path: String::new(),
        expected: format!("a document of at most {MAX_DOCUMENT_BYTES} bytes"),
        found: format!("{bytes} bytes"),
    }
}

/// Reports a document that matches the schema but could not be deserialized.
fn type_mismatch(error: &serde_json::Error) -> Problem {
    Problem {
        position: Default::default(),
        path: String::new(),
        expected: "a document that matches the schema".into(),
        found: error.to_string(),
    }
}
