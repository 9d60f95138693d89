//! Writes new versions of the settings to the store.

use {
    derive_more::{Display, Error, From},
    oriolehoist_platform::{CasOutcome, Entry, Revision, Store, StoreError},
    oriolehoist_protocol::Version,
    oriolehoist_settings::{
        HEAD_KEY, MergeConflict, MergeResult, Problems, SettingsVersion, history_key, merge,
        parse_settings, parse_settings_update,
    },
    oriolehoist_time::{Clock, Millis},
    serde_json::Value as Json,
    std::{fmt::Write, time::Duration},
    tokio::time::sleep,
};

/// A version of the settings that was written to the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Committed {
    /// The number of the version.
    pub version: Version,
    /// Whether the document was merged with edits made since its base version.
    pub merged: bool,
}

/// Why a version was not written, why it is unknown whether it was, or why a store request of
/// another command failed.
#[derive(Debug, Display, Error, From)]
pub enum CommitError {
    /// The document is invalid.
    #[display("{_0}")]
    Problems(Problems),
    /// Edits made since the base version conflict with this one.
    #[display("{}", describe_conflicts(_0))]
    #[error(ignore)]
    Conflicts(Vec<MergeConflict>),
    /// A request to the store failed.
    #[display("{_0}")]
    Store(StoreError),
    /// A version of the settings or a term record in the store could not be parsed.
    #[display("a record in the store is malformed: {_0}")]
    Malformed(serde_json::Error),
    /// The store does not contain this version: the base of a document, or the one to compare with.
    #[display("version {_0} is not in the store")]
    #[error(ignore)]
    #[from(ignore)]
    NoSuchVersion(Version),
    /// The write may have taken effect, or may still do so.
    #[display("the store did not confirm whether the version was written")]
    Unknown,
}

/// Maximum number of attempts at a write. An attempt counts even if it only finds that an earlier
/// one, whose response was lost, took effect, or if it fails to read the store.
const MAX_ATTEMPTS: u32 = 20;
/// Time between attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Writes the settings document `text`, edited from version `base`, as the version in force.
///
/// If the response to a write is lost, the store is read to find out whether the write took effect.
/// If it did not, it is repeated. Repeating it is safe, since both writes have the same id and are
/// conditional on the same revision. If another version was written in the meantime, the document
/// is merged with that version and the result is written instead.
///
/// # Errors
///
/// Returns why the version was not written, or that this is unknown.
pub async fn commit_settings(
    store: &Store,
    text: &str,
    base: Version,
    author: &str,
) -> Result<Committed, CommitError> {
    let write_id = format!("{author}-{:016x}", fastrand::u64(..));
    let mut sent: Option<SentWrite> = None;
    for attempt in 1..=MAX_ATTEMPTS {
        let head = match store.get(HEAD_KEY).await {
            Ok(entry) => Head::parse(entry)?,
            Err(error) if sent.is_none() && attempt == MAX_ATTEMPTS => return Err(error.into()),
            Err(_) => {
                sleep(RETRY_INTERVAL).await;
                continue;
            }
        };
        if let Some(committed) = find_sent_write(store, &head, &write_id, sent.as_ref()).await? {
            return Ok(committed);
        }
        let next = build_version(store, &head, text, base, author, &write_id).await?;
        let merged = next.text != text;
        archive_head(store, &head).await?;
        let version = next.version;
        let value = serde_json::to_string(&next)?;
        sent = Some(SentWrite { version, merged });
        match store.compare_and_swap(HEAD_KEY, head.revision, value).await {
            Ok(CasOutcome::Written(_)) => return Ok(Committed { version, merged }),
            Ok(CasOutcome::Conflict(_)) => {}
            Err(error) if error.may_have_taken_effect() => sleep(RETRY_INTERVAL).await,
            Err(error) => return Err(error.into()),
        }
    }
    Err(CommitError::Unknown)
}

/// A version that was sent to the store and may have been written.
struct SentWrite {
    version: Version,
    merged: bool,
}

/// The version in force and the store revision of its key.
struct Head {
    revision: Revision,
    version: Option<SettingsVersion>,
}

impl Head {
    fn parse(entry: Option<Entry>) -> Result<Head, CommitError> {
        match entry {
            None => Ok(Head { revision: Revision::ABSENT, version: None }),
            Some(entry) => Ok(Head {
                revision: entry.revision,
                version: Some(serde_json::from_str(&entry.value)?),
            }),
        }
    }

