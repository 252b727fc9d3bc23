//! All shares in force on this host: how it learns them, keeps them and moves them.
//!
//! A host that has just started, or that was paused for so long that its callers have left,
//! never takes the target: it takes what its peers have in force, or else what was recorded.

use crate::{
    document::{self, Draft},
    entry,
    prelude::*,
    region::{self, Headroom},
    service::{self, Service},
    shift::{
        ServiceShares, ServiceStatement, Statement, Vector,
        service_shares::{Conditions, PeerShares},
    },
};

/// The silence after which callers are no longer sent to a host.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// What is added to the time in which callers leave a silent host, for clocks and exchanges.
const CALLER_DEPARTURE_MARGIN: Duration = Duration::from_secs(1);

/// How long a host that has nothing in force listens to peers before it looks further.
pub const PEER_WAIT: Duration = Duration::from_millis(1_500);

/// All shares in force on this host.
#[derive(Clone, Debug)]
pub struct Controller {
    own: Option<region::Name>,
    regions: Vec<region::Name>,
    services: Map<service::Name, ServiceShares>,
    phase: Phase,
    peers: Map<entry::Name, PeerStatement>,
    recorded: Recorded,
    ticked_at: Instant,
}

/// What the platform's table is known to have recorded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// The table has not answered yet.
    Unknown,
    /// Nothing was ever recorded.
    Nothing,
    /// These shares were in force.
    Shares(Statement),
}

/// What is in force, and what is known of regions; one entry for each service of the document.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// The version in force.
    pub version: document::Version,
    /// The document in force.
    pub draft: &'a Draft,
    /// The region of this host.
    pub own: region::Index,
    /// Failed regions by service.
    pub failed: &'a [Vec<bool>],
    /// The headroom of regions by service.
    pub headroom: &'a [Vec<Headroom>],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Nothing is in force since this point; plans of an earlier time may be left.
    Learning { since: Instant },
    /// The plans are in force.
    InForce,
}

#[derive(Clone, Debug)]
struct PeerStatement {
    statement: Statement,
    at: Instant,
}

impl Controller {
    /// The board of a host that starts now.
    pub fn new(now: Instant) -> Controller {
        Controller {
            own: None,
            regions: Vec::new(),
            services: Map::default(),
            phase: Phase::Learning { since: now },
            peers: Map::default(),
            recorded: Recorded::Unknown,
            ticked_at: now,
        }
    }

    /// Whether shares are in force, so that the host may take callers.
    pub fn is_in_force(&self) -> bool {
        self.phase == Phase::InForce
    }

    /// Takes note of what another host has in force.
    pub fn record_peer(&mut self, host: entry::Name, statement: Statement, now: Instant) {
        self.peers.insert(host, PeerStatement { statement, at: now });
    }

    /// Takes note of what the platform's table has recorded.
    pub fn set_recorded(&mut self, recorded: Recorded) {
        self.recorded = recorded;
    }

    /// What the platform's table is known to have recorded.
    pub fn recorded(&self) -> &Recorded {
        &self.recorded
    }

    /// All shares in force, or `None` while the host learns them.
    pub fn statement(&self) -> Option<Statement> {
        let region = self.own.clone().filter(|_| self.is_in_force())?;
        let stated = |(service, shares): (&service::Name, &ServiceShares)| {
            ServiceStatement::new(service, &self.regions, shares.shares())
        };
        let mut services: Vec<ServiceStatement> = self.services.iter().map(stated).collect();
        services.sort_by(|a, b| a.service.cmp(&b.service));
        Some(Statement { region, services })
    }

    /// The shares of a service in force, by the region of the caller.
    pub fn vectors(&self, service: &service::Name) -> Vec<Vector> {
        let shares = self.services.get(service);
        shares.into_iter().flat_map(ServiceShares::shares).cloned().collect()
    }

