//! Entry hosts: identity, membership, liveness, and the selection of hosts for callers.

pub mod grace;
pub mod host;
pub mod journal;
pub mod lag;
pub mod locate;
pub mod membership;
pub mod rank;
pub mod roster;
pub mod silence;
pub mod version;

pub use grace::Grace;
pub use host::Host;
pub use journal::Journal;
pub use lag::Lag;
pub use locate::{Answer, Directory, Policy};
pub use membership::{Member, Membership};
pub use roster::Roster;
pub use silence::Silence;
pub use version::Version;

checked_name! {
    /// The name of an entry host.
    pub struct Name;
}
