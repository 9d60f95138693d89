use {
    crate::document::{Field, Schema},
    serde::{Deserialize, Serialize},
};

/// Declares a group of settings that a branch inherits from its parent: the type of the values in
/// force, the type of the overrides in one branch, the schema, and the inheritance.
macro_rules! inherited_settings {
    (
        $(#[$doc:meta])*
        $name:ident, $overrides:ident, $fields:ident {
            $( $(#[$field_doc:meta])* $field:ident: $type:ty = $default:expr, $schema:expr; )*
        }
    ) => {
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
        pub struct $name {
            $( $(#[$field_doc])* pub $field: $type, )*
        }

        impl Default for $name {
            fn default() -> $name {
                $name { $( $field: $default, )* }
            }
        }

        /// The values of the group that one branch overrides.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct $overrides {
            $( $field: Option<$type>, )*
        }

        impl $name {
            /// Returns the values in force in a branch with these overrides.
            #[must_use]
            pub fn with_overrides(self, overrides: &$overrides) -> $name {
                $name { $( $field: overrides.$field.unwrap_or(self.$field), )* }
            }
        }

        pub(crate) const $fields: &[Field] = &[
            $( Field::optional(stringify!($field), $schema), )*
        ];
    };
}

const fn millis(min: u64, max: u64) -> Schema {
    Schema::Integer { min, max, unit: "milliseconds" }
}

const fn count(min: u64, max: u64, unit: &'static str) -> Schema {
    Schema::Integer { min, max, unit }
}

/// Whether a backend server verifies the sender of orders and the epoch of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// The server refuses orders of a stale term and requests of a wrong epoch. The settings do not
    /// support servers without these checks so far, since nothing would prevent two servers from
    /// serving the same key.
    #[default]
    Checked,
}

inherited_settings! {
    /// How requests are handled. A service inherits these settings from the site; its classes and
    /// workspaces inherit them from the service.
    Policy, PolicyOverrides, POLICY {
        /// Deadline of requests whose caller sets none, in milliseconds.
        deadline_ms: u64 = 2000, millis(1, 600_000);
        /// Maximum deadline that a caller may set, in milliseconds.
        max_deadline_ms: u64 = 60_000, millis(1, 3_600_000);
        /// Maximum number of requests queued for one server at one daemon.
        queue: u64 = 64, count(0, 100_000, "requests");
        /// Maximum number of retries per hundred first attempts, for each daemon.
        retry_percent: u64 = 10, count(0, 100, "percent");
        /// Maximum number of unused retries that a daemon accumulates for each service. The default
        /// covers the requests in flight when all its connections stop responding at once.
        retry_savings: u64 = 50, count(1, 10_000, "requests");
        /// Maximum size of a request body, in bytes.
        max_body_bytes: u64 = 1 << 20, count(0, 16 << 20, "bytes");
        /// Maximum size of a response body, in bytes.
        max_answer_bytes: u64 = 4 << 20, count(0, 64 << 20, "bytes");
        /// Maximum length of a key, in bytes.
        max_key_bytes: u64 = 512, count(1, 4096, "bytes");
        /// Timeout for receiving a request body, in milliseconds.
        body_timeout_ms: u64 = 5000, millis(10, 600_000);
        /// Scheduling weight of queued requests of this branch, relative to its siblings.
        weight: u64 = 1, count(1, 1000, "shares");
    }
}

inherited_settings! {
    /// Capacity and capabilities of a backend server. A service inherits these settings from the
    /// site; its targets inherit them from the service.
    ServerSettings, ServerOverrides, SERVER {
        /// Maximum number of requests that the server runs concurrently.
        slots: u64 = 4, count(1, 100_000, "requests");
        /// Maximum number of connections that the server accepts.
        connections: u64 = 100, count(1, 1_000_000, "connections");
        /// Whether the server verifies the sender of orders and the epoch of requests.
        fencing: Fencing = Fencing::Checked, Schema::Enum(&["checked"]);
    }
}

inherited_settings! {
    /// Limits on moving shards between servers. A service inherits these settings from the site.
    Placement, PlacementOverrides, PLACEMENT {
        /// Maximum number of shards moved for load balancing per half second.
        moves: u64 = 4, count(0, 100_000, "shards");
        /// Load of the busiest server, in percent of the mean load, above which shards are moved for
        /// load balancing.
        imbalance_percent: u64 = 125, count(100, 100_000, "percent");
    }
}

inherited_settings! {
    /// Timeouts on which the safety of ownership depends. A service inherits these settings from
    /// the site.
    TimingValues, TimingOverrides, TIMING {
        /// Interval between heartbeats, in milliseconds.
        heartbeat_ms: u64 = 100, millis(10, 1000);
        /// Interval between renewals of a grant, in milliseconds.
        renewal_ms: u64 = 150, millis(10, 1000);
        /// Duration of a grant, in milliseconds.
        grant_ms: u64 = 900, millis(50, 1700);
        /// Duration of a witness lease, in milliseconds.
        voucher_ms: u64 = 300, millis(20, 1700);
        /// Time without any message after which a process is considered lost, in milliseconds.
        lost_after_ms: u64 = 400, millis(20, 1700);
        /// Maximum difference in rate between two clocks, in thousandths.
        drift_per_mille: u64 = 10, count(0, 100, "thousandths");
    }
}
