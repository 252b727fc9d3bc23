//! The validated route table and the lookup of routes.

use std::{cmp::Reverse, fmt};

use crate::{
    backend, customer,
    prelude::*,
    region,
    request::Repeat,
    route::{Limits, MaxClientTimeout, Route, Service, Split, raw},
    service,
};

/// The routes of one version of the route document.
#[derive(Debug)]
pub struct Table {
    /// The version of the route document; it only ever increases.
    pub version: u64,
    /// Size and time limits of client connections.
    pub limits: Limits,
    /// The customers; `None` if requests need no key.
    pub customers: Option<customer::Directory>,
    /// The parts of the document that are not in use, each with its place.
    pub faults: Box<[Error]>,
    services: Map<service::Name, Service>,
    /// Routes by lower-case host name, the longest prefix first.
    hosts: Map<Box<str>, Vec<Entry>>,
}

/// A path prefix of a host and its route.
#[derive(Debug)]
struct Entry {
    prefix: Box<str>,
    /// `None` if the document has a route that cannot be used. Its requests must not fall to a
    /// route with a shorter prefix, whose service may not run them.
    route: Option<Arc<Route>>,
}

key! {
    /// Why a request has no route.
    pub enum Miss {
        /// The document has no route for it.
        Unknown,
        /// The document has a route for it that cannot be used.
        Unusable,
    }
}

impl Table {
    /// Finds the route of a request: the one of its host with the longest matching prefix. `host`
    /// is in lower case and without a port.
    pub fn find(&self, host: &str, path: &str) -> Result<&Arc<Route>, Miss> {
        let mut entries = self.hosts.get(host).into_iter().flatten();
        let entry = entries.find(|entry| path.starts_with(&*entry.prefix)).ok_or(Miss::Unknown)?;
        entry.route.as_ref().ok_or(Miss::Unusable)
    }

    /// The settings of a service, or `None` if the document does not contain it.
    pub fn service(&self, name: &service::Name) -> Option<&Service> {
        self.services.get(name)
    }

    /// The usable routes of all hosts.
    fn routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten().filter_map(|entry| entry.route.as_ref())
    }

    /// The number of usable routes of all hosts.
    pub fn len(&self) -> usize {
        self.routes().count()
    }

    /// The routes that only some regions may serve.
    pub fn bound_routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.routes().filter(|route| route.is_bound())
    }

    /// Whether there are no usable routes.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Whether this table may replace one of version `current`, that is, whether it is newer.
    pub fn supersedes(&self, current: Option<u64>) -> bool {
        current.is_none_or(|current| self.version > current)
    }

    /// Takes over the client timeouts observed for routes that the previous table has under the
    /// same host and name.
    pub fn inherit_observations(&self, previous: &Table) {
        for (host, entries) in &self.hosts {
            for route in entries.iter().filter_map(|entry| entry.route.as_ref()) {
                let known = previous.hosts.get(host).into_iter().flatten();
                let known = known.filter_map(|entry| entry.route.as_ref());
                for known in known.filter(|known| known.name == route.name) {
                    route.max_client_timeout.inherit(&known.max_client_timeout);
                }
            }
        }
    }
}

impl MaxClientTimeout {
    fn inherit(&self, previous: &MaxClientTimeout) {
        let max_millis = previous.millis.load(std::sync::atomic::Ordering::Relaxed);
        self.millis.fetch_max(max_millis, std::sync::atomic::Ordering::Relaxed);
    }
}

impl TryFrom<raw::Table> for Table {
    type Error = Error;

    /// Leaves out what cannot be used, as `docs/PLATFORM.md` lists. Fails if nothing is left, or if
    /// customers contradict each other: such a document must not replace one that works.
    fn try_from(raw: raw::Table) -> Result<Table, Error> {
        let mut faults = raw.faults;
        let services = validate_services(raw.services, &mut faults);
        let mut hosts: Map<Box<str>, Vec<Entry>> = Map::default();
        for (i, host) in raw.hosts.into_iter().enumerate() {
            let entries = hosts.entry(host.name.to_ascii_lowercase().into()).or_default();
            let unreadable = host.unreadable.into_iter();
            entries.extend(unreadable.map(|prefix| Entry { prefix: prefix.into(), route: None }));
            for (j, route) in host.routes.into_iter().enumerate() {
                let at = format!("hosts[{i}].routes[{j}]");
                entries.extend(validate_entry(route, &services, &at, &mut faults));
            }
            entries.sort_by_key(|entry| Reverse(entry.prefix.len()));
        }
        let limits = Limits {
            max_head_bytes: usize::try_from(raw.limits.max_head_bytes).unwrap_or(usize::MAX),
            max_body_bytes: raw.limits.max_body_bytes,
            head_timeout: Duration::from_millis(raw.limits.head_timeout_ms),
            idle_timeout: Duration::from_millis(raw.limits.idle_timeout_ms),
        };
        let customers = raw.customers.map(customer::Directory::try_from).transpose()?;
        faults.extend(customers.iter().flat_map(customer::Directory::faults).cloned());
        let faults = faults.into_boxed_slice();
        let table = Table { version: raw.version, limits, customers, faults, services, hosts };
        match table.faults.first() {
            Some(fault) if table.is_empty() => Err(fault.clone()),
            _ => Ok(table),
        }
    }
}

