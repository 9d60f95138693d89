use {
    serde::Serialize,
    serde_json::{Map, Value as Json},
};

/// A setting that two concurrent edits changed differently.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct MergeConflict {
    /// The path of the setting: names joined by dots.
    pub path: String,
    /// The value that both edits started from; `None` if the setting was absent.
    pub base: Option<Json>,
    /// The value in force; `None` if the setting is absent.
    pub theirs: Option<Json>,
    /// The value in the new edit; `None` if the setting is absent.
    pub mine: Option<Json>,
}

/// A setting that differs between two documents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct SettingChange {
    /// The path of the setting: names joined by dots.
    pub path: String,
    /// The value in the first document; `None` if the setting is absent.
    pub before: Option<Json>,
    /// The value in the second document; `None` if the setting is absent.
    pub after: Option<Json>,
}

/// Result of a merge.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// The edits do not conflict; this is the document with both applied.
    Merged(Json),
    /// The edits conflict; nothing was merged.
    Conflicts(Vec<MergeConflict>),
}

/// Three-way merge of two concurrent edits of `base`: returns `theirs` with the changes between
/// `base` and `mine` applied.
///
/// Objects are merged member by member; any other value is replaced as a whole.
pub fn merge(base: &Json, theirs: &Json, mine: &Json) -> MergeResult {
    let mut conflicts = Vec::new();
    let merged = merge_at("", Some(base), Some(theirs), Some(mine), &mut conflicts);
    match conflicts.is_empty() {
        true => MergeResult::Merged(merged.unwrap_or(Json::Null)),
        false => MergeResult::Conflicts(conflicts),
    }
}

fn merge_at(
    path: &str,
    base: Option<&Json>,
    theirs: Option<&Json>,
    mine: Option<&Json>,
    conflicts: &mut Vec<MergeConflict>,
) -> Option<Json> {
    match (base, theirs, mine) {
        (_, theirs, mine) if theirs == mine => theirs.cloned(),
        (base, theirs, mine) if base == mine => theirs.cloned(),
        (base, theirs, mine) if base == theirs => mine.cloned(),
        (base, Some(Json::Object(theirs)), Some(Json::Object(mine))) => {
            let empty = Map::new();
            let base = base.and_then(Json::as_object).unwrap_or(&empty);
            Some(Json::Object(merge_members(path, base, theirs, mine, conflicts)))
        }
        (base, theirs, mine) => {
            conflicts.push(MergeConflict {
                path: path.into(),
                base: base.cloned(),
                theirs: theirs.cloned(),
                mine: mine.cloned(),
            });
            None
        }
    }
}

fn merge_members(
    path: &str,
    base: &Map<String, Json>,
    theirs: &Map<String, Json>,
    mine: &Map<String, Json>,
    conflicts: &mut Vec<MergeConflict>,
) -> Map<String, Json> {
    let names = theirs.keys().chain(mine.keys().filter(|name| !theirs.contains_key(*name)));
    let mut merged = Map::new();
    for name in names {
        let member_path = join(path, name);
        let value =
            merge_at(&member_path, base.get(name), theirs.get(name), mine.get(name), conflicts);
        if let Some(value) = value {
            merged.insert(name.clone(), value);
        }
    }
    merged
}

/// Lists the differences between two documents.
pub fn difference(before: &Json, after: &Json) -> Vec<SettingChange> {
    let mut changes = Vec::new();
    difference_at("", Some(before), Some(after), &mut changes);
    changes
}

fn difference_at(
    path: &str,
    before: Option<&Json>,
    after: Option<&Json>,
    changes: &mut Vec<SettingChange>,
) {
    match (before, after) {
        (before, after) if before == after => {}
        (Some(Json::Object(before)), Some(Json::Object(after))) => {
            let names =
                before.keys().chain(after.keys().filter(|name| !before.contains_key(*name)));
            for name in names {
                difference_at(&join(path, name), before.get(name), after.get(name), changes);
            }
        }
        (before, after) => {
            changes.push(SettingChange {
                path: path.into(),
                before: before.cloned(),
                after: after.cloned(),
            });
        }
    }
}

fn join(path: &str, name: &str) -> String {
    match path {
        "" => name.into(),
        path => format!("{path}.{name}"),
    }
}
