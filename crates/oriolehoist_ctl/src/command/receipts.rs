use {
    crate::{CommitError, ExitStatus, args::Why, commit::readable, output::Output},
    oriolehoist_refusal::{KeyId, KeyRing, Receipt, SigningKey},
    serde_json::json,
    std::{fmt::Write, fs},
};

pub(super) fn why(args: &Why) -> Result<Output, CommitError> {
    let verified =
        read_keys(&args.key).and_then(|keys| keys.verify(&args.receipt).map_err(|e| e.to_string()));
    Ok(match verified {
        Ok(receipt) => Output::done(explain(&receipt), &receipt),
        Err(text) => Output::failed(ExitStatus::Refused, &text, json!({ "error": text })),
    })
}

fn read_keys(keys: &[String]) -> Result<KeyRing, String> {
    let mut ring = KeyRing::default();
    for key in keys {
        let (id, file) = key.split_once('=').ok_or_else(|| format!("{key}: expected ID=FILE"))?;
        let bytes = fs::read(file).map_err(|error| format!("{file}: {error}"))?;
        let key = SigningKey::new(bytes.trim_ascii()).map_err(|e| format!("{file}: {e}"))?;
        ring.insert(KeyId(id.into()), key);
    }
    Ok(ring)
}

fn explain(receipt: &Receipt) -> String {
    let meaning = receipt.kind.meaning();
    let mut text = format!(
        "{}: {}\nrun state: {}\nrule: {}\nat {} by {}, settings version {}",
        receipt.kind,
        meaning.text,
        receipt.run_state,
        receipt.rule,
        readable(receipt.time),
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
