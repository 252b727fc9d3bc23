//! Shares in force on this host: what peers and the platform's table say, and what they need to
//! know to move. The rules are those of [`oleanderspan::shift`] and [`oleanderspan::region`].

mod record;
mod sight;

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
const FRESH: Duration = Duration::from_secs(4);

/// The age above which the requests in flight that a host told of count as ended.
const ENDED: Duration = Duration::from_millis(4_500);

/// Shares in force, and what moves them.
#[derive(Debug)]
pub struct Shares {
    board: Controller,
    moving: bool,
    own_loads: Vec<wire::Load>,
    loads: Map<String, Heard>,
    outages: Map<Place, OutageDetector>,
    handovers: Map<Place, Handover>,
}

/// The loads that a host told of.
#[derive(Debug)]
struct Heard {
    loads: Vec<wire::Load>,
    at: Instant,
}

/// A service and a region by name.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Place {
    service: oleanderspan::service::Name,
    region: region::Name,
}

/// What a snapshot holds of shares; one entry for each service of the document.
#[derive(Clone, Debug, Default)]
pub struct Moves {
    /// Shares in force by region of the caller and region.
    pub shares: Vec<Vec<Vec<u32>>>,
    /// Failed regions.
    pub failed: Vec<Vec<bool>>,
    /// Places to leave free, by region.
    pub withheld: Vec<Vec<u32>>,
}

