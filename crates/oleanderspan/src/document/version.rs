//! Versions of an environment's document. The version in force on a host never decreases.

key! {
    /// The number of an accepted document within its environment, starting at 1.
    pub struct Version(pub u64);
}

impl Version {
    /// No document has been accepted yet.
    pub const NONE: Version = Version(0);

    /// The version of the next accepted document.
    pub const fn next(self) -> Version {
        Version(self.0 + 1)
    }
}

impl std::fmt::Display for Version {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}
