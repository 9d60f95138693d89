use {
    crate::{Holder, KeyRoutes, ServerIncarnation},
    std::collections::HashMap,
};

/// How many keys each server of a service serves, to notice those that have got some.
///
/// Requests for a key that was moved have waited for that at all daemons, so they come at the same time.
#[derive(Clone, Debug, Default)]
pub struct HeldKeys {
    keys: HashMap<ServerIncarnation, u32>,
}

impl HeldKeys {
    /// Takes over new routes. Returns the servers that serve more keys than before.
    pub fn update(&mut self, routes: &KeyRoutes) -> Vec<ServerIncarnation> {
        let mut keys: HashMap<ServerIncarnation, u32> = HashMap::new();
        for routed in &routes.0 {
            if let Holder::Server(server) = &routed.holder {
                let width = u32::from(routed.range.last) + 1 - u32::from(routed.range.first);
                *keys.entry(server.clone()).or_default() += width;
            }
        }
        let before = std::mem::replace(&mut self.keys, keys);
        let has_more = |(server, keys): &(&ServerIncarnation, &u32)| {
            before.get(server).is_none_or(|before| before < keys)
        };
        self.keys.iter().filter(has_more).map(|(server, _)| server.clone()).collect()
    }
}
