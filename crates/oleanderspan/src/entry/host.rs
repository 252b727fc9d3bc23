//! One entry host as the others see it.

use crate::{availability, entry, prelude::*, region};

key! {
    /// Counts the starts of a host; a higher one replaces all that was known of a lower one.
    pub struct Incarnation(pub u64);

    /// What is known of a host.
    pub enum State {
        /// It answers, but has not learned what is in force yet.
        Starting,
        /// It serves callers.
        Live,
        /// It did not answer lately; callers are not sent to it.
        Suspect,
        /// It serves what it has and takes no new callers.
        Leaving,
        /// It is gone.
        Gone,
    }
}

value! {
    /// An entry host.
    pub struct Host {
        /// Its name, unique among hosts.
        pub name: entry::Name,
        /// Its latest start.
        pub incarnation: Incarnation,
        /// What is known of it.
        pub state: State,
        /// Its availability zone.
        pub zone: availability::Index,
        /// The region of that zone.
        pub region: region::Index,
        /// Where callers reach it.
        pub caller_address: SocketAddr,
        /// Where other entry processes relay requests to it.
        pub relay_address: SocketAddr,
    }
}

impl Host {
    /// Whether callers may be sent to the host.
    pub fn accepts_callers(&self) -> bool {
        self.state == State::Live
    }

    /// Whether the host may dispatch to backend servers for others.
    pub fn dispatches(&self) -> bool {
        self.state == State::Live
    }
}
