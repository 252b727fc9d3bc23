//! The state that the tasks of a gateway share, and the snapshot of it that requests read.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError, atomic::AtomicU64};

use arc_swap::ArcSwap;
use crossbeam_queue::SegQueue;
use oleanderspan::{
    availability::{self, Evacuations},
    backend::{self, Listing, Pool, Sender, Server, listing::ListedServer, pool::OverloadPolicy},
    entry::{
        self, Grace, Roster, Silence, rank,
        roster::{self, Peer},
    },
    prelude::*,
    region::{self, Demand},
    request::{body_budget, retry::Budget},
    route::{Homes, Table},
    service,
};
use slog::{Logger, debug, info};
use tokio::sync::{SetOnce, watch};

use crate::{
    clock::Monotonic,
    entry::{counters::Counters, slot::QueuedRequest, stop::Stop},
    gateway::{
        Headers, Settings, feed::Feed, lending::ServiceLoans, message::ServerReport, peers,
        quotas::Quotas, source::Topic,
    },
    http::{
        client::{self, Client, Protocol},
        server,
    },
};

/// How long an idle connection to a backend server is pooled: well below the shortest time after
/// which the platform's servers close idle connections.
const POOL_IDLE_TIMEOUT: Duration = Duration::from_millis(3_000);

/// How long a connection to a backend server may be idle or have unacknowledged data before it is
/// probed by TCP keep-alive.
const SERVER_PROBE_DELAY: Duration = Duration::from_millis(500);

/// The part of the shared retry budget that hosts use, in percent. The hosts and an external
/// observer count requests at slightly different times, so using all of it could exceed the limit.
const USABLE_RETRY_BUDGET_PERCENT: u32 = 60;

/// How long a host that succeeds another as the arbiter of a service sends no requests to cold
/// servers: the time over which their rate is counted.
const COLD_HANDOVER: Duration = Duration::from_millis(1_000);

/// Header and idle timeout of client connections until the first routes are loaded.
const DEFAULT_CLIENT_TIMEOUT: Duration = Duration::from_secs(15);

/// A handle to the shared state; cloning it only copies a reference.
#[derive(Clone, Debug)]
pub struct State(Arc<Shared>);

/// The state behind every [`State`] handle.
#[derive(Debug)]
pub struct Shared {
    /// The settings of this process.
    pub settings: Settings,
    /// The header names of the platform.
    pub names: Headers,
    /// The monotonic clock for deadlines.
    pub clock: Monotonic,
    /// Pooled connections to backend servers, for requests that may be repeated.
    pub pooled_client: Client,
    /// Connections to backend servers that carry one request each. A server may close a pooled
    /// connection just when a request is sent, and a non-idempotent request could not be repeated.
    pub single_use_client: Client,
    /// Connections to other hosts.
    pub peer_client: Client,
    /// The logger of this process.
    pub log: Logger,
    /// The memory for request bodies; `None` if it is not limited.
    pub bodies: Option<Arc<body_budget::Budget>>,
    /// Request counters and latencies.
    pub counters: Counters,
    /// Progress of a planned stop.
    pub stop: Stop,
    /// The grace period of a planned stop, once it has begun.
    pub stopping: SetOnce<Grace>,
    /// The latest version of the store that was seen without this host among the hosts.
    pub unlisted_at: watch::Sender<Option<entry::Version>>,
    /// Number of slots granted outside the home regions of their request's route.
    pub outside_homes: AtomicU64,
    /// What stands for this host where servers ask hosts for backoff.
    pub sender: Sender,
    /// Number of answers by which servers asked this host for backoff.
    pub backoffs: AtomicU64,
    /// Number of starts of servers that said in an answer, to this host or another, that they
    /// leave.
    pub said_leaving: AtomicU64,
    /// Number of granted slots that were given back because of what the server had said meanwhile.
    pub returned_grants: AtomicU64,
    /// Number of lookups of hosts by clients of other regions.
    pub foreign_lookups: AtomicU64,
    /// Observations about servers whose slots other hosts hand out, to be sent to these hosts.
    pub reports: SegQueue<ServerReport>,
    /// The latest silence of the store, in which calls may have been lost.
    pub silence: watch::Sender<Silence>,
    /// The quotas of customers.
    pub quotas: Quotas,
    feeds: [Feed; Topic::ALL.len()],
    snapshot: ArcSwap<Snapshot>,
    view: Mutex<ClusterView>,
}

