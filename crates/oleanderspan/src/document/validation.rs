//! Validation of documents: resolves all names and checks all numbers against their bounds.

use std::collections::BTreeMap;

use crate::{
    availability, backend, caller,
    document::{self, fault::FaultCollector, raw},
    entry,
    prelude::*,
    region::{self, Percent},
    request, service, shift,
};

value! {
    /// A document that passed validation, with names resolved to indices.
    pub struct ValidatedDocument {
        /// The environment that the document configures.
        pub environment: document::Environment,
        /// Regions, by [`region::Index`].
        pub regions: Vec<region::Region>,
        /// Zones, by [`availability::Index`].
        pub zones: Vec<availability::Zone>,
        /// Network links between regions.
        pub links: Vec<region::Link>,
        /// Sites, by [`caller::SiteIndex`].
        pub sites: Vec<caller::Site>,
        /// Services, by [`service::Index`].
        pub services: Vec<service::Service>,
        /// What is being drained.
        pub drains: Drains,
        /// Settings of locate answers.
        pub locate: entry::Policy,
        /// Blocks of client addresses with their sites.
        pub blocks: Vec<caller::Block>,
    }

    /// Servers, zones and entry hosts that are being drained and get no new work.
    pub struct Drains {
        /// Backend servers, by name; they need not be known yet.
        pub servers: Vec<backend::Name>,
        /// Zones, with all their backend servers and entry hosts.
        pub zones: Vec<availability::Index>,
        /// Entry hosts, by name; they need not be known yet.
        pub entry_hosts: Vec<entry::Name>,
    }
}

impl TryFrom<&raw::Document> for ValidatedDocument {
    type Error = document::Error;

    fn try_from(raw: &raw::Document) -> Result<ValidatedDocument, document::Error> {
        let mut faults = FaultCollector::default();
        let document = check(raw, &mut faults);
        faults.into_result(document)
    }
}

