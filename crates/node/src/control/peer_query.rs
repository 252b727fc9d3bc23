//! Queries to all other hosts at once, on behalf of an operator who asks this one.

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::Request;
use oleanderspan::prelude::*;
use serde::de::DeserializeOwned;

use crate::{codec, control::State, http::Body};

/// Maximum number of hosts that are queried at once.
const MAX_AT_ONCE: usize = 64;

/// Time-out for each answer.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// Answer of a host to a query.
#[derive(Clone, Debug)]
pub struct Answer<T> {
    /// Peer address of the host.
    pub address: SocketAddr,
    /// Decoded answer; `None` if the host did not answer in time, or not with a readable one.
    pub value: Option<T>,
}

/// Queries all other hosts that are listed in the settings or known from the membership.
pub async fn query_all<T: DeserializeOwned>(state: &State, path: &str) -> Vec<Answer<T>> {
    let mut addresses = state.settings.control.peers.clone();
    addresses.extend(state.registry.peers());
    addresses.sort_unstable();
    addresses.dedup();
    addresses.retain(|address| *address != state.settings.control.peer_address);
    let answers = stream::iter(addresses).map(async |address| {
        let bytes = query(state, address, path).await;
        Answer { address, value: bytes.and_then(|bytes| codec::from_wire(&bytes).ok()) }
    });
    answers.buffered(MAX_AT_ONCE).collect().await
}

async fn query(state: &State, address: SocketAddr, path: &str) -> Option<Bytes> {
    let request = Request::get(format!("http://{address}{path}")).body(Body::empty()).ok()?;
    let (status, body) = state.peers.call(request, TIMEOUT).await.ok()?;
    status.is_success().then_some(body)
}
