//! What a run is given: servers and hosts, the load on them, and what happens to them.

use oleanderspan::prelude::*;

use crate::deployment::{Deployment, Service};

/// One way between two machines of one zone.
const SAME_ZONE_LATENCY: Duration = Duration::from_micros(100);

/// The mean time that a short request runs on a server of full speed.
pub const SHORT_SERVICE_TIME: Duration = Duration::from_millis(20);

/// Entry hosts of a deployment.
pub const ENTRY_HOSTS: usize = 8;

/// Where a host or a server stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Location {
    /// The region.
    pub region: usize,
    /// The zone within the region.
    pub zone: usize,
}

/// The hosts and servers of one service.
#[derive(Clone, Debug)]
pub struct Topology {
    /// Entry hosts.
    pub hosts: Vec<Location>,
    /// Backend servers, those of a region side by side.
    pub servers: Vec<Location>,
    /// Slots of a server.
    pub slots: u32,
    /// The greatest part of a region's slots that may be in use, in percent.
    pub ceiling_percent: u32,
    zone_latency: Duration,
    region_latency: Duration,
}

impl Topology {
    /// Everything of `service` in one region, so that all hosts want the same slots.
    pub fn single_region(deployment: &Deployment, service: &Service) -> Topology {
        let servers = service.instances.iter().sum::<u32>() as usize;
        Topology::new(deployment, service, &[(ENTRY_HOSTS, servers)])
    }

    /// The regions as they are.
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

    /// One way between two places.
    pub fn latency(&self, a: Location, b: Location) -> Duration {
        if a.region != b.region {
            self.region_latency
        } else if a.zone != b.zone {
            self.zone_latency
        } else {
            SAME_ZONE_LATENCY
        }
    }

    /// The number of regions.
    pub fn regions(&self) -> usize {
        self.hosts.iter().map(|location| location.region + 1).max().unwrap_or(0)
    }

    /// The servers of a region.
    pub fn servers_of(&self, region: usize) -> impl Iterator<Item = usize> {
        (0..self.servers.len()).filter(move |i| self.servers[*i].region == region)
    }

    /// The hosts of a region.
    pub fn hosts_of(&self, region: usize) -> impl Iterator<Item = usize> {
        (0..self.hosts.len()).filter(move |i| self.hosts[*i].region == region)
    }

    /// The slots of a region.
    pub fn slots_of(&self, region: usize) -> u32 {
        self.servers_of(region).count() as u32 * self.slots
    }

    /// The slots of `servers` servers that may be in use.
    pub fn ceiling(&self, servers: u32) -> u32 {
        servers * self.slots * self.ceiling_percent / 100
    }
}

/// A part of a run with one load.
#[derive(Clone, Copy, Debug)]
pub struct Phase {
    /// How long it lasts.
    pub length: Duration,
    /// Slots that the offered work would fill, as a part of all slots of the callers' region.
    pub load: f64,
}

/// Requests that run much longer than the rest.
#[derive(Clone, Copy, Debug)]
pub struct LongRequests {
    /// Their part of all requests.
    pub share: f64,
    /// How long they run.
    pub service_time: Duration,
}

/// A time in which a server is slow.
#[derive(Clone, Copy, Debug)]
pub struct Slowdown {
    /// The server.
    pub server: usize,
    /// When it starts.
    pub from: Instant,
    /// When it ends.
    pub until: Instant,
    /// How many times longer the work takes.
    pub factor: u32,
}

/// What happens to hosts, servers and regions.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Change {
    /// A server says that it is leaving.
    ServerLeaves(usize),
    /// A host stops to take requests and finishes those it has.
    HostLeaves(usize),
    /// All hosts and servers of a region are gone at once.
    RegionFails(usize),
    /// The document moves all requests of a region to another, as fast as the cap allows.
    ShiftTraffic(usize, usize),
}

/// One case: what a policy is run against.
#[derive(Clone, Debug)]
pub struct Case {
    /// Hosts and servers.
    pub topology: Topology,
    /// The load over time, for each region of callers.
    pub phases: Vec<Phase>,
    /// Long requests.
    pub long_requests: Option<LongRequests>,
    /// Slow times of servers.
    pub slowdowns: Vec<Slowdown>,
    /// What happens when.
    pub changes: Vec<(Instant, Change)>,
}

impl Case {
    /// A case with one load from start to end.
    pub fn steady(topology: Topology, load: f64, length: Duration) -> Case {
        Case {
            topology,
            phases: vec![Phase { length, load }],
            long_requests: None,
            slowdowns: Vec::new(),
            changes: Vec::new(),
        }
    }

    /// How long requests arrive.
    pub fn length(&self) -> Duration {
        self.phases.iter().map(|phase| phase.length).sum()
    }

    /// The mean time that a request runs.
    pub fn mean_service_time(&self) -> Duration {
        let short = |share: f64| SHORT_SERVICE_TIME.mul_f64(1.0 - share);
        self.long_requests.map_or(SHORT_SERVICE_TIME, |long_requests| {
            short(long_requests.share) + long_requests.service_time.mul_f64(long_requests.share)
        })
    }
}
