//! What a request reads: one immutable snapshot of all that is in force on a host.
//!
//! A snapshot is built off the request path and published whole. Counts that requests change
//! live behind references that the next snapshot takes over, so that a new document neither
//! forgets requests in flight nor makes a request wait.

use crate::{
    backend::{self, Pool, Server, Waiter},
    caller, document,
    entry::{self, Answer, Directory, Host, host::State, rank},
    prelude::*,
    region, request, service,
    shift::{self, Diffuser, Spill},
};

/// A backend server as the platform lists it, resolved against the document.
#[derive(Clone, Debug)]
pub struct Listing {
    /// Which server this is.
    pub identity: backend::server::Identity,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// The service it runs.
    pub service: service::Index,
    /// The zone it is in.
    pub zone: crate::availability::Index,
    /// Whether any sign of leaving was seen.
    pub leaving: bool,
}

/// What a snapshot is built from.
#[derive(Clone, Debug)]
pub struct Input {
    /// The version in force.
    pub version: document::Version,
    /// The document in force.
    pub draft: Arc<document::Draft>,
    /// The index of its blocks.
    pub blocks: Arc<caller::Index>,
    /// Entry hosts that are not gone.
    pub hosts: Vec<Host>,
    /// Backend servers.
    pub servers: Vec<Listing>,
    /// What moves, by service.
    pub shares: Vec<Shares>,
    /// The name of this host.
    pub own: entry::Name,
    /// Whether the control daemon is silent, so that callers should rather use other hosts.
    pub is_stale: bool,
}

/// Where the requests of one service may go.
#[derive(Clone, Debug)]
pub struct Shares {
    /// Shares in force by the region of the caller.
    pub vectors: Vec<shift::Vector>,
    /// Regions that failed, by region index.
    pub failed: Vec<bool>,
    /// Places that this host must leave free where it dispatches, by region index.
    pub withheld: Vec<u32>,
}

/// The budgets of a link as this host may use them for requests that it sends on.
#[derive(Debug)]
pub struct Link {
    /// For requests, in the direction of the other region.
    pub requests: region::Budget,
    /// For their answers, in the other direction.
    pub answers: region::Budget,
}

/// All that is in force on a host; `W` is how the front end waits for a slot.
#[derive(Debug)]
pub struct Snapshot<W> {
    /// The version in force.
    pub version: document::Version,
    /// The document in force.
    pub draft: Arc<document::Draft>,
    /// Entry hosts that are not gone.
    pub hosts: Vec<Host>,
    blocks: Arc<caller::Index>,
    authorities: Map<Box<str>, service::Index>,
    answers: Box<[Answer]>,
    services: Box<[Row<W>]>,
    links: Arc<Links>,
    own: entry::Name,
}

/// The links from the region of this host, and what they were made from.
#[derive(Debug)]
struct Links {
    rates: Vec<(region::Index, u64)>,
    links: Map<region::Index, Arc<Link>>,
}

/// The moving parts of one service.
#[derive(Debug)]
struct Row<W> {
    vectors: Vec<shift::Vector>,
    failed: Vec<bool>,
    diffusers: Arc<[Diffuser]>,
    spills: Arc<[Spill]>,
    cap: shift::Cap,
    retries: Arc<request::retry::Budget>,
    hedges: Arc<request::retry::Budget>,
    targets: Box<[Target<W>]>,
}

/// One service in one region.
#[derive(Debug)]
struct Target<W> {
    dispatcher: Option<usize>,
    pool: Arc<Pool<W>>,
    pressure: Arc<region::Pressure>,
}

impl<W: Waiter> Snapshot<W> {
    /// Builds the snapshot that follows `prior`.
    pub fn new(input: Input, prior: Option<&Snapshot<W>>) -> Snapshot<W> {
        let advised = advised(&input);
        let draft = input.draft;
        let directory = Directory::new(&advised);
        let answers = draft.sites.iter().map(|site| directory.answer(site, &draft.locate));
        let services =
            (0u16..).zip(&draft.services).zip(input.shares).map(|((i, service), shares)| {
                let index = service::Index(i);
                let listed = input.servers.iter().filter(|server| server.service == index);
                let source = Source {
                    draft: &draft,
                    service,
                    hosts: &input.hosts,
                    listed: listed.collect(),
                };
                let prior =
                    prior.and_then(|prior| prior.row(&service.name).map(|row| (prior, row)));
                Row::new(&source, shares, prior)
            });
        let authorities = (0u16..).zip(&draft.services).flat_map(|(i, service)| {
            service.authorities.iter().map(move |a| (a.clone(), service::Index(i)))
        });
        Snapshot {
            version: input.version,
            answers: answers.collect(),
            services: services.collect(),
            authorities: authorities.collect(),
            links: links(&draft, &input.hosts, &input.own, prior),
            blocks: input.blocks,
            hosts: input.hosts,
            own: input.own,
            draft,
        }
    }

