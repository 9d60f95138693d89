use {
    crate::{
        process::{DaemonContext, Event, report},
        request::parse::ParsedRequest,
    },
    axum::{
        Json,
        http::{HeaderName, HeaderValue, StatusCode, header::RETRY_AFTER},
        response::{IntoResponse, Response},
    },
    oriolehoist_forwarding::MayHaveRun,
    oriolehoist_protocol::{
        Epoch, RECEIPT, REFUSAL, RUN_STATE, ServerName, ServiceName, ShardId, Version,
    },
    oriolehoist_refusal::{KeyId, Receipt, RefusalKind, RetryAdvice, RunState},
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    smol_str::SmolStr,
};

/// The header with the time after which to retry, in milliseconds.
const RETRY_AFTER_MS: &str = "oriolehoist-retry-after-ms";

/// Why a request is refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Refusal {
    pub(crate) kind: RefusalKind,
    /// What exactly was wrong, or the setting that decided.
    pub(crate) rule: SmolStr,
    /// When to retry, if that is known more precisely than from the kind.
    pub(crate) retry_after: Option<Millis>,
    /// The server that would have run the request.
    pub(crate) server: Option<ServerName>,
    /// The epoch under which that server owns the key, or owned it last.
    pub(crate) epoch: Option<Epoch>,
}

impl Refusal {
    pub(crate) fn new(kind: RefusalKind, rule: impl Into<SmolStr>) -> Refusal {
        Refusal { kind, rule: rule.into(), retry_after: None, server: None, epoch: None }
    }

    pub(crate) fn with_retry_after(self, after: Millis) -> Refusal {
        Refusal { retry_after: Some(after), ..self }
    }

    pub(crate) fn with_server(self, server: &ServerName, epoch: Option<Epoch>) -> Refusal {
        Refusal { server: Some(server.clone()), epoch, ..self }
    }
}

impl MayHaveRun for Refusal {
    fn into_outcome_unknown(self) -> Refusal {
        Refusal { kind: RefusalKind::OutcomeUnknown, retry_after: None, ..self }
    }
}

impl From<oriolehoist_forwarding::Refusal> for Refusal {
    fn from(refusal: oriolehoist_forwarding::Refusal) -> Refusal {
        Refusal { retry_after: refusal.retry_after, ..Refusal::new(refusal.kind, refusal.reason) }
    }
}

/// The JSON body of the response to a refused request.
#[derive(Debug, Serialize)]
struct RefusalBody<'a> {
    refusal: RefusalKind,
    run_state: RunState,
    text: &'a str,
    rule: &'a str,
    retry_after_ms: Option<u64>,
    receipt: Option<&'a str>,
}

/// Builds the response to a refused request, with a signed receipt if a key is available.
pub(crate) fn refusal_response(
    cx: &DaemonContext,
    parsed: Option<&ParsedRequest>,
    refusal: &Refusal,
) -> Response {
    cx.metrics.on_refusal(refusal.kind);
    let receipt = build_receipt(cx, parsed, refusal);
    report(Event::Refused, format_args!("{}: {}", refusal.kind, refusal.rule));
    let template = refusal.kind.response();
    let retry_after = jittered_retry_after(refusal);
    let signed_receipt = sign_receipt(cx, parsed, &receipt);
    let body = RefusalBody {
        refusal: refusal.kind,
        run_state: template.run_state,
        text: template.text,
        rule: &refusal.rule,
        retry_after_ms: retry_after.map(|after| after.0),
        receipt: signed_receipt.as_deref(),
    };
    let status = StatusCode::from_u16(template.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut response = (status, Json(body)).into_response();
    let mut set = |name: HeaderName, value: &str| {
        if let Ok(value) = HeaderValue::from_str(value) {
            response.headers_mut().insert(name, value);
        }
    };
    set(HeaderName::from_static(REFUSAL), &refusal.kind.to_string());
    set(HeaderName::from_static(RUN_STATE), &template.run_state.to_string());
    if let Some(signed) = &signed_receipt {
        set(HeaderName::from_static(RECEIPT), signed);
    }
    if let Some(after) = retry_after {
        set(HeaderName::from_static(RETRY_AFTER_MS), &after.0.to_string());
        set(RETRY_AFTER, &after.0.div_ceil(1000).to_string());
    }
    response
}

/// Returns the retry delay with jitter, uniform between 0.5 and 1.5 times its value, so that
/// callers do not all retry at the same time.
fn jittered_retry_after(refusal: &Refusal) -> Option<Millis> {
    let after = match (refusal.retry_after, refusal.kind.response().retry_advice) {
        (Some(after), _) => after,
        (None, RetryAdvice::After(after)) => after,
        (None, RetryAdvice::Never) => return None,
    };
    let half = after.0 / 2;
    Some(Millis((half + fastrand::u64(0..=after.0)).max(1)))
}

fn build_receipt(cx: &DaemonContext, parsed: Option<&ParsedRequest>, refusal: &Refusal) -> Receipt {
    let shard: Option<ShardId> = parsed.and_then(|parsed| parsed.shard);
    Receipt {
        kind: refusal.kind,
        run_state: refusal.kind.response().run_state,
        rule: refusal.rule.clone(),
        time: cx.clock.unix_time(),
        instance: cx.identity.instance.clone(),
        settings: parsed.map_or(Version(0), |parsed| parsed.view.version),
        service: parsed.map_or(ServiceName::default(), |parsed| parsed.service.name.clone()),
        request_id: parsed.map_or(SmolStr::default(), |parsed| parsed.request_id.clone()),
        shard,
        epoch: refusal.epoch,
        server: refusal.server.clone(),
    }
}

/// Signs a receipt with the key that the settings name, or with any other while this daemon does
/// not have that key yet.
fn sign_receipt(
    cx: &DaemonContext,
    parsed: Option<&ParsedRequest>,
    receipt: &Receipt,
) -> Option<String> {
    let wanted_id =
        parsed.and_then(|parsed| parsed.view.settings.receipts.sign_with.clone()).map(KeyId);
    let id = cx.keys.select_key_id(wanted_id.as_ref())?;
    cx.keys.sign(id, receipt).ok()
}
