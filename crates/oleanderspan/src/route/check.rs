//! Judges a route document beyond its validity: entries without effect, limits that contradict each
//! other, and what differs from another version.
//!
//! The checks work on the document as written, since the validated table has lost its places. They are
//! meant for documents without faults: those have all their parts at their places.

use std::collections::{BTreeMap, btree_map};

use crate::{
    availability::Topology,
    customer::raw::Customer,
    prelude::*,
    route::raw::{Host, Limits, Route, Service, Table},
};

/// The most servers that a gateway sends one request to, whatever its route allows: the first and
/// three retries.
pub const MAX_USEFUL_ATTEMPTS: u64 = 4;

key! {
    /// A place in a document, by positions from 0.
    pub enum Place {
        /// The document as a whole.
        Document,
        /// The limits of client connections.
        Limits,
        /// A service.
        Service(usize),
        /// A virtual host.
        Host(usize),
        /// A route of a virtual host.
        Route {
            /// The position of the host.
            host: usize,
            /// The position of the route in its host.
            route: usize,
        },
        /// A customer.
        Customer(usize),
    }
}

value! {
    /// Something in a valid document that is probably not meant.
    pub struct Finding {
        /// Where it is.
        pub place: Place,
        /// What it is.
        pub problem: Problem,
    }

    /// What is probably not meant.
    pub enum Problem {
        /// The version is not above that of the version in effect, so that no host would use it.
        NotNewer {
            /// The version of the document.
            version: u64,
            /// The version in effect.
            current: u64,
        },
        /// A route of the same host with the same prefix takes all requests.
        HiddenRoute {
            /// The route that takes them.
            by: Place,
        },
        /// A service gets none of the requests of a route.
        ZeroWeight {
            /// The service.
            service: String,
        },
        /// No route names the service.
        UnusedService,
        /// The host has no routes.
        UnusedHost,
        /// No zone lies in a home region.
        HomeWithoutZone {
            /// The region.
            region: String,
        },
        /// Nobody can send requests as the customer.
        NoKeys,
        /// The customer has a quota, but no route that needs a key can serve it.
        NoRoute,
        /// The quota allows a rate, but no request at once beyond it.
        ZeroBurst,
        /// Responses within the objective can come after the timeout.
        ObjectiveAboveTimeout {
            /// The latency objective.
            objective_ms: u64,
            /// The timeout of the route.
            timeout_ms: u64,
        },
        /// A connection can be closed as idle while a response is within its objective.
        IdleTimeoutBelowObjective {
            /// The idle timeout.
            idle_timeout_ms: u64,
            /// The longest latency objective.
            objective_ms: u64,
        },
        /// The route allows more servers than a request is sent to.
        TooManyAttempts {
            /// The number of servers allowed.
            max_attempts: u64,
        },
    }
}

/// Finds what is probably not meant in a document: in its routes, then limits, services and customers.
/// Home regions are checked if the zones are given.
pub fn findings(table: &Table, zones: Option<&Topology>) -> Vec<Finding> {
    let mut findings = Vec::new();
    let mut add = |place, problem| findings.push(Finding { place, problem });
    let mut first_routes: Map<(String, &str), Place> = Map::default();
    let mut named: Set<&str> = Set::default();
    let mut max_objective_ms = 0;
    for (i, host) in table.hosts.iter().enumerate() {
        if host.routes.is_empty() && host.unreadable.is_empty() {
            add(Place::Host(i), Problem::UnusedHost);
        }
        for (j, route) in host.routes.iter().enumerate() {
            let place = Place::Route { host: i, route: j };
            named.extend(route.shares.iter().map(|(service, _)| service.as_str()));
            max_objective_ms = max_objective_ms.max(route.objective_ms);
            let key = (host.name.to_ascii_lowercase(), route.prefix.as_str());
            let by = *first_routes.entry(key).or_insert(place);
            if by != place {
                add(place, Problem::HiddenRoute { by });
            }
            check_route(route, |problem| add(place, problem));
            check_homes(&route.homes, zones, |problem| add(place, problem));
        }
    }
    let idle_timeout_ms = table.limits.idle_timeout_ms;
    if idle_timeout_ms < max_objective_ms {
        let objective_ms = max_objective_ms;
        add(Place::Limits, Problem::IdleTimeoutBelowObjective { idle_timeout_ms, objective_ms });
    }
    for (i, service) in table.services.iter().enumerate() {
        if !named.contains(service.name.as_str()) {
            add(Place::Service(i), Problem::UnusedService);
        }
    }
    let customers = table.customers.iter().flat_map(|directory| &directory.customers);
    for (i, customer) in customers.enumerate() {
        check_customer(customer, &table.hosts, |problem| add(Place::Customer(i), problem));
        check_homes(&customer.homes, zones, |problem| add(Place::Customer(i), problem));
    }
    findings
}

