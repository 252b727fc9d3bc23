//! The look-up of a caller's site: the longest block that holds its address.

use crate::{
    caller::{Block, SiteIndex, block},
    prelude::*,
};

/// No block holds the address.
const NO_SITE: u16 = u16::MAX;

/// Blocks flattened to ranges that do not overlap, sorted by where they start.
///
/// A binary search over one dense array of starts touches few cache lines and needs no pointers,
/// which is why it beat a trie; `docs/MEASURES.md` has the figures.
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

/// The first mapped version 4 address.
const V4_MAPPED_FIRST: u128 = 0xffff_0000_0000;

/// The last mapped version 4 address.
const V4_MAPPED_LAST: u128 = 0xffff_ffff_ffff;

impl Index {
    /// Builds the index; a longer prefix wins over a shorter one that covers it.
    pub fn new(blocks: &[Block]) -> Index {
        let mut sorted: Vec<&Block> = blocks.iter().collect();
        sorted.sort_by_key(|block| (block.prefix.first(), block.prefix.length()));
        let ranges = flatten(&sorted);
        let v4_from = ranges.partition_point(|(start, _)| *start < V4_MAPPED_FIRST);
        let v4_to = ranges.partition_point(|(start, _)| *start <= V4_MAPPED_LAST);
        let (before, v4, after) = (&ranges[..v4_from], &ranges[v4_from..v4_to], &ranges[v4_to..]);
        // A range that starts before the part of version 4 reaches into it, and the last one
        // that starts in or before that part reaches after it.
        let at_v4_start = before.last().map(|(_, site)| (0u32, *site));
        let at_v4_end = ranges[..v4_to].last().map(|(_, site)| (V4_MAPPED_LAST + 1, *site));
        let v4 = v4.iter().map(|(start, site)| (*start as u32, *site));
        let v6 = before.iter().copied().chain(at_v4_end).chain(after.iter().copied());
        Index { v4: Ranges::new(at_v4_start.into_iter().chain(v4)), v6: Ranges::new(v6) }
    }

    /// The site of a caller, if a block holds its address.
    pub fn site(&self, address: IpAddr) -> Option<SiteIndex> {
        let site = match address.to_canonical() {
            IpAddr::V4(v4) => self.v4.look_up(v4.to_bits()),
            v6 => self.v6.look_up(block::to_mapped_bits(v6)),
        };
        (site != NO_SITE).then_some(SiteIndex(site))
    }

    /// Bytes of memory that the index holds.
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

/// Turns nested blocks, sorted by start and then by length, into starts of ranges.
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

/// Ends every open block that lies wholly before `start`; what encloses it goes on behind it.
fn close_blocks_before(open: &mut Vec<&Block>, ranges: &mut Vec<(u128, u16)>, start: u128) {
    while let Some(block) = open.pop_if(|block| block.prefix.last() < start) {
        let enclosing = open.last().map_or(NO_SITE, |outer| outer.site.0);
        push_range(ranges, block.prefix.last() + 1, enclosing);
    }
}

/// Adds the start of a range; a later range from the same start replaces an earlier one.
fn push_range(ranges: &mut Vec<(u128, u16)>, start: u128, site: u16) {
    while ranges.pop_if(|last| last.0 == start).is_some() {}
    if ranges.last().is_none_or(|last| last.1 != site) {
        ranges.push((start, site));
    }
}
