//! The HTTP interface for operators, built with dropshot and described in `docs/openapi.json`.

use dropshot::{
    ApiDescription, ConfigDropshot, HttpError, HttpResponseCreated, HttpResponseOk, HttpServer,
    Path, Query, RequestContext, ServerBuilder, TypedBody, endpoint,
};
use oleanderspan::{
    document::{self, ValidatedDocument, Version, raw},
    prelude::*,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use slog::o;

use crate::{
    clock,
    control::{
        State,
        acceptance::{self, Outcome},
        exchange, peer_query, timeline,
    },
    wire,
};

/// Maximum size of a proposed document.
const MAX_DOCUMENT_BYTES: usize = 64 << 20;

/// Maximum number of hours of stored events in one answer.
const MAX_STORED_HOURS: u32 = 7 * 24;

/// Path parameters of the endpoints for an environment.
#[derive(Debug, Deserialize, JsonSchema)]
struct EnvironmentPath {
    /// Name of the environment.
    environment: String,
}

/// The document and shares in force on a host.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// Name of the host that answers.
    pub host: String,
    /// Environment that the host serves.
    pub environment: String,
    /// Version in force; 0 before the first document.
    pub version: u64,
    /// Content hash of the document in force; empty before the first document.
    pub document: String,
    /// Hosts that are not gone, including the one that answers.
    pub hosts: Vec<HostStatus>,
    /// Shares in force, in parts per million, indexed by service, region of the caller and region;
    /// empty until the host has published a snapshot.
    pub shares: Vec<Vec<Vec<u32>>>,
}

/// State of a host as known to the host that answers.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct HostStatus {
    /// Name of the host.
    pub name: String,
    /// Availability zone of the host.
    pub zone: String,
    /// State of the host in lower case, such as `live` or `leaving`.
    pub state: String,
}

/// A document proposed for an environment.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Proposal {
    /// Version on which the proposal is based; 0 for the first document. The proposal is refused if
    /// another version is in force.
    pub base: u64,
    /// Operation id chosen by the operator; a retry with the same id has no further effect.
    pub operation: String,
    /// The complete document.
    pub document: raw::Document,
}

/// Promotion of a document from another environment.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Promotion {
    /// Environment whose document is promoted.
    pub from: String,
    /// Version of that environment to promote, which was tried there. It must be among the
    /// operations that its record still lists.
    pub tried: u64,
    /// Version on which the promotion is based in the receiving environment; 0 if it has no
    /// document. The promotion is refused if another version is in force.
    pub base: u64,
    /// Operation id chosen by the operator; a retry with the same id has no further effect.
    pub operation: String,
}

/// Result of an accepted proposal or promotion.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Acceptance {
    /// Version under which the document was accepted.
    pub version: u64,
}

/// An accepted operation on an environment.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Operation {
    /// Operation id chosen by the operator.
    pub id: String,
    /// Version that the operation created.
    pub version: u64,
    /// Content hash of the document of that version.
    pub document: String,
}

/// A document and its version.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Document {
    /// Version of the document.
    pub version: u64,
    /// The complete document.
    pub document: raw::Document,
}

/// An event of the timeline.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct TimelineEvent {
    /// Hybrid logical time stamp, by which events are sorted.
    pub stamp: u64,
    /// Wall-clock time of the host, in UTC.
    pub time: String,
    /// Process that recorded the event, such as `host-1234/control`.
    pub process: String,
    /// Kind of the event.
    pub kind: String,
    /// What the event is about, such as a host, a server or a version; may be empty.
    pub subject: String,
    /// Further details in plain text; may be empty.
    pub detail: String,
}

/// The merged timeline of all hosts.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Timeline {
    /// Events, sorted by time stamp.
    pub events: Vec<TimelineEvent>,
    /// Peer addresses of hosts that did not answer; their recent events are not included.
    pub silent: Vec<String>,
}

/// Query parameters of the timeline.
#[derive(Debug, Deserialize, JsonSchema)]
struct TimelineQuery {
    /// Also includes the stored events of this many hours, the current one included; 168 at most.
    stored_hours: Option<u32>,
}

/// State of one host and the document in force on it.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct HostReport {
    /// Name of the host; null if unknown.
    pub name: Option<String>,
    /// Availability zone of the host; null if unknown.
    pub zone: Option<String>,
    /// State that the host reports, in lower case, or `silent` if it did not answer.
    pub state: String,
    /// Peer address of the host.
    pub address: String,
    /// Version in force, 0 before the first document; null if the host did not answer.
    pub version: Option<u64>,
    /// Content hash of the document in force; null before the first document or if the host did
    /// not answer.
    pub document: Option<String>,
}

impl From<wire::Exchange> for HostReport {
    fn from(exchange: wire::Exchange) -> HostReport {
        let from = exchange.members.from;
        HostReport {
            state: format!("{:?}", from.state).to_lowercase(),
            name: Some(from.name),
            zone: Some(from.zone),
            address: from.peer_address.to_string(),
            version: Some(exchange.document.version),
            document: exchange.document.document.map(|document| document.to_string()),
        }
    }
}

