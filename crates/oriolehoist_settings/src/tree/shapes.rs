use crate::{
    document::{Field, Shape},
    tree::groups::{PLACEMENT, POLICY, SERVER, TIMING},
};

/// The shape of a whole document.
pub(crate) const ROOT: Shape = Shape::Record(&[
    Field::required("site", Shape::Name),
    Field::required("zones", Shape::List(&Shape::Name)),
    Field::required("services", Shape::Map(&SERVICE)),
    Field::optional("receipts", Shape::Record(&[Field::optional("sign_with", Shape::Name)])),
    Field::optional("policy", Shape::Record(POLICY)),
    Field::optional("server", Shape::Record(SERVER)),
    Field::optional("placement", Shape::Record(PLACEMENT)),
    Field::optional("timing", Shape::Record(TIMING)),
]);

/// The greatest number of shards of a service.
const MAX_SHARDS: u64 = 65_536;
/// The longest key that a binding can name, in bytes.
const MAX_KEY_BYTES: usize = 4096;

const SERVICE: Shape = Shape::Record(&[
    Field::required("keyed", Shape::Flag),
    Field::optional("shards", Shape::Whole { least: 1, most: MAX_SHARDS, unit: "shards" }),
    Field::required("targets", Shape::Map(&TARGET)),
    Field::optional("bindings", Shape::List(&BINDING)),
    Field::optional("classes", Shape::Map(&BRANCH)),
    Field::optional("tenants", Shape::Map(&BRANCH)),
    Field::optional("policy", Shape::Record(POLICY)),
    Field::optional("server", Shape::Record(SERVER)),
    Field::optional("placement", Shape::Record(PLACEMENT)),
    Field::optional("timing", Shape::Record(TIMING)),
]);

const BRANCH: Shape = Shape::Record(&[Field::optional("policy", Shape::Record(POLICY))]);

const BINDING: Shape = Shape::Record(&[
    Field::required("key", Shape::Text { most: MAX_KEY_BYTES }),
    Field::required("targets", Shape::List(&Shape::Name)),
]);

const TARGET: Shape = Shape::Record(&[
    Field::required("address", Shape::Address),
    Field::required("zone", Shape::Name),
    Field::optional("state", Shape::Choice(&["live", "drain"])),
    Field::optional("server", Shape::Record(SERVER)),
]);
