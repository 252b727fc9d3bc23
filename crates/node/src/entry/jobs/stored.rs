//! Requests of jobs, as stored in the object store.

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

/// The stored request of a job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRequest {
    /// The request id, as in the `x-request-id` header.
    pub id: String,
    /// The HTTP method.
    pub method: String,
    /// The path and query of the request; `/` if it had none.
    pub path: String,
    /// The headers to forward, without `Prefer`.
    pub headers: Vec<(String, Vec<u8>)>,
    /// The body, whole.
    pub body: Vec<u8>,
    /// The address of the caller, which determines the region.
    pub caller: IpAddr,
}

impl StoredRequest {
    /// Copies an arrived request; `id` is its request id.
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

    /// Stores the request under the hash of its content, and returns the object's name.
    pub async fn put(&self, store: &Store) -> Result<String, Error> {
        let bytes = codec::to_wire(self)?;
        let name = format!("job-{}", codec::content_hash_hex(&bytes));
        store.put(&name, bytes).await?;
        Ok(name)
    }

    /// Reads the request stored as object `name`. Fails if it is missing or cannot be decoded.
    pub async fn get(store: &Store, name: &str) -> Result<StoredRequest, Error> {
        let bytes = store.get(name).await?;
        let bytes =
            bytes.ok_or_else(|| Error::Protocol(format!("stored request {name} is missing")))?;
        Ok(codec::from_wire(&bytes)?)
    }

    /// Converts this into a request to forward, or `None` if the stored data is invalid.
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
