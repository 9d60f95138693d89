use {
    crate::process::{Event, report},
    oriolehoist_protocol::Version,
    oriolehoist_settings::{Settings, SettingsVersion, parse_settings},
    std::sync::Arc,
};

/// The settings in force at this daemon. Their version never falls.
#[derive(Debug, Default)]
pub(crate) struct SettingsInForce {
    current: Option<InForce>,
    /// A version that could not be understood, so that it is reported once.
    rejected: Version,
    /// The newest version that has arrived before the first may come into force.
    first: Option<SettingsVersion>,
}

#[derive(Debug)]
struct InForce {
    version: SettingsVersion,
    settings: Arc<Settings>,
}

impl SettingsInForce {
    /// Returns the version in force; zero before there is one.
    pub(crate) fn version(&self) -> Version {
        self.current.as_ref().map_or(Version(0), |current| current.version.version)
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Option<&Arc<Settings>> {
        self.current.as_ref().map(|current| &current.settings)
    }

    /// Returns the version in force as the store keeps it.
    pub(crate) fn whole(&self) -> Option<&SettingsVersion> {
        self.current.as_ref().map(|current| &current.version)
    }

    /// Takes a version while none is in force, and keeps the newest.
    ///
    /// The store may answer with an old version. Since this daemon may have used a newer one
    /// before it was restarted, the first comes into force only after the peers were asked.
    pub(crate) fn propose_first(&mut self, proposed: SettingsVersion) {
        if self.first.as_ref().is_none_or(|first| proposed.version > first.version) {
            self.first = Some(proposed);
        }
    }

    /// Returns the newest version that has been proposed as the first.
    pub(crate) fn first_proposed(&self) -> Version {
        self.first.as_ref().map_or(Version(0), |first| first.version)
    }

    /// Puts the newest proposed version in force. Returns whether there was one.
    pub(crate) fn accept_first(&mut self) -> bool {
        match self.first.take() {
            Some(first) => self.offer(first),
            None => false,
        }
    }

    /// Puts a version in force if it is newer. Returns whether it was.
    ///
    /// A version that can't be understood is left aside, and what is in force stays.
    pub(crate) fn offer(&mut self, offered: SettingsVersion) -> bool {
        if offered.version <= self.version() || offered.version == self.rejected {
            return false;
        }
        match parse_settings(&offered.text) {
            Ok(checked) => {
                let text = format_args!("version {} by {}", offered.version, offered.author);
                report(Event::SettingsInForce, text);
                let settings = Arc::new(checked.settings);
                self.current = Some(InForce { version: offered, settings });
                true
            }
            Err(problems) => {
                let text = format_args!("version {}: {problems}", offered.version);
                report(Event::SettingsRejected, text);
                self.rejected = offered.version;
                false
            }
        }
    }
}
