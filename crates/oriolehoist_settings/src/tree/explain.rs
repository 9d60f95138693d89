use {
    crate::{Placement, Policy, Server, Settings, TimingValues},
    oriolehoist_protocol::ServiceName,
    serde::Serialize,
    serde_json::Value as Json,
};

/// One value in force, and the branch that it comes from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EffectiveValue {
    /// The branch that the value is for.
    pub branch: String,
    /// The setting's group and name.
    pub setting: String,
    /// The value.
    pub value: Json,
    /// The path of the branch that sets it, or `default`.
    pub origin: String,
}

/// Lists every inherited value in force for a service and each of its classes, tenants and
/// targets.
///
/// Returns an empty list if there is no such service.
pub fn explain(settings: &Settings, json: &Json, service: &ServiceName) -> Vec<EffectiveValue> {
    let Some(value) = settings.services.get(service) else { return Vec::new() };
    let site = vec![String::new()];
    let below = |branch: &str| -> Vec<String> {
        let mut path = site.clone();
        path.push(format!("services.{service}"));
        if !branch.is_empty() {
            path.push(format!("services.{service}.{branch}"));
        }
        path
    };
    let mut list = Vec::new();
    let cx = Cx { json };
    cx.add(&mut list, "policy", &below(""), &defaults(&Policy::default()));
    cx.add(&mut list, "placement", &below(""), &defaults(&Placement::default()));
    cx.add(&mut list, "timing", &below(""), &defaults(&TimingValues::default()));
    for class in value.classes.keys() {
        let path = below(&format!("classes.{class}"));
        cx.add(&mut list, "policy", &path, &defaults(&Policy::default()));
    }
    for tenant in value.tenants.keys() {
        let path = below(&format!("tenants.{tenant}"));
        cx.add(&mut list, "policy", &path, &defaults(&Policy::default()));
    }
    for target in value.targets.keys() {
        let path = below(&format!("targets.{target}"));
        cx.add(&mut list, "server", &path, &defaults(&Server::default()));
    }
    list
}

fn defaults(group: &impl Serialize) -> Json {
    serde_json::to_value(group).unwrap_or(Json::Null)
}

struct Cx<'a> {
    json: &'a Json,
}

impl Cx<'_> {
    /// Adds each value of `group` in the lowest branch of `path`, a list of ever longer paths.
    fn add(&self, list: &mut Vec<EffectiveValue>, group: &str, path: &[String], defaults: &Json) {
        let Json::Object(defaults) = defaults else { return };
        for (name, default) in defaults {
            let set = path.iter().rev().find_map(|branch| {
                let value = self.branch(branch)?.get(group)?.get(name)?;
                Some((value.clone(), display(branch)))
            });
            let (value, origin) = set.unwrap_or((default.clone(), "default".into()));
            list.push(EffectiveValue {
                branch: path.last().map(|b| display(b)).unwrap_or_default(),
                setting: format!("{group}.{name}"),
                value,
                origin,
            });
        }
    }

    /// Finds a branch. Names may contain dots, so a path is matched against the names that exist.
    fn branch(&self, path: &str) -> Option<&Json> {
        find(self.json, path)
    }
}

fn find<'a>(json: &'a Json, path: &str) -> Option<&'a Json> {
    if path.is_empty() {
        return Some(json);
    }
    json.as_object()?.iter().find_map(|(name, value)| {
        let rest = path.strip_prefix(name.as_str())?;
        match rest.strip_prefix('.') {
            Some(rest) => find(value, rest),
            None if rest.is_empty() => Some(value),
            None => None,
        }
    })
}

fn display(branch: &str) -> String {
    match branch {
        "" => "site".into(),
        branch => branch.into(),
    }
}
