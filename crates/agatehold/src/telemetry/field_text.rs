//! Text from outside the process as the value of a log field.

use std::fmt;
use std::fmt::Write;

/// Displays a text as the value of a log field: as it is if it consists of visible ASCII
/// characters without quotes and backslashes, else in quotes and escaped.
///
/// Callers, targets and other writers of the store choose such texts. Unquoted, one with
/// spaces would add fields to the line, or end the quotes around it.
pub(crate) struct FieldText<'a>(pub(crate) &'a str);

impl fmt::Display for FieldText<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let is_plain = |byte: u8| byte.is_ascii_graphic() && byte != b'"' && byte != b'\\';
        if !self.0.is_empty() && self.0.bytes().all(is_plain) {
            return f.write_str(self.0);
        }
        f.write_char('"')?;
        for char in self.0.chars() {
            match char {
                '"' | '\\' => write!(f, "\\{char}")?,
                _ if char.is_control() => write!(f, "{}", char.escape_default())?,
                _ => f.write_char(char)?,
            }
        }
        f.write_char('"')
    }
}
