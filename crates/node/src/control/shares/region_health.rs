//! Regions that have live entry hosts and live backend servers, as known to this host.

use oleanderspan::{
    availability,
    document::ValidatedDocument,
    entry::{Host, host},
    prelude::*,
    region,
};

use crate::control::state::Inner;

/// Time after the start of this host in which every region counts as able to serve, as hosts and
/// servers may not be known yet.
const STARTUP_WAIT: Duration = Duration::from_secs(5);

/// Number of servers that are not leaving, by service and region.
pub(super) fn live_servers<'a>(
    inner: &'a Inner,
    document: &ValidatedDocument,
) -> Map<(&'a str, region::Index), u32> {
    let zones = availability::index_by_name(&document.zones);
    let mut live = Map::default();
    for server in &inner.list.servers {
        let is_leaving = inner.signs.has(&server.name, server.incarnation);
        if let Some(zone) = zones.get(server.zone.as_str()).filter(|_| !is_leaving) {
            let region = document.zones[usize::from(zone.0)].region;
            *live.entry((server.service.as_str(), region)).or_default() += 1;
        }
    }
    live
}

/// Whether each region can serve each service: a live entry host and a server that is not leaving
/// are known there. Every region counts as able while the server list is empty.
pub(super) fn can_serve(
    inner: &Inner,
    document: &ValidatedDocument,
    own: &Host,
    hosts: &[Host],
    now: Instant,
) -> Vec<Vec<bool>> {
    let is_starting = now.since(Instant::ZERO) < STARTUP_WAIT || inner.list.servers.is_empty();
    let servers = live_servers(inner, document);
    let regions = || (0u16..).map(region::Index).zip(&document.regions).map(|(region, _)| region);
    let has_host = |region| {
        let is_live = |host: &Host| host.region == region && host.state == host::State::Live;
        own.region == region || hosts.iter().any(is_live)
    };
    let has_host: Vec<bool> = regions().map(has_host).collect();
    let services = document.services.iter().map(|service| {
        let has_server = |region| servers.contains_key(&(service.name.as_str(), region));
        let can_serve = regions().zip(&has_host);
        can_serve.map(|(region, has_host)| is_starting || *has_host && has_server(region)).collect()
    });
    services.collect()
}
