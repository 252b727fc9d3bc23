//! Shares in force on this host: what peers and the platform's table say, and what they need to
//! know to move. The rules are those of [`oleanderspan::shift`] and [`oleanderspan::region`].

mod record;
mod region_health;

pub use record::record;

use crate::{
    control::{
        State,
        state::{Accepted, Inner},
    },
    entry::feed,
    wire,
};
use oleanderspan::{
    document::ValidatedDocument,
    entry::{self, Host},
    event::Kind,
    prelude::*,
    region::{self, Handover, Headroom, Load, OutageDetector, handover::DispatchClaim},
    service::Service,
    shift::{
        Controller, Statement,
        controller::{Inputs, PEER_WAIT},
    },
    snapshot,
};

/// The age above which a load no longer counts as a measurement.
const MAX_MEASUREMENT_AGE: Duration = Duration::from_secs(4);

/// The age above which the requests in flight that a host told of count as ended.
const MAX_IN_FLIGHT_AGE: Duration = Duration::from_millis(4_500);

/// Shares in force, and what moves them.
#[derive(Debug)]
pub struct Shares {
    controller: Controller,
    is_moving: bool,
    own_loads: Vec<wire::Load>,
    loads: Map<String, LoadReport>,
    outages: Map<ServiceRegion, OutageDetector>,
    handovers: Map<ServiceRegion, Handover>,
}

/// The loads that a host told of.
#[derive(Debug)]
struct LoadReport {
    loads: Vec<wire::Load>,
    received_at: Instant,
}

/// A service and a region by name.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ServiceRegion {
    service: oleanderspan::service::Name,
    region: region::Name,
}

/// What a snapshot holds of shares; one entry for each service of the document.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// Shares in force by region of the caller and region.
    pub shares: Vec<Vec<Vec<u32>>>,
    /// Failed regions.
    pub failed: Vec<Vec<bool>>,
    /// Places to leave free, by region.
    pub reserved_slots: Vec<Vec<u32>>,
}

impl Default for Shares {
    fn default() -> Shares {
        Shares {
            controller: Controller::new(Instant::ZERO),
            is_moving: false,
            own_loads: Vec::new(),
            loads: Map::default(),
            outages: Map::default(),
            handovers: Map::default(),
        }
    }
}

impl Shares {
    /// Whether shares are in force, and the host has had the time to hear who dispatches.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.controller.is_in_force() && now.since(Instant::ZERO) >= PEER_WAIT
    }

    /// The shares in force as other hosts are told of them.
    pub fn message(&self) -> Option<wire::Shares> {
        self.controller.statement().as_ref().map(wire::Shares::from)
    }

    fn advance(
        &mut self,
        inner: &Inner,
        accepted: &Accepted,
        can_serve: &[Vec<bool>],
        own: &Host,
        hosts: &[Host],
        now: Instant,
    ) -> Option<Routing> {
        let document = &*accepted.document;
        self.loads.retain(|_, report| now.since(report.received_at) < MAX_IN_FLIGHT_AGE);
        let service_regions: Vec<Vec<ServiceRegion>> =
            document.services.iter().map(|service| service_regions(service, document)).collect();
        let failed = self.failed(&service_regions, can_serve, now);
        let headroom: Vec<Vec<Headroom>> = service_regions
            .iter()
            .map(|service_regions| {
                service_regions
                    .iter()
                    .map(|service_region| self.headroom(service_region, now))
                    .collect()
            })
            .collect();
        let inputs = Inputs {
            version: accepted.version,
            draft: document,
            own: own.region,
            failed: &failed,
            headroom: &headroom,
        };
        self.is_moving = self.controller.tick(&inputs, now);
        if !self.controller.is_in_force() {
            return None;
        }
        let servers = region_health::live_servers(inner, document);
        let services = document.services.iter().zip(&service_regions);
        let reserved_slots = services.map(|(service, service_regions)| {
            let live = |region| servers.get(&(service.name.as_str(), region)).copied();
            let regions = (0u16..).map(region::Index).zip(service_regions).zip(&document.regions);
            let reserved_slots = regions.map(|((index, service_region), region)| {
                let dispatcher_index =
                    snapshot::dispatcher(service, &document.regions, index, hosts);
                let is_dispatcher = dispatcher_index
                    .is_some_and(|dispatcher_index| hosts[dispatcher_index].name == own.name);
                let ceiling = service.ceiling(region, live(index).unwrap_or(0));
                let claims = self.claims(service_region, own, hosts, now);
                self.next_handover(service_region, is_dispatcher, &claims, now)
                    .reserved_slots(&claims, ceiling)
            });
            reserved_slots.collect()
        });
        let reserved_slots = reserved_slots.collect();
        let vectors = |service: &Service| {
            let vectors = self.controller.vectors(&service.name);
            vectors.iter().map(|vector| vector.shares().to_vec()).collect()
        };
        Some(Routing {
            shares: document.services.iter().map(vectors).collect(),
            failed,
            reserved_slots,
        })
    }

    fn next_handover(
        &mut self,
        service_region: &ServiceRegion,
        is_dispatcher: bool,
        claims: &[DispatchClaim],
        now: Instant,
    ) -> Handover {
        let previous = self.handovers.get(service_region).copied().unwrap_or(Handover::Remote);
        let next = previous.next(is_dispatcher, claims, now);
        self.handovers.insert(service_region.clone(), next);
        next
    }

    /// Regions that could serve none for a while.
    fn failed(
        &mut self,
        service_regions: &[Vec<ServiceRegion>],
        can_serve: &[Vec<bool>],
        now: Instant,
    ) -> Vec<Vec<bool>> {
        let services = service_regions.iter().zip(can_serve).map(|(service_regions, can_serve)| {
            let regions =
                service_regions.iter().zip(can_serve).map(|(service_region, can_serve)| {
                    self.outages.entry(service_region.clone()).or_default().observe(*can_serve, now)
                });
            regions.collect()
        });
        services.collect()
    }

    /// Claims of other hosts on a service in a region.
    fn claims(
        &self,
        service_region: &ServiceRegion,
        own: &Host,
        hosts: &[Host],
        now: Instant,
    ) -> Vec<DispatchClaim> {
        let is_recent = |(host, report): &(&String, &LoadReport)| {
            own.name.as_str() != *host && now.since(report.received_at) < MAX_IN_FLIGHT_AGE
        };
        let recent = self.loads.iter().filter(is_recent);
        let claim = |(host, report): (&String, &LoadReport)| {
            let load = report.loads.iter().find(|load| is_at(load, service_region))?;
            let is_seen = hosts.iter().any(|seen| seen.name.as_str() == host);
            Some(DispatchClaim {
                in_flight: load.in_flight,
                dispatches: load.dispatches && is_seen,
            })
        };
        recent.filter_map(claim).collect()
    }

    /// What the dispatching hosts last measured for a service in a region; the worst counts.
    fn headroom(&self, service_region: &ServiceRegion, now: Instant) -> Headroom {
        let recent = self
            .loads
            .values()
            .filter(|report| now.since(report.received_at) < MAX_MEASUREMENT_AGE);
        let loads = recent.flat_map(|report| &report.loads);
        let measured =
            loads.filter(|load| load.dispatches && is_at(load, service_region)).map(|load| {
                let load =
                    Load { in_flight: load.in_flight, limit: load.limit, queued: load.queued };
                load.headroom()
            });
        measured.max().unwrap_or(Headroom::Unknown)
    }
}

