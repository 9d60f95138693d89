use {
    serde::Serialize,
    serde_json::{Map, Value as Json},
};

/// A setting that two edits changed differently.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Clash {
    /// The path of names, joined by dots.
    pub path: String,
    /// What the edits started from; `None` if it was absent.
    pub base: Option<Json>,
    /// What is in force now.
    pub theirs: Option<Json>,
    /// What the new edit wants.
    pub mine: Option<Json>,
}

/// One difference between two documents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Side {
    /// The path of names, joined by dots.
    pub path: String,
    /// The value in the first document.
    pub before: Option<Json>,
    /// The value in the second document.
    pub after: Option<Json>,
}

/// How a merge ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum MergeResult {
    /// The edits touch different settings; this contains both.
    Merged(Json),
    /// The edits clash; nothing was merged.
    Clashes(Vec<Clash>),
}

/// Merges an edit of `base` into `theirs`, which was edited meanwhile.
///
/// Objects are merged member by member; any other value is taken whole.
pub fn merge(base: &Json, theirs: &Json, mine: &Json) -> MergeResult {
    let mut clashes = Vec::new();
    let merged = merge_at("", Some(base), Some(theirs), Some(mine), &mut clashes);
    match clashes.is_empty() {
        true => MergeResult::Merged(merged.unwrap_or(Json::Null)),
        false => MergeResult::Clashes(clashes),
    }
}

fn merge_at(
    path: &str,
    base: Option<&Json>,
    theirs: Option<&Json>,
    mine: Option<&Json>,
    clashes: &mut Vec<Clash>,
) -> Option<Json> {
    match (base, theirs, mine) {
        (_, theirs, mine) if theirs == mine => theirs.cloned(),
        (base, theirs, mine) if base == mine => theirs.cloned(),
        (base, theirs, mine) if base == theirs => mine.cloned(),
        (base, Some(Json::Object(theirs)), Some(Json::Object(mine))) => {
            let empty = Map::new();
            let base = base.and_then(Json::as_object).unwrap_or(&empty);
            Some(Json::Object(merge_members(path, base, theirs, mine, clashes)))
        }
        (base, theirs, mine) => {
            clashes.push(Clash {
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
    clashes: &mut Vec<Clash>,
) -> Map<String, Json> {
    let names = theirs.keys().chain(mine.keys().filter(|name| !theirs.contains_key(*name)));
    let mut merged = Map::new();
    for name in names {
        let at = join(path, name);
        let value = merge_at(&at, base.get(name), theirs.get(name), mine.get(name), clashes);
        if let Some(value) = value {
            merged.insert(name.clone(), value);
        }
    }
    merged
}

/// Lists the differences between two documents.
pub fn difference(before: &Json, after: &Json) -> Vec<Side> {
    let mut sides = Vec::new();
    difference_at("", Some(before), Some(after), &mut sides);
    sides
}

fn difference_at(path: &str, before: Option<&Json>, after: Option<&Json>, sides: &mut Vec<Side>) {
    match (before, after) {
        (before, after) if before == after => {}
        (Some(Json::Object(before)), Some(Json::Object(after))) => {
            let names = before.keys().chain(after.keys().filter(|n| !before.contains_key(*n)));
            for name in names {
                difference_at(&join(path, name), before.get(name), after.get(name), sides);
            }
        }
        (before, after) => {
            sides.push(Side { path: path.into(), before: before.cloned(), after: after.cloned() });
        }
    }
}

fn join(path: &str, name: &str) -> String {
    match path {
        "" => name.into(),
        path => format!("{path}.{name}"),
    }
}
