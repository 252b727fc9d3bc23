//! Shares in force on this host, and the inputs by which they move: the statements and loads of
//! peers and the shares recorded in the platform's table. The rules are in [`oleanderspan::shift`]
//! and [`oleanderspan::region`].

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

/// Maximum age of a load that still counts as a measurement.
const MAX_MEASUREMENT_AGE: Duration = Duration::from_secs(4);

/// Maximum age of a host's report of requests in flight; after it they count as ended.
const MAX_IN_FLIGHT_AGE: Duration = Duration::from_millis(4_500);

/// Shares in force, and the state by which they move.
#[derive(Debug)]
pub struct Shares {
    controller: Controller,
    is_moving: bool,
    own_loads: Vec<wire::Load>,
    loads: Map<String, LoadReport>,
    outages: Map<ServiceRegion, OutageDetector>,
    handovers: Map<ServiceRegion, Handover>,
}

/// The latest loads reported by a host.
#[derive(Debug)]
struct LoadReport {
    loads: Vec<wire::Load>,
    received_at: Instant,
}

/// A service in a region, by their names.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ServiceRegion {
    service: oleanderspan::service::Name,
    region: region::Name,
}

/// Routing data of a snapshot. Each field has one entry for each service of the document.
#[derive(Clone, Debug, Default)]
pub struct Routing {
    /// Shares in force in parts per million, by region of the caller and region.
    pub shares: Vec<Vec<Vec<u32>>>,
    /// Whether each region has failed.
    pub failed: Vec<Vec<bool>>,
    /// Slots that this host must leave free for requests of other dispatchers, by region;
    /// [`u32::MAX`] while it waits for a handover.
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
    /// Whether shares are in force, and [`PEER_WAIT`] has passed, in which the host learns from its
    /// peers which of them dispatch.
    pub fn is_ready(&self, now: Instant) -> bool {
        self.controller.is_in_force() && now.since(Instant::ZERO) >= PEER_WAIT
    }

    /// The shares in force in the form sent to other hosts; `None` if there are none to send.
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
            document,
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
                let dispatcher = snapshot::dispatcher(service, &document.regions, index, hosts);
                let is_dispatcher =
                    dispatcher.is_some_and(|dispatcher| hosts[dispatcher].name == own.name);
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

    /// Whether each region has failed, by service: it has then been unable to serve for the
    /// confirmation period of [`OutageDetector`].
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

    /// Dispatch claims of other hosts on a service in a region.
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

    /// Least headroom that the dispatching hosts have recently measured for a service in a region.
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

/// Section of an exchange with the shares and loads of this host.
pub fn section(state: &State) -> wire::Distribution {
    let inner = state.lock();
    wire::Distribution { shares: inner.shares.message(), loads: inner.shares.own_loads.clone() }
}

/// Records the shares and loads that a peer reported.
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

/// Records the loads that the entry daemon of this host measured.
pub fn record_own_loads(state: &State, loads: Vec<wire::Load>) {
    let now = state.clock.now();
    let own = state.settings.host.name.to_string();
    let mut inner = state.lock();
    inner.shares.own_loads.clone_from(&loads);
    inner.shares.loads.insert(own, LoadReport { loads, received_at: now });
}

/// Moves the shares and returns the routing data for a snapshot; `None` while no shares are in
/// force or the document lacks the zone of this host.
pub fn advance(
    inner: &mut Inner,
    accepted: &Accepted,
    own: &entry::Name,
    hosts: &[wire::Host],
    now: Instant,
) -> Option<Routing> {
    let document = &*accepted.document;
    let hosts: Vec<Host> =
        hosts.iter().filter_map(|host| feed::resolve_host(host, document)).collect();
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

/// Records an event when shares begin or cease to move.
pub fn record_moving(state: &State, was_moving: bool) {
    let is_moving = state.lock().shares.is_moving;
    if is_moving != was_moving {
        state.record(Kind::ShareMoved, "", if is_moving { "moving" } else { "at rest" });
    }
}

/// Whether shares are in force on this host.
pub fn are_in_force(state: &State) -> bool {
    state.lock().shares.controller.is_in_force()
}

/// Whether shares moved at the last update.
pub fn is_moving(state: &State) -> bool {
    state.lock().shares.is_moving
}
