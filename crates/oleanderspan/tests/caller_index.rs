//! The address index returns the same sites as a linear search for the longest prefix.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::net::{IpAddr, Ipv4Addr};

use oleanderspan::caller::{
    Block, Index, SiteIndex,
    block::{Prefix, to_mapped_bits},
};
use proptest::prelude::*;

fn linear_search(blocks: &[Block], address: IpAddr) -> Option<SiteIndex> {
    let bits = to_mapped_bits(address);
    let containing = |block: &&Block| block.prefix.first() <= bits && bits <= block.prefix.last();
    let longest = blocks.iter().filter(containing).max_by_key(|block| block.prefix.length());
    longest.map(|block| block.site)
}

fn prefix() -> impl Strategy<Value = Prefix> {
    // Only 6 distinct high bits, so that blocks are often nested or adjacent.
    (0u32..64, 3u8..=32).prop_map(|(high, length)| {
        let bits = (high << 26) & u32::MAX.checked_shl(32 - u32::from(length)).unwrap_or(0);
        let text = format!("{}/{length}", Ipv4Addr::from_bits(bits));
        Prefix::try_from(text.as_str()).unwrap()
    })
}

proptest! {
    #[test]
    fn the_longest_prefix_wins(
        prefixes in prop::collection::btree_set(prefix(), 0..24),
        addresses in prop::collection::vec(any::<u32>(), 32),
    ) {
        let blocks: Vec<Block> = (0u16..).zip(prefixes)
            .map(|(site, prefix)| Block { prefix, site: SiteIndex(site) })
            .collect();
        let index = Index::new(&blocks);
        for bits in addresses {
            let address = IpAddr::V4(Ipv4Addr::from_bits(bits));
            prop_assert_eq!(index.site(address), linear_search(&blocks, address));
        }
    }
}

#[test]
fn ipv6_blocks_are_found() {
    let block =
        |text: &str, site| Block { prefix: Prefix::try_from(text).unwrap(), site: SiteIndex(site) };
    let index = Index::new(&[block("2001:db8::/32", 1), block("2001:db8:1::/48", 2)]);
    assert_eq!(index.site("2001:db8::1".parse().unwrap()), Some(SiteIndex(1)));
    assert_eq!(index.site("2001:db8:1::1".parse().unwrap()), Some(SiteIndex(2)));
    assert_eq!(index.site("2001:db9::1".parse().unwrap()), None);
}

#[test]
fn malformed_prefixes_are_rejected() {
    for bad in ["10.0.0.1/8", "10.0.0.0", "10.0.0.0/33", "x/8", "::1/64", "10.0.0.0/-1"] {
        assert!(Prefix::try_from(bad).is_err(), "{bad} was accepted");
    }
}

proptest! {
    #[test]
    fn ipv6_blocks_around_mapped_ipv4_agree_with_linear_search(
        lengths in prop::collection::btree_set(80u8..=128, 0..8),
        offsets in prop::collection::vec(-4i64..=4, 8),
    ) {
        // Blocks that start just below, at and just above the IPv4-mapped addresses, where the IPv4
        // and the IPv6 table meet.
        let starts = [0xfffe_0000_0000_u128, 0xffff_0000_0000, 0x1_0000_0000_0000];
        let prefixes: std::collections::BTreeSet<Prefix> = lengths
            .iter()
            .flat_map(|length| starts.map(|start| (start, *length)))
            .filter_map(|(start, length)| {
                let text = format!("{}/{length}", std::net::Ipv6Addr::from_bits(start));
                Prefix::try_from(text.as_str()).ok()
            })
            .collect();
        let blocks: Vec<Block> = (0u16..).zip(prefixes)
            .map(|(site, prefix)| Block { prefix, site: SiteIndex(site) })
            .collect();
        let index = Index::new(&blocks);
        for (start, offset) in starts.iter().flat_map(|s| offsets.iter().map(move |o| (s, o))) {
            let address = IpAddr::V6(std::net::Ipv6Addr::from_bits(
                start.wrapping_add_signed(i128::from(*offset)),
            ));
            prop_assert_eq!(index.site(address), linear_search(&blocks, address));
        }
    }
}
