//! What the tasks of a gateway share, and the snapshot that requests read.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use crossbeam_queue::SegQueue;
use oleanderspan::{
    availability,
    backend::{self, Listing, Pool, Server, listing::ListedServer, pool::OverloadPolicy},
    entry::{
        Roster, rank,
        roster::{self, Peer},
    },
    prelude::*,
    region::{self, Demand},
    request::retry::Budget,
    route::{Route, Table},
    service,
};
use slog::Logger;

use crate::{
    clock::Monotonic,
    entry::{counters::Counters, slot::QueuedRequest, stop::Stop},
    gateway::{Names, Settings, feed::Feed, lending::Book, message::Report, peers, source::Topic},
    http::{
        client::{self, Client, Protocol},
        server,
    },
};

/// How long an unused connection to a backend server is kept: well below the shortest time after
/// which servers of the platform close one.
const KEPT_IDLE: Duration = Duration::from_millis(3_000);

/// How long bytes to a backend server may stay unacknowledged before a probe.
const SERVER_SILENCE: Duration = Duration::from_millis(500);

/// The part of the shared budget of repeats that hosts use, in percent: requests are counted at
/// slightly different times by the hosts and by whoever measures.
const REPEAT_MARGIN_PERCENT: u32 = 60;

/// The limits of clients before the first document: an idle connection lives so long.
const FIRST_IDLE: Duration = Duration::from_secs(15);

/// What the tasks share; cloning it is cheap.
#[derive(Clone, Debug)]
pub struct State(Arc<Shared>);

/// The one copy behind every [`State`].
#[derive(Debug)]
pub struct Shared {
    /// The settings.
    pub settings: Settings,
    /// The header names of the platform.
    pub names: Names,
    /// The clock of deadlines.
    pub clock: Monotonic,
    /// Connections to backend servers that are used again.
    pub kept: Client,
    /// Connections to backend servers for one request each, so that none can be closed by the
    /// server just as a request that must not be repeated is on its way.
    pub fresh: Client,
    /// Connections to other hosts.
    pub peers: Client,
    /// The log.
    pub log: Logger,
    /// What requests count.
    pub counters: Counters,
    /// How far a planned stop has come.
    pub stop: Stop,
    /// What requests have shown of servers that other hosts give out.
    pub reports: SegQueue<Report>,
    feeds: [Feed; Topic::ALL.len()],
    snapshot: ArcSwap<Snapshot>,
    beliefs: Mutex<Beliefs>,
}

/// What this host believes; snapshots are made of it, off the path of requests.
#[derive(Debug, Default)]
pub struct Beliefs {
    /// The routes in force.
    pub table: Option<Arc<Table>>,
    /// The backend servers.
    pub listing: Listing,
    /// Whether the list of servers was read once.
    pub has_servers: bool,
    /// The zones that shall get no requests.
    pub evacuated: Set<availability::Index>,
    /// The other hosts of the region.
    pub roster: Roster,
    /// Slots lent and borrowed, for the services whose slots this host gives out.
    pub books: Map<service::Name, Book>,
    pools: Map<service::Name, Vec<Arc<Pool<QueuedRequest>>>>,
    budgets: Map<service::Name, Arc<Budget>>,
    demands: Map<service::Name, Arc<Demand>>,
}

/// What requests read; a new one replaces it whole.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// The routes in force, or none before the first document.
    pub table: Option<Arc<Table>>,
    /// Whether the list of servers was read once.
    pub has_servers: bool,
    /// The other hosts of the region that take requests.
    pub peers: Vec<Peer>,
    servers: Map<backend::Name, Arc<Server>>,
    pools: Map<service::Name, Vec<Arc<Pool<QueuedRequest>>>>,
    budgets: Map<service::Name, Arc<Budget>>,
    demands: Map<service::Name, Arc<Demand>>,
}

impl std::ops::Deref for State {
    type Target = Shared;

    fn deref(&self) -> &Shared {
        &self.0
    }
}

impl State {
    /// The state of a process that has learned nothing yet.
    pub fn start(settings: Settings, names: Names, log: Logger) -> State {
        let silence = Some(SERVER_SILENCE);
        let kept = client::Options { idle_timeout: KEPT_IDLE, silence, ..Default::default() };
        let fresh = client::Options { idle_timeout: Duration::ZERO, ..kept };
        State(Arc::new(Shared {
            settings,
            names,
            clock: Monotonic::start(),
            kept: Client::with_options(Protocol::Http1, kept),
            fresh: Client::with_options(Protocol::Http1, fresh),
            peers: Client::with_options(Protocol::Http2, peers::client_options()),
            log,
            counters: Counters::new(),
            stop: Stop::default(),
            reports: SegQueue::new(),
            feeds: std::array::from_fn(|_| Feed::default()),
            snapshot: ArcSwap::default(),
            beliefs: Mutex::default(),
        }))
    }
}

