use {
    crate::{
        Position, Problem, Problems,
        document::{
            Field, Node, Shape,
            node::{Content, Member},
        },
    },
    std::{collections::HashSet, net::SocketAddr},
};

/// Checks that a document has a shape.
///
/// # Errors
///
/// Returns every place that does not fit.
pub(crate) fn check_shape(root: &Node, shape: &Shape) -> Result<(), Problems> {
    let mut checker = Checker { path: Vec::new(), problems: Vec::new() };
    checker.visit(root, shape);
    Problems::none_or(checker.problems, ())
}

/// The longest name, in bytes.
const MAX_NAME_BYTES: usize = 64;

struct Checker {
    path: Vec<String>,
    problems: Vec<Problem>,
}

impl Checker {
    fn visit(&mut self, node: &Node, shape: &Shape) {
        match (&node.content, shape) {
            (Content::Record(members), Shape::Record(fields)) => {
                self.visit_record(node, members, fields);
            }
            (Content::Record(members), Shape::Map(value)) => self.visit_map(members, value),
            (Content::List(items), Shape::List(item)) => self.visit_list(items, item),
            (content, _) if fits(content, shape) => {}
            _ => self.report(node.position, shape.describe(), node.describe()),
        }
    }

    fn visit_record(&mut self, node: &Node, members: &[Member], fields: &[Field]) {
        self.report_repeated(members);
        for member in members {
            let field = fields.iter().find(|f| f.name == member.name);
            self.path.push(member.name.clone());
            match field {
                Some(field) => self.visit(&member.value, &field.shape),
                None => self.report(member.position, one_of(fields), "an unknown name".into()),
            }
            self.path.pop();
        }
        for field in fields.iter().filter(|f| f.required) {
            if !members.iter().any(|m| m.name == field.name) {
                let expected = format!("the field \"{}\"", field.name);
                self.report(node.position, expected, "an object without it".into());
            }
        }
    }

    fn visit_map(&mut self, members: &[Member], value: &Shape) {
        self.report_repeated(members);
        for member in members {
            self.path.push(member.name.clone());
            if !is_name(&member.name) {
                let found = format!("\"{}\"", member.name);
                self.report(member.position, Shape::Name.describe(), found);
            }
            self.visit(&member.value, value);
            self.path.pop();
        }
    }

    fn visit_list(&mut self, items: &[Node], item: &Shape) {
        for (index, node) in items.iter().enumerate() {
            self.path.push(index.to_string());
            self.visit(node, item);
            self.path.pop();
        }
    }

    fn report_repeated(&mut self, members: &[Member]) {
        let mut seen = HashSet::new();
        for member in members.iter().filter(|m| !seen.insert(m.name.as_str())) {
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
    let names: Vec<&str> = fields.iter().map(|f| f.name).collect();
    format!("one of \"{}\"", names.join("\", \""))
}

fn fits(content: &Content, shape: &Shape) -> bool {
    match (content, shape) {
        (Content::Number(digits), Shape::Whole { least, most, .. }) => {
            digits.parse::<u64>().is_ok_and(|n| (*least..=*most).contains(&n))
        }
        (Content::Flag(_), Shape::Flag) => true,
        (Content::Text(text), Shape::Text { most }) => text.len() <= *most,
        (Content::Text(text), Shape::Name) => is_name(text),
        (Content::Text(text), Shape::Choice(words)) => words.contains(&text.as_str()),
        (Content::Text(text), Shape::Address) => text.parse::<SocketAddr>().is_ok(),
        _ => false,
    }
}

fn is_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_');
    !text.is_empty() && text.len() <= MAX_NAME_BYTES && text.chars().all(allowed)
}
