//! Regions: the admission limits of each region and the bandwidth of the links between them.

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
pub use limiter::Limiter;
pub use load::{Backpressure, Headroom, Load};
pub use outage::OutageDetector;

checked_name! {
    /// The name of a region, unique in its document.
    pub struct Name;
}

key! {
    /// The position of a region in its document, from 0.
    pub struct Index(pub u16);

    /// A whole percentage from 0 to 100.
    pub struct Percent(u8);
}

impl Percent {
    /// 100 percent.
    pub const ALL: Percent = Percent(100);

    /// The percentage as a number from 0 to 100.
    pub const fn get(self) -> u8 {
        self.0
    }

    /// This percentage of `whole`, rounded down.
    pub const fn of(self, whole: u32) -> u32 {
        (whole as u64 * self.0 as u64 / 100) as u32
    }
}

impl Link {
    /// The region at the other end of the link, or `None` if `region` is at neither end.
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
    /// A region and its admission limit.
    pub struct Region {
        /// The name, unique in the document.
        pub name: Name,
        /// The maximum utilisation of slots; no request is admitted above it.
        pub ceiling: Percent,
    }

    /// The symmetric link between two regions.
    pub struct Link {
        /// The region at one end.
        pub a: Index,
        /// The region at the other end.
        pub b: Index,
        /// The bandwidth available to this system in each direction, in bytes per second, over all
        /// hosts together.
        pub bytes_per_second: u64,
    }

    /// The reason why a raw value is invalid.
    pub enum Error {
        /// A percentage above 100.
        Percent {
            /// The value given.
            found: u8,
        },
    }
}

impl std::fmt::Display for Error {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Error::Percent { found } => write!(f, "percentage {found} exceeds 100"),
        }
    }
}

impl std::error::Error for Error {}

/// Finds the index of a region by name.
pub fn find(regions: &[Region], name: &str) -> Option<Index> {
    let position = regions.iter().position(|region| region.name.as_str() == name)?;
    u16::try_from(position).ok().map(Index)
}
