//! Documents: what an operator writes, checked, and the versions that were accepted.

pub mod change;
pub mod draft;
pub mod fault;
pub mod hash;
pub mod part;
pub mod raw;
pub mod record;
pub mod standing;
pub mod version;

pub use change::Change;
pub use draft::Draft;
pub use fault::{Error, Fault};
pub use hash::Hash;
pub use record::{Proposal, Record, Verdict};
pub use standing::{Lesson, Shown, Standing};
pub use version::Version;

checked_name! {
    /// The name of an environment, such as `trial` or `production`.
    pub struct Environment;
}
