//! The membership record of one host, and the order that decides which record is newer.

use crate::{
    availability,
    entry::{
        self,
        host::{Incarnation, State},
    },
    prelude::*,
};

value! {
    /// A membership record of an entry host. The zone name is not resolved against a document,
    /// because hosts have to discover each other before they have one.
    pub struct Member {
        /// Unique among the hosts.
        pub name: entry::Name,
        /// Rises with each start, change of state and refutation by the host itself.
        pub incarnation: Incarnation,
        /// Last known state.
        pub state: State,
        /// Availability zone, as the host reports it.
        pub zone: availability::Name,
        /// Address for callers.
        pub caller_address: SocketAddr,
        /// Address to which other entry daemons relay requests.
        pub relay_address: SocketAddr,
        /// Address for other control daemons.
        pub peer_address: SocketAddr,
    }
}

impl Member {
    /// Whether this record replaces `known`. A higher incarnation always does; within one
    /// incarnation the more severe state does, so that only the host itself can revert a state.
    pub fn supersedes(&self, known: &Member) -> bool {
        self.order() > known.order()
    }

    /// Whether the host is in any state other than gone.
    pub fn is_present(&self) -> bool {
        self.state != State::Gone
    }

    fn order(&self) -> (Incarnation, u8) {
        let severity = match self.state {
            State::Starting => 0,
            State::Live => 1,
            State::Leaving => 2,
            State::Suspect => 3,
            State::Gone => 4,
        };
        (self.incarnation, severity)
    }
}
