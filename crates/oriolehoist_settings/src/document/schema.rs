/// What a value of a document must look like.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Shape {
    /// A whole number within bounds, in a unit.
    Whole { least: u64, most: u64, unit: &'static str },
    /// `true` or `false`.
    Flag,
    /// Any text of at most so many bytes.
    Text { most: usize },
    /// A name of letters, digits, dots, dashes and underscores.
    Name,
    /// One of a few words.
    Choice(&'static [&'static str]),
    /// An IP address with a port.
    Address,
    /// A list.
    List(&'static Shape),
    /// An object with these fields and no others.
    Record(&'static [Field]),
    /// An object whose member names are free.
    Map(&'static Shape),
}

/// One field of a [`Shape::Record`].
#[derive(Clone, Copy, Debug)]
pub(crate) struct Field {
    pub(crate) name: &'static str,
    pub(crate) shape: Shape,
    pub(crate) required: bool,
}

impl Field {
    /// A field that must be given.
    pub(crate) const fn required(name: &'static str, shape: Shape) -> Field {
        Field { name, shape, required: true }
    }

    /// A field that may be left out.
    pub(crate) const fn optional(name: &'static str, shape: Shape) -> Field {
        Field { name, shape, required: false }
    }
}

impl Shape {
    /// Describes the shape for an error message.
    pub(crate) fn describe(&self) -> String {
        match self {
            Shape::Whole { least, most, unit } => {
                format!("a whole number of {unit} from {least} to {most}")
            }
            Shape::Flag => "true or false".into(),
            Shape::Text { most } => format!("text of at most {most} bytes"),
            Shape::Name => "a name of 1 to 64 letters, digits, '.', '-' or '_'".into(),
            Shape::Choice(words) => format!("one of \"{}\"", words.join("\", \"")),
            Shape::Address => "an IP address with a port, such as \"10.0.0.1:8080\"".into(),
            Shape::List(_) => "a list".into(),
            Shape::Record(_) | Shape::Map(_) => "an object".into(),
        }
    }
}
