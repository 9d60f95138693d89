use {
    derive_more::{Display, Error},
    serde::Serialize,
};

/// Position in a document. A problem without one, such as too large a document, has line 0 and
/// column 0.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, Serialize)]
#[display("line {line}, column {column}")]
pub struct Position {
    /// The line, counted from 1.
    pub line: usize,
    /// The column, counted from 1 in characters.
    pub column: usize,
}

impl Position {
    /// Returns the position of a byte offset in `text`.
    pub fn at(text: &str, offset: usize) -> Position {
        let before = text.get(..offset).unwrap_or(text);
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        Position {
            line: before.matches('\n').count() + 1,
            column: before[line_start..].chars().count() + 1,
        }
    }
}

/// Validation error in a document.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error, Serialize)]
#[display("{position}: {path}: expected {expected}, found {found}")]
pub struct Problem {
    /// Where the problem is.
    pub position: Position,
    /// The path of the invalid value: names joined by dots.
    pub path: String,
    /// Description of what would be valid.
    pub expected: String,
    /// Description of what the document contains.
    pub found: String,
}

/// All validation errors in a document; never empty.
#[derive(Clone, Debug, PartialEq, Eq, Error, Serialize)]
#[serde(transparent)]
pub struct Problems {
    #[error(not(source))]
    list: Vec<Problem>,
}

impl Problems {
    /// Returns `value`, or the problems if there are any.
    ///
    /// # Errors
    ///
    /// Returns the problems, ordered by position.
    pub(crate) fn ok_if_empty<T>(mut list: Vec<Problem>, value: T) -> Result<T, Problems> {
        list.sort_by_key(|problem| (problem.position.line, problem.position.column));
        match list.is_empty() {
            true => Ok(value),
            false => Err(Problems { list }),
        }
    }

    /// Returns the problems, ordered by position.
    pub fn list(&self) -> &[Problem] {
        &self.list
    }
}

impl From<Problem> for Problems {
    fn from(problem: Problem) -> Problems {
        Problems { list: vec![problem] }
    }
}

impl std::fmt::Display for Problems {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        for (index, problem) in self.list.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(f, "{separator}{problem}")?;
        }
        Ok(())
    }
}
