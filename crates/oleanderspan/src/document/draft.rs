//! A checked document: every name resolved, every number within its bounds.

use std::collections::BTreeMap;

use crate::{
    availability, backend, caller,
    document::{self, fault::Report, raw},
    entry,
    prelude::*,
    region::{self, Percent},
    request, service, shift,
};

value! {
    /// A document that passed every check.
    pub struct Draft {
        /// The environment it is for.
        pub environment: document::Environment,
        /// Regions, by [`region::Index`].
        pub regions: Vec<region::Region>,
        /// Zones, by [`availability::Index`].
        pub zones: Vec<availability::Zone>,
        /// Links between regions.
        pub links: Vec<region::Link>,
        /// Sites, by [`caller::SiteIndex`].
        pub sites: Vec<caller::Site>,
        /// Services, by [`service::Index`].
        pub services: Vec<service::Service>,
        /// What is planned to leave.
        pub drains: Drains,
        /// How locate answers are made.
        pub locate: entry::Policy,
        /// Blocks of client addresses.
        pub blocks: Vec<caller::Block>,
    }

    /// What is planned to leave.
    pub struct Drains {
        /// Backend servers.
        pub servers: Vec<backend::Name>,
        /// Zones.
        pub zones: Vec<availability::Index>,
        /// Entry hosts.
        pub entry_hosts: Vec<entry::Name>,
    }
}

impl TryFrom<&raw::Document> for Draft {
    type Error = document::Error;

    fn try_from(raw: &raw::Document) -> Result<Draft, document::Error> {
        let mut report = Report::default();
        let draft = check(raw, &mut report);
        report.finish(draft)
    }
}

/// Checks every part, also behind a faulty one, so that one run names all faults.
fn check(raw: &raw::Document, report: &mut Report) -> Option<Draft> {
    let environment =
        report.keep("environment", document::Environment::try_from(raw.environment.as_str()));
    let (regions, zones) = check_regions(&raw.regions, report);
    let scope = Scope::new(&raw.regions, &zones);
    let links = check_links(&raw.links, &scope, report);
    let sites = check_sites(&raw.sites, &zones, &scope, report);
    let services = check_services(&raw.services, &scope, report);
    let drains = check_drains(&raw.drains, &scope, report);
    let locate = check_locate(&raw.locate, report);
    let blocks = check_blocks(&raw.blocks, &raw.sites, report);
    Some(Draft {
        environment: environment?,
        regions,
        zones,
        links,
        sites,
        services,
        drains,
        locate,
        blocks,
    })
}

/// Names that other parts refer to.
struct Scope<'a> {
    regions: Map<&'a str, region::Index>,
    zones: Map<&'a str, availability::Index>,
}

impl<'a> Scope<'a> {
    fn new(
        regions: &'a BTreeMap<String, raw::Region>,
        zones: &'a [availability::Zone],
    ) -> Scope<'a> {
        let regions = (0u16..).zip(regions).map(|(i, (name, _))| (name.as_str(), region::Index(i)));
        Scope { regions: regions.collect(), zones: availability::index_by_name(zones) }
    }

    fn region(&self, path: &str, name: &str, report: &mut Report) -> Option<region::Index> {
        let found = self.regions.get(name).copied();
        if found.is_none() {
            report.add(path, format_args!("no region is named {name:?}"));
        }
        found
    }

    fn zone(&self, path: &str, name: &str, report: &mut Report) -> Option<availability::Index> {
        let found = self.zones.get(name).copied();
        if found.is_none() {
            report.add(path, format_args!("no zone is named {name:?}"));
        }
        found
    }
}

