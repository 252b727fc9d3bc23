//! The backend servers listed in the platform's store, and which entries remain valid after an
//! outage of the store.
//!
//! Entries may arrive late, twice, out of order or not at all; see `docs/PLATFORM.md`, "Instances".

use crate::{
    availability::Location,
    backend::{self, Notice, Notices, Server, cold, server::Identity},
    prelude::*,
    service,
};

/// How long after the store recovers a removed entry remains valid.
///
/// Running servers of a platform are listed again within about two seconds of the store's recovery.
const RECOVERY_GRACE: Duration = Duration::from_millis(2_000);

/// How long the removal of a server is remembered: longer than any outage of the store during which
/// another host may still consider the server listed.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

value! {
    /// What a server publishes about itself.
    pub struct Entry {
        /// The service that the server runs.
        pub service: service::Name,
        /// The address that requests are sent to.
        pub address: SocketAddr,
        /// Where the server runs.
        pub location: Location,
        /// Number of requests that the server runs concurrently.
        pub slots: u32,
        /// Whether the server is about to stop.
        pub is_leaving: bool,
        /// Remaining time of its cold start, during which it is slow; zero once it is warm.
        pub cold_left: Duration,
        /// Start time of the server in milliseconds of the wall clock; identifies the start.
        pub born_millis: u64,
        /// Sequence number of the entry since that start.
        pub sequence: u64,
    }

    /// The effect of an entry or of its removal.
    #[derive(Copy)]
    pub enum Change {
        /// Nothing that affects requests.
        None,
        /// A server was added, or restarted under the same name.
        Joined,
        /// A server is about to stop.
        Leaving,
        /// A server is no longer listed.
        Gone,
    }
}

/// A listed server.
#[derive(Debug)]
pub struct ListedServer {
    /// The latest entry of the server.
    pub entry: Entry,
    /// The server's state, shared with the pools.
    pub server: Arc<Server>,
    /// When the server is warm, according to its entries so far.
    warm_at: Instant,
    /// When a removed entry becomes invalid; `None` while it is listed.
    expires: Option<Instant>,
}

/// The last entry of a removed server.
#[derive(Debug)]
struct Removed {
    born_millis: u64,
    sequence: u64,
    is_leaving: bool,
    at: Instant,
}

/// The listed servers by name.
#[derive(Debug, Default)]
pub struct Listing {
    servers: Map<backend::Name, ListedServer>,
    /// The removed servers, so that neither grants of hosts that have not seen the removal nor
    /// entries from an older copy of the store are used.
    removed: Map<backend::Name, Removed>,
    /// What starts of servers have said in their answers, also of those that are not listed now.
    notices: Notices,
    /// When the store last recovered from an outage.
    recovered_at: Option<Instant>,
}

impl Listing {
    /// Records that the store is available again after an outage.
    pub fn store_recovered(&mut self, now: Instant) {
        self.recovered_at = Some(now);
    }

    /// Applies an entry of a server; entries older than the current one are ignored.
    pub fn put(&mut self, name: &backend::Name, mut entry: Entry, now: Instant) -> Change {
        if let Some(listed_server) = self.servers.get_mut(name) {
            let same_start = listed_server.entry.born_millis == entry.born_millis;
            let is_outdated = entry.born_millis < listed_server.entry.born_millis
                || same_start && entry.sequence < listed_server.entry.sequence;
            if is_outdated {
                return Change::None;
            }
            if same_start
                && listed_server.entry.address == entry.address
                && listed_server.entry.location == entry.location
                && listed_server.entry.slots == entry.slots
            {
                listed_server.expires = None;
                return listed_server.update(entry, now);
            }
        }
        if let Some(removed) = self.removed.get(name) {
            // Only a later heartbeat shows that the server lives: the store may have come back from
            // a copy that is older than the removal.
            if (entry.born_millis, entry.sequence) <= (removed.born_millis, removed.sequence) {
                return Change::None;
            }
            entry.is_leaving |= removed.is_leaving && entry.born_millis == removed.born_millis;
        }
        let identity = Identity { name: name.clone(), incarnation: entry.born_millis };
        let notice = self.notice_of(&identity).unwrap_or_default();
        let server = Server::new(identity, entry.address, entry.location, entry.slots);
        let server = server.with_notice(notice);
        let mut warm_at = now + entry.cold_left;
        if let Some(previous) = self.servers.remove(name) {
            let same_start = previous.entry.born_millis == entry.born_millis;
            if same_start {
                entry.is_leaving |= previous.entry.is_leaving;
                warm_at = warm_at.max(previous.warm_at);
            }
            // Requests use it until the next snapshot. They must not be sent to a former address or
            // to another region, but one whose slots have changed is still there.
            let same_place = previous.entry.address == entry.address
                && previous.entry.location == entry.location;
            if !same_start || !same_place || entry.is_leaving {
                previous.server.mark_leaving();
            }
        }
        if entry.is_leaving {
            server.mark_leaving();
        }
        self.removed.remove(name);
        let listed_server =
            ListedServer { entry, server: Arc::new(server), warm_at, expires: None };
        self.servers.insert(name.clone(), listed_server);
        Change::Joined
    }

