//! Outcomes of requests, and the refusal codes for requests without an answer.

use std::fmt;

use crate::prelude::*;

/// Whether a backend server ran a request, as far as that is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A backend server answered.
    Done,
    /// The request reached no backend server, or the server reported that it shed the request.
    NotRun,
    /// A backend server may have run the request.
    Unknown,
}

impl Outcome {
    /// The value of the `oleanderspan-outcome` header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::Done => "done",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    /// The combined outcome of two attempts of the same request. `NotRun` needs both attempts not
    /// to have run; `Done` needs one answer.
    pub const fn combine(self, other: Outcome) -> Outcome {
        match (self, other) {
            (Outcome::Done, _) | (_, Outcome::Done) => Outcome::Done,
            (Outcome::NotRun, Outcome::NotRun) => Outcome::NotRun,
            _ => Outcome::Unknown,
        }
    }
}

impl TryFrom<&str> for Outcome {
    type Error = ParseError;

    fn try_from(raw: &str) -> Result<Outcome, ParseError> {
        [Outcome::Done, Outcome::NotRun, Outcome::Unknown]
            .into_iter()
            .find(|outcome| outcome.as_str() == raw)
            .ok_or(ParseError)
    }
}

/// The text is not a known [`Outcome`] or [`Refusal`] code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseError;

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("wanted one of done, not-run, unknown")
    }
}

impl std::error::Error for ParseError {}

/// Why a request got no answer from a backend server; listed in `docs/operators/refusals.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// No service is configured for the request's authority.
    NoService,
    /// The configuration has a route for the request that this host cannot use.
    UnusableRoute,
    /// The request has no key of a customer, and its route needs one.
    UnknownCustomer,
    /// The customer's requests exceed its quota.
    OverQuota,
    /// The request is malformed.
    Malformed,
    /// The request body exceeds the limit.
    TooLarge,
    /// The host has no memory left for the request body.
    NoMemory,
    /// The caps of the service leave no region that may take the request.
    Capped,
    /// The region is at its concurrency ceiling, and the queue is full or too slow.
    Overloaded,
    /// No live backend server is known for the request.
    NoServer,
    /// The bandwidth budget of the link to the region is used up.
    LinkFull,
    /// The deadline passed before the request was sent to a server.
    Expired,
    /// This host is not the dispatcher of the service in the region.
    Misdirected,
    /// The connection to the host or server failed.
    Unreachable,
    /// The server reported that it shed the request without running it.
    Shed,
    /// The platform's table could not confirm the claim of the idempotency key.
    StoreUnavailable,
    /// Another request with the same key is running, or has run and its answer is not stored.
    Claimed,
    /// The idempotency key was used before for a different request.
    KeyReused,
    /// The host has not received a snapshot of the configuration in force.
    NotReady,
    /// This host stops before the request could be done.
    Stopping,
    /// This host stopped while a server worked on the request.
    CutOff,
    /// The deadline passed after the request was sent to a server.
    TimedOut,
    /// The connection failed after the request was sent.
    Broken,
    /// The answer has no framing that marks its end, so a truncated one could not be detected.
    Unframed,
}

impl Refusal {
    /// All refusals, for parsing, counters and tests.
    pub const ALL: [Refusal; 24] = [
        Refusal::NoService,
        Refusal::UnusableRoute,
        Refusal::UnknownCustomer,
        Refusal::OverQuota,
        Refusal::Malformed,
        Refusal::TooLarge,
        Refusal::NoMemory,
        Refusal::Capped,
        Refusal::Overloaded,
        Refusal::NoServer,
        Refusal::LinkFull,
        Refusal::Expired,
        Refusal::Misdirected,
        Refusal::Unreachable,
        Refusal::Shed,
        Refusal::StoreUnavailable,
        Refusal::Claimed,
        Refusal::KeyReused,
        Refusal::NotReady,
        Refusal::Stopping,
        Refusal::CutOff,
        Refusal::TimedOut,
        Refusal::Broken,
        Refusal::Unframed,
    ];

