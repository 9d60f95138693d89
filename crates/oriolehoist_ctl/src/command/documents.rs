use {
    crate::{
        CommitError, ExitStatus,
        args::{Apply, Check, Diff, Drain, History, Show},
        command::{committed, daemons::wait_in_force, store},
        commit::{commit_settings, read_version, readable},
        output::Output,
    },
    oriolehoist_platform::Store,
    oriolehoist_protocol::{ServiceName, Version},
    oriolehoist_settings::{
        EffectiveValue, HEAD_KEY, SettingsVersion, Side, difference, explain, parse,
    },
    serde_json::{Value as Json, json},
    std::{fs, path::Path},
};

/// The start of the line that names the version that a shown document has.
const VERSION_LINE: &str = "// oriolehoist settings, version ";

type Result<T> = std::result::Result<T, CommitError>;

pub(super) fn check(args: &Check) -> Result<Output> {
    let text = match read(&args.file) {
        Ok(text) => text,
        Err(output) => return Ok(output),
    };
    let checked = parse(&text)?;
    let services = checked.settings.services.len();
    let text = format!("{}: correct, {services} services", args.file.display());
    Ok(Output::done(text, json!({ "correct": true, "services": services })))
}

pub(super) async fn apply(args: &Apply) -> Result<Output> {
    let text = match read(&args.file) {
        Ok(text) => text,
        Err(output) => return Ok(output),
    };
    let store = store(args.store)?;
    let named = args.base.or_else(|| version_named_by(&text)).map(Version);
    let head = head(&store).await?;
    let base = match (named, &head) {
        (Some(base), _) => base,
        (None, None) => Version(0),
        (None, Some(head)) => return Ok(no_base(head.version)),
    };
    let done = commit_settings(&store, &text, base, &args.author).await?;
    if args.wait_for.is_empty() {
        return Ok(committed(&done));
    }
    Ok(wait_in_force(&args.wait_for, &done).await)
}

pub(super) async fn diff(args: &Diff) -> Result<Output> {
    let text = match read(&args.file) {
        Ok(text) => text,
        Err(output) => return Ok(output),
    };
    let store = store(args.store)?;
    let after = parse(&text)?.json;
    let before = match args.version {
        Some(number) => find(&store, Version(number)).await?,
        None => head(&store).await?,
    };
    let before = match before {
        Some(version) => parse(&version.text)?.json,
        None => json!({}),
    };
    let sides = difference(&before, &after);
    let lines: Vec<String> = sides.iter().map(describe).collect();
    let text = if lines.is_empty() { "no difference".into() } else { lines.join("\n") };
    Ok(Output::done(text, &sides))
}

pub(super) async fn history(args: &History) -> Result<Output> {
    let store = store(args.store)?;
    let mut versions = Vec::new();
    let mut next = head(&store).await?;
    while let Some(version) = next {
        let number = version.version.0;
        versions.push(version);
        next = match number > 1 && (versions.len() as u64) < args.most {
            true => read_version(&store, Version(number - 1)).await?,
            false => None,
        };
    }
    let line = |v: &SettingsVersion| {
        format!("{:>6}  {}  {}  from {}", v.version, readable(v.time), v.author, v.base)
    };
    let text: Vec<String> = versions.iter().map(line).collect();
    let json: Vec<Json> = versions
        .iter()
        .map(|v| json!({"version": v.version, "time": v.time, "author": v.author, "base": v.base}))
        .collect();
    Ok(Output::done(text.join("\n"), json))
}

pub(super) async fn show(args: &Show) -> Result<Output> {
    let store = store(args.store)?;
    let Some(head) = head(&store).await? else { return Ok(nothing_in_force()) };
    let Some(service) = &args.service else {
        let body = head.text.trim_start();
        let body = match body.strip_prefix(VERSION_LINE) {
            Some(rest) => rest.split_once('\n').map_or("", |(_, rest)| rest),
            None => body,
        };
        let text = format!("{VERSION_LINE}{}\n{body}", head.version);
        return Ok(Output::done(text, &head));
    };
    let checked = parse(&head.text)?;
    let values = explain(&checked.settings, &checked.json, &ServiceName::from(service.as_str()));
    match values.is_empty() {
        true => {
            let text = format!("there is no service \"{service}\"");
            Ok(Output::failed(ExitStatus::Refused, &text, json!({ "error": text })))
        }
        false => Ok(Output::done(table(&values), &values)),
    }
}

pub(super) async fn drain(args: &Drain) -> Result<Output> {
    let store = store(args.store)?;
    let Some(head) = head(&store).await? else { return Ok(nothing_in_force()) };
    let mut json = parse(&head.text)?.json;
    let target = json
        .get_mut("services")
        .and_then(|services| services.get_mut(&args.service))
        .and_then(|service| service.get_mut("targets"))
        .and_then(|targets| targets.get_mut(&args.server))
        .and_then(Json::as_object_mut);
    let Some(target) = target else {
        let text = format!("there is no server \"{}\" of \"{}\"", args.server, args.service);
        return Ok(Output::failed(ExitStatus::Refused, &text, json!({ "error": text })));
    };
    let state = if args.undo { "live" } else { "drain" };
    target.insert("state".into(), state.into());
    let text = serde_json::to_string_pretty(&json)?;
    let done = commit_settings(&store, &text, head.version, &args.author).await?;
    Ok(committed(&done))
}

fn read(file: &Path) -> std::result::Result<String, Output> {
    fs::read_to_string(file).map_err(|error| {
        let text = format!("{}: {error}", file.display());
        Output::failed(ExitStatus::Refused, &text, json!({ "error": text }))
    })
}

async fn head(store: &Store) -> Result<Option<SettingsVersion>> {
    match store.get(HEAD_KEY).await? {
        Some(entry) => Ok(Some(serde_json::from_str(&entry.value)?)),
        None => Ok(None),
    }
}

async fn find(store: &Store, version: Version) -> Result<Option<SettingsVersion>> {
    match head(store).await? {
        Some(head) if head.version == version => Ok(Some(head)),
        _ => {
            let found = read_version(store, version).await?;
            found.ok_or(CommitError::NoSuchVersion(version)).map(Some)
        }
    }
}

/// Returns the version that a document's first line names.
fn version_named_by(text: &str) -> Option<u64> {
    text.lines().next()?.strip_prefix(VERSION_LINE)?.trim().parse().ok()
}

fn no_base(version: Version) -> Output {
    let text = format!(
        "version {version} is in force; name the version that the document was made from with \
         --base, or start from the output of \"show\""
    );
    Output::failed(ExitStatus::Refused, &text, json!({ "error": text, "in_force": version }))
}

fn nothing_in_force() -> Output {
    let text = "no settings are in force";
    Output::failed(ExitStatus::Refused, text, json!({ "error": text }))
}

fn describe(side: &Side) -> String {
    match (&side.before, &side.after) {
        (Some(before), Some(after)) => format!("~ {}: {before} -> {after}", side.path),
        (None, Some(after)) => format!("+ {}: {after}", side.path),
        (Some(before), None) => format!("- {}: {before}", side.path),
        (None, None) => side.path.clone(),
    }
}

fn table(values: &[EffectiveValue]) -> String {
    let line = |v: &EffectiveValue| {
        format!("{:<44} {:<28} {:<12} from {}", v.branch, v.setting, v.value.to_string(), v.origin)
    };
    values.iter().map(line).collect::<Vec<_>>().join("\n")
}
