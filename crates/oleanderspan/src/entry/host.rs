//! An entry host as seen by the other hosts.

use crate::{availability, entry, prelude::*, region};

key! {
    /// The start count of a host; information with a higher incarnation replaces all information
    /// with a lower one.
    pub struct Incarnation(pub u64);

    /// The last known state of a host.
    pub enum State {
        /// The host answers but does not know yet which document and shares are in force.
        Starting,
        /// The host serves callers.
        Live,
        /// The host failed to answer probes; callers are not directed to it.
        Suspect,
        /// The host serves its present callers and accepts no new ones.
        Leaving,
        /// The host is considered stopped, usually because it did not refute a suspicion in time.
        Gone,
    }
}

value! {
    /// An entry host, with its zone resolved against the document.
    pub struct Host {
        /// Unique among the hosts.
        pub name: entry::Name,
        /// Highest incarnation seen so far.
        pub incarnation: Incarnation,
        /// Last known state.
        pub state: State,
        /// Availability zone.
        pub zone: availability::Index,
        /// Region of the zone.
        pub region: region::Index,
        /// Address for callers.
        pub caller_address: SocketAddr,
        /// Address to which other entry processes relay requests.
        pub relay_address: SocketAddr,
    }
}

impl Host {
    /// Whether locate answers may name this host.
    pub fn accepts_callers(&self) -> bool {
        self.state == State::Live
    }

    /// Whether the host may dispatch requests of other hosts to backend servers.
    pub fn dispatches(&self) -> bool {
        self.state == State::Live
    }
}
