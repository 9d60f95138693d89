//! Putting a version of the settings into the store.

use {
    derive_more::{Display, Error, From},
    oriolehoist_platform::{Entry, Revision, Store, StoreError, Swap},
    oriolehoist_protocol::Version,
    oriolehoist_settings::{
        Clash, HEAD_KEY, MergeResult, Problems, SettingsVersion, history_key, merge, parse,
        parse_change,
    },
    oriolehoist_time::{Clock, Millis},
    serde_json::Value as Json,
    std::{fmt::Write, time::Duration},
    tokio::time::sleep,
};

/// What was put in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Committed {
    /// The version.
    pub version: Version,
    /// Whether the document was merged with edits made meanwhile.
    pub merged: bool,
}

/// Why nothing was put in force, as far as is known.
#[derive(Debug, Display, Error, From)]
pub enum CommitError {
    /// The document is faulty.
    #[display("{_0}")]
    Problems(Problems),
    /// Edits made meanwhile clash with this one.
    #[display("{}", describe(_0))]
    #[error(ignore)]
    Conflicts(Vec<Clash>),
    /// The store could not be asked.
    #[display("{_0}")]
    Store(StoreError),
    /// The store holds something that is not a version of the settings.
    #[display("the store's settings are malformed: {_0}")]
    Malformed(serde_json::Error),
    /// The version that the document was made from is not in the store.
    #[display("version {_0} is not in the store")]
    #[error(ignore)]
    #[from(ignore)]
    NoSuchVersion(Version),
    /// The write may still take effect.
    #[display("the store did not say whether the version was accepted")]
    Unknown,
}

/// How often a write without a reply is looked after.
const MAX_TRIES: u32 = 20;
/// Time between the tries.
const PAUSE: Duration = Duration::from_millis(250);

/// Puts `text`, made from version `base`, in force.
///
/// A write whose reply is lost is resolved by reading back, and repeated unchanged until the
/// store holds it or another: repeating is harmless, since both carry the same id and expect the
/// same revision.
///
/// # Errors
///
/// Returns why it was not put in force.
pub async fn commit_settings(
    store: &Store,
    text: &str,
    base: Version,
    author: &str,
) -> Result<Committed, CommitError> {
    let write_id = format!("{author}-{:016x}", fastrand::u64(..));
    let mut attempted: Option<Attempted> = None;
    for tries in 1..=MAX_TRIES {
        let head = match store.get(HEAD_KEY).await {
            Ok(entry) => Head::read(entry)?,
            Err(error) if attempted.is_none() && tries == MAX_TRIES => return Err(error.into()),
            Err(_) => {
                sleep(PAUSE).await;
                continue;
            }
        };
        if let Some(done) = find_own(store, &head, &write_id, attempted.as_ref()).await? {
            return Ok(done);
        }
        let next = prepare(store, &head, text, base, author, &write_id).await?;
        let merged = next.text != text;
        keep_history(store, &head).await?;
        let version = next.version;
        let value = serde_json::to_string(&next)?;
        attempted = Some(Attempted { version, merged });
        match store.compare_and_swap(HEAD_KEY, head.revision, value).await {
            Ok(Swap::Written(_)) => return Ok(Committed { version, merged }),
            Ok(Swap::Conflict(_)) => {}
            Err(error) if error.may_have_taken_effect() => sleep(PAUSE).await,
            Err(error) => return Err(error.into()),
        }
    }
    Err(CommitError::Unknown)
}

/// A write that was sent.
struct Attempted {
    version: Version,
    merged: bool,
}

/// The version in force with its revision.
struct Head {
    revision: Revision,
    version: Option<SettingsVersion>,
}

impl Head {
    fn read(entry: Option<Entry>) -> Result<Head, CommitError> {
        match entry {
            None => Ok(Head { revision: Revision::ABSENT, version: None }),
            Some(entry) => Ok(Head {
                revision: entry.revision,
                version: Some(serde_json::from_str(&entry.value)?),
            }),
        }
    }

    fn number(&self) -> Version {
        self.version.as_ref().map_or(Version(0), |version| version.version)
    }
}

