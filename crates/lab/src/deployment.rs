//! The two production deployments of oleanderspan, at their real sizes.
//!
//! Documents, settings and fleet files for loopback are generated from one description, which
//! keeps samples, the demo, tests and benchmarks consistent.

use std::{
    collections::BTreeMap,
    net::{IpAddr, Ipv4Addr, SocketAddr},
    time::Duration,
};

use oleanderspan::document::raw;
use oleanderspan_node::store;
use serde_json::{Value, json};

use crate::fleet;

/// Size, topology and latencies of a deployment.
#[derive(Clone, Debug)]
pub struct Deployment {
    /// The value of `--deployment`, and a label in the authorities of its services.
    pub name: &'static str,
    /// Regions in the order in which hosts are numbered.
    pub regions: &'static [Region],
    /// Services in the order in which servers are numbered.
    pub services: &'static [Service],
    /// One-way latency between two regions.
    pub region_latency: Duration,
    /// One-way latency between two zones of a region.
    pub zone_latency: Duration,
    /// One-way latency between callers and their entry host.
    pub caller_latency: Duration,
    /// Bandwidth of the link between two regions, in each direction.
    pub link_mbit_per_second: u32,
}

/// A region of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Region {
    /// The region's name, which is also the prefix of its zones and hosts.
    pub name: &'static str,
    /// Number of entry hosts in the zones `<name>-a` and `<name>-b`.
    pub hosts: [u8; 2],
}

/// A service of a deployment.
#[derive(Clone, Copy, Debug)]
pub struct Service {
    /// The service's name, which is also the prefix of its servers.
    pub name: &'static str,
    /// Concurrent requests that an instance accepts.
    pub slots: u32,
    /// Number of instances in each region.
    pub instances: [u32; 3],
    /// Whether the service takes bookings, which must run at most once.
    pub takes_bookings: bool,
}

/// Time to set up a new connection.
pub const CONNECTION_SETUP_TIME: Duration = Duration::from_millis(1);

/// Concurrent connections that an instance accepts.
pub const CONNECTIONS_PER_INSTANCE: u32 = 330;

/// Name suffixes of the zones of every region.
const ZONES: [&str; 2] = ["a", "b"];

/// The deployment of Asociația Cuprul Cinstit.
pub const CUPRUL: Deployment = Deployment {
    name: "cuprul",
    regions: &[
        Region { name: "ro-sud", hosts: [2, 2] },
        Region { name: "ro-vest", hosts: [1, 1] },
        Region { name: "ro-est", hosts: [1, 1] },
    ],
    services: &[
        Service { name: "stockview", slots: 4, instances: [6, 4, 4], takes_bookings: false },
        Service { name: "slotdesk", slots: 3, instances: [4, 4, 4], takes_bookings: true },
        Service { name: "allocare", slots: 3, instances: [4, 4, 4], takes_bookings: true },
        Service { name: "assayhub", slots: 4, instances: [4, 4, 4], takes_bookings: false },
    ],
    region_latency: Duration::from_millis(55),
    zone_latency: Duration::from_micros(1_500),
    caller_latency: Duration::from_millis(8),
    link_mbit_per_second: 280,
};

/// The deployment of the National Binocular Bureau.
pub const BUREAU: Deployment = Deployment {
    name: "bureau",
    regions: &[
        Region { name: "port-louis", hosts: [2, 2] },
        Region { name: "curepipe", hosts: [1, 1] },
        Region { name: "mahebourg", hosts: [1, 1] },
    ],
    services: &[
        Service { name: "prism-history", slots: 3, instances: [4, 4, 4], takes_bookings: false },
        Service { name: "fusion-results", slots: 5, instances: [4, 4, 4], takes_bookings: false },
        Service {
            name: "occlusion-bookings",
            slots: 3,
            instances: [4, 4, 4],
            takes_bookings: true,
        },
        Service { name: "lens-orders", slots: 3, instances: [4, 4, 4], takes_bookings: true },
    ],
    region_latency: Duration::from_millis(12),
    zone_latency: Duration::from_micros(500),
    caller_latency: Duration::from_millis(8),
    link_mbit_per_second: 4_000,
};

