use {
    crate::{Position, Problem, Problems, Service, Settings, document::Node},
    std::collections::HashMap,
};

/// Maximum time until a key is served again after the loss of its owner, in milliseconds, as the
/// users of the router require.
const MAX_FAILOVER_MS: u64 = 2000;
/// Part of that time that is reserved for messages and scheduling, in milliseconds.
const MESSAGING_RESERVE_MS: u64 = 200;

/// Names of the priority classes.
const CLASSES: [&str; 3] = ["urgent", "interactive", "bulk"];

/// Checks the rules that involve several branches.
///
/// # Errors
///
/// Returns every violation.
pub(super) fn check(root: &Node, settings: &Settings) -> Result<(), Problems> {
    let mut checker = RuleChecker { root, problems: Vec::new() };
    for (name, service) in &settings.services {
        checker.check_targets(name.as_str(), service, settings);
        checker.check_bindings(name.as_str(), service);
        checker.check_classes(name.as_str(), service);
        checker.check_timing(name.as_str(), service, settings);
    }
    checker.check_addresses(settings);
    Problems::ok_if_empty(checker.problems, ())
}

/// Checks that an update does not change settings that are fixed for the lifetime of a service.
///
/// # Errors
///
/// Returns every such change.
pub(super) fn check_update(
    root: &Node,
    before: &Settings,
    after: &Settings,
) -> Result<(), Problems> {
    let mut checker = RuleChecker { root, problems: Vec::new() };
    for (name, new) in &after.services {
        let Some(old) = before.services.get(name) else { continue };
        let name = name.as_str();
        let reason = "the setting is fixed for the lifetime of the service";
        let mut check = |setting: &str, old: String, new: String| {
            if old != new {
                let expected = format!("{old}, since {reason}");
                checker.report(&["services", name, setting], expected, new);
            }
        };
        check("shards", old.shards.to_string(), new.shards.to_string());
        check("keyed", old.keyed.to_string(), new.keyed.to_string());
        let (old, new) = (before.timing_of(old), after.timing_of(new));
        check("timing", format!("{old:?}"), format!("{new:?}"));
    }
    Problems::ok_if_empty(checker.problems, ())
}

struct RuleChecker<'a> {
    root: &'a Node,
    problems: Vec<Problem>,
}

impl RuleChecker<'_> {
    fn check_targets(&mut self, name: &str, service: &Service, settings: &Settings) {
        for (target, value) in &service.targets {
            if !settings.zones.contains(&value.zone) {
                let path = ["services", name, "targets", target.as_str(), "zone"];
                let zones: Vec<&str> =
                    settings.zones.iter().map(oriolehoist_protocol::ZoneName::as_str).collect();
                let expected =
                    format!("an availability zone listed in \"zones\": {}", zones.join(", "));
                self.report(&path, expected, format!("\"{}\"", value.zone));
            }
        }
    }

    fn check_bindings(&mut self, name: &str, service: &Service) {
        for (index, binding) in service.bindings.iter().enumerate() {
            let index = index.to_string();
            for target in
                binding.targets.iter().filter(|target| !service.targets.contains_key(target))
            {
                let path = ["services", name, "bindings", &index];
                let expected = "targets of the same service".to_owned();
                self.report(&path, expected, format!("\"{target}\""));
            }
            if !service.keyed {
                let path = ["services", name, "bindings", &index];
                let expected = "no binding in a service with \"keyed\": false".to_owned();
                self.report(&path, expected, "a binding".to_owned());
            }
        }
    }

    fn check_classes(&mut self, name: &str, service: &Service) {
        for class in service.classes.keys().filter(|class| !CLASSES.contains(&class.as_str())) {
            let path = ["services", name, "classes", class.as_str()];
            self.report(&path, format!("one of {}", CLASSES.join(", ")), format!("\"{class}\""));
        }
    }

    fn check_timing(&mut self, name: &str, service: &Service, settings: &Settings) {
        let timing = settings.timing_of(service);
        // If the assigner is lost together with an owner, a new assigner must detect the loss, and
        // the witness leases and grants must expire, before the keys are served again.
        let sum = timing.lost_after_ms + timing.voucher_ms + timing.grant_ms;
        let path = ["services", name];
        if sum > MAX_FAILOVER_MS - MESSAGING_RESERVE_MS {
            let max = MAX_FAILOVER_MS - MESSAGING_RESERVE_MS;
            let expected = format!("lost_after_ms + voucher_ms + grant_ms of at most {max}");
            self.report(&path, expected, sum.to_string());
        }
        if timing.renewal_ms * 3 > timing.grant_ms {
            let expected = "a renewal_ms of at most a third of grant_ms".to_owned();
            self.report(&path, expected, timing.renewal_ms.to_string());
        }
        if timing.heartbeat_ms * 2 > timing.voucher_ms {
            let expected = "a heartbeat_ms of at most half of voucher_ms".to_owned();
            self.report(&path, expected, timing.heartbeat_ms.to_string());
        }
    }

    fn check_addresses(&mut self, settings: &Settings) {
        let mut targets_by_address = HashMap::new();
        for (name, service) in &settings.services {
            for (target, value) in &service.targets {
                if let Some(other) = targets_by_address.insert(value.address, target) {
                    let path = ["services", name.as_str(), "targets", target.as_str(), "address"];
                    let expected = "an address of its own".to_owned();
                    self.report(&path, expected, format!("the address of \"{other}\""));
                }
            }
        }
    }

    fn report(&mut self, path: &[&str], expected: String, found: String) {
        // If the document does not contain the path, the position is that of its closest ancestor.
        let position = (0..=path.len())
            .rev()
            .find_map(|length| self.root.at(&path[..length]))
            .map_or(Position::default(), |node| node.position);
        self.problems.push(Problem { position, path: path.join("."), expected, found });
    }
}