/// This host's knowledge of the cluster. Snapshots are built from it outside the request path.
#[derive(Debug, Default)]
pub struct ClusterView {
    /// The active routes, or `None` until the first ones are loaded.
    pub table: Option<Arc<Table>>,
    /// The listed backend servers, in all regions.
    pub listing: Listing,
    /// Whether the list of servers has been read in full at least once.
    pub has_server_list: bool,
    /// Whether the list of hosts has been read in full at least once.
    pub has_host_list: bool,
    /// The evacuated zones, which must not receive requests.
    pub evacuations: Evacuations,
    /// The other entry hosts: those of the region with their liveness, and those of other regions.
    pub roster: Roster,
    /// Slots lent to and borrowed from other regions, per service that this host dispatches.
    pub books: Map<service::Name, ServiceLoans>,
    pools: Map<service::Name, Vec<Arc<Pool<QueuedRequest>>>>,
    retry_budgets: Map<service::Name, Arc<Budget>>,
    demands: Map<service::Name, Arc<Demand>>,
}

/// An immutable view for the request path; each update replaces it as a whole.
#[derive(Debug, Default)]
pub struct Snapshot {
    /// The active routes, or `None` until the first ones are loaded.
    pub table: Option<Arc<Table>>,
    /// Whether the list of servers has been read in full at least once.
    pub has_server_list: bool,
    /// The other live hosts of the region that are not about to stop.
    pub peers: Vec<Peer>,
    /// Number of listed hosts in all regions, this one included.
    pub listed_hosts: u64,
    servers: Map<backend::Name, Arc<Server>>,
    pools: Map<service::Name, Vec<Arc<Pool<QueuedRequest>>>>,
    retry_budgets: Map<service::Name, Arc<Budget>>,
    demands: Map<service::Name, Arc<Demand>>,
}

impl std::ops::Deref for State {
    type Target = Shared;

    fn deref(&self) -> &Shared {
        &self.0
    }
}

impl State {
    /// Creates the state of a process that has not read the store yet, and starts its clock.
    pub fn start(settings: Settings, names: Headers, log: Logger) -> State {
        let keepalive_interval = Some(SERVER_PROBE_DELAY);
        let pooled = client::Options {
            idle_timeout: POOL_IDLE_TIMEOUT,
            keepalive_interval,
            ..Default::default()
        };
        let sender = Sender::from(&settings.host);
        let single_use = client::Options { idle_timeout: Duration::ZERO, ..pooled };
        let bodies = settings.memory_bytes.map(body_budget::Budget::of_memory).map(Arc::new);
        State(Arc::new(Shared {
            settings,
            names,
            clock: Monotonic::start(),
            pooled_client: Client::with_options(Protocol::Http1, pooled),
            single_use_client: Client::with_options(Protocol::Http1, single_use),
            peer_client: Client::with_options(Protocol::Http2, peers::client_options()),
            log,
            bodies,
            counters: Counters::new(),
            stop: Stop::default(),
            stopping: SetOnce::new(),
            unlisted_at: watch::Sender::default(),
            outside_homes: AtomicU64::new(0),
            sender,
            backoffs: AtomicU64::new(0),
            said_leaving: AtomicU64::new(0),
            returned_grants: AtomicU64::new(0),
            foreign_lookups: AtomicU64::new(0),
            reports: SegQueue::new(),
            silence: watch::Sender::default(),
            quotas: Quotas::default(),
            feeds: std::array::from_fn(|_| Feed::default()),
            snapshot: ArcSwap::default(),
            view: Mutex::default(),
        }))
    }
}

impl Shared {
    /// The current snapshot.
    pub fn snapshot(&self) -> arc_swap::Guard<Arc<Snapshot>> {
        self.snapshot.load()
    }

    /// The feed of a topic, for other hosts of the zone.
    pub fn feed(&self, topic: Topic) -> &Feed {
        &self.feeds[topic as usize]
    }

    /// How long ago a silence of the store ended that this host has met, for other hosts.
    pub fn silence_age(&self) -> Option<Duration> {
        self.silence.borrow().report(self.clock.now())
    }

