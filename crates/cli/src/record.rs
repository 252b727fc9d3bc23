//! Records of the logs of processes, as [`oleanderspan_node::log`] writes them.

use std::{borrow::Cow, fmt};

/// One line of a log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record<'a> {
    /// How serious it is.
    pub level: &'a str,
    /// What happened.
    pub message: &'a str,
    /// Keys and values, in the order of the line.
    pub pairs: Vec<(&'a str, Cow<'a, str>)>,
}

impl Record<'_> {
    /// The value of a key.
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

/// Takes a value from the beginning of `text`, and returns what follows.
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

/// Why a line is no record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Error {
    /// It does not begin with a level.
    MissingLevel,
    /// A key has no value.
    MissingValue,
    /// A quoted value does not end.
    UnterminatedQuote,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::MissingLevel => "wanted a level and a message, as in \"INFO | started\"",
            Error::MissingValue => "wanted key=value",
            Error::UnterminatedQuote => "a quoted value does not end",
        })
    }
}

impl std::error::Error for Error {}