    /// Learns or moves shares; true if any moved or came into force.
    pub fn tick(&mut self, inputs: &Inputs<'_>, now: Instant) -> bool {
        let caller_departure = SILENCE_TIMEOUT + inputs.draft.locate.max_age;
        if self.is_in_force() && now.since(self.ticked_at) > caller_departure {
            // Callers have left this host meanwhile, and peers moved on without it.
            self.phase = Phase::Learning { since: now };
            self.peers.clear();
        }
        self.ticked_at = now;
        self.own = inputs.draft.regions.get(usize::from(inputs.own.0)).map(|own| own.name.clone());
        self.peers
            .retain(|_, peer| now.since(peer.at) <= caller_departure + CALLER_DEPARTURE_MARGIN);
        let mut has_changed = false;
        if let Phase::Learning { since } = self.phase {
            if !self.adopt_shares(inputs, since, now) {
                return false;
            }
            has_changed = true;
        }
        self.follow_document(inputs, now);
        let reports = self.peer_shares(inputs);
        for (position, service) in inputs.draft.services.iter().enumerate() {
            let conditions = Conditions {
                failed: &inputs.failed[position],
                headroom: &inputs.headroom[position],
                peers: &reports[position],
            };
            if let Some(shares) = self.services.get_mut(&service.name) {
                has_changed |= shares.advance(service, conditions, now);
            }
        }
        has_changed
    }

    /// Takes over the shares in force from the best source there is; false if there is none yet.
    fn adopt_shares(&mut self, inputs: &Inputs<'_>, since: Instant, now: Instant) -> bool {
        let near =
            |peer: &&PeerStatement| (Some(&peer.statement.region) == self.own.as_ref(), peer.at);
        let peer = self.peers.values().max_by_key(near).map(|peer| peer.statement.clone());
        let statement = match (peer, &self.recorded) {
            (Some(statement), _) => Some(statement),
            (None, _) if now.since(since) < PEER_WAIT => return false,
            (None, _) if !self.services.is_empty() => None,
            (None, Recorded::Shares(statement)) => Some(statement.clone()),
            // Before the second document nothing but the routes of the first was in force.
            (None, Recorded::Unknown) if inputs.version > document::Version(1) => return false,
            (None, Recorded::Nothing | Recorded::Unknown) => None,
        };
        if let Some(statement) = statement {
            self.services.clear();
            self.regions = region_names(inputs.draft);
            for service in &inputs.draft.services {
                if let Some(stated) = statement.service(&service.name) {
                    let shares = ServiceShares::new(stated.vectors(inputs.draft, service), now);
                    self.services.insert(service.name.clone(), shares);
                }
            }
        }
        self.phase = Phase::InForce;
        true
    }

    /// Follows changes of regions and adds new services; a service that is gone keeps its plan,
    /// so that it does not jump if it comes back.
    fn follow_document(&mut self, inputs: &Inputs<'_>, now: Instant) {
        let regions = region_names(inputs.draft);
        let old = std::mem::replace(&mut self.regions, regions);
        for service in &inputs.draft.services {
            let vectors = match self.services.get(&service.name) {
                Some(_) if old == self.regions => continue,
                Some(shares) => ServiceStatement::new(&service.name, &old, shares.shares())
                    .vectors(inputs.draft, service),
                None => self.initial_vectors(inputs.draft, service),
            };
            self.services.insert(service.name.clone(), ServiceShares::new(vectors, now));
        }
        if old != self.regions {
            let known: Set<&service::Name> =
                inputs.draft.services.iter().map(|s| &s.name).collect();
            self.services.retain(|name, _| known.contains(name));
        }
    }

    /// The shares of a service that this host has not had: those of a peer, or its routes.
    fn initial_vectors(&self, draft: &Draft, service: &Service) -> Vec<Vector> {
        let stated = self.peers.values().find_map(|peer| peer.statement.service(&service.name));
        stated.map_or_else(|| service.routes.clone(), |stated| stated.vectors(draft, service))
    }

    /// What peers have in force, by service.
    fn peer_shares(&self, inputs: &Inputs<'_>) -> Vec<Vec<PeerShares>> {
        let by_service = inputs.draft.services.iter().map(|service| {
            let reports = self.peers.values().filter_map(|peer| {
                let region = region::find(&inputs.draft.regions, peer.statement.region.as_str())?;
                let stated = peer.statement.service(&service.name)?;
                Some(PeerShares { region, vectors: stated.vectors(inputs.draft, service) })
            });
            reports.collect()
        });
        by_service.collect()
    }
}

fn region_names(draft: &Draft) -> Vec<region::Name> {
    draft.regions.iter().map(|region| region.name.clone()).collect()
}
