//! Counts response bytes received over a link between regions.

use oleanderspan::{prelude::*, snapshot::Link};

use crate::clock::Monotonic;

/// Charges response bytes to the budget of a link.
#[derive(Debug)]
pub struct Meter {
    link: Arc<Link>,
    clock: Monotonic,
}

impl Meter {
    /// Creates a meter for responses received over `link`.
    pub fn new(link: &Arc<Link>, clock: Monotonic) -> Meter {
        Meter { link: Arc::clone(link), clock }
    }

    /// Charges received bytes; the budget may become negative.
    pub fn count(&self, bytes: usize) {
        self.link.answers.spend(bytes as u64, self.clock.now());
    }
}