fn check_regions(
    raw: &BTreeMap<String, raw::Region>,
    report: &mut Report,
) -> (Vec<region::Region>, Vec<availability::Zone>) {
    let (mut regions, mut zones) = (Vec::new(), Vec::<availability::Zone>::new());
    if raw.is_empty() {
        report.add("regions", "wanted at least one region, found none");
    }
    for (index, (name, region)) in (0u16..).zip(raw) {
        let path = format!("regions.{name}");
        let checked = report.keep(&path, region::Name::try_from(name.as_str()));
        let ceiling = percent(&format!("{path}.ceiling_percent"), region.ceiling_percent, report);
        if region.zones.is_empty() {
            report.add(format_args!("{path}.zones"), "wanted at least one zone, found none");
        }
        for (i, zone) in region.zones.iter().enumerate() {
            let path = format!("{path}.zones[{i}]");
            if availability::find(&zones, zone).is_some() {
                report.add(&path, format_args!("the zone {zone:?} is named twice"));
            }
            let name = report.keep(&path, availability::Name::try_from(zone.as_str()));
            let region = region::Index(index);
            zones.extend(name.map(|name| availability::Zone { name, region }));
        }
        if let (Some(name), Some(ceiling)) = (checked, ceiling) {
            regions.push(region::Region { name, ceiling });
        }
    }
    (regions, zones)
}

/// A share from 1 to 100 percent.
fn percent(path: &str, raw: u8, report: &mut Report) -> Option<Percent> {
    if raw == 0 {
        report.add(path, "0 is under 1");
    }
    report.keep(path, Percent::try_from(raw))
}

fn check_links(raw: &[raw::Link], scope: &Scope<'_>, report: &mut Report) -> Vec<region::Link> {
    let mut links = Vec::<region::Link>::new();
    for (i, link) in raw.iter().enumerate() {
        let path = format!("links[{i}]");
        let [a, b] = &link.between;
        let a = scope.region(&format!("{path}.between[0]"), a, report);
        let b = scope.region(&format!("{path}.between[1]"), b, report);
        let budget = report
            .keep(format_args!("{path}.budget_percent"), Percent::try_from(link.budget_percent));
        let (Some(a), Some(b), Some(budget)) = (a, b, budget) else { continue };
        if a == b {
            report.add(format_args!("{path}.between"), "a link needs two different regions");
        }
        if links.iter().any(|link| (link.a, link.b) == (a, b) || (link.a, link.b) == (b, a)) {
            report.add(format_args!("{path}.between"), "the two regions have a link already");
        }
        let bits = u64::from(link.mbit_per_second) * 1_000_000 * u64::from(budget.get()) / 100;
        links.push(region::Link { a, b, bytes_per_second: bits / 8 });
    }
    links
}

fn check_sites(
    raw: &BTreeMap<String, raw::Site>,
    zones: &[availability::Zone],
    scope: &Scope<'_>,
    report: &mut Report,
) -> Vec<caller::Site> {
    let mut sites = Vec::with_capacity(raw.len());
    if raw.is_empty() {
        report.add("sites", "wanted at least one site, found none");
    }
    if raw.len() >= usize::from(u16::MAX) {
        report.add("sites", format_args!("{} are over 65534", raw.len()));
    }
    for (name, site) in raw {
        let path = format!("sites.{name}");
        let name = report.keep(&path, caller::Name::try_from(name.as_str()));
        let zone = scope.zone(&format!("{path}.zone"), &site.zone, report);
        if let (Some(name), Some(zone)) = (name, zone) {
            sites.push(caller::Site { name, zone, region: zones[usize::from(zone.0)].region });
        }
    }
    sites
}

fn check_services(
    raw: &BTreeMap<String, raw::Service>,
    scope: &Scope<'_>,
    report: &mut Report,
) -> Vec<service::Service> {
    let mut services = Vec::with_capacity(raw.len());
    let mut authorities = Map::<&str, &str>::default();
    for (name, service) in raw {
        let path = format!("services.{name}");
        for (i, authority) in service.authorities.iter().enumerate() {
            if let Some(other) = authorities.insert(authority, name) {
                let reason = format_args!("{authority:?} belongs to the service {other:?} already");
                report.add(format_args!("{path}.authorities[{i}]"), reason);
            }
        }
        services.extend(check_service(&path, name, service, scope, report));
    }
    services
}