/// Finds why a document cannot replace the version in effect.
pub fn replacement(table: &Table, current: &Table) -> Option<Finding> {
    let (version, current) = (table.version, current.version);
    let problem = Problem::NotNewer { version, current };
    (version <= current).then_some(Finding { place: Place::Document, problem })
}

fn check_route(route: &Route, mut add: impl FnMut(Problem)) {
    for (service, _) in route.shares.iter().filter(|(_, weight)| *weight == 0) {
        add(Problem::ZeroWeight { service: service.clone() });
    }
    let (objective_ms, timeout_ms) = (route.objective_ms, route.timeout_ms);
    if objective_ms > timeout_ms {
        add(Problem::ObjectiveAboveTimeout { objective_ms, timeout_ms });
    }
    if route.max_attempts > MAX_USEFUL_ATTEMPTS {
        add(Problem::TooManyAttempts { max_attempts: route.max_attempts });
    }
}

fn check_homes(homes: &[String], zones: Option<&Topology>, mut add: impl FnMut(Problem)) {
    let Some(zones) = zones else { return };
    for region in homes.iter().filter(|home| zones.find_region(home).is_none()) {
        add(Problem::HomeWithoutZone { region: region.clone() });
    }
}

fn check_customer(customer: &Customer, hosts: &[Host], mut add: impl FnMut(Problem)) {
    if customer.keys.is_empty() {
        add(Problem::NoKeys);
    }
    if customer.per_1000_s == 0 {
        return;
    }
    let mut routes = hosts.iter().flat_map(|host| &host.routes);
    let serves = |route: &Route| {
        let is_common = |home: &String| customer.homes.contains(home);
        let has_home = route.homes.is_empty()
            || customer.homes.is_empty()
            || route.homes.iter().any(is_common);
        !route.is_public && has_home
    };
    if !routes.any(serves) {
        add(Problem::NoRoute);
    }
    if customer.burst == 0 {
        add(Problem::ZeroBurst);
    }
}

value! {
    /// What one version of a document says otherwise than another.
    pub struct Difference {
        /// What it concerns.
        pub subject: Subject,
        /// How it differs.
        pub change: Change,
    }

    /// How a part of a document differs.
    pub enum Change {
        /// Only the later version has it.
        Added,
        /// Only the earlier version has it.
        Removed,
        /// Both have it, with other values.
        Changed {
            /// The fields that differ.
            fields: Vec<FieldChange>,
            /// The keys of a customer that differ.
            keys: KeyChange,
        },
    }

    /// A field with another value.
    pub struct FieldChange {
        /// The field.
        pub field: Field,
        /// The earlier value.
        pub before: String,
        /// The later value.
        pub after: String,
    }
}

/// The part of a document that a difference concerns. Differences are listed in this order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// Whether requests need keys.
    Customers,
    /// A customer, by name.
    Customer(String),
    /// A route, by the name of its host and its own.
    Route {
        /// The name of the host, in lower case.
        host: String,
        /// The name of the route.
        name: String,
        /// How many routes of the host before it have the same name.
        number: usize,
    },
    /// A service, by name.
    Service(String),
    /// The limits of client connections.
    Limits,
}

key! {
    /// How many keys of a customer differ. The keys themselves are secret.
    #[derive(Default)]
    pub struct KeyChange {
        /// Keys that only the later version has.
        pub added: usize,
        /// Keys that only the earlier version has.
        pub withdrawn: usize,
    }

    /// A field of a part of a document.
    pub enum Field {
        /// The path prefix of a route.
        Prefix,
        /// Whether requests of a route may be repeated.
        Repeats,
        /// The timeout of a route.
        Timeout,
        /// The latency objective of a route.
        Objective,
        /// The priority of a route or customer.
        Priority,
        /// The maximum number of servers for one request.
        Attempts,
        /// Whether requests prefer a server that knows their object.
        Sticky,
        /// The home regions of a route or customer.
        Homes,
        /// Whether requests of a route need no key.
        Public,
        /// The services of a route and their weights.
        Shares,
        /// The request rate of a customer, in 1,000 seconds.
        Rate,
        /// The burst of a customer.
        Burst,
        /// The health check path of a service.
        HealthPath,
        /// The maximum number of connections to a server.
        Connections,
        /// The duration of a slow start.
        ColdStart,
        /// The request rate of a server during its slow start.
        ColdRate,
        /// The maximum size of a request head.
        HeadBytes,
        /// The maximum size of a request body.
        BodyBytes,
        /// The time for a request head.
        HeadTimeout,
        /// The time after which an idle connection is closed.
        IdleTimeout,
    }
}

