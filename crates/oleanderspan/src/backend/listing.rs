//! The backend servers that the platform's store lists, and what to believe while it is away.
//!
//! Entries come late, twice, out of order or not at all; see `docs/PLATFORM.md`, "Instances".

use crate::{
    availability,
    backend::{self, Server, cold, server::Identity},
    prelude::*,
    service,
};

/// How long an entry that was gone when the store came back is still believed.
///
/// Living servers of a platform are listed again within about two seconds of the store's return.
const RECOVERY_GRACE: Duration = Duration::from_millis(2_000);

/// How long it is remembered that a server went: longer than any outage of the store in which
/// another host may still believe in it.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

value! {
    /// What a server says of itself.
    pub struct Entry {
        /// The service that it runs.
        pub service: service::Name,
        /// Where it takes requests.
        pub address: SocketAddr,
        /// The zone that it is in.
        pub zone: availability::Index,
        /// Requests that it runs at once.
        pub slots: u32,
        /// Whether it is about to stop.
        pub is_leaving: bool,
        /// How much longer it is slow after its start.
        pub cold_left: Duration,
        /// When it started, in milliseconds of the wall clock; tells starts apart.
        pub born_millis: u64,
        /// Counts what it has said since its start.
        pub sequence: u64,
    }

    /// What an entry changed.
    #[derive(Copy)]
    pub enum Change {
        /// Nothing that matters for requests.
        None,
        /// A server joined, or started anew under its name.
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
    /// Its latest entry.
    pub entry: Entry,
    /// Its counts, shared with the pools.
    pub server: Arc<Server>,
    /// When it is warm, as far as it has said.
    warm_at: Instant,
    /// When a removed entry stops to be believed.
    expires: Option<Instant>,
}

/// The listed servers by name.
#[derive(Debug, Default)]
pub struct Listing {
    servers: Map<backend::Name, ListedServer>,
    /// When servers were seen to go, so that news of others who have not seen it do no harm.
    removed: Map<backend::Name, Instant>,
    /// When the store came back last.
    recovered_at: Option<Instant>,
}

impl Listing {
    /// Takes note that the store answers again after an outage.
    pub fn store_recovered(&mut self, now: Instant) {
        self.recovered_at = Some(now);
    }

    /// Takes a new entry of a server.
    pub fn put(&mut self, name: &backend::Name, entry: Entry, now: Instant) -> Change {
        if let Some(known) = self.servers.get_mut(name) {
            let same_start = known.entry.born_millis == entry.born_millis;
            let is_old = entry.born_millis < known.entry.born_millis
                || same_start && entry.sequence < known.entry.sequence;
            if is_old {
                return Change::None;
            }
            if same_start
                && known.entry.address == entry.address
                && known.entry.slots == entry.slots
            {
                known.expires = None;
                return known.update(entry, now);
            }
        }
        let identity = Identity { name: name.clone(), incarnation: entry.born_millis };
        let server = Server::new(identity, entry.address, entry.zone, entry.slots);
        if entry.is_leaving {
            server.mark_leaving();
        }
        self.removed.remove(name);
        let warm_at = now + entry.cold_left;
        let known = ListedServer { entry, server: Arc::new(server), warm_at, expires: None };
        self.servers.insert(name.clone(), known);
        Change::Joined
    }

    /// Takes the removal of an entry.
    ///
    /// Entries also lapse because the store was away; a server that lives is listed again soon
    /// after, so that for so long a removal proves nothing.
    pub fn remove(&mut self, name: &backend::Name, now: Instant) -> Change {
        let grace = self.recovered_at.map(|returned_slots| returned_slots + RECOVERY_GRACE);
        match (grace.filter(|grace| now < *grace), self.servers.get_mut(name)) {
            (_, None) => Change::None,
            (Some(grace), Some(known)) if !known.entry.is_leaving => {
                known.expires = Some(grace);
                Change::None
            }
            (_, Some(known)) => {
                known.server.mark_leaving();
                self.servers.remove(name);
                self.record_removal(name, now);
                Change::Gone
            }
        }
    }

    /// The names that a whole list of the store does not have.
    pub fn missing_from(&self, listed: &Set<backend::Name>) -> Vec<backend::Name> {
        self.servers.keys().filter(|name| !listed.contains(*name)).cloned().collect()
    }

    /// Drops the entries whose grace has ended, and returns their names.
    pub fn expire(&mut self, now: Instant) -> Vec<backend::Name> {
        let is_over = |known: &ListedServer| known.expires.is_some_and(|expires| expires <= now);
        let expired: Vec<backend::Name> = self
            .servers
            .iter()
            .filter(|(_, known)| is_over(known))
            .map(|(name, _)| name.clone())
            .collect();
        for name in &expired {
            if let Some(known) = self.servers.remove(name) {
                known.server.mark_leaving();
            }
            self.record_removal(name, now);
        }
        expired
    }

    /// Whether a server was listed and went.
    pub fn was_removed(&self, name: &backend::Name) -> bool {
        self.removed.contains_key(name)
    }

    fn record_removal(&mut self, name: &backend::Name, now: Instant) {
        self.removed.retain(|_, at| now.since(*at) < REMOVED_RETENTION);
        self.removed.insert(name.clone(), now);
    }

    /// When [`Listing::expire`] has something to do, if it has.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.servers.values().filter_map(|known| known.expires).min()
    }

    /// The listed servers.
    pub fn iter(&self) -> impl Iterator<Item = (&backend::Name, &ListedServer)> {
        self.servers.iter()
    }

    /// A listed server by name.
    pub fn get(&self, name: &backend::Name) -> Option<&ListedServer> {
        self.servers.get(name)
    }

    /// The number of listed servers.
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
        // The first sign of leaving holds for the whole run of a server.
        let is_leaving = entry.is_leaving || self.entry.is_leaving;
        self.entry = Entry { is_leaving, ..entry };
        if starts_leaving { Change::Leaving } else { Change::None }
    }

    /// Limits the requests of a server that is still cold.
    pub fn limit_while_cold(&self, rate: cold::Rate, now: Instant) {
        if self.warm_at > now {
            self.server.cold().limit_until(self.warm_at, rate);
        }
    }
}