/// Port allocation of one run on loopback; runs with distinct bases can run in parallel.
#[derive(Clone, Copy, Debug)]
pub struct Ports {
    /// The platform's port; all other ports are offsets from it.
    pub base: u16,
}

impl Ports {
    /// The address of the fake platform.
    pub fn platform(self) -> SocketAddr {
        self.address(0)
    }

    /// The caller address of an entry host, numbered from 1.
    pub fn caller(self, host: u16) -> SocketAddr {
        self.address(100 + host)
    }

    /// The relay address of an entry host, numbered from 1.
    pub fn relay(self, host: u16) -> SocketAddr {
        self.address(200 + host)
    }

    /// The operator address of an entry host, numbered from 1.
    pub fn operator(self, host: u16) -> SocketAddr {
        self.address(300 + host)
    }

    /// The peer address of an entry host, numbered from 1.
    pub fn peer(self, host: u16) -> SocketAddr {
        self.address(400 + host)
    }

    /// The address of a backend server, numbered from 0.
    pub fn server(self, server: u16) -> SocketAddr {
        self.address(500 + server)
    }

    fn address(self, offset: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), self.base + offset)
    }
}

/// An entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Host {
    /// The zone's name followed by the host's number in the zone, from 1.
    pub name: String,
    /// Name of the host's zone.
    pub zone: String,
}

