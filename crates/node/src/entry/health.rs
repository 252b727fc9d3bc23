//! Questions to the backend servers that this host dispatches to: are you leaving?
//!
//! An answer only ever adds a sign of leaving; a good one takes none back, as health endpoints
//! lag and mislead.

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

/// The mean time between two questions to a server.
const INTERVAL: Duration = Duration::from_millis(500);

/// The longest time for an answer.
const LIMIT: Duration = Duration::from_millis(400);

/// Answers in a row without the leaving header that say "unavailable" before they count as a
/// sign; a single one may come from a short overload.
const REFUSALS: u32 = 3;

/// The longest body of an answer that is read.
const MAX_BODY_BYTES: usize = 64 << 10;

/// What the answer of a server shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Finding {
    Serves,
    Refuses,
    Leaves,
    Silent,
}

/// Asks for ever.
pub async fn run(state: State) {
    let mut refusals: Map<(String, u64), u32> = Map::default();
    loop {
        tokio::time::sleep(jitter(INTERVAL, &mut ThreadRandom)).await;
        let Some(snapshot) = state.snapshot() else { continue };
        let servers = dispatched(&snapshot);
        let asked = servers.iter().map(|server| ask(&state, server));
        let findings = futures_util::future::join_all(asked).await;
        let mut seen = Map::default();
        for (server, finding) in servers.iter().zip(findings) {
            if finding != Finding::Silent {
                server.record_answer(state.clock.now());
            }
            let identity = (server.identity.name.to_string(), server.identity.incarnation);
            let before = refusals.get(&identity).copied().unwrap_or(0);
            let now = match finding {
                Finding::Refuses => before + 1,
                Finding::Silent => before,
                Finding::Serves | Finding::Leaves => 0,
            };
            if finding == Finding::Leaves || now >= REFUSALS {
                note_leaving(&state, server);
            }
            seen.insert(identity, now);
        }
        refusals = seen;
    }
}

/// Marks a server as leaving, here at once and on other hosts through the control daemon.
pub fn note_leaving(state: &Shared, server: &Server) {
    if server.is_leaving() {
        return;
    }
    server.mark_leaving();
    let sign = wire::Sign::from(&server.identity);
    state.observe(wire::Observation { leaving: vec![sign], ..wire::Observation::default() });
}

/// The servers that this host dispatches to and that have given no sign yet.
fn dispatched(snapshot: &Snapshot) -> Vec<Arc<Server>> {
    let pools = snapshot.dispatched_pools();
    let servers = pools.flat_map(|pool| pool.servers().to_vec());
    servers.filter(|server| !server.is_leaving()).collect()
}

async fn ask(state: &Shared, server: &Server) -> Finding {
    let uri = format!("http://{}/health", server.address);
    let Ok(request) = Request::get(uri).body(Body::empty()) else { return Finding::Silent };
    let answered = tokio::time::timeout(LIMIT, async {
        let (head, body) = state.servers.send(request).await.ok()?.into_parts();
        // Read to its end, so that the connection can be used again.
        let _ = Limited::new(body, MAX_BODY_BYTES).collect().await;
        Some(Response::from_parts(head, ()))
    });
    match answered.await {
        Ok(Some(answer)) => finding(&answer),
        _ => Finding::Silent,
    }
}

fn finding(answer: &Response<()>) -> Finding {
    if answer.headers().contains_key(names::LEAVING) {
        return Finding::Leaves;
    }
    match answer.status() {
        StatusCode::SERVICE_UNAVAILABLE => Finding::Refuses,
        _ => Finding::Serves,
    }
}
