//! Recent changes piggybacked on other messages, each a bounded number of times.

use std::collections::BTreeMap;

/// Number of transmissions of a change for each doubling of the number of hosts.
const SENDS_PER_DOUBLING: u32 = 4;

/// Keys of recent changes, each with its number of transmissions.
#[derive(Clone, Debug)]
pub struct Queue<K> {
    sent: BTreeMap<K, u32>,
}

impl<K: Clone + Ord> Queue<K> {
    /// Queues a change, or resets its transmission count if it is queued already.
    pub fn push(&mut self, key: K) {
        self.sent.insert(key, 0);
    }

    /// Whether all changes have reached their number of transmissions.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    /// Picks up to `limit` of the least transmitted changes and counts each as transmitted once.
    /// The number of transmissions grows with the logarithm of `hosts`.
    pub fn pick(&mut self, limit: usize, hosts: usize) -> Vec<K> {
        let most = SENDS_PER_DOUBLING * (hosts as u32 + 2).ilog2();
        let mut keys: Vec<(u32, K)> =
            self.sent.iter().map(|(key, sent)| (*sent, key.clone())).collect();
        keys.sort();
        keys.truncate(limit);
        for (sent, key) in &keys {
            if sent + 1 >= most {
                self.sent.remove(key);
            } else {
                self.sent.insert(key.clone(), sent + 1);
            }
        }
        keys.into_iter().map(|(_, key)| key).collect()
    }
}

impl<K> Default for Queue<K> {
    fn default() -> Queue<K> {
        Queue { sent: BTreeMap::new() }
    }
}
