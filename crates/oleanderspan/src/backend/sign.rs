//! Signs that a server is leaving. The first sign is final for that start of the server: no later
//! report revokes it.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    backend::{self, server::Identity},
    entry::membership::broadcast,
    prelude::*,
};

/// How long a sign is kept after the platform stops listing that start of the server.
const RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of signs in one message.
const MAX_SIGNS: usize = 32;

/// Signs of leaving that a host has observed or received.
#[derive(Clone, Debug, Default)]
pub struct Signs {
    held: BTreeMap<Identity, Instant>,
    listed: BTreeSet<Identity>,
    rumors: broadcast::Queue<Identity>,
    digest: u64,
}

impl Signs {
    /// Records a sign; returns `true` if it is the first for this start of the server.
    pub fn note(&mut self, identity: Identity, now: Instant) -> bool {
        if self.held.contains_key(&identity) {
            return false;
        }
        if self.listed.contains(&identity) {
            self.digest ^= identity_hash(&identity);
        }
        self.rumors.push(identity.clone());
        self.held.insert(identity, now);
        true
    }

    /// Whether a sign is held for this start of a server.
    pub fn has(&self, name: &str, incarnation: u64) -> bool {
        let name = backend::Name::try_from(name);
        name.is_ok_and(|name| self.held.contains_key(&Identity { name, incarnation }))
    }

    /// Sets the servers that the platform lists.
    pub fn set_listed(&mut self, listed: BTreeSet<Identity>, now: Instant) {
        for (identity, since) in &mut self.held {
            // The retention period starts when the server is no longer listed.
            if listed.contains(identity) || self.listed.contains(identity) {
                *since = now;
            }
        }
        self.listed = listed;
        self.digest = self.shared().map(identity_hash).fold(0, |sum, number| sum ^ number);
    }

    /// Removes signs of servers that have been unlisted for longer than the retention period.
    pub fn remove_expired(&mut self, now: Instant) {
        let listed = &self.listed;
        self.held
            .retain(|identity, since| listed.contains(identity) || now.since(*since) < RETENTION);
    }

    /// Recent signs to include in a message, in a system of `hosts` hosts.
    pub fn recent(&mut self, hosts: usize) -> Vec<Identity> {
        let held = &self.held;
        let picked = self.rumors.pick(MAX_SIGNS, hosts);
        picked.into_iter().filter(|identity| held.contains_key(identity)).collect()
    }

    /// Signs of listed servers. Signs of unlisted servers are excluded because each host removes
    /// them at a different time.
    pub fn shared(&self) -> impl Iterator<Item = &Identity> {
        self.held.keys().filter(|identity| self.listed.contains(identity))
    }

    /// A digest of [`Signs::shared`]; hosts whose digests differ exchange all shared signs.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Number of signs held, including those of unlisted servers.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no sign is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

fn identity_hash(identity: &Identity) -> u64 {
    xxh3_64_with_seed(identity.name.as_str().as_bytes(), identity.incarnation)
}
