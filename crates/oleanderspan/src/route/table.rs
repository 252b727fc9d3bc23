//! The validated route table and the lookup of routes.

use std::{cmp::Reverse, fmt};

use crate::{
    backend,
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
    services: Map<service::Name, Service>,
    /// Routes by lower-case host name, the longest prefix first.
    hosts: Map<Box<str>, Vec<Arc<Route>>>,
}

impl Table {
    /// Finds the route of a request: the one of its host with the longest matching prefix. `host`
    /// is in lower case and without a port.
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        self.hosts.get(host)?.iter().find(|route| path.starts_with(&*route.prefix))
    }

    /// The settings of a service, or `None` if the document does not contain it.
    pub fn service(&self, name: &service::Name) -> Option<&Service> {
        self.services.get(name)
    }

    /// The number of routes of all hosts.
    pub fn len(&self) -> usize {
        self.hosts.values().map(Vec::len).sum()
    }

    /// The routes that only some regions may serve.
    pub fn bound_routes(&self) -> impl Iterator<Item = &Arc<Route>> {
        self.hosts.values().flatten().filter(|route| route.is_bound())
    }

    /// Whether there are no routes.
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
        for (host, routes) in &self.hosts {
            for route in routes {
                let known = previous.hosts.get(host).into_iter().flatten();
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

    fn try_from(raw: raw::Table) -> Result<Table, Error> {
        let mut services = Map::default();
        for (i, service) in raw.services.into_iter().enumerate() {
            let at = |field: &str| format!("services[{i}].{field}");
            let name = service::Name::try_from(service.name.as_str())
                .map_err(|error| Error::new(at("name"), error))?;
            let described = Service {
                health_path: service.health_path.into(),
                max_connections: service.max_connections,
                cold_start: Duration::from_millis(service.cold_start_ms),
                cold_rate: backend::cold::Rate::per_1000_s(service.cold_per_1000_s),
            };
            if services.insert(name, described).is_some() {
                return Err(Error::new(at("name"), "duplicate service name"));
            }
        }
        let mut hosts: Map<Box<str>, Vec<Arc<Route>>> = Map::default();
        for (i, host) in raw.hosts.into_iter().enumerate() {
            let mut routes = Vec::with_capacity(host.routes.len());
            for (j, route) in host.routes.into_iter().enumerate() {
                let at = format!("hosts[{i}].routes[{j}]");
                routes.push(Arc::new(validate_route(route, &services, &at)?));
            }
            let known = hosts.entry(host.name.to_ascii_lowercase().into()).or_default();
            known.extend(routes);
            known.sort_by_key(|route| Reverse(route.prefix.len()));
        }
        let limits = Limits {
            max_head_bytes: usize::try_from(raw.limits.max_head_bytes).unwrap_or(usize::MAX),
            max_body_bytes: raw.limits.max_body_bytes,
            head_timeout: Duration::from_millis(raw.limits.head_timeout_ms),
            idle_timeout: Duration::from_millis(raw.limits.idle_timeout_ms),
        };
        Ok(Table { version: raw.version, limits, services, hosts })
    }
}

fn validate_route(
    raw: raw::Route,
    services: &Map<service::Name, Service>,
    at: &str,
) -> Result<Route, Error> {
    let at = |field: &str| format!("{at}.{field}");
    if !raw.prefix.starts_with('/') || !raw.prefix.ends_with('/') {
        let reason =
            format!("expected a path that begins and ends with '/', found {:?}", raw.prefix);
        return Err(Error::new(at("prefix"), reason));
    }
    if raw.timeout_ms == 0 {
        return Err(Error::new(at("timeout_ms"), "expected at least 1 ms, found 0"));
    }
    let max_attempts = u32::try_from(raw.max_attempts).unwrap_or(u32::MAX);
    if max_attempts == 0 {
        return Err(Error::new(at("max_attempts"), "expected at least 1, found 0"));
    }
    let mut shares = Vec::with_capacity(raw.shares.len());
    for (name, weight) in raw.shares {
        let service = service::Name::try_from(name.as_str())
            .map_err(|error| Error::new(at("shares"), error))?;
        if !services.contains_key(&service) {
            return Err(Error::new(at("shares"), format!("unknown service {name:?}")));
        }
        shares.push((service, u32::try_from(weight).unwrap_or(u32::MAX)));
    }
    let split = Split::new(shares).ok_or_else(|| {
        Error::new(at("shares"), "expected at least one service with a weight above 0")
    })?;
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
