//! Sources of document parts: a peer or the platform's store.

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

/// Time-out for one batch of parts from a peer.
const BATCH_TIMEOUT: Duration = Duration::from_millis(1_000);

/// Maximum number of objects that are read or written at once.
pub const MAX_OBJECTS_AT_ONCE: usize = 16;

/// A control daemon that serves the parts of its document in force.
#[derive(Clone, Copy, Debug)]
pub struct Peer<'a> {
    /// Client that holds the connections.
    pub client: &'a Client,
    /// Peer address of the daemon.
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

/// Name of the object that holds a part.
pub fn object_name(hash: &Hash) -> String {
    format!("part-{hash}")
}
