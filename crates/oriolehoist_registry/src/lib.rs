//! Keeps the registrations of backend servers as the store has them.
//!
//! A [`Registry`] is filled from a [`Listing`], a read of all registrations in pages, and kept up to
//! date with the changes that a watch reports. It performs no I/O and reads no clock.
//!
//! Pages are not a snapshot: an entry may change after its page was read. A listing therefore counts
//! only as read at the revision of its first page, and the registry is consistent once the changes up
//! to the revision of the last page were applied.
//!
//! ```
//! use {
//!     oriolehoist_port::Revision,
//!     oriolehoist_registry::{Listing, Registry},
//!     oriolehoist_time::Millis,
//! };
//!
//! let mut listing = Listing::default();
//! listing.add_page(Revision(7), []);
//! listing.add_page(Revision(9), []);
//! let mut registry = Registry::default();
//! registry.replace(Millis(0), listing);
//! assert_eq!(registry.revision(), Revision(7));
//! assert!(!registry.is_consistent());
//! registry.advance(Revision(9));
//! assert!(registry.is_consistent());
//! ```

mod listing;
mod registry;

pub use {
    listing::Listing,
    registry::{Registration, Registry, RegistryChanges, RegistryVersion},
};
