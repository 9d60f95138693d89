/// How urgent a request is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// Someone waits and loses by every delay.
    Urgent,
    /// Someone waits.
    #[default]
    Interactive,
    /// Nobody waits.
    Bulk,
}

impl Class {
    /// Every class, the most urgent first.
    pub const ALL: [Class; 3] = [Class::Urgent, Class::Interactive, Class::Bulk];

    /// Returns the class's name in headers, settings and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Class::Urgent => "urgent",
            Class::Interactive => "interactive",
            Class::Bulk => "bulk",
        }
    }

    /// Finds a class by its name.
    pub fn parse(name: &str) -> Option<Class> {
        Class::ALL.into_iter().find(|class| class.name() == name)
    }

    /// Returns the class's share when all classes wait; every class keeps a floor.
    pub(crate) const fn shares(self) -> u64 {
        match self {
            Class::Urgent => 16,
            Class::Interactive => 4,
            Class::Bulk => 1,
        }
    }

    /// Returns which part of the queue the class may fill, in percent.
    pub(crate) const fn queue_percent(self) -> usize {
        match self {
            Class::Urgent => 100,
            Class::Interactive => 80,
            Class::Bulk => 40,
        }
    }
}