/// Looks for an earlier write of this very call, in force or already replaced.
async fn find_own(
    store: &Store,
    head: &Head,
    write_id: &str,
    attempted: Option<&Attempted>,
) -> Result<Option<Committed>, CommitError> {
    let Some(Attempted { version, merged }) = attempted else { return Ok(None) };
    let own = |held: &SettingsVersion| held.write_id == write_id;
    let in_force = head.version.as_ref().is_some_and(own);
    let replaced = match head.number() > *version {
        true => read_version(store, *version).await?.is_some_and(|held| own(&held)),
        false => false,
    };
    let committed = Committed { version: *version, merged: *merged };
    Ok((in_force || replaced).then_some(committed))
}

async fn prepare(
    store: &Store,
    head: &Head,
    text: &str,
    base: Version,
    author: &str,
    write_id: &str,
) -> Result<SettingsVersion, CommitError> {
    let text = match &head.version {
        None => {
            parse(text)?;
            text.to_owned()
        }
        Some(held) => {
            let in_force = parse(&held.text)?;
            let merged = match base == held.version {
                true => text.to_owned(),
                false => rebase(store, base, &in_force.json, text).await?,
            };
            parse_change(&merged, &in_force.settings)?;
            merged
        }
    };
    Ok(SettingsVersion {
        version: head.number().next(),
        base,
        author: author.into(),
        time: Clock::start().unix(),
        write_id: write_id.into(),
        text,
    })
}

/// Merges an edit of an older version with what is in force.
async fn rebase(
    store: &Store,
    base: Version,
    in_force: &Json,
    text: &str,
) -> Result<String, CommitError> {
    let mine = parse(text)?.json;
    let base = read_version(store, base).await?.ok_or(CommitError::NoSuchVersion(base))?;
    let base = parse(&base.text)?.json;
    match merge(&base, in_force, &mine) {
        MergeResult::Merged(json) => Ok(serde_json::to_string_pretty(&json)?),
        MergeResult::Clashes(clashes) => Err(clashes.into()),
    }
}

/// Reads a version that has been replaced.
pub(crate) async fn read_version(
    store: &Store,
    version: Version,
) -> Result<Option<SettingsVersion>, CommitError> {
    match store.get(&history_key(version)).await? {
        Some(entry) => Ok(Some(serde_json::from_str(&entry.value)?)),
        None => Ok(None),
    }
}

/// Keeps the version in force before it is replaced. Writing it twice changes nothing.
async fn keep_history(store: &Store, head: &Head) -> Result<(), CommitError> {
    let Some(held) = &head.version else { return Ok(()) };
    let value = serde_json::to_string(held)?;
    let key = history_key(held.version);
    for _ in 0..MAX_TRIES {
        match store.compare_and_swap(&key, Revision::ABSENT, value.clone()).await {
            Ok(_) => return Ok(()),
            Err(error) if error.may_have_taken_effect() => {
                if store.get(&key).await.is_ok_and(|entry| entry.is_some()) {
                    return Ok(());
                }
                sleep(PAUSE).await;
            }
            Err(error) => return Err(error.into()),
        }
    }
    Err(CommitError::Unknown)
}

fn describe(clashes: &[Clash]) -> String {
    let show = |value: &Option<Json>| value.as_ref().map_or("absent".into(), Json::to_string);
    let mut text = String::from("edits made meanwhile clash with this one:");
    for clash in clashes {
        let (base, theirs, mine) = (show(&clash.base), show(&clash.theirs), show(&clash.mine));
        let _ = write!(
            text,
            "\n  {}: was {base}, in force is {theirs}, this document says {mine}",
            clash.path
        );
    }
    text
}

/// Returns a readable form of a time since the Unix epoch.
pub(crate) fn readable(time: Millis) -> String {
    let seconds = i64::try_from(time.0 / 1000).unwrap_or(i64::MAX);
    chrono::DateTime::from_timestamp(seconds, 0)
        .map(|time| time.to_rfc3339_opts(chrono::SecondsFormat::Secs, true))
        .unwrap_or_else(|| time.to_string())
}
