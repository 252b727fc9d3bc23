//! The operator interface, made with dropshot; `docs/openapi.json` is its OpenAPI page.

use dropshot::{
    ApiDescription, ConfigDropshot, HttpError, HttpResponseCreated, HttpResponseOk, HttpServer,
    Path, Query, RequestContext, ServerBuilder, TypedBody, endpoint,
};
use oleanderspan::{
    document::{self, ProposalOutcome, ValidatedDocument, Version, raw},
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
        exchange, survey, timeline,
    },
    wire,
};

/// The largest document that can be proposed.
const MAX_DOCUMENT_BYTES: usize = 64 << 20;

/// The most hours of stored events in one answer.
const MAX_STORED_HOURS: u32 = 7 * 24;

/// An environment in a path.
#[derive(Debug, Deserialize, JsonSchema)]
struct EnvironmentPath {
    /// The environment.
    environment: String,
}

/// What is in force on a host.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Status {
    /// The host that answers.
    pub host: String,
    /// The environment that it serves.
    pub environment: String,
    /// The version in force; 0 before the first document.
    pub version: u64,
    /// The content hash of the document in force.
    pub document: String,
    /// The hosts that it knows.
    pub hosts: Vec<HostStatus>,
    /// Shares in force, in parts per million: by service, by region of the caller, by region.
    pub shares: Vec<Vec<Vec<u32>>>,
}

/// One host as another sees it.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct HostStatus {
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: String,
    /// Its state.
    pub state: String,
}

/// A proposed document.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Proposal {
    /// The version that the operator saw; 0 for the first document.
    pub base: u64,
    /// The operation id; a repetition with the same one is harmless.
    pub operation: String,
    /// The document.
    pub document: raw::Document,
}

/// A promotion of the document of another environment.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Promotion {
    /// The environment whose document is promoted.
    pub from: String,
    /// The version of that environment that was tried.
    pub tried: u64,
    /// The version that the operator saw in the environment that receives it.
    pub base: u64,
    /// The operation id; a repetition with the same one is harmless.
    pub operation: String,
}

/// An accepted document.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Acceptance {
    /// Its version.
    pub version: u64,
}

/// An operation that was accepted.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Operation {
    /// The id that the operator gave.
    pub id: String,
    /// The version that it made.
    pub version: u64,
    /// The content hash of that version.
    pub document: String,
}

/// A document with its version.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Document {
    /// Its version.
    pub version: u64,
    /// The document.
    pub document: raw::Document,
}

/// An event of the time line.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct TimelineEvent {
    /// Hybrid logical time; it sorts like the events.
    pub stamp: u64,
    /// The time of the host's clock, in UTC.
    pub time: String,
    /// The process.
    pub process: String,
    /// What happened.
    pub kind: String,
    /// To what or whom.
    pub subject: String,
    /// How.
    pub detail: String,
}

/// The merged time line.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct Timeline {
    /// The events in their order.
    pub events: Vec<TimelineEvent>,
    /// Peer addresses of hosts that did not answer; their recent events are missing.
    pub silent: Vec<String>,
}

/// Which part of the time line is wanted.
#[derive(Debug, Deserialize, JsonSchema)]
struct TimelineQuery {
    /// Merge the stored events of this many hours as well.
    stored_hours: Option<u32>,
}

/// What is in force on one host.
#[derive(Debug, Serialize, Deserialize, JsonSchema)]
pub struct HostReport {
    /// Its name, if it is known.
    pub name: Option<String>,
    /// Its zone, if it is known.
    pub zone: Option<String>,
    /// Its state as it says itself, or `silent` if it did not answer.
    pub state: String,
    /// Its peer address.
    pub address: String,
    /// The version in force, if it answered.
    pub version: Option<u64>,
    /// The content hash of the document in force.
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
    /// The report of a host that did not answer, with what others told of it.
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

/// Starts the interface.
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

/// The description of the interface.
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

/// What is in force on this host.
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

/// The document in force in an environment.
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
    let document = parts.whole(&environment).map_err(|error| unavailable(error.into()))?;
    Ok(HttpResponseOk(Document { version: version.0, document }))
}

/// The last operations on an environment, the latest first.
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

/// Proposes a document; exactly one of several racing operators wins.
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
        return Err(invalid(format!("environment: {found:?} is proposed for {environment:?}")));
    }
    ValidatedDocument::try_from(&proposal.document).map_err(|error| invalid(error.to_string()))?;
    let base = Version(proposal.base);
    let state = context.context();
    let verdict =
        acceptance::propose(state, &environment, base, &proposal.operation, &proposal.document);
    conclude(verdict.await.map_err(unavailable)?)
}

/// Promotes the very document that was tried in another environment.
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
    let tried = record.operations.iter().find(|made| made.version == promotion.tried);
    let tried = tried.ok_or_else(|| missing("the record does not have the version tried"))?;
    let proposal = document::Proposal {
        base: Version(promotion.base),
        operation: &promotion.operation,
        document: tried.document,
    };
    let parts = acceptance::fetch(state, tried.document).await.map_err(unavailable)?;
    conclude(acceptance::advance(state, &environment, &proposal, parts).await.map_err(unavailable)?)
}

/// What is in force on all hosts; this one asks them.
#[endpoint { method = GET, path = "/v1/hosts" }]
async fn get_hosts(
    context: RequestContext<State>,
) -> Result<HttpResponseOk<Vec<HostReport>>, HttpError> {
    let state = context.context();
    let mut reports = vec![HostReport::from(exchange::message(state, None))];
    for answer in survey::ask_all::<wire::Exchange>(state, "/status").await {
        reports.push(match answer.value {
            Some(exchange) => HostReport::from(exchange),
            None => HostReport::silent(state, answer.address),
        });
    }
    reports.sort_by(|a, b| (&a.name, &a.address).cmp(&(&b.name, &b.address)));
    Ok(HttpResponseOk(reports))
}

/// The time line of all hosts, merged.
#[endpoint { method = GET, path = "/v1/timeline" }]
async fn get_timeline(
    context: RequestContext<State>,
    query: Query<TimelineQuery>,
) -> Result<HttpResponseOk<Timeline>, HttpError> {
    let hours = query.into_inner().stored_hours.unwrap_or(0).min(MAX_STORED_HOURS);
    let merged = timeline::merged(context.context(), hours.into()).await;
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

fn conclude(outcome: Outcome) -> Result<HttpResponseCreated<Acceptance>, HttpError> {
    let reason = outcome.to_string();
    match outcome {
        Outcome::Settled(ProposalOutcome::Accepted(version)) => {
            Ok(HttpResponseCreated(Acceptance { version: version.0 }))
        }
        Outcome::Settled(ProposalOutcome::VersionConflict(_)) => Err(conflict("raced", reason)),
        Outcome::Settled(ProposalOutcome::IdReused(_)) => Err(conflict("reused", reason)),
        Outcome::Away(_) => Err(unavailable_for("away", reason)),
        Outcome::Unknown(_) => Err(unavailable_for("unknown", reason)),
    }
}

fn conflict(code: &str, reason: String) -> HttpError {
    let status = dropshot::ClientErrorStatusCode::CONFLICT;
    HttpError::for_client_error(Some(code.to_owned()), status, reason)
}

/// An error whose reason the operator reads; dropshot's own form keeps it in the log.
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
