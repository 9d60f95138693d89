use {
    crate::{
        CommitError, ExitStatus,
        args::{Apply, Check, Diff, Drain, History, Show},
        command::{committed_output, connect, daemons::wait_in_force},
        commit::{commit_settings, format_time, read_version},
        output::Output,
    },
    oriolehoist_platform::Store,
    oriolehoist_protocol::{ServiceName, Version},
    oriolehoist_settings::{
        EffectiveValue, HEAD_KEY, SettingChange, SettingsVersion, difference, explain,
        parse_settings,
    },
    serde_json::{Value as Json, json},
    std::{fs, path::Path},
};

/// Start of the first line that `show` writes above a document; the version number follows it.
const VERSION_LINE_PREFIX: &str = "// oriolehoist settings, version ";

type Result<T> = std::result::Result<T, CommitError>;

pub(super) fn check(args: &Check) -> Result<Output> {
    let text = match read_document(&args.file) {
        Ok(text) => text,
        Err(output) => return Ok(output),
    };
    let checked = parse_settings(&text)?;
    let services = checked.settings.services.len();
    let text = format!("{}: valid, {services} services", args.file.display());
    Ok(Output::success(text, json!({ "correct": true, "services": services })))
}

pub(super) async fn apply(args: &Apply) -> Result<Output> {
    let text = match read_document(&args.file) {
        Ok(text) => text,
        Err(output) => return Ok(output),
    };
    let store = connect(args.store)?;
    let base = args.base.or_else(|| version_in_first_line(&text)).map(Version);
    let head = read_head(&store).await?;
    let base = match (base, &head) {
        (Some(base), _) => base,
        (None, None) => Version(0),
        (None, Some(head)) => return Ok(missing_base(head.version)),
    };
    let committed = commit_settings(&store, &text, base, &args.author).await?;
    if args.wait_for.is_empty() {
        return Ok(committed_output(&committed));
    }
    Ok(wait_in_force(&args.wait_for, &committed).await)
}

pub(super) async fn compare(args: &Diff) -> Result<Output> {
    let text = match read_document(&args.file) {
        Ok(text) => text,
        Err(output) => return Ok(output),
    };
    let store = connect(args.store)?;
    let after = parse_settings(&text)?.json;
    let before = match args.version {
        Some(number) => find_version(&store, Version(number)).await?,
        None => read_head(&store).await?,
    };
    let before = match before {
        Some(version) => parse_settings(&version.text)?.json,
        None => json!({}),
    };
    let changes = difference(&before, &after);
    let lines: Vec<String> = changes.iter().map(format_change).collect();
    let text = if lines.is_empty() { "no differences".into() } else { lines.join("\n") };
    Ok(Output::success(text, &changes))
}

pub(super) async fn history(args: &History) -> Result<Output> {
    let store = connect(args.store)?;
    let mut versions = Vec::new();
    let mut next = read_head(&store).await?;
    while let Some(version) = next {
        let number = version.version.0;
        versions.push(version);
        next = match number > 1 && (versions.len() as u64) < args.limit {
            true => read_version(&store, Version(number - 1)).await?,
            false => None,
        };
    }
    let line = |v: &SettingsVersion| {
        format!("{:>6}  {}  {}  from {}", v.version, format_time(v.time), v.author, v.base)
    };
    let text: Vec<String> = versions.iter().map(line).collect();
    let json: Vec<Json> = versions
        .iter()
        .map(|v| json!({"version": v.version, "time": v.time, "author": v.author, "base": v.base}))
        .collect();
    Ok(Output::success(text.join("\n"), json))
}

