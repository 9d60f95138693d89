use {
    crate::process::{Event, report},
    oriolehoist_protocol::Version,
    oriolehoist_settings::{Settings, SettingsVersion, parse_settings},
    std::sync::Arc,
};

/// The settings in force at this daemon. Their version never decreases.
#[derive(Debug, Default)]
pub(crate) struct SettingsInForce {
    current: Option<InForce>,
    /// The last version that was invalid, so that it is logged only once.
    rejected: Version,
    /// The newest version received so far, while none is in force.
    initial: Option<SettingsVersion>,
}

/// A version in force, as stored and as parsed.
#[derive(Debug)]
struct InForce {
    version: SettingsVersion,
    settings: Arc<Settings>,
}

impl SettingsInForce {
    /// Returns the number of the version in force, or zero if there is none.
    pub(crate) fn version(&self) -> Version {
        self.current.as_ref().map_or(Version(0), |current| current.version.version)
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Option<&Arc<Settings>> {
        self.current.as_ref().map(|current| &current.settings)
    }

    /// Returns the version in force in the form in which the store keeps it.
    pub(crate) fn settings_version(&self) -> Option<&SettingsVersion> {
        self.current.as_ref().map(|current| &current.version)
    }

    /// Proposes a version while none is in force. Only the newest proposal is kept.
    ///
    /// The store may respond with an old version. Since this daemon may have used a newer one
    /// before a restart, the first version comes into force only after the peers were consulted.
    pub(crate) fn propose_initial(&mut self, proposed: SettingsVersion) {
        if self.initial.as_ref().is_none_or(|initial| proposed.version > initial.version) {
            self.initial = Some(proposed);
        }
    }

    /// Returns the number of the newest proposal, or zero if there is none.
    pub(crate) fn proposed_version(&self) -> Version {
        self.initial.as_ref().map_or(Version(0), |initial| initial.version)
    }

    /// Puts the newest proposal in force. Returns whether that succeeded.
    pub(crate) fn apply_initial(&mut self) -> bool {
        match self.initial.take() {
            Some(initial) => self.apply_if_newer(initial),
            None => false,
        }
    }

    /// Puts a version in force if it is newer. Returns whether that succeeded.
    ///
    /// An invalid version is logged and ignored: the version in force stays.
    pub(crate) fn apply_if_newer(&mut self, candidate: SettingsVersion) -> bool {
        if candidate.version <= self.version() || candidate.version == self.rejected {
            return false;
        }
        match parse_settings(&candidate.text) {
            Ok(parsed) => {
                let text = format_args!("version {} by {}", candidate.version, candidate.author);
                report(Event::SettingsInForce, text);
                let settings = Arc::new(parsed.settings);
                self.current = Some(InForce { version: candidate, settings });
                true
            }
            Err(problems) => {
                let text = format_args!("version {}: {problems}", candidate.version);
                report(Event::SettingsRejected, text);
                self.rejected = candidate.version;
                false
            }
        }
    }
}
