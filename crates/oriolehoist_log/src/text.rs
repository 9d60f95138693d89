use std::fmt::{self, Display, Formatter, Write};

/// Displays the value of a field that comes from another program: as it is if it is a word of ASCII
/// characters, and otherwise in quotes, with escapes.
///
/// ```
/// use oriolehoist_log::Word;
///
/// assert_eq!(Word("servers/i-7").to_string(), "servers/i-7");
/// assert_eq!(Word("i-7 b=\"c\"\n").to_string(), r#""i-7 b=\"c\"\n""#);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct Word<'a>(pub &'a str);

impl Display for Word<'_> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        let is_plain = |c: char| c.is_ascii_graphic() && !matches!(c, '"' | '\\');
        match self.0.chars().all(is_plain) && !self.0.is_empty() {
            true => f.write_str(self.0),
            false => write!(f, "{:?}", self.0),
        }
    }
}

/// Displays a text on one line: characters that end a line, or control the output, are escaped.
pub(crate) struct OneLine<T>(pub(crate) T);

impl<T: Display> Display for OneLine<T> {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        write!(Escaping(f), "{}", self.0)
    }
}

struct Escaping<'a, 'b>(&'a mut Formatter<'b>);

impl Write for Escaping<'_, '_> {
    fn write_str(&mut self, text: &str) -> fmt::Result {
        let is_escaped = |c: char| c.is_control() || matches!(c, '\u{2028}' | '\u{2029}');
        for part in text.split_inclusive(is_escaped) {
            match part.char_indices().next_back() {
                Some((end, last)) if is_escaped(last) => {
                    write!(self.0, "{}{}", &part[..end], last.escape_default())?;
                }
                _ => self.0.write_str(part)?,
            }
        }
        Ok(())
    }
}
