use {
    crate::process::{Event, report},
    oriolehoist_protocol::Version,
    oriolehoist_settings::{Settings, SettingsVersion, parse},
    std::sync::Arc,
};

/// The settings in force at this daemon. Their version never falls.
#[derive(Debug, Default)]
pub(crate) struct SettingsInForce {
    current: Option<InForce>,
    /// A version that could not be understood, so that it is reported once.
    rejected: Version,
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

    /// Puts a version in force if it is newer. Returns whether it was.
    ///
    /// A version that can't be understood is left aside, and what is in force stays.
    pub(crate) fn offer(&mut self, offered: SettingsVersion) -> bool {
        if offered.version <= self.version() || offered.version == self.rejected {
            return false;
        }
        match parse(&offered.text) {
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
