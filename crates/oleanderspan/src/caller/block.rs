//! Blocks of client addresses, in the usual notation of a prefix and its length.

use std::{fmt, net::Ipv6Addr};

use crate::{caller, prelude::*};

value! {
    /// A block of client addresses and the site that its callers belong to.
    pub struct Block {
        /// The addresses.
        pub prefix: Prefix,
        /// The site.
        pub site: caller::SiteIndex,
    }
}

key! {
    /// An address prefix; version 4 addresses are kept in their mapped version 6 form, so that
    /// one index serves both.
    pub struct Prefix {
        bits: u128,
        length: u8,
    }
}

/// Bits that the mapped form puts before a version 4 address.
const V4_PREFIX_BITS: u8 = 96;

impl Prefix {
    /// The first address of the block.
    pub const fn first(self) -> u128 {
        self.bits
    }

    /// The last address of the block.
    pub const fn last(self) -> u128 {
        self.bits | host_mask(self.length)
    }

    /// The length of the prefix, in bits of the mapped form.
    pub const fn length(self) -> u8 {
        self.length
    }

    /// Whether `other` lies within this prefix.
    pub const fn covers(self, other: Prefix) -> bool {
        self.length <= other.length && self.bits <= other.bits && other.bits <= self.last()
    }
}

const fn host_mask(length: u8) -> u128 {
    if length >= 128 { 0 } else { u128::MAX >> length }
}

/// The mapped form of an address.
pub fn to_mapped_bits(address: IpAddr) -> u128 {
    match address {
        IpAddr::V4(v4) => v4.to_ipv6_mapped().to_bits(),
        IpAddr::V6(v6) => v6.to_bits(),
    }
}

impl TryFrom<&str> for Prefix {
    type Error = Error;

    fn try_from(raw: &str) -> Result<Prefix, Error> {
        let (address, length) = raw.split_once('/').ok_or(Error::Length)?;
        let address: IpAddr = address.parse().map_err(|_| Error::Address)?;
        let length: u8 = length.parse().map_err(|_| Error::Length)?;
        let (max_length, offset) = if address.is_ipv4() { (32, V4_PREFIX_BITS) } else { (128, 0) };
        if length > max_length {
            return Err(Error::Length);
        }
        let prefix = Prefix { bits: to_mapped_bits(address), length: length + offset };
        if prefix.bits & host_mask(prefix.length) != 0 {
            return Err(Error::HostBits);
        }
        Ok(prefix)
    }
}

impl fmt::Display for Prefix {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let address = Ipv6Addr::from_bits(self.bits);
        match address.to_ipv4_mapped() {
            Some(v4) if self.length >= V4_PREFIX_BITS => {
                write!(f, "{v4}/{}", self.length - V4_PREFIX_BITS)
            }
            _ => write!(f, "{address}/{}", self.length),
        }
    }
}

value! {
    /// Why a prefix was refused.
    pub enum Error {
        /// The part before the slash is no address.
        Address,
        /// There is no length, or one that the address does not have.
        Length,
        /// The address has bits set behind the prefix.
        HostBits,
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Error::Address => "wanted an IP address before the slash",
            Error::Length => "wanted a prefix length, as in 10.0.0.0/8",
            Error::HostBits => "the address has bits set behind the prefix",
        })
    }
}

impl std::error::Error for Error {}
