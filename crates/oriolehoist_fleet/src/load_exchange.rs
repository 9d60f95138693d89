use {
    oriolehoist_time::Millis,
    serde::{Deserialize, Serialize},
    std::collections::HashMap,
};

/// The age at which a report is no longer passed on.
const MAX_AGE: Millis = Millis(1000);

/// Where a daemon has a report from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// Its own requests, or a child that it is the relay of.
    Below,
    /// Its relay or, if it is one itself, another relay.
    Above,
}

/// What a daemon tells others about the load of one server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadNews {
    /// The short id of the server.
    pub server: u32,
    /// The requests that it reported, running and waiting.
    pub load: u16,
    /// How long ago it reported them, in milliseconds.
    pub age: u16,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    load: u16,
    reported_at: Millis,
    learned_at: Millis,
    source: Source,
}

/// The latest loads that servers have reported to any daemon, which the daemons of a large fleet tell
/// each other by way of relays.
///
/// Each server reports its load with every response, so each report is known to one daemon. With
/// many daemons, each one alone hears from a server too seldom to know its load.
#[derive(Clone, Debug, Default)]
pub struct LoadExchange {
    latest: HashMap<u32, Known>,
}

impl LoadExchange {
    /// Records a report. Returns whether it is the latest one of that server.
    pub fn learn(&mut self, now: Millis, source: Source, news: LoadNews) -> bool {
        let reported_at = now.since(Millis(u64::from(news.age)));
        let known = self.latest.get(&news.server);
        let is_later = known.is_none_or(|known| reported_at > known.reported_at);
        if is_later {
            let known = Known { load: news.load, reported_at, learned_at: now, source };
            self.latest.insert(news.server, known);
        }
        is_later
    }

    /// Returns the reports that were learned at `since` or later. Only those from below are passed on
    /// upwards, so that none returns to where it came from.
    pub fn news(&self, now: Millis, since: Millis, upwards: bool) -> Vec<LoadNews> {
        let due = self.latest.iter().filter(|(_, known)| {
            known.learned_at >= since && !(upwards && known.source == Source::Above)
        });
        let news = due.filter_map(|(server, known)| {
            let age = now.since(known.reported_at);
            let age = (age < MAX_AGE).then_some(age.0 as u16)?;
            Some(LoadNews { server: *server, load: known.load, age })
        });
        news.collect()
    }

    /// Forgets the reports that are too old to be passed on.
    pub fn expire(&mut self, now: Millis) {
        self.latest.retain(|_, known| now.since(known.reported_at) < MAX_AGE);
    }
}
