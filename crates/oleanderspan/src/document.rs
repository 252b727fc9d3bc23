//! Configuration documents: parsing, validation, comparison and accepted versions.

pub mod active;
pub mod diff;
pub mod fault;
pub mod hash;
pub mod part;
pub mod raw;
pub mod record;
pub mod validation;
pub mod version;

pub use active::{ActiveDocument, Comparison, Revision};
pub use diff::Diff;
pub use fault::{Error, Fault};
pub use hash::Hash;
pub use record::{Outcome, Proposal, Record};
pub use validation::ValidatedDocument;
pub use version::Version;

checked_name! {
    /// The name of an environment, such as `trial` or `production`.
    pub struct Environment;
}
