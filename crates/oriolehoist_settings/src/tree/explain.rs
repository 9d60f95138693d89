use {
    crate::{Placement, Policy, ServerSettings, Settings, TimingValues},
    oriolehoist_protocol::ServiceName,
    serde::Serialize,
    serde_json::Value as Json,
};

/// A setting in force in a branch, with the branch that it is inherited from.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct EffectiveValue {
    /// The path of the branch in which the value is in force.
    pub branch: String,
    /// The group and the name of the setting.
    pub setting: String,
    /// The value.
    pub value: Json,
    /// The path of the branch that sets the value, `site` for the root, or `default` if none does.
    pub origin: String,
}

/// Lists the settings in force for a service and for each of its classes, workspaces and targets.
///
/// Returns an empty list if there is no such service.
pub fn explain(settings: &Settings, json: &Json, service: &ServiceName) -> Vec<EffectiveValue> {
    let Some(value) = settings.services.get(service) else { return Vec::new() };
    let site = vec![String::new()];
    let ancestry = |branch: &str| -> Vec<String> {
        let mut branches = site.clone();
        branches.push(format!("services.{service}"));
        if !branch.is_empty() {
            branches.push(format!("services.{service}.{branch}"));
        }
        branches
    };
    let mut values = Vec::new();
    let document = Document { json };
    document.add(&mut values, "policy", &ancestry(""), &defaults(&Policy::default()));
    document.add(&mut values, "placement", &ancestry(""), &defaults(&Placement::default()));
    document.add(&mut values, "timing", &ancestry(""), &defaults(&TimingValues::default()));
    for class in value.classes.keys() {
        let branches = ancestry(&format!("classes.{class}"));
        document.add(&mut values, "policy", &branches, &defaults(&Policy::default()));
    }
    for workspace in value.workspaces.keys() {
        let branches = ancestry(&format!("tenants.{workspace}"));
        document.add(&mut values, "policy", &branches, &defaults(&Policy::default()));
    }
    for target in value.targets.keys() {
        let branches = ancestry(&format!("targets.{target}"));
        document.add(&mut values, "server", &branches, &defaults(&ServerSettings::default()));
    }
    values
}

fn defaults(group: &impl Serialize) -> Json {
    serde_json::to_value(group).unwrap_or(Json::Null)
}

struct Document<'a> {
    json: &'a Json,
}

impl Document<'_> {
    /// Adds the values of `group` in force in the last of `branches`, which lists the paths of the
    /// branch and all its ancestors, starting at the root.
    fn add(
        &self,
        values: &mut Vec<EffectiveValue>,
        group: &str,
        branches: &[String],
        defaults: &Json,
    ) {
        let Json::Object(defaults) = defaults else { return };
        for (name, default) in defaults {
            let set = branches.iter().rev().find_map(|branch| {
                let value = self.branch(branch)?.get(group)?.get(name)?;
                Some((value.clone(), display_name(branch)))
            });
            let (value, origin) = set.unwrap_or((default.clone(), "default".into()));
            values.push(EffectiveValue {
                branch: branches.last().map(|branch| display_name(branch)).unwrap_or_default(),
                setting: format!("{group}.{name}"),
                value,
                origin,
            });
        }
    }

    /// Returns the branch at a path. Since names may contain dots, the path is matched against the
    /// names in the document instead of being split.
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

fn display_name(branch: &str) -> String {
    match branch {
        "" => "site".into(),
        branch => branch.into(),
    }
}
