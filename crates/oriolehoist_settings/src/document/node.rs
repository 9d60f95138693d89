use {
    crate::{Position, Problem},
    jsonc_parser::{
        CollectOptions, ParseOptions,
        ast::{ObjectPropName, Value},
        common::Ranged,
        parse_to_ast,
    },
    serde_json::Value as Json,
};

/// A value in a document, with its position.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) position: Position,
    pub(crate) content: Content,
}

/// Content of a [`Node`].
#[derive(Clone, Debug)]
pub(crate) enum Content {
    Null,
    Bool(bool),
    Number(String),
    String(String),
    Array(Vec<Node>),
    Object(Vec<Member>),
}

/// One member of an object.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) name: String,
    pub(crate) position: Position,
    pub(crate) value: Node,
}

/// Maximum nesting depth. Real documents are nested far less deeply.
const MAX_DEPTH: usize = 32;

/// Parses JSON with comments.
///
/// # Errors
///
/// Returns the position of the first syntax error.
pub(crate) fn parse_node(text: &str) -> Result<Node, Problem> {
    // The depth is checked before parsing, because the parser recurses.
    if estimate_nesting_depth(text) > MAX_DEPTH {
        return Err(syntax_error(
            Position::default(),
            &format!("over {MAX_DEPTH} levels of brackets"),
        ));
    }
    let options = ParseOptions { allow_loose_object_property_names: false, ..Default::default() };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &options).map_err(|error| {
        syntax_error(Position::at(text, error.range().start), &error.kind().to_string())
    })?;
    match parsed.value {
        Some(value) => Ok(convert(text, &value)),
        None => Err(syntax_error(Position::at(text, text.len()), "nothing")),
    }
}

/// Estimates the nesting depth by counting brackets, including those in strings and comments.
fn estimate_nesting_depth(text: &str) -> usize {
    let mut depth = 0_usize;
    let mut deepest = 0;
    for byte in text.bytes() {
        match byte {
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth = depth.saturating_sub(1),
            _ => {}
        }
        deepest = deepest.max(depth);
    }
    deepest
}

fn syntax_error(position: Position, found: &str) -> Problem {
    Problem {
        position,
        path: String::new(),
        expected: "JSON with comments".into(),
        found: found.into(),
    }
}

fn convert(text: &str, value: &Value<'_>) -> Node {
    let content = match value {
        Value::NullKeyword(_) => Content::Null,
        Value::BooleanLit(lit) => Content::Bool(lit.value),
        Value::NumberLit(lit) => Content::Number(lit.value.to_owned()),
        Value::StringLit(lit) => Content::String(lit.value.clone().into_owned()),
        Value::Array(array) => {
            Content::Array(array.elements.iter().map(|value| convert(text, value)).collect())
        }
        Value::Object(object) => Content::Object(
            object
                .properties
                .iter()
                .map(|property| Member {
                    name: property_name(&property.name),
                    position: Position::at(text, property.range.start),
                    value: convert(text, &property.value),
                })
                .collect(),
        ),
    };
    Node { position: Position::at(text, value.range().start), content }
}

fn property_name(name: &ObjectPropName<'_>) -> String {
    match name {
        ObjectPropName::String(lit) => lit.value.clone().into_owned(),
        ObjectPropName::Word(word) => word.value.to_owned(),
    }
}

impl Node {
    /// Returns the member with this name, if the node is an object that has one.
    pub(crate) fn member(&self, name: &str) -> Option<&Node> {
        match &self.content {
            Content::Object(members) => {
                members.iter().find(|member| member.name == name).map(|member| &member.value)
            }
            _ => None,
        }
    }

    /// Returns the node at a path of member names.
    pub(crate) fn at(&self, path: &[&str]) -> Option<&Node> {
        path.iter().try_fold(self, |node, name| node.member(name))
    }

    /// Returns the value without positions.
    pub(crate) fn to_json(&self) -> Json {
        match &self.content {
            Content::Null => Json::Null,
            Content::Bool(value) => Json::Bool(*value),
            Content::Number(digits) => serde_json::from_str(digits).unwrap_or(Json::Null),
            Content::String(text) => Json::String(text.clone()),
            Content::Array(items) => Json::Array(items.iter().map(Node::to_json).collect()),
            Content::Object(members) => Json::Object(
                members
                    .iter()
                    .map(|member| (member.name.clone(), member.value.to_json()))
                    .collect(),
            ),
        }
    }

    /// Describes the value for an error message.
    pub(crate) fn describe(&self) -> String {
        match &self.content {
            Content::Null => "null".into(),
            Content::Bool(value) => value.to_string(),
            Content::Number(digits) => digits.clone(),
            Content::String(text) => format!("\"{}\"", truncate(text)),
            Content::Array(_) => "a list".into(),
            Content::Object(_) => "an object".into(),
        }
    }
}

/// Maximum length of a string quoted in an error message, in characters.
const MAX_QUOTED_CHARS: usize = 60;

fn truncate(text: &str) -> String {
    match text.char_indices().nth(MAX_QUOTED_CHARS) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text.to_owned(),
    }
}
