//! The immutable routing snapshot that requests read on a host.
//!
//! A snapshot is built off the request path and published as a whole (read-copy-update). Counters
//! that requests change are shared with the next snapshot by reference, so that a new document
//! neither loses requests in flight nor blocks a request.

use crate::{
    availability::Location,
    backend::{self, Pool, Server, Waiter},
    caller, document,
    entry::{self, Answer, Directory, Host, host::State, rank},
    prelude::*,
    region, request, service,
    shift::{self, Diffuser, Spill},
};

/// A backend server as listed by the platform, with its names resolved against the document.
#[derive(Clone, Debug)]
pub struct ListedServer {
    /// The name and incarnation of the server.
    pub identity: backend::server::Identity,
    /// The address on which it accepts requests.
    pub address: SocketAddr,
    /// The service it runs.
    pub service: service::Index,
    /// The zone it is in.
    pub zone: crate::availability::Index,
    /// Whether any source reported the server as leaving.
    pub leaving: bool,
}

/// The input from which a snapshot is built.
#[derive(Clone, Debug)]
pub struct Input {
    /// The version of the document in force.
    pub version: document::Version,
    /// The document in force.
    pub document: Arc<document::ValidatedDocument>,
    /// The index of the document's address blocks, which maps callers to sites.
    pub blocks: Arc<caller::Index>,
    /// The entry hosts that are not gone.
    pub hosts: Vec<Host>,
    /// The backend servers of all services.
    pub servers: Vec<ListedServer>,
    /// The routing state of each service, in the order of the document's services.
    pub routing: Vec<Routing>,
    /// The name of this host.
    pub own: entry::Name,
    /// Whether the control daemon does not respond, so that callers are sent to other hosts.
    pub is_stale: bool,
}

/// The routing state of one service, as computed by the control daemon.
#[derive(Clone, Debug)]
pub struct Routing {
    /// The traffic shares in force, by the caller's region index.
    pub shares_by_origin: Vec<shift::Vector>,
    /// Whether each region has failed for the service, by region index.
    pub failed_regions: Vec<bool>,
    /// The concurrency slots that this host must leave unused as dispatcher, by region index.
    pub reserved_slots: Vec<u32>,
}

/// This host's part of the bandwidth budgets of a link between regions.
#[derive(Debug)]
pub struct Link {
    /// The budget for requests sent to the other region.
    pub requests: region::Budget,
    /// The budget for their answers, in the reverse direction.
    pub answers: region::Budget,
}

/// The configuration and routing state in force on a host; `W` is the front end's waiter for a
/// slot.
#[derive(Debug)]
pub struct Snapshot<W> {
    /// The version of the document in force.
    pub version: document::Version,
    /// The document in force.
    pub document: Arc<document::ValidatedDocument>,
    /// The entry hosts that are not gone.
    pub hosts: Vec<Host>,
    blocks: Arc<caller::Index>,
    authorities: Map<Box<str>, service::Index>,
    answers: Box<[Answer]>,
    services: Box<[ServiceState<W>]>,
    links: Arc<Links>,
    own: entry::Name,
}

/// The links from the region of this host, and the rates they were built with, which tell whether
/// the budgets can be carried over.
#[derive(Debug)]
struct Links {
    rates: Vec<(region::Index, u64)>,
    links: Map<region::Index, Arc<Link>>,
}

/// The routing state of one service, with the counters that are carried over between snapshots.
#[derive(Debug)]
struct ServiceState<W> {
    shares_by_origin: Vec<shift::Vector>,
    failed_regions: Vec<bool>,
    diffusers: Arc<[Diffuser]>,
    spills: Arc<[Spill]>,
    cap: shift::Cap,
    retries: Arc<request::retry::Budget>,
    hedges: Arc<request::retry::Budget>,
    targets: Box<[RegionTarget<W>]>,
}