fn check_service(
    path: &str,
    name: &str,
    raw: &raw::Service,
    scope: &Scope<'_>,
    report: &mut Report,
) -> Option<service::Service> {
    let name = report.keep(path, service::Name::try_from(name));
    if raw.authorities.is_empty() {
        report.add(format_args!("{path}.authorities"), "wanted at least one, found none");
    }
    for (field, found) in [
        ("slots_per_instance", raw.slots_per_instance),
        ("connections_per_instance", raw.connections_per_instance),
    ] {
        if found == 0 {
            report.add(format_args!("{path}.{field}"), "0 is under 1");
        }
    }
    let instances = check_instances(path, &raw.instances, scope, report);
    let idempotent = check_patterns(path, &raw.idempotent, report);
    let routes = check_routes(path, &raw.routes, scope, report);
    let shift = check_cap(&format!("{path}.shift"), &raw.shift, report);
    let failover = check_cap(&format!("{path}.failover"), &raw.failover, report);
    let limits = check_limits(&format!("{path}.limits"), &raw.limits, report);
    Some(service::Service {
        name: name?,
        authorities: raw.authorities.iter().map(|a| a.to_ascii_lowercase().into()).collect(),
        slots: raw.slots_per_instance,
        connections: raw.connections_per_instance,
        instances,
        idempotent,
        routes: routes?,
        shift: shift?,
        failover: failover?,
        limits: limits?,
    })
}

fn check_instances(
    path: &str,
    raw: &BTreeMap<String, u32>,
    scope: &Scope<'_>,
    report: &mut Report,
) -> Vec<u32> {
    let mut instances = vec![0; scope.regions.len()];
    for (name, count) in raw {
        let path = format!("{path}.instances.{name}");
        if let Some(region) = scope.region(&path, name, report) {
            instances[usize::from(region.0)] = *count;
        }
    }
    instances
}

fn check_patterns(path: &str, raw: &[raw::Pattern], report: &mut Report) -> Vec<request::Pattern> {
    for (i, pattern) in raw.iter().enumerate() {
        let path = format!("{path}.idempotent[{i}]");
        let is_method = |c: char| c.is_ascii_uppercase() || c == '-';
        if pattern.method.is_empty() || !pattern.method.chars().all(is_method) {
            let reason = format_args!("{:?} is no method in upper case", pattern.method);
            report.add(format_args!("{path}.method"), reason);
        }
        if !pattern.path.starts_with('/') {
            let reason = format_args!("{:?} does not start with a slash", pattern.path);
            report.add(format_args!("{path}.path"), reason);
        }
    }
    let checked = |pattern: &raw::Pattern| request::Pattern {
        method: pattern.method.as_str().into(),
        path: pattern.path.as_str().into(),
    };
    raw.iter().map(checked).collect()
}

fn check_routes(
    path: &str,
    raw: &BTreeMap<String, BTreeMap<String, u8>>,
    scope: &Scope<'_>,
    report: &mut Report,
) -> Option<Vec<shift::Vector>> {
    let regions = scope.regions.len();
    let count = u16::try_from(regions).ok()?;
    let own = |i| shift::Vector::only(region::Index(i), regions);
    let mut routes: Vec<shift::Vector> = (0..count).map(own).collect();
    for (from, shares) in raw {
        let path = format!("{path}.routes.{from}");
        let origin = scope.region(&path, from, report);
        let mut ppm = vec![0; regions];
        for (to, share) in shares {
            let path = format!("{path}.{to}");
            if let Some(region) = scope.region(&path, to, report) {
                ppm[usize::from(region.0)] = u32::from(*share) * (shift::WHOLE_PPM / 100);
            }
        }
        let vector = report.keep(&path, shift::Vector::try_from(ppm));
        if let (Some(origin), Some(vector)) = (origin, vector) {
            routes[usize::from(origin.0)] = vector;
        }
    }
    Some(routes)
}

