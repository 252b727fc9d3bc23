//! Controller of the shares in force on this host: it initializes, stores and moves them.
//!
//! A host that has just started, or was paused for so long that its callers have left, never jumps
//! to the target shares. It adopts the shares in force on its peers, or else the recorded ones.

use crate::{
    document::{self, ValidatedDocument},
    entry,
    prelude::*,
    region::{self, Headroom},
    service::{self, Service},
    shift::{
        ServiceShares, ServiceStatement, Statement, Vector,
        service_shares::{Conditions, PeerShares},
    },
};

/// Time without an answer after which callers are no longer directed to a host.
pub const SILENCE_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Allowance for clock differences and message exchange, added to the time that callers take to
/// leave a silent host.
const CALLER_DEPARTURE_MARGIN: Duration = Duration::from_secs(1);

/// How long a host without shares in force waits for those of a peer before it uses other sources.
pub const PEER_WAIT: Duration = Duration::from_millis(1_500);

/// The shares in force on this host, for all services.
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

/// The shares recorded in the platform's table, as far as known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Recorded {
    /// The table has not been read yet.
    Unknown,
    /// The table has no record.
    Nothing,
    /// The recorded shares.
    Shares(Statement),
}

/// Input of [`Controller::tick`]. The slices have one entry for each service of the document.
#[derive(Clone, Copy, Debug)]
pub struct Inputs<'a> {
    /// Version of the document in force.
    pub version: document::Version,
    /// Document in force.
    pub document: &'a ValidatedDocument,
    /// Region of this host.
    pub own: region::Index,
    /// Whether each region has failed, by service and region index.
    pub failed: &'a [Vec<bool>],
    /// Headroom of each region, by service and region index.
    pub headroom: &'a [Vec<Headroom>],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// No shares are in force since this time; shares from before may still be stored.
    Initializing { since: Instant },
    /// The stored shares are in force.
    InForce,
}

#[derive(Clone, Debug)]
struct PeerStatement {
    statement: Statement,
    at: Instant,
}

impl Controller {
    /// Creates the controller of a host that starts at `now`, without shares in force.
    pub fn new(now: Instant) -> Controller {
        Controller {
            own: None,
            regions: Vec::new(),
            services: Map::default(),
            phase: Phase::Initializing { since: now },
            peers: Map::default(),
            recorded: Recorded::Unknown,
            ticked_at: now,
        }
    }

    /// Whether shares are in force, which the host needs to accept callers.
    pub fn is_in_force(&self) -> bool {
        self.phase == Phase::InForce
    }

    /// Records the shares in force on another host.
    pub fn record_peer(&mut self, host: entry::Name, statement: Statement, now: Instant) {
        self.peers.insert(host, PeerStatement { statement, at: now });
    }

    /// Sets the content of the platform's table.
    pub fn set_recorded(&mut self, recorded: Recorded) {
        self.recorded = recorded;
    }

    /// The last known content of the platform's table.
    pub fn recorded(&self) -> &Recorded {
        &self.recorded
    }

    /// All shares in force, or `None` while there are none.
    pub fn statement(&self) -> Option<Statement> {
        let region = self.own.clone().filter(|_| self.is_in_force())?;
        let stated = |(service, shares): (&service::Name, &ServiceShares)| {
            ServiceStatement::new(service, &self.regions, shares.shares())
        };
        let mut services: Vec<ServiceStatement> = self.services.iter().map(stated).collect();
        services.sort_by(|a, b| a.service.cmp(&b.service));
        Some(Statement { region, services })
    }

    /// Stored shares of a service, by the region of the caller; empty if the service is unknown.
    pub fn vectors(&self, service: &service::Name) -> Vec<Vector> {
        let shares = self.services.get(service);
        shares.into_iter().flat_map(ServiceShares::shares).cloned().collect()
    }

