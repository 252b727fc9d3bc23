//! How a request ended, as far as it can be proved.

use std::fmt;

use crate::prelude::*;

/// What is known about the effect of a request that got no answer of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// A backend server answered.
    Done,
    /// The request provably reached no backend server, or the server said that it shed it.
    NotRun,
    /// A backend server may have run the request.
    Unknown,
}

impl Outcome {
    /// The value of the outcome header.
    pub const fn as_str(self) -> &'static str {
        match self {
            Outcome::Done => "done",
            Outcome::NotRun => "not-run",
            Outcome::Unknown => "unknown",
        }
    }

    /// The outcome of two attempts of the same request: the weaker claim of both.
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

/// The text names no outcome.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseError;

impl fmt::Display for ParseError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("wanted one of done, not-run, unknown")
    }
}

impl std::error::Error for ParseError {}

/// Why a request got no answer from a backend server; `docs/operators/refusals.md` lists them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Refusal {
    /// No service has the request's authority.
    NoService,
    /// The request itself is malformed.
    Malformed,
    /// The body is larger than the limit.
    TooLarge,
    /// No region may take the request within its cap.
    Capped,
    /// The region is at its ceiling and the queue is full or too slow.
    Overloaded,
    /// No live server is known.
    NoServer,
    /// The link to the region has no budget left.
    LinkFull,
    /// The time limit passed before the request was sent to a server.
    Expired,
    /// This host does not dispatch for the service and region.
    Misdirected,
    /// The host or the server could not be connected to.
    Unreachable,
    /// The server said that it did not run the request.
    Shed,
    /// The platform's store could not confirm the claim of the key.
    StoreUnavailable,
    /// Another request with the same key is running or has run, and its answer is not kept.
    Claimed,
    /// The same key came with a different request.
    KeyReused,
    /// The host has not learned what is in force.
    NotReady,
    /// The time limit passed after the request was sent to a server.
    TimedOut,
    /// The connection broke after the request was sent.
    Broken,
    /// The answer does not say where it ends, so that a cut could not be noticed.
    Unframed,
}

impl Refusal {
    /// All refusals, for tables and tests.
    pub const ALL: [Refusal; 18] = [
        Refusal::NoService,
        Refusal::Malformed,
        Refusal::TooLarge,
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
        Refusal::TimedOut,
        Refusal::Broken,
        Refusal::Unframed,
    ];

    /// The code in headers, bodies, logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Refusal::NoService => "no-service",
            Refusal::Malformed => "malformed",
            Refusal::TooLarge => "too-large",
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
            Refusal::TimedOut => "timed-out",
            Refusal::Broken => "broken",
            Refusal::Unframed => "unframed",
        }
    }

    /// What the refusal proves about the request's effect.
    pub const fn outcome(self) -> Outcome {
        match self {
            Refusal::Claimed | Refusal::TimedOut | Refusal::Broken | Refusal::Unframed => {
                Outcome::Unknown
            }
            _ => Outcome::NotRun,
        }
    }

    /// The HTTP status code that carries the refusal.
    pub const fn status(self) -> u16 {
        match self {
            Refusal::NoService => 404,
            Refusal::Malformed => 400,
            Refusal::TooLarge => 413,
            Refusal::Claimed => 409,
            Refusal::KeyReused => 422,
            Refusal::Misdirected => 421,
            Refusal::TimedOut => 504,
            Refusal::Unreachable | Refusal::Broken | Refusal::Unframed => 502,
            _ => 503,
        }
    }

    /// When the caller may try again, or `None` if a repetition cannot succeed.
    pub const fn retry_after(self) -> Option<Duration> {
        match self {
            Refusal::NoService | Refusal::Malformed | Refusal::TooLarge | Refusal::KeyReused => {
                None
            }
            Refusal::StoreUnavailable | Refusal::Claimed => Some(Duration::from_secs(5)),
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
            Refusal::Malformed => "the request is malformed",
            Refusal::TooLarge => "the body is larger than the limit",
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
            Refusal::TimedOut => "the time limit passed after the request was sent",
            Refusal::Broken => "the connection broke after the request was sent",
            Refusal::Unframed => "the answer of the backend server does not say where it ends",
        })
    }
}
