//! Signs of leaving: the first one counts and holds for that start of the server, whoever says
//! something else later.

use std::collections::{BTreeMap, BTreeSet};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    backend::{self, server::Identity},
    entry::membership::broadcast,
    prelude::*,
};

/// How long a sign is kept for a start of a server that the platform does not list.
const MEMORY: Duration = Duration::from_secs(60);

/// Signs in one message.
const MAX_SIGNS: usize = 32;

/// Signs of leaving that a host has seen or heard of.
#[derive(Clone, Debug, Default)]
pub struct Signs {
    held: BTreeMap<Identity, Instant>,
    listed: BTreeSet<Identity>,
    rumors: broadcast::Queue<Identity>,
    digest: u64,
}

impl Signs {
    /// Takes note of a sign; true if it is the first one of this start of the server.
    pub fn note(&mut self, identity: Identity, now: Instant) -> bool {
        if self.held.contains_key(&identity) {
            return false;
        }
        if self.listed.contains(&identity) {
            self.digest ^= number(&identity);
        }
        self.rumors.push(identity.clone());
        self.held.insert(identity, now);
        true
    }

    /// Whether this start of a server gave a sign.
    pub fn has(&self, name: &str, incarnation: u64) -> bool {
        let name = backend::Name::try_from(name);
        name.is_ok_and(|name| self.held.contains_key(&Identity { name, incarnation }))
    }

    /// Takes over which servers the platform lists.
    pub fn set_listed(&mut self, listed: BTreeSet<Identity>, now: Instant) {
        for (identity, since) in &mut self.held {
            // The time to forget begins when the server is listed no more.
            if listed.contains(identity) || self.listed.contains(identity) {
                *since = now;
            }
        }
        self.listed = listed;
        self.digest = self.shared().map(number).fold(0, |sum, number| sum ^ number);
    }

    /// Forgets signs of servers that the platform has not listed for a while.
    pub fn forget(&mut self, now: Instant) {
        let listed = &self.listed;
        self.held.retain(|identity, since| listed.contains(identity) || now.since(*since) < MEMORY);
    }

    /// Recent signs to send along, for a system of `hosts` hosts.
    pub fn recent(&mut self, hosts: usize) -> Vec<Identity> {
        let held = &self.held;
        let picked = self.rumors.pick(MAX_SIGNS, hosts);
        picked.into_iter().filter(|identity| held.contains_key(identity)).collect()
    }

    /// Signs of listed servers; those of others are forgotten at different times on each host.
    pub fn shared(&self) -> impl Iterator<Item = &Identity> {
        self.held.keys().filter(|identity| self.listed.contains(identity))
    }

    /// A digest of [`Signs::shared`]; hosts whose digests differ compare all of them.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The number of signs held.
    pub fn len(&self) -> usize {
        self.held.len()
    }

    /// Whether no sign is held.
    pub fn is_empty(&self) -> bool {
        self.held.is_empty()
    }
}

fn number(identity: &Identity) -> u64 {
    xxh3_64_with_seed(identity.name.as_str().as_bytes(), identity.incarnation)
}
