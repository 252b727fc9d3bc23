//! Callers: client address blocks and the sites they belong to.

pub mod block;
pub mod index;

pub use block::Block;
pub use index::Index;

use crate::{availability, region};

checked_name! {
    /// The name of a site, unique in its document.
    pub struct Name;
}

key! {
    /// The position of a site in its document, from 0.
    pub struct SiteIndex(pub u16);
}

value! {
    /// A location of callers; its zone determines the nearest entry hosts.
    pub struct Site {
        /// The name, unique in the document.
        pub name: Name,
        /// The availability zone of the site.
        pub zone: availability::Index,
        /// The region of the zone.
        pub region: region::Index,
    }
}
