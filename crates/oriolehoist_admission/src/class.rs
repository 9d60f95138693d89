/// Priority class of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Class {
    /// A user waits for the response, and every delay does harm.
    Urgent,
    /// A user waits for the response.
    #[default]
    Interactive,
    /// No user waits for the response.
    Bulk,
}

impl Class {
    /// All classes, highest priority first.
    pub const ALL: [Class; 3] = [Class::Urgent, Class::Interactive, Class::Bulk];

    /// Returns the name of the class in headers, settings and metrics.
    pub const fn name(self) -> &'static str {
        match self {
            Class::Urgent => "urgent",
            Class::Interactive => "interactive",
            Class::Bulk => "bulk",
        }
    }

    /// Returns the class with this name, if there is one.
    pub fn parse(name: &str) -> Option<Class> {
        Class::ALL.into_iter().find(|class| class.name() == name)
    }

    /// Returns the scheduling weight of the class. No weight is zero, so that no class starves
    /// while requests of all classes are queued.
    pub(crate) const fn weight(self) -> u64 {
        match self {
            Class::Urgent => 16,
            Class::Interactive => 4,
            Class::Bulk => 1,
        }
    }

    /// Returns the maximum share of the queue, in percent, that this class and those above it may
    /// fill together before requests of the class are refused.
    pub(crate) const fn max_queue_percent(self) -> usize {
        match self {
            Class::Urgent => 100,
            Class::Interactive => 80,
            Class::Bulk => 40,
        }
    }
}