    fn version_number(&self) -> Version {
        self.version.as_ref().map_or(Version(0), |version| version.version)
    }
}

/// Returns the write with `write_id` if it took effect, even if another version has replaced it
/// since.
async fn find_sent_write(
    store: &Store,
    head: &Head,
    write_id: &str,
    sent: Option<&SentWrite>,
) -> Result<Option<Committed>, CommitError> {
    let Some(SentWrite { version, merged }) = sent else { return Ok(None) };
    let has_write_id = |stored: &SettingsVersion| stored.write_id == write_id;
    let in_force = head.version.as_ref().is_some_and(has_write_id);
    let replaced = match head.version_number() > *version {
        true => read_version(store, *version).await?.is_some_and(|stored| has_write_id(&stored)),
        false => false,
    };
    let committed = Committed { version: *version, merged: *merged };
    Ok((in_force || replaced).then_some(committed))
}

/// Validates the document, merges it with the version in force if that is not its base, and returns
/// the next version.
async fn build_version(
    store: &Store,
    head: &Head,
    text: &str,
    base: Version,
    author: &str,
    write_id: &str,
) -> Result<SettingsVersion, CommitError> {
    let text = match &head.version {
        None => {
            parse_settings(text)?;
            text.to_owned()
        }
        Some(current) => {
            let in_force = parse_settings(&current.text)?;
            let merged = match base == current.version {
                true => text.to_owned(),
                false => rebase(store, base, &in_force.json, text).await?,
            };
            parse_settings_update(&merged, &in_force.settings)?;
            merged
        }
    };
    Ok(SettingsVersion {
        version: head.version_number().next(),
        base,
        author: author.into(),
        time: Clock::start().unix_time(),
        write_id: write_id.into(),
        text,
    })
}

/// Merges an edit of an older version with the version in force.
async fn rebase(
    store: &Store,
    base: Version,
    in_force: &Json,
    text: &str,
) -> Result<String, CommitError> {
    let mine = parse_settings(text)?.json;
    let base = read_version(store, base).await?.ok_or(CommitError::NoSuchVersion(base))?;
    let base = parse_settings(&base.text)?.json;
    match merge(&base, in_force, &mine) {
        MergeResult::Merged(json) => Ok(serde_json::to_string_pretty(&json)?),
        MergeResult::Conflicts(conflicts) => Err(conflicts.into()),
    }
}

/// Reads a version from the history in the store, which contains the versions that were replaced.
pub(crate) async fn read_version(
    store: &Store,
    version: Version,
) -> Result<Option<SettingsVersion>, CommitError> {
    match store.get(&history_key(version)).await? {
        Some(entry) => Ok(Some(serde_json::from_str(&entry.value)?)),
        None => Ok(None),
    }
}

/// Copies the version in force to the history before it is replaced. Idempotent.
async fn archive_head(store: &Store, head: &Head) -> Result<(), CommitError> {
    let Some(current) = &head.version else { return Ok(()) };
    let value = serde_json::to_string(current)?;
    let key = history_key(current.version);
    for _ in 0..MAX_ATTEMPTS {
        match store.compare_and_swap(&key, Revision::ABSENT, value.clone()).await {
            Ok(_) => return Ok(()),
            Err(error) if error.may_have_taken_effect() => {
                if store.get(&key).await.is_ok_and(|entry| entry.is_some()) {
                    return Ok(());
                }
                sleep(RETRY_INTERVAL).await;
            }
            Err(error) => return Err(error.into()),
        }
    }
    Err(CommitError::Unknown)
}

fn describe_conflicts(conflicts: &[MergeConflict]) -> String {
    let display = |value: &Option<Json>| value.as_ref().map_or("absent".into(), Json::to_string);
    let mut text = String::from("edits made since the base version conflict with this one:");
    for conflict in conflicts {
        let (base, theirs, mine) =
            (display(&conflict.base), display(&conflict.theirs), display(&conflict.mine));
        let _ = write!(
            text,
            "\n  {}: was {base}, in force is {theirs}, this document says {mine}",
            conflict.path
        );
    }
    text
}

/// Formats a time since the Unix epoch as RFC 3339.
pub(crate) fn format_time(time: Millis) -> String {
    let seconds = i64::try_from(time.0 / 1000).unwrap_or(i64::MAX);
    chrono::DateTime::from_timestamp(seconds, 0)
        .map(|time| time.to_rfc3339_opts(chrono::SecondsFormat::Secs, true))
        .unwrap_or_else(|| time.to_string())
}