    /// Records another host's report of a silence of the store.
    pub fn record_silence(&self, host: &entry::Name, age_ms: Option<u64>) {
        let Some(age) = age_ms.map(Duration::from_millis) else { return };
        let now = self.clock.now();
        if self.silence.send_if_modified(|silence| silence.record_report(age, now)) {
            info!(self.log, "store was silent to another host; repeating calls sent before";
                "host" => %host, "age_ms" => age.as_millis());
        }
    }

    /// Applies `change` to the cluster view and, if it returns `true`, publishes a new snapshot.
    pub fn update(&self, change: impl FnOnce(&mut ClusterView, Instant) -> bool) {
        let mut view = self.lock();
        let now = self.clock.now();
        if change(&mut view, now) {
            let snapshot = view.snapshot(&self.settings, now);
            snapshot.hold_cold_servers(&self.snapshot(), &self.settings, now);
            self.snapshot.store(Arc::new(snapshot));
            debug!(self.log, "snapshot published"; "servers" => view.listing.len(),
                "borrowed" => view.borrowed_servers(now),
                "build_us" => self.clock.now().since(now).as_micros());
        }
    }

    /// Locks the cluster view for reading; updates wait until the guard is dropped.
    pub fn view(&self) -> impl std::ops::Deref<Target = ClusterView> + '_ {
        self.lock()
    }

    fn lock(&self) -> MutexGuard<'_, ClusterView> {
        // The view is only modified by replacing whole values, so it is consistent after a panic.
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Timeouts and limits of client connections, from the active routes or the defaults.
    pub fn client_options(&self) -> server::Options {
        let snapshot = self.snapshot();
        let limits = snapshot.table.as_ref().map(|table| &table.limits);
        server::Options {
            head_timeout: limits.map_or(DEFAULT_CLIENT_TIMEOUT, |limits| limits.head_timeout),
            idle_timeout: limits.map_or(DEFAULT_CLIENT_TIMEOUT, |limits| limits.idle_timeout),
            max_head_bytes: limits
                .map_or(server::Options::default().max_head_bytes, |limits| limits.max_head_bytes),
            ..server::Options::default()
        }
    }
}

impl ClusterView {
    /// Limits the request rate of a zone's servers after its evacuation has ended. They may have
    /// become cold in the meantime, and report it only some time later.
    pub fn limit_after_evacuation(&mut self, zone: availability::Index, now: Instant) {
        let Some(table) = &self.table else { return };
        let is_in_zone = |listed_server: &ListedServer| listed_server.entry.location.zone == zone;
        for (_, listed_server) in
            self.listing.iter().filter(|(_, listed_server)| is_in_zone(listed_server))
        {
            if let Some(service) = table.service(&listed_server.entry.service) {
                listed_server
                    .server
                    .cold()
                    .limit_until(now + service.cold_start, service.cold_rate);
            }
        }
    }

    /// Number of servers with borrowed slots, over all services that this host dispatches.
    fn borrowed_servers(&self, now: Instant) -> usize {
        self.books.values().map(|service_loans| service_loans.borrowed(now).count()).sum()
    }

    fn snapshot(&mut self, settings: &Settings, now: Instant) -> Snapshot {
        let servers = self.apply_server_flags(settings.region, now);
        self.update_pools(settings, &servers, now);
        self.update_retry_budgets(settings);
        Snapshot {
            table: self.table.clone(),
            has_server_list: self.has_server_list,
            peers: self.roster.live_peers(now),
            listed_hosts: u64::try_from(self.roster.len() + 1).unwrap_or(u64::MAX),
            servers,
            pools: self.pools.clone(),
            retry_budgets: self.retry_budgets.clone(),
            demands: self.demands.clone(),
        }
    }