    /// Applies the removal of an entry.
    ///
    /// Entries also expire because the store was unavailable. A running server is listed again soon
    /// after the store recovers, so a removal within that time does not prove that the server has
    /// stopped.
    pub fn remove(&mut self, name: &backend::Name, now: Instant) -> Change {
        let grace = self.recovered_at.map(|returned_slots| returned_slots + RECOVERY_GRACE);
        match (grace.filter(|grace| now < *grace), self.servers.get_mut(name)) {
            (_, None) => Change::None,
            (Some(grace), Some(listed_server)) if !listed_server.entry.is_leaving => {
                listed_server.expires = Some(grace);
                Change::None
            }
            (_, Some(_)) => {
                self.drop_server(name, now);
                Change::Gone
            }
        }
    }

    fn drop_server(&mut self, name: &backend::Name, now: Instant) {
        let Some(ListedServer { entry, server, .. }) = self.servers.remove(name) else { return };
        server.mark_leaving();
        self.removed.retain(|_, removed| now.since(removed.at) < REMOVED_RETENTION);
        let Entry { born_millis, sequence, is_leaving, .. } = entry;
        self.removed.insert(name.clone(), Removed { born_millis, sequence, is_leaving, at: now });
    }

    /// The names of listed servers that are absent from a complete listing of the store.
    pub fn missing_from(&self, listed: &Set<backend::Name>) -> Vec<backend::Name> {
        self.servers.keys().filter(|name| !listed.contains(*name)).cloned().collect()
    }

    /// Removes the entries whose grace period has ended, and returns their names.
    pub fn expire(&mut self, now: Instant) -> Vec<backend::Name> {
        let is_expired = |listed_server: &ListedServer| {
            listed_server.expires.is_some_and(|expires| expires <= now)
        };
        let expired: Vec<backend::Name> = self
            .servers
            .iter()
            .filter(|(_, listed_server)| is_expired(listed_server))
            .map(|(name, _)| name.clone())
            .collect();
        expired.iter().for_each(|name| self.drop_server(name, now));
        expired
    }

    /// What this start of a server has said of itself, if it is listed or has said anything.
    pub fn notice_of(&self, identity: &Identity) -> Option<Arc<Notice>> {
        let listed = self.servers.get(&identity.name).map(|listed_server| &listed_server.server);
        let listed = listed.filter(|server| server.identity == *identity);
        listed.map(|server| server.notice()).or_else(|| self.notices.get(identity)).map(Arc::clone)
    }

    /// Keeps what this start of a server says, in case that its entry is removed and returns.
    /// Returns the notice that other states of the start share.
    pub fn keep_notice(&mut self, identity: &Identity, notice: &Arc<Notice>) -> Arc<Notice> {
        let shared = self.notice_of(identity).unwrap_or_else(|| Arc::clone(notice));
        self.notices.keep(identity, &shared)
    }

    /// Whether this start of a server or a later one was listed and has been removed, as far as the
    /// removal is still remembered.
    pub fn was_removed(&self, identity: &Identity) -> bool {
        let removed = self.removed.get(&identity.name);
        removed.is_some_and(|removed| identity.incarnation <= removed.born_millis)
    }

    /// When [`Listing::expire`] next has an entry to remove, or `None`.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.servers.values().filter_map(|listed_server| listed_server.expires).min()
    }

    /// The listed servers with their names, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (&backend::Name, &ListedServer)> {
        self.servers.iter()
    }

    /// The listed server with this name.
    pub fn get(&self, name: &backend::Name) -> Option<&ListedServer> {
        self.servers.get(name)
    }

    /// Number of listed servers, including those in their grace period.
    pub fn len(&self) -> usize {
        self.servers.len()
    }

    /// Whether no server is listed.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }
}

impl ListedServer {
    fn update(&mut self, entry: Entry, now: Instant) -> Change {
        self.warm_at = self.warm_at.max(now + entry.cold_left);
        let starts_leaving = entry.is_leaving && !self.entry.is_leaving;
        if starts_leaving {
            self.server.mark_leaving();
        }
        // The first sign of leaving is final for this start of the server.
        let is_leaving = entry.is_leaving || self.entry.is_leaving;
        self.entry = Entry { is_leaving, ..entry };
        if starts_leaving { Change::Leaving } else { Change::None }
    }

    /// Limits the server to `rate` until it is warm; does nothing if it is warm.
    pub fn limit_while_cold(&self, rate: cold::Rate, now: Instant) {
        if self.warm_at > now {
            self.server.cold().limit_until(self.warm_at, rate);
        }
    }
}
