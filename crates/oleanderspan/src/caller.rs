//! Callers: blocks of client addresses and the sites they belong to.

pub mod block;
pub mod index;

pub use block::Block;
pub use index::Index;

use crate::{availability, region};

checked_name! {
    /// The name of a site.
    pub struct Name;
}

key! {
    /// The position of a site in its document.
    pub struct SiteIndex(pub u16);
}

value! {
    /// A site that callers belong to; its zone says which entry hosts are near.
    pub struct Site {
        /// Its name, unique in the document.
        pub name: Name,
        /// The zone it is in.
        pub zone: availability::Index,
        /// The region of that zone.
        pub region: region::Index,
    }
}