impl Shared {
    /// The snapshot in force.
    pub fn snapshot(&self) -> arc_swap::Guard<Arc<Snapshot>> {
        self.snapshot.load()
    }

    /// The changes of a topic that this host reads for others.
    pub fn feed(&self, topic: Topic) -> &Feed {
        &self.feeds[topic as usize]
    }

    /// Changes what this host believes and puts it into force if `change` says so.
    pub fn update(&self, change: impl FnOnce(&mut Beliefs, Instant) -> bool) {
        let mut beliefs = self.lock();
        let now = self.clock.now();
        if change(&mut beliefs, now) {
            let snapshot = beliefs.snapshot(&self.settings, now);
            self.snapshot.store(Arc::new(snapshot));
        }
    }

    /// Reads what this host believes.
    pub fn beliefs(&self) -> impl std::ops::Deref<Target = Beliefs> + '_ {
        self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, Beliefs> {
        // Beliefs are changed by whole values, so that a panic elsewhere leaves them sound.
        self.beliefs.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// How connections of clients are treated.
    pub fn client_options(&self) -> server::Options {
        let snapshot = self.snapshot();
        let limits = snapshot.table.as_ref().map(|table| &table.limits);
        server::Options {
            head_timeout: limits.map_or(FIRST_IDLE, |limits| limits.head_timeout),
            idle_timeout: limits.map_or(FIRST_IDLE, |limits| limits.idle_timeout),
            max_head_bytes: limits
                .map_or(server::Options::default().max_head_bytes, |limits| limits.max_head_bytes),
            ..server::Options::default()
        }
    }
}

impl Beliefs {
    /// Limits the requests of a zone's servers that were taken back after an evacuation: they
    /// may have become cold meanwhile, and say so only some time later.
    pub fn warm_up(&mut self, zone: availability::Index, now: Instant) {
        let Some(table) = &self.table else { return };
        for (_, known) in self.listing.iter().filter(|(_, known)| known.entry.zone == zone) {
            if let Some(service) = table.service(&known.entry.service) {
                known.server.cold().limit_until(now + service.cold_start, service.cold_rate);
            }
        }
    }

    fn snapshot(&mut self, settings: &Settings, now: Instant) -> Snapshot {
        let servers = self.mark_servers(now);
        self.fill_pools(settings, &servers, now);
        self.add_budgets(settings);
        Snapshot {
            table: self.table.clone(),
            has_servers: self.has_servers,
            peers: self.roster.live_peers(now),
            servers,
            pools: self.pools.clone(),
            budgets: self.budgets.clone(),
            demands: self.demands.clone(),
        }
    }

    /// Puts what is believed of each server into force: evacuations, and how long it is cold.
    fn mark_servers(&self, now: Instant) -> Map<backend::Name, Arc<Server>> {
        let mark = |(name, known): (&backend::Name, &ListedServer)| {
            let server = &known.server;
            server.set_evacuated(self.evacuated.contains(&known.entry.zone));
            server.set_borrowed(false);
            let table = self.table.as_ref();
            if let Some(service) = table.and_then(|table| table.service(&known.entry.service)) {
                known.limit_while_cold(service.cold_rate, now);
                // The clock begins with the process.
                known.server.cold().hold_until(Instant::ZERO + roster::DISCOVERY_PERIOD);
            }
            (name.clone(), Arc::clone(server))
        };
        self.listing.iter().map(mark).collect()
    }

    /// Gives each pool its servers; those of the own region lend and borrow.
    fn fill_pools(
        &mut self,
        settings: &Settings,
        servers: &Map<backend::Name, Arc<Server>>,
        now: Instant,
    ) {
        let regions = settings.topology.regions().count();
        let empty = || vec![Vec::new(); regions];
        // A service whose last server went keeps its pools, and they become empty.
        let known = self.pools.keys().map(|service| (service.clone(), empty()));
        let mut lists: Map<service::Name, Vec<Vec<Arc<Server>>>> = known.collect();
        for (_, known) in self.listing.iter() {
            let Some(region) = settings.topology.region_of(known.entry.zone) else { continue };
            let list = lists.entry(known.entry.service.clone()).or_insert_with(empty);
            list[usize::from(region.0)].push(Arc::clone(&known.server));
        }
        for (service, mut by_region) in lists {
            if let Some(own) = by_region.get_mut(usize::from(settings.region.0)) {
                lend_and_borrow(own, self.books.get(&service), servers, now);
            }
            let pools = self.pools.entry(service).or_insert_with(|| {
                let pool = || Arc::new(Pool::with_overload(OverloadPolicy::ServeUntilLimit));
                std::iter::repeat_with(pool).take(regions).collect()
            });
            for (pool, mut list) in pools.iter().zip(by_region) {
                list.sort_by(|a, b| a.identity.cmp(&b.identity));
                // The slots of the servers are the only ceiling here.
                pool.update(list, u32::MAX);
            }
        }
    }

