//! What hosts tell each other of one host, and which of two statements is the newer one.

use crate::{
    availability,
    entry::{
        self,
        host::{Incarnation, State},
    },
    prelude::*,
};

value! {
    /// A statement about an entry host; names are not resolved against a document here, because
    /// hosts have to find each other before they know one.
    pub struct Member {
        /// The host's name.
        pub name: entry::Name,
        /// Counts the starts and the refutations of the host.
        pub incarnation: Incarnation,
        /// What is known of it.
        pub state: State,
        /// The zone that it is in.
        pub zone: availability::Name,
        /// Where callers reach it.
        pub caller_address: SocketAddr,
        /// Where other entry daemons reach it.
        pub relay_address: SocketAddr,
        /// Where other control daemons reach it.
        pub peer_address: SocketAddr,
    }
}

impl Member {
    /// Whether this statement replaces `known`: a higher incarnation always does, and within one
    /// incarnation the worse state does, so that only the host itself can take a state back.
    pub fn supersedes(&self, known: &Member) -> bool {
        self.order() > known.order()
    }

    /// Whether the host is not known to be gone.
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
