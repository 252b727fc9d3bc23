//! What a request reads: one immutable snapshot of all that is in force on a host.
//!
//! A snapshot is built off the request path and published whole. Counts that requests change
//! live behind references that the next snapshot takes over, so that a new document neither
//! forgets requests in flight nor makes a request wait.

use crate::{
    backend::{self, Pool, Server, Waiter},
    caller, document,
    entry::{self, Answer, Host, rank},
    prelude::*,
    region, request, service,
    shift::{self, Diffuser},
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
    /// Shares in force by service and by the region of the caller.
    pub shares: Vec<Vec<shift::Vector>>,
    /// The name of this host.
    pub own: entry::Name,
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
    links: Map<(region::Index, region::Index), Arc<region::Budget>>,
    own: entry::Name,
}

/// The moving parts of one service.
#[derive(Debug)]
struct Row<W> {
    shares: Vec<shift::Vector>,
    diffusers: Arc<[Diffuser]>,
    retries: Arc<request::retry::Budget>,
    hedges: Arc<request::retry::Budget>,
    targets: Box<[Target<W>]>,
}

/// One service in one region.
#[derive(Debug)]
struct Target<W> {
    dispatcher: Option<usize>,
    pool: Arc<Pool<W>>,
}

impl<W: Waiter> Snapshot<W> {
    /// Builds the snapshot that follows `prior`.
    pub fn new(input: Input, prior: Option<&Snapshot<W>>) -> Snapshot<W> {
        let draft = input.draft;
        let answers = draft.sites.iter().map(|site| Answer::new(site, &input.hosts, &draft.locate));
        let services =
            (0u16..).zip(&draft.services).zip(input.shares).map(|((i, service), shares)| {
                let index = service::Index(i);
                let listed = input.servers.iter().filter(|server| server.service == index);
                let prior =
                    prior.and_then(|prior| prior.row(&service.name).map(|row| (prior, row)));
                Row::new(&draft, service, shares, &input.hosts, listed, prior)
            });
        let authorities = (0u16..).zip(&draft.services).flat_map(|(i, service)| {
            service.authorities.iter().map(move |a| (a.clone(), service::Index(i)))
        });
        Snapshot {
            version: input.version,
            answers: answers.collect(),
            services: services.collect(),
            authorities: authorities.collect(),
            links: links(&draft, prior),
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

    /// Chooses the region for the next request of `service` from callers of `origin`.
    pub fn next_region(&self, service: service::Index, origin: region::Index) -> region::Index {
        let row = &self.services[usize::from(service.0)];
        let origin = usize::from(origin.0);
        row.diffusers[origin].next(&row.shares[origin])
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

    /// The budget of the link between two regions, or `None` if they have no link.
    pub fn link(&self, from: region::Index, to: region::Index) -> Option<&region::Budget> {
        self.links.get(&(from, to)).map(Arc::as_ref)
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

impl<W: Waiter> Row<W> {
    fn new<'a>(
        draft: &document::Draft,
        service: &service::Service,
        shares: Vec<shift::Vector>,
        hosts: &[Host],
        listed: impl Iterator<Item = &'a Listing>,
        prior: Option<(&Snapshot<W>, &Row<W>)>,
    ) -> Row<W> {
        let listed: Vec<&Listing> = listed.collect();
        let regions = draft.regions.len();
        let targets = (0u16..).zip(&draft.regions).map(|(i, region)| {
            let kept = prior.and_then(|(prior, row)| {
                let position = region::find(&prior.draft.regions, region.name.as_str())?;
                Some(Arc::clone(&row.targets[usize::from(position.0)].pool))
            });
            let pool = kept.unwrap_or_default();
            let here = |listing: &&&Listing| {
                draft.zones[usize::from(listing.zone.0)].region == region::Index(i)
            };
            refill(&pool, draft, service, region, listed.iter().filter(here));
            Target { dispatcher: dispatcher(service, region, region::Index(i), hosts), pool }
        });
        let limits = &service.limits;
        let kept = prior.map(|(_, row)| row).filter(|row| row.diffusers.len() == regions);
        let budget = |share| Arc::new(request::retry::Budget::new(share));
        Row {
            targets: targets.collect(),
            shares,
            diffusers: kept.map_or_else(
                || (0..regions).map(|_| Diffuser::new(regions)).collect(),
                |row| Arc::clone(&row.diffusers),
            ),
            retries: kept.map_or_else(|| budget(limits.retries), |row| Arc::clone(&row.retries)),
            hedges: kept.map_or_else(|| budget(limits.hedges), |row| Arc::clone(&row.hedges)),
        }
    }
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
fn dispatcher(
    service: &service::Service,
    region: &region::Region,
    index: region::Index,
    hosts: &[Host],
) -> Option<usize> {
    let subject = format!("{}/{}", service.name, region.name);
    let able = |host: &&(usize, &Host)| host.1.dispatches();
    let numbered: Vec<(usize, &Host)> = hosts.iter().enumerate().collect();
    let near = numbered.iter().filter(able).filter(|(_, host)| host.region == index);
    let first = rank::first(near, &subject, |(_, host)| host.name.as_str());
    let any =
        || rank::first(numbered.iter().filter(able), &subject, |(_, host)| host.name.as_str());
    first.or_else(any).map(|(position, _)| *position)
}

/// The budgets of all links in both directions; a link that did not change keeps what it spent.
fn links<W: Waiter>(
    draft: &document::Draft,
    prior: Option<&Snapshot<W>>,
) -> Map<(region::Index, region::Index), Arc<region::Budget>> {
    let unchanged = prior.filter(|prior| {
        prior.draft.links == draft.links && prior.draft.regions.len() == draft.regions.len()
    });
    if let Some(prior) = unchanged {
        return prior.links.clone();
    }
    let both = draft.links.iter().flat_map(|link| {
        [(link.a, link.b), (link.b, link.a)].map(|ends| (ends, link.bytes_per_second))
    });
    both.map(|(ends, rate)| (ends, Arc::new(region::Budget::new(rate)))).collect()
}
