//! The real [`Pool`], either one before all servers or one a host with slots of its own.

use std::{cell::RefCell, collections::VecDeque, net::Ipv4Addr, rc::Rc};

use oleanderspan::{
    availability,
    backend::{self, Pool, Server, Waiter},
    entry::rank,
    prelude::*,
};

use crate::measure::{
    case::Topology,
    policy::{Decision, Grant, Policy, View},
};

/// What waiters of one region tell the run.
#[derive(Debug, Default)]
struct Slate {
    granted: VecDeque<Grant>,
    refused: VecDeque<usize>,
    given_up: Set<usize>,
}

/// A request that waits.
#[derive(Debug)]
struct Ticket {
    request: usize,
    decider: usize,
    slate: Rc<RefCell<Slate>>,
}

impl Waiter for Ticket {
    fn grant(self, server: Arc<Server>) -> Result<(), Arc<Server>> {
        let mut slate = self.slate.borrow_mut();
        if slate.given_up.remove(&self.request) {
            return Err(server);
        }
        let server = index(&server);
        slate.granted.push_back(Grant { request: self.request, decider: self.decider, server });
        Ok(())
    }

    fn refuse(self) {
        let mut slate = self.slate.borrow_mut();
        if !slate.given_up.remove(&self.request) {
            slate.refused.push_back(self.request);
        }
    }
}

/// Pools by the host that decides.
#[derive(Debug)]
pub struct Pooled {
    servers: Vec<usize>,
    pools: Vec<Option<Pool<Ticket>>>,
    dispatcher: Option<usize>,
    left: Set<usize>,
    leaving: Set<usize>,
    slate: Rc<RefCell<Slate>>,
}

impl Pooled {
    /// One dispatching host with one queue before all servers of a region.
    pub fn dispatched(topology: &Topology, region: usize) -> Pooled {
        let mut pooled = Pooled::empty(topology, region);
        pooled.elect(topology, region);
        pooled
    }

    /// The slots of a region divided among its hosts.
    pub fn divided(topology: &Topology, region: usize) -> Pooled {
        let mut pooled = Pooled::empty(topology, region);
        let hosts = topology.hosts.len();
        for host in 0..hosts {
            let part = |i: usize| {
                let first = i * topology.slots as usize;
                let own = (first..first + topology.slots as usize).filter(|k| k % hosts == host);
                own.count() as u32
            };
            let servers: Vec<Arc<Server>> = (0..)
                .zip(&pooled.servers)
                .filter(|(i, _)| part(*i) > 0)
                .map(|(i, server)| described(*server, topology, part(i)))
                .collect();
            let slots: u32 = servers.iter().map(|server| server.free()).sum();
            let pool = Pool::new();
            pool.update(servers, (slots * topology.ceiling_percent).div_ceil(100));
            pooled.pools[host] = Some(pool);
        }
        pooled
    }

    fn empty(topology: &Topology, region: usize) -> Pooled {
        Pooled {
            servers: topology.servers_of(region).collect(),
            pools: topology.hosts.iter().map(|_| None).collect(),
            dispatcher: None,
            left: Set::default(),
            leaving: Set::default(),
            slate: Rc::default(),
        }
    }

    /// Finds the dispatching host, which starts with counts of its own.
    fn elect(&mut self, topology: &Topology, region: usize) {
        let hosts: Vec<(usize, String)> = topology
            .hosts_of(region)
            .filter(|host| !self.left.contains(host))
            .map(|host| (host, format!("host-{host}")))
            .collect();
        let first = rank::highest(&hosts, &format!("service/{region}"), |(_, name)| name);
        self.dispatcher = first.map(|(host, _)| *host);
        let Some(host) = self.dispatcher else { return };
        let live = self.servers.iter().filter(|server| !self.leaving.contains(server));
        let servers: Vec<Arc<Server>> =
            live.map(|i| described(*i, topology, topology.slots)).collect();
        let ceiling = topology.ceiling(servers.len() as u32);
        let pool = Pool::new();
        pool.update(servers, ceiling);
        self.pools[host] = Some(pool);
    }

    fn pool(&self, decider: usize) -> Option<&Pool<Ticket>> {
        self.pools.get(decider)?.as_ref()
    }
}

impl Policy for Pooled {
    fn decider(&self, host: usize) -> usize {
        self.dispatcher.unwrap_or(host)
    }

    fn offer(&mut self, request: usize, decider: usize, view: View<'_>) -> Decision {
        let Some(pool) = self.pool(decider) else { return Decision::Refuse };
        if let Some(server) = pool.try_acquire() {
            return Decision::Start(index(&server));
        }
        if pool.servers().iter().all(|server| server.is_leaving()) {
            return Decision::Refuse;
        }
        let ticket = Ticket { request, decider, slate: Rc::clone(&self.slate) };
        pool.enqueue(ticket, view.queue_timeout, view.now);
        Decision::Wait
    }

    fn granted(&mut self, _view: View<'_>) -> Option<Grant> {
        self.slate.borrow_mut().granted.pop_front()
    }

    fn refused(&mut self) -> Option<usize> {
        self.slate.borrow_mut().refused.pop_front()
    }

    fn give_up(&mut self, request: usize) {
        self.slate.borrow_mut().given_up.insert(request);
    }

    fn answered(
        &mut self,
        decider: usize,
        server: usize,
        latency: Option<Duration>,
        view: View<'_>,
    ) {
        let Some(pool) = self.pool(decider) else { return };
        let Some(server) = find(pool, server) else { return };
        if let Some(latency) = latency {
            pool.observe(&server, latency);
        }
        pool.release(&server, view.now);
    }

    fn see_leaving(&mut self, decider: usize, server: usize, view: View<'_>) {
        self.leaving.insert(server);
        let Some(pool) = self.pool(decider) else { return };
        let Some(server) = find(pool, server) else { return };
        if server.is_leaving() {
            return;
        }
        server.mark_leaving();
        let servers = pool.servers();
        let live = servers.iter().filter(|server| !server.is_leaving()).count();
        pool.update(servers.to_vec(), view.topology.ceiling(live as u32));
    }

    fn host_leaves(&mut self, host: usize, view: View<'_>) {
        self.left.insert(host);
        if self.dispatcher == Some(host) {
            self.elect(view.topology, view.topology.hosts[host].region);
        }
    }
}

fn find(pool: &Pool<Ticket>, server: usize) -> Option<Arc<Server>> {
    pool.servers().iter().find(|known| index(known) == server).cloned()
}

fn index(server: &Server) -> usize {
    usize::from(server.address.port())
}

fn described(server: usize, topology: &Topology, slots: u32) -> Arc<Server> {
    let name = backend::Name::try_from(format!("server-{server}").as_str());
    let name = name.expect("the name is made of letters, digits and a dash");
    let identity = backend::server::Identity { name, incarnation: 1 };
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, server as u16));
    let place = topology.servers[server];
    let zone = availability::Index((place.region * 2 + place.zone) as u16);
    Arc::new(Server::new(identity, address, zone, slots))
}