    /// The stable code used in headers, bodies, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Refusal::NoService => "no-service",
            Refusal::UnusableRoute => "unusable-route",
            Refusal::UnknownCustomer => "unknown-customer",
            Refusal::OverQuota => "over-quota",
            Refusal::Malformed => "malformed",
            Refusal::TooLarge => "too-large",
            Refusal::NoMemory => "no-memory",
            Refusal::Capped => "capped",
            Refusal::Overloaded => "overloaded",
            Refusal::NoServer => "no-server",
            Refusal::LinkFull => "link-full",
            Refusal::Expired => "expired",
            Refusal::Misdirected => "misdirected",
            Refusal::Unreachable => "unreachable",
            Refusal::Shed => "shed",
            Refusal::StoreUnavailable => "store-away",
            Refusal::Claimed => "claimed",
            Refusal::KeyReused => "key-reused",
            Refusal::NotReady => "not-ready",
            Refusal::Stopping => "stopping",
            Refusal::CutOff => "cut-off",
            Refusal::TimedOut => "timed-out",
            Refusal::Broken => "broken",
            Refusal::Unframed => "unframed",
        }
    }

    /// Whether the request may have run, given that it was refused with this code.
    pub const fn outcome(self) -> Outcome {
        match self {
            Refusal::Claimed
            | Refusal::CutOff
            | Refusal::TimedOut
            | Refusal::Broken
            | Refusal::Unframed => Outcome::Unknown,
            _ => Outcome::NotRun,
        }
    }

    /// The HTTP status code of the response.
    pub const fn status(self) -> u16 {
        match self {
            Refusal::NoService => 404,
            Refusal::UnknownCustomer => 401,
            Refusal::OverQuota => 429,
            Refusal::Malformed => 400,
            Refusal::TooLarge => 413,
            Refusal::Claimed => 409,
            Refusal::KeyReused => 422,
            Refusal::Misdirected => 421,
            Refusal::TimedOut => 504,
            Refusal::Unreachable | Refusal::CutOff | Refusal::Broken | Refusal::Unframed => 502,
            _ => 503,
        }
    }

    /// How long the caller should wait before it retries, or `None` if a retry cannot succeed.
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Refusal::NoService
            | Refusal::UnknownCustomer
            | Refusal::Malformed
            | Refusal::TooLarge
            | Refusal::KeyReused => None,
            Refusal::StoreUnavailable | Refusal::Claimed => Some(Duration::from_secs(5)),
            // The other hosts serve on.
            Refusal::Stopping => Some(Duration::from_millis(50)),
            // A host without a free slot refuses requests as overloaded, so that other servers have
            // room.
            Refusal::Shed | Refusal::Unreachable => Some(Duration::from_millis(100)),
            _ => Some(Duration::from_secs(1)),
        }
    }
}

impl TryFrom<&str> for Refusal {
    type Error = ParseError;

    fn try_from(raw: &str) -> Result<Refusal, ParseError> {
        Refusal::ALL.into_iter().find(|refusal| refusal.as_str() == raw).ok_or(ParseError)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Refusal::NoService => "no service has this authority",
            Refusal::UnusableRoute => "the route of the request cannot be used",
            Refusal::UnknownCustomer => "the request has no key of a customer",
            Refusal::OverQuota => "the customer has sent more requests than its quota allows",
            Refusal::Malformed => "the request is malformed",
            Refusal::TooLarge => "the body is larger than the limit",
            Refusal::NoMemory => "the host has no memory left for the body",
            Refusal::Capped => "no region may take the request within its cap",
            Refusal::Overloaded => "the region is at its ceiling",
            Refusal::NoServer => "no live backend server is known",
            Refusal::LinkFull => "the link to the region has no budget left",
            Refusal::Expired => "the time limit passed before the request was sent",
            Refusal::Misdirected => "this host does not dispatch for the service and region",
            Refusal::Unreachable => "the next hop could not be connected to",
            Refusal::Shed => "the backend server shed the request",
            Refusal::StoreUnavailable => "the claim of the idempotency key could not be confirmed",
            Refusal::Claimed => "a request with this idempotency key is running or has run",
            Refusal::KeyReused => "the idempotency key came with a different request before",
            Refusal::NotReady => "the host has not learned what is in force",
            Refusal::Stopping => "the host stops before the request could be done",
            Refusal::CutOff => "the host stopped after the request was sent",
            Refusal::TimedOut => "the time limit passed after the request was sent",
            Refusal::Broken => "the connection broke after the request was sent",
            Refusal::Unframed => "the answer of the backend server does not say where it ends",
        })
    }
}
