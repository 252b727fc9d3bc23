//! Versions of an environment's document, which only ever go up on a host.

key! {
    /// Counts accepted documents of one environment; the first one is 1.
    pub struct Version(pub u64);
}

impl Version {
    /// Before the first document.
    pub const NONE: Version = Version(0);

    /// The version that follows.
    pub const fn next(self) -> Version {
        Version(self.0 + 1)
    }
}

impl std::fmt::Display for Version {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}", self.0)
    }
}