    /// The service of a request, by its authority without port.
    pub fn service(&self, authority: &str) -> Option<service::Index> {
        self.authorities.get(authority).copied()
    }

    /// A service by index.
    pub fn described(&self, service: service::Index) -> &service::Service {
        &self.draft.services[usize::from(service.0)]
    }

    /// The site of a caller.
    pub fn site(&self, address: IpAddr) -> Option<&caller::Site> {
        let index = self.blocks.site(address)?;
        self.draft.sites.get(usize::from(index.0))
    }

    /// The entry hosts for a caller, best first; callers outside all blocks belong to the site
    /// of the lowest name.
    pub fn locate(&self, address: IpAddr) -> Option<&Answer> {
        let index = self.blocks.site(address).unwrap_or(caller::SiteIndex(0));
        self.answers.get(usize::from(index.0))
    }

    /// The region that a caller belongs to; outside all blocks it is that of this host.
    pub fn origin(&self, address: IpAddr) -> region::Index {
        match self.site(address) {
            Some(site) => site.region,
            None => self.own_host().map_or(region::Index(0), |host| host.region),
        }
    }

    /// Chooses the region for the next request of `service` from callers of `origin`, or `None`
    /// if the caps let it go nowhere.
    pub fn next_region(
        &self,
        service: service::Index,
        origin: region::Index,
    ) -> Option<region::Index> {
        let row = &self.services[usize::from(service.0)];
        let origin = usize::from(origin.0);
        row.spills[origin].earn();
        row.diffusers[origin].next(&row.vectors[origin])
    }

    /// Chooses another region for a request that `refused` did not take, within the part of the
    /// cap that is left for that.
    pub fn spill_region(
        &self,
        service: service::Index,
        origin: region::Index,
        refused: Option<region::Index>,
        now: Instant,
    ) -> Option<region::Index> {
        let row = &self.services[usize::from(service.0)];
        let planned = &self.draft.services[usize::from(service.0)].instances;
        let able = (0u16..).map(region::Index).zip(planned).filter(|(region, planned)| {
            **planned > 0
                && Some(*region) != refused
                && !self.is_failed(service, *region)
                && !self.pressure(service, *region).is_high(now)
                && self.has_way(*region, now)
        });
        let (best, _) = able.max_by_key(|(_, planned)| **planned)?;
        row.spills[usize::from(origin.0)].try_spend().then_some(best)
    }

    /// Whether a region failed for a service, as far as this host knows.
    pub fn is_failed(&self, service: service::Index, region: region::Index) -> bool {
        let row = &self.services[usize::from(service.0)];
        row.failed.get(usize::from(region.0)).copied().unwrap_or(false)
    }

    /// When a region last refused requests of this host.
    pub fn pressure(&self, service: service::Index, region: region::Index) -> &region::Pressure {
        &self.target(service, region).pressure
    }

    /// Whether the link to a region has budget left; where the document has no link, it sets
    /// no budget.
    fn has_way(&self, region: region::Index, now: Instant) -> bool {
        let has_room = |link: &Arc<Link>| link.requests.has_room(now) && link.answers.has_room(now);
        self.link(region).is_none_or(has_room)
    }

    /// The host that dispatches for `service` in `region`.
    pub fn dispatcher(&self, service: service::Index, region: region::Index) -> Option<&Host> {
        self.hosts.get(self.target(service, region).dispatcher?)
    }

    /// The servers of `service` in `region`.
    pub fn pool(&self, service: service::Index, region: region::Index) -> &Arc<Pool<W>> {
        &self.target(service, region).pool
    }

