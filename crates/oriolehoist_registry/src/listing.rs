use {crate::Registration, oriolehoist_port::Revision};

/// A read of all registrations in pages.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    pub(crate) registrations: Vec<Registration>,
    first_revision: Option<Revision>,
    last_revision: Revision,
    pages: u32,
}

impl Listing {
    /// Adds the next page, and the store's revision when it was read.
    pub fn add_page(
        &mut self,
        revision: Revision,
        registrations: impl IntoIterator<Item = Registration>,
    ) {
        self.registrations.extend(registrations);
        self.first_revision.get_or_insert(revision);
        self.last_revision = revision;
        self.pages += 1;
    }

    /// Returns the store's revision when the first page was read. All earlier changes are included.
    pub fn first_revision(&self) -> Revision {
        self.first_revision.unwrap_or_default()
    }

    /// Returns the store's revision when the last page was read. No later changes are included.
    pub fn last_revision(&self) -> Revision {
        self.last_revision
    }

    /// Returns the number of pages.
    pub fn pages(&self) -> u32 {
        self.pages
    }

    /// Returns the number of registrations.
    pub fn len(&self) -> usize {
        self.registrations.len()
    }

    /// Returns whether there are no registrations.
    pub fn is_empty(&self) -> bool {
        self.registrations.is_empty()
    }
}