impl HostReport {
    /// Report on a host that did not answer, with the name and zone known from the membership.
    fn silent(state: &State, address: SocketAddr) -> HostReport {
        let hosts = state.registry.hosts();
        let known = hosts.iter().find(|host| host.peer_address == address);
        HostReport {
            name: known.map(|host| host.name.clone()),
            zone: known.map(|host| host.zone.clone()),
            state: "silent".to_owned(),
            address: address.to_string(),
            version: None,
            document: None,
        }
    }
}

/// Starts the HTTP server. Fails if the address cannot be bound.
pub fn serve(state: State) -> Result<HttpServer<State>, String> {
    let config = ConfigDropshot {
        bind_address: state.settings.control.operator_address,
        default_request_body_max_bytes: MAX_DOCUMENT_BYTES,
        ..ConfigDropshot::default()
    };
    let log = state.log.new(o!("part" => "operator"));
    let server = ServerBuilder::new(api()?, state, log).config(config).start();
    server.map_err(|error| error.to_string())
}

/// Registers the endpoints. Fails if two of them conflict.
pub fn api() -> Result<ApiDescription<State>, String> {
    let mut api = ApiDescription::new();
    let registered = [
        api.register(get_status),
        api.register(get_document),
        api.register(get_operations),
        api.register(propose),
        api.register(promote),
        api.register(get_hosts),
        api.register(get_timeline),
    ];
    registered.into_iter().collect::<Result<Vec<()>, _>>().map_err(|error| error.to_string())?;
    Ok(api)
}

/// Returns the document hash, version and shares in force on this host, and the hosts known to it.
#[endpoint { method = GET, path = "/v1/status" }]
async fn get_status(context: RequestContext<State>) -> Result<HttpResponseOk<Status>, HttpError> {
    let state = context.context();
    let hosts = state.registry.hosts();
    let inner = state.lock();
    let hosts = hosts.into_iter().map(|host| HostStatus {
        state: format!("{:?}", host.state).to_lowercase(),
        name: host.name,
        zone: host.zone,
    });
    Ok(HttpResponseOk(Status {
        host: state.settings.host.name.to_string(),
        environment: state.settings.environment.to_string(),
        version: inner.accepted.as_ref().map_or(0, |accepted| accepted.version.0),
        document: inner.accepted.as_ref().map_or_else(String::new, |a| a.hash.to_string()),
        hosts: hosts.collect(),
        shares: inner.snapshot.as_ref().map_or_else(Vec::new, |s| s.shares.clone()),
    }))
}

/// Returns the document in force in an environment.
#[endpoint { method = GET, path = "/v1/environments/{environment}/document" }]
async fn get_document(
    context: RequestContext<State>,
    path: Path<EnvironmentPath>,
) -> Result<HttpResponseOk<Document>, HttpError> {
    let state = context.context();
    let environment = path.into_inner().environment;
    let own = state.accepted().filter(|_| state.settings.environment.as_str() == environment);
    let (version, parts) = match own {
        Some(own) => (own.version, own.parts),
        None => {
            let (version, record) = record(state, &environment).await?;
            let parts = acceptance::fetch(state, record.document).await.map_err(unavailable)?;
            (version, Arc::new(parts))
        }
    };
    let document = parts.document(&environment).map_err(|error| unavailable(error.into()))?;
    Ok(HttpResponseOk(Document { version: version.0, document }))
}

/// Lists the latest operations on an environment, the most recent first.
#[endpoint { method = GET, path = "/v1/environments/{environment}/operations" }]
async fn get_operations(
    context: RequestContext<State>,
    path: Path<EnvironmentPath>,
) -> Result<HttpResponseOk<Vec<Operation>>, HttpError> {
    let (_, record) = record(context.context(), &path.into_inner().environment).await?;
    let operations = record.operations.into_iter().map(|operation| Operation {
        id: operation.id,
        version: operation.version,
        document: operation.document.to_string(),
    });
    Ok(HttpResponseOk(operations.collect()))
}

/// Proposes a document. Of several concurrent proposals on the same version, exactly one succeeds.
#[endpoint { method = POST, path = "/v1/environments/{environment}/proposals" }]
async fn propose(
    context: RequestContext<State>,
    path: Path<EnvironmentPath>,
    body: TypedBody<Proposal>,
) -> Result<HttpResponseCreated<Acceptance>, HttpError> {
    let environment = path.into_inner().environment;
    let proposal = body.into_inner();
    if proposal.document.environment != environment {
        let found = &proposal.document.environment;
        return Err(invalid(format!(
            "environment: document for {found:?} was proposed for {environment:?}"
        )));
    }
    ValidatedDocument::try_from(&proposal.document).map_err(|error| invalid(error.to_string()))?;
    let base = Version(proposal.base);
    let state = context.context();
    let outcome =
        acceptance::propose(state, &environment, base, &proposal.operation, &proposal.document);
    acceptance_response(outcome.await.map_err(unavailable)?)
}