    /// Sets the evacuation and cold-start state of each server. While other hosts of the region may
    /// count the requests to cold servers too, this one uses its part of their rate.
    fn apply_server_flags(
        &self,
        own: region::Index,
        now: Instant,
    ) -> Map<backend::Name, Arc<Server>> {
        let counting_hosts = 1 + self.roster.possible_arbiters(now);
        let apply = |(name, listed_server): (&backend::Name, &ListedServer)| {
            let server = &listed_server.server;
            let zone = listed_server.entry.location.zone;
            server.set_evacuated(self.evacuations.contains(zone));
            server.cold().set_remote(listed_server.entry.location.region != own);
            let table = self.table.as_ref();
            if let Some(service) =
                table.and_then(|table| table.service(&listed_server.entry.service))
            {
                listed_server.limit_while_cold(service.cold_rate.part(counting_hosts), now);
                // The clock starts at zero with the process.
                listed_server.server.cold().hold_until(Instant::ZERO + roster::DISCOVERY_PERIOD);
            }
            (name.clone(), Arc::clone(server))
        };
        self.listing.iter().map(apply).collect()
    }

    /// Updates the servers of each pool; loans apply to the pools of the own region only.
    fn update_pools(
        &mut self,
        settings: &Settings,
        servers: &Map<backend::Name, Arc<Server>>,
        now: Instant,
    ) {
        let regions = settings.topology.regions().count();
        let empty = || vec![Vec::new(); regions];
        // A service without any server left keeps its pools, which become empty.
        let known = self.pools.keys().map(|service| (service.clone(), empty()));
        let mut lists: Map<service::Name, Vec<Vec<Arc<Server>>>> = known.collect();
        for (_, listed_server) in self.listing.iter() {
            let region = listed_server.entry.location.region;
            let list = lists.entry(listed_server.entry.service.clone()).or_insert_with(empty);
            list[usize::from(region.0)].push(Arc::clone(&listed_server.server));
        }
        for (service, mut by_region) in lists {
            if let Some(own) = by_region.get_mut(usize::from(settings.region.0)) {
                apply_loans(own, settings.region, self.books.get(&service), servers, now);
            }
            let pools = self.pools.entry(service).or_insert_with(|| {
                let pool = |region| Pool::for_region(region, OverloadPolicy::ServeUntilLimit);
                settings.topology.regions().map(|(region, _)| Arc::new(pool(region))).collect()
            });
            for (pool, mut list) in pools.iter().zip(by_region) {
                list.sort_by(|a, b| a.identity.cmp(&b.identity));
                // No limit on concurrent requests other than the slots of the servers.
                pool.update(list, u32::MAX);
            }
        }
        self.free_returned_slots(settings.region, now);
    }

    /// Makes all slots of servers in other regions usable there once their loan has ended. Must
    /// follow the update of the pools: until then, the own region's pool still has these servers.
    fn free_returned_slots(&self, own: region::Index, now: Instant) {
        let borrowed: Set<&backend::Name> = self
            .books
            .values()
            .flat_map(|loans| loans.borrowed(now))
            .map(|(name, _)| name)
            .collect();
        for (name, listed_server) in self.listing.iter() {
            if listed_server.entry.location.region != own && !borrowed.contains(name) {
                listed_server.server.set_reserved(0);
            }
        }
    }

    /// Adapts this host's part of the retry budgets to the number of hosts, and adds a budget and a
    /// demand counter for each new service.
    fn update_retry_budgets(&mut self, settings: &Settings) {
        let hosts = u32::try_from(self.roster.len() + 1).unwrap_or(u32::MAX);
        let reserve = settings.retries.slack * USABLE_RETRY_BUDGET_PERCENT / 100 / hosts;
        let reserve = reserve.max(1);
        self.retry_budgets.values().for_each(|budget| budget.set_capacity(reserve));
        let known = |service: &&service::Name| self.retry_budgets.contains_key(*service);
        let new: Vec<service::Name> =
            self.pools.keys().filter(|service| !known(service)).cloned().collect();
        for service in new {
            let budget = match settings.retries.is_unspent {
                true => Budget::with_capacity(settings.retries.share, reserve),
                false => Budget::replacing(settings.retries.share, reserve),
            };
            self.retry_budgets.insert(service.clone(), Arc::new(budget));
            self.demands.insert(service, Arc::default());
        }
    }
}

