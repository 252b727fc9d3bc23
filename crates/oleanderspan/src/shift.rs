//! Shifts of traffic between regions: shares, caps, and how shares move.

pub mod controller;
pub mod diffuser;
pub mod service_shares;
pub mod slew;
pub mod spill;
pub mod statement;
pub mod target;

use std::fmt;

pub use controller::Controller;
pub use diffuser::Diffuser;
pub use service_shares::ServiceShares;
pub use slew::Slew;
pub use spill::Spill;
pub use statement::{ServiceStatement, Statement};
pub use target::Target;

use crate::{prelude::*, region};

/// A whole, in parts per million.
pub const WHOLE_PPM: u32 = 1_000_000;

/// The part of a cap that moving shares use, in percent.
const MOVE_PERCENT: u64 = 70;

/// The part of a cap that covers how far shares of one host may lie from those of another.
const SPREAD_PERCENT: u64 = 20;

/// The part of a cap that requests may use which a region refused and another takes.
const SPILL_PERCENT: u64 = 10;

/// The longest time by which what a host knows of its peers' shares and of failed regions lags.
pub const MAX_PEER_LAG: Duration = Duration::from_secs(3);

/// The longest time that one step makes up for, as a divisor of the window.
const STEP_DIVISOR: u32 = 20;

value! {
    /// The shares of requests that each region gets, in parts per million of all.
    ///
    /// What is missing from the whole goes to no region: those requests are refused.
    pub struct Vector(Box<[u32]>);

    /// How much the share of a region may rise within a window of time.
    pub struct Cap {
        /// The greatest rise, in parts per million of all requests.
        pub rise_ppm: u32,
        /// The length of the window.
        pub window: Duration,
    }

    /// Why shares or a cap were refused.
    pub enum Error {
        /// The shares do not add up to the whole.
        Sum {
            /// What they add up to, in parts per million.
            found_ppm: u64,
        },
        /// The window is empty.
        Window,
    }
}

impl Vector {
    /// All requests to one of `regions` regions.
    pub fn only(region: region::Index, regions: usize) -> Vector {
        let mut shares = vec![0; regions];
        shares[usize::from(region.0)] = WHOLE_PPM;
        Vector(shares.into())
    }

    /// The shares by region index.
    pub fn shares(&self) -> &[u32] {
        &self.0
    }

    /// The share of one region.
    pub fn share(&self, region: region::Index) -> u32 {
        self.0.get(usize::from(region.0)).copied().unwrap_or(0)
    }

    /// Shares of which a part may be missing, which is refused.
    pub fn partial(raw: Vec<u32>) -> Result<Vector, Error> {
        match sum(&raw) {
            found_ppm if found_ppm > u64::from(WHOLE_PPM) => Err(Error::Sum { found_ppm }),
            _ => Ok(Vector(raw.into())),
        }
    }

    /// The share that goes to no region.
    pub fn refused(&self) -> u32 {
        WHOLE_PPM - self.0.iter().sum::<u32>()
    }

    /// The greatest rise of any region's share from `self` to `later`.
    pub fn greatest_rise(&self, later: &Vector) -> u32 {
        self.0.iter().zip(&later.0).map(|(a, b)| b.saturating_sub(*a)).max().unwrap_or(0)
    }
}

impl TryFrom<Vec<u32>> for Vector {
    type Error = Error;

    fn try_from(raw: Vec<u32>) -> Result<Vector, Error> {
        match sum(&raw) {
            found_ppm if found_ppm == u64::from(WHOLE_PPM) => Ok(Vector(raw.into())),
            found_ppm => Err(Error::Sum { found_ppm }),
        }
    }
}

fn sum(raw: &[u32]) -> u64 {
    raw.iter().copied().map(u64::from).sum()
}

impl Cap {
    /// A cap of `percent` of all requests within `window`.
    pub fn new(percent: region::Percent, window: Duration) -> Result<Cap, Error> {
        if window.is_zero() {
            return Err(Error::Window);
        }
        Ok(Cap { rise_ppm: percent.of(WHOLE_PPM), window })
    }

    /// How far a share may move in one step after `elapsed`.
    ///
    /// The rate leaves room for what moves before a peer learns of it, and for the last step
    /// before a window, so that all steps within one add up to the moving part of the cap.
    pub fn step(&self, elapsed: Duration) -> u32 {
        let longest = self.window / STEP_DIVISOR;
        let whole = self.window + longest + MAX_PEER_LAG;
        let step = u128::from(self.part(MOVE_PERCENT)) * elapsed.min(longest).as_nanos();
        u32::try_from(step / whole.as_nanos()).unwrap_or(u32::MAX)
    }

    /// How far a share may lie from that of another host.
    pub fn spread(&self) -> u32 {
        self.part(SPREAD_PERCENT)
    }

    /// The share of requests that may spill over to other regions.
    pub fn spill(&self) -> u32 {
        self.part(SPILL_PERCENT)
    }

    fn part(&self, percent: u64) -> u32 {
        (u64::from(self.rise_ppm) * percent / 100) as u32
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Error::Sum { found_ppm } => {
                let percent = *found_ppm as f64 / 10_000.0;
                write!(f, "the shares add up to {percent} percent; wanted 100")
            }
            Error::Window => f.write_str("the window is empty"),
        }
    }
}

impl std::error::Error for Error {}
