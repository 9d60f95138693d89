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

/// A value of a document with its position.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) position: Position,
    pub(crate) content: Content,
}

/// What a [`Node`] holds.
#[derive(Clone, Debug)]
pub(crate) enum Content {
    Null,
    Flag(bool),
    Number(String),
    Text(String),
    List(Vec<Node>),
    Record(Vec<Member>),
}

/// One member of a record.
#[derive(Clone, Debug)]
pub(crate) struct Member {
    pub(crate) name: String,
    pub(crate) position: Position,
    pub(crate) value: Node,
}

/// The greatest depth of nesting. Every real document is far flatter.
const MAX_DEPTH: usize = 32;

/// Parses JSON with comments.
///
/// # Errors
///
/// Returns the first place at which the text is not JSON with comments.
pub(crate) fn parse_node(text: &str) -> Result<Node, Problem> {
    if nesting(text) > MAX_DEPTH {
        return Err(syntax(Position::default(), &format!("over {MAX_DEPTH} levels of brackets")));
    }
    let options = ParseOptions { allow_loose_object_property_names: false, ..Default::default() };
    let parsed = parse_to_ast(text, &CollectOptions::default(), &options).map_err(|error| {
        syntax(Position::at(text, error.range().start), &error.kind().to_string())
    })?;
    match parsed.value {
        Some(value) => Ok(convert(text, &value)),
        None => Err(syntax(Position::at(text, text.len()), "nothing")),
    }
}

/// Returns an upper bound of the nesting, so that the parser's recursion is bounded beforehand.
fn nesting(text: &str) -> usize {
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

fn syntax(position: Position, found: &str) -> Problem {
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
        Value::BooleanLit(lit) => Content::Flag(lit.value),
        Value::NumberLit(lit) => Content::Number(lit.value.to_owned()),
        Value::StringLit(lit) => Content::Text(lit.value.clone().into_owned()),
        Value::Array(array) => {
            Content::List(array.elements.iter().map(|v| convert(text, v)).collect())
        }
        Value::Object(object) => Content::Record(
            object
                .properties
                .iter()
                .map(|property| Member {
                    name: name_of(&property.name),
                    position: Position::at(text, property.range.start),
                    value: convert(text, &property.value),
                })
                .collect(),
        ),
    };
    Node { position: Position::at(text, value.range().start), content }
}

fn name_of(name: &ObjectPropName<'_>) -> String {
    match name {
        ObjectPropName::String(lit) => lit.value.clone().into_owned(),
        ObjectPropName::Word(word) => word.value.to_owned(),
    }
}

impl Node {
    /// Returns the member of a record with this name.
    pub(crate) fn member(&self, name: &str) -> Option<&Node> {
        match &self.content {
            Content::Record(members) => members.iter().find(|m| m.name == name).map(|m| &m.value),
            _ => None,
        }
    }

    /// Follows a path of member names.
    pub(crate) fn at(&self, path: &[&str]) -> Option<&Node> {
        path.iter().try_fold(self, |node, name| node.member(name))
    }

    /// Returns the value without positions.
    pub(crate) fn to_json(&self) -> Json {
        match &self.content {
            Content::Null => Json::Null,
            Content::Flag(flag) => Json::Bool(*flag),
            Content::Number(digits) => serde_json::from_str(digits).unwrap_or(Json::Null),
            Content::Text(text) => Json::String(text.clone()),
            Content::List(items) => Json::Array(items.iter().map(Node::to_json).collect()),
            Content::Record(members) => {
                Json::Object(members.iter().map(|m| (m.name.clone(), m.value.to_json())).collect())
            }
        }
    }

    /// Describes the value for an error message.
    pub(crate) fn describe(&self) -> String {
        match &self.content {
            Content::Null => "null".into(),
            Content::Flag(flag) => flag.to_string(),
            Content::Number(digits) => digits.clone(),
            Content::Text(text) => format!("\"{}\"", shorten(text)),
            Content::List(_) => "a list".into(),
            Content::Record(_) => "an object".into(),
        }
    }
}

/// The greatest length of a text that an error message quotes, in characters.
const MAX_QUOTED_CHARS: usize = 60;

fn shorten(text: &str) -> String {
    match text.char_indices().nth(MAX_QUOTED_CHARS) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text.to_owned(),
    }
}