/// The dispatcher and the servers of one service in one region.
#[derive(Debug)]
struct RegionTarget<W> {
    dispatcher: Option<usize>,
    pool: Arc<Pool<W>>,
    backpressure: Arc<region::Backpressure>,
}

impl<W: Waiter> Snapshot<W> {
    /// Builds the snapshot that replaces `prior`, and carries over its counters and budgets.
    pub fn new(input: Input, prior: Option<&Snapshot<W>>) -> Snapshot<W> {
        let advertised_hosts = advertised_hosts(&input);
        let document = input.document;
        let directory = Directory::new(&advertised_hosts);
        let answers = document.sites.iter().map(|site| directory.answer(site, &document.locate));
        let services =
            (0u16..).zip(&document.services).zip(input.routing).map(|((i, service), routing)| {
                let index = service::Index(i);
                let listed = input.servers.iter().filter(|server| server.service == index);
                let source = ServiceInput {
                    document: &document,
                    service,
                    hosts: &input.hosts,
                    listed: listed.collect(),
                };
                let prior = prior.and_then(|prior| {
                    prior.service_state(&service.name).map(|state| (prior, state))
                });
                ServiceState::new(&source, routing, prior)
            });
        let authorities = (0u16..).zip(&document.services).flat_map(|(i, service)| {
            service.authorities.iter().map(move |a| (a.clone(), service::Index(i)))
        });
        Snapshot {
            version: input.version,
            answers: answers.collect(),
            services: services.collect(),
            authorities: authorities.collect(),
            links: links(&document, &input.hosts, &input.own, prior),
            blocks: input.blocks,
            hosts: input.hosts,
            own: input.own,
            document,
        }
    }

    /// Looks up a service by the request's authority without port; `None` if no service has it.
    pub fn service(&self, authority: &str) -> Option<service::Index> {
        self.authorities.get(authority).copied()
    }

    /// The definition of a service in the document. Panics if the index is out of range.
    pub fn service_definition(&self, service: service::Index) -> &service::Service {
        &self.document.services[usize::from(service.0)]
    }

    /// The site of a caller, or `None` if its address is outside all blocks.
    pub fn site(&self, address: IpAddr) -> Option<&caller::Site> {
        let index = self.blocks.site(address)?;
        self.document.sites.get(usize::from(index.0))
    }

    /// The entry hosts for a caller, best first. Callers outside all blocks are treated as
    /// belonging to the first site by name.
    pub fn locate(&self, address: IpAddr) -> Option<&Answer> {
        let index = self.blocks.site(address).unwrap_or(caller::SiteIndex(0));
        self.answers.get(usize::from(index.0))
    }

    /// The region of a caller; for addresses outside all blocks, the region of this host.
    pub fn origin(&self, address: IpAddr) -> region::Index {
        match self.site(address) {
            Some(site) => site.region,
            None => self.own_host().map_or(region::Index(0), |host| host.region),
        }
    }

    /// Chooses the region for the next request of `service` from callers in `origin`, or `None`
    /// if the caps allow no region.
    pub fn next_region(
        &self,
        service: service::Index,
        origin: region::Index,
    ) -> Option<region::Index> {
        let state = &self.services[usize::from(service.0)];
        let origin = usize::from(origin.0);
        state.spills[origin].earn();
        state.diffusers[origin].next(&state.shares_by_origin[origin])
    }

    /// Chooses another region for a request that the region `refused` did not take, within the
    /// part of the cap that is reserved for spill-over.
    pub fn spill_region(
        &self,
        service: service::Index,
        origin: region::Index,
        refused: Option<region::Index>,
        now: Instant,
    ) -> Option<region::Index> {
        let state = &self.services[usize::from(service.0)];
        let planned = &self.document.services[usize::from(service.0)].instances;
        let candidates = (0u16..).map(region::Index).zip(planned).filter(|(region, planned)| {
            **planned > 0
                && Some(*region) != refused
                && !self.is_failed(service, *region)
                && !self.backpressure(service, *region).is_active(now)
                && self.has_link_budget(*region, now)
        });
        let (best, _) = candidates.max_by_key(|(_, planned)| **planned)?;
        state.spills[usize::from(origin.0)].try_spend().then_some(best)
    }

