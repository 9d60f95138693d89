use {crate::Registration, oriolehoist_port::Revision, smol_str::SmolStr};

/// A read of all registrations in pages.
#[derive(Clone, Debug, Default)]
pub struct Listing {
    pub(crate) registrations: Vec<Registration>,
    first_revision: Option<Revision>,
    last_revision: Revision,
    pages: u32,
    /// The last id that was read, if those behind it could not be.
    ends_at: Option<SmolStr>,
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

    /// Records that the registrations behind that of `id` could not be read.
    pub fn end_at(&mut self, id: SmolStr) {
        self.ends_at = Some(id);
    }

    /// Returns whether a registration with this id would be included.
    pub(crate) fn includes(&self, id: &SmolStr) -> bool {
        self.ends_at.as_ref().is_none_or(|last| id <= last)
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