    /// The pools that this host dispatches to, or did and still has waiters of.
    pub fn dispatched_pools(&self) -> impl Iterator<Item = &Arc<Pool<W>>> {
        let targets = self.services.iter().flat_map(|row| &row.targets);
        let dispatched = targets.filter(|target| {
            let dispatcher = target.dispatcher.and_then(|position| self.hosts.get(position));
            dispatcher.is_some_and(|host| self.is_own(host)) || target.pool.queued() > 0
        });
        dispatched.map(|target| &target.pool)
    }

    /// The budget of retries of a service.
    pub fn retries(&self, service: service::Index) -> &request::retry::Budget {
        &self.services[usize::from(service.0)].retries
    }

    /// The budget of hedged reads of a service.
    pub fn hedges(&self, service: service::Index) -> &request::retry::Budget {
        &self.services[usize::from(service.0)].hedges
    }

    /// The link from the region of this host to another, or `None` if there is none.
    pub fn link(&self, to: region::Index) -> Option<&Arc<Link>> {
        self.links.links.get(&to)
    }

    /// This host as the others see it.
    pub fn own_host(&self) -> Option<&Host> {
        self.hosts.iter().find(|host| host.name == self.own)
    }

    /// Whether `host` is this one.
    pub fn is_own(&self, host: &Host) -> bool {
        host.name == self.own
    }

    fn target(&self, service: service::Index, region: region::Index) -> &Target<W> {
        &self.services[usize::from(service.0)].targets[usize::from(region.0)]
    }

    fn row(&self, name: &service::Name) -> Option<&Row<W>> {
        let position = self.draft.services.iter().position(|service| service.name == *name)?;
        self.services.get(position)
    }
}

/// What the moving parts of a service are built from.
struct Source<'a> {
    draft: &'a document::Draft,
    service: &'a service::Service,
    hosts: &'a [Host],
    listed: Vec<&'a Listing>,
}

impl<W: Waiter> Row<W> {
    fn new(source: &Source<'_>, shares: Shares, prior: Option<(&Snapshot<W>, &Row<W>)>) -> Row<W> {
        let regions = &source.draft.regions;
        let targets = (0u16..).zip(regions).map(|(i, region)| {
            let kept = prior.and_then(|(prior, row)| {
                let position = region::find(&prior.draft.regions, region.name.as_str())?;
                row.targets.get(usize::from(position.0))
            });
            let withheld = shares.withheld.get(usize::from(i)).copied().unwrap_or(0);
            Target::new(source, region::Index(i), withheld, kept)
        });
        let service = source.service;
        let limits = &service.limits;
        let regions = regions.len();
        let kept = prior.map(|(_, row)| row).filter(|row| row.diffusers.len() == regions);
        let same_cap = kept.filter(|row| row.cap == service.shift);
        Row {
            targets: targets.collect(),
            vectors: shares.vectors,
            failed: shares.failed,
            diffusers: kept.map_or_else(
                || (0..regions).map(|_| Diffuser::new(regions)).collect(),
                |row| Arc::clone(&row.diffusers),
            ),
            spills: same_cap.map_or_else(
                || (0..regions).map(|_| Spill::new(&service.shift)).collect(),
                |row| Arc::clone(&row.spills),
            ),
            cap: service.shift.clone(),
            retries: kept
                .map(|row| Arc::clone(&row.retries))
                .filter(|retries| retries.share() == limits.retries)
                .unwrap_or_else(|| Arc::new(request::retry::Budget::new(limits.retries))),
            hedges: kept
                .map(|row| Arc::clone(&row.hedges))
                .filter(|hedges| hedges.share() == limits.hedges)
                .unwrap_or_else(|| Arc::new(request::retry::Budget::saved(limits.hedges))),
        }
    }
}

impl<W: Waiter> Target<W> {
    fn new(
        source: &Source<'_>,
        index: region::Index,
        withheld: u32,
        kept: Option<&Target<W>>,
    ) -> Target<W> {
        let region = &source.draft.regions[usize::from(index.0)];
        let pool = kept.map(|target| Arc::clone(&target.pool)).unwrap_or_default();
        let pressure = kept.map(|target| Arc::clone(&target.pressure)).unwrap_or_default();
        let here =
            |listing: &&&Listing| source.draft.zones[usize::from(listing.zone.0)].region == index;
        // Before the update, which lets waiters in.
        pool.gate().set_reported(withheld);
        refill(&pool, source.draft, source.service, region, source.listed.iter().filter(here));
        let dispatcher = dispatcher(source.service, &source.draft.regions, index, source.hosts);
        Target { dispatcher, pool, pressure }
    }
}