impl Deployment {
    /// Looks up a deployment by name; `None` if there is none of that name.
    pub fn find(name: &str) -> Option<&'static Deployment> {
        [&CUPRUL, &BUREAU].into_iter().find(|deployment| deployment.name == name)
    }

    /// The entry hosts, numbered from 1 in this order.
    pub fn hosts(&self) -> Vec<Host> {
        let zones = self.regions.iter().flat_map(|region| {
            region.hosts.iter().zip(ZONES).map(move |(count, zone)| (region, zone, *count))
        });
        let hosts = zones.flat_map(|(region, zone, count)| {
            let zone = format!("{}-{zone}", region.name);
            (1..=count).map(move |i| Host { name: format!("{zone}{i}"), zone: zone.clone() })
        });
        hosts.collect()
    }

    /// The document of an environment, without routes to other regions and without drains.
    pub fn document(&self, environment: &str) -> raw::Document {
        let regions = self.regions.iter().map(|region| {
            let zones = ZONES.iter().map(|zone| format!("{}-{zone}", region.name)).collect();
            (region.name.to_owned(), raw::Region { zones, ceiling_percent: 90 })
        });
        let sites = self.regions.iter().flat_map(|region| {
            ZONES.iter().map(|zone| {
                let zone = format!("{}-{zone}", region.name);
                (zone.clone(), raw::Site { zone })
            })
        });
        let services = self
            .services
            .iter()
            .map(|service| (service.name.to_owned(), self.service_document(service)));
        raw::Document {
            environment: environment.to_owned(),
            regions: regions.collect(),
            links: self.links(),
            sites: sites.collect(),
            services: services.collect(),
            drains: raw::Drains::default(),
            locate: raw::Locate::default(),
            blocks: self.address_blocks(),
        }
    }

    /// The document with 10 % of the first service's requests shifted from the first region to
    /// the second.
    pub fn shifted_document(&self, environment: &str) -> raw::Document {
        let mut document = self.document(environment);
        let [from, to] = [0, 1].map(|i| self.regions[i].name.to_owned());
        if let Some(service) = document.services.get_mut(self.services[0].name) {
            let shares = BTreeMap::from([(from.clone(), 90), (to, 10)]);
            service.routes.insert(from, shares);
        }
        document
    }

    /// `document` with the first backend server of the first service drained.
    pub fn with_drained_server(&self, mut document: raw::Document) -> raw::Document {
        let server = format!("{}-{}-1", self.services[0].name, self.regions[0].name);
        document.drains.servers.push(server);
        document
    }

    fn service_document(&self, service: &Service) -> raw::Service {
        let instances = self.regions.iter().zip(service.instances);
        let read = |method: &str| raw::Pattern { method: method.to_owned(), path: "/".to_owned() };
        raw::Service {
            authorities: vec![format!("{}.{}.example", service.name, self.name)],
            slots_per_instance: service.slots,
            connections_per_instance: CONNECTIONS_PER_INSTANCE,
            instances: instances.map(|(r, count)| (r.name.to_owned(), count)).collect(),
            idempotent: vec![read("GET"), read("HEAD")],
            routes: BTreeMap::new(),
            shift: raw::Cap { cap_percent: 20, window_s: 60 },
            failover: raw::Cap { cap_percent: 50, window_s: 10 },
            limits: raw::Limits::default(),
        }
    }

    fn links(&self) -> Vec<raw::Link> {
        let pairs = self.regions.iter().enumerate().flat_map(|(i, a)| {
            self.regions[i + 1..].iter().map(move |b| [a.name.to_owned(), b.name.to_owned()])
        });
        let link = |between| raw::Link {
            between,
            mbit_per_second: self.link_mbit_per_second,
            budget_percent: 50,
        };
        pairs.map(link).collect()
    }

    /// Loopback address blocks, one for each zone, so that a test caller selects its zone by its
    /// source address.
    fn address_blocks(&self) -> BTreeMap<String, String> {
        let zones = self
            .regions
            .iter()
            .flat_map(|region| ZONES.iter().map(|zone| format!("{}-{zone}", region.name)));
        (1..).zip(zones).map(|(i, zone): (u8, _)| (format!("127.{i}.0.0/16"), zone)).collect()
    }

    /// The settings file of an entry host, numbered from 1.
    pub fn settings(&self, host: u16, environment: &str, ports: Ports) -> Value {
        let hosts = self.hosts();
        let own = &hosts[usize::from(host) - 1];
        let count = u16::try_from(hosts.len()).unwrap_or(u16::MAX);
        let others = (1..=count).filter(|other| *other != host);
        json!({
            "environment": environment,
            "host": { "name": own.name, "zone": own.zone },
            "entry": {
                "caller_address": ports.caller(host),
                "relay_address": ports.relay(host),
                "threads": 2,
            },
            "control": {
                "operator_address": ports.operator(host),
                "peer_address": ports.peer(host),
                "peers": others.map(|other| ports.peer(other)).collect::<Vec<_>>(),
            },
            "platform": { "address": ports.platform() },
            "log": { "level": "info" },
        })
    }

    /// The backend servers in the format of the platform's server list.
    pub fn listed_servers(&self, ports: Ports) -> Vec<store::Server> {
        let instances = self.services.iter().flat_map(|service| {
            self.regions
                .iter()
                .zip(service.instances)
                .flat_map(move |(region, count)| (0..count).map(move |i| (service, region, i)))
        });
        let listed = instances.enumerate().map(|(number, (service, region, i))| store::Server {
            name: format!("{}-{}-{}", service.name, region.name, i + 1),
            incarnation: 1,
            service: service.name.to_owned(),
            zone: format!("{}-{}", region.name, ZONES[i as usize % ZONES.len()]),
            address: ports.server(u16::try_from(number).unwrap_or(u16::MAX)),
            leaving: false,
        });
        listed.collect()
    }

    /// The definition of the fake backend servers; requests run for `run_time` by default.
    pub fn fleet(&self, ports: Ports, run_time: Duration) -> fleet::Fleet {
        let slots = |name: &str| {
            let service = self.services.iter().find(|service| service.name == name);
            service.map_or(1, |service| service.slots)
        };
        let instance = |server: store::Server| fleet::Instance {
            slots: slots(&server.service),
            name: server.name,
            address: server.address,
            run_ms: u64::try_from(run_time.as_millis()).unwrap_or(u64::MAX),
        };
        fleet::Fleet { servers: self.listed_servers(ports).into_iter().map(instance).collect() }
    }
}
