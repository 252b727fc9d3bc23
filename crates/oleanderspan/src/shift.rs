//! Shifts of traffic between regions: shares, caps, and how shares move.

pub mod diffuser;
pub mod slew;

use std::fmt;

pub use diffuser::Diffuser;
pub use slew::Slew;

use crate::{prelude::*, region};

/// A whole, in parts per million.
pub const WHOLE_PPM: u32 = 1_000_000;

value! {
    /// The shares of requests that each region gets, in parts per million of all.
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

    /// The greatest rise of any region's share from `self` to `later`.
    pub fn greatest_rise(&self, later: &Vector) -> u32 {
        self.0.iter().zip(&later.0).map(|(a, b)| b.saturating_sub(*a)).max().unwrap_or(0)
    }
}

impl TryFrom<Vec<u32>> for Vector {
    type Error = Error;

    fn try_from(raw: Vec<u32>) -> Result<Vector, Error> {
        let found_ppm = raw.iter().copied().map(u64::from).sum();
        if found_ppm == u64::from(WHOLE_PPM) {
            Ok(Vector(raw.into()))
        } else {
            Err(Error::Sum { found_ppm })
        }
    }
}

impl Cap {
    /// A cap of `percent` of all requests within `window`.
    pub fn new(percent: region::Percent, window: Duration) -> Result<Cap, Error> {
        if window.is_zero() {
            return Err(Error::Window);
        }
        Ok(Cap { rise_ppm: percent.of(WHOLE_PPM), window })
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
