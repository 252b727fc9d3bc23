//! Validation faults of a document, reported together, each with its path.

use std::fmt;

value! {
    /// One validation fault.
    pub struct Fault {
        /// The JSON path of the invalid value, such as `services.stockview.shift.cap_percent`.
        pub path: String,
        /// What is wrong: the value found and the values allowed.
        pub reason: String,
    }

    /// The document is invalid; all faults found.
    pub struct Error {
        /// The faults, in the order of the checks.
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

/// Collects faults during validation, so that all are reported at once.
#[derive(Debug, Default)]
pub(super) struct FaultCollector {
    faults: Vec<Fault>,
}

impl FaultCollector {
    pub(super) fn add(&mut self, path: impl fmt::Display, reason: impl fmt::Display) {
        self.faults.push(Fault { path: path.to_string(), reason: reason.to_string() });
    }

    /// Returns the value of `Ok`; records the error of `Err` as a fault at `path`.
    pub(super) fn ok_or_record<T, E: fmt::Display>(
        &mut self,
        path: impl fmt::Display,
        result: Result<T, E>,
    ) -> Option<T> {
        result.map_err(|error| self.add(path, error)).ok()
    }

    /// Returns `value` if no fault was recorded, else all faults.
    pub(super) fn into_result<T>(self, value: Option<T>) -> Result<T, Error> {
        match value {
            Some(value) if self.faults.is_empty() => Ok(value),
            _ => Err(Error { faults: self.faults }),
        }
    }
}