impl Default for Shares {
    fn default() -> Shares {
        Shares {
            board: Controller::new(Instant::ZERO),
            moving: false,
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
        self.board.is_in_force() && now.since(Instant::ZERO) >= PEER_WAIT
    }

    /// The shares in force as other hosts are told of them.
    pub fn message(&self) -> Option<wire::Shares> {
        self.board.statement().as_ref().map(wire::Shares::from)
    }

    fn advance(
        &mut self,
        inner: &Inner,
        accepted: &Accepted,
        able: &[Vec<bool>],
        own: &Host,
        hosts: &[Host],
        now: Instant,
    ) -> Option<Moves> {
        let draft = &*accepted.draft;
        self.loads.retain(|_, heard| now.since(heard.at) < ENDED);
        let places: Vec<Vec<Place>> =
            draft.services.iter().map(|service| places(service, draft)).collect();
        let failed = self.failed(&places, able, now);
        let headroom: Vec<Vec<Headroom>> = places
            .iter()
            .map(|places| places.iter().map(|place| self.headroom(place, now)).collect())
            .collect();
        let view = Inputs {
            version: accepted.version,
            draft,
            own: own.region,
            failed: &failed,
            headroom: &headroom,
        };
        self.moving = self.board.tick(&view, now);
        if !self.board.is_in_force() {
            return None;
        }
        let servers = sight::live_servers(inner, draft);
        let services = draft.services.iter().zip(&places);
        let withheld = services.map(|(service, places)| {
            let live = |region| servers.get(&(service.name.as_str(), region)).copied();
            let regions = (0u16..).map(region::Index).zip(places).zip(&draft.regions);
            let withheld = regions.map(|((index, place), region)| {
                let first = snapshot::dispatcher(service, &draft.regions, index, hosts);
                let is_own = first.is_some_and(|first| hosts[first].name == own.name);
                let ceiling = service.ceiling(region, live(index).unwrap_or(0));
                let claims = self.claims(place, own, hosts, now);
                self.hand_over(place, is_own, &claims, now).reserved_slots(&claims, ceiling)
            });
            withheld.collect()
        });
        let withheld = withheld.collect();
        let vectors = |service: &Service| {
            let vectors = self.board.vectors(&service.name);
            vectors.iter().map(|vector| vector.shares().to_vec()).collect()
        };
        Some(Moves { shares: draft.services.iter().map(vectors).collect(), failed, withheld })
    }

    fn hand_over(
        &mut self,
        place: &Place,
        is_own: bool,
        claims: &[DispatchClaim],
        now: Instant,
    ) -> Handover {
        let before = self.handovers.get(place).copied().unwrap_or(Handover::Remote);
        let next = before.next(is_own, claims, now);
        self.handovers.insert(place.clone(), next);
        next
    }

    /// Regions that could serve none for a while.
    fn failed(
        &mut self,
        places: &[Vec<Place>],
        able: &[Vec<bool>],
        now: Instant,
    ) -> Vec<Vec<bool>> {
        let services = places.iter().zip(able).map(|(places, able)| {
            let regions = places.iter().zip(able).map(|(place, able)| {
                self.outages.entry(place.clone()).or_default().observe(*able, now)
            });
            regions.collect()
        });
        services.collect()
    }

    /// Claims of other hosts on a service in a region.
    fn claims(
        &self,
        place: &Place,
        own: &Host,
        hosts: &[Host],
        now: Instant,
    ) -> Vec<DispatchClaim> {
        let is_recent = |(host, heard): &(&String, &Heard)| {
            own.name.as_str() != *host && now.since(heard.at) < ENDED
        };
        let recent = self.loads.iter().filter(is_recent);
        let claim = |(host, heard): (&String, &Heard)| {
            let load = heard.loads.iter().find(|load| is_at(load, place))?;
            let is_seen = hosts.iter().any(|seen| seen.name.as_str() == host);
            Some(DispatchClaim {
                in_flight: load.in_flight,
                dispatches: load.dispatches && is_seen,
            })
        };
        recent.filter_map(claim).collect()
    }

    /// What the dispatching hosts last measured for a service in a region; the worst counts.
    fn headroom(&self, place: &Place, now: Instant) -> Headroom {
        let fresh = self.loads.values().filter(|heard| now.since(heard.at) < FRESH);
        let loads = fresh.flat_map(|heard| &heard.loads);
        let measured = loads.filter(|load| load.dispatches && is_at(load, place)).map(|load| {
            let load = Load { in_flight: load.in_flight, limit: load.limit, queued: load.queued };
            load.headroom()
        });
        measured.max().unwrap_or(Headroom::Unknown)
    }
}

fn is_at(load: &wire::Load, place: &Place) -> bool {
    load.service == place.service.as_str() && load.region == place.region.as_str()
}

/// What this host says of its shares and loads.
pub fn section(state: &State) -> wire::Distribution {
    let inner = state.lock();
    wire::Distribution { shares: inner.shares.message(), loads: inner.shares.own_loads.clone() }
}

/// Takes note of what a peer said of its shares and loads.
pub fn take_over(state: &State, from: &wire::Host, heard: &wire::Distribution) {
    let now = state.clock.now();
    let name = entry::Name::try_from(from.name.as_str());
    let statement = heard.shares.as_ref().map(Statement::try_from);
    let mut inner = state.lock();
    if let (Ok(name), Some(Ok(statement))) = (name, statement) {
        inner.shares.board.record_peer(name, statement, now);
    }
    let loads = Heard { loads: heard.loads.clone(), at: now };
    inner.shares.loads.insert(from.name.clone(), loads);
}

/// Takes note of what the own entry daemon counts in flight.
pub fn note_own_loads(state: &State, loads: Vec<wire::Load>) {
    let now = state.clock.now();
    let own = state.settings.host.name.to_string();
    let mut inner = state.lock();
    inner.shares.own_loads.clone_from(&loads);
    inner.shares.loads.insert(own, Heard { loads, at: now });
}

/// Moves shares and finds what a snapshot has to say of them; `None` while nothing is in force.
pub fn advance(
    inner: &mut Inner,
    accepted: &Accepted,
    own: &entry::Name,
    hosts: &[wire::Host],
    now: Instant,
) -> Option<Moves> {
    let draft = &*accepted.draft;
    let hosts: Vec<Host> =
        hosts.iter().filter_map(|host| feed::resolve_host(host, draft)).collect();
    let own = hosts.iter().find(|host| host.name == *own)?;
    let able = sight::able(inner, draft, own, &hosts, now);
    let mut shares = std::mem::take(&mut inner.shares);
    let moves = shares.advance(inner, accepted, &able, own, &hosts, now);
    inner.shares = shares;
    moves
}

fn places(service: &Service, draft: &ValidatedDocument) -> Vec<Place> {
    let place = |region: &region::Region| Place {
        service: service.name.clone(),
        region: region.name.clone(),
    };
    draft.regions.iter().map(place).collect()
}

/// Records in the time line that shares began or ceased to move.
pub fn note_moves(state: &State, was_moving: bool) {
    let is_moving = state.lock().shares.moving;
    if is_moving != was_moving {
        state.record(Kind::ShareMoved, "", if is_moving { "moving" } else { "at rest" });
    }
}

/// Whether shares are in force.
pub fn are_in_force(state: &State) -> bool {
    state.lock().shares.board.is_in_force()
}

/// Whether shares moved at the last look.
pub fn is_moving(state: &State) -> bool {
    state.lock().shares.moving
}
