//! Documents as parsed from JSON: the structure is checked, names and values are not.

use std::collections::BTreeMap;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The configuration document of one environment: its topology, its services, where their
/// traffic may go and how fast it may be shifted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// The name of the environment, such as `trial` or `production`.
    pub environment: String,
    /// Regions, by name; at least one.
    pub regions: BTreeMap<String, Region>,
    /// Network links between regions; regions without a link never send requests to each other.
    #[serde(default)]
    pub links: Vec<Link>,
    /// Sites, by name; at least one. A caller belongs to the site of its address block.
    pub sites: BTreeMap<String, Site>,
    /// Services, by name.
    pub services: BTreeMap<String, Service>,
    /// Servers, zones and entry hosts that are being drained.
    #[serde(default)]
    pub drains: Drains,
    /// How locate answers tell callers which entry hosts to use.
    #[serde(default)]
    pub locate: Locate,
    /// Sites by block of client addresses in CIDR notation, such as `10.0.0.0/8`.
    #[serde(default)]
    pub blocks: BTreeMap<String, String>,
}

/// A region: a group of availability zones. Traffic is steered and shifted between regions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Region {
    /// The names of its availability zones, at least one; a zone belongs to one region only.
    pub zones: Vec<String>,
    /// The percentage of the region's slots that traffic steering may fill; the rest is kept as
    /// headroom.
    #[schemars(range(min = 1, max = 100))]
    pub ceiling_percent: u8,
}

/// A network link between two regions, with the same capacity in both directions.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The names of the two regions, which must differ.
    pub between: [String; 2],
    /// The capacity in each direction, in Mbit/s.
    pub mbit_per_second: u32,
    /// The percentage of the capacity that oleanderspan may use.
    #[schemars(range(min = 0, max = 100))]
    pub budget_percent: u8,
}

/// A site: a location that callers connect from.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// The name of the availability zone that the site is in.
    pub zone: String,
}

/// A service: a set of backend servers that answer the same requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The values of the `Host` header, without port, that select this service; at least one, and
    /// none that another service has.
    pub authorities: Vec<String>,
    /// The maximum number of concurrent requests per instance.
    #[schemars(range(min = 1))]
    pub slots_per_instance: u32,
    /// The maximum number of connections that one instance accepts.
    #[schemars(range(min = 1))]
    pub connections_per_instance: u32,
    /// The planned number of instances, by region; 0 for a region that is not named.
    pub instances: BTreeMap<String, u32>,
    /// Requests that are idempotent and may be retried; all others run at most once.
    #[serde(default)]
    pub idempotent: Vec<Pattern>,
    /// Traffic shares in percent, by region of the caller and then by serving region; callers in a
    /// region that is not named are served in their own region.
    #[serde(default)]
    pub routes: BTreeMap<String, BTreeMap<String, u8>>,
    /// How fast traffic shares may change in a planned shift.
    pub shift: Cap,
    /// How fast traffic shares may move away from a failed region.
    pub failover: Cap,
    /// Timeouts, and budgets for retries and hedged requests.
    #[serde(default)]
    pub limits: Limits,
}

/// Selects requests by method and path prefix.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Pattern {
    /// The HTTP method, in upper case.
    pub method: String,
    /// The path prefix, starting with a slash; `/` matches every path.
    pub path: String,
}

/// Limits how much the traffic share of a region may rise within a time window.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Cap {
    /// The maximum rise within the window, in percent of all requests of the service.
    #[schemars(range(min = 1, max = 100))]
    pub cap_percent: u8,
    /// The length of the time window, in seconds.
    #[schemars(range(min = 1))]
    pub window_s: u32,
}

/// Timeouts of a service, and its budgets for retries and hedged requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// The maximum time from the arrival of a request to the start of its response, in
    /// milliseconds.
    #[schemars(range(min = 1))]
    pub request_timeout_ms: u32,
    /// The maximum time that a request waits for a slot, in milliseconds.
    pub queue_timeout_ms: u32,
    /// The retry budget, in percent of requests.
    #[schemars(range(min = 0, max = 100))]
    pub retries_percent: u8,
    /// The budget for hedged reads, in percent of requests.
    #[schemars(range(min = 0, max = 100))]
    pub hedges_percent: u8,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            request_timeout_ms: 60_000,
            queue_timeout_ms: 2_000,
            retries_percent: 10,
            hedges_percent: 5,
        }
    }
}

/// What is being drained; nothing named here gets new requests.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Drains {
    /// The names of backend servers.
    pub servers: Vec<String>,
    /// The names of availability zones; all their backend servers and entry hosts are drained.
    pub zones: Vec<String>,
    /// The names of entry hosts.
    pub entry_hosts: Vec<String>,
}

/// Settings of locate answers, which tell callers which entry hosts to use.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, default)]
pub struct Locate {
    /// How long a caller may cache a locate answer, in seconds.
    #[schemars(range(min = 1))]
    pub max_age_s: u32,
    /// The maximum number of entry hosts in one locate answer.
    #[schemars(range(min = 1, max = 16))]
    pub answers: u8,
}

impl Default for Locate {
    fn default() -> Locate {
        Locate { max_age_s: 5, answers: 3 }
    }
}
