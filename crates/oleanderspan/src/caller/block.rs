//! Client address blocks in CIDR notation.

use std::{fmt, net::Ipv6Addr};

use crate::{caller, prelude::*};

value! {
    /// A client address block and its site.
    pub struct Block {
        /// The address prefix of the block.
        pub prefix: Prefix,
        /// The site of callers with an address in the block.
        pub site: caller::SiteIndex,
    }
}

key! {
    /// An IP address prefix. IPv4 prefixes are stored as IPv4-mapped IPv6 prefixes, so that one
    /// index covers both versions.
    pub struct Prefix {
        bits: u128,
        length: u8,
    }
}

/// The number of bits that precede the IPv4 address in an IPv4-mapped IPv6 address.
const V4_PREFIX_BITS: u8 = 96;

impl Prefix {
    /// The lowest address of the prefix, as IPv6 bits.
    pub const fn first(self) -> u128 {
        self.bits
    }

    /// The highest address of the prefix, as IPv6 bits.
    pub const fn last(self) -> u128 {
        self.bits | host_mask(self.length)
    }

    /// The prefix length in the IPv6 form, from 0 to 128.
    pub const fn length(self) -> u8 {
        self.length
    }

    /// Whether this prefix contains `other`; equal prefixes contain each other.
    pub const fn covers(self, other: Prefix) -> bool {
        self.length <= other.length && self.bits <= other.bits && other.bits <= self.last()
    }
}

const fn host_mask(length: u8) -> u128 {
    if length >= 128 { 0 } else { u128::MAX >> length }
}

/// The bits of an address in its IPv6 form; IPv4 addresses are mapped.
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
    /// The reason why a prefix is invalid.
    pub enum Error {
        /// The part before the slash is not an IP address.
        Address,
        /// The prefix length is missing or out of range for the address version.
        Length,
        /// The address has bits set after the prefix.
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
