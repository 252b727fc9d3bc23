//! The request of a job as the object store keeps it.

use bytes::Bytes;
use http::{HeaderName, HeaderValue, Request, request};
use oleanderspan::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{
    codec,
    entry::{
        jobs::{Arrival, PREFER},
        outbound::OutboundRequest,
    },
    store::{Error, Store},
};

/// A request that may wait.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRequest {
    /// The identity of the request.
    pub id: String,
    /// The method.
    pub method: String,
    /// Path and query.
    pub path: String,
    /// The headers that are passed on.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body.
    pub body: Vec<u8>,
    /// Who sent it, which decides the region.
    pub caller: IpAddr,
}

impl StoredRequest {
    /// The request of an arrival.
    pub fn new(arrival: &Arrival, id: &str) -> StoredRequest {
        let headers = arrival.head.headers.iter().filter(|(name, _)| *name != PREFER);
        StoredRequest {
            id: id.to_owned(),
            method: arrival.head.method.to_string(),
            path: arrival.head.uri.path_and_query().map_or("/", |path| path.as_str()).to_owned(),
            headers: headers.map(|(n, v)| (n.to_string(), v.as_bytes().to_vec())).collect(),
            body: arrival.body.to_vec(),
            caller: arrival.caller,
        }
    }

    /// Stores the request under the hash of its content, and returns the name.
    pub async fn put(&self, store: &Store) -> Result<String, Error> {
        let bytes = codec::to_wire(self)?;
        let name = format!("job-{}", codec::hash(&bytes));
        store.put(&name, bytes).await?;
        Ok(name)
    }

    /// Reads a stored request.
    pub async fn get(store: &Store, name: &str) -> Result<StoredRequest, Error> {
        let bytes = store.get(name).await?;
        let bytes = bytes.ok_or_else(|| Error::Protocol(format!("object {name} is gone")))?;
        Ok(codec::from_wire(&bytes)?)
    }

    /// The request on its way, or `None` if it is malformed.
    pub fn into_outbound(self) -> Option<OutboundRequest> {
        let request = Request::builder().method(self.method.as_str()).uri(self.path);
        let (mut head, ()): (request::Parts, ()) = request.body(()).ok()?.into_parts();
        for (name, value) in self.headers {
            let name = HeaderName::try_from(name).ok()?;
            head.headers.append(name, HeaderValue::from_bytes(&value).ok()?);
        }
        Some(OutboundRequest::buffered(head, Bytes::from(self.body)))
    }
}
