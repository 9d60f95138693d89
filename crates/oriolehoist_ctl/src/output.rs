use {crate::ExitStatus, serde::Serialize};

/// The output and the exit status of a command.
#[derive(Debug)]
pub(crate) struct Output {
    pub(crate) exit_status: ExitStatus,
    /// Human-readable output.
    pub(crate) text: String,
    /// Output with `--json`.
    pub(crate) json: serde_json::Value,
}

impl Output {
    /// Creates the output of a command that succeeded.
    pub(crate) fn success(text: impl Into<String>, json: impl Serialize) -> Output {
        Output { exit_status: ExitStatus::Success, text: text.into(), json: to_json(&json) }
    }

    /// Creates the output of a command that failed with `exit_status`.
    pub(crate) fn failure(
        exit_status: ExitStatus,
        text: impl Into<String>,
        json: impl Serialize,
    ) -> Output {
        Output { exit_status, text: text.into(), json: to_json(&json) }
    }

    /// Prints JSON and successful results to standard output, and error texts to standard error.
    pub(crate) fn print(&self, as_json: bool) {
        match (as_json, self.exit_status) {
            (true, _) => println!("{}", self.json),
            (false, ExitStatus::Success) => println!("{}", self.text),
            (false, _) => eprintln!("oriolectl: {}", self.text),
        }
    }
}

fn to_json(value: &impl Serialize) -> serde_json::Value {
    serde_json::to_value(value).unwrap_or(serde_json::Value::Null)
}