    /// Gives new services their budget of repeats and their count of requests.
    fn add_budgets(&mut self, settings: &Settings) {
        let hosts = u32::try_from(self.roster.len() + 1).unwrap_or(u32::MAX);
        let reserve = settings.repeats.slack * REPEAT_MARGIN_PERCENT / 100 / hosts;
        let known = |service: &&service::Name| self.budgets.contains_key(*service);
        let new: Vec<service::Name> =
            self.pools.keys().filter(|service| !known(service)).cloned().collect();
        for service in new {
            let budget = Budget::with_capacity(settings.repeats.share, reserve.max(1));
            self.budgets.insert(service.clone(), Arc::new(budget));
            self.demands.insert(service, Arc::default());
        }
    }
}

/// Withholds what a region has lent of its servers, and adds those that it has borrowed.
fn lend_and_borrow(
    own: &mut Vec<Arc<Server>>,
    book: Option<&Book>,
    servers: &Map<backend::Name, Arc<Server>>,
    now: Instant,
) {
    for server in own.iter() {
        server.withhold(book.map_or(0, |book| book.ledger.lent_from(&server.identity.name)));
    }
    for (name, slots) in book.into_iter().flat_map(|book| book.borrowed(now)) {
        let Some(server) = servers.get(name) else { continue };
        server.set_borrowed(true);
        server.withhold(server.slots().saturating_sub(slots));
        own.push(Arc::clone(server));
    }
}

impl Snapshot {
    /// Whether requests can be served.
    pub fn is_ready(&self) -> bool {
        self.table.is_some() && self.has_servers
    }

    /// A server by name.
    pub fn server(&self, name: &backend::Name) -> Option<&Arc<Server>> {
        self.servers.get(name)
    }

    /// The servers of a service in a region.
    pub fn pool(
        &self,
        service: &service::Name,
        region: region::Index,
    ) -> Option<&Arc<Pool<QueuedRequest>>> {
        self.pools.get(service)?.get(usize::from(region.0))
    }

    /// All pools.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<Pool<QueuedRequest>>> {
        self.pools.values().flatten()
    }

    /// The budget of repeats of a service.
    pub fn budget(&self, service: &service::Name) -> Option<&Arc<Budget>> {
        self.budgets.get(service)
    }

    /// The demand for a service in the own region.
    pub fn demand(&self, service: &service::Name) -> Option<&Arc<Demand>> {
        self.demands.get(service)
    }

    /// The services that have servers.
    pub fn services(&self) -> impl Iterator<Item = &service::Name> {
        self.pools.keys()
    }

    /// The other host that gives out the slots of a service, or `None` if this one does.
    pub fn arbiter(&self, settings: &Settings, service: &service::Name) -> Option<&Peer> {
        let peer = rank::highest(&self.peers, service.as_str(), |peer| peer.name.as_str())?;
        let weight = |host: &str| rank::weight(service.as_str(), host);
        let own = settings.host.as_str();
        (weight(peer.name.as_str()) > weight(own)).then_some(peer)
    }

    /// The region that serves a request of a route: the own one if it may and can, else the
    /// first other one that does.
    pub fn region(
        &self,
        settings: &Settings,
        route: &Route,
        service: &service::Name,
    ) -> Option<region::Index> {
        let own = settings.topology.regions().filter(|(region, _)| *region == settings.region);
        let others = settings.topology.regions().filter(|(region, _)| *region != settings.region);
        let mut allowed = own.chain(others).filter(|(_, name)| route.allows(name));
        let has_servers = |region: region::Index| {
            self.pool(service, region)
                .is_some_and(|pool| pool.servers().iter().any(|server| is_usable(server)))
        };
        allowed.find(|(region, _)| has_servers(*region)).map(|(region, _)| region)
    }
}

/// Whether a server may get requests.
pub fn is_usable(server: &Server) -> bool {
    !server.is_leaving() && !server.is_evacuated()
}
