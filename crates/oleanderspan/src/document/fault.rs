//! Faults of a document, all of them at once and each with its place.

use std::fmt;

value! {
    /// One fault and its JSON path.
    pub struct Fault {
        /// Where it is, as in `services.stockview.shift.cap_percent`.
        pub path: String,
        /// What was found and what was wanted.
        pub reason: String,
    }

    /// Every fault that was found.
    pub struct Error {
        /// The faults, in the order of the document.
        pub faults: Vec<Fault>,
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, fault) in self.faults.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            write!(f, "{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Error {}

/// Collects faults, so that one run names them all.
#[derive(Debug, Default)]
pub(super) struct FaultCollector {
    faults: Vec<Fault>,
}

impl FaultCollector {
    pub(super) fn add(&mut self, path: impl fmt::Display, reason: impl fmt::Display) {
        self.faults.push(Fault { path: path.to_string(), reason: reason.to_string() });
    }

    /// Keeps a good value; records the error of a bad one.
    pub(super) fn ok_or_record<T, E: fmt::Display>(
        &mut self,
        path: impl fmt::Display,
        result: Result<T, E>,
    ) -> Option<T> {
        result.map_err(|error| self.add(path, error)).ok()
    }

    pub(super) fn into_result<T>(self, value: Option<T>) -> Result<T, Error> {
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => Err(Error { faults: self.faults }),
        }
    }
}