fn check_cap(path: &str, raw: &raw::Cap, report: &mut Report) -> Option<shift::Cap> {
    let percent = percent(&format!("{path}.cap_percent"), raw.cap_percent, report)?;
    let window = Duration::from_secs(raw.window_s.into());
    report.keep(format_args!("{path}.window_s"), shift::Cap::new(percent, window))
}

fn check_limits(path: &str, raw: &raw::Limits, report: &mut Report) -> Option<service::Limits> {
    let mut share =
        |field: &str, raw: u8| report.keep(format_args!("{path}.{field}"), Percent::try_from(raw));
    let retries = share("retries_percent", raw.retries_percent);
    let hedges = share("hedges_percent", raw.hedges_percent);
    if raw.request_timeout_ms == 0 {
        report.add(format_args!("{path}.request_timeout_ms"), "0 is under 1");
    }
    Some(service::Limits {
        request_timeout: Duration::from_millis(raw.request_timeout_ms.into()),
        queue_timeout: Duration::from_millis(raw.queue_timeout_ms.into()),
        retries: retries?,
        hedges: hedges?,
    })
}

fn check_drains(raw: &raw::Drains, scope: &Scope<'_>, report: &mut Report) -> Drains {
    let mut drains = Drains { servers: Vec::new(), zones: Vec::new(), entry_hosts: Vec::new() };
    for (i, name) in raw.servers.iter().enumerate() {
        let checked = backend::Name::try_from(name.as_str());
        drains.servers.extend(report.keep(format_args!("drains.servers[{i}]"), checked));
    }
    for (i, name) in raw.zones.iter().enumerate() {
        drains.zones.extend(scope.zone(&format!("drains.zones[{i}]"), name, report));
    }
    for (i, name) in raw.entry_hosts.iter().enumerate() {
        let checked = entry::Name::try_from(name.as_str());
        drains.entry_hosts.extend(report.keep(format_args!("drains.entry_hosts[{i}]"), checked));
    }
    drains
}

fn check_locate(raw: &raw::Locate, report: &mut Report) -> entry::Policy {
    if raw.max_age_s == 0 {
        report.add("locate.max_age_s", "0 is under 1");
    }
    if raw.answers == 0 {
        report.add("locate.answers", "0 is under 1");
    }
    entry::Policy {
        max_age: Duration::from_secs(raw.max_age_s.into()),
        answers: usize::from(raw.answers),
    }
}

impl caller::Block {
    /// Checks blocks against the sites of their document.
    pub fn check_all(
        raw: &BTreeMap<String, String>,
        sites: &BTreeMap<String, raw::Site>,
    ) -> Result<Vec<caller::Block>, document::Error> {
        let mut report = Report::default();
        let blocks = check_blocks(raw, sites, &mut report);
        report.finish(Some(blocks))
    }
}

fn check_blocks(
    raw: &BTreeMap<String, String>,
    sites: &BTreeMap<String, raw::Site>,
    report: &mut Report,
) -> Vec<caller::Block> {
    let numbered = (0u16..).zip(sites.keys());
    let sites: Map<&str, caller::SiteIndex> =
        numbered.map(|(i, name)| (name.as_str(), caller::SiteIndex(i))).collect();
    let mut blocks = Vec::with_capacity(raw.len());
    for (prefix, site) in raw {
        let path = format_args!("blocks[{prefix:?}]").to_string();
        let prefix = report.keep(&path, caller::block::Prefix::try_from(prefix.as_str()));
        let Some(site) = sites.get(site.as_str()) else {
            report.add(&path, format_args!("no site is named {site:?}"));
            continue;
        };
        blocks.extend(prefix.map(|prefix| caller::Block { prefix, site: *site }));
    }
    blocks
}
