//! Regions: how much work each may hold, and what the links between them may carry.

pub mod budget;
pub mod demand;
pub mod handover;
pub mod limiter;
pub mod load;
pub mod loan;
pub mod outage;

pub use budget::Budget;
pub use demand::Demand;
pub use handover::Handover;
pub use limiter::ConcurrencyLimiter;
pub use load::{Backpressure, Headroom, Load};
pub use outage::OutageDetector;

checked_name! {
    /// The name of a region.
    pub struct Name;
}

key! {
    /// The position of a region in its document.
    pub struct Index(pub u16);

    /// A share of something, in whole percent from 0 to 100.
    pub struct Percent(u8);
}

impl Percent {
    /// All of it.
    pub const ALL: Percent = Percent(100);

    /// The number of percent.
    pub const fn get(self) -> u8 {
        self.0
    }

    /// This share of `whole`, rounded down.
    pub const fn of(self, whole: u32) -> u32 {
        (whole as u64 * self.0 as u64 / 100) as u32
    }
}

impl Link {
    /// The other end, seen from `region`, if the link ends there.
    pub fn other_end(&self, region: Index) -> Option<Index> {
        match region {
            region if region == self.a => Some(self.b),
            region if region == self.b => Some(self.a),
            _ => None,
        }
    }
}

impl TryFrom<u8> for Percent {
    type Error = Error;

    fn try_from(raw: u8) -> Result<Percent, Error> {
        if raw > 100 { Err(Error::Percent { found: raw }) } else { Ok(Percent(raw)) }
    }
}

value! {
    /// A region and the share of its slots that steering may fill.
    pub struct Region {
        /// Its name, unique in the document.
        pub name: Name,
        /// The share of slots in use above which no request is admitted.
        pub ceiling: Percent,
    }

    /// The link between two regions, each direction alike.
    pub struct Link {
        /// One end.
        pub a: Index,
        /// The other end.
        pub b: Index,
        /// Bytes a second that this system may use in each direction, over all hosts together.
        pub bytes_per_second: u64,
    }

    /// Why a raw value of this aggregate was refused.
    pub enum Error {
        /// A share above 100 percent.
        Percent {
            /// The number found.
            found: u8,
        },
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Percent { found } => write!(f, "{found} is over 100"),
        }
    }
}

impl std::error::Error for Error {}

/// Finds a region by name.
pub fn find(regions: &[Region], name: &str) -> Option<Index> {
    let position = regions.iter().position(|region| region.name.as_str() == name)?;
    u16::try_from(position).ok().map(Index)
}
