use {
    crate::{
        request::refusal::Refusal,
        version::{ServiceView, View},
    },
    axum::http::{HeaderMap, Method, Uri, request::Parts},
    oriolehoist_admission::Class,
    oriolehoist_protocol::{
        ATTEMPT, CLASS, DEADLINE_MS, KEY, REQUEST_ID, ServiceName, ShardId, WORKSPACE,
    },
    oriolehoist_refusal::RefusalKind,
    oriolehoist_settings::Policy,
    oriolehoist_time::Millis,
    smol_str::{SmolStr, format_smolstr},
    std::sync::Arc,
};

/// Maximum length of a workspace name, a request id or another short header value, in bytes.
const MAX_ID_BYTES: usize = 128;

/// A request with a valid path and valid headers.
#[derive(Clone)]
pub(crate) struct ParsedRequest {
    pub(crate) view: Arc<View>,
    pub(crate) service: Arc<ServiceView>,
    pub(crate) policy: Policy,
    pub(crate) method: Method,
    /// The path and query that are sent to the server, without the service's name.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) key: Option<SmolStr>,
    pub(crate) shard: Option<ShardId>,
    pub(crate) class: Class,
    pub(crate) workspace: SmolStr,
    pub(crate) request_id: SmolStr,
    /// The caller's count of attempts at this request id, from 1.
    pub(crate) caller_attempt: u64,
    /// Whether running the request twice has the same effect as running it once.
    pub(crate) idempotent: bool,
    /// Whether another daemon has handed it over. It is not handed on.
    pub(crate) is_handed_over: bool,
    /// When the request arrived, by the daemon's clock.
    pub(crate) started: Millis,
    /// When the caller stops waiting, by the daemon's clock.
    pub(crate) deadline: Millis,
}

/// Parses and validates a request's path and headers.
///
/// # Errors
///
/// Returns a refusal that names the first invalid part.
pub(crate) fn parse_request(
    now: Millis,
    view: &Arc<View>,
    parts: &Parts,
) -> Result<ParsedRequest, Refusal> {
    let (name, path) = split_path(&parts.uri)?;
    let name = ServiceName::from(name);
    let service = view.services.get(&name).ok_or_else(|| {
        Refusal::new(RefusalKind::UnknownService, format_smolstr!("services.{name}"))
    })?;
    let headers = &parts.headers;
    let class = parse_class(headers)?;
    let workspace = header_str(headers, WORKSPACE, MAX_ID_BYTES)?.unwrap_or_default();
    let policy = view.settings.policy(&service.settings, class.name(), &workspace);
    let key = parse_key(headers, service, &policy)?;
    let time_left =
        header_number(headers, DEADLINE_MS, policy.deadline_ms)?.min(policy.max_deadline_ms);
    Ok(ParsedRequest {
        view: Arc::clone(view),
        service: Arc::clone(service),
        method: parts.method.clone(),
        path,
        headers: headers.clone(),
        shard: key.as_ref().map(|key| ShardId::of_key(key, service.settings.shards)),
        key,
        class,
        workspace,
        request_id: header_str(headers, REQUEST_ID, MAX_ID_BYTES)?.unwrap_or_default(),
        caller_attempt: header_number(headers, ATTEMPT, 1)?,
        idempotent: matches!(parts.method, Method::GET | Method::HEAD | Method::OPTIONS),
        policy,
        is_handed_over: false,
        started: now,
        deadline: now + Millis(time_left),
    })
}

fn split_path(uri: &Uri) -> Result<(&str, String), Refusal> {
    let path = uri.path().strip_prefix('/').unwrap_or(uri.path());
    let (name, rest) = path.split_once('/').unwrap_or((path, ""));
    match name {
        "" => Err(Refusal::new(RefusalKind::UnknownService, "the path names no service")),
        name => {
            let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
            Ok((name, format!("/{rest}{query}")))
        }
    }
}

fn parse_class(headers: &HeaderMap) -> Result<Class, Refusal> {
    let Some(name) = header_str(headers, CLASS, MAX_ID_BYTES)? else { return Ok(Class::default()) };
    Class::parse(&name).ok_or_else(|| malformed_header(CLASS, "one of urgent, interactive, bulk"))
}

fn parse_key(
    headers: &HeaderMap,
    service: &ServiceView,
    policy: &Policy,
) -> Result<Option<SmolStr>, Refusal> {
    let max_bytes = usize::try_from(policy.max_key_bytes).unwrap_or(usize::MAX);
    match header_str(headers, KEY, max_bytes)? {
        Some(key) if service.settings.keyed && !key.is_empty() => Ok(Some(key)),
        _ if service.settings.keyed => Err(Refusal::new(RefusalKind::MissingKey, KEY)),
        _ => Ok(None),
    }
}

fn header_str(
    headers: &HeaderMap,
    name: &str,
    max_bytes: usize,
) -> Result<Option<SmolStr>, Refusal> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(_), Some(_)) => Err(malformed_header(name, "given once")),
        (Some(value), None) if value.len() > max_bytes => Err(Refusal::new(
            RefusalKind::TooLarge,
            format_smolstr!("{name}: at most {max_bytes} bytes"),
        )),
        (Some(value), None) => std::str::from_utf8(value.as_bytes())
            .map(|text| Some(SmolStr::new(text)))
            .map_err(|_| malformed_header(name, "UTF-8 text")),
    }
}

fn header_number(headers: &HeaderMap, name: &str, default: u64) -> Result<u64, Refusal> {
    let Some(text) = header_str(headers, name, MAX_ID_BYTES)? else { return Ok(default) };
    match text.parse() {
        Ok(number) if number > 0 => Ok(number),
        _ => Err(malformed_header(name, "a whole number above zero")),
    }
}

fn malformed_header(name: &str, expected: &str) -> Refusal {
    Refusal::new(RefusalKind::Malformed, format_smolstr!("{name}: expected {expected}"))
}
