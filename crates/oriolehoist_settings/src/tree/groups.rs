use {
    crate::document::{Field, Shape},
    serde::{Deserialize, Serialize},
};

/// Declares a group of settings that lower branches inherit: the values in force, the overrides
/// of one branch, their schema, and how one overrides the other.
macro_rules! inherited {
    (
        $(#[$doc:meta])*
        $name:ident, $overrides:ident, $fields:ident {
            $( $(#[$field_doc:meta])* $field:ident: $type:ty = $default:expr, $shape:expr; )*
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

        /// What one branch overrides of the group.
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
        #[serde(default, deny_unknown_fields)]
        pub struct $overrides {
            $( $field: Option<$type>, )*
        }

        impl $name {
            /// Returns the values that hold in a branch with these overrides.
            #[must_use]
            pub fn overridden(self, overrides: &$overrides) -> $name {
                $name { $( $field: overrides.$field.unwrap_or(self.$field), )* }
            }
        }

        pub(crate) const $fields: &[Field] = &[
            $( Field::optional(stringify!($field), $shape), )*
        ];
    };
}

const fn millis(least: u64, most: u64) -> Shape {
    Shape::Whole { least, most, unit: "milliseconds" }
}

const fn count(least: u64, most: u64, unit: &'static str) -> Shape {
    Shape::Whole { least, most, unit }
}

/// Whether a backend server checks who gives it an order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Fencing {
    /// It refuses orders of a stale term and requests of a wrong epoch. Servers that do not check
    /// are refused by the settings so far: nothing would keep a key's owners apart.
    #[default]
    Checked,
}

inherited! {
    /// How requests are treated. Inherited from the site by a service, its classes and its tenants.
    Policy, PolicyOverrides, POLICY {
        /// The time that a request has if its caller names none, in milliseconds.
        deadline_ms: u64 = 2000, millis(1, 600_000);
        /// The longest time that a caller may name, in milliseconds.
        max_deadline_ms: u64 = 60_000, millis(1, 3_600_000);
        /// How many requests may wait for one server at one daemon.
        queue: u64 = 64, count(0, 100_000, "requests");
        /// How many requests may be sent again for each hundred, by each daemon.
        retry_percent: u64 = 10, count(0, 100, "percent");
        /// How many retries a daemon may save up for each service. The usual figure covers the
        /// requests that are under way when all its connections fall silent at once.
        retry_savings: u64 = 50, count(1, 10_000, "requests");
        /// The largest body of a request, in bytes.
        max_body_bytes: u64 = 1 << 20, count(0, 16 << 20, "bytes");
        /// The largest body of an answer, in bytes.
        max_answer_bytes: u64 = 4 << 20, count(0, 64 << 20, "bytes");
        /// The longest key, in bytes.
        max_key_bytes: u64 = 512, count(1, 4096, "bytes");
        /// The longest wait for a body to arrive, in milliseconds.
        body_timeout_ms: u64 = 5000, millis(10, 600_000);
        /// The weight of this branch against its siblings when requests wait.
        weight: u64 = 1, count(1, 1000, "shares");
    }
}

inherited! {
    /// What a backend server can take. Inherited from the site by a service and its targets.
    Server, ServerOverrides, SERVER {
        /// How many requests it runs at once.
        slots: u64 = 4, count(1, 100_000, "requests");
        /// How many connections it takes.
        connections: u64 = 100, count(1, 1_000_000, "connections");
        /// Whether it checks who gives it an order.
        fencing: Fencing = Fencing::Checked, Shape::Choice(&["checked"]);
    }
}

inherited! {
    /// How eagerly shards are moved. Inherited from the site by a service.
    Placement, PlacementOverrides, PLACEMENT {
        /// How many shards may move for balance in each half second.
        moves: u64 = 4, count(0, 100_000, "shards");
        /// The greatest load of a server, in percent of the mean, at which nothing moves.
        imbalance_percent: u64 = 125, count(100, 100_000, "percent");
    }
}

inherited! {
    /// The times that ownership rests on. Inherited from the site by a service.
    TimingValues, TimingOverrides, TIMING {
        /// Time between heartbeats, in milliseconds.
        heartbeat_ms: u64 = 100, millis(10, 1000);
        /// Time between renewals of a grant, in milliseconds.
        renewal_ms: u64 = 150, millis(10, 1000);
        /// How long a grant lasts, in milliseconds.
        grant_ms: u64 = 900, millis(50, 1700);
        /// How long a witness's voucher lasts, in milliseconds.
        voucher_ms: u64 = 300, millis(20, 1700);
        /// Silence after which a process is taken to be lost, in milliseconds.
        lost_after_ms: u64 = 400, millis(20, 1700);
        /// The greatest difference in speed between two clocks, in thousandths.
        drift_per_mille: u64 = 10, count(0, 100, "thousandths");
    }
}