    /// Whether a region is known to have failed for a service.
    pub fn is_failed(&self, service: service::Index, region: region::Index) -> bool {
        let state = &self.services[usize::from(service.0)];
        state.failed_regions.get(usize::from(region.0)).copied().unwrap_or(false)
    }

    /// The recent refusals by a region of requests that this host sent for a service.
    pub fn backpressure(
        &self,
        service: service::Index,
        region: region::Index,
    ) -> &region::Backpressure {
        &self.target(service, region).backpressure
    }

    /// Whether the link to a region has budget left; without a link in the document, traffic is
    /// not limited.
    fn has_link_budget(&self, region: region::Index, now: Instant) -> bool {
        let has_room =
            |link: &Arc<Link>| link.requests.has_credit(now) && link.answers.has_credit(now);
        self.link(region).is_none_or(has_room)
    }

    /// The host that dispatches for `service` in `region`, or `None` if no host can.
    pub fn dispatcher(&self, service: service::Index, region: region::Index) -> Option<&Host> {
        self.hosts.get(self.target(service, region).dispatcher?)
    }

    /// The server pool of `service` in `region`.
    pub fn pool(&self, service: service::Index, region: region::Index) -> &Arc<Pool<W>> {
        &self.target(service, region).pool
    }

    /// The pools that this host dispatches to, and those that still have queued requests from when
    /// it did.
    pub fn dispatched_pools(&self) -> impl Iterator<Item = &Arc<Pool<W>>> {
        let targets = self.services.iter().flat_map(|state| &state.targets);
        let dispatched = targets.filter(|target| {
            let dispatcher = target.dispatcher.and_then(|position| self.hosts.get(position));
            dispatcher.is_some_and(|host| self.is_own(host)) || target.pool.queued() > 0
        });
        dispatched.map(|target| &target.pool)
    }

    /// The retry budget of a service.
    pub fn retries(&self, service: service::Index) -> &request::retry::Budget {
        &self.services[usize::from(service.0)].retries
    }

    /// The budget for hedged reads of a service.
    pub fn hedges(&self, service: service::Index) -> &request::retry::Budget {
        &self.services[usize::from(service.0)].hedges
    }

    /// The link from the region of this host to region `to`, or `None` if the document has none.
    pub fn link(&self, to: region::Index) -> Option<&Arc<Link>> {
        self.links.links.get(&to)
    }

    /// The entry of this host in the host list, or `None` if it is not listed.
    pub fn own_host(&self) -> Option<&Host> {
        self.hosts.iter().find(|host| host.name == self.own)
    }

    /// Whether `host` is this one.
    pub fn is_own(&self, host: &Host) -> bool {
        host.name == self.own
    }

    fn target(&self, service: service::Index, region: region::Index) -> &RegionTarget<W> {
        &self.services[usize::from(service.0)].targets[usize::from(region.0)]
    }

    fn service_state(&self, name: &service::Name) -> Option<&ServiceState<W>> {
        let position = self.document.services.iter().position(|service| service.name == *name)?;
        self.services.get(position)
    }
}

/// The input from which the routing state of a service is built.
struct ServiceInput<'a> {
    document: &'a document::ValidatedDocument,
    service: &'a service::Service,
    hosts: &'a [Host],
    listed: Vec<&'a ListedServer>,
}

