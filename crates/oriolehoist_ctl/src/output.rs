use {crate::ExitStatus, serde::Serialize};

/// What a command prints, and how it ended.
#[derive(Debug)]
pub(crate) struct Output {
    pub(crate) ending: ExitStatus,
    /// For people.
    pub(crate) text: String,
    /// For programs.
    pub(crate) json: serde_json::Value,
}

impl Output {
    /// Makes the output of a command that did what was asked.
    pub(crate) fn done(text: impl Into<String>, json: impl Serialize) -> Output {
        Output { ending: ExitStatus::Success, text: text.into(), json: to_json(&json) }
    }

    /// Makes the output of a command that ended otherwise.
    pub(crate) fn failed(
        ending: ExitStatus,
        text: impl Into<String>,
        json: impl Serialize,
    ) -> Output {
        Output { ending, text: text.into(), json: to_json(&json) }
    }

    /// Prints to standard output, or to standard error what went wrong.
    pub(crate) fn print(&self, as_json: bool) {
        match (as_json, self.ending) {
            (true, _) => println!("{}", self.json),
            (false, ExitStatus::Success) => println!("{}", self.text),
            (false, _) => eprintln!("oriolectl: {}", self.text),
        }
    }
}

fn to_json(value: &impl Serialize) -> serde_json::Value {
    serde_json::to_value(value).unwrap_or(serde_json::Value::Null)
}
