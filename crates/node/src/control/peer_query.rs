//! Questions to all other hosts at once, for operators who ask one.

use bytes::Bytes;
use futures_util::{StreamExt, stream};
use http::Request;
use oleanderspan::prelude::*;
use serde::de::DeserializeOwned;

use crate::{codec, control::State, http::Body};

/// Hosts that are asked at once.
const MAX_AT_ONCE: usize = 64;

/// The longest time for one answer.
const TIMEOUT: Duration = Duration::from_millis(1_000);

/// What a host answered.
#[derive(Clone, Debug)]
pub struct Answer<T> {
    /// The peer address that was asked.
    pub address: SocketAddr,
    /// The answer, or `None` if there was none.
    pub value: Option<T>,
}

/// Asks all hosts that the settings name or that were heard of.
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