impl<W: Waiter> ServiceState<W> {
    fn new(
        source: &ServiceInput<'_>,
        routing: Routing,
        prior: Option<(&Snapshot<W>, &ServiceState<W>)>,
    ) -> ServiceState<W> {
        let regions = &source.document.regions;
        let targets = (0u16..).zip(regions).map(|(i, region)| {
            let previous = prior.and_then(|(prior, state)| {
                let position = region::find(&prior.document.regions, region.name.as_str())?;
                state.targets.get(usize::from(position.0))
            });
            let reserved_slots = routing.reserved_slots.get(usize::from(i)).copied().unwrap_or(0);
            RegionTarget::new(source, region::Index(i), reserved_slots, previous)
        });
        let service = source.service;
        let limits = &service.limits;
        let regions = regions.len();
        let previous =
            prior.map(|(_, state)| state).filter(|state| state.diffusers.len() == regions);
        let same_cap = previous.filter(|state| state.cap == service.shift);
        ServiceState {
            targets: targets.collect(),
            shares_by_origin: routing.shares_by_origin,
            failed_regions: routing.failed_regions,
            diffusers: previous.map_or_else(
                || (0..regions).map(|_| Diffuser::new(regions)).collect(),
                |state| Arc::clone(&state.diffusers),
            ),
            spills: same_cap.map_or_else(
                || (0..regions).map(|_| Spill::new(&service.shift)).collect(),
                |state| Arc::clone(&state.spills),
            ),
            cap: service.shift.clone(),
            retries: previous
                .map(|state| Arc::clone(&state.retries))
                .filter(|retries| retries.share() == limits.retries)
                .unwrap_or_else(|| Arc::new(request::retry::Budget::new(limits.retries))),
            hedges: previous
                .map(|state| Arc::clone(&state.hedges))
                .filter(|hedges| hedges.share() == limits.hedges)
                .unwrap_or_else(|| Arc::new(request::retry::Budget::full(limits.hedges))),
        }
    }
}

impl<W: Waiter> RegionTarget<W> {
    fn new(
        source: &ServiceInput<'_>,
        index: region::Index,
        reserved_slots: u32,
        previous: Option<&RegionTarget<W>>,
    ) -> RegionTarget<W> {
        let region = &source.document.regions[usize::from(index.0)];
        let pool = previous.map(|target| Arc::clone(&target.pool)).unwrap_or_default();
        let backpressure =
            previous.map(|target| Arc::clone(&target.backpressure)).unwrap_or_default();
        let is_in_region = |listed_server: &&&ListedServer| {
            source.document.zones[usize::from(listed_server.zone.0)].region == index
        };
        // Must precede the update, which grants slots to queued requests.
        pool.limiter().set_reserved(reserved_slots);
        update_pool(
            &pool,
            source.document,
            source.service,
            region,
            source.listed.iter().filter(is_in_region),
        );
        let dispatcher = dispatcher(source.service, &source.document.regions, index, source.hosts);
        RegionTarget { dispatcher, pool, backpressure }
    }
}

/// The hosts that callers are sent to. While the control daemon does not respond, this host is left
/// out if another host takes callers.
fn advertised_hosts(input: &Input) -> Vec<Host> {
    let is_other = |host: &&Host| host.name != input.own;
    let others: Vec<Host> = input.hosts.iter().filter(is_other).cloned().collect();
    let any_other_takes_callers = others.iter().any(Host::accepts_callers);
    if input.is_stale && any_other_takes_callers { others } else { input.hosts.clone() }
}

/// Replaces the servers of the pool by the listed ones; servers already in it keep their counters.
fn update_pool<'a, W: Waiter>(
    pool: &Pool<W>,
    document: &document::ValidatedDocument,
    service: &service::Service,
    region: &region::Region,
    listed: impl Iterator<Item = &'a &'a ListedServer>,
) {
    let known = pool.servers();
    let servers: Vec<Arc<Server>> = listed
        .map(|listed_server| {
            let is_same_server = |server: &&Arc<Server>| {
                server.identity == listed_server.identity && server.slots() == service.slots
            };
            let server = known.iter().find(is_same_server).cloned().unwrap_or_else(|| {
                let identity = listed_server.identity.clone();
                let zone = listed_server.zone;
                let region = document.zones[usize::from(zone.0)].region;
                let location = Location { zone, region };
                Arc::new(Server::new(identity, listed_server.address, location, service.slots))
            });
            if listed_server.leaving || is_drained(document, listed_server) {
                server.mark_leaving();
            }
            server
        })
        .collect();
    let live = servers.iter().filter(|server| !server.is_leaving()).count();
    pool.update(servers, service.ceiling(region, u32::try_from(live).unwrap_or(u32::MAX)));
}

