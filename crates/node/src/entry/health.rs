//! Health probes of the backend servers that this host dispatches to, to detect servers that are
//! leaving.
//!
//! A probe can only mark a server as leaving. A good answer does not clear that mark, as health
//! endpoints lag and can be wrong.

use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Limited};
use oleanderspan::{backend::Server, entry::membership::jitter, prelude::*};

use crate::{
    clock::ThreadRandom,
    entry::{
        State,
        state::{Shared, Snapshot},
    },
    http::{Body, header as names},
    wire,
};

/// The mean time between two probes of a server.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);

/// The timeout of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// The number of consecutive 503 answers without the leaving header after which a server counts as
/// leaving; a single one may come from a short overload.
const UNAVAILABLE_THRESHOLD: u32 = 3;

/// The maximum number of bytes read from the body of an answer.
const MAX_BODY_BYTES: usize = 64 << 10;

/// The result of a health probe.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ProbeResult {
    Healthy,
    Unavailable,
    Leaving,
    NoAnswer,
}

/// Probes all servers that this host dispatches to, until the task is aborted.
pub async fn run(state: State) {
    let mut unavailable_counts: Map<(String, u64), u32> = Map::default();
    loop {
        tokio::time::sleep(jitter(PROBE_INTERVAL, &mut ThreadRandom)).await;
        let Some(snapshot) = state.snapshot() else { continue };
        let servers = probed_servers(&snapshot);
        let probes = servers.iter().map(|server| probe(&state, server));
        let results = futures_util::future::join_all(probes).await;
        let mut current = Map::default();
        for (server, result) in servers.iter().zip(results) {
            if result != ProbeResult::NoAnswer {
                server.record_answer(state.clock.now());
            }
            let identity = (server.identity.name.to_string(), server.identity.incarnation);
            let previous = unavailable_counts.get(&identity).copied().unwrap_or(0);
            let count = match result {
                ProbeResult::Unavailable => previous + 1,
                ProbeResult::NoAnswer => previous,
                ProbeResult::Healthy | ProbeResult::Leaving => 0,
            };
            if result == ProbeResult::Leaving || count >= UNAVAILABLE_THRESHOLD {
                report_leaving(&state, server);
            }
            current.insert(identity, count);
        }
        unavailable_counts = current;
    }
}

/// Marks a server as leaving, on this host at once and on other hosts through the control daemon.
pub fn report_leaving(state: &Shared, server: &Server) {
    if server.is_leaving() {
        return;
    }
    server.mark_leaving();
    let sign = wire::Sign::from(&server.identity);
    state.observe(wire::Observation { leaving: vec![sign], ..wire::Observation::default() });
}

/// The servers that this host dispatches to and that are not yet marked as leaving.
fn probed_servers(snapshot: &Snapshot) -> Vec<Arc<Server>> {
    let pools = snapshot.dispatched_pools();
    let servers = pools.flat_map(|pool| pool.servers().to_vec());
    servers.filter(|server| !server.is_leaving()).collect()
}

async fn probe(state: &Shared, server: &Server) -> ProbeResult {
    let uri = format!("http://{}/health", server.address);
    let Ok(request) = Request::get(uri).body(Body::empty()) else { return ProbeResult::NoAnswer };
    let answered = tokio::time::timeout(PROBE_TIMEOUT, async {
        let (head, body) = state.servers.send(request).await.ok()?.into_parts();
        // Reads the body to its end so that the connection can be reused.
        let _ = Limited::new(body, MAX_BODY_BYTES).collect().await;
        Some(Response::from_parts(head, ()))
    });
    match answered.await {
        Ok(Some(answer)) => classify(&answer),
        _ => ProbeResult::NoAnswer,
    }
}

fn classify(answer: &Response<()>) -> ProbeResult {
    if answer.headers().contains_key(names::LEAVING) {
        return ProbeResult::Leaving;
    }
    match answer.status() {
        StatusCode::SERVICE_UNAVAILABLE => ProbeResult::Unavailable,
        _ => ProbeResult::Healthy,
    }
}
