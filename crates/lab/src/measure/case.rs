//! Inputs of a simulation: hosts and servers, offered load, slowdowns and scheduled changes.

use oleanderspan::prelude::*;

use crate::deployment::{Deployment, Service};

/// One-way network latency within a zone.
const SAME_ZONE_LATENCY: Duration = Duration::from_micros(100);

/// Mean service time of a short request on a server that is not slowed down.
pub const SHORT_SERVICE_TIME: Duration = Duration::from_millis(20);

/// Number of entry hosts in a single-region topology.
pub const ENTRY_HOSTS: usize = 8;

/// Region and availability zone of a host or server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// Index of the region.
    pub region: usize,
    /// Index of the zone within the region.
    pub zone: usize,
}

/// The hosts and servers of one service.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Location of each entry host.
    pub hosts: Vec<Location>,
    /// Location of each backend server; servers of one region are contiguous.
    pub servers: Vec<Location>,
    /// Slots per server.
    pub slots: u32,
    /// Maximum share of a region's slots that may be in use, in percent.
    pub ceiling_percent: u32,
    zone_latency: Duration,
    region_latency: Duration,
}

impl Topology {
    /// All servers of `service` in one region, so that all hosts compete for the same slots.
    pub fn single_region(deployment: &Deployment, service: &Service) -> Topology {
        let servers = service.instances.iter().sum::<u32>() as usize;
        Topology::new(deployment, service, &[(ENTRY_HOSTS, servers)])
    }

    /// The hosts and servers of `service` in the regions of the deployment.
    pub fn multi_region(deployment: &Deployment, service: &Service) -> Topology {
        let regions = deployment.regions.iter().zip(service.instances);
        let sizes: Vec<(usize, usize)> = regions
            .map(|(region, servers)| {
                (region.hosts.iter().map(|n| usize::from(*n)).sum(), servers as usize)
            })
            .collect();
        Topology::new(deployment, service, &sizes)
    }

    fn new(deployment: &Deployment, service: &Service, sizes: &[(usize, usize)]) -> Topology {
        let locations = |count: fn(&(usize, usize)) -> usize| {
            sizes.iter().enumerate().flat_map(move |(region, size)| {
                (0..count(size)).map(move |i| Location { region, zone: i % 2 })
            })
        };
        Topology {
            hosts: locations(|size| size.0).collect(),
            servers: locations(|size| size.1).collect(),
            slots: service.slots,
            ceiling_percent: 90,
            zone_latency: deployment.zone_latency,
            region_latency: deployment.region_latency,
        }
    }

    /// One-way network latency between two locations.
    pub fn latency(&self, a: Location, b: Location) -> Duration {
        if a.region != b.region {
            self.region_latency
        } else if a.zone != b.zone {
            self.zone_latency
        } else {
            SAME_ZONE_LATENCY
        }
    }

    /// Number of regions that have hosts.
    pub fn regions(&self) -> usize {
        self.hosts.iter().map(|location| location.region + 1).max().unwrap_or(0)
    }

    /// Indices of the servers of a region.
    pub fn servers_of(&self, region: usize) -> impl Iterator<Item = usize> {
        (0..self.servers.len()).filter(move |i| self.servers[*i].region == region)
    }

    /// Indices of the hosts of a region.
    pub fn hosts_of(&self, region: usize) -> impl Iterator<Item = usize> {
        (0..self.hosts.len()).filter(move |i| self.hosts[*i].region == region)
    }

    /// Total slots of a region, ignoring the ceiling.
    pub fn slots_of(&self, region: usize) -> u32 {
        self.servers_of(region).count() as u32 * self.slots
    }

    /// Slots that may be in use on `servers` servers, rounded down.
    pub fn ceiling(&self, servers: u32) -> u32 {
        servers * self.slots * self.ceiling_percent / 100
    }
}

/// A period of constant offered load.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// Duration of the phase.
    pub length: Duration,
    /// Offered load as a fraction of the slots of the callers' region; above 1 is overload.
    pub load: f64,
}

/// A share of requests with a much longer, fixed service time.
#[derive(Clone, Copy, Debug)]
pub struct LongRequests {
    /// Fraction of all requests, from 0 to 1.
    pub share: f64,
    /// Service time on a server that is not slowed down.
    pub service_time: Duration,
}

/// A period in which a server runs slower.
#[derive(Clone, Copy, Debug)]
pub struct Slowdown {
    /// Index of the server.
    pub server: usize,
    /// Start, inclusive.
    pub from: Instant,
    /// End, exclusive.
    pub until: Instant,
    /// Factor by which the service time grows.
    pub factor: u32,
}

/// A scheduled change to hosts, servers or routing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// The server announces that it is leaving.
    ServerLeaves(usize),
    /// The host drains: it accepts callers until cached locate answers expire, and completes
    /// the requests it has.
    HostLeaves(usize),
    /// All hosts and servers of the region fail at the same instant.
    RegionFails(usize),
    /// The document shifts all traffic from the first region to the second, as fast as the cap
    /// allows.
    ShiftTraffic(usize, usize),
}

/// The scenario that a strategy runs against.
#[derive(Clone, Debug)]
pub struct Case {
    /// Hosts, servers and the latency between them.
    pub topology: Topology,
    /// Offered load over time; every region of callers gets the same.
    pub phases: Vec<Phase>,
    /// The long requests, if the case has any.
    pub long_requests: Option<LongRequests>,
    /// Slowdowns of single servers; those of one server are in order and do not overlap.
    pub slowdowns: Vec<Slowdown>,
    /// Scheduled changes and when they occur.
    pub changes: Vec<(Instant, Change)>,
}

impl Case {
    /// A case with constant load, no long requests, no slowdowns and no changes.
    pub fn steady(topology: Topology, load: f64, length: Duration) -> Case {
        Case {
            topology,
            phases: vec![Phase { length, load }],
            long_requests: None,
            slowdowns: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// Time during which requests arrive.
    pub fn length(&self) -> Duration {
        self.phases.iter().map(|phase| phase.length).sum()
    }

    /// Mean service time over short and long requests.
    pub fn mean_service_time(&self) -> Duration {
        let short = |share: f64| SHORT_SERVICE_TIME.mul_f64(1.0 - share);
        self.long_requests.map_or(SHORT_SERVICE_TIME, |long_requests| {
            short(long_requests.share) + long_requests.service_time.mul_f64(long_requests.share)
        })
    }
}