    /// Adopts or moves shares; returns true if any changed or came into force.
    pub fn tick(&mut self, inputs: &Inputs<'_>, now: Instant) -> bool {
        let caller_departure = SILENCE_TIMEOUT + inputs.document.locate.max_age;
        if self.is_in_force() && now.since(self.ticked_at) > caller_departure {
            // Callers have left this host in the meantime, and its peers have moved their shares.
            self.phase = Phase::Initializing { since: now };
            self.peers.clear();
        }
        self.ticked_at = now;
        self.own =
            inputs.document.regions.get(usize::from(inputs.own.0)).map(|own| own.name.clone());
        self.peers
            .retain(|_, peer| now.since(peer.at) <= caller_departure + CALLER_DEPARTURE_MARGIN);
        let mut has_changed = false;
        if let Phase::Initializing { since } = self.phase {
            if !self.adopt_shares(inputs, since, now) {
                return false;
            }
            has_changed = true;
        }
        self.follow_document(inputs, now);
        let reports = self.peer_shares(inputs);
        for (position, service) in inputs.document.services.iter().enumerate() {
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

    /// Adopts shares from the best available source; returns false if there is none yet.
    fn adopt_shares(&mut self, inputs: &Inputs<'_>, since: Instant, now: Instant) -> bool {
        let near =
            |peer: &&PeerStatement| (Some(&peer.statement.region) == self.own.as_ref(), peer.at);
        let peer = self.peers.values().max_by_key(near).map(|peer| peer.statement.clone());
        let statement = match (peer, &self.recorded) {
            (Some(statement), _) => Some(statement),
            (None, _) if now.since(since) < PEER_WAIT => return false,
            (None, _) if !self.services.is_empty() => None,
            (None, Recorded::Shares(statement)) => Some(statement.clone()),
            // Until the second document, only the routes of the first can have been in force.
            (None, Recorded::Unknown) if inputs.version > document::Version(1) => return false,
            (None, Recorded::Nothing | Recorded::Unknown) => None,
        };
        if let Some(statement) = statement {
            self.services.clear();
            self.regions = region_names(inputs.document);
            for service in &inputs.document.services {
                if let Some(stated) = statement.service(&service.name) {
                    let shares = ServiceShares::new(stated.vectors(inputs.document, service), now);
                    self.services.insert(service.name.clone(), shares);
                }
            }
        }
        self.phase = Phase::InForce;
        true
    }

    /// Applies region changes of the document and adds new services. A removed service keeps its
    /// shares until the regions change, so that they do not jump if it is added again.
    fn follow_document(&mut self, inputs: &Inputs<'_>, now: Instant) {
        let regions = region_names(inputs.document);
        let old = std::mem::replace(&mut self.regions, regions);
        for service in &inputs.document.services {
            let vectors = match self.services.get(&service.name) {
                Some(_) if old == self.regions => continue,
                Some(current) => ServiceStatement::new(&service.name, &old, current.shares())
                    .vectors(inputs.document, service),
                None => self.initial_vectors(inputs.document, service),
            };
            self.services.insert(service.name.clone(), ServiceShares::new(vectors, now));
        }
        if old != self.regions {
            let known: Set<&service::Name> =
                inputs.document.services.iter().map(|s| &s.name).collect();
            self.services.retain(|name, _| known.contains(name));
        }
    }

    /// Initial shares of a service that is new on this host: those of a peer, or else its routes.
    fn initial_vectors(&self, document: &ValidatedDocument, service: &Service) -> Vec<Vector> {
        let stated = self.peers.values().find_map(|peer| peer.statement.service(&service.name));
        stated.map_or_else(|| service.routes.clone(), |stated| stated.vectors(document, service))
    }

    /// Shares in force on peers, by service.
    fn peer_shares(&self, inputs: &Inputs<'_>) -> Vec<Vec<PeerShares>> {
        let by_service = inputs.document.services.iter().map(|service| {
            let reports = self.peers.values().filter_map(|peer| {
                let region =
                    region::find(&inputs.document.regions, peer.statement.region.as_str())?;
                let stated = peer.statement.service(&service.name)?;
                Some(PeerShares { region, vectors: stated.vectors(inputs.document, service) })
            });
            reports.collect()
        });
        by_service.collect()
    }
}

fn region_names(document: &ValidatedDocument) -> Vec<region::Name> {
    document.regions.iter().map(|region| region.name.clone()).collect()
}
