use {
    crate::{ExitStatus, args::Explain, command::daemons::RESPONSE_TIMEOUT, output::Output},
    oriolehoist_explain::{
        EXPLAIN_PATH, ExplainError, ExplainErrorKind, ExplainQuery, ExplainedPart, ExplainedServer,
        Explanation,
    },
    oriolehoist_time::Millis,
    reqwest::{Client, Response},
    serde_json::json,
    std::fmt::Write,
};

/// Asks a daemon what it would do with a request.
pub(super) async fn explain(args: &Explain) -> Output {
    let query = ExplainQuery {
        method: args.method.as_str().into(),
        host: args.host.as_str().into(),
        path: args.path.clone(),
        key: args.key.clone(),
        deadline_ms: args.deadline.map(Millis),
    };
    match ask(args, &query).await {
        Ok(response) => output_of(response).await,
        Err(error) => failure(ExitStatus::Unreachable, &no_response(args, &error)),
    }
}

async fn ask(args: &Explain, query: &ExplainQuery) -> Result<Response, reqwest::Error> {
    let client = Client::builder().no_proxy().timeout(RESPONSE_TIMEOUT).build()?;
    client.get(format!("http://{}{EXPLAIN_PATH}", args.daemon)).query(query).send().await
}

fn no_response(args: &Explain, error: &reqwest::Error) -> String {
    format!("the daemon at {} does not answer: {error}", args.daemon)
}

async fn output_of(response: Response) -> Output {
    let status = response.status();
    let body = match response.bytes().await {
        Ok(body) => body,
        Err(error) => {
            let text = format!("the daemon's response broke off: {error}");
            return failure(ExitStatus::Unreachable, &text);
        }
    };
    let explanation: Option<Explanation> = serde_json::from_slice(&body).ok();
    let error: Option<ExplainError> = serde_json::from_slice(&body).ok();
    match (explanation, error) {
        (Some(explanation), _) if status.is_success() => {
            Output::success(text_of(&explanation), &explanation)
        }
        (_, Some(error)) => Output::failure(exit_status(error.error), &error.message, &error),
        _ => {
            let text = format!("the daemon can't explain requests (status {status})");
            failure(ExitStatus::Refused, &text)
        }
    }
}

fn failure(exit_status: ExitStatus, text: &str) -> Output {
    Output::failure(exit_status, text, json!({ "error": text }))
}

fn exit_status(error: ExplainErrorKind) -> ExitStatus {
    match error {
        ExplainErrorKind::UnknownRoute => ExitStatus::UnknownRoute,
        ExplainErrorKind::InvalidKey => ExitStatus::InvalidKey,
        ExplainErrorKind::NotReady | ExplainErrorKind::InvalidQuery => ExitStatus::Refused,
    }
}

fn text_of(explanation: &Explanation) -> String {
    let mut text = String::new();
    let route = &explanation.route;
    let objective = route.objective_ms.map(|objective| format!(", objective {objective}"));
    let _ = writeln!(
        text,
        "{}, settings {}: route {} ({}{}), priority {}, deadline {}{}",
        explanation.instance,
        explanation.settings,
        route.name,
        route.host,
        route.prefix,
        route.priority,
        route.deadline_ms,
        objective.unwrap_or_default(),
    );
    let total: u32 = explanation.parts.iter().map(|part| part.weight).sum();
    for part in &explanation.parts {
        write_part(&mut text, part, total);
    }
    text.truncate(text.trim_end().len());
    text
}

fn write_part(text: &mut String, part: &ExplainedPart, total: u32) {
    let weight = match part.weight == total {
        true => String::new(),
        false => format!(", weight {} of {total}", part.weight),
    };
    let owner = part.owner.as_ref().map(|owner| format!(", owner {owner}")).unwrap_or_default();
    let _ = writeln!(text, "service {}{weight}{owner}: {}", part.service, part.decision);
    for server in &part.servers {
        write_server(text, server);
    }
}

fn write_server(text: &mut String, server: &ExplainedServer) {
    let age = match server.load_age_ms {
        Some(age) => format!("load {age} old"),
        None => "load not reported".to_owned(),
    };
    let exclusions: Vec<String> = server.exclusions.iter().map(ToString::to_string).collect();
    let excluded = match exclusions.is_empty() {
        true => String::new(),
        false => format!("; excluded: {}", exclusions.join("; ")),
    };
    let _ = writeln!(
        text,
        "  {} at {} in {}: wait {}, latency {}, {} in flight, {age}{excluded}",
        server.server,
        server.address,
        server.zone,
        server.expected_wait_ms,
        server.expected_latency_ms,
        server.in_flight,
    );
}
