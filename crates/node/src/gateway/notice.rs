//! Takes note of what servers say of themselves in their answers.

use std::sync::atomic::Ordering;

use http::{HeaderMap, HeaderValue, StatusCode, response};
use oleanderspan::{
    backend::{Notice, Sender, Server},
    prelude::*,
};
use slog::{info, warn};

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
    if head.status == StatusCode::SERVICE_UNAVAILABLE
        && let Some(raw) = head.headers.get(&state.names.retry_after)
    {
        match parse_seconds(raw) {
            Some(asked) if asked.is_zero() => {}
            Some(asked) => back_off(state, call, server, asked),
            None => warn!(state.log, "server asks for backoff of no whole number of seconds; \
                ignoring it"; "request" => call.id, "server" => %server.identity.name,
                "asked" => String::from_utf8_lossy(raw.as_bytes()).into_owned()),
        }
    }
}

fn says_leaving(state: &Shared, headers: &HeaderMap) -> bool {
    names::text(headers, &state.names.server_leaving) == Some(IS_LEAVING)
}

/// A whole number of seconds; one too large for the type is the longest time.
fn parse_seconds(raw: &HeaderValue) -> Option<Duration> {
    let digits = raw.to_str().ok()?;
    let is_number = !digits.is_empty() && digits.bytes().all(|byte| byte.is_ascii_digit());
    is_number.then(|| Duration::from_secs(digits.parse().unwrap_or(u64::MAX)))
}

/// Sends the server nothing for the time that it asked of this host, and lets the arbiter know.
fn back_off(state: &Shared, call: &Call<'_>, server: &Server, asked: Duration) {
    let now = state.clock.now();
    let ends = server.notice().back_off(&server.identity, state.sender, asked, now);
    keep(state, server, |notice| notice.back_off_until(state.sender, ends, now));
    state.backoffs.fetch_add(1, Ordering::Relaxed);
    let backoff = ends.since(now);
    info!(state.log, "server asks for backoff; sending it nothing until then";
        "request" => call.id, "server" => %server.identity.name,
        "incarnation" => server.identity.incarnation, "asked_s" => asked.as_secs(),
        "backoff_ms" => backoff.as_millis());
    if state.snapshot().remote_arbiter(&state.settings, call.service).is_some() {
        grant::report(state, grant::backoff_report(call.service, &server.identity, backoff));
    }
}

/// Records that another host is to send the server nothing for so long.
pub fn record_backoff(state: &Shared, server: &Server, sender: Sender, backoff: Duration) {
    let now = state.clock.now();
    let record = |notice: &Notice| notice.back_off_until(sender, now + backoff, now);
    record(server.notice());
    keep(state, server, record);
}

/// Records that this start of a server is leaving; returns whether that is news to this host.
pub fn record_leaving(state: &Shared, server: &Server) -> bool {
    let is_news = server.notice().record_leaving();
    keep(state, server, |notice| {
        notice.record_leaving();
    });
    state.said_leaving.fetch_add(u64::from(is_news), Ordering::Relaxed);
    is_news
}

/// Keeps what the server has said, in case that its entry is removed and returns. If it has done so
/// since the request was sent, records it on the notice that is in use now.
fn keep(state: &Shared, server: &Server, record: impl FnOnce(&Notice)) {
    if server.notice().is_kept() {
        return;
    }
    state.update(|view, _| {
        let shared = view.listing.keep_notice(&server.identity, server.notice());
        if !Arc::ptr_eq(&shared, server.notice()) {
            record(&shared);
        }
        // The pools ask the notice itself, so they need no new snapshot.
        false
    });
}
