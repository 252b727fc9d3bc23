//! Longest-prefix match from a caller's address to its site.

use crate::{
    caller::{Block, SiteIndex, block},
    prelude::*,
};

/// Marks ranges of addresses that are in no block.
const NO_SITE: u16 = u16::MAX;

/// Address blocks flattened to disjoint ranges, sorted by start address.
///
/// A binary search over a dense array of start addresses touches few cache lines and follows no
/// pointers, and is therefore faster than a trie; `docs/MEASURES.md` has the figures.
#[derive(Clone, Debug, Default)]
pub struct Index {
    v4: Ranges<u32>,
    v6: Ranges<u128>,
}

#[derive(Clone, Debug)]
struct Ranges<T> {
    starts: Box<[T]>,
    sites: Box<[u16]>,
}

impl<T> Default for Ranges<T> {
    fn default() -> Ranges<T> {
        Ranges { starts: Box::default(), sites: Box::default() }
    }
}

/// The lowest IPv4-mapped IPv6 address.
const V4_MAPPED_FIRST: u128 = 0xffff_0000_0000;

/// The highest IPv4-mapped IPv6 address.
const V4_MAPPED_LAST: u128 = 0xffff_ffff_ffff;

impl Index {
    /// Builds the index; where blocks overlap, the longest prefix determines the site.
    pub fn new(blocks: &[Block]) -> Index {
        let mut sorted: Vec<&Block> = blocks.iter().collect();
        sorted.sort_by_key(|block| (block.prefix.first(), block.prefix.length()));
        let ranges = flatten(&sorted);
        let v4_from = ranges.partition_point(|(start, _)| *start < V4_MAPPED_FIRST);
        let v4_to = ranges.partition_point(|(start, _)| *start <= V4_MAPPED_LAST);
        let (before, v4, after) = (&ranges[..v4_from], &ranges[v4_from..v4_to], &ranges[v4_to..]);
        // A range that starts below the IPv4-mapped addresses may extend into them, and the last
        // one that starts in or below them may extend beyond.
        let at_v4_start = before.last().map(|(_, site)| (0u32, *site));
        let at_v4_end = ranges[..v4_to].last().map(|(_, site)| (V4_MAPPED_LAST + 1, *site));
        let v4 = v4.iter().map(|(start, site)| (*start as u32, *site));
        let v6 = before.iter().copied().chain(at_v4_end).chain(after.iter().copied());
        Index { v4: Ranges::new(at_v4_start.into_iter().chain(v4)), v6: Ranges::new(v6) }
    }

    /// The site of a caller, or `None` if its address is in no block.
    pub fn site(&self, address: IpAddr) -> Option<SiteIndex> {
        let site = match address.to_canonical() {
            IpAddr::V4(v4) => self.v4.look_up(v4.to_bits()),
            v6 => self.v6.look_up(block::to_mapped_bits(v6)),
        };
        (site != NO_SITE).then_some(SiteIndex(site))
    }

    /// The memory used by the index, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.v4.starts.len() * (4 + 2) + self.v6.starts.len() * (16 + 2)
    }
}

impl<T: Ord + Copy> Ranges<T> {
    fn new(ranges: impl Iterator<Item = (T, u16)>) -> Ranges<T> {
        let (starts, sites): (Vec<T>, Vec<u16>) = ranges.unzip();
        Ranges { starts: starts.into(), sites: sites.into() }
    }

    fn look_up(&self, address: T) -> u16 {
        match self.starts.partition_point(|start| *start <= address) {
            0 => NO_SITE,
            position => self.sites[position - 1],
        }
    }
}

/// Converts nested blocks, sorted by start and then by length, to the start and site of each range.
fn flatten(sorted: &[&Block]) -> Vec<(u128, u16)> {
    let mut ranges: Vec<(u128, u16)> = Vec::with_capacity(sorted.len() * 2);
    let mut open: Vec<&Block> = Vec::new();
    for block in sorted {
        close_blocks_before(&mut open, &mut ranges, block.prefix.first());
        push_range(&mut ranges, block.prefix.first(), block.site.0);
        open.push(block);
    }
    close_blocks_before(&mut open, &mut ranges, u128::MAX);
    ranges
}

/// Ends every open block whose last address is below `start`; the enclosing block continues after
/// it.
fn close_blocks_before(open: &mut Vec<&Block>, ranges: &mut Vec<(u128, u16)>, start: u128) {
    while let Some(block) = open.pop_if(|block| block.prefix.last() < start) {
        let enclosing = open.last().map_or(NO_SITE, |outer| outer.site.0);
        push_range(ranges, block.prefix.last() + 1, enclosing);
    }
}

/// Appends a range; it replaces an earlier one with the same start, and is merged with a preceding
/// range of the same site.
fn push_range(ranges: &mut Vec<(u128, u16)>, start: u128, site: u16) {
    while ranges.pop_if(|last| last.0 == start).is_some() {}
    if ranges.last().is_none_or(|last| last.1 != site) {
        ranges.push((start, site));
    }
}
