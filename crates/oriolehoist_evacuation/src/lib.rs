//! Which availability zones operators have evacuated, and how current that knowledge is.
//!
//! [`EvacuatedZones`] is the set that a daemon knows, with the store's revision and the time at which it
//! was last known to be the store's. [`EvacuationTiming`] derives from the agreed bound when a daemon
//! reads the set itself, and when requests for keys that have not moved are refused.
//!
//! The crate performs no I/O and reads no clock.
//!
//! ```
//! use {
//!     oriolehoist_evacuation::{EvacuatedZones, ZoneSet},
//!     oriolehoist_port::Revision,
//!     oriolehoist_time::Millis,
//! };
//!
//! let mut known = EvacuatedZones::default();
//! let read = ZoneSet::new(Revision(7), ["north".into()]);
//! let changes = known.on_read(Millis(100), Millis(90), read);
//! assert_eq!(changes.began, ["north"]);
//! assert!(known.contains("north"));
//! ```

mod message;
mod timing;
mod zones;

pub use {
    message::{EvacuationNews, EvacuationVersion},
    timing::{EvacuationTiming, FIRST_READ_TIMEOUT, READ_SPREAD},
    zones::{EvacuatedZones, MAX_ZONE_BYTES, MAX_ZONES, ZoneChanges, ZoneSet},
};
