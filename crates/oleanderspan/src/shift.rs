//! Traffic shifts between regions: shares, caps, and rate-limited changes of shares.

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

/// All requests, in parts per million.
pub const WHOLE_PPM: u32 = 1_000_000;

/// Percentage of a cap that a host may use to move its shares.
const MOVE_PERCENT: u64 = 70;

/// Percentage of a cap reserved for differences between the shares of two hosts.
const SPREAD_PERCENT: u64 = 20;

/// Percentage of a cap reserved for spill-over: requests that one region refused and another takes.
const SPILL_PERCENT: u64 = 10;

/// Maximum delay until a host learns of its peers' shares and of failed regions.
pub const MAX_PEER_LAG: Duration = Duration::from_secs(3);

/// Divisor of the window that gives the maximum elapsed time counted for one step.
const STEP_DIVISOR: u32 = 20;

value! {
    /// The share of requests for each region, in parts per million of all requests.
    ///
    /// If the shares add up to less than [`WHOLE_PPM`], the remaining requests are refused.
    pub struct Vector(Box<[u32]>);

    /// Limit on the rise of a region's share within a time window.
    pub struct Cap {
        /// Maximum rise, in parts per million of all requests.
        pub rise_ppm: u32,
        /// Length of the window; greater than zero.
        pub window: Duration,
    }

    /// Validation error of shares or of a cap.
    pub enum Error {
        /// The shares do not add up to 100 percent, or add up to more where less is permitted.
        Sum {
            /// Sum of the shares, in parts per million.
            found_ppm: u64,
        },
        /// The window has a length of zero.
        Window,
    }
}

impl Vector {
    /// Sends all requests to `region`, which is one of `regions` regions.
    pub fn only(region: region::Index, regions: usize) -> Vector {
        let mut shares = vec![0; regions];
        shares[usize::from(region.0)] = WHOLE_PPM;
        Vector(shares.into())
    }

    /// Shares in parts per million, by region index.
    pub fn shares(&self) -> &[u32] {
        &self.0
    }

    /// Share of one region in parts per million; 0 for an unknown region.
    pub fn share(&self, region: region::Index) -> u32 {
        self.0.get(usize::from(region.0)).copied().unwrap_or(0)
    }

    /// Creates a vector whose shares may add up to less than [`WHOLE_PPM`]; fails if they add up to
    /// more.
    pub fn partial(raw: Vec<u32>) -> Result<Vector, Error> {
        match sum(&raw) {
            found_ppm if found_ppm > u64::from(WHOLE_PPM) => Err(Error::Sum { found_ppm }),
            _ => Ok(Vector(raw.into())),
        }
    }

    /// Share of requests that is refused, in parts per million.
    pub fn refused(&self) -> u32 {
        WHOLE_PPM - self.0.iter().sum::<u32>()
    }

    /// Largest rise of any region's share from `self` to `later`, in parts per million.
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
    /// Creates a cap of `percent` of all requests within `window`; fails if the window is zero.
    pub fn new(percent: region::Percent, window: Duration) -> Result<Cap, Error> {
        if window.is_zero() {
            return Err(Error::Window);
        }
        Ok(Cap { rise_ppm: percent.of(WHOLE_PPM), window })
    }

    /// Maximum change of a share in one step after `elapsed`, in parts per million.
    ///
    /// The rate allows for changes that peers have not received yet and for the last step before
    /// a window, so that all steps within a window stay within `MOVE_PERCENT` of the cap.
    pub fn step(&self, elapsed: Duration) -> u32 {
        let longest = self.window / STEP_DIVISOR;
        let whole = self.window + longest + MAX_PEER_LAG;
        let step = u128::from(self.part(MOVE_PERCENT)) * elapsed.min(longest).as_nanos();
        u32::try_from(step / whole.as_nanos()).unwrap_or(u32::MAX)
    }

    /// Maximum difference between a share and that of another host, in parts per million.
    pub fn spread(&self) -> u32 {
        self.part(SPREAD_PERCENT)
    }

    /// Share of requests that may spill over to other regions, in parts per million.
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
            Error::Window => f.write_str("the window must be longer than zero"),
        }
    }
}

impl std::error::Error for Error {}