/// Withholds the slots of own servers that are lent, and adds the servers with borrowed slots.
fn apply_loans(
    own: &mut Vec<Arc<Server>>,
    region: region::Index,
    service_loans: Option<&ServiceLoans>,
    servers: &Map<backend::Name, Arc<Server>>,
    now: Instant,
) {
    for server in own.iter() {
        server.set_reserved(
            service_loans
                .map_or(0, |service_loans| service_loans.ledger.lent_from(&server.identity.name)),
        );
    }
    for (name, slots) in
        service_loans.into_iter().flat_map(|service_loans| service_loans.borrowed(now))
    {
        // The lender may disagree about the region of a server.
        let server = servers.get(name).filter(|server| server.location.region != region);
        let Some(server) = server else { continue };
        server.set_reserved(server.slots().saturating_sub(slots));
        own.push(Arc::clone(server));
    }
}

impl Snapshot {
    /// Whether the routes and the list of servers have been loaded, so that requests can be served.
    pub fn is_ready(&self) -> bool {
        self.table.is_some() && self.has_server_list
    }

    /// The listed server with this name, in any region.
    pub fn server(&self, name: &backend::Name) -> Option<&Arc<Server>> {
        self.servers.get(name)
    }

    /// The pool of a service's servers in a region.
    pub fn pool(
        &self,
        service: &service::Name,
        region: region::Index,
    ) -> Option<&Arc<Pool<QueuedRequest>>> {
        self.pools.get(service)?.get(usize::from(region.0))
    }

    /// The pools of all services and regions.
    pub fn pools(&self) -> impl Iterator<Item = &Arc<Pool<QueuedRequest>>> {
        self.pools.values().flatten()
    }

    /// The retry budget of a service; `None` if it has never had a server.
    pub fn retry_budget(&self, service: &service::Name) -> Option<&Arc<Budget>> {
        self.retry_budgets.get(service)
    }

    /// The demand for a service in the own region; `None` if the service has never had a server.
    pub fn demand(&self, service: &service::Name) -> Option<&Arc<Demand>> {
        self.demands.get(service)
    }

    /// The services that have or had servers.
    pub fn services(&self) -> impl Iterator<Item = &service::Name> {
        self.pools.keys()
    }

    /// The arbiter of a service, or `None` if it is this host: the live host of the region with the
    /// highest rendezvous rank.
    pub fn remote_arbiter(&self, settings: &Settings, service: &service::Name) -> Option<&Peer> {
        let peer = rank::highest(&self.peers, service.as_str(), |peer| peer.name.as_str())?;
        let weight = |host: &str| rank::weight(service.as_str(), host);
        let own = settings.host.as_str();
        (weight(peer.name.as_str()) > weight(own)).then_some(peer)
    }

    /// Delays the requests to cold servers of the services whose arbiter this host has become since
    /// `before`. The previous arbiter has admitted some that this host has not counted.
    fn hold_cold_servers(&self, before: &Snapshot, settings: &Settings, now: Instant) {
        let is_arbiter =
            |snapshot: &Snapshot, service| snapshot.remote_arbiter(settings, service).is_none();
        let new = self
            .services()
            .filter(|service| is_arbiter(self, service) && !is_arbiter(before, service));
        for pool in new.filter_map(|service| self.pool(service, settings.region)) {
            let servers = pool.servers();
            servers.iter().for_each(|server| server.cold().hold_until(now + COLD_HANDOVER));
        }
    }

    /// The region that serves requests with these homes: the own region if they allow it and it has
    /// usable servers, otherwise the first other region for which that is true.
    pub fn serving_region(
        &self,
        settings: &Settings,
        homes: Homes<'_>,
        service: &service::Name,
    ) -> Option<region::Index> {
        let own = settings.topology.regions().filter(|(region, _)| *region == settings.region);
        let others = settings.topology.regions().filter(|(region, _)| *region != settings.region);
        let mut allowed = own.chain(others).filter(|(_, name)| homes.allows(name));
        // Borrowed servers are in the pool of their borrower, but not in its region.
        let is_allowed = |server: &Server, region| {
            is_usable(server) && (!homes.is_bound() || server.location.region == region)
        };
        let has_servers = |region: region::Index| {
            self.pool(service, region)
                .is_some_and(|pool| pool.servers().iter().any(|server| is_allowed(server, region)))
        };
        allowed.find(|(region, _)| has_servers(*region)).map(|(region, _)| region)
    }
}

/// Whether a server may receive requests: it is neither leaving nor evacuated.
pub fn is_usable(server: &Server) -> bool {
    server.accepts_requests()
}
