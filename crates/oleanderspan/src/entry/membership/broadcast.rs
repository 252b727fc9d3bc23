//! Recent changes that are sent along with other messages, each a bounded number of times.

use std::collections::BTreeMap;

/// How often a change is sent for each doubling of the number of hosts.
const SENDS_PER_DOUBLING: u32 = 4;

/// Keys of recent changes, with the number of times that each was sent.
#[derive(Clone, Debug)]
pub struct Queue<K> {
    sent: BTreeMap<K, u32>,
}

impl<K: Clone + Ord> Queue<K> {
    /// Starts to send a change, or starts again if it changed once more.
    pub fn push(&mut self, key: K) {
        self.sent.insert(key, 0);
    }

    /// Whether every change was sent often enough.
    pub fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    /// The `limit` changes that were sent least; each counts as sent to one of `hosts`.
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
