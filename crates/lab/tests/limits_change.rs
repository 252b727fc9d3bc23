//! Limits of a new document come into force; counts of limits that stay are kept.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

mod local;

use oleanderspan::{document::raw::Limits, service};

const SERVICE: service::Index = service::Index(0);

#[test]
fn budgets_follow_the_document_and_keep_their_credit_otherwise() {
    let limits = Limits { retries_percent: 10, hedges_percent: 5, ..Limits::default() };
    let first = local::snapshot(limits.clone(), None);
    while first.retries(SERVICE).try_spend() {}

    let same = local::snapshot(limits.clone(), Some(&first));
    assert!(!same.retries(SERVICE).try_spend(), "a spent budget was filled by a new snapshot");

    let changed = Limits { retries_percent: 20, hedges_percent: 0, ..limits };
    let changed = local::snapshot(changed, Some(&same));
    assert_eq!(changed.retries(SERVICE).share().get(), 20);
    assert!(!changed.hedges(SERVICE).try_spend(), "hedges were turned off");
}