fn is_at(load: &wire::Load, service_region: &ServiceRegion) -> bool {
    load.service == service_region.service.as_str() && load.region == service_region.region.as_str()
}

/// What this host says of its shares and loads.
pub fn section(state: &State) -> wire::Distribution {
    let inner = state.lock();
    wire::Distribution { shares: inner.shares.message(), loads: inner.shares.own_loads.clone() }
}

/// Takes note of what a peer said of its shares and loads.
pub fn apply(state: &State, from: &wire::Host, report: &wire::Distribution) {
    let now = state.clock.now();
    let name = entry::Name::try_from(from.name.as_str());
    let statement = report.shares.as_ref().map(Statement::try_from);
    let mut inner = state.lock();
    if let (Ok(name), Some(Ok(statement))) = (name, statement) {
        inner.shares.controller.record_peer(name, statement, now);
    }
    let loads = LoadReport { loads: report.loads.clone(), received_at: now };
    inner.shares.loads.insert(from.name.clone(), loads);
}

/// Takes note of what the own entry daemon counts in flight.
pub fn record_own_loads(state: &State, loads: Vec<wire::Load>) {
    let now = state.clock.now();
    let own = state.settings.host.name.to_string();
    let mut inner = state.lock();
    inner.shares.own_loads.clone_from(&loads);
    inner.shares.loads.insert(own, LoadReport { loads, received_at: now });
}

/// Moves shares and finds what a snapshot has to say of them; `None` while nothing is in force.
pub fn advance(
    inner: &mut Inner,
    accepted: &Accepted,
    own: &entry::Name,
    hosts: &[wire::Host],
    now: Instant,
) -> Option<Routing> {
    let document = &*accepted.document;
    let hosts: Vec<Host> = hosts.iter().filter_map(|host| feed::resolve(host, document)).collect();
    let own = hosts.iter().find(|host| host.name == *own)?;
    let can_serve = region_health::can_serve(inner, document, own, &hosts, now);
    let mut shares = std::mem::take(&mut inner.shares);
    let routing = shares.advance(inner, accepted, &can_serve, own, &hosts, now);
    inner.shares = shares;
    routing
}

fn service_regions(service: &Service, document: &ValidatedDocument) -> Vec<ServiceRegion> {
    let service_region = |region: &region::Region| ServiceRegion {
        service: service.name.clone(),
        region: region.name.clone(),
    };
    document.regions.iter().map(service_region).collect()
}

/// Records in the time line that shares began or ceased to move.
pub fn record_moving(state: &State, was_moving: bool) {
    let is_moving = state.lock().shares.is_moving;
    if is_moving != was_moving {
        state.record(Kind::ShareMoved, "", if is_moving { "moving" } else { "at rest" });
    }
}

/// Whether shares are in force.
pub fn are_in_force(state: &State) -> bool {
    state.lock().shares.controller.is_in_force()
}

/// Whether shares moved at the last look.
pub fn is_moving(state: &State) -> bool {
    state.lock().shares.is_moving
}
