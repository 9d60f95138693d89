use {
    crate::{CommitError, ExitStatus, args::Why, commit::format_time, output::Output},
    oriolehoist_refusal::{KeyId, KeyRing, Receipt, SigningKey},
    serde_json::json,
    std::{fmt::Write, fs},
};

pub(super) fn why(args: &Why) -> Result<Output, CommitError> {
    let verified =
        load_keys(&args.key).and_then(|keys| keys.verify(&args.receipt).map_err(|e| e.to_string()));
    Ok(match verified {
        Ok(receipt) => Output::success(explain(&receipt), &receipt),
        Err(text) => Output::failure(ExitStatus::Refused, &text, json!({ "error": text })),
    })
}

fn load_keys(keys: &[String]) -> Result<KeyRing, String> {
    let mut key_ring = KeyRing::default();
    for key in keys {
        let (id, file) = key.split_once('=').ok_or_else(|| format!("{key}: expected ID=FILE"))?;
        let bytes = fs::read(file).map_err(|error| format!("{file}: {error}"))?;
        let key = SigningKey::new(bytes.trim_ascii()).map_err(|e| format!("{file}: {e}"))?;
        key_ring.insert(KeyId(id.into()), key);
    }
    Ok(key_ring)
}

fn explain(receipt: &Receipt) -> String {
    let response = receipt.kind.response();
    let mut text = format!(
        "{}: {}\nrun state: {}\nrule: {}\nat {} by {}, settings version {}",
        receipt.kind,
        response.text,
        receipt.run_state,
        receipt.rule,
        format_time(receipt.time),
        receipt.instance,
        receipt.settings,
    );
    if !receipt.service.as_str().is_empty() {
        let _ = write!(text, "\nservice: {}", receipt.service);
    }
    if !receipt.request_id.is_empty() {
        let _ = write!(text, "\nrequest: {}", receipt.request_id);
    }
    if let (Some(shard), Some(epoch), Some(server)) =
        (receipt.shard, receipt.epoch, &receipt.server)
    {
        let _ = write!(text, "\nshard {shard}, epoch {epoch}, server {server}");
    }
    text
}
