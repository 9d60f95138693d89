use {
    crate::{
        Position, Problem, Problems,
        document::{
            Field, Node, Schema,
            node::{Content, Member},
        },
    },
    std::{collections::HashSet, net::SocketAddr},
};

/// Checks that a document matches a schema.
///
/// # Errors
///
/// Returns every value that does not match.
pub(crate) fn check_schema(root: &Node, schema: &Schema) -> Result<(), Problems> {
    let mut checker = Checker { path: Vec::new(), problems: Vec::new() };
    checker.visit(root, schema);
    Problems::ok_if_empty(checker.problems, ())
}

/// Maximum length of a name, in bytes.
const MAX_NAME_BYTES: usize = 64;

struct Checker {
    path: Vec<String>,
    problems: Vec<Problem>,
}

impl Checker {
    fn visit(&mut self, node: &Node, schema: &Schema) {
        match (&node.content, schema) {
            (Content::Object(members), Schema::Object(fields)) => {
                self.visit_object(node, members, fields);
            }
            (Content::Object(members), Schema::Map(value)) => self.visit_map(members, value),
            (Content::Array(items), Schema::Array(item)) => self.visit_array(items, item),
            (content, _) if matches_scalar(content, schema) => {}
            _ => self.report(node.position, schema.describe(), node.describe()),
        }
    }

    fn visit_object(&mut self, node: &Node, members: &[Member], fields: &[Field]) {
        self.report_duplicates(members);
        for member in members {
            let field = fields.iter().find(|field| field.name == member.name);
            self.path.push(member.name.clone());
            match field {
                Some(field) => self.visit(&member.value, &field.schema),
                None => self.report(member.position, one_of(fields), "an unknown name".into()),
            }
            self.path.pop();
        }
        for field in fields.iter().filter(|field| field.required) {
            if !members.iter().any(|member| member.name == field.name) {
                let expected = format!("the field \"{}\"", field.name);
                self.report(node.position, expected, "an object without it".into());
            }
        }
    }

    fn visit_map(&mut self, members: &[Member], value: &Schema) {
        self.report_duplicates(members);
        for member in members {
            self.path.push(member.name.clone());
            if !is_name(&member.name) {
                let found = format!("\"{}\"", member.name);
                self.report(member.position, Schema::Name.describe(), found);
            }
            self.visit(&member.value, value);
            self.path.pop();
        }
    }

    fn visit_array(&mut self, items: &[Node], item: &Schema) {
        for (index, node) in items.iter().enumerate() {
            self.path.push(index.to_string());
            self.visit(node, item);
            self.path.pop();
        }
    }

    fn report_duplicates(&mut self, members: &[Member]) {
        let mut seen = HashSet::new();
        for member in members.iter().filter(|member| !seen.insert(member.name.as_str())) {
            self.path.push(member.name.clone());
            self.report(member.position, "each name once".into(), "a name given twice".into());
            self.path.pop();
        }
    }

    fn report(&mut self, position: Position, expected: String, found: String) {
        let path = self.path.join(".");
        self.problems.push(Problem { position, path, expected, found });
    }
}

fn one_of(fields: &[Field]) -> String {
    let names: Vec<&str> = fields.iter().map(|field| field.name).collect();
    format!("one of \"{}\"", names.join("\", \""))
}

fn matches_scalar(content: &Content, schema: &Schema) -> bool {
    match (content, schema) {
        (Content::Number(digits), Schema::Integer { min, max, .. }) => {
            digits.parse::<u64>().is_ok_and(|number| (*min..=*max).contains(&number))
        }
        (Content::Bool(_), Schema::Bool) => true,
        (Content::String(text), Schema::String { max_bytes }) => text.len() <= *max_bytes,
        (Content::String(text), Schema::Name) => is_name(text),
        (Content::String(text), Schema::Enum(words)) => words.contains(&text.as_str()),
        (Content::String(text), Schema::Address) => text.parse::<SocketAddr>().is_ok(),
        _ => false,
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(allowed)
}
