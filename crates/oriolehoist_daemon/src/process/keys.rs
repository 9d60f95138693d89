use {
    crate::process::{Event, report},
    oriolehoist_refusal::{KeyId, KeyRing, SigningKey},
    smol_str::SmolStr,
    std::{collections::BTreeMap, fs, path::PathBuf},
};

/// Reads the keys that sign receipts. A key that can't be read or is invalid is logged and skipped.
pub(crate) fn read_keys(files: &BTreeMap<SmolStr, PathBuf>) -> KeyRing {
    let mut keys = KeyRing::default();
    for (id, path) in files {
        let key = fs::read(path).map_err(eyre::Report::from);
        match key.and_then(|bytes| Ok(SigningKey::new(bytes.trim_ascii())?)) {
            Ok(key) => keys.insert(KeyId(id.clone()), key),
            Err(error) => report(Event::KeyUnreadable, format_args!("receipt key {id}: {error}")),
        }
    }
    keys
}
