//! Where a control daemon fetches parts from: a peer, or the store.

use bytes::Bytes;
use futures_util::{StreamExt, TryStreamExt, stream};
use http::{Request, StatusCode};
use oleanderspan::{document::Hash, prelude::*};

use crate::{
    codec,
    control::parts::{Error, Source},
    http::{Body, client::Client},
    store::Store,
    wire,
};

/// The longest time for one batch of parts from a peer.
const BATCH_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Objects that are read or written at once.
pub const MAX_OBJECTS_AT_ONCE: usize = 16;

/// Another process of ours that has the parts.
#[derive(Clone, Copy, Debug)]
pub struct Peer<'a> {
    /// Connections to such processes.
    pub client: &'a Client,
    /// Where it listens.
    pub address: SocketAddr,
}

impl Source for Peer<'_> {
    async fn fetch(&self, hashes: &[Hash]) -> Result<Vec<Bytes>, Error> {
        let body = codec::to_wire(&hashes)?;
        let request = Request::post(format!("http://{}/parts", self.address))
            .body(Body::from(Bytes::from(body)))
            .map_err(|error| Error::Source(error.to_string()))?;
        let response = self.client.call(request, BATCH_TIMEOUT).await;
        let (status, body) = response.map_err(|error| Error::Source(error.to_string()))?;
        if status != StatusCode::OK {
            return Err(Error::Missing(hashes[0]));
        }
        let parts: wire::Parts = codec::from_wire(&body)?;
        Ok(parts.parts.into_iter().map(|part| part.0).collect())
    }
}

impl Source for Store {
    async fn fetch(&self, hashes: &[Hash]) -> Result<Vec<Bytes>, Error> {
        let objects = stream::iter(hashes.to_vec()).map(async |hash| {
            let found = self.get(&object_name(&hash)).await;
            let found = found.map_err(|error| Error::Source(error.to_string()))?;
            found.map(Bytes::from).ok_or(Error::Missing(hash))
        });
        objects.buffered(MAX_OBJECTS_AT_ONCE).try_collect().await
    }
}

/// The object that holds a part.
pub fn object_name(hash: &Hash) -> String {
    format!("part-{hash}")
}
