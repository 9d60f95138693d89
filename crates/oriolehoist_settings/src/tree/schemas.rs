use crate::{
    document::{Field, Schema},
    tree::groups::{PLACEMENT, POLICY, SERVER, TIMING},
};

/// Schema of a whole document.
pub(crate) const SITE: Schema = Schema::Object(&[
    Field::required("site", Schema::Name),
    Field::required("zones", Schema::Array(&Schema::Name)),
    Field::required("services", Schema::Map(&SERVICE)),
    Field::optional("receipts", Schema::Object(&[Field::optional("sign_with", Schema::Name)])),
    Field::optional("policy", Schema::Object(POLICY)),
    Field::optional("server", Schema::Object(SERVER)),
    Field::optional("placement", Schema::Object(PLACEMENT)),
    Field::optional("timing", Schema::Object(TIMING)),
]);

/// Maximum number of shards of a service.
const MAX_SHARDS: u64 = 65_536;
/// Maximum length of the key in a binding, in bytes.
const MAX_KEY_BYTES: usize = 4096;

const SERVICE: Schema = Schema::Object(&[
    Field::required("keyed", Schema::Bool),
    Field::optional("shards", Schema::Integer { min: 1, max: MAX_SHARDS, unit: "shards" }),
    Field::required("targets", Schema::Map(&TARGET)),
    Field::optional("bindings", Schema::Array(&BINDING)),
    Field::optional("classes", Schema::Map(&POLICY_BRANCH)),
    Field::optional("tenants", Schema::Map(&POLICY_BRANCH)),
    Field::optional("policy", Schema::Object(POLICY)),
    Field::optional("server", Schema::Object(SERVER)),
    Field::optional("placement", Schema::Object(PLACEMENT)),
    Field::optional("timing", Schema::Object(TIMING)),
]);

const POLICY_BRANCH: Schema = Schema::Object(&[Field::optional("policy", Schema::Object(POLICY))]);

const BINDING: Schema = Schema::Object(&[
    Field::required("key", Schema::String { max_bytes: MAX_KEY_BYTES }),
    Field::required("targets", Schema::Array(&Schema::Name)),
]);

const TARGET: Schema = Schema::Object(&[
    Field::required("address", Schema::Address),
    Field::required("zone", Schema::Name),
    Field::optional("state", Schema::Enum(&["live", "drain"])),
    Field::optional("server", Schema::Object(SERVER)),
]);
