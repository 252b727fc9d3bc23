//! The production [`Pool`]: one per region, or one per host with a partition of the slots.

use std::{cell::RefCell, collections::VecDeque, net::Ipv4Addr, rc::Rc};

use oleanderspan::{
    availability,
    backend::{self, Pool, Server, Waiter},
    entry::rank,
    prelude::*,
    region,
};

use crate::measure::{
    case::Topology,
    policy::{Decision, Grant, Policy, View},
};

/// Grants and refusals that the waiters of one region pass to the simulation.
#[derive(Debug, Default)]
struct WaiterResults {
    granted: VecDeque<Grant>,
    refused: VecDeque<usize>,
    abandoned: Set<usize>,
}

/// A request waiting in a pool.
#[derive(Debug)]
struct QueuedRequest {
    request: usize,
    dispatcher: usize,
    results: Rc<RefCell<WaiterResults>>,
}

impl Waiter for QueuedRequest {
    fn grant(self, server: Arc<Server>) -> Result<(), Arc<Server>> {
        let mut results = self.results.borrow_mut();
        if results.abandoned.remove(&self.request) {
            return Err(server);
        }
        let server = server_index(&server);
        results.granted.push_back(Grant {
            request: self.request,
            dispatcher: self.dispatcher,
            server,
        });
        Ok(())
    }

    fn refuse(self) {
        let mut results = self.results.borrow_mut();
        if !results.abandoned.remove(&self.request) {
            results.refused.push_back(self.request);
        }
    }
}

/// Pools of one region, indexed by dispatching host.
#[derive(Debug)]
pub struct Pooled {
    servers: Vec<usize>,
    pools: Vec<Option<Pool<QueuedRequest>>>,
    dispatcher: Option<usize>,
    left_hosts: Set<usize>,
    leaving: Set<usize>,
    results: Rc<RefCell<WaiterResults>>,
}

impl Pooled {
    /// One dispatching host with one queue for all servers of a region.
    pub fn dispatched(topology: &Topology, region: usize) -> Pooled {
        let mut pooled = Pooled::without_pools(topology, region);
        pooled.elect(topology, region);
        pooled
    }

    /// Partitions the slots of a region among all hosts of the topology.
    pub fn partitioned(topology: &Topology, region: usize) -> Pooled {
        let mut pooled = Pooled::without_pools(topology, region);
        let hosts = topology.hosts.len();
        for host in 0..hosts {
            let slot_count = |i: usize| {
                let first = i * topology.slots as usize;
                let assigned =
                    (first..first + topology.slots as usize).filter(|k| k % hosts == host);
                assigned.count() as u32
            };
            let servers: Vec<Arc<Server>> = (0..)
                .zip(&pooled.servers)
                .filter(|(i, _)| slot_count(*i) > 0)
                .map(|(i, server)| build_server(*server, topology, slot_count(i)))
                .collect();
            let slots: u32 = servers.iter().map(|server| server.free()).sum();
            let pool = Pool::new();
            pool.update(servers, (slots * topology.ceiling_percent).div_ceil(100));
            pooled.pools[host] = Some(pool);
        }
        pooled
    }

    fn without_pools(topology: &Topology, region: usize) -> Pooled {
        Pooled {
            servers: topology.servers_of(region).collect(),
            pools: topology.hosts.iter().map(|_| None).collect(),
            dispatcher: None,
            left_hosts: Set::default(),
            leaving: Set::default(),
            results: Rc::default(),
        }
    }

    /// Elects the dispatching host, which starts with a new pool and no in-flight counts.
    fn elect(&mut self, topology: &Topology, region: usize) {
        let hosts: Vec<(usize, String)> = topology
            .hosts_of(region)
            .filter(|host| !self.left_hosts.contains(host))
            .map(|host| (host, format!("host-{host}")))
            .collect();
        let first = rank::highest(&hosts, &format!("service/{region}"), |(_, name)| name);
        self.dispatcher = first.map(|(host, _)| *host);
        let Some(host) = self.dispatcher else { return };
        let live = self.servers.iter().filter(|server| !self.leaving.contains(server));
        let servers: Vec<Arc<Server>> =
            live.map(|i| build_server(*i, topology, topology.slots)).collect();
        let ceiling = topology.ceiling(servers.len() as u32);
        let pool = Pool::new();
        pool.update(servers, ceiling);
        self.pools[host] = Some(pool);
    }

    fn pool(&self, dispatcher: usize) -> Option<&Pool<QueuedRequest>> {
        self.pools.get(dispatcher)?.as_ref()
    }
}

impl Policy for Pooled {
    fn dispatcher(&self, host: usize) -> usize {
        self.dispatcher.unwrap_or(host)
    }

    fn offer(&mut self, request: usize, dispatcher: usize, view: View<'_>) -> Decision {
        let Some(pool) = self.pool(dispatcher) else { return Decision::Refuse };
        if let Some(server) = pool.try_acquire() {
            return Decision::Start(server_index(&server));
        }
        if pool.servers().iter().all(|server| server.is_leaving()) {
            return Decision::Refuse;
        }
        let queued = QueuedRequest { request, dispatcher, results: Rc::clone(&self.results) };
        pool.enqueue(queued, view.queue_timeout, view.now);
        Decision::Wait
    }

    fn next_granted(&mut self, _view: View<'_>) -> Option<Grant> {
        self.results.borrow_mut().granted.pop_front()
    }

    fn next_refused(&mut self) -> Option<usize> {
        self.results.borrow_mut().refused.pop_front()
    }

    fn abandon(&mut self, request: usize) {
        self.results.borrow_mut().abandoned.insert(request);
    }

    fn record_answer(
        &mut self,
        dispatcher: usize,
        server: usize,
        latency: Option<Duration>,
        view: View<'_>,
    ) {
        let Some(pool) = self.pool(dispatcher) else { return };
        let Some(server) = find_server(pool, server) else { return };
        if let Some(latency) = latency {
            pool.observe(&server, latency);
        }
        pool.release(&server, view.now);
    }

    fn record_leaving(&mut self, dispatcher: usize, server: usize, view: View<'_>) {
        self.leaving.insert(server);
        let Some(pool) = self.pool(dispatcher) else { return };
        let Some(server) = find_server(pool, server) else { return };
        if server.is_leaving() {
            return;
        }
        server.mark_leaving();
        let servers = pool.servers();
        let live = servers.iter().filter(|server| !server.is_leaving()).count();
        pool.update(servers.to_vec(), view.topology.ceiling(live as u32));
    }

    fn remove_host(&mut self, host: usize, view: View<'_>) {
        self.left_hosts.insert(host);
        if self.dispatcher == Some(host) {
            self.elect(view.topology, view.topology.hosts[host].region);
        }
    }
}

fn find_server(pool: &Pool<QueuedRequest>, server: usize) -> Option<Arc<Server>> {
    pool.servers().iter().find(|known| server_index(known) == server).cloned()
}

fn server_index(server: &Server) -> usize {
    usize::from(server.address.port())
}

fn build_server(server: usize, topology: &Topology, slots: u32) -> Arc<Server> {
    let name = backend::Name::try_from(format!("server-{server}").as_str());
    let name = name.expect("server names consist of letters, digits and a dash");
    let identity = backend::server::Identity { name, incarnation: 1 };
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, server as u16));
    let location = topology.servers[server];
    let location = availability::Location {
        zone: availability::Index((location.region * 2 + location.zone) as u16),
        region: region::Index(location.region as u16),
    };
    Arc::new(Server::new(identity, address, location, slots))
}
