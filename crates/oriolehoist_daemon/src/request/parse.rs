use {
    crate::{
        request::refuse::Refusal,
        version::{ServiceView, View},
    },
    axum::http::{HeaderMap, Method, Uri, request::Parts},
    oriolehoist_admission::Class,
    oriolehoist_protocol::{
        ATTEMPT, CLASS, DEADLINE_MS, KEY, REQUEST_ID, ServiceName, ShardId, WORKSPACE,
    },
    oriolehoist_refusal::Kind,
    oriolehoist_settings::Policy,
    oriolehoist_time::Millis,
    smol_str::{SmolStr, format_smolstr},
    std::sync::Arc,
};

/// The longest tenant or request id, in bytes.
const MAX_ID_BYTES: usize = 128;

/// A request whose headers have been understood.
#[derive(Clone)]
pub(crate) struct Parsed {
    pub(crate) view: Arc<View>,
    pub(crate) service: Arc<ServiceView>,
    pub(crate) policy: Policy,
    pub(crate) method: Method,
    /// The path and the query that the server sees.
    pub(crate) path: String,
    pub(crate) headers: HeaderMap,
    pub(crate) key: Option<SmolStr>,
    pub(crate) shard: Option<ShardId>,
    pub(crate) class: Class,
    pub(crate) tenant: SmolStr,
    pub(crate) request_id: SmolStr,
    /// The caller's count of attempts at this request id, from 1.
    pub(crate) attempt: u64,
    /// Whether the request can be sent again without harm.
    pub(crate) idempotent: bool,
    pub(crate) started: Millis,
    pub(crate) deadline: Millis,
}

/// Understands a request's path and headers.
///
/// # Errors
///
/// Returns the refusal of the first part that can't be understood.
pub(crate) fn parse(now: Millis, view: &Arc<View>, parts: &Parts) -> Result<Parsed, Refusal> {
    let (name, path) = split_path(&parts.uri)?;
    let name = ServiceName::from(name);
    let service = view
        .services
        .get(&name)
        .ok_or_else(|| Refusal::new(Kind::UnknownService, format_smolstr!("services.{name}")))?;
    let headers = &parts.headers;
    let class = class(headers)?;
    let tenant = text(headers, WORKSPACE, MAX_ID_BYTES)?.unwrap_or_default();
    let policy = view.settings.policy(&service.settings, class.name(), &tenant);
    let key = key(headers, service, &policy)?;
    let wait = number(headers, DEADLINE_MS, policy.deadline_ms)?.min(policy.max_deadline_ms);
    Ok(Parsed {
        view: Arc::clone(view),
        service: Arc::clone(service),
        method: parts.method.clone(),
        path,
        headers: headers.clone(),
        shard: key.as_ref().map(|key| ShardId::of_key(key, service.settings.shards)),
        key,
        class,
        tenant,
        request_id: text(headers, REQUEST_ID, MAX_ID_BYTES)?.unwrap_or_default(),
        attempt: number(headers, ATTEMPT, 1)?,
        idempotent: matches!(parts.method, Method::GET | Method::HEAD | Method::OPTIONS),
        policy,
        started: now,
        deadline: now + Millis(wait),
    })
}

fn split_path(uri: &Uri) -> Result<(&str, String), Refusal> {
    let path = uri.path().strip_prefix('/').unwrap_or(uri.path());
    let (name, rest) = path.split_once('/').unwrap_or((path, ""));
    match name {
        "" => Err(Refusal::new(Kind::UnknownService, "the path names no service")),
        name => {
            let query = uri.query().map(|query| format!("?{query}")).unwrap_or_default();
            Ok((name, format!("/{rest}{query}")))
        }
    }
}

fn class(headers: &HeaderMap) -> Result<Class, Refusal> {
    let Some(name) = text(headers, CLASS, MAX_ID_BYTES)? else { return Ok(Class::default()) };
    Class::parse(&name).ok_or_else(|| malformed(CLASS, "one of urgent, interactive, bulk"))
}

fn key(
    headers: &HeaderMap,
    service: &ServiceView,
    policy: &Policy,
) -> Result<Option<SmolStr>, Refusal> {
    let most = usize::try_from(policy.max_key_bytes).unwrap_or(usize::MAX);
    match text(headers, KEY, most)? {
        Some(key) if service.settings.keyed && !key.is_empty() => Ok(Some(key)),
        _ if service.settings.keyed => Err(Refusal::new(Kind::MissingKey, KEY)),
        _ => Ok(None),
    }
}

fn text(headers: &HeaderMap, name: &str, most: usize) -> Result<Option<SmolStr>, Refusal> {
    let mut values = headers.get_all(name).iter();
    match (values.next(), values.next()) {
        (None, _) => Ok(None),
        (Some(_), Some(_)) => Err(malformed(name, "given once")),
        (Some(value), None) if value.len() > most => {
            Err(Refusal::new(Kind::TooLarge, format_smolstr!("{name}: at most {most} bytes")))
        }
        (Some(value), None) => std::str::from_utf8(value.as_bytes())
            .map(|text| Some(SmolStr::new(text)))
            .map_err(|_| malformed(name, "UTF-8 text")),
    }
}

fn number(headers: &HeaderMap, name: &str, default: u64) -> Result<u64, Refusal> {
    let Some(text) = text(headers, name, MAX_ID_BYTES)? else { return Ok(default) };
    match text.parse() {
        Ok(number) if number > 0 => Ok(number),
        _ => Err(malformed(name, "a whole number above zero")),
    }
}

fn malformed(name: &str, expected: &str) -> Refusal {
    Refusal::new(Kind::Malformed, format_smolstr!("{name}: expected {expected}"))
}