/// Promotes a document, unchanged, from the environment in which it was tried.
#[endpoint { method = POST, path = "/v1/environments/{environment}/promotions" }]
async fn promote(
    context: RequestContext<State>,
    path: Path<EnvironmentPath>,
    body: TypedBody<Promotion>,
) -> Result<HttpResponseCreated<Acceptance>, HttpError> {
    let environment = path.into_inner().environment;
    let promotion = body.into_inner();
    let state = context.context();
    let (_, record) = record(state, &promotion.from).await?;
    let tried = record.operations.iter().find(|operation| operation.version == promotion.tried);
    let tried = tried
        .ok_or_else(|| missing("the version to promote is not in the environment's record"))?;
    let proposal = document::Proposal {
        base: Version(promotion.base),
        operation: &promotion.operation,
        document: tried.document,
    };
    let parts = acceptance::fetch(state, tried.document).await.map_err(unavailable)?;
    acceptance_response(
        acceptance::update_record(state, &environment, &proposal, parts)
            .await
            .map_err(unavailable)?,
    )
}

/// Returns the state of all hosts and the documents in force on them, as queried by this host.
#[endpoint { method = GET, path = "/v1/hosts" }]
async fn get_hosts(
    context: RequestContext<State>,
) -> Result<HttpResponseOk<Vec<HostReport>>, HttpError> {
    let state = context.context();
    let mut reports = vec![HostReport::from(exchange::message(state, None))];
    for answer in peer_query::query_all::<wire::Exchange>(state, "/status").await {
        reports.push(match answer.value {
            Some(exchange) => HostReport::from(exchange),
            None => HostReport::silent(state, answer.address),
        });
    }
    reports.sort_by(|a, b| (&a.name, &a.address).cmp(&(&b.name, &b.address)));
    Ok(HttpResponseOk(reports))
}

/// Returns the merged timeline of all hosts.
#[endpoint { method = GET, path = "/v1/timeline" }]
async fn get_timeline(
    context: RequestContext<State>,
    query: Query<TimelineQuery>,
) -> Result<HttpResponseOk<Timeline>, HttpError> {
    let hours = query.into_inner().stored_hours.unwrap_or(0).min(MAX_STORED_HOURS);
    let merged = timeline::merge(context.context(), hours.into()).await;
    let merged = merged.map_err(|error| unavailable(error.into()))?;
    let events = merged.events.iter().map(|event| TimelineEvent {
        stamp: event.stamp.as_u64(),
        time: clock::format_utc(event.stamp.millis()),
        process: event.process.to_string(),
        kind: event.kind.to_string(),
        subject: event.subject.clone(),
        detail: event.detail.clone(),
    });
    let silent = merged.silent.iter().map(ToString::to_string);
    Ok(HttpResponseOk(Timeline { events: events.collect(), silent: silent.collect() }))
}

async fn record(
    state: &State,
    environment: &str,
) -> Result<(Version, document::Record), HttpError> {
    let found = acceptance::read(state, environment).await.map_err(unavailable)?;
    found.ok_or_else(|| missing("the environment has no document"))
}

fn acceptance_response(outcome: Outcome) -> Result<HttpResponseCreated<Acceptance>, HttpError> {
    let reason = outcome.to_string();
    match outcome {
        Outcome::Settled(document::Outcome::Accepted(version)) => {
            Ok(HttpResponseCreated(Acceptance { version: version.0 }))
        }
        Outcome::Settled(document::Outcome::VersionConflict(_)) => Err(conflict("raced", reason)),
        Outcome::Settled(document::Outcome::IdReused(_)) => Err(conflict("reused", reason)),
        Outcome::Unavailable(_) => Err(unavailable_for("away", reason)),
        Outcome::Unknown(_) => Err(unavailable_for("unknown", reason)),
    }
}

fn conflict(code: &str, reason: String) -> HttpError {
    let status = dropshot::ClientErrorStatusCode::CONFLICT;
    HttpError::for_client_error(Some(code.to_owned()), status, reason)
}

/// Status 503 with a reason that is sent to the operator; dropshot's constructor would only log it.
fn unavailable_for(code: &str, reason: String) -> HttpError {
    HttpError {
        status_code: dropshot::ErrorStatusCode::SERVICE_UNAVAILABLE,
        error_code: Some(code.to_owned()),
        internal_message: reason.clone(),
        external_message: reason,
        headers: None,
    }
}

fn invalid(reason: String) -> HttpError {
    HttpError::for_bad_request(Some("invalid".to_owned()), reason)
}

fn missing(reason: &str) -> HttpError {
    HttpError::for_not_found(Some("missing".to_owned()), reason.to_owned())
}

fn unavailable(error: crate::control::state::Error) -> HttpError {
    unavailable_for("away", error.to_string())
}
