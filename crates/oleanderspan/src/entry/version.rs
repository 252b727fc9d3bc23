//! Positions in the history of the platform's store.

key! {
    /// A position in the history of the store.
    ///
    /// A store that comes back from an older copy starts a new era: it gives out numbers again that
    /// it has given out before, for other changes. Any position of a later era is the later one,
    /// but changes can be followed within one era only.
    #[derive(Default)]
    pub struct Version {
        /// How often the store has come back from an older copy.
        pub era: u64,
        /// The number of the latest change within the era.
        pub number: u64,
    }
}
