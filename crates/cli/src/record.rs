//! Parser for the log lines that [`oleanderspan_node::log`] writes.

use std::{borrow::Cow, fmt};

/// A parsed log line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    /// The level without padding, such as `INFO`.
    pub level: &'a str,
    /// The constant text of the message; the variable parts are in `pairs`.
    pub message: &'a str,
    /// Keys and unescaped values, in the order of the line.
    pub pairs: Vec<(&'a str, Cow<'a, str>)>,
}

impl Record<'_> {
    /// Returns the first value of `key`, if the line has one.
    pub fn get(&self, key: &str) -> Option<&str> {
        let pair = self.pairs.iter().find(|(candidate, _)| *candidate == key);
        pair.map(|(_, value)| value.as_ref())
    }
}

impl<'a> TryFrom<&'a str> for Record<'a> {
    type Error = Error;

    fn try_from(line: &'a str) -> Result<Record<'a>, Error> {
        let (level, rest) = line.split_once(" | ").ok_or(Error::MissingLevel)?;
        let (message, mut rest) = rest.split_once('\t').unwrap_or((rest, ""));
        let mut pairs = Vec::new();
        while !rest.is_empty() {
            let (key, value) = rest.split_once('=').ok_or(Error::MissingValue)?;
            let (value, remaining) = parse_value(value)?;
            pairs.push((key, value));
            rest = remaining.trim_start_matches(' ');
        }
        Ok(Record { level: level.trim(), message: message.trim_end(), pairs })
    }
}

/// Splits a plain or quoted value off the beginning of `text`. Returns the unescaped value and the
/// remaining text.
fn parse_value(text: &str) -> Result<(Cow<'_, str>, &str), Error> {
    let Some(quoted) = text.strip_prefix('"') else {
        let (value, rest) = text.split_once(' ').unwrap_or((text, ""));
        return Ok((Cow::Borrowed(value), rest));
    };
    let mut value = String::new();
    let mut chars = quoted.char_indices();
    while let Some((i, character)) = chars.next() {
        match character {
            '"' => return Ok((Cow::Owned(value), &quoted[i + 1..])),
            '\\' => match chars.next() {
                Some((_, 'n')) => value.push('\n'),
                Some((_, 't')) => value.push('\t'),
                Some((_, escaped)) => value.push(escaped),
                None => return Err(Error::UnterminatedQuote),
            },
            character => value.push(character),
        }
    }
    Err(Error::UnterminatedQuote)
}

/// Why a line cannot be parsed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// The line does not begin with a level and ` | `.
    MissingLevel,
    /// A key is not followed by `=`.
    MissingValue,
    /// A quoted value has no closing quote.
    UnterminatedQuote,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::MissingLevel => "expected a level and a message, as in \"INFO | started\"",
            Error::MissingValue => "expected key=value",
            Error::UnterminatedQuote => "unterminated quoted value",
        })
    }
}

impl std::error::Error for Error {}
