//! From text to checked settings: parsing with positions, shapes, and rules across branches.

mod check;
mod cross;
mod node;
mod schema;

pub(crate) use {
    check::check_shape,
    node::{Node, parse_node},
    schema::{Field, Shape},
};

use crate::{Problem, Problems, Settings, tree};

/// The greatest size of a document, in bytes. The store takes values of up to a megabyte, and a
/// version adds its own fields and the escapes of a text within a text.
const MAX_DOCUMENT_BYTES: usize = 480 * 1024;

/// A document that passed every check.
#[derive(Clone, Debug)]
pub struct Checked {
    /// The settings.
    pub settings: Settings,
    /// The document as plain JSON, without comments.
    pub json: serde_json::Value,
}

/// Parses and checks a whole document.
///
/// # Errors
///
/// Returns every problem that was found. Rules across branches are looked at only once every
/// value has the right shape.
pub fn parse(text: &str) -> Result<Checked, Problems> {
    parse_placed(text).map(|(_, checked)| checked)
}

/// Parses and checks a whole document, and keeps the positions.
fn parse_placed(text: &str) -> Result<(Node, Checked), Problems> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(oversized(text.len()).into());
    }
    let root = parse_node(text)?;
    check_shape(&root, &tree::ROOT)?;
    let json = root.to_json();
    let settings: Settings =
        serde_json::from_value(json.clone()).map_err(|error| disagreement(&error))?;
    cross::check(&root, &settings)?;
    Ok((root, Checked { settings, json }))
}

/// Parses and checks a document that is to replace settings in force.
///
/// # Errors
///
/// Returns every problem of the document itself, or else every change that a running service
/// does not allow: what a key's shard and the safety of ownership rest on is fixed.
pub fn parse_change(text: &str, before: &Settings) -> Result<Checked, Problems> {
    let (root, checked) = parse_placed(text)?;
    cross::check_change(&root, before, &checked.settings)?;
    Ok(checked)
}

fn oversized(bytes: usize) -> Problem {
    Problem {
        position: Default::default(),
        path: String::new(),
        expected: format!("a document of at most {MAX_DOCUMENT_BYTES} bytes"),
        found: format!("{bytes} bytes"),
    }
}

/// Reports that a value passed the schema and was still refused by its type.
fn disagreement(error: &serde_json::Error) -> Problem {
    Problem {
        position: Default::default(),
        path: String::new(),
        expected: "a document that fits the schema".into(),
        found: error.to_string(),
    }
}
