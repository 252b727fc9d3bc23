//! Takes note of what servers say of themselves in their answers.

use std::sync::atomic::Ordering;

use http::{HeaderMap, StatusCode, response};
use oleanderspan::{backend::Server, prelude::*};
use slog::info;

use crate::{
    gateway::{forward::Call, grant, state::Shared},
    http::header as names,
};

/// The value of the header by which a server says that it is leaving.
const IS_LEAVING: &str = "1";

/// Records what an answer to `call` says of its server.
pub fn observe(state: &Shared, call: &Call<'_>, server: &Server, head: &response::Parts) {
    // Another server answers this status, at an address that it has taken over.
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    if says_leaving(state, &head.headers) && record_leaving(state, server) {
        info!(state.log, "server says that it is leaving; sending it no more requests";
            "request" => call.id, "server" => %server.identity.name,
            "incarnation" => server.identity.incarnation, "status" => head.status.as_u16());
        grant::report(state, grant::leaving_report(call.service, server));
    }
}

fn says_leaving(state: &Shared, headers: &HeaderMap) -> bool {
    names::text(headers, &state.names.server_leaving) == Some(IS_LEAVING)
}

/// Records that this start of a server is leaving; returns whether that is news to this host.
pub fn record_leaving(state: &Shared, server: &Server) -> bool {
    let is_news = server.notice().record_leaving();
    if !is_news && server.notice().is_kept() {
        return false;
    }
    state.update(|view, _| {
        let shared = view.listing.keep_notice(&server.identity, server.notice());
        // The entry may have been removed and have returned since the request was sent.
        if !Arc::ptr_eq(&shared, server.notice()) {
            shared.record_leaving();
        }
        // The pools ask the notice itself, so they need no new snapshot.
        false
    });
    state.said_leaving.fetch_add(u64::from(is_news), Ordering::Relaxed);
    is_news
}