/// Checks all sections even after a fault, so that all faults are reported at once.
fn check(raw: &raw::Document, faults: &mut FaultCollector) -> Option<ValidatedDocument> {
    let environment = faults
        .ok_or_record("environment", document::Environment::try_from(raw.environment.as_str()));
    let (regions, zones) = check_regions(&raw.regions, faults);
    let names = NameIndex::new(&raw.regions, &zones);
    let links = check_links(&raw.links, &names, faults);
    let sites = check_sites(&raw.sites, &zones, &names, faults);
    let services = check_services(&raw.services, &names, faults);
    let drains = check_drains(&raw.drains, &names, faults);
    let locate = check_locate(&raw.locate, faults);
    let blocks = check_blocks(&raw.blocks, &raw.sites, faults);
    Some(ValidatedDocument {
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

/// Indices of the regions and zones, by the names that other sections refer to.
struct NameIndex<'a> {
    regions: Map<&'a str, region::Index>,
    zones: Map<&'a str, availability::Index>,
}

impl<'a> NameIndex<'a> {
    fn new(
        regions: &'a BTreeMap<String, raw::Region>,
        zones: &'a [availability::Zone],
    ) -> NameIndex<'a> {
        let regions = (0u16..).zip(regions).map(|(i, (name, _))| (name.as_str(), region::Index(i)));
        NameIndex { regions: regions.collect(), zones: availability::index_by_name(zones) }
    }

    fn region(&self, path: &str, name: &str, faults: &mut FaultCollector) -> Option<region::Index> {
        let found = self.regions.get(name).copied();
        if found.is_none() {
            faults.add(path, format_args!("no region is named {name:?}"));
        }
        found
    }

    fn zone(
        &self,
        path: &str,
        name: &str,
        faults: &mut FaultCollector,
    ) -> Option<availability::Index> {
        let found = self.zones.get(name).copied();
        if found.is_none() {
            faults.add(path, format_args!("no zone is named {name:?}"));
        }
        found
    }
}

fn check_regions(
    raw: &BTreeMap<String, raw::Region>,
    faults: &mut FaultCollector,
) -> (Vec<region::Region>, Vec<availability::Zone>) {
    let (mut regions, mut zones) = (Vec::new(), Vec::<availability::Zone>::new());
    if raw.is_empty() {
        faults.add("regions", "at least one region is required, found none");
    }
    for (index, (name, region)) in (0u16..).zip(raw) {
        let path = format!("regions.{name}");
        let checked = faults.ok_or_record(&path, region::Name::try_from(name.as_str()));
        let ceiling = percent(&format!("{path}.ceiling_percent"), region.ceiling_percent, faults);
        if region.zones.is_empty() {
            faults.add(format_args!("{path}.zones"), "at least one zone is required, found none");
        }
        for (i, zone) in region.zones.iter().enumerate() {
            let path = format!("{path}.zones[{i}]");
            if availability::find(&zones, zone).is_some() {
                faults.add(&path, format_args!("the zone {zone:?} is named twice"));
            }
            let name = faults.ok_or_record(&path, availability::Name::try_from(zone.as_str()));
            let region = region::Index(index);
            zones.extend(name.map(|name| availability::Zone { name, region }));
        }
        if let (Some(name), Some(ceiling)) = (checked, ceiling) {
            regions.push(region::Region { name, ceiling });
        }
    }
    (regions, zones)
}

/// Checks a percentage from 1 to 100.
fn percent(path: &str, raw: u8, faults: &mut FaultCollector) -> Option<Percent> {
    if raw == 0 {
        faults.add(path, "must be at least 1, found 0");
    }
    faults.ok_or_record(path, Percent::try_from(raw))
}

fn check_links(
    raw: &[raw::Link],
    names: &NameIndex<'_>,
    faults: &mut FaultCollector,
) -> Vec<region::Link> {
    let mut links = Vec::<region::Link>::new();
    for (i, link) in raw.iter().enumerate() {
        let path = format!("links[{i}]");
        let [a, b] = &link.between;
        let a = names.region(&format!("{path}.between[0]"), a, faults);
        let b = names.region(&format!("{path}.between[1]"), b, faults);
        let budget = faults.ok_or_record(
            format_args!("{path}.budget_percent"),
            Percent::try_from(link.budget_percent),
        );
        let (Some(a), Some(b), Some(budget)) = (a, b, budget) else { continue };
        if a == b {
            faults.add(format_args!("{path}.between"), "a link must connect two different regions");
        }
        if links.iter().any(|link| (link.a, link.b) == (a, b) || (link.a, link.b) == (b, a)) {
            faults.add(
                format_args!("{path}.between"),
                "a link between these two regions is already defined",
            );
        }
        let bits = u64::from(link.mbit_per_second) * 1_000_000 * u64::from(budget.get()) / 100;
        links.push(region::Link { a, b, bytes_per_second: bits / 8 });
    }
    links
}

fn check_sites(
    raw: &BTreeMap<String, raw::Site>,
    zones: &[availability::Zone],
    names: &NameIndex<'_>,
    faults: &mut FaultCollector,
) -> Vec<caller::Site> {
    let mut sites = Vec::with_capacity(raw.len());
    if raw.is_empty() {
        faults.add("sites", "at least one site is required, found none");
    }
    if raw.len() >= usize::from(u16::MAX) {
        faults.add("sites", format_args!("at most 65534 sites are supported, found {}", raw.len()));
    }
    for (name, site) in raw {
        let path = format!("sites.{name}");
        let name = faults.ok_or_record(&path, caller::Name::try_from(name.as_str()));
        let zone = names.zone(&format!("{path}.zone"), &site.zone, faults);
        if let (Some(name), Some(zone)) = (name, zone) {
            sites.push(caller::Site { name, zone, region: zones[usize::from(zone.0)].region });
        }
    }
    sites
}

fn check_services(
    raw: &BTreeMap<String, raw::Service>,
    names: &NameIndex<'_>,
    faults: &mut FaultCollector,
) -> Vec<service::Service> {
    let mut services = Vec::with_capacity(raw.len());
    let mut authorities = Map::<&str, &str>::default();
    for (name, service) in raw {
        let path = format!("services.{name}");
        for (i, authority) in service.authorities.iter().enumerate() {
            if let Some(other) = authorities.insert(authority, name) {
                let reason = format_args!("{authority:?} belongs to the service {other:?} already");
                faults.add(format_args!("{path}.authorities[{i}]"), reason);
            }
        }
        services.extend(check_service(&path, name, service, names, faults));
    }
    services
}

fn check_service(
    path: &str,
    name: &str,
    raw: &raw::Service,
    names: &NameIndex<'_>,
    faults: &mut FaultCollector,
) -> Option<service::Service> {
    let name = faults.ok_or_record(path, service::Name::try_from(name));
    if raw.authorities.is_empty() {
        faults.add(
            format_args!("{path}.authorities"),
            "at least one authority is required, found none",
        );
    }
    for (field, found) in [
        ("slots_per_instance", raw.slots_per_instance),
        ("connections_per_instance", raw.connections_per_instance),
    ] {
        if found == 0 {
            faults.add(format_args!("{path}.{field}"), "must be at least 1, found 0");
        }
    }
    let instances = check_instances(path, &raw.instances, names, faults);
    let idempotent = check_patterns(path, &raw.idempotent, faults);
    let routes = check_routes(path, &raw.routes, names, faults);
    let shift = check_cap(&format!("{path}.shift"), &raw.shift, faults);
    let failover = check_cap(&format!("{path}.failover"), &raw.failover, faults);
    let limits = check_limits(&format!("{path}.limits"), &raw.limits, faults);
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
    names: &NameIndex<'_>,
    faults: &mut FaultCollector,
) -> Vec<u32> {
    let mut instances = vec![0; names.regions.len()];
    for (name, count) in raw {
        let path = format!("{path}.instances.{name}");
        if let Some(region) = names.region(&path, name, faults) {
            instances[usize::from(region.0)] = *count;
        }
    }
    instances
}

fn check_patterns(
    path: &str,
    raw: &[raw::Pattern],
    faults: &mut FaultCollector,
) -> Vec<request::Pattern> {
    for (i, pattern) in raw.iter().enumerate() {
        let path = format!("{path}.idempotent[{i}]");
        let is_method = |c: char| c.is_ascii_uppercase() || c == '-';
        if pattern.method.is_empty() || !pattern.method.chars().all(is_method) {
            let reason = format_args!("{:?} is not an HTTP method in upper case", pattern.method);
            faults.add(format_args!("{path}.method"), reason);
        }
        if !pattern.path.starts_with('/') {
            let reason = format_args!("{:?} does not start with a slash", pattern.path);
            faults.add(format_args!("{path}.path"), reason);
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
    names: &NameIndex<'_>,
    faults: &mut FaultCollector,
) -> Option<Vec<shift::Vector>> {
    let regions = names.regions.len();
    let count = u16::try_from(regions).ok()?;
    let local_only = |i| shift::Vector::only(region::Index(i), regions);
    let mut routes: Vec<shift::Vector> = (0..count).map(local_only).collect();
    for (from, shares) in raw {
        let path = format!("{path}.routes.{from}");
        let origin = names.region(&path, from, faults);
        let mut ppm = vec![0; regions];
        for (to, share) in shares {
            let path = format!("{path}.{to}");
            if let Some(region) = names.region(&path, to, faults) {
                ppm[usize::from(region.0)] = u32::from(*share) * (shift::WHOLE_PPM / 100);
            }
        }
        let vector = faults.ok_or_record(&path, shift::Vector::try_from(ppm));
        if let (Some(origin), Some(vector)) = (origin, vector) {
            routes[usize::from(origin.0)] = vector;
        }
    }
    Some(routes)
}

fn check_cap(path: &str, raw: &raw::Cap, faults: &mut FaultCollector) -> Option<shift::Cap> {
    let percent = percent(&format!("{path}.cap_percent"), raw.cap_percent, faults)?;
    let window = Duration::from_secs(raw.window_s.into());
    faults.ok_or_record(format_args!("{path}.window_s"), shift::Cap::new(percent, window))
}

fn check_limits(
    path: &str,
    raw: &raw::Limits,
    faults: &mut FaultCollector,
) -> Option<service::Limits> {
    let mut share = |field: &str, raw: u8| {
        faults.ok_or_record(format_args!("{path}.{field}"), Percent::try_from(raw))
    };
    let retries = share("retries_percent", raw.retries_percent);
    let hedges = share("hedges_percent", raw.hedges_percent);
    if raw.request_timeout_ms == 0 {
        faults.add(format_args!("{path}.request_timeout_ms"), "must be at least 1, found 0");
    }
    Some(service::Limits {
        request_timeout: Duration::from_millis(raw.request_timeout_ms.into()),
        queue_timeout: Duration::from_millis(raw.queue_timeout_ms.into()),
        retries: retries?,
        hedges: hedges?,
    })
}

fn check_drains(raw: &raw::Drains, names: &NameIndex<'_>, faults: &mut FaultCollector) -> Drains {
    let mut drains = Drains { servers: Vec::new(), zones: Vec::new(), entry_hosts: Vec::new() };
    for (i, name) in raw.servers.iter().enumerate() {
        let checked = backend::Name::try_from(name.as_str());
        drains.servers.extend(faults.ok_or_record(format_args!("drains.servers[{i}]"), checked));
    }
    for (i, name) in raw.zones.iter().enumerate() {
        drains.zones.extend(names.zone(&format!("drains.zones[{i}]"), name, faults));
    }
    for (i, name) in raw.entry_hosts.iter().enumerate() {
        let checked = entry::Name::try_from(name.as_str());
        drains
            .entry_hosts
            .extend(faults.ok_or_record(format_args!("drains.entry_hosts[{i}]"), checked));
    }
    drains
}

fn check_locate(raw: &raw::Locate, faults: &mut FaultCollector) -> entry::Policy {
    if raw.max_age_s == 0 {
        faults.add("locate.max_age_s", "must be at least 1, found 0");
    }
    if raw.answers == 0 {
        faults.add("locate.answers", "must be at least 1, found 0");
    }
    entry::Policy {
        max_age: Duration::from_secs(raw.max_age_s.into()),
        answers: usize::from(raw.answers),
    }
}

impl caller::Block {
    /// Validates blocks apart from their document: each prefix, and that its site is in `sites`.
    ///
    /// The error lists all invalid blocks.
    pub fn check_all(
        raw: &BTreeMap<String, String>,
        sites: &BTreeMap<String, raw::Site>,
    ) -> Result<Vec<caller::Block>, document::Error> {
        let mut faults = FaultCollector::default();
        let blocks = check_blocks(raw, sites, &mut faults);
        faults.into_result(Some(blocks))
    }
}

fn check_blocks(
    raw: &BTreeMap<String, String>,
    sites: &BTreeMap<String, raw::Site>,
    faults: &mut FaultCollector,
) -> Vec<caller::Block> {
    let numbered = (0u16..).zip(sites.keys());
    let sites: Map<&str, caller::SiteIndex> =
        numbered.map(|(i, name)| (name.as_str(), caller::SiteIndex(i))).collect();
    let mut blocks = Vec::with_capacity(raw.len());
    for (prefix, site) in raw {
        let path = format_args!("blocks[{prefix:?}]").to_string();
        let prefix = faults.ok_or_record(&path, caller::block::Prefix::try_from(prefix.as_str()));
        let Some(site) = sites.get(site.as_str()) else {
            faults.add(&path, format_args!("no site is named {site:?}"));
            continue;
        };
        blocks.extend(prefix.map(|prefix| caller::Block { prefix, site: *site }));
    }
    blocks
}