/// Lists what differs between two versions of a document, other than the version itself.
pub fn differences(before: &Table, after: &Table) -> Vec<Difference> {
    let mut differences = Vec::new();
    let mut add = |subject, change| differences.push(Difference { subject, change });
    match (&before.customers, &after.customers) {
        (None, Some(_)) => add(Subject::Customers, Change::Added),
        (Some(_), None) => add(Subject::Customers, Change::Removed),
        _ => {}
    }
    let (mut before, mut after) = (parts(before), parts(after));
    let subjects: Vec<Subject> = before.keys().chain(after.keys()).cloned().collect();
    for subject in subjects {
        // Subjects of both versions come twice, and are gone the second time.
        let change = match (before.remove(&subject), after.remove(&subject)) {
            (None, None) => continue,
            (Some(_), None) => Change::Removed,
            (None, Some(_)) => Change::Added,
            (Some(before), Some(after)) => {
                let (fields, keys) = (changed_fields(before, after), changed_keys(before, after));
                if fields.is_empty() && keys == KeyChange::default() {
                    continue;
                }
                Change::Changed { fields, keys }
            }
        };
        add(subject, change);
    }
    differences.sort_by(|a, b| a.subject.cmp(&b.subject));
    differences
}

/// A part of a document that is compared as a whole.
#[derive(Clone, Copy, Debug)]
enum Part<'a> {
    Customer(&'a Customer),
    Route(&'a Route),
    Service(&'a Service),
    Limits(&'a Limits),
}

fn parts(table: &Table) -> BTreeMap<Subject, Part<'_>> {
    let mut parts = BTreeMap::from([(Subject::Limits, Part::Limits(&table.limits))]);
    for service in &table.services {
        parts.insert(Subject::Service(service.name.clone()), Part::Service(service));
    }
    for customer in table.customers.iter().flat_map(|directory| &directory.customers) {
        parts.insert(Subject::Customer(customer.name.clone()), Part::Customer(customer));
    }
    let mut numbers: BTreeMap<(String, &str), usize> = BTreeMap::new();
    for host in &table.hosts {
        for route in &host.routes {
            let name = host.name.to_ascii_lowercase();
            let number = match numbers.entry((name.clone(), &route.name)) {
                btree_map::Entry::Vacant(entry) => *entry.insert(0),
                btree_map::Entry::Occupied(mut entry) => {
                    *entry.get_mut() += 1;
                    *entry.get()
                }
            };
            let subject = Subject::Route { host: name, name: route.name.clone(), number };
            parts.insert(subject, Part::Route(route));
        }
    }
    parts
}

impl Part<'_> {
    /// The fields in a fixed order, without the keys of a customer.
    fn fields(&self) -> Vec<(Field, String)> {
        match self {
            Part::Customer(customer) => vec![
                (
                    Field::Priority,
                    customer.priority.map_or_else(String::new, |own| own.to_string()),
                ),
                (Field::Rate, customer.per_1000_s.to_string()),
                (Field::Burst, customer.burst.to_string()),
                (Field::Homes, customer.homes.join(" ")),
            ],
            Part::Route(route) => vec![
                (Field::Prefix, route.prefix.clone()),
                (Field::Repeats, route.is_idempotent.to_string()),
                (Field::Timeout, route.timeout_ms.to_string()),
                (Field::Objective, route.objective_ms.to_string()),
                (Field::Priority, route.priority.to_string()),
                (Field::Attempts, route.max_attempts.to_string()),
                (Field::Sticky, route.is_sticky.to_string()),
                (Field::Homes, route.homes.join(" ")),
                (Field::Public, route.is_public.to_string()),
                (Field::Shares, shares(route)),
            ],
            Part::Service(service) => vec![
                (Field::HealthPath, service.health_path.clone()),
                (Field::Connections, service.max_connections.to_string()),
                (Field::ColdStart, service.cold_start_ms.to_string()),
                (Field::ColdRate, service.cold_per_1000_s.to_string()),
            ],
            Part::Limits(limits) => vec![
                (Field::HeadBytes, limits.max_head_bytes.to_string()),
                (Field::BodyBytes, limits.max_body_bytes.to_string()),
                (Field::HeadTimeout, limits.head_timeout_ms.to_string()),
                (Field::IdleTimeout, limits.idle_timeout_ms.to_string()),
            ],
        }
    }

    fn keys(&self) -> Set<&str> {
        match self {
            Part::Customer(customer) => customer.keys.iter().map(String::as_str).collect(),
            _ => Set::default(),
        }
    }
}

fn shares(route: &Route) -> String {
    let shares = route.shares.iter().map(|(service, weight)| format!("{service}:{weight}"));
    shares.collect::<Vec<_>>().join(" ")
}

fn changed_fields(before: Part<'_>, after: Part<'_>) -> Vec<FieldChange> {
    let pairs = before.fields().into_iter().zip(after.fields());
    pairs
        .filter(|((_, before), (_, after))| before != after)
        .map(|((field, before), (_, after))| FieldChange { field, before, after })
        .collect()
}

fn changed_keys(before: Part<'_>, after: Part<'_>) -> KeyChange {
    let (before, after) = (before.keys(), after.keys());
    KeyChange {
        added: after.difference(&before).count(),
        withdrawn: before.difference(&after).count(),
    }
}
