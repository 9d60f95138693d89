/// Schema of a value in a document.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Schema {
    /// An integer within bounds, in a unit.
    Integer { min: u64, max: u64, unit: &'static str },
    /// `true` or `false`.
    Bool,
    /// A string of at most this many bytes.
    String { max_bytes: usize },
    /// A name of ASCII letters, digits, dots, dashes and underscores.
    Name,
    /// One of these strings.
    Enum(&'static [&'static str]),
    /// An IP address with a port.
    Address,
    /// An array whose items all match a schema.
    Array(&'static Schema),
    /// An object with these fields and no others.
    Object(&'static [Field]),
    /// An object with arbitrary names, whose values all match a schema.
    Map(&'static Schema),
}

/// One field of a [`Schema::Object`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Field {
    pub(crate) name: &'static str,
    pub(crate) schema: Schema,
    pub(crate) required: bool,
}

impl Field {
    /// Creates a field that must be present.
    pub(crate) const fn required(name: &'static str, schema: Schema) -> Field {
        Field { name, schema, required: true }
    }

    /// Creates a field that may be absent.
    pub(crate) const fn optional(name: &'static str, schema: Schema) -> Field {
        Field { name, schema, required: false }
    }
}

impl Schema {
    /// Describes a valid value for an error message.
    pub(crate) fn describe(&self) -> String {
        match self {
            Schema::Integer { min, max, unit } => {
                format!("a whole number of {unit} from {min} to {max}")
            }
            Schema::Bool => "true or false".into(),
            Schema::String { max_bytes } => format!("text of at most {max_bytes} bytes"),
            Schema::Name => "a name of 1 to 64 letters, digits, '.', '-' or '_'".into(),
            Schema::Enum(words) => format!("one of \"{}\"", words.join("\", \"")),
            Schema::Address => "an IP address with a port, such as \"10.0.0.1:8080\"".into(),
            Schema::Array(_) => "a list".into(),
            Schema::Object(_) | Schema::Map(_) => "an object".into(),
        }
    }
}