/// The hosts that callers are sent to: without this one while its control daemon is silent, if
/// there are others.
fn advised(input: &Input) -> Vec<Host> {
    let is_other = |host: &&Host| host.name != input.own;
    let others: Vec<Host> = input.hosts.iter().filter(is_other).cloned().collect();
    let has_other = others.iter().any(Host::accepts_callers);
    if input.is_stale && has_other { others } else { input.hosts.clone() }
}

/// Puts the listed servers into the pool; those that it knows keep their counts.
fn refill<'a, W: Waiter>(
    pool: &Pool<W>,
    draft: &document::Draft,
    service: &service::Service,
    region: &region::Region,
    listed: impl Iterator<Item = &'a &'a Listing>,
) {
    let known = pool.servers();
    let servers: Vec<Arc<Server>> = listed
        .map(|listing| {
            let same = |server: &&Arc<Server>| {
                server.identity == listing.identity && server.slots() == service.slots
            };
            let server = known.iter().find(same).cloned().unwrap_or_else(|| {
                let identity = listing.identity.clone();
                Arc::new(Server::new(identity, listing.address, listing.zone, service.slots))
            });
            if listing.leaving || is_drained(draft, listing) {
                server.mark_leaving();
            }
            server
        })
        .collect();
    let live = servers.iter().filter(|server| !server.is_leaving()).count();
    pool.update(servers, service.ceiling(region, u32::try_from(live).unwrap_or(u32::MAX)));
}

fn is_drained(draft: &document::Draft, listing: &Listing) -> bool {
    draft.drains.zones.contains(&listing.zone)
        || draft.drains.servers.contains(&listing.identity.name)
}

/// The position of the host that dispatches: the first by rank among those of the region, or
/// among all where the region has none.
pub fn dispatcher(
    service: &service::Service,
    regions: &[region::Region],
    index: region::Index,
    hosts: &[Host],
) -> Option<usize> {
    let region = regions.get(usize::from(index.0))?;
    let subject = format!("{}/{}", service.name, region.name);
    let able = |host: &&(usize, &Host)| host.1.dispatches();
    let numbered: Vec<(usize, &Host)> = hosts.iter().enumerate().collect();
    let near = numbered.iter().filter(able).filter(|(_, host)| host.region == index);
    let first = rank::highest(near, &subject, |(_, host)| host.name.as_str());
    let any =
        || rank::highest(numbered.iter().filter(able), &subject, |(_, host)| host.name.as_str());
    first.or_else(any).map(|(position, _)| *position)
}

/// The part of a link that requests of all hosts may use, in percent.
const REQUESTS_PERCENT: u64 = 25;

/// The part of a link that answers may use, in percent; the rest covers hosts that do not agree
/// how many of them there are.
const ANSWERS_PERCENT: u64 = 65;

/// The links from the region of this host, each divided by the hosts that are there; a link
/// whose part did not change keeps what it spent.
fn links<W: Waiter>(
    draft: &document::Draft,
    hosts: &[Host],
    own: &entry::Name,
    prior: Option<&Snapshot<W>>,
) -> Arc<Links> {
    let Some(own) = hosts.iter().find(|host| host.name == *own) else {
        return Arc::new(Links { rates: Vec::new(), links: Map::default() });
    };
    let near = hosts.iter().filter(|host| host.region == own.region && host.state != State::Gone);
    let near = near.count().max(1) as u64;
    let rates: Vec<(region::Index, u64)> = draft
        .links
        .iter()
        .filter_map(|link| Some((link.other_end(own.region)?, link.bytes_per_second / near)))
        .collect();
    let prior = prior.map(|prior| &prior.links);
    if let Some(prior) = prior.filter(|prior| prior.rates == rates) {
        return Arc::clone(prior);
    }
    let links = rates.iter().map(|(to, rate)| {
        let kept = prior.filter(|prior| prior.rates.contains(&(*to, *rate)));
        let kept = kept.and_then(|prior| prior.links.get(to)).cloned();
        let part = |percent| region::Budget::new(rate * percent / 100);
        let link = kept.unwrap_or_else(|| {
            Arc::new(Link { requests: part(REQUESTS_PERCENT), answers: part(ANSWERS_PERCENT) })
        });
        (*to, link)
    });
    Arc::new(Links { links: links.collect(), rates })
}
