//! Documents: what an operator writes, checked, and the versions that were accepted.

pub mod draft;
pub mod fault;
pub mod raw;
pub mod version;

pub use draft::Draft;
pub use fault::{Error, Fault};
pub use version::Version;

checked_name! {
    /// The name of an environment, such as `trial` or `production`.
    pub struct Environment;
}
