use {
    crate::{
        process::{Event, Shared, report},
        request::parse::Parsed,
    },
    axum::{
        Json,
        http::{HeaderName, HeaderValue, StatusCode, header::RETRY_AFTER},
        response::{IntoResponse, Response},
    },
    oriolehoist_protocol::{
        Epoch, RECEIPT, REFUSAL, RUN_STATE, ServerName, ServiceName, ShardId, Version,
    },
    oriolehoist_refusal::{KeyId, Kind, Receipt, Return, RunState},
    oriolehoist_time::Millis,
    serde::Serialize,
    smol_str::SmolStr,
};

/// The header with the time after which to come back, in milliseconds.
const RETRY_AFTER_MS: &str = "oriolehoist-retry-after-ms";

/// Why a request is refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Refusal {
    pub(crate) kind: Kind,
    /// What exactly was wrong, or which setting decided.
    pub(crate) rule: SmolStr,
    /// When to come back, if that is known better than by the kind.
    pub(crate) come_back: Option<Millis>,
    pub(crate) server: Option<ServerName>,
    pub(crate) epoch: Option<Epoch>,
}

impl Refusal {
    pub(crate) fn new(kind: Kind, rule: impl Into<SmolStr>) -> Refusal {
        Refusal { kind, rule: rule.into(), come_back: None, server: None, epoch: None }
    }

    pub(crate) fn come_back(self, after: Millis) -> Refusal {
        Refusal { come_back: Some(after), ..self }
    }

    pub(crate) fn at(self, server: &ServerName, epoch: Option<Epoch>) -> Refusal {
        Refusal { server: Some(server.clone()), epoch, ..self }
    }
}

/// The body of a refusal.
#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    refusal: Kind,
    run_state: RunState,
    text: &'a str,
    rule: &'a str,
    retry_after_ms: Option<u64>,
    receipt: Option<&'a str>,
}

/// Makes the final answer to a refused request.
pub(crate) fn answer(cx: &Shared, parsed: Option<&Parsed>, refusal: &Refusal) -> Response {
    cx.metrics.on_refusal(refusal.kind);
    let receipt = receipt(cx, parsed, refusal);
    report(Event::Refused, format_args!("{}: {}", refusal.kind, refusal.rule));
    let meaning = refusal.kind.meaning();
    let come_back = come_back(refusal);
    let signed = sign(cx, parsed, &receipt);
    let body = RefusalBody {
        refusal: refusal.kind,
        run_state: meaning.run_state,
        text: meaning.text,
        rule: &refusal.rule,
        retry_after_ms: come_back.map(|after| after.0),
        receipt: signed.as_deref(),
    };
    let status = StatusCode::from_u16(meaning.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = (status, Json(body)).into_response();
    let mut set = |name: HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            response.headers_mut().insert(name, value);
        }
    };
    set(HeaderName::from_static(REFUSAL), &refusal.kind.to_string());
    set(HeaderName::from_static(RUN_STATE), &meaning.run_state.to_string());
    if let Some(signed) = &signed {
        set(HeaderName::from_static(RECEIPT), signed);
    }
    if let Some(after) = come_back {
        set(HeaderName::from_static(RETRY_AFTER_MS), &after.0.to_string());
        set(RETRY_AFTER, &after.0.div_ceil(1000).to_string());
    }
    response
}

/// Spreads the time over half to one and a half of itself, so that callers do not return at once.
fn come_back(refusal: &Refusal) -> Option<Millis> {
    let after = match (refusal.come_back, refusal.kind.meaning().come_back) {
        (Some(after), _) => after,
        (None, Return::After(after)) => after,
        (None, Return::Never) => return None,
    };
    let half = after.0 / 2;
    Some(Millis((half + fastrand::u64(0..=after.0)).max(1)))
}

fn receipt(cx: &Shared, parsed: Option<&Parsed>, refusal: &Refusal) -> Receipt {
    let shard: Option<ShardId> = parsed.and_then(|parsed| parsed.shard);
    Receipt {
        kind: refusal.kind,
        run_state: refusal.kind.meaning().run_state,
        rule: refusal.rule.clone(),
        time: cx.clock.unix_time(),
        instance: cx.me.instance.clone(),
        settings: parsed.map_or(Version(0), |parsed| parsed.view.version),
        service: parsed.map_or(ServiceName::default(), |parsed| parsed.service.name.clone()),
        request_id: parsed.map_or(SmolStr::default(), |parsed| parsed.request_id.clone()),
        shard,
        epoch: refusal.epoch,
        server: refusal.server.clone(),
    }
}

/// Signs with the key that the settings name, or with any while that one is not here yet.
fn sign(cx: &Shared, parsed: Option<&Parsed>, receipt: &Receipt) -> Option<String> {
    let wanted =
        parsed.and_then(|parsed| parsed.view.settings.receipts.sign_with.clone()).map(KeyId);
    let id = cx.keys.usable(wanted.as_ref())?;
    cx.keys.sign(id, receipt).ok()
}