fn is_drained(document: &document::ValidatedDocument, listed_server: &ListedServer) -> bool {
    document.drains.zones.contains(&listed_server.zone)
        || document.drains.servers.contains(&listed_server.identity.name)
}

/// The position in `hosts` of the dispatcher of a service in a region: the first by rank among the
/// dispatching hosts of the region, or among all dispatching hosts if the region has none.
pub fn dispatcher(
    service: &service::Service,
    regions: &[region::Region],
    index: region::Index,
    hosts: &[Host],
) -> Option<usize> {
    let region = regions.get(usize::from(index.0))?;
    let subject = format!("{}/{}", service.name, region.name);
    let is_dispatching = |host: &&(usize, &Host)| host.1.dispatches();
    let numbered: Vec<(usize, &Host)> = hosts.iter().enumerate().collect();
    let local_hosts =
        numbered.iter().filter(is_dispatching).filter(|(_, host)| host.region == index);
    let in_region = rank::highest(local_hosts, &subject, |(_, host)| host.name.as_str());
    let in_any_region = || {
        rank::highest(numbered.iter().filter(is_dispatching), &subject, |(_, host)| {
            host.name.as_str()
        })
    };
    in_region.or_else(in_any_region).map(|(position, _)| *position)
}

/// The part of a link's bandwidth that requests of all hosts together may use, in percent.
const LINK_REQUESTS_PERCENT: u64 = 25;

/// The part of a link's bandwidth that answers may use, in percent. The remainder is a reserve for
/// times when hosts disagree on how many of them share the link.
const LINK_ANSWERS_PERCENT: u64 = 65;

/// Builds this host's budgets for the links from its region: each link's bandwidth is divided
/// evenly among the hosts of the region. A budget whose rate did not change is carried over with
/// what has been spent of it.
fn links<W: Waiter>(
    document: &document::ValidatedDocument,
    hosts: &[Host],
    own: &entry::Name,
    prior: Option<&Snapshot<W>>,
) -> Arc<Links> {
    let Some(own) = hosts.iter().find(|host| host.name == *own) else {
        return Arc::new(Links { rates: Vec::new(), links: Map::default() });
    };
    let local_hosts =
        hosts.iter().filter(|host| host.region == own.region && host.state != State::Gone);
    let local_host_count = local_hosts.count().max(1) as u64;
    let rates: Vec<(region::Index, u64)> = document
        .links
        .iter()
        .filter_map(|link| {
            Some((link.other_end(own.region)?, link.bytes_per_second / local_host_count))
        })
        .collect();
    let prior = prior.map(|prior| &prior.links);
    if let Some(prior) = prior.filter(|prior| prior.rates == rates) {
        return Arc::clone(prior);
    }
    let links = rates.iter().map(|(to, rate)| {
        let previous = prior.filter(|prior| prior.rates.contains(&(*to, *rate)));
        let previous = previous.and_then(|prior| prior.links.get(to)).cloned();
        let part = |percent| region::Budget::new(rate * percent / 100);
        let link = previous.unwrap_or_else(|| {
            Arc::new(Link {
                requests: part(LINK_REQUESTS_PERCENT),
                answers: part(LINK_ANSWERS_PERCENT),
            })
        });
        (*to, link)
    });
    Arc::new(Links { links: links.collect(), rates })
}