/// The services that can be used, by name.
fn validate_services(
    raw: Vec<raw::Service>,
    faults: &mut Vec<Error>,
) -> Map<service::Name, Service> {
    let mut services = Map::default();
    for (i, service) in raw.into_iter().enumerate() {
        let at = format!("services[{i}].name");
        let name = match service::Name::try_from(service.name.as_str()) {
            Ok(name) => name,
            Err(error) => {
                faults.push(Error::new(at, error));
                continue;
            }
        };
        if services.contains_key(&name) {
            faults.push(Error::new(at, "duplicate service name"));
            continue;
        }
        let described = Service {
            health_path: service.health_path.into(),
            max_connections: service.max_connections,
            cold_start: Duration::from_millis(service.cold_start_ms),
            cold_rate: backend::cold::Rate::per_1000_s(service.cold_per_1000_s),
        };
        services.insert(name, described);
    }
    services
}

/// The entry of a route, or `None` if its prefix cannot be used.
fn validate_entry(
    raw: raw::Route,
    services: &Map<service::Name, Service>,
    at: &str,
    faults: &mut Vec<Error>,
) -> Option<Entry> {
    if !raw.prefix.starts_with('/') || !raw.prefix.ends_with('/') {
        let reason =
            format!("expected a path that begins and ends with '/', found {:?}", raw.prefix);
        faults.push(Error::new(format!("{at}.prefix"), reason));
        return None;
    }
    let prefix = raw.prefix.as_str().into();
    let route = validate_route(raw, services, at, faults).map_err(|error| faults.push(error));
    Some(Entry { prefix, route: route.ok().map(Arc::new) })
}

fn validate_route(
    raw: raw::Route,
    services: &Map<service::Name, Service>,
    at: &str,
    faults: &mut Vec<Error>,
) -> Result<Route, Error> {
    let at = |field: &str| format!("{at}.{field}");
    if raw.timeout_ms == 0 {
        return Err(Error::new(at("timeout_ms"), "expected at least 1 ms, found 0"));
    }
    let max_attempts = u32::try_from(raw.max_attempts).unwrap_or(u32::MAX);
    if max_attempts == 0 {
        return Err(Error::new(at("max_attempts"), "expected at least 1, found 0"));
    }
    let mut shares = Vec::with_capacity(raw.shares.len());
    let mut unknown = Vec::new();
    for (name, weight) in raw.shares {
        let service = service::Name::try_from(name.as_str())
            .map_err(|error| Error::new(at("shares"), error))?;
        // An unknown service keeps its weight: its requests are refused, not moved to another.
        if !services.contains_key(&service) {
            unknown.push(Error::new(at("shares"), format!("unknown service {name:?}")));
        }
        shares.push((service, u32::try_from(weight).unwrap_or(u32::MAX)));
    }
    let split = Split::new(shares).ok_or_else(|| {
        Error::new(at("shares"), "expected at least one service with a weight above 0")
    })?;
    if !split.services().any(|service| services.contains_key(service)) {
        return Err(unknown.swap_remove(0));
    }
    faults.append(&mut unknown);
    let homes = raw.homes.iter().map(|home| region::Name::try_from(home.as_str()));
    let homes: Result<Box<[region::Name]>, _> = homes.collect();
    Ok(Route {
        name: raw.name.into(),
        prefix: raw.prefix.into(),
        repeat: if raw.is_idempotent { Repeat::Idempotent } else { Repeat::Forbidden },
        timeout: Duration::from_millis(raw.timeout_ms),
        objective: Duration::from_millis(raw.objective_ms),
        priority: u8::try_from(raw.priority).unwrap_or(u8::MAX),
        max_attempts,
        is_sticky: raw.is_sticky,
        homes: homes.map_err(|error| Error::new(at("homes"), error))?,
        is_public: raw.is_public,
        split,
        max_client_timeout: MaxClientTimeout::default(),
    })
}

value! {
    /// The reason why a route document is invalid.
    pub struct Error {
        /// The path of the invalid field, such as `hosts[0].routes[1].prefix`.
        pub path: String,
        /// The expected and the actual value.
        pub reason: String,
    }
}

impl Error {
    /// Creates an error for the field at `path`.
    pub fn new(path: impl Into<String>, reason: impl fmt::Display) -> Error {
        Error { path: path.into(), reason: reason.to_string() }
    }
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.reason)
    }
}

impl std::error::Error for Error {}