pub(super) async fn show(args: &Show) -> Result<Output> {
    let store = connect(args.store)?;
    let Some(head) = read_head(&store).await? else { return Ok(no_settings_in_force()) };
    let Some(service) = &args.service else {
        let body = head.text.trim_start();
        let body = match body.strip_prefix(VERSION_LINE_PREFIX) {
            Some(rest) => rest.split_once('\n').map_or("", |(_, rest)| rest),
            None => body,
        };
        let text = format!("{VERSION_LINE_PREFIX}{}\n{body}", head.version);
        return Ok(Output::success(text, &head));
    };
    let checked = parse_settings(&head.text)?;
    let values = explain(&checked.settings, &checked.json, &ServiceName::from(service.as_str()));
    match values.is_empty() {
        true => {
            let text = format!("unknown service \"{service}\"");
            Ok(Output::failure(ExitStatus::Refused, &text, json!({ "error": text })))
        }
        false => Ok(Output::success(format_table(&values), &values)),
    }
}

pub(super) async fn drain(args: &Drain) -> Result<Output> {
    let store = connect(args.store)?;
    let Some(head) = read_head(&store).await? else { return Ok(no_settings_in_force()) };
    let mut json = parse_settings(&head.text)?.json;
    let target = json
        .get_mut("services")
        .and_then(|services| services.get_mut(&args.service))
        .and_then(|service| service.get_mut("targets"))
        .and_then(|targets| targets.get_mut(&args.server))
        .and_then(Json::as_object_mut);
    let Some(target) = target else {
        let text = format!("unknown server \"{}\" of service \"{}\"", args.server, args.service);
        return Ok(Output::failure(ExitStatus::Refused, &text, json!({ "error": text })));
    };
    let state = if args.undo { "live" } else { "drain" };
    target.insert("state".into(), state.into());
    let text = serde_json::to_string_pretty(&json)?;
    let committed = commit_settings(&store, &text, head.version, &args.author).await?;
    Ok(committed_output(&committed))
}

fn read_document(file: &Path) -> std::result::Result<String, Output> {
    fs::read_to_string(file).map_err(|error| {
        let text = format!("{}: {error}", file.display());
        Output::failure(ExitStatus::Refused, &text, json!({ "error": text }))
    })
}

async fn read_head(store: &Store) -> Result<Option<SettingsVersion>> {
    match store.get(HEAD_KEY).await? {
        Some(entry) => Ok(Some(serde_json::from_str(&entry.value)?)),
        None => Ok(None),
    }
}

async fn find_version(store: &Store, version: Version) -> Result<Option<SettingsVersion>> {
    match read_head(store).await? {
        Some(head) if head.version == version => Ok(Some(head)),
        _ => {
            let found = read_version(store, version).await?;
            found.ok_or(CommitError::NoSuchVersion(version)).map(Some)
        }
    }
}

/// Returns the version that the first line of a document written by `show` gives.
fn version_in_first_line(text: &str) -> Option<u64> {
    text.lines().next()?.strip_prefix(VERSION_LINE_PREFIX)?.trim().parse().ok()
}

fn missing_base(version: Version) -> Output {
    let text = format!(
        "version {version} is in force; name the version that the document was edited from with \
         --base, or start from the output of \"show\""
    );
    Output::failure(ExitStatus::Refused, &text, json!({ "error": text, "in_force": version }))
}

fn no_settings_in_force() -> Output {
    let text = "no settings are in force";
    Output::failure(ExitStatus::Refused, text, json!({ "error": text }))
}

fn format_change(change: &SettingChange) -> String {
    match (&change.before, &change.after) {
        (Some(before), Some(after)) => format!("~ {}: {before} -> {after}", change.path),
        (None, Some(after)) => format!("+ {}: {after}", change.path),
        (Some(before), None) => format!("- {}: {before}", change.path),
        (None, None) => change.path.clone(),
    }
}

fn format_table(values: &[EffectiveValue]) -> String {
    let line = |v: &EffectiveValue| {
        format!("{:<44} {:<28} {:<12} from {}", v.branch, v.setting, v.value.to_string(), v.origin)
    };
    values.iter().map(line).collect::<Vec<_>>().join("\n")
}
